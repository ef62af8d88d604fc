// The promises about a batch job under many orders of what happens to it. The
// nodes are real; the store and the network between them are fakes that carry
// out calls and deliver answers in an order that the test chooses.

#include "kumquatgauge/serving/batch_runner.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <thread>

#include "base/process_hooks.h"
#include "kumquatgauge/base/error.h"
#include "kumquatgauge/routing/rendezvous.h"
#include "platform/requests.h"
#include "testing/gateway/fake_servers.h"
#include "testing/gateway/gateway_process.h"
#include "testing/support/call_schedule.h"
#include "testing/support/memory_object_store.h"

namespace kumquatgauge::serving {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using nlohmann::json;
using std::chrono::milliseconds;
using store::CallClass;
using testing::CallSchedule;

constexpr std::size_t kNodes = 3;
constexpr std::size_t kMemoryBytes = std::size_t{256} << 20;
constexpr auto kStateKey = "job-states/";
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

auto Unavailable(const std::string& object) -> Error {
  return {ErrorKind::kUnavailable, "the process has ended", object, "retry"};
}

// Whether a node's process runs. What it has under way when it ends gets
// errors, and nothing that it does has an effect.
struct Liveness {
  bool ended = false;
  // The answer to its call with this number is lost.
  std::optional<std::size_t> lost_answer;
  std::size_t calls = 0;

  // Counts a call. Returns whether its answer is lost.
  auto LosesAnswer() -> bool { return calls++ == lost_answer; }

  auto Require(const std::string& object) const -> void {
    if (ended) {
      throw Unavailable(object);
    }
  }
};

// The store as one node sees it.
class ScheduledStore : public store::ObjectStore {
 public:
  ScheduledStore(CallSchedule& schedule,
                 store::ObjectStore& shared,
                 Liveness& node,
                 std::string name)
      : schedule_(schedule),
        shared_(shared),
        node_(node),
        name_(std::move(name)) {}

  auto Read(std::string key, CallClass call_class)
      -> awaitable<std::optional<store::StoredObject>> override {
    const auto name = name_ + " reads " + key;
    const auto lost = node_.LosesAnswer();
    co_await Begin(name);
    auto object = std::optional<store::StoredObject>();
    // Inexact reads are as old as the pages allow: from before the job.
    if (call_class != CallClass::kStatus) {
      object = co_await shared_.Read(key, call_class);
    }
    co_await End(name);
    if (lost) {
      throw Error(ErrorKind::kTimeout, "no answer", key, "read again");
    }
    co_return object;
  }

  auto Write(std::string key,
             std::string value,
             std::optional<std::uint64_t> expected_version,
             CallClass call_class) -> awaitable<std::uint64_t> override {
    const auto name = name_ + " writes " + key;
    const auto lost = node_.LosesAnswer();
    co_await Begin(name);
    auto version = std::uint64_t{0};
    auto failure = std::exception_ptr();
    try {
      version = co_await shared_.Write(key, std::move(value), expected_version,
                                       call_class);
    } catch (const Error&) {
      failure = std::current_exception();
    }
    co_await End(name);
    if (lost) {
      throw Error(ErrorKind::kUnknownOutcome, "no answer", key, "read it back");
    }
    if (failure) {
      std::rethrow_exception(failure);
    }
    co_return version;
  }

  auto Remove(std::string key, std::uint64_t version, CallClass call_class)
      -> awaitable<void> override {
    return shared_.Remove(std::move(key), version, call_class);
  }

  auto List(std::string prefix,
            std::string after,
            std::size_t limit,
            CallClass call_class) -> awaitable<store::ListPage> override {
    auto page = co_await shared_.List(std::move(prefix), std::move(after),
                                      limit, call_class);
    for (auto& entry : page.entries) {
      // Without values, no scan finds a job that its node has lost.
      const auto object = co_await shared_.Read(entry.key, call_class);
      if (object && node_.lost_answer) {
        entry.value = object->value;
      }
    }
    co_return page;
  }

