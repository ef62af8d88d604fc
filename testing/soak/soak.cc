#include "testing/soak/soak.h"

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <functional>
#include <iterator>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <thread>
#include <utility>

#include "kumquatgauge/serving/watcher_choice.h"
#include "testing/gateway/fake_servers.h"
#include "testing/gateway/gateway_process.h"
#include "testing/soak/checker.h"
#include "testing/soak/job_items.h"
#include "testing/soak/loopback_proxy.h"
#include "testing/soak/organisation_load.h"
#include "testing/soak/removable_route_load.h"
#include "testing/support/held_address.h"

namespace kumquatgauge::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kCallers = 6;
constexpr int kSpareReplicas = 2;  // In addition to one per node.
constexpr int kMaxItems = 6;
// Callers that submit long jobs and end them. All slots together need some
// seconds for one job, so that items are left well after its end.
constexpr int kJobEnders = 3;
constexpr int kLongJobItems = 200;
// Tokens of batch items that may wait: those of two long jobs and some short
// ones, so that the third long job is refused while all items wait.
constexpr std::uint64_t kTokenLimit = 4'500;
constexpr milliseconds kRunTimeMax{2'000};  // Of a long job until it is ended.
constexpr milliseconds kRepeatPause{300};
constexpr int kEndAttempts = 12;
constexpr milliseconds kCallerPause{15};
constexpr milliseconds kReaderPause{60};
constexpr milliseconds kFaultPauseMin{100};
constexpr milliseconds kFaultPauseMax{900};
constexpr milliseconds kFaultMin{200};
constexpr milliseconds kFaultMax{3'000};
constexpr milliseconds kMaxStoreRefusalTime{9'000};
// Of the faults, so many are followed by a replica that says that it leaves.
constexpr std::size_t kLeavingOneIn = 6;
// The same of a replica whose answers stall, and of the loss of all nodes.
constexpr std::size_t kStallOneIn = 4;
constexpr std::size_t kAllLostOneIn = 20;
constexpr std::uint64_t kLateSeed = 1'000'003;
// The same of signals that ask for nothing, and of a log that can no longer be
// written; of restarts, so many find one of their addresses in use.
constexpr std::size_t kSignalOneIn = 3;
constexpr std::size_t kLogLostOneIn = 8;
constexpr std::size_t kAddressHeldOneIn = 3;
constexpr int kSignalsDuringStop = 3;
constexpr std::uint64_t kProcessSeed = 2'000'003;
// Memory limit of a node, and a series of long jobs without a pause, several of
// which would exceed it.
constexpr std::uint32_t kNodeMegabytes = 64;
constexpr std::uint64_t kBytesPerMegabyte = 1'000'000;
constexpr int kSeriesJobs = 60;
constexpr std::size_t kSeriesItems = 24;
constexpr std::size_t kSeriesBodyBytes = 40'000;  // Of an item, in Base64.
constexpr milliseconds kSeriesPauseMax{1'000};
constexpr auto kSeriesPath = "/series/";
constexpr auto kSeriesTarget = "/series/1";
// Callers that give up on a submission, repeat it elsewhere and end the job.
constexpr int kHastyCallers = 4;
constexpr std::uint64_t kHastySeed = 6'000'003;
constexpr milliseconds kHastyPauseMax{100};
constexpr milliseconds kHastyPoll{5};
// Until the first submission is stored; it may never be.
constexpr milliseconds kStoredTimeMax{1'500};
// The same of a store that answers one node late, and whose inexact reads are
// old.
constexpr std::size_t kLateAnswersOneIn = 2;
constexpr milliseconds kMinAnswerDelay{150};
constexpr milliseconds kMaxAnswerDelay{600};
constexpr std::uint64_t kLagSeed = 7'000'003;
// With rare faults, of the others.
constexpr std::size_t kRareFaultsOneIn = 8;
// How long jobs wait for the loss of their node, to be ended at the next one.
constexpr milliseconds kTakeoverTimeMax{8'000};
constexpr auto kTakeoverPrefix = "slow-taken-";
constexpr std::uint64_t kTakeoverSeed = 8'000'003;
// A route with open jobs that goes and returns, or not.
constexpr std::size_t kRouteChangeOneIn = 5;
constexpr std::uint64_t kRouteSeed = 9'000'003;
// A store that turns away the nodes that watch it.
constexpr std::size_t kWatchersRefusedOneIn = 6;
constexpr std::uint64_t kWatcherSeed = 10'000'003;
// A run with a release: when it begins, and the time between two replicas.
constexpr milliseconds kReleaseStart{3'000};
constexpr milliseconds kReleasePause{400};
// Streams that begin at one node and are taken up elsewhere after its loss.
// With four nodes each one runs for longer than nodes remember a former
// version.
constexpr int kGroupStreams = 16;
constexpr milliseconds kGroupInterval{12'000};
constexpr std::uint64_t kGroupSeed = 11'000'003;
constexpr auto kStreamPath = "/stream/x";
constexpr int kNoNode = -1;
constexpr std::uint64_t kSeriesSeed = 4'000'003;
// The same of replicas that refuse some requests and write the refusals twice.
constexpr std::size_t kRefusalsOneIn = 4;
constexpr std::size_t kMaxRefusals = 4;
constexpr std::uint64_t kRefusalSeed = 3'000'003;
// How often a caller sends a refused request meanwhile.
constexpr int kMaxSends = 4;
// Threads that send requests of an organisation, with odd seeds only: the
// others play a fleet without organisations.
constexpr int kKeyedCallers = 2;
constexpr std::uint64_t kKeyedSeed = 5'000'003;
// Software versions of the replicas at the start; later ones are released.
constexpr std::size_t kFirstVersions = 2;
// How often a caller takes up a stream.
constexpr auto kResumes = 2;
constexpr milliseconds kMaxEventDelay{60};
// The settings' stop_s plus time to be scheduled on a busy machine.
constexpr milliseconds kStopTime{9'500};
// Signals that no process may end by at once.
constexpr int kSignals[] = {SIGTERM, SIGINT,  SIGHUP, SIGPIPE,
                            SIGXFSZ, SIGUSR1, SIGUSR2};
// Limit for all conditions to hold again once the faults have ended.
constexpr milliseconds kSettleTime{30'000};
constexpr milliseconds kSettlePoll{100};

// A seeded random source. Each thread has its own, so that a seed always yields
// the same faults.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  auto Below(std::size_t count) -> std::size_t { return engine_() % count; }
  auto Between(milliseconds low, milliseconds high) -> milliseconds {
    return low + milliseconds(
                     Below(static_cast<std::size_t>((high - low).count()) + 1));
  }

 private:
  std::mt19937_64 engine_;
};

// A path that only the configuration of this version has a route for.
auto VersionPath(int version) -> std::string {
  return "/version-" + std::to_string(version) + "/";
}

auto MakeSoakConfiguration(int version) -> json {
  auto configuration = MakeConfiguration(version);
  for (auto& route : configuration.at("routes")) {
    if (route.at("kind") == "batch") {
      route["retention_s"] = 3'600;
      route["cap"] = kTokenLimit;
    }
  }
  // Jobs of this route are limited by the memory of the nodes alone.
  auto series = json();
  for (const auto& route : configuration.at("routes")) {
    if (route.at("kind") == "batch") {
      series = route;
    }
  }
  series["name"] = "series";
  series["path_prefix"] = kSeriesPath;
  series.erase("cap");
  configuration.at("routes").push_back(series);
  configuration.at("routes").push_back(
      MakeRoute(VersionPath(version), "safe", {{"name", "version"}}));
  return configuration;
}

class Soak {
 public:
  explicit Soak(const SoakSettings& settings)
      : settings_(settings),
        fault_random_(settings.seed),
        replica_random_(~settings.seed),
        late_random_(settings.seed + kLateSeed),
        process_random_(settings.seed + kProcessSeed),
        refusal_random_(settings.seed + kRefusalSeed),
        lag_random_(settings.seed + kLagSeed),
        route_random_(settings.seed + kRouteSeed),
        watcher_random_(settings.seed + kWatcherSeed),
        store_(thread_.context()),
        checker_([this](const std::string& id) { return RunCount(id); },
                 kTokenLimit) {
    PutConfiguration(version_);
    const auto replicas =
        static_cast<std::size_t>(settings_.nodes) + kSpareReplicas;
    replicas_.reserve(replicas);
    for (std::size_t at = 0; at < replicas; ++at) {
      auto& replica = replicas_.emplace_back();
      replica.server = std::make_unique<FakeReplica>(
          thread_.context(), "i-" + std::to_string(at),
          [this, at](const std::string& request) {
            OnStarted(request, replicas_[at].server->id());
          });
      replica.server->set_version("v" + std::to_string(at % kFirstVersions));
      replica.link = std::make_unique<LoopbackProxy>(thread_.context(),
                                                     replica.server->address());
      Announce(replica);
    }
    for (auto at = 0; at < settings_.nodes; ++at) {
      auto& node = nodes_.emplace_back();
      node.store_address = store_.AddEndpoint();
      node.store_link = std::make_unique<LoopbackProxy>(thread_.context(),
                                                        node.store_address);
      node.process = std::make_unique<GatewayProcess>(
          settings_.gateway, "n" + std::to_string(at),
          node.store_link->address(), settings_.folder, kNodeMegabytes,
          has_organisations()
              ? std::optional(static_cast<int>(
                    OrganisationLoad::kMaxConfigurationAge.count()))
              : std::nullopt);
    }
  }

  auto Run() -> SoakReport {
    Settle("after the start");
    auto workers = std::vector<std::thread>();
    for (auto caller = 0; caller < kCallers; ++caller) {
      workers.emplace_back([this, caller] { RunCaller(caller); });
    }
    for (auto job_ender = 0; job_ender < kJobEnders; ++job_ender) {
      workers.emplace_back([this, job_ender] { RunJobEnder(job_ender); });
    }
    workers.emplace_back([this] { RunVersionReader(); });
    workers.emplace_back([this] { RunSeriesOfJobs(); });
    workers.emplace_back([this] { RunTakeoverEnder(); });
    if (settings_.release) {
      workers.emplace_back([this] { RunStreamGroups(); });
    }
    workers.emplace_back(
        [this] { removable_route_.Run(settings_.seed + kRouteSeed, done_); });
    for (auto caller = 0; caller < kHastyCallers; ++caller) {
      workers.emplace_back([this, caller] { RunHastyCaller(caller); });
    }
    for (auto caller = 0; has_organisations() && caller < kKeyedCallers;
         ++caller) {
      workers.emplace_back([this, caller] {
        organisation_load_.Run(settings_.seed + kKeyedSeed * (caller + 1),
                               done_);
      });
    }
    InjectFaults();
    done_ = true;
    for (auto& worker : workers) {
      worker.join();
    }
    EndFaults();
    EndLeftJobs();
    Settle("after the faults");
    for (const auto& node : nodes_) {
      checker_.Expect(IsLoaded(node),
                      node.process->name() + " does not handle every signal");
    }
    ReadAllJobs();
    CheckOrganisation();
    checker_.Finish();
    thread_.Stop();
    counts_["stream resumed"] = resumed_;
    counts_["stream not resumed"] = not_resumed_;
    counts_["refused request repeated"] = sent_again_;
    counts_["job submitted twice and ended"] = hasty_jobs_;
    counts_["job kept for a takeover"] = jobs_left_to_takeover_;
    counts_["job ended at its new owner"] = ended_at_new_owner_;
    counts_["job of a removable route"] = removable_route_.jobs();
    return {checker_.violations(), checker_.replies(), counts_};
  }

 private:
  struct Replica {
    std::unique_ptr<FakeReplica> server;
    std::unique_ptr<LoopbackProxy> link;
    bool leaving = false;  // Says so in its answers, not in its entry.
  };
  struct Node {
    std::unique_ptr<GatewayProcess> process;
    std::string store_address;  // Of the store, for this node only.
    std::unique_ptr<LoopbackProxy> store_link;
    bool down = false;    // Killed, or in a planned stop.
    bool paused = false;  // By SIGSTOP.
  };
  struct JobOwner {
    std::string node;
    std::uint64_t incarnation = 0;  // Another one after each start.

    auto operator==(const JobOwner&) const -> bool = default;
  };
  struct BegunStream {
    std::string id;
    std::string target;
    std::string version;  // Of the replica that began it.
    FetchReply reply;
  };
  // Ends or continues a fault when it is due.
  struct ScheduledAction {
    SteadyTime at;
    std::function<auto()->void> act;
  };

  auto has_organisations() const -> bool { return settings_.seed % 2 == 1; }

  auto PutConfiguration(int version) -> void {
    auto configuration = MakeSoakConfiguration(version);
    removable_route_.AddTo(configuration);
    if (has_organisations()) {
      OrganisationLoad::AddTo(configuration, version);
    }
    store_.Put("config/main", std::move(configuration));
    checker_.OnVersionStored(version, std::chrono::steady_clock::now());
    organisation_load_.OnVersionStored(version);
  }

  auto CheckOrganisation() -> void {
    auto replicas = std::vector<const FakeReplica*>();
    for (const auto& replica : replicas_) {
      replicas.push_back(replica.server.get());
    }
    for (const auto& violation : organisation_load_.Violations(replicas)) {
      checker_.Expect(false, violation);
    }
    if (has_organisations()) {
      counts_["requests of an organisation"] =
          static_cast<int>(organisation_load_.runs());
    }
  }

  auto RunCount(const std::string& id) const -> int {
    auto runs = 0;
    for (const auto& replica : replicas_) {
      runs += replica.server->RunCount(id);
    }
    return runs;
  }

  // Called when a request begins to run at a replica.
  auto OnStarted(const std::string& request, const std::string& replica)
      -> void {
    checker_.OnStarted(request, replica, std::chrono::steady_clock::now());
    organisation_load_.OnStarted(request);
    const auto mark = request.find(kItemMark);
    if (mark == std::string::npos) {
      return;
    }
    const auto job = request.substr(0, mark);
    checker_.OnItemStarted(job, request, OwnerOf(job).node, replica,
                           std::chrono::steady_clock::now());
  }

  auto Announce(const Replica& replica) -> void {
    store_.Put("servers/" + replica.server->id(),
               ServerEntry(replica.link->address(), replica.server->version()));
  }

  // --- Callers.

  auto RunCaller(int caller) -> void {
    auto random = RandomSource(settings_.seed * kCallers + caller);
    for (auto number = 0; !done_; ++number) {
      const auto& node = *nodes_[random.Below(nodes_.size())].process;
      const auto id =
          "q" + std::to_string(caller) + "-" + std::to_string(number);
      switch (random.Below(7)) {
        case 0:
          CallPlain(node, "/plain/x", id, 2);
          break;
        case 1:
          CallPlain(node, "/plain/once/x", id, 1);
          break;
        case 2:
          CallStream(node, kStreamPath, id, 2, true, random);
          break;
        case 3:
          CallStream(node, "/stream/once/x", id, 1, false, random);
          break;
        case 4:
          Submit(node, id, random.Below(kMaxItems) + 1);
          break;
        case 5:
          EndSome(random);
          break;
        default:
          ReadSome(node, random);
          break;
      }
      std::this_thread::sleep_for(kCallerPause);
    }
  }

  // Sends a request with `send` and tells the checker by which node it went
  // when, and what the node passed on.
  auto Send(const GatewayProcess& node,
            const std::string& id,
            const std::function<auto()->FetchReply>& send) -> FetchReply {
    const auto start = node.starts();
    checker_.OnSent(id, node.name(), start, std::chrono::steady_clock::now());
    auto reply = send();
    checker_.OnPassedOn(node.name(), start, reply,
                        std::chrono::steady_clock::now());
    return reply;
  }

  auto Call(const GatewayProcess& node,
            const std::string& target,
            const std::string& id,
            const std::string& body = "") -> FetchReply {
    return Send(node, id, [&] { return node.Call("POST", target, id, body); });
  }

  auto CallPlain(const GatewayProcess& node,
                 const std::string& target,
                 const std::string& id,
                 int max_runs) -> void {
    const auto expected =
        RequestExpectation{max_runs, false, "answer to " + id};
    auto reply = Call(node, target, id, id);
    checker_.OnReply(id, expected, reply);
    for (auto sends = 1; refusals_repeated_ && sends < kMaxSends &&
                         reply.status == kServiceUnavailable;
         ++sends) {
      std::this_thread::sleep_for(kCallerPause);
      checker_.OnRepeat(id);
      ++sent_again_;
      reply = Call(node, target, id, id);
      checker_.OnReply(id, expected, reply);
    }
  }

  auto CallStream(const GatewayProcess& node,
                  const std::string& target,
                  const std::string& id,
                  int max_runs,
                  bool resumable,
                  RandomSource& random) -> void {
    const auto sent = std::chrono::steady_clock::now();
    const auto reply = Call(node, target, id);
    const auto version = VersionIn(reply.body);
    if (settings_.release) {
      checker_.OnStream(node.name(), false, reply.status == kOk, sent);
    }
    checker_.OnReply(id, {max_runs, true, ExpectedEvents(id, 0, version)},
                     reply);
    if (resumable) {
      const auto stream = BegunStream{id, target, version, reply};
      for (auto attempt = 1; attempt <= kResumes; ++attempt) {
        TakeUp(stream, id + "-again" + std::to_string(attempt),
               *nodes_[random.Below(nodes_.size())].process, random);
      }
    }
  }

  // Takes up a stream after one of its events, as a caller does whose
  // connection broke there. Returns whether it goes on; nothing if it had no
  // event.
  auto TakeUp(const BegunStream& stream,
              const std::string& id,
              const GatewayProcess& node,
              RandomSource& random) -> std::optional<bool> {
    const auto events = LastEventIn(stream.reply.body);
    if (events == 0) {
      return std::nullopt;
    }
    const auto after =
        1 + static_cast<int>(random.Below(static_cast<std::size_t>(events)));
    const auto resumed = Send(node, id, [&] {
      return node.Resume(stream.target, id, stream.id, after);
    });
    checker_.OnReply(id, {2, true, ExpectedEvents(id, after, stream.version)},
                     resumed);
    const auto goes_on = resumed.status == kOk;
    ++(goes_on ? resumed_ : not_resumed_);
    return goes_on;
  }

  // Begins streams at one node after the other, and takes them up at others as
  // soon as it is killed.
  auto RunStreamGroups() -> void {
    auto random = RandomSource(settings_.seed + kGroupSeed);
    for (std::size_t number = 0; !done_; ++number) {
      const auto lost = number % nodes_.size();
      auto group = std::vector<BegunStream>();
      for (auto at = 0; at < kGroupStreams; ++at) {
        const auto id =
            "group" + std::to_string(number) + "-" + std::to_string(at);
        const auto reply = Call(*nodes_[lost].process, kStreamPath, id);
        const auto version = VersionIn(reply.body);
        checker_.OnReply(id, {2, true, ExpectedEvents(id, 0, version)}, reply);
        group.push_back({id, kStreamPath, version, reply});
      }
      const auto next = std::chrono::steady_clock::now() + kGroupInterval;
      node_to_kill_ = static_cast<int>(lost);
      while (!done_ && node_to_kill_ != kNoNode) {
        std::this_thread::sleep_for(kHastyPoll);
      }
      for (const auto& stream : group) {
        const auto other =
            (lost + 1 + random.Below(nodes_.size() - 1)) % nodes_.size();
        const auto& node = *nodes_[other].process;
        const auto sent = std::chrono::steady_clock::now();
        const auto goes_on = TakeUp(stream, stream.id + "-again", node, random);
        if (goes_on && ServingReplicas(stream.version) > 1) {
          checker_.OnStream(node.name(), true, *goes_on, sent);
        }
      }
      while (!done_ && std::chrono::steady_clock::now() < next) {
        std::this_thread::sleep_for(kHastyPoll);
      }
    }
  }

  // Number of replicas of a software version that are in the store.
  auto ServingReplicas(const std::string& version) const -> std::size_t {
    return static_cast<std::size_t>(std::count_if(
        replicas_.begin(), replicas_.end(), [&](const Replica& replica) {
          const auto entry = store_.Get("servers/" + replica.server->id());
          return entry.is_object() && entry.at("version") == version;
        }));
  }

  // Returns whether the job was accepted.
  auto Submit(const GatewayProcess& node,
              const std::string& job,
              std::size_t count) -> bool {
    const auto items = ItemsOf(job, count);
    const auto reply = node.Call("POST", "/jobs/1", job, JobBody(items));
    checker_.OnSubmitted(job, items, reply);
    return reply.status == kAccepted;
  }

  // Submits long jobs to one node faster than they can run, then ends them.
  auto RunSeriesOfJobs() -> void {
    auto random = RandomSource(settings_.seed + kSeriesSeed);
    const auto body = std::string(kSeriesBodyBytes, 'A');
    for (auto number = 0; !done_; ++number) {
      std::this_thread::sleep_for(
          random.Between(milliseconds(0), kSeriesPauseMax));
      const auto& node = *nodes_[random.Below(nodes_.size())].process;
      auto accepted = std::vector<std::string>();
      for (auto at = 0; at < kSeriesJobs && !done_; ++at) {
        const auto job =
            "series-" + std::to_string(number) + "-" + std::to_string(at);
        const auto items = ItemsOf(job, kSeriesItems);
        const auto reply =
            node.Call("POST", kSeriesTarget, job, JobBody(items, body));
        checker_.OnSubmitted(job, items, reply, false);
        if (reply.status == kAccepted) {
          accepted.push_back(job);
        }
      }
      for (const auto& job : accepted) {
        End(job, random);
      }
    }
  }

  // Submits long jobs at two nodes at once and ends them at any moment.
  auto RunHastyCaller(int caller) -> void {
    auto random = RandomSource(settings_.seed + kHastySeed * (caller + 1));
    for (auto number = 0; !done_; ++number) {
      const auto job =
          "slow-hasty" + std::to_string(caller) + "-" + std::to_string(number);
      const auto items = ItemsOf(job, kLongJobItems);
      const auto submit = [&](std::size_t node) {
        return nodes_[node].process->Call("POST", kSeriesTarget, job,
                                          JobBody(items));
      };
      const auto first_node = late_node_.load();
      auto first = FetchReply();
      auto submission = std::thread([&] { first = submit(first_node); });
      AwaitStored(job);
      std::this_thread::sleep_for(
          random.Between(milliseconds(0), kHastyPauseMax));
      const auto second = submit(random.Below(nodes_.size()));
      // Ends the job as soon as it has a 202, while the other submission may
      // still be under way.
      if (second.status == kAccepted) {
        End(job, random);
      }
      submission.join();
      // A refusal holds only if both are.
      const auto refused = first.status == kServiceUnavailable ||
                           first.status == kTooManyRequests;
      checker_.OnSubmitted(
          job, items, refused || second.status == kAccepted ? second : first,
          false);
      if (second.status != kAccepted) {
        End(job, random);
      }
      LeaveJob(job);
      ++hasty_jobs_;
      std::this_thread::sleep_for(kRepeatPause);
    }
  }

  // Waits until the state of a job is in the store, whose answer may be late.
  auto AwaitStored(const std::string& job) -> void {
    const auto last = std::chrono::steady_clock::now() + kStoredTimeMax;
    while (!store_.Has("job-states/" + job) && !done_ &&
           std::chrono::steady_clock::now() < last) {
      std::this_thread::sleep_for(kHastyPoll);
    }
  }

  // Submits long jobs and ends them while their items run.
  auto RunJobEnder(int job_ender) -> void {
    auto random = RandomSource(settings_.seed * kJobEnders + job_ender);
    for (auto number = 0; !done_; ++number) {
      const auto& node = *nodes_[random.Below(nodes_.size())].process;
      const auto job =
          "slow-" + std::to_string(job_ender) + "-" + std::to_string(number);
      const auto time = random.Between(milliseconds(0), kRunTimeMax);
      if (Submit(node, job, kLongJobItems)) {
        std::this_thread::sleep_for(time);
        End(job, random);
      }
      std::this_thread::sleep_for(kRepeatPause);
    }
  }

  // Ends jobs at the node that is just taking them over. Submits one after the
  // other to any node; those whose node is not lost end after a while.
  auto RunTakeoverEnder() -> void {
    struct OpenJob {
      std::string id;
      JobOwner owner;
      SteadyTime last;
    };
    auto random = RandomSource(settings_.seed + kTakeoverSeed);
    auto open = std::vector<OpenJob>();
    for (auto number = 0; !done_; ++number) {
      if (open.size() < nodes_.size()) {
        const auto job = kTakeoverPrefix + std::to_string(number);
        const auto items = ItemsOf(job, kLongJobItems);
        const auto reply = nodes_[random.Below(nodes_.size())].process->Call(
            "POST", kSeriesTarget, job, JobBody(items));
        checker_.OnSubmitted(job, items, reply, false);
        if (reply.status == kAccepted) {
          ++jobs_left_to_takeover_;
          open.push_back({job, OwnerOf(job),
                          std::chrono::steady_clock::now() + kTakeoverTimeMax});
        }
      }
      const auto now = std::chrono::steady_clock::now();
      std::erase_if(open, [&](const OpenJob& job) {
        const auto owner = OwnerOf(job.id);
        const auto taken_over = owner != job.owner;
        if (taken_over) {
          EndAt(owner.node, job.id, random);
        } else if (now >= job.last) {
          End(job.id, random);
        }
        return taken_over || now >= job.last;
      });
      std::this_thread::sleep_for(kHastyPoll);
    }
    for (const auto& job : open) {
      checker_.OnEndRequested(job.id);
      LeaveJob(job.id);
    }
  }

  // Leaves a job that may still be open to EndLeftJobs().
  auto LeaveJob(const std::string& job) -> void {
    const auto lock = std::lock_guard(left_jobs_mutex_);
    left_jobs_.push_back(job);
  }

  // The owner that the store names; the node is empty if there is none.
  auto OwnerOf(const std::string& job) const -> JobOwner {
    const auto state = store_.Get("job-states/" + job);
    return state.is_object()
               ? JobOwner{state.value("owner", ""),
                          state.value("incarnation", std::uint64_t{0})}
               : JobOwner();
  }

  // Asks a node to end a job, then others if it refuses.
  auto EndAt(const std::string& owner,
             const std::string& job,
             RandomSource& random) -> void {
    checker_.OnEndRequested(job);
    auto status = 0;
    for (const auto& node : nodes_) {
      if (node.process->name() == owner) {
        ++ended_at_new_owner_;
        status = RequestEnd(*node.process, job);
      }
    }
    if (status != kOk) {
      End(job, random);
    }
  }

  // Ends what callers could not end before the soak was over, which would keep
  // all replicas full.
  auto EndLeftJobs() -> void {
    const auto last = std::chrono::steady_clock::now() + kSettleTime;
    const auto& node = *nodes_.front().process;
    for (const auto& job : left_jobs_) {
      auto status = 0;
      while (status != kOk && status != kNotFound &&
             std::chrono::steady_clock::now() < last) {
        status = RequestEnd(node, job);
        if (status != kOk && status != kNotFound) {
          std::this_thread::sleep_for(kSettlePoll);
        }
      }
    }
  }

  auto EndSome(RandomSource& random) -> void {
    auto jobs = checker_.unfinished_jobs();
    std::erase_if(jobs, [](const std::string& job) {
      return job.starts_with(kTakeoverPrefix) ||
             job.starts_with(RemovableRouteLoad::kJobPrefix);
    });
    if (!jobs.empty()) {
      End(jobs[random.Below(jobs.size())], random);
    }
  }

  // Asks random nodes to end a job until one has acknowledged it.
  auto End(const std::string& job, RandomSource& random) -> void {
    checker_.OnEndRequested(job);
    for (auto attempt = 0; attempt < kEndAttempts && !done_; ++attempt) {
      const auto& node = *nodes_[random.Below(nodes_.size())].process;
      const auto status = RequestEnd(node, job);
      if (status != 0 && status != kServiceUnavailable) {
        return;
      }
      std::this_thread::sleep_for(kRepeatPause);
    }
  }

  // Asks a node to end a job. Returns the status of its answer.
  auto RequestEnd(const GatewayProcess& node, const std::string& job) -> int {
    const auto reply = node.Call("DELETE", "/api/lots/" + job, "");
    checker_.OnEndAnswered(job, reply, std::chrono::steady_clock::now());
    return reply.status;
  }

  auto ReadSome(const GatewayProcess& node, RandomSource& random) -> void {
    const auto jobs = checker_.unfinished_jobs();
    if (!jobs.empty()) {
      ReadJob(node, jobs[random.Below(jobs.size())]);
    }
  }

  auto ReadJob(const GatewayProcess& node, const std::string& job) -> void {
    const auto page = node.ReadJob(job);
    if (!page.is_object()) {
      return;
    }
    auto position = std::size_t{0};
    for (const auto& result : page.at("results")) {
      checker_.OnListed(job, position++, result.at("id"), result.at("state"),
                        result.value("text", ""));
    }
  }

  // Checks which configuration version the nodes serve by.
  auto RunVersionReader() -> void {
    auto random = RandomSource(settings_.seed + kCallers);
    for (auto number = 0; !done_; ++number) {
      const auto& node = *nodes_[random.Below(nodes_.size())].process;
      const auto newest = version_.load();
      const auto sent = std::chrono::steady_clock::now();
      const int versions[] = {newest, newest - 1,
                              checker_.NewestReplaced(sent)};
      const auto version = versions[random.Below(std::size(versions))];
      const auto start = node.starts();
      const auto served =
          ServesVersion(node, version, "v" + std::to_string(number));
      if (served && node.starts() == start) {
        checker_.OnVersionServed(node.name(), start, version, sent);
      }
      std::this_thread::sleep_for(kReaderPause);
    }
  }

  static auto ServesVersion(const GatewayProcess& node,
                            int version,
                            const std::string& id) -> bool {
    const auto reply = node.Call("POST", VersionPath(version), id);
    return reply.status == kOk;
  }

  // --- Faults.

  auto InjectFaults() -> void {
    // In half of the runs the inexact reads of some nodes are as old as they
    // may be.
    const auto lags = lag_random_.Below(2) != 0;
    for (const auto& node : nodes_) {
      if (lags && watcher_random_.Below(2) == 0) {
        store_.SetReadAge(node.store_address, FakeObjectApi::kMaxReadAge);
      }
    }
    if (settings_.release) {
      ReleaseVersion();
    }
    const auto end = std::chrono::steady_clock::now() + settings_.time;
    while (std::chrono::steady_clock::now() < end) {
      if (settings_.release) {
        KillChosenNode();
      } else if (!settings_.rare_faults ||
                 lag_random_.Below(kRareFaultsOneIn) == 0) {
        InjectOne();
      }
      if (!settings_.release && replica_random_.Below(kLeavingOneIn) == 0) {
        LetReplicaLeave();
      }
      if (late_random_.Below(kStallOneIn) == 0) {
        ++counts_["replica stalls"];
        replicas_[late_random_.Below(replicas_.size())].server->SetFault(
            ReplicaFault::kTrickle, 1);
      }
      if (!settings_.rare_faults && !settings_.release &&
          late_random_.Below(kAllLostOneIn) == 0) {
        KillAll();
      }
      if (route_random_.Below(kRouteChangeOneIn) == 0) {
        ChangeRoute();
      }
      if (watcher_random_.Below(kWatchersRefusedOneIn) == 0) {
        RefuseWatchersAtStore();
      }
      DisturbProcesses();
      CheckMemory();
      if (refusal_random_.Below(kRefusalsOneIn) == 0) {
        RepeatRefusals();
      }
      if (lag_random_.Below(kLateAnswersOneIn) == 0) {
        DelayStoreAnswers();
      }
      std::this_thread::sleep_for(
          fault_random_.Between(kFaultPauseMin, kFaultPauseMax));
      RunDue(std::chrono::steady_clock::now());
    }
  }

  auto RunDue(SteadyTime now) -> void {
    auto due = std::vector<ScheduledAction>();
    std::erase_if(scheduled_, [&](auto& entry) {
      if (entry.at > now) {
        return false;
      }
      due.push_back(std::move(entry));
      return true;
    });
    for (const auto& entry : due) {
      entry.act();
    }
  }

  auto RunAfter(milliseconds time, std::function<auto()->void> act) -> void {
    scheduled_.push_back(
        {std::chrono::steady_clock::now() + time, std::move(act)});
  }

  auto InjectOne() -> void {
    using Fault = auto(Soak::*)()->void;
    static constexpr std::pair<const char*, Fault> kFaults[] = {
        {"kill", &Soak::Kill},
        {"pause", &Soak::Pause},
        {"planned stop", &Soak::StopGracefully},
        {"reload", &Soak::Reload},
        {"store link", &Soak::DisruptStoreLink},
        {"replica link", &Soak::DisruptReplicaLink},
        {"replica answers", &Soak::SetReplicaFault},
        {"replica leaves", &Soak::RemoveReplica},
        {"store down", &Soak::StopStore},
        {"store turns a node away", &Soak::RefuseNodeAtStore},
        {"store answers lost", &Soak::LoseStoreAnswers},
        {"configuration", &Soak::Configure},
    };
    const auto& [name, inject] =
        kFaults[fault_random_.Below(std::size(kFaults))];
    ++counts_[name];
    (this->*inject)();
  }

  auto FaultDuration() -> milliseconds {
    return fault_random_.Between(kFaultMin, kFaultMax);
  }
  auto RandomNode() -> Node& {
    return nodes_[fault_random_.Below(nodes_.size())];
  }
  auto RandomReplica() -> Replica& {
    return replicas_[fault_random_.Below(replicas_.size())];
  }

  // A process that the soak has not ended must still run.
  auto ExpectRunning(Node& node) -> void {
    const auto exit = node.process->process().WaitForExit(milliseconds(0));
    checker_.Expect(!exit, node.process->name() + " ended by itself with " +
                               std::to_string(exit.value_or(0)));
  }

  // Any signal ends a process that has not run its first instruction yet, which
  // no program can prevent. Beside 48 busy processes on 8 cores 4 of 60 took
  // over 0.2 s until then.
  static auto IsLoaded(const Node& node) -> bool {
    const auto& process = node.process->process();
    return std::all_of(
        std::begin(kSignals), std::end(kSignals),
        [&](const auto signal) { return process.Handles(signal); });
  }

  auto Kill() -> void {
    auto& node = RandomNode();
    Kill(node, FaultDuration());
  }

  auto KillAll() -> void {
    ++counts_["all nodes killed"];
    const auto time = late_random_.Between(kFaultMin, kFaultMax);
    for (auto& node : nodes_) {
      Kill(node, time);
    }
  }

  auto Kill(Node& node, milliseconds time) -> void {
    if (!node.down) {
      ExpectRunning(node);
      checker_.OnDisrupted(node.process->name());
      node.process->process().Signal(SIGKILL);
      node.down = true;
      RunAfter(time, [this, &node] { RestartNode(node); });
    }
  }

  // What no process may end by.
  auto DisturbProcesses() -> void {
    constexpr int kNoRequests[] = {SIGPIPE, SIGXFSZ, SIGUSR1, SIGUSR2};
    auto& node = nodes_[process_random_.Below(nodes_.size())];
    const auto signal =
        kNoRequests[process_random_.Below(std::size(kNoRequests))];
    const auto send_signal = process_random_.Below(kSignalOneIn) == 0;
    const auto lose_log = process_random_.Below(kLogLostOneIn) == 0;
    if (node.down || !IsLoaded(node)) {
      return;
    }
    if (send_signal) {
      ++counts_["signal"];
      node.process->process().Signal(signal);
    }
    if (lose_log) {
      ++counts_["log lost"];
      const auto limit = rlimit{0, 0};
      ::prlimit(node.process->process().id(), RLIMIT_FSIZE, &limit, nullptr);
    }
  }

  // Callers repeat refused requests meanwhile, so that a second copy of a
  // refusal can meet a request with the id that it names.
  auto RepeatRefusals() -> void {
    ++counts_["refusals written twice"];
    const auto time = refusal_random_.Between(kFaultMin, kFaultMax);
    for (auto& replica : replicas_) {
      replica.server->Refuse(
          static_cast<int>(refusal_random_.Below(kMaxRefusals)) + 1);
      replica.link->set_repeats_refusals(true);
    }
    refusals_repeated_ = true;
    const auto number = ++refusal_repeats_;
    RunAfter(time, [this, number] {
      if (number == refusal_repeats_) {
        EndRepeatedRefusals();
      }
    });
  }

  auto EndRepeatedRefusals() -> void {
    refusals_repeated_ = false;
    for (auto& replica : replicas_) {
      replica.link->set_repeats_refusals(false);
    }
  }

  // Keeps one of the addresses of a node that is about to start in use.
  auto HoldAddress(Node& node) -> void {
    const auto& process = *node.process;
    const std::string* addresses[] = {&process.callers(), &process.readiness(),
                                      &process.directory(), &process.nodes()};
    const auto& address =
        *addresses[process_random_.Below(std::size(addresses))];
    const auto time = process_random_.Between(kFaultMin, kFaultMax);
    if (process_random_.Below(kAddressHeldOneIn) != 0) {
      return;
    }
    ++counts_["address in use"];
    checker_.OnDisrupted(process.name());
    RunAfter(time, [this, &process,
                    held = std::make_shared<HeldAddress>(address)]() mutable {
      held.reset();
      checker_.OnDisruptionEnded(process.name(),
                                 std::chrono::steady_clock::now());
    });
  }

  // The users' platform ends a process that uses more memory than its limit.
  auto CheckMemory() -> void {
    auto& most = counts_["MB of a process at most"];
    for (const auto& node : nodes_) {
      const auto megabytes = static_cast<int>(
          node.process->process().memory_bytes() / kBytesPerMegabyte);
      checker_.Expect(
          megabytes <= static_cast<int>(kNodeMegabytes),
          node.process->name() + " uses " + std::to_string(megabytes) + " MB");
      most = std::max(most, megabytes);
    }
  }

  auto RestartNode(Node& node) -> void {
    HoldAddress(node);
    node.process->Start();
    node.down = false;
    node.paused = false;
    checker_.OnDisruptionEnded(node.process->name(),
                               std::chrono::steady_clock::now());
  }

  auto Pause() -> void {
    auto& node = RandomNode();
    const auto time = FaultDuration();
    if (!node.down && !node.paused) {
      checker_.OnDisrupted(node.process->name());
      checker_.OnPaused(node.process->name());
      node.process->process().Signal(SIGSTOP);
      node.paused = true;
      RunAfter(time, [this, &node] {
        const auto now = std::chrono::steady_clock::now();
        checker_.OnPaused(node.process->name());
        node.process->process().Signal(SIGCONT);
        node.paused = false;
        checker_.OnDisruptionEnded(node.process->name(), now);
      });
    }
  }

  auto StopGracefully() -> void {
    auto& node = RandomNode();
    if (!node.down && !node.paused && IsLoaded(node)) {
      ExpectRunning(node);
      checker_.OnDisrupted(node.process->name());
      node.process->process().Signal(SIGTERM);
      node.down = true;
      SendSignalsDuringStop(node);
      const auto last = std::chrono::steady_clock::now() + kStopTime;
      RunAfter(kStopTime, [this, &node, last] { EndGracefulStop(node, last); });
    }
  }

  auto SendSignalsDuringStop(Node& node) -> void {
    constexpr int kRequests[] = {SIGTERM, SIGINT, SIGHUP};
    for (auto number = 0; number < kSignalsDuringStop; ++number) {
      const auto signal =
          kRequests[process_random_.Below(std::size(kRequests))];
      RunAfter(process_random_.Between(milliseconds(0), kFaultMax),
               [&node, signal] { node.process->process().Signal(signal); });
    }
  }

  auto EndGracefulStop(Node& node, SteadyTime last) -> void {
    const auto left = std::chrono::duration_cast<milliseconds>(
        last - std::chrono::steady_clock::now());
    const auto exit =
        node.process->process().WaitForExit(std::max(left, milliseconds(0)));
    checker_.OnGracefulStop(node.process->name(), exit);
    RestartNode(node);
  }

  auto Reload() -> void {
    auto& node = RandomNode();
    if (!node.down && IsLoaded(node)) {
      node.process->process().Signal(SIGHUP);
    }
  }

  // `component` is the node or replica that the link belongs to.
  auto DisruptLink(LoopbackProxy& link, const std::string& component) -> void {
    constexpr LinkFault kLinkFaults[] = {LinkFault::kNone, LinkFault::kDelay,
                                         LinkFault::kSilence,
                                         LinkFault::kOneWay};
    const auto fault = kLinkFaults[fault_random_.Below(std::size(kLinkFaults))];
    const auto time = FaultDuration();
    checker_.OnDisrupted(component);
    if (fault == LinkFault::kNone) {
      link.Reset();
      checker_.OnDisruptionEnded(component, std::chrono::steady_clock::now());
      return;
    }
    link.SetFault(fault);
    RunAfter(time, [this, &link, component] {
      link.SetFault(LinkFault::kNone);
      checker_.OnDisruptionEnded(component, std::chrono::steady_clock::now());
    });
  }

  auto DisruptStoreLink() -> void {
    auto& node = RandomNode();
    DisruptLink(*node.store_link, node.process->name());
  }
  auto DisruptReplicaLink() -> void {
    auto& replica = RandomReplica();
    DisruptLink(*replica.link, replica.server->id());
  }

  auto SetReplicaFault() -> void {
    constexpr ReplicaFault kReplicaFaults[] = {
        ReplicaFault::kLoseAnswer, ReplicaFault::kBreakMidEvent,
        ReplicaFault::kRefuse,     ReplicaFault::kWrongRequestId,
        ReplicaFault::kFail,
    };
    auto& server = *RandomReplica().server;
    server.SetFault(
        kReplicaFaults[fault_random_.Below(std::size(kReplicaFaults))],
        static_cast<int>(fault_random_.Below(4)));
    server.set_event_delay(
        fault_random_.Between(milliseconds(0), kMaxEventDelay));
  }

  auto RemoveReplica() -> void {
    auto& replica = RandomReplica();
    store_.Remove("servers/" + replica.server->id());
    RunAfter(FaultDuration(), [this, &replica] { Announce(replica); });
  }

  auto LetReplicaLeave() -> void {
    auto& replica = replicas_[replica_random_.Below(replicas_.size())];
    const auto time =
        SoakChecker::kDrainTime + replica_random_.Between(kFaultMin, kFaultMax);
    LetLeave(replica, time, [this] {
      return kFirstVersions + ++replacements_ / 2;  // Two in a row are alike.
    });
  }

  // A replica says in its answers that it leaves. After `time`, one of the
  // version that `next_version` names takes its place.
  auto LetLeave(Replica& replica,
                milliseconds time,
                std::function<auto()->std::size_t> next_version) -> void {
    if (!std::exchange(replica.leaving, true)) {
      ++counts_["replica says that it leaves"];
      replica.server->set_leaving(true);
      RunAfter(time, [this, &replica, next_version = std::move(next_version)] {
        ReplaceReplica(replica, "v" + std::to_string(next_version()));
      });
    }
  }

  auto ReplaceReplica(Replica& replica, const std::string& version) -> void {
    store_.Remove("servers/" + replica.server->id());
    replica.server->Restart();
    replica.server->set_version(version);
    replica.leaving = false;
    Announce(replica);
  }

  // Replaces all replicas by ones of a new software version, one after the
  // other.
  auto ReleaseVersion() -> void {
    auto start = kReleaseStart;
    for (auto& replica : replicas_) {
      RunAfter(start, [this, &replica] {
        LetLeave(replica, SoakChecker::kDrainTime,
                 [] { return kFirstVersions; });
      });
      start += kReleasePause;
    }
  }

  auto KillChosenNode() -> void {
    if (node_to_kill_ != kNoNode) {
      ++counts_["kill"];
      Kill(nodes_[static_cast<std::size_t>(node_to_kill_)], FaultDuration());
      node_to_kill_ = kNoNode;
    }
  }

  auto StopStore() -> void {
    store_.set_down(true);
    checker_.OnDisrupted(SoakChecker::kStore);
    RunAfter(FaultDuration(), [this] {
      store_.set_down(false);
      checker_.OnDisruptionEnded(SoakChecker::kStore,
                                 std::chrono::steady_clock::now());
    });
  }

  auto RefuseNodeAtStore() -> void {
    const auto& node = RandomNode();
    RefuseAtStore(node, fault_random_.Between(kFaultMin, kMaxStoreRefusalTime));
  }

  // Not recorded as a disruption of the node: other nodes still reach it and
  // tell it of the end of jobs.
  auto RefuseAtStore(const Node& node, milliseconds time) -> void {
    const auto store = SoakChecker::StoreOf(node.process->name());
    store_.SetEndpointDown(node.store_address, true);
    checker_.OnDisrupted(store);
    RunAfter(time, [this, store, &node] {
      store_.SetEndpointDown(node.store_address, false);
      checker_.OnDisruptionEnded(store, std::chrono::steady_clock::now());
    });
  }

  // Turns away the nodes that watch the store for the others, and changes the
  // configuration.
  auto RefuseWatchersAtStore() -> void {
    if (std::exchange(watchers_refused_, true)) {
      return;
    }
    ++counts_["store turns its watchers away"];
    auto live = std::vector<routing::NodeInfo>();
    for (const auto& node : nodes_) {
      if (!node.down) {
        auto& info = live.emplace_back();
        info.id = NodeId(node.process->name());
        info.zone = ZoneName("a");
      }
    }
    const auto watchers = serving::ChooseWatchers(live);
    for (const auto& node : nodes_) {
      if (std::find(watchers.begin(), watchers.end(),
                    NodeId(node.process->name())) != watchers.end()) {
        RefuseAtStore(node, kMaxStoreRefusalTime);
      }
    }
    Configure();
    RunAfter(kMaxStoreRefusalTime, [this] { watchers_refused_ = false; });
  }

  auto ChangeRoute() -> void {
    ++counts_["route with open jobs goes or returns"];
    removable_route_.Change(route_random_.Below(2));
    Configure();
  }

  auto DelayStoreAnswers() -> void {
    ++counts_["store answers late"];
    const auto late = lag_random_.Below(nodes_.size());
    const auto& address = nodes_[late].store_address;
    const auto time = lag_random_.Between(kFaultMin, kFaultMax);
    store_.SetAnswerDelay(
        address, lag_random_.Between(kMinAnswerDelay, kMaxAnswerDelay));
    late_node_ = late;
    RunAfter(time, [this, address] {
      store_.SetAnswerDelay(address, milliseconds(0));
    });
  }

  auto LoseStoreAnswers() -> void {
    constexpr const char* kKinds[] = {"jobs", "job-states", "job-results"};
    store_.LoseAnswers(kKinds[fault_random_.Below(std::size(kKinds))],
                       static_cast<int>(fault_random_.Below(3)) + 1);
  }

  auto Configure() -> void {
    const auto next = version_ + 1;
    PutConfiguration(next);
    version_ = next;
  }

  auto EndFaults() -> void {
    // A restart may schedule more.
    while (!scheduled_.empty()) {
      RunDue(SteadyTime::max());
    }
    store_.set_down(false);
    EndRepeatedRefusals();
    for (auto& replica : replicas_) {
      replica.link->SetFault(LinkFault::kNone);
      replica.server->SetFault(ReplicaFault::kNone, 0);
      replica.server->Refuse(0);
      Announce(replica);
    }
    for (auto& node : nodes_) {
      node.store_link->SetFault(LinkFault::kNone);
      store_.SetEndpointDown(node.store_address, false);
      store_.SetReadAge(node.store_address, milliseconds(0));
      ExpectRunning(node);
    }
  }

  // --- Checks without faults.

  auto Settle(const std::string& when) -> void {
    const auto last = std::chrono::steady_clock::now() + kSettleTime;
    auto open = Unsettled();
    while (!open.empty() && std::chrono::steady_clock::now() < last) {
      std::this_thread::sleep_for(kSettlePoll);
      open = Unsettled();
    }
    checker_.Expect(open.empty(), when + ": " + open);
  }

  // Describes the first condition that does not hold; empty if all hold.
  auto Unsettled() -> std::string {
    for (const auto& node : nodes_) {
      const auto& process = *node.process;
      const auto id = "s" + std::to_string(++settle_calls_);
      if (!process.Ready()) {
        return process.name() + " is not ready";
      }
      if (!ServesVersion(process, version_, id)) {
        return process.name() + " does not serve by the newest configuration";
      }
      for (const auto& job : checker_.unfinished_jobs()) {
        ReadJob(process, job);
      }
    }
    const auto jobs = checker_.unfinished_jobs();
    return jobs.empty() ? "" : "job " + jobs.front() + " is unfinished";
  }

  // Every node must show the same results. A node whose calls to the store have
  // just failed may refuse for a few more seconds.
  auto ReadAllJobs() -> void {
    const auto last = std::chrono::steady_clock::now() + kSettleTime;
    for (const auto& job : checker_.accepted_jobs()) {
      for (const auto& node : nodes_) {
        auto page = node.process->ReadJob(job);
        while (!page.is_object() && std::chrono::steady_clock::now() < last) {
          std::this_thread::sleep_for(kSettlePoll);
          page = node.process->ReadJob(job);
        }
        checker_.Expect(page.is_object(),
                        node.process->name() + " does not give job " + job);
        ReadJob(*node.process, job);
      }
    }
  }

  SoakSettings settings_;
  RandomSource fault_random_;
  // Each of faults that came later, so that a seed keeps the others.
  RandomSource replica_random_;
  RandomSource late_random_;
  RandomSource process_random_;
  RandomSource refusal_random_;
  RandomSource lag_random_;
  RandomSource route_random_;
  RandomSource watcher_random_;
  FakeServerThread thread_;
  FakeObjectApi store_;
  SoakChecker checker_;
  std::vector<Replica> replicas_;
  std::vector<Node> nodes_;
  std::vector<ScheduledAction> scheduled_;
  std::map<std::string, int> counts_;
  std::atomic<int> version_{3};
  OrganisationLoad organisation_load_{
      [this](std::uint64_t random) -> const GatewayProcess& {
        return *nodes_[random % nodes_.size()].process;
      }};
  RemovableRouteLoad removable_route_{
      [this](std::uint64_t random) -> const GatewayProcess& {
        return *nodes_[random % nodes_.size()].process;
      },
      checker_};
  std::atomic<bool> done_{false};
  std::atomic<int> resumed_{0};
  std::atomic<int> not_resumed_{0};
  std::atomic<int> sent_again_{0};
  std::atomic<int> hasty_jobs_{0};
  std::atomic<int> jobs_left_to_takeover_{0};
  std::atomic<int> ended_at_new_owner_{0};
  bool watchers_refused_ = false;
  std::atomic<int> node_to_kill_{kNoNode};  // Set by callers, with a release.
  std::mutex left_jobs_mutex_;
  std::vector<std::string> left_jobs_;     // Jobs that are to be ended.
  std::atomic<std::size_t> late_node_{0};  // The last one to be answered late.
  std::atomic<bool> refusals_repeated_{false};
  int refusal_repeats_ = 0;
  int settle_calls_ = 0;
  std::size_t replacements_ = 0;
};

}  // namespace

auto RunSoak(const SoakSettings& settings) -> SoakReport {
  return Soak(settings).Run();
}

}  // namespace kumquatgauge::testing
