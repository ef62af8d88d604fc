#include "kumquatgauge/batch/item_retry.h"

#include <algorithm>

namespace kumquatgauge::batch {
namespace {

using Kind = routing::DispatchResult::Kind;
using std::chrono::milliseconds;

auto RetryAt(MonotonicTime time) -> RetryDecision {
  return {
      .kind = RetryDecision::Kind::kRetry, .reason = {}, .not_before = time};
}

auto FailureReason(const AttemptResult& result) -> std::string {
  const auto& reason = result.dispatch.outcome.reason;
  if (!reason.empty()) {
    return reason;
  }
  return result.dispatch.kind == Kind::kLost ? "replica was lost"
                                             : "replica failed";
}

auto BusyDelay(const Outcome& outcome) -> milliseconds {
  if (outcome.retry_after <= milliseconds(0)) {
    return kBusyDelay;
  }
  return std::min(outcome.retry_after, kMaxBusyDelay);
}

}  // namespace

auto ItemRetry::OnAttemptEnded(const AttemptResult& result, MonotonicTime now)
    -> RetryDecision {
  const auto& outcome = result.dispatch.outcome;
  if (result.item_rejected) {
    ++attempts_;
    return {.kind = RetryDecision::Kind::kFailed,
            .reason = outcome.reason.empty() ? "the engine rejected the item"
                                             : outcome.reason,
            .not_before = now};
  }
  switch (result.dispatch.kind) {
    case Kind::kBusy:
      return RetryAt(now + BusyDelay(outcome));
    case Kind::kPreempted:
      KeepProgress(result);
      return RetryAt(now);
    case Kind::kLost:
      KeepProgress(result);
      return Charge(result, now);
    case Kind::kEnded:
      break;
  }
  switch (outcome.kind) {
    case OutcomeKind::kCompleted:
      ++attempts_;
      return {.kind = RetryDecision::Kind::kCompleted,
              .reason = {},
              .not_before = now};
    case OutcomeKind::kNotRun:
      return RetryAt(now + BusyDelay(outcome));
    case OutcomeKind::kCancelled:
      KeepProgress(result);
      return RetryAt(now + kBusyDelay);
    case OutcomeKind::kFailed:
    case OutcomeKind::kUnknown:
      break;
  }
  // Do not resume from the text of a failed response.
  resume_offset_ = 0;
  resume_text_.clear();
  return Charge(result, now);
}

auto ItemRetry::KeepProgress(const AttemptResult& result) -> void {
  resume_offset_ = result.dispatch.outcome.tokens;
  resume_text_ = resume_offset_ == 0 ? std::string() : result.text;
}

auto ItemRetry::Charge(const AttemptResult& result, MonotonicTime now)
    -> RetryDecision {
  ++attempts_;
  avoid_ = result.replica;
  if (attempts_ >= kMaxItemAttempts) {
    return {.kind = RetryDecision::Kind::kFailed,
            .reason = "failed " + std::to_string(attempts_) +
                      " times, last: " + FailureReason(result),
            .not_before = now};
  }
  return RetryAt(now + kFirstRetryDelay * (1 << (attempts_ - 1)));
}

}  // namespace kumquatgauge::batch
