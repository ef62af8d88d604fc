#ifndef SRC_BATCH_TEST_CLUSTER_H_
#define SRC_BATCH_TEST_CLUSTER_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/batch/batch_service.h"
#include "testing/support/manual_clock.h"
#include "testing/support/memory_object_store.h"

// Support for the batch tests and benchmarks: several nodes on one store, with
// a manual clock.
namespace kumquatgauge::batch::testing {

using boost::asio::awaitable;
using kumquatgauge::testing::ManualClock;
using kumquatgauge::testing::MemoryObjectStore;
using kumquatgauge::testing::StoreFault;
using std::chrono::milliseconds;

// Suspends coroutines until the manual clock reaches a given time.
class ManualTimers {
 public:
  explicit ManualTimers(ManualClock& clock) : clock_(clock) {}

  using Wake = std::function<auto()->void>;

  // `on_wait` receives a function that ends the wait early.
  auto WaitUntil(MonotonicTime time,
                 std::function<auto(Wake)->void> on_wait = {})
      -> awaitable<void> {
    auto timer =
        boost::asio::steady_timer(co_await boost::asio::this_coro::executor,
                                  boost::asio::steady_timer::time_point::max());
    const auto entry = waiting_.emplace(time, &timer);
    if (on_wait) {
      on_wait([&timer] { timer.cancel(); });
    }
    auto error = boost::system::error_code();
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    waiting_.erase(entry);
  }
  auto FireDue() -> void {
    for (const auto& [time, timer] : waiting_) {
      if (time > clock_.now()) {
        break;
      }
      timer->cancel();
    }
  }

 private:
  ManualClock& clock_;
  std::multimap<MonotonicTime, boost::asio::steady_timer*> waiting_;
};

// True while a process is frozen: it neither sends nor receives anything.
using Frozen = std::shared_ptr<bool>;

// Waits for `time`, then until the process is no longer frozen.
inline auto SleepAndAwaitThaw(ManualClock& clock,
                              ManualTimers& timers,
                              Duration time,
                              Frozen frozen) -> awaitable<void> {
  if (time > Duration(0)) {
    co_await timers.WaitUntil(clock.now() + time);
  }
  while (*frozen) {
    co_await timers.WaitUntil(clock.now() + milliseconds(100));
  }
}

// Selects the calls of one process that the store refuses.
using Refusal =
    std::function<auto(const std::string& call, const std::string& key)->bool>;

// The store as seen by one process: half of `delay` passes before a call takes
// effect and half before its response arrives. A freeze may fall into either.
class SlowStore : public store::ObjectStore {
 public:
  SlowStore(store::ObjectStore& store,
            ManualClock& clock,
            ManualTimers& timers,
            const Duration& delay,
            Frozen frozen)
      : store_(store),
        clock_(clock),
        timers_(timers),
        delay_(delay),
        frozen_(std::move(frozen)) {}

  auto set_refusal(Refusal refusal) -> void { refusal_ = std::move(refusal); }

  auto Read(std::string key, store::CallClass call_class)
      -> awaitable<std::optional<store::StoredObject>> override {
    co_await Wait();
    CheckRefusal("read", key);
    auto found = co_await store_.Read(std::move(key), call_class);
    co_await Wait();
    co_return found;
  }
  auto Write(std::string key,
             std::string value,
             std::optional<std::uint64_t> expected,
             store::CallClass call_class) -> awaitable<std::uint64_t> override {
    co_await Wait();
    CheckRefusal("write", key);
    const auto version = co_await store_.Write(std::move(key), std::move(value),
                                               expected, call_class);
    co_await Wait();
    co_return version;
  }
  auto Remove(std::string key,
              std::uint64_t expected,
              store::CallClass call_class) -> awaitable<void> override {
    co_await Wait();
    CheckRefusal("remove", key);
    co_await store_.Remove(std::move(key), expected, call_class);
  }
  auto List(std::string prefix,
            std::string after,
            std::size_t limit,
            store::CallClass call_class)
      -> awaitable<store::ListPage> override {
    co_await Wait();
    CheckRefusal("list", prefix);
    co_return co_await store_.List(std::move(prefix), std::move(after), limit,
                                   call_class);
  }
  auto Watch(std::string prefix, std::uint64_t since, milliseconds timeout)
      -> awaitable<store::WatchBatch> override {
    co_return co_await store_.Watch(std::move(prefix), since, timeout);
  }

