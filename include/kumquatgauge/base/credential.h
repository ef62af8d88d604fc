#ifndef KUMQUATGAUGE_BASE_CREDENTIAL_H_
#define KUMQUATGAUGE_BASE_CREDENTIAL_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgauge {

// Compares in a time that depends on the lengths only, not on the contents, so
// that an attacker cannot guess a credential byte by byte.
auto ConstantTimeEqual(std::string_view left, std::string_view right) -> bool;

enum class OperatorRole { kRead, kChange };

struct OperatorCredential {
  std::string name;
  OperatorRole role = OperatorRole::kRead;
  std::string token;

  auto operator==(const OperatorCredential&) const -> bool = default;
};

// The credentials of the operators who may send commands.
class OperatorCredentials {
 public:
  explicit OperatorCredentials(std::vector<OperatorCredential> credentials);

  // Returns the credential with `token`, or nothing if there is none. Always
  // compares with every token, so that the time reveals no partial match.
  auto Find(std::string_view token) const -> std::optional<OperatorCredential>;

 private:
  std::vector<OperatorCredential> credentials_;
};

// Reads the fleet credential, which is the first line of `path` and must have
// at least 16 characters.
// Throws Error(kInvalidArgument).
auto ReadFleetCredential(const std::string& path) -> std::string;

// Reads lines of the form "NAME read|change TOKEN"; empty lines and lines that
// start with
// '#' are skipped. Throws Error(kInvalidArgument) that names the file
// and the line.
auto ReadOperatorCredentials(const std::string& path) -> OperatorCredentials;

}  // namespace kumquatgauge

#endif  // KUMQUATGAUGE_BASE_CREDENTIAL_H_
