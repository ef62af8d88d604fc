#include "kumquatgauge/control/lease.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <random>

#include "kumquatgauge/base/error.h"
#include "testing/support/manual_clock.h"
#include "testing/support/run_awaitable.h"
#include "testing/support/unreliable_object_store.h"

namespace kumquatgauge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::RunAwaitable;
using testing::StoreFault;

constexpr auto kKey = "shard/7";
constexpr auto kTerm = seconds(6);

struct Fixture {
  auto Keeper(const std::string& node) -> LeaseKeeper {
    return {store, kKey,           NodeId(node),
            1,     clock.AsHook(), [this] {
              return random(); }};
  }
  auto Acquire(LeaseKeeper& keeper) -> bool {
    return RunAwaitable(context, keeper.TryAcquire());
  }
  auto Renew(LeaseKeeper& keeper) -> bool {
    return RunAwaitable(context, keeper.Renew());
  }
  // Calls TryAcquire every second until `keeper` holds the lease. Returns the
  // time taken, at most a minute.
  auto TimeToAcquire(LeaseKeeper& keeper) -> Duration {
    const auto start = clock.now();
    while (!Acquire(keeper) && clock.now() - start < seconds(60)) {
      clock.Advance(seconds(1));
    }
    return clock.now() - start;
  }
  // Makes the next write of the lease fail in the given way.
  auto FailNextWrite(StoreFault fault) -> void {
    store.set_fault_hook([fault, used = false](const std::string& call,
                                               const std::string&) mutable {
      const auto hit = call == "write" && !used;
      used = used || hit;
      return hit ? fault : StoreFault::kNone;
    });
  }

  boost::asio::io_context context;
  testing::ManualClock clock;
  testing::UnreliableObjectStore store;
  std::mt19937_64 random{7};
};

// Guards against two concurrent holders.
TEST_CASE_METHOD(Fixture, "Lease.IsRefusedToAnotherWhileHeldAndRenewed") {
  auto holder = Keeper("a");
  auto other = Keeper("b");
  REQUIRE(Acquire(holder));
  for (auto i = 0; i < 20; ++i) {
    CHECK_FALSE(Acquire(other));
    clock.Advance(seconds(1));
    if (i % 2 == 1) {
      REQUIRE(Renew(holder));
    }
  }
  CHECK(holder.token() == 1);
}

// Guards against a takeover before the former holder's term has expired.
TEST_CASE_METHOD(Fixture, "Lease.IsTakenOverOnlyAfterAWholeTermUnchanged") {
  auto holder = Keeper("a");
  auto other = Keeper("b");
  REQUIRE(Acquire(holder));
  const auto waited = TimeToAcquire(other);
  CHECK(waited >= kTerm);
  CHECK(waited <= kTerm + seconds(1));
  CHECK_FALSE(holder.MayAct());
  CHECK(other.token() > 1);
  CHECK(other.took_over());
}

// Guards against a paused holder that continues to act after a takeover.
TEST_CASE_METHOD(Fixture, "Lease.PausedHolderLosesItOnWaking") {
  auto holder = Keeper("a");
  auto other = Keeper("b");
  REQUIRE(Acquire(holder));
  TimeToAcquire(other);
  CHECK_FALSE(holder.MayAct());
  CHECK_FALSE(Renew(holder));
  CHECK_FALSE(holder.held());
  CHECK(other.MayAct());
  CHECK(Renew(other));
}

// Guards against giving up an expired lease that no other node has taken over.
TEST_CASE_METHOD(Fixture, "Lease.LapsedHolderRenewsWhenNobodyTookOver") {
  auto holder = Keeper("a");
  REQUIRE(Acquire(holder));
  clock.Advance(seconds(60));
  CHECK_FALSE(holder.MayAct());
  CHECK(Renew(holder));
  CHECK(holder.MayAct());
  CHECK(holder.token() == 1);
}

// Guards against two observers that both consider themselves the new holder.
TEST_CASE_METHOD(Fixture, "Lease.OnlyOneOfTwoObserversTakesOver") {
  auto holder = Keeper("a");
  auto first = Keeper("b");
  auto second = Keeper("c");
  REQUIRE(Acquire(holder));
  auto owners = 0;
  for (auto i = 0; i < 10; ++i) {
    owners = (Acquire(first) ? 1 : 0) + (Acquire(second) ? 1 : 0);
    REQUIRE(owners <= 1);
    clock.Advance(seconds(1));
  }
  CHECK(owners == 1);
}

// Guards against a takeover from a holder that could not renew because the
// store was unavailable.
TEST_CASE_METHOD(Fixture, "Lease.IsNotTakenOverRightAfterAnOutage") {
  auto holder = Keeper("a");
  auto other = Keeper("b");
  REQUIRE(Acquire(holder));
  REQUIRE_FALSE(Acquire(other));
  store.set_fault_hook(
      [](const auto&, const auto&) { return StoreFault::kUnavailable; });
  for (auto i = 0; i < 60; ++i) {
    clock.Advance(seconds(1));
    CHECK_THROWS_AS(Acquire(other), Error);
    CHECK_THROWS_AS(Renew(holder), Error);
    CHECK(holder.held());
  }
  store.set_fault_hook(nullptr);
  CHECK_FALSE(Acquire(other));
  CHECK(Renew(holder));
  CHECK(TimeToAcquire(other) >= kTerm);
}