  auto Watch(std::string prefix, std::uint64_t since, milliseconds timeout)
      -> awaitable<store::WatchBatch> override {
    return shared_.Watch(std::move(prefix), since, timeout);
  }

 private:
  auto Begin(std::string name) -> awaitable<void> {
    node_.Require(name);
    co_await schedule_.Await(name);
    node_.Require(name);
  }

  auto End(std::string name) -> awaitable<void> {
    const auto step = "answer: " + name;
    co_await schedule_.Await(step);
    node_.Require(name);
  }

  CallSchedule& schedule_;
  store::ObjectStore& shared_;
  Liveness& node_;
  std::string name_;
};

class FrameCollector : public node::Responder {
 public:
  auto Send(const json& frame) -> bool override {
    frames.push_back(frame);
    return true;
  }
  auto cancelled() const -> bool override { return false; }
  auto OnCancel(std::function<auto()->void> /*hook*/) -> void override {}

  std::vector<json> frames;
};

class StatusWriter : public caller::ResponseWriter {
 public:
  explicit StatusWriter(const Liveness& node) : node_(node) {}

  auto Send(int status, HeaderList /*headers*/, std::string /*body*/)
      -> awaitable<bool> override {
    status_ = node_.ended ? 0 : status;
    co_return true;
  }
  auto BeginStream(int /*status*/, HeaderList /*headers*/)
      -> awaitable<bool> override {
    co_return false;
  }
  auto WriteChunk(std::string /*piece*/) -> awaitable<bool> override {
    co_return false;
  }
  auto FinishStream() -> awaitable<bool> override { co_return false; }
  auto disconnected() const -> bool override { return false; }
  auto OnDisconnect(std::function<auto()->void> /*hook*/) -> void override {}

  // 0 before the answer, and if there is none.
  auto status() const -> int { return status_; }

 private:
  const Liveness& node_;
  int status_ = 0;
};

using WriterPtr = std::shared_ptr<StatusWriter>;
using HandlerMap = std::map<std::string, node::Handler>;

struct Peer {
  const Liveness& liveness;
  const HandlerMap& handlers;
};

using FindPeer = std::function<auto(const std::string& address)->Peer>;

class ScheduledPeers : public node::PeerClient {
 public:
  ScheduledPeers(CallSchedule& schedule,
                 Liveness& node,
                 std::string name,
                 FindPeer find)
      : schedule_(schedule),
        node_(node),
        name_(std::move(name)),
        find_(std::move(find)) {}

  auto Call(std::string address,
            node::Channel /*channel*/,
            std::string name,
            json request,
            node::FrameSink sink,
            milliseconds /*timeout*/,
            std::shared_ptr<node::StreamCancel> /*cancel*/)
      -> awaitable<void> override {
    const auto step = name_ + " calls " + address + " " + name;
    const auto answer_step = "answer: " + step;
    node_.Require(address);
    const auto lost = node_.LosesAnswer();
    co_await schedule_.Await(step);
    node_.Require(address);
    const auto peer = find_(address);
    peer.liveness.Require(address);
    const auto responder = std::make_shared<FrameCollector>();
    auto failure = std::exception_ptr();
    try {
      co_await peer.handlers.at(name)(std::move(request), responder);
    } catch (const Error&) {
      failure = std::current_exception();
    }
    co_await schedule_.Await(answer_step);
    node_.Require(address);
    peer.liveness.Require(address);
    if (lost) {
      throw Error(ErrorKind::kTimeout, "no answer", address, "call again");
    }
    if (failure) {
      std::rethrow_exception(failure);
    }
    for (const auto& frame : responder->frames) {
      sink(frame);
    }
  }