 private:
  auto Wait() -> awaitable<void> {
    co_await SleepAndAwaitThaw(clock_, timers_, delay_ / 2, frozen_);
  }
  auto CheckRefusal(const std::string& call, const std::string& key) const
      -> void {
    if (refusal_ && refusal_(call, key)) {
      throw Error(ErrorKind::kUnavailable, "the store refuses this node", key,
                  "retry later");
    }
  }

  store::ObjectStore& store_;
  ManualClock& clock_;
  ManualTimers& timers_;
  const Duration& delay_;
  Frozen frozen_;
  Refusal refusal_;
};

// Returns the expected response to a body.
inline auto ResponseTo(const std::string& body) -> std::string {
  return "response to " + body + " \xc3\xa9\n\"" + HashText(body) + "\"";
}

// Behaviour of the engines, selected by a phrase in the body of an item.
inline auto IsMalformed(const std::string& body) -> bool {
  return body.find("malformed prompt") != std::string::npos;
}
inline auto KillsReplica(const std::string& body) -> bool {
  return body.find("kills replica") != std::string::npos;
}

struct Start {
  std::string node;
  routing::CompletionRequest request;
  ReplicaId avoid;
  MonotonicTime time;
};

// Runs items for one node: each takes `item_time`, and up to `slots` items run
// concurrently.
class FakeRunner : public ItemRunner {
 public:
  FakeRunner(std::string node,
             ManualClock& clock,
             ManualTimers& timers,
             Frozen frozen)
      : node_(std::move(node)),
        clock_(clock),
        timers_(timers),
        frozen_(std::move(frozen)) {}

  std::function<
      auto(const routing::CompletionRequest&)->std::optional<AttemptResult>>
      script;  // May return a result in place of the engine.
  Duration item_time = std::chrono::seconds(1);
  std::size_t slots = 64;
  std::vector<Start> starts;
  std::size_t running = 0;

  auto Run(routing::CompletionRequest request, ReplicaId avoid)
      -> awaitable<AttemptResult> override {
    starts.push_back({node_, request, avoid, clock_.now()});
    auto result = AttemptResult();
    if (running >= slots) {
      result.dispatch.kind = routing::DispatchResult::Kind::kBusy;
      result.dispatch.outcome = {.kind = OutcomeKind::kNotRun,
                                 .reason = "no room",
                                 .retry_after = milliseconds(200)};
      co_return result;
    }
    ++running;
    auto on_wait = std::function<auto(ManualTimers::Wake)->void>(
        [this, id = request.id](ManualTimers::Wake wake) {
          wake_[id] = std::move(wake);
        });
    co_await timers_.WaitUntil(clock_.now() + item_time, std::move(on_wait));
    wake_.erase(request.id);
    --running;
    co_await SleepAndAwaitThaw(clock_, timers_, Duration(0), frozen_);
    co_return Answer(request, avoid);
  }

  auto Cancel(const RequestId& id) -> void override {
    const auto found = wake_.find(id);
    if (found != wake_.end()) {
      cancelled_.insert(id);
      found->second();
    }
  }
  auto free_slots(const ServiceName& /*service*/) const
      -> std::size_t override {
    return slots > running ? slots - running : 0;
  }

 private:
  auto Answer(const routing::CompletionRequest& request, const ReplicaId& avoid)
      -> AttemptResult {
    auto result = AttemptResult();
    result.replica = ReplicaId(avoid == ReplicaId("r1") ? "r2" : "r1");
    auto& outcome = result.dispatch.outcome;
    if (cancelled_.erase(request.id) > 0) {
      outcome.kind = OutcomeKind::kCancelled;
      return result;
    }
    if (script) {
      if (auto scripted = script(request)) {
        scripted->replica = result.replica;
        return *scripted;
      }
    }
    if (IsMalformed(request.body)) {
      result.item_rejected = true;
      outcome = {.kind = OutcomeKind::kFailed, .reason = "400 bad prompt"};
    } else if (KillsReplica(request.body)) {
      result.dispatch.kind = routing::DispatchResult::Kind::kLost;
    } else {
      result.text = ResponseTo(request.body);
      result.dispatch.finish_reason = "stop";
    }
    return result;
  }

