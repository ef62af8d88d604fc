#ifndef KUMQUATGAUGE_SERVING_GATEWAY_SETTINGS_H_
#define KUMQUATGAUGE_SERVING_GATEWAY_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/log.h"
#include "kumquatgauge/serving/zone_policy.h"

namespace kumquatgauge::serving {

// The settings of a gateway or a disk host, read from a TOML file. docs/
// operators.md lists every key with its meaning, unit, default and range.
struct GatewaySettings {
  struct Listen {  // "IP:port"; empty disables the listener.
    std::string callers;
    std::string readiness;
    std::string directory;
    std::string nodes;
    std::string metrics;
    auto operator==(const Listen&) const -> bool = default;
  };
  struct Store {
    std::string address;
    double writes_per_second = 400;  // For the whole fleet.
    double reads_per_second = 2'000;
    auto operator==(const Store&) const -> bool = default;
  };
  struct Limits {
    std::uint32_t memory_mb = 256;
    std::uint32_t max_descriptors = 1'024;
    // Maximum time from SIGTERM until the process has exited.
    std::chrono::milliseconds stop{8'000};
    std::chrono::seconds address_ttl{2};
    // How long batch jobs and their results are kept after acceptance.
    std::chrono::seconds job_retention{600};
    auto operator==(const Limits&) const -> bool = default;
  };
  struct Keys {
    // How long after a change of the configuration API keys may still be
    // accepted by an older one; absent: without limit.
    std::optional<std::chrono::milliseconds> max_configuration_age;
    auto operator==(const Keys&) const -> bool = default;
  };

  NodeId name;
  ZoneName zone;
  std::string fleet_credential;
  std::vector<std::string> seeds;
  Listen listen;
  Store store;
  Limits limits;
  Keys keys;
  std::optional<ZoneCosts> zones;  // Absent without the table [zones].
  LogLevel log_level = LogLevel::kInfo;

  auto operator==(const GatewaySettings&) const -> bool = default;
};

// Reads and validates the settings. Throws Error(kInvalidArgument) with a
// message that names the file, line, key, the value found and the values
// allowed.
auto ReadGatewaySettings(const std::string& path) -> GatewaySettings;
auto ParseGatewaySettings(const std::string& text, const std::string& path)
    -> GatewaySettings;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_GATEWAY_SETTINGS_H_
