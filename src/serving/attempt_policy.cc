#include "kumquatgauge/serving/attempt_policy.h"

namespace kumquatgauge::serving {
namespace {

using upstream::CallEnd;

constexpr int kServerError = 500;
constexpr int kServiceUnavailable = 503;
constexpr int kTooManyRequests = 429;

// Whether the replica certainly did not run the request.
auto CertainlyNotRun(const AttemptEnd& attempt) -> bool {
  return attempt.not_run || !attempt.bytes_sent ||
         attempt.end == CallEnd::kNotSent;
}

auto DecideAfterNotRun(const AttemptHistory& history) -> NextStepDecision {
  if (history.attempts < kMaxAttemptsNotRun &&
      history.time_left > kMinRetryTime) {
    return {NextStep::kRetry, "the replica has not run it"};
  }
  if (history.answer_begun) {
    return {NextStep::kAbort, "no replica can go on with the answer"};
  }
  if (history.may_have_run > 0) {
    return {NextStep::kUnknown, "an earlier attempt may have run"};
  }
  return {NextStep::kRefuse, "no replica took it"};
}

auto DecideWithoutRetry(const AttemptHistory& history,
                        const AttemptEnd& attempt) -> NextStepDecision {
  if (history.answer_begun) {
    return {NextStep::kAbort, "the answer broke off"};
  }
  if (attempt.end == CallEnd::kDeadline) {
    return {NextStep::kTimedOut, "no answer in time"};
  }
  return {NextStep::kUnknown, "the answer was lost"};
}

auto MayRetry(const AttemptHistory& history) -> bool {
  return MayRepeat(history.kind, history.resumable) &&
         history.may_have_run < history.max_attempts &&
         history.attempts < history.max_attempts + kMaxAttemptsNotRun &&
         history.time_left > kMinRetryTime &&
         (history.retry_allowed || history.answer_begun);
}

}  // namespace

auto MayRepeat(RequestKind kind, bool resumable) -> bool {
  return kind == RequestKind::kIdempotent ||
         (kind == RequestKind::kStream && resumable);
}

auto DecideNextStep(const AttemptHistory& history, const AttemptEnd& attempt)
    -> NextStepDecision {
  if (attempt.end == CallEnd::kCancelled) {
    return {NextStep::kAbort, "the caller has left"};
  }
  if (CertainlyNotRun(attempt)) {
    return DecideAfterNotRun(history);
  }
  if (attempt.end != CallEnd::kComplete) {
    if (MayRetry(history)) {
      return {NextStep::kRetry, "the answer broke off and may be repeated"};
    }
    return DecideWithoutRetry(history, attempt);
  }
  if (attempt.status >= kServerError && MayRetry(history)) {
    return {NextStep::kRetry, "the replica failed"};
  }
  if (attempt.status >= kServerError && history.answer_begun) {
    return {NextStep::kAbort, "the replica failed to go on"};
  }
  // Callers take these statuses as a promise that nothing ran, which the
  // replica did not make.
  if (attempt.status == kServiceUnavailable ||
      attempt.status == kTooManyRequests) {
    return {NextStep::kUnknown, "the replica refused without saying not run"};
  }
  return {NextStep::kDeliver, "answered"};
}

}  // namespace kumquatgauge::serving