 private:
  CallSchedule& schedule_;
  Liveness& node_;
  std::string name_;
  FindPeer find_;
};

// How the node that accepts the job loses it.
enum class Loss { kKilled, kTakenForDead, kStops };

// What happens to the job, and when: before which step of the calls.
struct Order {
  std::optional<std::size_t> end;     // Its caller ends it,
  std::size_t end_node = 0;           // at this node.
  std::optional<std::size_t> repeat;  // It is submitted again.
  std::size_t repeat_node = 0;
  std::optional<std::size_t> loss;
  Loss kind = Loss::kKilled;
  // This step is put off until no other one is left.
  std::optional<std::size_t> delayed;
  // The number of the call whose answer a node does not get.
  std::optional<std::size_t> lost_answer;
  std::size_t lost_answer_node = 0;
  // Steps are drawn; otherwise each runs when those before it have.
  std::optional<std::uint64_t> seed;
};

auto Describe(const Order& order) -> std::string {
  auto text = std::ostringstream();
  const auto add = [&](const std::string& name, const auto& value) {
    if (value) {
      text << name << "=" << *value << " ";
    }
  };
  add("end", order.end);
  add("repeat", order.repeat);
  add("loss", order.loss);
  add("delayed", order.delayed);
  add("lost_answer", order.lost_answer);
  add("seed", order.seed);
  text << "end_node=" << order.end_node << " repeat_node=" << order.repeat_node
       << " kind=" << static_cast<int>(order.kind)
       << " lost_answer_node=" << order.lost_answer_node;
  return text.str();
}

// Replicas and settings that all plays share.
struct Surroundings {
  testing::FakeServerThread thread;
  testing::FakeReplica one{thread.context(), "i-1"};
  testing::FakeReplica two{thread.context(), "i-2"};
  Dialect dialect = platform::MakeDialect();
  std::shared_ptr<const Configuration> configuration =
      std::make_shared<const Configuration>(
          dialect.decode_configuration(testing::MakeConfiguration(3).dump()));

  ~Surroundings() { thread.Stop(); }

  auto Replicas() const -> std::vector<routing::Replica> {
    auto replicas = std::vector<routing::Replica>();
    for (const auto* replica : {&one, &two}) {
      const auto entry = testing::ServerEntry(replica->address()).dump();
      replicas.push_back(*dialect.decode_replica(replica->id(), entry));
    }
    return replicas;
  }

  auto RunCount(const std::string& item) const -> int {
    return one.RunCount(item) + two.RunCount(item);
  }
};

// One job of two items in a fleet of its own.
class Play {
 public:
  Play(Surroundings& surroundings, Order order, std::size_t number)
      : surroundings_(surroundings),
        order_(order),
        job_("j" + std::to_string(number)),
        random_(order.seed.value_or(number)) {
    for (std::size_t at = 0; at < kNodes; ++at) {
      members_.push_back({NodeId("n" + std::to_string(at)), 1, ZoneName("a"),
                          "n" + std::to_string(at), "", false});
    }
    for (std::size_t at = 0; at < kNodes; ++at) {
      nodes_.push_back(std::make_unique<Node>(*this, at));
    }
    nodes_[order.lost_answer_node]->liveness.lost_answer = order.lost_answer;
  }

  // Until nothing waits for the store or another node. No time passes.
  auto RunSteps() -> void {
    first_ = Submit(0);
    for (std::size_t step = 0; step < kMaxSteps; ++step) {
      StartDue(step);
      if (schedule_.waiting() == 0 && !IsStartLeft(step)) {
        break;
      }
      if (schedule_.waiting() > 0) {
        schedule_.Run(Choose());
      }
    }
    CHECK(schedule_.waiting() == 0);
  }

  // Lets the nodes run items from now on.
  auto StartItems() -> void {
    for (const auto& node : nodes_) {
      if (!node->liveness.ended) {
        node->runner->Start();
      }
    }
    TellOrphan();
  }

  auto TellOrphan() -> void {
    const auto chosen =
        routing::ChooseNode(routing::RendezvousHash(job_), Live());
    const auto& from =
        order_.loss && order_.kind == Loss::kStops ? members_[0].id : chosen;
    NodeAt(chosen.value()).runner->OnOrphan(JobId(job_), from);
    schedule_.Poll();
  }

  auto RunReady() -> void {
    schedule_.Poll();
    while (schedule_.waiting() > 0) {
      schedule_.Run(0);
    }
  }

