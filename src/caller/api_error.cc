#include "caller/api_error.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace kumquatgauge::caller::detail {
namespace {

using nlohmann::json;

constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kClientClosed = 499;
constexpr int kInternalError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// Used for refusals that carry no Retry-After time of their own.
constexpr std::chrono::milliseconds kDefaultRetryAfter{1'000};

auto TypeOf(int status) -> const char* {
  if (status == kTooManyRequests) {
    return "rate_limit_error";
  }
  return status < kInternalError ? "invalid_request_error" : "server_error";
}

auto DefaultStatus(OutcomeKind kind) -> int {
  switch (kind) {
    case OutcomeKind::kNotRun:
      return kUnavailable;
    case OutcomeKind::kUnknown:
      return kGatewayTimeout;
    case OutcomeKind::kFailed:
      return kBadGateway;
    case OutcomeKind::kCancelled:
      return kClientClosed;
    case OutcomeKind::kCompleted:
      break;
  }
  return kInternalError;
}

auto CodeOf(OutcomeKind kind) -> std::string {
  return kind == OutcomeKind::kUnknown ? "unknown_outcome"
                                       : std::string(OutcomeKindName(kind));
}

auto StatusOf(ErrorKind kind, int conflict_status) -> int {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return kBadRequest;
    case ErrorKind::kNotFound:
      return kNotFound;
    case ErrorKind::kConflict:
      return conflict_status;
    case ErrorKind::kUnavailable:
    case ErrorKind::kTimeout:
      return kUnavailable;
    case ErrorKind::kOverloaded:
      return kTooManyRequests;
    case ErrorKind::kPermissionDenied:
      return kForbidden;
    case ErrorKind::kUnknownOutcome:
      return kGatewayTimeout;
    case ErrorKind::kInternal:
      break;
  }
  return kInternalError;
}

}  // namespace

ApiError::ApiError(int http_status,
                   std::string error_code,
                   std::string error_message,
                   std::string parameter)
    : status(http_status),
      code(std::move(error_code)),
      message(std::move(error_message)),
      param(std::move(parameter)) {}

auto FromOutcome(const Outcome& outcome, int http_status) -> ApiError {
  const auto status =
      http_status == 0 ? DefaultStatus(outcome.kind) : http_status;
  ApiError error(status, CodeOf(outcome.kind), outcome.reason);
  if (error.message.empty()) {
    error.message = "the request ended with outcome " + error.code;
  }
  error.outcome = outcome.kind;
  if (outcome.kind == OutcomeKind::kNotRun &&
      (status == kUnavailable || status == kTooManyRequests)) {
    error.retry_after = outcome.retry_after.count() > 0 ? outcome.retry_after
                                                        : kDefaultRetryAfter;
  }
  return error;
}

auto FromError(const Error& cause, int conflict_status) -> ApiError {
  ApiError error(StatusOf(cause.kind(), conflict_status),
                 std::string(ErrorKindName(cause.kind())), cause.what());
  // An internal error does not tell whether the request was run.
  if (cause.kind() == ErrorKind::kUnknownOutcome ||
      cause.kind() == ErrorKind::kInternal) {
    error.outcome = OutcomeKind::kUnknown;
  }
  if (error.status == kUnavailable || error.status == kTooManyRequests) {
    error.retry_after = kDefaultRetryAfter;
  }
  return error;
}

auto ToJson(const ApiError& error) -> std::string {
  json value{{"message", error.message},
             {"type", TypeOf(error.status)},
             {"param", nullptr},
             {"code", error.code}};
  if (!error.param.empty()) {
    value["param"] = error.param;
  }
  return json{{"error", std::move(value)}}.dump(-1, ' ', false,
                                                json::error_handler_t::replace);
}

auto RetryAfterSeconds(std::chrono::milliseconds time) -> std::string {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(time).count();
  return std::to_string(std::max<std::int64_t>(1, seconds));
}

}  // namespace kumquatgauge::caller::detail