// Guards against an observer that counts its own pause towards the term.
TEST_CASE("LeaseObserver.StartsTheTermAgainAfterAGap") {
  auto observer = LeaseObserver(kTerm);
  const auto record = LeaseRecord{.owner = NodeId("a"), .operation = "1"};
  auto now = MonotonicTime(seconds(100));
  observer.Observe(record, now, now);
  now += seconds(7);
  observer.Observe(record, now, now);
  CHECK_FALSE(observer.MayTakeOver());
}

// Guards against counting the latency of a response towards the term.
TEST_CASE("LeaseObserver.CountsFromAnswerToQuestion") {
  auto observer = LeaseObserver(kTerm);
  const auto record = LeaseRecord{.owner = NodeId("a"), .operation = "1"};
  const auto start = MonotonicTime(seconds(100));
  observer.Observe(record, start, start + seconds(1));
  observer.Observe(record, start + seconds(3), start + seconds(3));
  observer.Observe(record, start + milliseconds(5900), start + seconds(8));
  CHECK_FALSE(observer.MayTakeOver());
  observer.Observe(record, start + seconds(8), start + seconds(8));
  CHECK(observer.MayTakeOver());
}

// Guards against acting without the lease, or not detecting that it was
// acquired, when the response to the write is lost.
TEST_CASE_METHOD(Fixture, "Lease.AcquiresWhenTheAnswerIsLost") {
  auto keeper = Keeper("a");
  FailNextWrite(StoreFault::kLoseAnswer);
  CHECK(Acquire(keeper));
  CHECK(keeper.token() == 1);
}

TEST_CASE_METHOD(Fixture, "Lease.DoesNotHoldWhenAnUnknownWriteHadNoEffect") {
  auto keeper = Keeper("a");
  FailNextWrite(StoreFault::kUnknownNoEffect);
  CHECK_FALSE(Acquire(keeper));
  CHECK(Acquire(keeper));
}

// Guards against counting the term from the response to the read-back.
TEST_CASE_METHOD(Fixture, "Lease.CountsTheTermFromTheLostWrite") {
  auto keeper = Keeper("a");
  REQUIRE(Acquire(keeper));
  clock.Advance(seconds(2));
  const auto sent = clock.now();
  store.set_fault_hook([this](const std::string& call, const std::string&) {
    clock.Advance(milliseconds(500));
    return call == "write" ? StoreFault::kLoseAnswer : StoreFault::kNone;
  });
  REQUIRE(Renew(keeper));
  CHECK(keeper.held_until() == sent + kTerm);
}

// Guards against waiting for the term to expire after a planned stop.
TEST_CASE_METHOD(Fixture, "Lease.ReleasedIsTakenAtOnceWithALargerToken") {
  auto holder = Keeper("a");
  auto other = Keeper("b");
  REQUIRE(Acquire(holder));
  RunAwaitable(context, holder.Release());
  CHECK_FALSE(holder.MayAct());
  CHECK(Acquire(other));
  CHECK(other.token() == 2);
  CHECK_FALSE(other.took_over());
}

// Guards against reusing an old token after the lease object was lost.
TEST_CASE_METHOD(Fixture, "Lease.TokenExceedsTheMinimum") {
  auto keeper = Keeper("a");
  CHECK(RunAwaitable(context, keeper.TryAcquire(41)));
  CHECK(keeper.token() == 42);
}

// Guards against two nodes that may act at once and against decreasing tokens,
// under random faults.
TEST_CASE_METHOD(Fixture, "Lease.HasAtMostOneActorUnderRandomFaults") {
  const auto seed = std::random_device()();
  INFO("seed " << seed);
  random.seed(seed);
  store.set_fault_hook([this](const auto&, const auto&) {
    const auto draw = random() % 20;
    return draw == 0   ? StoreFault::kUnavailable
           : draw == 1 ? StoreFault::kLoseAnswer
           : draw == 2 ? StoreFault::kUnknownNoEffect
                       : StoreFault::kNone;
  });
  store.set_stale_hook([this] { return random() % 10 == 0; });
  store.set_late_hook([this] { return random() % 20 == 0; });
  store.set_arrival_hook([this] { return random() % 3 == 0; });
  auto keepers = std::vector<LeaseKeeper>();
  for (const auto* node : {"a", "b", "c"}) {
    keepers.push_back(Keeper(node));
  }
  auto last_token = std::uint64_t{0};
  auto changes = 0;
  auto paused = std::size_t{0};
  auto paused_until = clock.now();
  for (auto step = 0; step < 15'000; ++step) {
    clock.Advance(milliseconds(random() % 400));
    // Occasionally pauses one node for longer than its term.
    if (random() % 100 == 0) {
      paused = random() % keepers.size();
      paused_until = clock.now() + seconds(15);
    }
    const auto chosen = random() % keepers.size();
    if (chosen == paused && clock.now() < paused_until) {
      continue;
    }
    auto& keeper = keepers[chosen];
    try {
      keeper.held() ? Renew(keeper) : Acquire(keeper);
      if (keeper.held() && random() % 200 == 0) {
        RunAwaitable(context, keeper.Release());
      }
    } catch (const Error&) {
      // A later call resolves the outcome.
    }
    auto actors = 0;
    for (const auto& each : keepers) {
      actors += each.MayAct() ? 1 : 0;
      if (each.MayAct()) {
        CHECK(each.token() >= last_token);
        changes += each.token() > last_token ? 1 : 0;
        last_token = std::max(last_token, each.token());
      }
    }
    REQUIRE(actors <= 1);
  }
  CHECK(changes > 10);
}

}  // namespace
}  // namespace kumquatgauge::control
