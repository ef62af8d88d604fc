#include <catch2/catch.hpp>
#include <random>

#include "kumquatgauge/routing/retry_budget.h"
#include "kumquatgauge/routing/retry_policy.h"
#include "testing/support/manual_clock.h"

namespace kumquatgauge::routing {
namespace {

using std::chrono::milliseconds;

const ServiceName kService("chat");
constexpr int kSeconds = 60;
constexpr int kPerSecond = 100;

struct Fixture {
  auto Decide(DispatchResult::Kind kind, RetryState state = {}) {
    state.service = kService;
    if (state.time_left == Duration(0)) {
      state.time_left = std::chrono::seconds(10);
    }
    DispatchResult result;
    result.kind = kind;
    result.outcome = outcome;
    return policy.Decide(state, result);
  }

  testing::ManualClock clock;
  std::mt19937_64 random{3};
  RetryBudget budget{{}, clock.AsHook()};
  RetryPolicy policy{{}, budget, [this] { return random(); }};
  Outcome outcome;
};

// Guards against retries that multiply an overload.
TEST_CASE("RetryBudget.AllowsATenthOfRequestsPlusThreePerSecond") {
  Fixture fixture;
  int allowed = 0;
  for (int step = 0; step < kSeconds * kPerSecond; ++step) {
    fixture.budget.OnRequest(kService);
    allowed += fixture.budget.TryRetry(kService) ? 1 : 0;
    allowed += fixture.budget.TryRetry(kService) ? 1 : 0;
    fixture.clock.Advance(milliseconds(10));
  }
  int exact = kSeconds * (kPerSecond / 10 + 3);
  CHECK(allowed <= exact + 4);
  CHECK(allowed >= exact - 4);
}

TEST_CASE("RetryBudget.AccumulatesOnlyAFewSeconds") {
  Fixture fixture;
  fixture.budget.OnRequest(kService);
  fixture.clock.Advance(std::chrono::hours(1));
  CHECK(fixture.budget.available(kService) <= 6.1);
}

// Guards against a fleet whose nodes together retry more than they serve.
TEST_CASE("RetryBudget.DividesThePerSecondPartAmongNodes") {
  Fixture fixture;
  fixture.budget.set_nodes(300);
  int allowed = 0;
  for (int second = 0; second < 1000; ++second) {
    allowed += fixture.budget.TryRetry(kService) ? 1 : 0;
    fixture.clock.Advance(std::chrono::seconds(1));
  }
  CHECK(allowed >= 10);
  CHECK(allowed <= 12);
}

TEST_CASE("RetryBudget.KeepsServicesApart") {
  Fixture fixture;
  while (fixture.budget.TryRetry(kService)) {
  }
  CHECK(fixture.budget.TryRetry(ServiceName("other")));
}

// Guards against a second run of a request that may have run.
TEST_CASE("RetryPolicy.NeverRetriesAnEndedOrPreemptedRequest") {
  Fixture fixture;
  for (auto kind :
       {OutcomeKind::kCompleted, OutcomeKind::kUnknown, OutcomeKind::kFailed,
        OutcomeKind::kCancelled, OutcomeKind::kNotRun}) {
    fixture.outcome.kind = kind;
    CHECK_FALSE(fixture.Decide(DispatchResult::Kind::kEnded).retry);
    CHECK_FALSE(fixture.Decide(DispatchResult::Kind::kPreempted).retry);
  }
}

TEST_CASE("RetryPolicy.TriesTwoOthersAtOnceAfterBusy") {
  Fixture fixture;
  fixture.outcome.kind = OutcomeKind::kNotRun;
  for (std::uint32_t made = 0; made < 2; ++made) {
    auto decision =
        fixture.Decide(DispatchResult::Kind::kBusy, {.busy_retries = made});
    CHECK(decision.retry);
    CHECK(decision.delay == Duration(0));
  }
  fixture.outcome.retry_after = milliseconds(900);
  auto last = fixture.Decide(
      DispatchResult::Kind::kBusy,
      {.busy_retries = 2, .least_retry_after = milliseconds(200)});
  CHECK_FALSE(last.retry);
  CHECK(last.outcome.kind == OutcomeKind::kNotRun);
  CHECK(last.outcome.retry_after == milliseconds(200));
}

// whole-answer: a resumed stream must not be cut off when replicas are full.
TEST_CASE("RetryPolicy.KeepsRetryingAStartedResponseWhileReplicasAreBusy") {
  Fixture fixture;
  const auto decision =
      fixture.Decide(DispatchResult::Kind::kBusy,
                     {.busy_retries = 9, .response_started = true});
  CHECK(decision.retry);
  CHECK(decision.delay > Duration::zero());
}

// whole-answer: a lost node must not use up the budget of its streams.
TEST_CASE("RetryPolicy.NeedsNoBudgetAfterALostDispatcher") {
  Fixture fixture;
  for (auto request = 0; request < 100; ++request) {
    CHECK(fixture.Decide(DispatchResult::Kind::kLost, {.dispatcher_lost = true})
              .retry);
  }
}

TEST_CASE("RetryPolicy.RetriesALostStreamOnlyWhenItCanResume") {
  Fixture fixture;
  fixture.outcome.tokens = 5;
  CHECK(fixture.Decide(DispatchResult::Kind::kLost).retry);
  CHECK_FALSE(
      fixture.Decide(DispatchResult::Kind::kLost, {.can_resume = false}).retry);
  fixture.outcome.tokens = 0;
  CHECK(
      fixture.Decide(DispatchResult::Kind::kLost, {.can_resume = false}).retry);
}

TEST_CASE("RetryPolicy.BacksOffWithJitterButNeverPastTheDeadline") {
  Fixture fixture;
  auto decision =
      fixture.Decide(DispatchResult::Kind::kLost, {.lost_retries = 2});
  CHECK(decision.delay >= milliseconds(50));
  CHECK(decision.delay <= milliseconds(100));
  CHECK_FALSE(fixture
                  .Decide(DispatchResult::Kind::kLost,
                          {.lost_retries = 2, .time_left = milliseconds(60)})
                  .retry);
  CHECK_FALSE(
      fixture
          .Decide(DispatchResult::Kind::kBusy, {.time_left = milliseconds(10)})
          .retry);
}

TEST_CASE("RetryPolicy.StopsWhenTheBudgetIsUsedUp") {
  Fixture fixture;
  while (fixture.budget.TryRetry(kService)) {
  }
  CHECK_FALSE(fixture.Decide(DispatchResult::Kind::kBusy).retry);
  CHECK_FALSE(fixture.Decide(DispatchResult::Kind::kLost).retry);
}

}  // namespace
}  // namespace kumquatgauge::routing
