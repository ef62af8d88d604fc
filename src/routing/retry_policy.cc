#include "kumquatgauge/routing/retry_policy.h"

#include <algorithm>
#include <utility>

namespace kumquatgauge::routing {
namespace {

constexpr std::uint32_t kMaxDoublings = 16;

}  // namespace

RetryPolicy::RetryPolicy(RetryPolicySettings settings,
                         RetryBudget& budget,
                         RandomSource random)
    : settings_(settings), budget_(budget), random_(std::move(random)) {}

auto RetryPolicy::Decide(const RetryState& state, const DispatchResult& result)
    -> RetryDecision {
  switch (result.kind) {
    case DispatchResult::Kind::kBusy:
      return DecideBusy(state, result);
    case DispatchResult::Kind::kLost:
      return DecideLost(state, result);
    case DispatchResult::Kind::kEnded:
    case DispatchResult::Kind::kPreempted:
      break;
  }
  RetryDecision decision;
  decision.reason = "final result";
  decision.outcome = result.outcome;
  return decision;
}

auto RetryPolicy::DecideBusy(const RetryState& state,
                             const DispatchResult& result) -> RetryDecision {
  RetryDecision decision;
  decision.outcome = result.outcome;
  if (state.least_retry_after) {
    // Any of the replicas that refused can serve the request later, so the
    // shortest retry-after applies.
    decision.outcome.retry_after =
        std::min(decision.outcome.retry_after, *state.least_retry_after);
  }
  if (state.response_started) {
    decision.delay = Backoff(state.busy_retries);
    decision.retry =
        state.time_left >= decision.delay + settings_.min_time_left;
    decision.reason =
        decision.retry ? "response has started" : "deadline too near";
  } else if (state.busy_retries >= settings_.max_busy_retries) {
    decision.reason = "other replicas were busy too";
  } else if (state.time_left < settings_.min_time_left) {
    decision.reason = "deadline too near";
  } else if (!TakeFromBudget(state, result)) {
    decision.reason = "retry budget exhausted";
  } else {
    decision.retry = true;
    decision.reason = result.replica_down ? "replica down" : "replica busy";
  }
  return decision;
}

auto RetryPolicy::DecideLost(const RetryState& state,
                             const DispatchResult& result) -> RetryDecision {
  RetryDecision decision;
  decision.outcome = result.outcome;
  // A stream of which the caller has received nothing needs no resume.
  if (!state.can_resume && result.outcome.tokens > 0) {
    decision.reason = "stream cannot be resumed";
    return decision;
  }
  if (state.lost_retries >= settings_.max_lost_retries) {
    decision.reason = "too many replicas lost";
    return decision;
  }
  auto delay = Backoff(state.lost_retries);
  if (state.time_left < delay + settings_.min_time_left) {
    decision.reason = "deadline too near";
  } else if (!TakeFromBudget(state, result)) {
    decision.reason = "retry budget exhausted";
  } else {
    decision.retry = true;
    decision.delay = delay;
    decision.reason = "replica lost";
  }
  return decision;
}

auto RetryPolicy::TakeFromBudget(const RetryState& state,
                                 const DispatchResult& result) -> bool {
  if (state.dispatcher_lost || result.replica_down || state.response_started) {
    return true;
  }
  return budget_.TryRetry(state.service);
}

auto RetryPolicy::Backoff(std::uint32_t attempt) -> Duration {
  auto longest = std::min(
      settings_.max_backoff,
      settings_.base_backoff * (1U << std::min(attempt, kMaxDoublings)));
  // Jitter: at least half of the backoff, so that requests lost at the same
  // time are not retried at the same time.
  auto half = longest / 2;
  auto spread = static_cast<std::uint64_t>(half.count()) + 1;
  return half + Duration(static_cast<Duration::rep>(random_() % spread));
}

}  // namespace kumquatgauge::routing
