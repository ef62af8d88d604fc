#include "kumquatgauge/base/error.h"

namespace kumquatgauge {

auto ErrorKindName(ErrorKind kind) -> std::string_view {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return "invalid_argument";
    case ErrorKind::kNotFound:
      return "not_found";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kUnavailable:
      return "unavailable";
    case ErrorKind::kOverloaded:
      return "overloaded";
    case ErrorKind::kTimeout:
      return "timeout";
    case ErrorKind::kPermissionDenied:
      return "permission_denied";
    case ErrorKind::kUnknownOutcome:
      return "unknown_outcome";
    case ErrorKind::kInternal:
      break;
  }
  return "internal";
}

Error::Error(ErrorKind kind,
             const std::string& what_happened,
             const std::string& object,
             const std::string& remedy)
    : std::runtime_error(what_happened + ": " + object + "; " + remedy),
      kind_(kind),
      object_(object),
      remedy_(remedy) {}

}  // namespace kumquatgauge
