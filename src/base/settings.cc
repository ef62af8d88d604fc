#include "kumquatgauge/base/settings.h"

#include <toml++/toml.h>
#include <fstream>
#include <sstream>
#include <utility>

#include "base/table_reader.h"
#include "kumquatgauge/base/error.h"

namespace kumquatgauge {
namespace {

using detail::TableReader;

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
    auto platform = top_.Table("platform");
    settings.platform_address = platform.Endpoint("address");
    platform.RejectUnknownKeys();
    ReadLog(settings);
    auto limits = top_.Table("limits");
    settings.limits = ReadLimits(limits);
    limits.RejectUnknownKeys();
    top_.RejectUnknownKeys();
    return settings;
  }

 private:
  auto ReadNode(NodeSettings& settings) -> void {
    auto node = top_.Table("node");
    settings.name = NodeId(node.String("name"));
    settings.zone = ZoneName(node.String("zone"));
    settings.region = node.String("region", "");
    settings.data_folder = node.String("data_folder", "");
    settings.traffic_threads =
        static_cast<std::uint32_t>(node.Integer("traffic_threads", 2, {1, 64}));
    node.RejectUnknownKeys();
  }

  auto ReadCallers(NodeSettings& settings) -> void {
    auto callers = top_.Table("callers");
    settings.callers.listen = callers.Endpoint("listen");
    settings.callers.advertise =
        callers.Endpoint("advertise", settings.callers.listen);
    settings.callers.answer_ttl =
        std::chrono::seconds(callers.Integer("answer_ttl_s", 10, {1, 3'600}));
    callers.RejectUnknownKeys();
  }

  auto ReadOperators(NodeSettings& settings) -> void {
    auto operators = top_.Table("operators");
    settings.operators.listen = operators.Endpoint("listen");
    settings.operators.credentials_file = operators.String("credentials_file");
    operators.RejectUnknownKeys();
  }

  auto ReadNodes(NodeSettings& settings) -> void {
    auto nodes = top_.Table("nodes");
    settings.nodes.listen = nodes.Endpoint("listen");
    settings.nodes.fleet_credential_file =
        nodes.String("fleet_credential_file");
    settings.nodes.seeds = nodes.Endpoints("seeds");
    nodes.RejectUnknownKeys();
  }

  auto ReadLog(NodeSettings& settings) -> void {
    auto log = top_.Table("log");
    settings.log_level = log.Level("level");
    settings.log_file = log.String("file", "");
    log.RejectUnknownKeys();
  }

  const toml::table& root_;
  std::string path_;
  TableReader top_{&root_, "", path_};
};

}  // namespace

auto ParseNodeSettings(const std::string& text, const std::string& path)
    -> NodeSettings {
  return detail::ReadToml(text, path, [&](const toml::table& root) {
    return SettingsReader(root, path).Read();
  });
}

auto ReadNodeSettings(const std::string& path) -> NodeSettings {
  return ParseNodeSettings(detail::ReadSettingsText(path), path);
}

}  // namespace kumquatgauge
