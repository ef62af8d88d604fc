#include "kumquatgauge/routing/dispatcher.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <string>

#include "kumquatgauge/base/error.h"
#include "testing/support/manual_clock.h"

namespace kumquatgauge::routing {
namespace {

using std::chrono::milliseconds;
using Kind = DispatchAction::Kind;

auto TestReplica(std::uint32_t capacity) -> Replica {
  Replica replica;
  replica.id = ReplicaId("r");
  replica.capacity = capacity;
  return replica;
}

auto Online(const std::string& id, const std::string& organisation = "o")
    -> DispatchItem {
  return {.id = RequestId(id),
          .organisation = OrganisationName(organisation),
          .time_left = milliseconds(10'000)};
}

auto Batch(const std::string& id, int slack_s = 100, bool exclusive = false)
    -> DispatchItem {
  return {.id = RequestId(id),
          .organisation = OrganisationName("o"),
          .work_class = WorkClass::kBatch,
          .time_left = milliseconds(100'000),
          .slack = std::chrono::seconds(slack_s),
          .exclusive = exclusive};
}

// Formats actions as "start a, refuse b".
auto Text(const Dispatcher::Actions& actions) -> std::string {
  const std::map<Kind, std::string> names = {{Kind::kStart, "start"},
                                             {Kind::kRefuse, "refuse"},
                                             {Kind::kExpire, "expire"},
                                             {Kind::kPreempt, "preempt"}};
  std::string text;
  for (const auto& action : actions) {
    text += (text.empty() ? "" : ", ") + names.at(action.kind) + " " +
            action.id.value();
  }
  return text;
}

struct Fixture {
  explicit Fixture(std::uint32_t capacity, DispatcherSettings settings = {})
      : dispatcher(TestReplica(capacity), settings, clock.AsHook()) {}

  auto Arrive(const DispatchItem& item) -> std::string {
    return Text(dispatcher.Arrive(item));
  }
  auto Finish(const std::string& id, UpstreamEnd end = UpstreamEnd::kCompleted)
      -> std::string {
    return Text(dispatcher.Finished(RequestId(id), end));
  }
  // Runs one request, which sets the average service time.
  auto Learn(milliseconds service_time) -> void {
    Arrive(Online("learn"));
    clock.Advance(service_time);
    Finish("learn");
  }

  testing::ManualClock clock;
  Dispatcher dispatcher;
};

TEST_CASE("Dispatcher.StartsUpToTheLimitAndThenQueues") {
  Fixture fixture(2);
  CHECK(fixture.Arrive(Online("a")) == "start a");
  CHECK(fixture.Arrive(Online("b")) == "start b");
  CHECK(fixture.Arrive(Online("c")).empty());
  CHECK(fixture.Finish("a") == "start c");
}

// Guards against a refusal that is delayed until near the deadline.
TEST_CASE("Dispatcher.RefusesAtOnceARequestThatCannotStartInTime") {
  Fixture fixture(1);
  fixture.Learn(milliseconds(2000));
  fixture.Arrive(Online("a"));
  auto actions = fixture.dispatcher.Arrive(Online("b"));
  REQUIRE(Text(actions) == "refuse b");
  CHECK(actions[0].outcome.kind == OutcomeKind::kNotRun);
  CHECK(actions[0].outcome.retry_after == milliseconds(2000));
}

TEST_CASE("Dispatcher.RefusesAtTheEndOfTheQueueBound") {
  Fixture fixture(1);
  fixture.Arrive(Online("a"));
  fixture.Arrive(Online("b"));
  fixture.clock.Advance(milliseconds(399));
  CHECK(fixture.dispatcher.Tick().empty());
  fixture.clock.Advance(milliseconds(1));
  CHECK(Text(fixture.dispatcher.Tick()) == "refuse b");
}

TEST_CASE("Dispatcher.ExpiresARequestThatPassesItsDeadlineInTheQueue") {
  Fixture fixture(1);
  fixture.Arrive(Online("a"));
  auto item = Online("b");
  item.time_left = milliseconds(100);
  fixture.Arrive(item);
  fixture.clock.Advance(milliseconds(100));
  CHECK(Text(fixture.dispatcher.Tick()) == "expire b");
  item.time_left = milliseconds(0);
  CHECK(fixture.Arrive(item) == "expire b");
}

// no-hol-blocking
TEST_CASE("Dispatcher.PreemptsBatchWhenOnlineWaits") {
  Fixture fixture(2);
  fixture.dispatcher.SetBatchSettings({.lean = 1.0});
  fixture.Arrive(Batch("x", 50));
  fixture.Arrive(Batch("y", 500));
  fixture.dispatcher.FirstToken(RequestId("y"));
  fixture.dispatcher.TokenProgress(RequestId("y"), 7);
  auto actions = fixture.dispatcher.Arrive(Online("a"));
  REQUIRE(Text(actions) == "preempt y");
  CHECK(actions[0].outcome.tokens == 7);
  CHECK(fixture.Finish("y", UpstreamEnd::kCancelled) == "start a");
}

TEST_CASE("Dispatcher.PreemptsNoMoreThanWait") {
  Fixture fixture(4);
  fixture.dispatcher.SetBatchSettings({.lean = 1.0});
  for (const auto* id : {"w", "x", "y", "z"}) {
    fixture.Arrive(Batch(id));
  }
  CHECK(fixture.Arrive(Online("a")) == "preempt z");
  CHECK(fixture.dispatcher.Tick().empty());
  CHECK(fixture.Arrive(Online("b")) == "preempt y");
}

// no-hol-blocking
TEST_CASE("Dispatcher.StartsWaitingOnlineBeforeWaitingBatch") {
  Fixture fixture(1);
  fixture.Arrive(Online("a"));
  fixture.Arrive(Batch("x"));
  fixture.Arrive(Online("b"));
  CHECK(fixture.Finish("a") == "start b");
}

TEST_CASE("Dispatcher.PreemptsBatchAboveTheLevelAtLeanZero") {
  Fixture fixture(8);
  fixture.dispatcher.SetBatchSettings({.lean = 0.0});
  for (const auto* id : {"x", "y", "z"}) {
    fixture.Arrive(Batch(id));
  }
  // Without earlier online traffic the batch level is 1; one slot of hysteresis
  // raises it to 2, of which the online request takes one.
  CHECK(fixture.Arrive(Online("a")) == "start a, preempt z, preempt y");
}

TEST_CASE("Dispatcher.PreemptsBatchThatHoldsTheTokensOnlineNeeds") {
  DispatcherSettings settings;
  settings.limit.max_tokens = 100;
  settings.batch.lean = 1.0;
  Fixture fixture(8, settings);
  auto item = Batch("x");
  item.max_tokens = 80;
  fixture.Arrive(item);
  auto online = Online("a");
  online.max_tokens = 50;
  CHECK(fixture.Arrive(online) == "preempt x");
  CHECK(fixture.Finish("x", UpstreamEnd::kCancelled) == "start a");
}

TEST_CASE("Dispatcher.StartsTheBatchItemWithTheLeastSlackFirst") {
  Fixture fixture(1);
  fixture.Arrive(Online("a"));
  fixture.Arrive(Batch("late", 500));
  fixture.Arrive(Batch("urgent", 5));
  CHECK(fixture.Finish("a") == "start urgent");
}

TEST_CASE("Dispatcher.RefusesTheBatchItemWithMostSlackBeyondTheQueue") {
  Fixture fixture(1);
  fixture.Arrive(Online("a"));
  for (int item = 0; item < 4; ++item) {
    CHECK(
        fixture.Arrive(Batch("x" + std::to_string(item), 100 + item)).empty());
  }
  CHECK(fixture.Arrive(Batch("urgent", 1)) == "refuse x3");
  CHECK(fixture.Arrive(Batch("patient", 900)) == "refuse patient");
}

// Guards against an item that crashes its replica and other batch items with
// it.
TEST_CASE("Dispatcher.RunsAnExclusiveItemWithoutOtherBatch") {
  Fixture fixture(4);
  fixture.dispatcher.SetBatchSettings({.lean = 1.0});
  fixture.Arrive(Batch("x"));
  CHECK(fixture.Arrive(Batch("single", 1, true)) == "preempt x");
  CHECK(fixture.Finish("x", UpstreamEnd::kCancelled) == "start single");
  CHECK(fixture.Arrive(Batch("y")).empty());
  CHECK(fixture.Arrive(Batch("other", 1, true)).empty());
  CHECK(fixture.dispatcher.load().free_batch_slots == 0);
  CHECK(fixture.Arrive(Online("a")) == "start a");
}

// leaving-upstream
TEST_CASE("Dispatcher.RefusesWaitingRequestsWhenTheReplicaLeaves") {
  Fixture fixture(1);
  fixture.Arrive(Online("a"));
  fixture.Arrive(Online("b"));
  fixture.Arrive(Batch("x"));
  auto replica = TestReplica(1);
  replica.leaving = true;
  CHECK(Text(fixture.dispatcher.SetReplica(replica)) == "refuse b, refuse x");
  CHECK(fixture.Arrive(Online("c")) == "refuse c");
  CHECK(fixture.Finish("a").empty());
}

// not-run-true: neither refusing nor starting the second stream is correct.
TEST_CASE("Dispatcher.ThrowsOnADuplicateRequestId") {
  Fixture fixture(1);
  fixture.Arrive(Online("a"));
  CHECK_THROWS_AS(fixture.Arrive(Online("a")), Error);
  fixture.Arrive(Online("b"));
  CHECK_THROWS_AS(fixture.Arrive(Online("b")), Error);
}

TEST_CASE("Dispatcher.DropsACancelledRequestThatWaits") {
  Fixture fixture(1);
  fixture.Arrive(Online("a"));
  fixture.Arrive(Online("b"));
  CHECK(fixture.dispatcher.Cancelled(RequestId("b")).empty());
  CHECK(fixture.Finish("a").empty());
}

TEST_CASE("Dispatcher.HoldsTheSlotOfACancelledStreamUntilItHasEnded") {
  Fixture fixture(1);
  fixture.Arrive(Online("a"));
  fixture.dispatcher.Cancelled(RequestId("a"));
  CHECK(fixture.Arrive(Online("b")).empty());
  CHECK(fixture.Finish("a", UpstreamEnd::kCancelled) == "start b");
}

// Guards against batch items that make the engine evict online requests.
TEST_CASE("Dispatcher.PreemptsBatchWhenTheKvCacheIsNearlyFull") {
  Fixture fixture(4);
  fixture.dispatcher.SetBatchSettings({.lean = 1.0});
  fixture.Arrive(Batch("x"));
  fixture.Arrive(Online("a"));
  CHECK(Text(fixture.dispatcher.LoadReport(
            {.running = 2, .capacity = 4, .kv_used = 0.98})) == "preempt x");
  CHECK(fixture.Arrive(Batch("y")).empty());
  CHECK(fixture.Arrive(Online("b")) == "start b");
}

TEST_CASE("Dispatcher.LeavesRoomForRequestsOfAnotherDispatcher") {
  Fixture fixture(4);
  fixture.Arrive(Online("a"));
  fixture.dispatcher.LoadReport({.running = 3, .capacity = 4});
  CHECK(fixture.dispatcher.load().online_in_flight == 3);
  CHECK(fixture.Arrive(Online("b")) == "start b");
  CHECK(fixture.Arrive(Online("c")).empty());
}

// Guards against a lagging report in which this dispatcher's ended requests
// count as requests of another dispatcher.
TEST_CASE("Dispatcher.DoesNotCountItsOwnEndedRequestsAsExternal") {
  Fixture fixture(4);
  for (const auto* id : {"a", "b", "c"}) {
    fixture.Arrive(Online(id));
  }
  for (const auto* id : {"a", "b", "c"}) {
    fixture.Finish(id);
  }
  fixture.dispatcher.LoadReport({.running = 3, .capacity = 4});
  CHECK(fixture.dispatcher.load().online_in_flight == 0);
}

TEST_CASE("Dispatcher.SharesSlotsFairlyBetweenOrganisations") {
  Fixture fixture(1);
  fixture.Arrive(Online("first", "big"));
  for (int number = 0; number < 5; ++number) {
    fixture.Arrive(Online("big" + std::to_string(number), "big"));
  }
  fixture.Arrive(Online("small", "small"));
  CHECK(fixture.Finish("first") == "start big0");
  CHECK(fixture.Finish("big0") == "start small");
}

// Drives one dispatcher with random events and tracks each request as its
// requester and its replica would.
class RandomLoop {
 public:
  explicit RandomLoop(std::uint64_t seed)
      : random_(seed), dispatcher_(Replica(), Settings(), clock_.AsHook()) {}

  auto Run(int steps) -> void {
    for (int step = 0; step < steps; ++step) {
      Step();
      Check();
    }
    Drain();
  }

 private:
  enum class Phase { kWaiting, kRunning, kStopping, kOver };
  struct TrackedRequest {
    DispatchItem item;
    Phase phase = Phase::kWaiting;
    MonotonicTime arrived;
  };

  static auto Replica() -> routing::Replica { return TestReplica(6); }
  static auto Settings() -> DispatcherSettings {
    DispatcherSettings settings;
    settings.limit.max_tokens = 400;
    settings.batch.lean = 0.7;
    return settings;
  }
  auto Below(std::uint64_t bound) -> std::uint64_t { return random_() % bound; }

  auto Step() -> void {
    clock_.Advance(milliseconds(Below(30)));
    switch (Below(10)) {
      case 0:
      case 1:
      case 2:
        return Arrive();
      case 3:
      case 4:
        return End();
      case 5:
        return Progress();
      case 6:
        return Cancel();
      case 7:
        return Apply(dispatcher_.LoadReport(
            {.running = static_cast<std::uint32_t>(Below(8)),
             .capacity = static_cast<std::uint32_t>(4 + Below(4)),
             .kv_used = Below(20) == 0 ? 1.0 : 0.5}));
      case 8:
        if (Below(50) == 0) {
          auto replica = Replica();
          replica.leaving = !dispatcher_.replica().leaving;
          return Apply(dispatcher_.SetReplica(replica));
        }
        [[fallthrough]];
      default:
        return Apply(dispatcher_.Tick());
    }
  }
  auto Arrive() -> void {
    auto id = std::to_string(next_++);
    auto item = Below(2) == 0
                    ? Online(id, "o" + std::to_string(Below(3)))
                    : Batch(id, static_cast<int>(Below(50)), Below(20) == 0);
    item.max_tokens = static_cast<std::uint32_t>(Below(150));
    item.time_left = milliseconds(Below(3000));
    requests_[item.id] = {.item = item, .arrived = clock_.now()};
    Apply(dispatcher_.Arrive(item));
  }
  auto Pick(const std::set<Phase>& phases) -> std::optional<RequestId> {
    std::vector<RequestId> ids;
    for (const auto& [id, request] : requests_) {
      if (phases.contains(request.phase)) {
        ids.push_back(id);
      }
    }
    return ids.empty() ? std::nullopt : std::optional(ids[Below(ids.size())]);
  }
  auto End() -> void {
    if (auto id = Pick({Phase::kRunning, Phase::kStopping})) {
      requests_[*id].phase = Phase::kOver;
      Apply(dispatcher_.Finished(*id, static_cast<UpstreamEnd>(Below(5))));
    } else {
      Apply(dispatcher_.Tick());
    }
  }
  auto Progress() -> void {
    if (auto id = Pick({Phase::kRunning})) {
      Apply(dispatcher_.FirstToken(*id));
      Apply(dispatcher_.TokenProgress(*id, 1 + Below(40)));
    } else {
      Apply(dispatcher_.Tick());
    }
  }
  auto Cancel() -> void {
    if (auto id = Pick({Phase::kWaiting, Phase::kRunning})) {
      auto& phase = requests_[*id].phase;
      phase = phase == Phase::kWaiting ? Phase::kOver : Phase::kStopping;
      Apply(dispatcher_.Cancelled(*id));
    } else {
      Apply(dispatcher_.Tick());
    }
  }
  auto Apply(const Dispatcher::Actions& actions) -> void {
    for (const auto& action : actions) {
      auto& request = requests_.at(action.id);
      switch (action.kind) {
        case Kind::kStart:
          // leaving-upstream, and at most one start.
          REQUIRE_FALSE(dispatcher_.replica().leaving);
          REQUIRE(request.phase == Phase::kWaiting);
          request.phase = Phase::kRunning;
          break;
        case Kind::kRefuse:
        case Kind::kExpire:
          // not-run-true
          REQUIRE(request.phase == Phase::kWaiting);
          REQUIRE(action.outcome.kind == OutcomeKind::kNotRun);
          REQUIRE(action.outcome.retry_after > milliseconds(0));
          request.phase = Phase::kOver;
          break;
        case Kind::kPreempt:
          REQUIRE(request.phase == Phase::kRunning);
          REQUIRE(request.item.work_class == WorkClass::kBatch);
          request.phase = Phase::kStopping;
          break;
      }
    }
  }
  auto Check() -> void {
    std::size_t running = 0;
    std::size_t batch_not_stopping = 0;
    std::size_t online_waiting = 0;
    std::size_t waiting = 0;
    std::size_t stopping = 0;
    std::size_t exclusive = 0;
    std::size_t batch = 0;
    for (const auto& [id, request] : requests_) {
      auto is_batch = request.item.work_class == WorkClass::kBatch;
      if (request.phase == Phase::kWaiting) {
        ++waiting;
        online_waiting += is_batch ? 0 : 1;
        auto bound = is_batch ? milliseconds(1000) : milliseconds(400);
        // A wait ends at the first event after its bound.
        REQUIRE(clock_.now() - request.arrived <
                std::min(bound, request.item.time_left));
      } else if (request.phase != Phase::kOver) {
        ++running;
        stopping += request.phase == Phase::kStopping ? 1 : 0;
        batch_not_stopping +=
            is_batch && request.phase == Phase::kRunning ? 1 : 0;
        batch += is_batch ? 1 : 0;
        exclusive += request.item.exclusive ? 1 : 0;
      }
    }
    REQUIRE(dispatcher_.waiting() == waiting);
    REQUIRE(dispatcher_.running() == running);
    // no-hol-blocking: online waits while batch runs only while slots are
    // being freed for it.
    REQUIRE((batch_not_stopping == 0 || online_waiting == 0 || stopping > 0));
    REQUIRE((exclusive == 0 || batch == 1));
  }
  // Checks that every request that arrived has ended.
  auto Drain() -> void {
    while (Pick({Phase::kRunning, Phase::kStopping})) {
      End();
    }
    clock_.Advance(std::chrono::seconds(5));
    Apply(dispatcher_.Tick());
    while (Pick({Phase::kRunning, Phase::kStopping})) {
      End();
    }
    REQUIRE_FALSE(Pick({Phase::kWaiting}));
    REQUIRE(dispatcher_.running() == 0);
    REQUIRE(dispatcher_.waiting() == 0);
  }

  std::mt19937_64 random_;
  testing::ManualClock clock_;
  Dispatcher dispatcher_;
  std::map<RequestId, TrackedRequest> requests_;
  int next_ = 0;
};

// not-run-true, no-hol-blocking, leaving-upstream under any order of events.
TEST_CASE("Dispatcher.KeepsItsGuaranteesUnderRandomEvents") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    RandomLoop(seed).Run(1500);
  }
}

}  // namespace
}  // namespace kumquatgauge::routing