  // Returns which promises are broken; empty if none.
  auto Broken() const -> std::string {
    auto broken = std::string();
    const auto ended = end_ && end_->status() == kOk;
    auto runs = std::vector<int>();
    for (const auto& item : Items()) {
      runs.push_back(surroundings_.RunCount(item));
    }
    const auto total = std::count_if(runs.begin(), runs.end(),
                                     [](int count) { return count > 0; });
    if (ended && total > 0) {
      broken += " UNASKED: an item ran after the end was acknowledged.";
    }
    if (expects_runs() && total < std::ssize(runs)) {
      broken += " LOST: an item of an accepted job did not run.";
    }
    if (end_ && end_->status() == kNotFound && accepted_before_end_) {
      broken += " LOST: an accepted job was not found.";
    }
    if (IsRefused() && total > 0) {
      broken += " REFUSED: an item of a refused job ran.";
    }
    if (std::any_of(runs.begin(), runs.end(),
                    [](int count) { return count > 1; })) {
      broken += " BUDGET: an item ran at two nodes.";
    }
    return broken + MixedResults();
  }

  auto Account() const -> std::string {
    auto text = Describe(order_);
    for (const auto& step : schedule_.history()) {
      text += "\n  " + step;
    }
    return text;
  }

  auto IsDone() const -> bool {
    const auto state = FindState();
    return state && state->done;
  }
  auto expects_runs() const -> bool {
    const auto state = FindState();
    return IsAccepted() && !(state && state->ended);
  }

  // Whether only a scan may find the job: its node stops before it can hand the
  // job over, or a call failed.
  auto needs_scan() const -> bool {
    return order_.lost_answer || (order_.loss && order_.kind == Loss::kStops);
  }

  // Ends the nodes, so that nothing waits when the play is destroyed.
  auto Close() -> void {
    for (const auto& node : nodes_) {
      node->liveness.ended = true;
      node->runner.reset();
    }
    RunReady();
  }

 private:
  static constexpr std::size_t kMaxSteps = 400;

  struct Node {
    Node(Play& play, std::size_t at)
        : name("n" + std::to_string(at)),
          store(play.schedule_, play.store_, liveness, name),
          archive(store),
          balancer(LoadBalancerSettings(),
                   ZoneName("a"),
                   kumquatgauge::detail::SteadyNow,
                   [&play] { return play.random_(); }),
          replicas(play.context_.get_executor(),
                   upstream::ConnectionSettings()),
          quarantine(
              RequestQuarantineSettings(),
              [](PromptPart /*part*/, std::size_t /*nodes*/) { return true; },
              [] {},
              kumquatgauge::detail::SteadyNow),
          peers(play.schedule_,
                liveness,
                name,
                [&play](const std::string& address) {
                  const auto& peer = play.NodeAt(address);
                  return Peer{peer.liveness, peer.handlers};
                }),
          quotas({.executor = play.context_.get_executor(),
                  .store = store,
                  .archive = archive,
                  .peers = peers,
                  .metrics = metrics,
                  .clock = kumquatgauge::detail::SteadyNow,
                  .random = [&play] { return play.random_(); },
                  .self = [&play, at] { return play.members_[at]; },
                  .live = [&play] { return play.Live(); }}),
          runner(std::make_unique<BatchRunner>(play.MakeParts(*this, at))) {
      balancer.SetReplicas(play.surroundings_.Replicas());
      runner->RegisterHandlers(
          [this](const std::string& call, node::Handler handler) {
            handlers.emplace(call, std::move(handler));
          });
    }

    std::string name;
    Liveness liveness;
    MetricsRegistry metrics;
    ScheduledStore store;
    JobArchive archive;
    LoadBalancer balancer;
    upstream::ReplicaCaller replicas;
    RequestQuarantine quarantine;
    ScheduledPeers peers;
    QuotaKeeper quotas;
    AnswerHooks hooks{[] {}, [](const routing::Replica& /*replica*/) {}};
    HandlerMap handlers;
    std::unique_ptr<BatchRunner> runner;
  };

