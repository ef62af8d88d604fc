#ifndef KUMQUATGAUGE_BASE_OUTCOME_H_
#define KUMQUATGAUGE_BASE_OUTCOME_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatgauge {

// The ways in which a request ends. Each is a promise to the caller.
enum class OutcomeKind {
  kCompleted,  // The whole answer was delivered.
  kNotRun,     // No upstream has started it and none will.
  kUnknown,    // It may have run; it never runs again under this request id.
  kFailed,     // It ran and ended in an error.
  kCancelled,  // It was stopped on request.
};

// Stable lower-case name such as "not_run", for headers, JSON and logs.
auto OutcomeKindName(OutcomeKind kind) -> std::string_view;
// Inverse of OutcomeKindName; throws Error(kInvalidArgument).
auto ParseOutcomeKind(std::string_view name) -> OutcomeKind;

struct Outcome {
  OutcomeKind kind = OutcomeKind::kCompleted;
  // Why, in a short sentence for the caller; empty for kCompleted.
  std::string reason = {};
  // When to come back; meaningful for kNotRun only.
  std::chrono::milliseconds retry_after{0};
  // Number of tokens delivered so far, counted from the start of the answer.
  std::uint64_t tokens = 0;

  auto operator==(const Outcome&) const -> bool = default;
};

}  // namespace kumquatgauge

#endif  // KUMQUATGAUGE_BASE_OUTCOME_H_
