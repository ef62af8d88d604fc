#ifndef CALLER_API_ERROR_H_
#define CALLER_API_ERROR_H_

#include <chrono>
#include <exception>
#include <optional>
#include <string>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/outcome.h"

namespace kumquatgauge::caller::detail {

// An error in the form in which it is returned to a caller.
struct ApiError : std::exception {
  ApiError() = default;
  ApiError(int http_status,
           std::string error_code,
           std::string error_message,
           std::string parameter = {});

  auto what() const noexcept -> const char* override { return message.c_str(); }

  int status = 0;
  std::string code;
  std::string message;
  std::string param;  // Name of the invalid field; empty for none.
  std::string allow;  // Value of the Allow header of a 405.
  OutcomeKind outcome = OutcomeKind::kNotRun;
  std::optional<std::chrono::milliseconds> retry_after;
};

// Returns the error for an outcome other than kCompleted. `http_status`
// replaces the default status of the outcome unless it is 0.
auto FromOutcome(const Outcome& outcome, int http_status) -> ApiError;

// Returns the error for an exception. `conflict_status` is the status of
// kConflict: 409, or 422 for an idempotency key reused with another body.
auto FromError(const Error& error, int conflict_status) -> ApiError;

// Returns the body {"error":{"message","type","param","code"}}.
auto ToJson(const ApiError& error) -> std::string;

// Returns the value of Retry-After: whole seconds, rounded up, at least 1.
auto RetryAfterSeconds(std::chrono::milliseconds time) -> std::string;

}  // namespace kumquatgauge::caller::detail

#endif  // CALLER_API_ERROR_H_