  std::string node_;
  ManualClock& clock_;
  ManualTimers& timers_;
  Frozen frozen_;
  std::set<RequestId> cancelled_;
  std::map<RequestId, ManualTimers::Wake> wake_;
};

// A node of the cluster. The runner and store outlive a dead node because its
// items may still run.
struct TestNode {
  std::shared_ptr<SlowStore> store;
  std::shared_ptr<FakeRunner> runner;
  std::unique_ptr<BatchService> service;  // Null while the node is down.
  Frozen paused;
};

// A submission and the item bodies that its results are checked against.
struct TestJob {
  SubmissionRequest request;
  std::string body;
  std::map<std::string, std::string> bodies;  // By custom_id.

  auto id() const -> JobId {
    return MakeJobId(request.organisation, request.client_key);
  }
};

class TestCluster {
 public:
  static constexpr auto kStep = milliseconds(100);

  explicit TestCluster(std::uint64_t seed = 1)
      : random_(seed), timers_(clock) {}

  ManualClock clock;
  MemoryObjectStore store;
  std::map<std::string, TestNode> nodes;
  // Time until the other nodes detect a death.
  Duration death_detection_delay = std::chrono::seconds(2);
  Duration item_time = std::chrono::seconds(1);
  std::size_t slots = 64;
  Duration store_delay{0};         // Delay of every platform call of a node.
  Duration resolution = kStep;     // Smallest advance of the clock.
  bool lose_notices = false;       // Job notices between nodes are lost.
  std::set<std::string> isolated;  // Nodes that reach no other node.

  auto random() -> std::uint64_t { return random_(); }
  auto WallNow() const -> WallTime {
    return WallTime(std::chrono::hours(480'000)) +
           std::chrono::duration_cast<WallTime::duration>(
               clock.now().time_since_epoch());
  }
  auto WallMs() const -> WallMillis {
    return std::chrono::duration_cast<milliseconds>(
               WallNow().time_since_epoch())
        .count();
  }

  auto StartNode(const std::string& name) -> void {
    auto& node = nodes[name];
    if (node.runner) {
      Kill(name);
    }
    auto frozen = std::make_shared<bool>(false);
    node.store =
        std::make_shared<SlowStore>(store, clock, timers_, store_delay, frozen);
    node.runner = std::make_shared<FakeRunner>(name, clock, timers_, frozen);
    node.runner->item_time = item_time;
    node.runner->slots = slots;
    node.paused = frozen;
    stores_.push_back(node.store);
    runners_.push_back(node.runner);
    deaths_.erase(name);
    node.service =
        std::make_unique<BatchService>(*node.store, *node.runner, NodeId(name),
                                       ++incarnation_, MakeHooks(name));
  }
  auto Kill(const std::string& name) -> void {
    auto& node = nodes.at(name);
    node.service.reset();
    deaths_[name] = clock.now();
  }
  auto Pause(const std::string& name) -> void {
    *nodes.at(name).paused = true;
    deaths_[name] = clock.now();
  }
  auto Wake(const std::string& name) -> void {
    auto& node = nodes.at(name);
    *node.paused = false;
    if (node.service) {
      deaths_.erase(name);
    }
  }
  auto Service(const std::string& name) -> BatchService& {
    return *nodes.at(name).service;
  }
  auto Live() const -> std::vector<NodeId> {
    auto live = std::vector<NodeId>();
    for (const auto& [name, node] : nodes) {
      const auto death = deaths_.find(name);
      const auto known_dead =
          death != deaths_.end() &&
          clock.now() - death->second >= death_detection_delay;
      if (!known_dead) {
        live.emplace_back(name);
      }
    }
    return live;
  }

  auto Advance(Duration duration) -> void {
    const auto end = clock.now() + duration;
    while (clock.now() < end) {
      clock.Advance(resolution);
      timers_.FireDue();
      Poll();
      if (clock.now() - last_tick_ < kStep) {
        continue;
      }
      last_tick_ = clock.now();
      for (auto& [name, node] : nodes) {
        if (node.service && !*node.paused) {
          boost::asio::co_spawn(io_, node.service->Tick(),
                                boost::asio::detached);
        }
      }
      Poll();
    }
  }
  // Advances until `done` returns true or `limit` has passed. Returns the last
  // result of `done`.
  auto AdvanceUntil(Duration limit, const std::function<auto()->bool>& done)
      -> bool {
    const auto end = clock.now() + limit;
    while (!done() && clock.now() < end) {
      Advance(kStep);
    }
    return done();
  }

  // Runs a coroutine to completion, advancing the clock only while it waits.
  template <typename T>
  auto Wait(awaitable<T> work) -> T {
    auto future =
        boost::asio::co_spawn(io_, std::move(work), boost::asio::use_future);
    Poll();
    while (future.wait_for(std::chrono::seconds(0)) !=
           std::future_status::ready) {
      Advance(kStep);
    }
    return future.get();
  }

  auto MakeJob(const std::string& key,
               std::size_t items,
               const std::string& prompt = "prompt") -> TestJob {
    auto job = TestJob();
    job.request = {.organisation = OrganisationName("org-" + key.substr(0, 1)),
                   .client_key = key,
                   .service = ServiceName("notes"),
                   .due = WallMs() + 3'600'000};
    for (auto i = std::size_t{1}; i <= items; ++i) {
      AddItem(job, key + "-" + std::to_string(i),
              R"({"prompt": ")" + prompt + " " + std::to_string(i) +
                  R"(", "temperature": 1e0})");
    }
    return job;
  }
  static auto AddItem(TestJob& job,
                      const std::string& custom_id,
                      const std::string& body) -> void {
    job.body += R"({"custom_id":")" + custom_id + R"(","body":)" + body + "}\n";
    job.bodies[custom_id] = body;
  }