  auto MakeParts(Node& node, std::size_t at) -> BatchRunnerParts {
    return {.executor = context_.get_executor(),
            .dialect = surroundings_.dialect,
            .load_balancer = node.balancer,
            .replicas = node.replicas,
            .quarantine = node.quarantine,
            .archive = node.archive,
            .quotas = node.quotas,
            .peers = node.peers,
            .metrics = node.metrics,
            .clock = kumquatgauge::detail::SteadyNow,
            .wall_clock = kumquatgauge::detail::WallNow,
            .random = [this] { return random_(); },
            .configuration = [this] { return surroundings_.configuration; },
            .self = [this, at] { return members_[at]; },
            .live = [this] { return Live(); },
            .cell_size = [] { return std::size_t{1}; },
            .is_watcher = [] { return true; },
            .is_dead_or_left =
                [this](const NodeId& id) {
                  return NodeAt(id.value()).liveness.ended;
                },
            .isolated = [] { return false; },
            .store_failures = [] { return std::uint64_t{0}; },
            .hooks = node.hooks,
            .announce =
                [this, at](const JobId& job) {
                  for (std::size_t other = 0; other < kNodes; ++other) {
                    if (other != at && nodes_[other]->runner) {
                      nodes_[other]->runner->OnAnnounced(job, members_[at].id);
                    }
                  }
                },
            .tell_orphan =
                [this](const JobId& job, const NodeId& id) {
                  auto& chosen = NodeAt(id.value());
                  if (chosen.runner) {
                    chosen.runner->OnOrphan(job, id);
                  }
                },
            .retention = std::chrono::seconds(600),
            .memory_bytes = kMemoryBytes};
  }

  auto NodeAt(const std::string& name) const -> Node& {
    return **std::find_if(nodes_.begin(), nodes_.end(),
                          [&](const auto& node) { return node->name == name; });
  }

  auto Live() const -> std::vector<routing::NodeInfo> {
    auto live = std::vector<routing::NodeInfo>();
    for (std::size_t at = 0; at < nodes_.size(); ++at) {
      if (!nodes_[at]->liveness.ended) {
        live.push_back(members_[at]);
      }
    }
    return live;
  }

  auto FindState() const -> std::optional<JobState> {
    const auto found = store_.objects().find(kStateKey + job_);
    return found == store_.objects().end()
               ? std::nullopt
               : std::optional(DecodeState(JobId(job_), found->second.value));
  }

  auto Items() const -> std::vector<std::string> {
    return {job_ + "-a", job_ + "-b"};
  }

  auto Submit(std::size_t at) -> WriterPtr {
    auto& node = *nodes_[at];
    auto writer = std::make_shared<StatusWriter>(node.liveness);
    if (!node.runner) {
      return writer;
    }
    auto incoming = std::make_shared<caller::IncomingRequest>();
    incoming->target = "/jobs/1";
    incoming->body = testing::JobBody(Items());
    auto request = CallerRequest();
    request.id = RequestId(job_);
    request.host = testing::kGatewayHost;
    request.path = incoming->target;
    asio::co_spawn(
        context_,
        node.runner->Submit(std::move(incoming), std::move(request), writer),
        asio::detached);
    schedule_.Poll();
    return writer;
  }

  auto End(std::size_t at) -> WriterPtr {
    auto& node = *nodes_[at];
    auto writer = std::make_shared<StatusWriter>(node.liveness);
    accepted_before_end_ = IsAccepted();
    if (node.runner) {
      asio::co_spawn(context_, node.runner->End({JobId(job_)}, writer),
                     asio::detached);
      schedule_.Poll();
    }
    return writer;
  }

  auto Lose() -> void {
    auto& node = *nodes_[0];
    switch (order_.kind) {
      case Loss::kKilled:
        node.liveness.ended = true;
        node.runner.reset();
        break;
      case Loss::kTakenForDead:
        ++members_[0].incarnation;
        node.runner->OnRestarted();
        break;
      case Loss::kStops:
        members_[0].leaving = true;
        node.runner->Stop();
        break;
    }
    schedule_.Add("the job is found without an owner",
                  [this] { TellOrphan(); });
    schedule_.Poll();
  }

