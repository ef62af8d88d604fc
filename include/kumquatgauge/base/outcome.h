#ifndef KUMQUATGAUGE_BASE_OUTCOME_H_
#define KUMQUATGAUGE_BASE_OUTCOME_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatgauge {

// How a request ended. Each value is a guarantee to the caller.
enum class OutcomeKind {
  kCompleted,  // The complete response was delivered.
  kNotRun,     // No upstream has started the request and none will.
  kUnknown,    // It may have run; this request id never runs again.
  kFailed,     // It ran and ended with an error.
  kCancelled,  // It was cancelled on request.
};

// Stable lower-case name such as "not_run", for headers, JSON and logs.
auto OutcomeKindName(OutcomeKind kind) -> std::string_view;
// Inverse of OutcomeKindName; throws Error(kInvalidArgument).
auto ParseOutcomeKind(std::string_view name) -> OutcomeKind;

struct Outcome {
  OutcomeKind kind = OutcomeKind::kCompleted;
  // A short explanation for the caller; empty for kCompleted.
  std::string reason = {};
  // Delay before a retry; meaningful for kNotRun only.
  std::chrono::milliseconds retry_after{0};
  // Tokens delivered so far, counted from the start of the response.
  std::uint64_t tokens = 0;

  auto operator==(const Outcome&) const -> bool = default;
};

}  // namespace kumquatgauge

#endif  // KUMQUATGAUGE_BASE_OUTCOME_H_