  auto Submit(const std::string& node, const TestJob& job) -> SubmissionResult {
    auto submission = Service(node).Submit(job.request);
    Wait(submission->Append(job.body));
    return Wait(submission->Finish());
  }
  // Submits as a caller does: retries on any live node after kUnavailable and
  // kUnknownOutcome, until the job is accepted or permanently refused.
  auto SubmitUntilAccepted(const TestJob& job) -> SubmissionResult {
    while (true) {
      const auto name = RandomLiveNode();
      try {
        if (!name.empty()) {
          return Submit(name, job);
        }
      } catch (const Error& error) {
        if (error.kind() != ErrorKind::kUnavailable &&
            error.kind() != ErrorKind::kUnknownOutcome) {
          throw;
        }
      }
      Advance(std::chrono::seconds(1));
    }
  }
  // Returns a random node that is up and not paused, or an empty name.
  auto RandomLiveNode() -> std::string {
    auto up = std::vector<std::string>();
    for (const auto& [name, node] : nodes) {
      if (node.service && !*node.paused) {
        up.push_back(name);
      }
    }
    return up.empty() ? "" : up[random_() % up.size()];
  }
  auto State(const TestJob& job) -> JobState {
    auto jobs = DirectStore();
    const auto stored = Direct(jobs.ReadState(job.id()));
    return stored ? stored->state : JobState();
  }
  auto IsAccepted(const TestJob& job) -> bool {
    auto jobs = DirectStore();
    return Direct(jobs.ReadManifest(job.id())).has_value();
  }
  auto Finished(const TestJob& job) -> bool { return State(job).terminal(); }
  auto Results(const TestJob& job) -> std::vector<ItemResult> {
    auto jobs = DirectStore();
    auto reader = ResultReader(jobs, job.id());
    auto all = std::vector<ItemResult>();
    while (true) {
      const auto results = Direct(reader.NextChunk());
      if (results.empty()) {
        return all;
      }
      all.insert(all.end(), results.begin(), results.end());
    }
  }
  // Describes the first error in the results of a job. Empty if every accepted
  // item has exactly one correct result (at most one after a cancel).
  auto FindResultError(const TestJob& job) -> std::string {
    const auto cancelled = State(job).status == JobStatus::kCancelled;
    auto missing = job.bodies;
    for (const auto& result : Results(job)) {
      const auto found = missing.find(result.custom_id);
      if (found == missing.end()) {
        return "duplicate or unknown result of " + result.custom_id;
      }
      const auto fails =
          IsMalformed(found->second) || KillsReplica(found->second);
      const auto right = fails ? result.outcome == OutcomeKind::kFailed
                               : result.text == ResponseTo(found->second);
      if (!right) {
        return "wrong result of " + result.custom_id + ": " + result.ToJson();
      }
      missing.erase(found);
    }
    return missing.empty() || cancelled
               ? ""
               : std::to_string(missing.size()) + " results missing, first " +
                     missing.begin()->first;
  }
  auto Starts() const -> std::vector<Start> {
    auto all = std::vector<Start>();
    for (const auto& runner : runners_) {
      all.insert(all.end(), runner->starts.begin(), runner->starts.end());
    }
    return all;
  }
  // Returns the node that holds the job's shard, or an empty name.
  auto OwnerOf(const TestJob& job) -> std::string {
    for (auto& [name, node] : nodes) {
      if (!node.service) {
        continue;
      }
      for (const auto& shard : node.service->shards()) {
        if (shard.held && shard.shard == ShardOfJob(job.id())) {
          return name;
        }
      }
    }
    return {};
  }
  // Sets the fault hook for calls of the nodes. Direct reads by the test are
  // not affected.
  auto set_fault(MemoryObjectStore::FaultHook fault) -> void {
    fault_ = std::move(fault);
    store.set_fault_hook(
        [this](const std::string& call, const std::string& key) {
          return fault_ && !direct_ ? fault_(call, key) : StoreFault::kNone;
        });
  }
  // Makes the store refuse calls of one node while it serves the others.
  auto RefuseStoreCalls(
      const std::string& node,
      Refusal refusal = [](const auto& /*call*/, const auto& /*key*/) {
        return true;
      }) -> void {
    nodes.at(node).store->set_refusal(std::move(refusal));
  }
  auto ServeStoreCalls(const std::string& node) -> void {
    nodes.at(node).store->set_refusal({});
  }
  auto MakeStoreUnavailable() -> void {
    set_fault([](const auto& /*call*/, const auto& /*key*/) {
      return StoreFault::kUnavailable;
    });
  }
  // Makes `percent` of the writes fail with an unknown outcome, half of them
  // after taking effect.
  auto LoseAnswers(unsigned percent) -> void {
    set_fault([this, percent](const auto& call, const auto& /*key*/) {
      if (call != "write" || random_() % 100 >= percent) {
        return StoreFault::kNone;
      }
      return random_() % 2 == 0 ? StoreFault::kLoseAnswer
                                : StoreFault::kUnknownNoEffect;
    });
  }
  auto ClearFaults() -> void {
    set_fault({});
    store_delay = Duration(0);
  }

