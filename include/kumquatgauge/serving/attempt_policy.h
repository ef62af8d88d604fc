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
  int status = 0;           // Of the answer's head; 0 when none came.
  bool not_run = false;     // The replica states that it has not run.
  bool bytes_sent = false;  // A byte of the request may have left.

  auto operator==(const AttemptEnd&) const -> bool = default;
};

// What is known of the request when an attempt has ended.
struct AttemptHistory {
  RequestKind kind = RequestKind::kAtMostOnce;
  bool resumable = false;
  std::uint32_t max_attempts = 1;
  // Attempts that may have run, this one included, and all attempts.
  std::uint32_t may_have_run = 0;
  std::uint32_t attempts = 0;
  // The caller already has the head of the answer.
  bool answer_begun = false;
  Duration time_left{0};
  // The budget that keeps retries from feeding an overload has one left.
  bool retry_allowed = true;

  auto operator==(const AttemptHistory&) const -> bool = default;
};

enum class NextStep {
  kDeliver,   // The attempt's answer is the final one.
  kRetry,     // Try another replica.
  kRefuse,    // Nothing has run: say so, and when to come back.
  kUnknown,   // It may have run; it does not run again under this id.
  kTimedOut,  // The time is over.
  kAbort,     // The answer has begun and cannot go on: end it visibly.
};

struct NextStepDecision {
  NextStep step = NextStep::kDeliver;
  std::string_view reason;

  auto operator==(const NextStepDecision&) const -> bool = default;
};

// Other replicas that are tried after replicas which certainly did not run the
// request. Bounds the time that one request takes from all others.
inline constexpr std::uint32_t kMaxAttemptsNotRun = 4;
// Time that must be left for another attempt to bring an answer.
inline constexpr std::chrono::milliseconds kMinRetryTime{20};

// Whether the request may be sent to a replica after one may have run it.
auto MayRepeat(RequestKind kind, bool resumable) -> bool;

// Decides what follows an attempt, so that what must run at most once never
// runs twice, "not run" is only said when it is true, and an answer that ends
// early never looks complete.
auto DecideNextStep(const AttemptHistory& history, const AttemptEnd& attempt)
    -> NextStepDecision;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_ATTEMPT_POLICY_H_
