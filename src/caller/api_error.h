#ifndef CALLER_API_ERROR_H_
#define CALLER_API_ERROR_H_

#include <chrono>
#include <exception>
#include <optional>
#include <string>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/outcome.h"

namespace kumquatgauge::caller::detail {

// An error as a caller sees it.
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
  std::string param;  // Name of the field at fault; empty for none.
  std::string allow;  // Methods that a 405 names.
  OutcomeKind outcome = OutcomeKind::kNotRun;
  std::optional<std::chrono::milliseconds> retry_after;
};

// The error for an outcome other than kCompleted; `http_status` replaces the
// usual status unless it is 0.
auto FromOutcome(const Outcome& outcome, int http_status) -> ApiError;

// `conflict_status` is 409, or 422 for an idempotency key with another body.
auto FromError(const Error& error, int conflict_status) -> ApiError;

// {"error":{"message","type","param","code"}}
auto ToJson(const ApiError& error) -> std::string;

// Value of Retry-After: whole seconds, rounded up, at least 1.
auto RetryAfterSeconds(std::chrono::milliseconds time) -> std::string;

}  // namespace kumquatgauge::caller::detail

#endif  // CALLER_API_ERROR_H_
