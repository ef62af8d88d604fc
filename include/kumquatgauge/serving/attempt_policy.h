#ifndef KUMQUATGAUGE_SERVING_ATTEMPT_POLICY_H_
#define KUMQUATGAUGE_SERVING_ATTEMPT_POLICY_H_

#include <cstdint>
#include <string_view>

#include "kumquatgauge/base/time.h"
#include "kumquatgauge/serving/configuration.h"
#include "kumquatgauge/upstream/replica_call.h"

namespace kumquatgauge::serving {

// How an attempt at one replica ended.
struct AttemptEnd {
  upstream::CallEnd end = upstream::CallEnd::kComplete;
  int status = 0;           // From the response head; 0 without a response.
  bool not_run = false;     // The replica states that it did not run.
  bool bytes_sent = false;  // At least one byte may have been sent.
  bool stream = false;      // The response is a stream of events.

  auto operator==(const AttemptEnd&) const -> bool = default;
};

// The state of a request when one of its attempts has ended.
struct AttemptHistory {
  RequestKind kind = RequestKind::kAtMostOnce;
  bool resumable = false;
  std::uint32_t max_attempts = 1;
  // Attempts that may have run the request, including this one, and attempts in
  // total.
  std::uint32_t may_have_run = 0;
  std::uint32_t attempts = 0;
  // The caller has already received the response head.
  bool answer_begun = false;
  Duration time_left{0};
  // Whether the retry budget, which keeps retries from amplifying an overload,
  // allows another retry.
  bool retry_allowed = true;
  // This node stops and has ended the attempt.
  bool stopping = false;

  auto operator==(const AttemptHistory&) const -> bool = default;
};

enum class NextStep {
  kDeliver,   // The attempt's response is final.
  kRetry,     // Try another replica.
  kRefuse,    // Nothing ran: report that and a retry time.
  kUnknown,   // May have run; must not run again under this id.
  kTimedOut,  // The deadline has passed.
  kAbort,     // Abort a started response so that it looks incomplete.
};

struct NextStepDecision {
  NextStep step = NextStep::kDeliver;
  std::string_view reason;

  auto operator==(const NextStepDecision&) const -> bool = default;
};

// Limit on attempts when the replicas certainly did not run the request. Bounds
// the time that one request takes away from others.
inline constexpr std::uint32_t kMaxAttemptsNotRun = 4;
// Minimum remaining time in which another attempt can still succeed.
inline constexpr std::chrono::milliseconds kMinRetryTime{20};

// Returns whether the request may be sent again after a replica may have run
// it.
auto MayRepeat(RequestKind kind, bool resumable) -> bool;

// Decides the next step after an attempt. At-most-once requests never run
// twice, "not run" is reported only when it is true, and a truncated response
// never looks complete.
auto DecideNextStep(const AttemptHistory& history, const AttemptEnd& attempt)
    -> NextStepDecision;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_ATTEMPT_POLICY_H_
