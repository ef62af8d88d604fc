#include "kumquatgauge/base/credential.h"

#include <openssl/crypto.h>

#include <fstream>
#include <sstream>
#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge {
namespace {

// Shorter tokens could be guessed over the network.
constexpr std::size_t kMinTokenLength = 16;

auto OpenFile(const std::string& path) -> std::ifstream {
  auto file = std::ifstream(path);
  if (!file) {
    throw Error(ErrorKind::kInvalidArgument, "cannot read credentials", path,
                "create the file and make it readable by the node");
  }
  return file;
}

auto CheckLength(const std::string& token, const std::string& where) -> void {
  if (token.size() < kMinTokenLength) {
    throw Error(
        ErrorKind::kInvalidArgument, "credential too short", where,
        "use at least " + std::to_string(kMinTokenLength) + " characters");
  }
}

auto ParseCredential(const std::string& line, const std::string& where)
    -> OperatorCredential {
  auto fields = std::istringstream(line);
  auto name = std::string();
  auto role = std::string();
  auto token = std::string();
  fields >> name >> role >> token;
  if (role != "read" && role != "change") {
    throw Error(ErrorKind::kInvalidArgument, "bad operator credential", where,
                "use the form: NAME read|change TOKEN");
  }
  CheckLength(token, where);
  return {.name = name,
          .role = role == "read" ? OperatorRole::kRead : OperatorRole::kChange,
          .token = token};
}

}  // namespace

auto ConstantTimeEqual(std::string_view left, std::string_view right) -> bool {
  if (left.size() != right.size()) {
    return false;
  }
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

OperatorCredentials::OperatorCredentials(
    std::vector<OperatorCredential> credentials)
    : credentials_(std::move(credentials)) {}

auto OperatorCredentials::Find(std::string_view token) const
    -> std::optional<OperatorCredential> {
  auto found = std::optional<OperatorCredential>();
  for (const auto& credential : credentials_) {
    if (ConstantTimeEqual(credential.token, token)) {
      found = credential;
    }
  }
  return found;
}

auto ReadFleetCredential(const std::string& path) -> std::string {
  auto file = OpenFile(path);
  auto token = std::string();
  std::getline(file, token);
  CheckLength(token, path);
  return token;
}

auto ReadOperatorCredentials(const std::string& path) -> OperatorCredentials {
  auto file = OpenFile(path);
  auto credentials = std::vector<OperatorCredential>();
  auto line = std::string();
  for (auto number = 1; std::getline(file, line); ++number) {
    if (line.empty() || line.starts_with('#')) {
      continue;
    }
    credentials.push_back(
        ParseCredential(line, path + ":" + std::to_string(number)));
  }
  return OperatorCredentials(std::move(credentials));
}

}  // namespace kumquatgauge
