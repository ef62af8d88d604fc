#ifndef KUMQUATGAUGE_ROUTING_RETRY_POLICY_H_
#define KUMQUATGAUGE_ROUTING_RETRY_POLICY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/completion.h"
#include "kumquatgauge/routing/retry_budget.h"

namespace kumquatgauge::routing {

struct RetryPolicySettings {
  // Maximum number of other replicas tried after a refusal for lack of
  // capacity.
  std::uint32_t max_busy_retries = 2;
  std::uint32_t max_lost_retries = 4;
  Duration base_backoff = std::chrono::milliseconds(25);
  Duration max_backoff = std::chrono::seconds(1);
  // Time that must remain after the backoff for an attempt to be worth making.
  Duration min_time_left = std::chrono::milliseconds(20);
};

// State of a request when an attempt has ended.
struct RetryState {
  ServiceName service = {};
  std::uint32_t busy_retries = 0;  // Made so far.
  std::uint32_t lost_retries = 0;
  Duration time_left{0};
  // The service's replicas can continue a stream at a token offset.
  bool can_resume = true;
  // The caller has received part of the answer, so "not run" is no longer a
  // valid answer; the request is retried until the deadline.
  bool response_started = false;
  // The last attempt ended because its dispatching node was lost.
  bool dispatcher_lost = false;
  // Shortest retry-after of the earlier refusals of this request.
  std::optional<std::chrono::milliseconds> least_retry_after = {};

  auto operator==(const RetryState&) const -> bool = default;
};

struct RetryDecision {
  bool retry = false;
  Duration delay{0};  // Before the next attempt.
  bool other_replica = true;
  std::string reason;  // Why, or why not, for logs and explain.
  Outcome outcome;     // What to answer when `retry` is false.

  auto operator==(const RetryDecision&) const -> bool = default;
};

// Decides whether an online completion is retried after an attempt.
//
// The budget guards against retries that multiply an overload. Three kinds of
// retry cannot do so and take nothing from it: retries after the loss of a
// dispatching node, retries after a replica that is down, and retries of an
// answer that has started, which resumes at its token offset. Their number per
// request is bounded.
class RetryPolicy {
 public:
  // `budget` must outlive the policy.
  RetryPolicy(RetryPolicySettings settings,
              RetryBudget& budget,
              RandomSource random);

  // Takes one retry from the budget when the request is retried.
  auto Decide(const RetryState& state, const DispatchResult& result)
      -> RetryDecision;

 private:
  auto DecideBusy(const RetryState& state, const DispatchResult& result)
      -> RetryDecision;
  auto DecideLost(const RetryState& state, const DispatchResult& result)
      -> RetryDecision;
  auto TakeFromBudget(const RetryState& state, const DispatchResult& result)
      -> bool;
  auto Backoff(std::uint32_t attempt) -> Duration;

  RetryPolicySettings settings_;
  RetryBudget& budget_;
  RandomSource random_;
};

}  // namespace kumquatgauge::routing

#endif  // KUMQUATGAUGE_ROUTING_RETRY_POLICY_H_
