#include "kumquatgauge/serving/attempt_policy.h"

namespace kumquatgauge::serving {
namespace {

using upstream::CallEnd;

constexpr int kServerError = 500;
constexpr int kServiceUnavailable = 503;
constexpr int kTooManyRequests = 429;

// Returns whether the replica certainly did not run the request.
auto CertainlyNotRun(const AttemptEnd& attempt) -> bool {
  return attempt.not_run || !attempt.bytes_sent ||
         attempt.end == CallEnd::kNotSent;
}

auto DecideAfterNotRun(const AttemptHistory& history) -> NextStepDecision {
  if (history.attempts < kMaxAttemptsNotRun && !history.stopping &&
      history.time_left > kMinRetryTime) {
    return {NextStep::kRetry, "the replica did not run the request"};
  }
  if (history.answer_begun) {
    return {NextStep::kAbort, "no replica can resume the response"};
  }
  if (history.may_have_run > 0) {
    return {NextStep::kUnknown, "an earlier attempt may have run"};
  }
  return {NextStep::kRefuse, "no replica took it"};
}

auto DecideWithoutRetry(const AttemptHistory& history,
                        const AttemptEnd& attempt) -> NextStepDecision {
  if (history.answer_begun) {
    return {NextStep::kAbort, "the response was interrupted"};
  }
  if (attempt.end == CallEnd::kDeadline) {
    return {NextStep::kTimedOut, "no answer in time"};
  }
  return {NextStep::kUnknown, "the response was lost"};
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
  if (attempt.end == CallEnd::kCancelled && !history.stopping) {
    return {NextStep::kAbort, "the caller has left"};
  }
  if (CertainlyNotRun(attempt)) {
    return DecideAfterNotRun(history);
  }
  if (history.stopping && attempt.end != CallEnd::kComplete) {
    return history.answer_begun
               ? NextStepDecision{NextStep::kAbort,
                                  "the response was interrupted"}
               : NextStepDecision{NextStep::kTimedOut,
                                  "no answer before this node stops"};
  }
  if (attempt.end != CallEnd::kComplete) {
    if (MayRetry(history)) {
      return {NextStep::kRetry, "the attempt failed and may be repeated"};
    }
    return DecideWithoutRetry(history, attempt);
  }
  // Once the caller has events, only more events can follow.
  const auto fits = attempt.stream || !history.answer_begun;
  if ((attempt.status >= kServerError || !fits) && MayRetry(history)) {
    return {NextStep::kRetry, "the replica failed"};
  }
  if (!fits) {
    return {NextStep::kAbort, "the replica failed to resume the response"};
  }
  // Callers read these statuses as a guarantee that nothing ran, which the
  // replica did not give.
  if (attempt.status == kServiceUnavailable ||
      attempt.status == kTooManyRequests) {
    return {NextStep::kUnknown,
            "the replica refused without reporting not run"};
  }
  return {NextStep::kDeliver, "answered"};
}

}  // namespace kumquatgauge::serving