  auto StartDue(std::size_t step) -> void {
    if (order_.repeat == step) {
      repeated_ = Submit(order_.repeat_node);
    }
    if (order_.loss == step) {
      Lose();
    }
    if (order_.end == step) {
      end_ = End(order_.end_node);
    }
  }

  auto IsStartLeft(std::size_t step) const -> bool {
    return (order_.end && *order_.end > step) ||
           (order_.repeat && *order_.repeat > step) ||
           (order_.loss && *order_.loss > step);
  }

  auto Choose() -> std::size_t {
    if (order_.seed) {
      return random_() % schedule_.waiting();
    }
    const auto put_off =
        schedule_.waiting() > 1 && schedule_.number(0) == order_.delayed;
    return put_off ? 1 : 0;
  }

  auto IsAccepted() const -> bool {
    return (first_ && first_->status() == kAccepted) ||
           (repeated_ && repeated_->status() == kAccepted);
  }

  auto IsRefused() const -> bool {
    const auto refused = [](const WriterPtr& writer) {
      return !writer || writer->status() == kTooManyRequests ||
             writer->status() == kServiceUnavailable;
    };
    return refused(first_) && refused(repeated_);
  }

  // Reads the stored results as a new owner would.
  auto MixedResults() const -> std::string {
    auto positions = std::set<std::string>();
    for (const auto& [key, object] : store_.objects()) {
      if (!key.starts_with("job-results/")) {
        continue;
      }
      for (const auto& result :
           DecodeChunk(JobId(job_), object.value).results) {
        if (!positions.insert(result.item).second) {
          return " TWICE: an item stands at two positions.";
        }
        if (result.completed &&
            result.text != testing::ExpectedText(result.item)) {
          return " MIXED: a result is not the item's output.";
        }
      }
    }
    return "";
  }

  Surroundings& surroundings_;
  Order order_;
  std::string job_;
  std::mt19937_64 random_;
  asio::io_context context_;
  CallSchedule schedule_{context_};
  testing::MemoryObjectStore store_;
  std::vector<routing::NodeInfo> members_;
  std::vector<std::unique_ptr<Node>> nodes_;
  WriterPtr first_;
  WriterPtr repeated_;
  WriterPtr end_;
  bool accepted_before_end_ = false;
};

// Plays many orders at the same time, since the items of each need some time.
class Plays {
 public:
  auto Add(const Order& order) -> void {
    plays_.push_back(std::make_unique<Play>(surroundings_, order, number_++));
    plays_.back()->RunSteps();
    if (plays_.size() == kTogether) {
      Finish();
    }
  }

  // Checks that no order has broken a promise.
  auto Check() -> void {
    Finish();
    INFO(number_ << " plays\n" << account_);
    CHECK(broken_ == 0);
  }