  // Runs a coroutine on the store itself, bypassing faults.
  template <typename T>
  auto Direct(awaitable<T> work) -> T {
    auto io = boost::asio::io_context();
    direct_ = true;
    auto future =
        boost::asio::co_spawn(io, std::move(work), boost::asio::use_future);
    io.run();
    direct_ = false;
    return future.get();
  }
  auto DirectStore() -> JobStore {
    return {store, [this] { return random_(); }};
  }
  auto Hooks() -> BatchServiceHooks { return MakeHooks(); }
  auto Poll() -> void {
    io_.restart();
    io_.poll();
  }

 private:
  auto MakeHooks(const std::string& name = {}) -> BatchServiceHooks {
    return {.clock = clock.AsHook(),
            .wall_clock = [this] { return WallNow(); },
            .random = [this] { return random_(); },
            .live_nodes = [this] { return Live(); },
            .isolated = [this, name] { return isolated.contains(name); },
            .send_job_notice =
                [this](const NodeId& node, const JobNotice& notice) {
                  auto& target = nodes.at(node.value());
                  if (target.service && !*target.paused && !lose_notices &&
                      !isolated.contains(node.value()) &&
                      !isolated.contains(notice.sender.value())) {
                    target.service->OnJobNotice(notice);
                  }
                },
            .log = {}};
  }

  std::mt19937_64 random_;
  ManualTimers timers_;
  std::vector<std::shared_ptr<SlowStore>> stores_;
  std::vector<std::shared_ptr<FakeRunner>> runners_;
  std::map<std::string, MonotonicTime> deaths_;
  Incarnation incarnation_ = 0;
  MonotonicTime last_tick_;
  MemoryObjectStore::FaultHook fault_;
  bool direct_ = false;
  // Destroyed first, with the coroutines that refer to the rest.
  boost::asio::io_context io_;
};

}  // namespace kumquatgauge::batch::testing

#endif  // SRC_BATCH_TEST_CLUSTER_H_
