#include "kumquatgauge/base/settings.h"

#include <toml++/toml.h>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge {
namespace {

constexpr std::int64_t kMaxPort = 65'535;

struct IntegerRange {
  std::int64_t low;
  std::int64_t high;
};

// Reads the keys of one TOML table and reports those nobody asked for.
class TableReader {
 public:
  TableReader(const toml::table* table, std::string name, std::string path)
      : table_(table), name_(std::move(name)), path_(std::move(path)) {}

  // The value of `key`, which from now on counts as known; null if absent.
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
    return CheckedEndpoint(key, String(key));
  }

  auto Endpoint(const std::string& key, const std::string& fallback)
      -> std::string {
    return CheckedEndpoint(key, String(key, fallback));
  }

  auto Endpoints(const std::string& key) -> std::vector<std::string> {
    const auto* node = Find(key);
    auto endpoints = std::vector<std::string>();
    if (node == nullptr) {
      return endpoints;
    }
    const auto* array = node->as_array();
    if (array == nullptr) {
      Fail(Line(node), key, Shown(*node), "a list of \"IP:port\"");
    }
    for (const auto& element : *array) {
      endpoints.push_back(CheckedEndpoint(key, AsString(key, element)));
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
      Fail(Line(node), key, Shown(*node), allowed);
    }
    const auto value = node->as_integer()->get();
    if (value < range.low || value > range.high) {
      Fail(Line(node), key, Shown(*node), allowed);
    }
    return value;
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

  auto LineOf(const std::string& key) const -> std::uint32_t {
    const auto* node = table_ == nullptr ? nullptr : table_->get(key);
    return Line(node);
  }

  // Throws for a key that was not read.
  auto CheckUnknown() const -> void {
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

  static auto Shown(const toml::node& node) -> std::string {
    auto text = std::ostringstream();
    node.visit([&text](const auto& value) { text << value; });
    return text.str();
  }

  auto AsString(const std::string& key, const toml::node& node) const
      -> std::string {
    if (!node.is_string()) {
      Fail(Line(&node), key, Shown(node), "a string");
    }
    return node.as_string()->get();
  }

  auto CheckedEndpoint(const std::string& key, std::string value) const
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

auto ReadLimits(TableReader& reader) -> NodeSettings::Limits {
  auto limits = NodeSettings::Limits();
  limits.max_body_bytes = static_cast<std::uint64_t>(
      reader.Integer("max_body_bytes", 4'000'000, {1'000, 100'000'000}));
  limits.max_headers = static_cast<std::uint32_t>(
      reader.Integer("max_headers", 100, {10, 1'000}));
  limits.queue =
      std::chrono::milliseconds(reader.Integer("queue_ms", 500, {0, 60'000}));
  limits.default_deadline = std::chrono::milliseconds(
      reader.Integer("default_deadline_ms", 60'000, {100, 3'600'000}));
  limits.stop = std::chrono::seconds(reader.Integer("stop_s", 30, {1, 3'600}));
  limits.platform_writes_per_second = static_cast<std::uint32_t>(
      reader.Integer("platform_writes_per_second", 40, {1, 500}));
  limits.platform_reads_per_second = static_cast<std::uint32_t>(
      reader.Integer("platform_reads_per_second", 200, {1, 2'000}));
  limits.batch_window = static_cast<std::uint32_t>(
      reader.Integer("batch_window", 256, {1, 10'000}));
  return limits;
}

class SettingsReader {
 public:
  SettingsReader(const toml::table& root, std::string path)
      : root_(root), path_(std::move(path)) {}

  auto Read() -> NodeSettings {
    auto settings = NodeSettings();
    ReadNode(settings);
    ReadCallers(settings);
    ReadOperators(settings);
    ReadNodes(settings);
    auto platform = Table("platform");
    settings.platform_address = platform.Endpoint("address");
    platform.CheckUnknown();
    ReadLog(settings);
    auto limits = Table("limits");
    settings.limits = ReadLimits(limits);
    limits.CheckUnknown();
    top_.CheckUnknown();
    return settings;
  }

 private:
  auto Table(const std::string& name) -> TableReader {
    const auto* node = top_.Find(name);
    if (node != nullptr && !node->is_table()) {
      top_.Fail(node->source().begin.line, name, "a value", "a table");
    }
    return {node == nullptr ? nullptr : node->as_table(), name, path_};
  }

  auto ReadNode(NodeSettings& settings) -> void {
    auto node = Table("node");
    settings.name = NodeId(node.String("name"));
    settings.zone = ZoneName(node.String("zone"));
    settings.region = node.String("region", "");
    settings.data_folder = node.String("data_folder", "");
    settings.traffic_threads =
        static_cast<std::uint32_t>(node.Integer("traffic_threads", 2, {1, 64}));
    node.CheckUnknown();
  }

  auto ReadCallers(NodeSettings& settings) -> void {
    auto callers = Table("callers");
    settings.callers.listen = callers.Endpoint("listen");
    settings.callers.advertise =
        callers.Endpoint("advertise", settings.callers.listen);
    settings.callers.answer_ttl =
        std::chrono::seconds(callers.Integer("answer_ttl_s", 10, {1, 3'600}));
    callers.CheckUnknown();
  }

  auto ReadOperators(NodeSettings& settings) -> void {
    auto operators = Table("operators");
    settings.operators.listen = operators.Endpoint("listen");
    settings.operators.credentials_file = operators.String("credentials_file");
    operators.CheckUnknown();
  }

  auto ReadNodes(NodeSettings& settings) -> void {
    auto nodes = Table("nodes");
    settings.nodes.listen = nodes.Endpoint("listen");
    settings.nodes.fleet_credential_file =
        nodes.String("fleet_credential_file");
    settings.nodes.seeds = nodes.Endpoints("seeds");
    nodes.CheckUnknown();
  }

  auto ReadLog(NodeSettings& settings) -> void {
    auto log = Table("log");
    const auto level = log.String("level", "info");
    try {
      settings.log_level = ParseLogLevel(level);
    } catch (const Error&) {
      log.Fail(log.LineOf("level"), "level", '"' + level + '"',
               "debug, info, warning or error");
    }
    settings.log_file = log.String("file", "");
    log.CheckUnknown();
  }

  const toml::table& root_;
  std::string path_;
  TableReader top_{&root_, "", path_};
};

}  // namespace

auto ParseNodeSettings(const std::string& text, const std::string& path)
    -> NodeSettings {
  try {
    const auto root = toml::parse(text, path);
    return SettingsReader(root, path).Read();
  } catch (const toml::parse_error& error) {
    throw Error(ErrorKind::kInvalidArgument, "settings are not valid TOML",
                path + ":" + std::to_string(error.source().begin.line) + ": " +
                    std::string(error.description()),
                "correct the line; see docs/operators.md");
  }
}

auto ReadNodeSettings(const std::string& path) -> NodeSettings {
  auto file = std::ifstream(path);
  if (!file) {
    throw Error(ErrorKind::kInvalidArgument, "cannot read settings", path,
                "name an existing TOML file that is readable");
  }
  auto text = std::ostringstream();
  text << file.rdbuf();
  return ParseNodeSettings(text.str(), path);
}

}  // namespace kumquatgauge