 private:
  static constexpr std::size_t kTogether = 500;
  static constexpr std::size_t kShown = 2;
  static constexpr milliseconds kAtLeast{80};
  // A node ignores what it is told of an orphan for 1 s after it was told.
  static constexpr milliseconds kTellInterval{1'100};
  static constexpr milliseconds kLimit{5'000};

  auto Finish() -> void {
    for (const auto& play : plays_) {
      play->StartItems();
    }
    const auto began = std::chrono::steady_clock::now();
    auto told = began;
    auto done = false;
    while (!done && std::chrono::steady_clock::now() - began < kLimit) {
      const auto now = std::chrono::steady_clock::now();
      const auto tell = now - told > kTellInterval;
      told = tell ? now : told;
      done = now - began > kAtLeast;
      for (const auto& play : plays_) {
        play->RunReady();
        if (play->expects_runs() && !play->IsDone()) {
          done = false;
          if (tell && play->needs_scan()) {
            play->TellOrphan();
          }
        }
      }
      std::this_thread::sleep_for(milliseconds(1));
    }
    for (const auto& play : plays_) {
      if (const auto broken = play->Broken(); !broken.empty()) {
        ++broken_;
        if (broken_ <= kShown) {
          account_ += broken + "\n" + play->Account() + "\n";
        }
      }
      play->Close();
    }
    plays_.clear();
  }

  Surroundings surroundings_;
  std::vector<std::unique_ptr<Play>> plays_;
  std::size_t number_ = 0;
  std::size_t broken_ = 0;
  std::string account_;  // Of the first plays that broke a promise.
};

// Guards against promises that hold unless answers and news arrive in an
// unusual order: a job that is ended at any moment of the calls that submit it,
// with each call or answer delayed.
TEST_CASE("BatchRunner.KeepsItsPromisesWhenAJobIsEndedAtAnyMoment") {
  constexpr std::size_t kMoments = 14;
  auto plays = Plays();
  for (std::size_t end_node = 0; end_node < 2; ++end_node) {
    for (std::size_t end = 0; end < kMoments; ++end) {
      for (std::size_t delayed = 0; delayed < kMoments; ++delayed) {
        auto order = Order();
        order.end = end;
        order.end_node = end_node;
        order.delayed = delayed;
        plays.Add(order);
      }
    }
  }
  plays.Check();
}

// Guards against a job that waits for the next scan, or runs at two nodes,
// because its node was killed or considered dead while it submitted the job.
TEST_CASE("BatchRunner.RunsAJobWhoseNodeIsLostAtAnyMoment") {
  constexpr std::size_t kMoments = 12;
  constexpr std::size_t kSteps = 24;
  auto plays = Plays();
  for (const auto kind : {Loss::kKilled, Loss::kTakenForDead, Loss::kStops}) {
    for (std::size_t loss = 0; loss < kMoments; ++loss) {
      for (std::size_t delayed = 0; delayed < kSteps; ++delayed) {
        auto order = Order();
        order.loss = loss;
        order.kind = kind;
        order.delayed = delayed;
        plays.Add(order);
      }
    }
  }
  plays.Check();
}

// Guards against an end that is lost while another node takes the job over.
TEST_CASE("BatchRunner.KeepsItsPromisesWhenAJobIsEndedDuringItsTakeover") {
  constexpr std::size_t kLoss = 6;  // Once the job is accepted.
  constexpr std::size_t kLast = 24;
  auto plays = Plays();
  for (std::size_t end_node = 0; end_node < kNodes; ++end_node) {
    for (auto end = kLoss; end < kLast; ++end) {
      for (auto delayed = kLoss; delayed < kLast; ++delayed) {
        auto order = Order();
        order.loss = kLoss;
        order.end = end;
        order.end_node = end_node;
        order.delayed = delayed;
        plays.Add(order);
      }
    }
  }
  plays.Check();
}

// Number of drawn orders, which can be raised for a long run.
auto SeedCount() -> std::uint64_t {
  constexpr std::uint64_t kSeeds = 2'000;
  const auto* text = std::getenv("KQG_ORDER_SEEDS");
  return text == nullptr ? kSeeds : std::stoull(text);
}

// Guards against promises that hold in most orders of a submission, its repeat,
// an end, a lost node and a lost answer only. The orders are drawn.
TEST_CASE("BatchRunner.KeepsItsPromisesInDrawnOrders") {
  constexpr std::size_t kLatest = 30;
  constexpr std::size_t kCalls = 12;
  auto plays = Plays();
  for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
    auto random = std::mt19937_64(seed);
    const auto draw = [&](std::size_t count) {
      return static_cast<std::size_t>(random() % count);
    };
    auto order = Order();
    order.seed = seed;
    if (draw(4) > 0) {
      order.end = draw(kLatest);
      order.end_node = draw(kNodes);
    }
    if (draw(2) > 0) {
      order.repeat = draw(kLatest);
      order.repeat_node = draw(kNodes);
    }
    if (draw(2) > 0) {
      order.loss = draw(kLatest);
      order.kind =
          std::array{Loss::kKilled, Loss::kTakenForDead, Loss::kStops}[draw(3)];
    }
    if (draw(2) > 0) {
      order.lost_answer = draw(kCalls);
      order.lost_answer_node = draw(kNodes);
    }
    plays.Add(order);
  }
  plays.Check();
}

}  // namespace
}  // namespace kumquatgauge::serving
