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
  // Other replicas tried after a refusal for lack of room.
  std::uint32_t max_busy_retries = 2;
  std::uint32_t max_lost_retries = 4;
  Duration base_backoff = std::chrono::milliseconds(25);
  Duration max_backoff = std::chrono::seconds(1);
  // Time that must remain after the backoff for an attempt to be worth making.
  Duration min_time_left = std::chrono::milliseconds(20);
};

// What is known of a request when an attempt has ended.
struct RetryState {
  ServiceName service = {};
  std::uint32_t busy_retries = 0;  // Made so far.
  std::uint32_t lost_retries = 0;
  Duration time_left{0};
  // The service's replicas can continue a stream at a token offset.
  bool can_resume = true;
  // The caller has a part of the answer, so "not run" is no way out: the rest
  // is worth waiting for until the deadline.
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

// Decides whether an online completion is tried again after an attempt.
//
// The budget guards against retries that multiply an overload. Three kinds of
// retry cannot, and need none of it: after the loss of a dispatching node,
// after a replica that is down, and of an answer that has begun, which goes on
// at its token offset. Their number per request is bounded.
class RetryPolicy {
 public:
  // `budget` must outlive the policy.
  RetryPolicy(RetryPolicySettings settings,
              RetryBudget& budget,
              RandomSource random);

  // Takes one retry from the budget when the answer is yes.
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
