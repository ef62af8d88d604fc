#ifndef KUMQUATGAUGE_BASE_ERROR_H_
#define KUMQUATGAUGE_BASE_ERROR_H_

#include <stdexcept>
#include <string>
#include <string_view>

namespace kumquatgauge {

enum class ErrorKind {
  kInvalidArgument,
  kNotFound,
  kConflict,
  kUnavailable,  // The operation had no effect.
  kOverloaded,   // Rejected for now; the operation had no effect.
  kTimeout,  // The called function documents whether it may have had an effect.
  kPermissionDenied,
  kUnknownOutcome,  // The operation may have taken effect.
  kInternal,
};

// Stable lower-case name such as "not_found", for JSON and logs.
auto ErrorKindName(ErrorKind kind) -> std::string_view;

// An error whose message has the form "<what happened>: <object>; <remedy>".
class Error : public std::runtime_error {
 public:
  Error(ErrorKind kind,
        const std::string& what_happened,
        const std::string& object,
        const std::string& remedy);

  auto kind() const -> ErrorKind { return kind_; }
  auto object() const -> const std::string& { return object_; }
  auto remedy() const -> const std::string& { return remedy_; }

 private:
  ErrorKind kind_;
  std::string object_;
  std::string remedy_;
};

}  // namespace kumquatgauge

#endif  // KUMQUATGAUGE_BASE_ERROR_H_
