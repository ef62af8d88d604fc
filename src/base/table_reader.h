#ifndef BASE_TABLE_READER_H_
#define BASE_TABLE_READER_H_

#include <toml++/toml.h>

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/log.h"

namespace kumquatgauge::detail {

inline constexpr std::int64_t kMaxPort = 65'535;

struct IntegerRange {
  std::int64_t low;
  std::int64_t high;
};

// Reads the keys of one TOML table and reports keys that were never read.
class TableReader {
 public:
  TableReader(const toml::table* table, std::string name, std::string path)
      : table_(table), name_(std::move(name)), path_(std::move(path)) {}

  // Returns the value of `key`, or null if it is absent, and records the key as
  // known.
  auto Find(const std::string& key) -> const toml::node* {
    known_.insert(key);
    return table_ == nullptr ? nullptr : table_->get(key);
  }

  auto String(const std::string& key) -> std::string {
    const auto* node = Find(key);
    if (node == nullptr) {
      Fail(Line(table_), key, "nothing", "a string; the key is required");
    }
    return AsString(key, *node);
  }

  auto String(const std::string& key, const std::string& fallback)
      -> std::string {
    const auto* node = Find(key);
    return node == nullptr ? fallback : AsString(key, *node);
  }

  auto Endpoint(const std::string& key) -> std::string {
    return ValidateEndpoint(key, String(key));
  }

  auto Endpoint(const std::string& key, const std::string& fallback)
      -> std::string {
    return ValidateEndpoint(key, String(key, fallback));
  }

  auto Endpoints(const std::string& key) -> std::vector<std::string> {
    const auto* node = Find(key);
    auto endpoints = std::vector<std::string>();
    if (node == nullptr) {
      return endpoints;
    }
    const auto* array = node->as_array();
    if (array == nullptr) {
      Fail(Line(node), key, ToText(*node), "a list of \"IP:port\"");
    }
    for (const auto& element : *array) {
      endpoints.push_back(ValidateEndpoint(key, AsString(key, element)));
    }
    return endpoints;
  }

  auto Integer(const std::string& key,
               std::int64_t fallback,
               const IntegerRange& range) -> std::int64_t {
    const auto* node = Find(key);
    if (node == nullptr) {
      return fallback;
    }
    const auto allowed = "a whole number from " + std::to_string(range.low) +
                         " to " + std::to_string(range.high);
    if (!node->is_integer()) {
      Fail(Line(node), key, ToText(*node), allowed);
    }
    const auto value = node->as_integer()->get();
    if (value < range.low || value > range.high) {
      Fail(Line(node), key, ToText(*node), allowed);
    }
    return value;
  }

  // Returns a floating-point number.
  auto Number(const std::string& key, double fallback, double low, double high)
      -> double {
    const auto* node = Find(key);
    if (node == nullptr) {
      return fallback;
    }
    const auto value = node->value<double>();
    // TOML has a value for "not a number", for which every comparison fails.
    if (!value || !(*value >= low && *value <= high)) {
      Fail(Line(node), key, ToText(*node),
           "a number from " + std::to_string(low) + " to " +
               std::to_string(high));
    }
    return *value;
  }

  [[noreturn]] auto Fail(std::uint32_t line,
                         const std::string& key,
                         const std::string& found,
                         const std::string& allowed) const -> void {
    const auto full = name_.empty() ? key : name_ + "." + key;
    throw Error(
        ErrorKind::kInvalidArgument, "bad setting",
        path_ + ":" + std::to_string(line) + ": " + full + ": found " + found,
        "allowed is " + allowed);
  }

  // Returns a reader for the table `key`, or for an empty table if it is
  // absent.
  auto Table(const std::string& key) -> TableReader {
    const auto* node = Find(key);
    if (node != nullptr && !node->is_table()) {
      Fail(Line(node), key, "a value", "a table");
    }
    return {node == nullptr ? nullptr : node->as_table(), key, path_};
  }

  // Returns the log level of `key`; the default is info.
  auto Level(const std::string& key) -> LogLevel {
    const auto level = String(key, "info");
    try {
      return ParseLogLevel(level);
    } catch (const Error&) {
      Fail(LineOf(key), key, '"' + level + '"',
           "debug, info, warning or error");
    }
  }

  auto LineOf(const std::string& key) const -> std::uint32_t {
    const auto* node = table_ == nullptr ? nullptr : table_->get(key);
    return Line(node);
  }

  // Throws Error(kInvalidArgument) if the table has a key that was not read.
  auto RejectUnknownKeys() const -> void {
    if (table_ == nullptr) {
      return;
    }
    for (const auto& [key, node] : *table_) {
      if (!known_.contains(std::string(key.str()))) {
        auto allowed = std::string("one of");
        for (const auto& known : known_) {
          allowed += " " + known;
        }
        Fail(Line(&node), std::string(key.str()), "an unknown key", allowed);
      }
    }
  }

 private:
  static auto Line(const toml::node* node) -> std::uint32_t {
    return node == nullptr ? 1 : node->source().begin.line;
  }

  static auto ToText(const toml::node& node) -> std::string {
    auto text = std::ostringstream();
    node.visit([&text](const auto& value) { text << value; });
    return text.str();
  }

  auto AsString(const std::string& key, const toml::node& node) const
      -> std::string {
    if (!node.is_string()) {
      Fail(Line(&node), key, ToText(node), "a string");
    }
    return node.as_string()->get();
  }

  auto ValidateEndpoint(const std::string& key, std::string value) const
      -> std::string {
    const auto colon = value.rfind(':');
    auto port = std::int64_t{-1};
    auto failed = boost::system::error_code();
    if (colon != std::string::npos) {
      boost::asio::ip::make_address(value.substr(0, colon), failed);
      const auto* end = value.data() + value.size();
      const auto parsed = std::from_chars(value.data() + colon + 1, end, port);
      if (parsed.ec != std::errc() || parsed.ptr != end) {
        port = -1;
      }
    }
    if (failed || port < 0 || port > kMaxPort) {
      Fail(LineOf(key), key, '"' + value + '"',
           "\"IP:port\" with a port from 0 to 65535");
    }
    return value;
  }

  const toml::table* table_;
  std::string name_;
  std::string path_;
  std::set<std::string> known_;
};

// Parses the text of a settings file and returns the result of `read` for its
// root table. Throws Error(kInvalidArgument) if the text is not valid TOML.
template <typename Read>
auto ReadToml(const std::string& text, const std::string& path, Read read) {
  try {
    const auto root = toml::parse(text, path);
    return read(root);
  } catch (const toml::parse_error& error) {
    throw Error(ErrorKind::kInvalidArgument, "settings are not valid TOML",
                path + ":" + std::to_string(error.source().begin.line) + ": " +
                    std::string(error.description()),
                "correct the line; see docs/operators.md");
  }
}

// Returns the text of a settings file. Throws Error(kInvalidArgument) if it
// cannot be read.
inline auto ReadSettingsText(const std::string& path) -> std::string {
  auto file = std::ifstream(path);
  if (!file) {
    throw Error(ErrorKind::kInvalidArgument, "cannot read settings", path,
                "use the path of a readable TOML file");
  }
  auto text = std::ostringstream();
  text << file.rdbuf();
  return text.str();
}

}  // namespace kumquatgauge::detail

#endif  // BASE_TABLE_READER_H_
