#ifndef KUMQUATGAUGE_BASE_CREDENTIAL_H_
#define KUMQUATGAUGE_BASE_CREDENTIAL_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgauge {

// Compares in a time that depends on the length of `left` only, so that an
// attacker cannot learn a credential byte by byte.
auto ConstantTimeEqual(std::string_view left, std::string_view right) -> bool;

enum class OperatorRole { kRead, kChange };

struct OperatorCredential {
  std::string name;
  OperatorRole role = OperatorRole::kRead;
  std::string token;

  auto operator==(const OperatorCredential&) const -> bool = default;
};

// The operators who may send commands.
class OperatorCredentials {
 public:
  explicit OperatorCredentials(std::vector<OperatorCredential> credentials);

  // Who holds `token`; nothing when nobody does. Compares with every token, so
  // that the time does not tell which one came close.
  auto Find(std::string_view token) const -> std::optional<OperatorCredential>;

 private:
  std::vector<OperatorCredential> credentials_;
};

// Reads the fleet credential: the first line of `path`, at least 16 characters.
// Throws Error(kInvalidArgument).
auto ReadFleetCredential(const std::string& path) -> std::string;

// Reads lines "NAME read|change TOKEN"; empty lines and lines that start with
// '#' are skipped. Throws Error(kInvalidArgument) with file and line.
auto ReadOperatorCredentials(const std::string& path) -> OperatorCredentials;

}  // namespace kumquatgauge

#endif  // KUMQUATGAUGE_BASE_CREDENTIAL_H_
