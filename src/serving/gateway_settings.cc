#include "kumquatgauge/serving/gateway_settings.h"

#include <utility>

#include "base/table_reader.h"

namespace kumquatgauge::serving {
namespace {

using kumquatgauge::detail::TableReader;

// Returns an endpoint, or an empty string if the key is missing or empty.
auto OptionalEndpoint(TableReader& table, const std::string& key)
    -> std::string {
  return table.String(key, "").empty() ? std::string() : table.Endpoint(key);
}

class Reader {
 public:
  Reader(const toml::table& root, std::string path)
      : top_(&root, "", std::move(path)) {}

  auto Read() -> GatewaySettings {
    auto settings = GatewaySettings();
    ReadNode(settings);
    ReadListen(settings.listen);
    ReadStore(settings.store);
    ReadLimits(settings.limits);
    ReadKeys(settings.keys);
    ReadZones(settings);
    ReadLog(settings);
    top_.RejectUnknownKeys();
    return settings;
  }

 private:
  auto ReadNode(GatewaySettings& settings) -> void {
    auto node = top_.Table("node");
    settings.name = NodeId(node.String("name"));
    settings.zone = ZoneName(node.String("zone"));
    settings.fleet_credential = node.String("fleet_credential");
    settings.seeds = node.Endpoints("seeds");
    node.RejectUnknownKeys();
  }

  auto ReadListen(GatewaySettings::Listen& listen) -> void {
    auto table = top_.Table("listen");
    listen.callers = OptionalEndpoint(table, "callers");
    listen.readiness = OptionalEndpoint(table, "readiness");
    listen.directory = OptionalEndpoint(table, "directory");
    listen.nodes = OptionalEndpoint(table, "nodes");
    listen.metrics = OptionalEndpoint(table, "metrics");
    table.RejectUnknownKeys();
  }

  auto ReadStore(GatewaySettings::Store& store) -> void {
    constexpr double kMaxRate = 1'000'000;
    auto table = top_.Table("store");
    store.address = table.Endpoint("address");
    store.writes_per_second =
        table.Number("writes_per_second", store.writes_per_second, 1, kMaxRate);
    store.reads_per_second =
        table.Number("reads_per_second", store.reads_per_second, 1, kMaxRate);
    table.RejectUnknownKeys();
  }

  auto ReadLimits(GatewaySettings::Limits& limits) -> void {
    auto table = top_.Table("limits");
    limits.memory_mb = static_cast<std::uint32_t>(
        table.Integer("memory_mb", 256, {32, 1'000'000}));
    limits.max_descriptors = static_cast<std::uint32_t>(
        table.Integer("max_descriptors", 1'024, {64, 1'000'000}));
    constexpr double kMillisecondsPerSecond = 1'000;
    limits.stop = std::chrono::milliseconds(static_cast<std::int64_t>(
        table.Number("stop_s", 8, 0.5, 600) * kMillisecondsPerSecond));
    limits.address_ttl =
        std::chrono::seconds(table.Integer("address_ttl_s", 2, {1, 3'600}));
    limits.job_retention = std::chrono::seconds(static_cast<std::int64_t>(
        table.Number("job_retention_s", 600, 1, 10'000'000)));
    table.RejectUnknownKeys();
  }

  auto ReadKeys(GatewaySettings::Keys& keys) -> void {
    // Well above the margin by which the age is checked earlier.
    constexpr double kMinAgeMs = 1'000;
    constexpr double kMaxAgeMs = 3'600'000;
    constexpr auto kAgeKey = "max_configuration_age_ms";
    auto table = top_.Table("keys");
    if (table.Find(kAgeKey) != nullptr) {
      keys.max_configuration_age =
          std::chrono::milliseconds(static_cast<std::int64_t>(
              table.Number(kAgeKey, kMaxAgeMs, kMinAgeMs, kMaxAgeMs)));
    }
    table.RejectUnknownKeys();
  }

  auto ReadZones(GatewaySettings& settings) -> void {
    constexpr double kMaxDelay = 10'000;
    constexpr double kMaxCost = 1'000'000;
    if (top_.Find("zones") == nullptr) {
      return;
    }
    auto table = top_.Table("zones");
    auto costs = ZoneCosts();
    costs.delay_ms_per_crossing =
        table.Number("delay_ms_per_crossing", 0, 0, kMaxDelay);
    costs.cost_ms_per_megabyte =
        table.Number("cost_ms_per_megabyte", 0, 0, kMaxCost);
    table.RejectUnknownKeys();
    settings.zones = costs;
  }

  auto ReadLog(GatewaySettings& settings) -> void {
    auto table = top_.Table("log");
    settings.log_level = table.Level("level");
    table.RejectUnknownKeys();
  }

  TableReader top_;
};

}  // namespace

auto ParseGatewaySettings(const std::string& text, const std::string& path)
    -> GatewaySettings {
  return kumquatgauge::detail::ReadToml(
      text, path,
      [&](const toml::table& root) { return Reader(root, path).Read(); });
}

auto ReadGatewaySettings(const std::string& path) -> GatewaySettings {
  return ParseGatewaySettings(kumquatgauge::detail::ReadSettingsText(path),
                              path);
}

}  // namespace kumquatgauge::serving
