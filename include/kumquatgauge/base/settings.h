#ifndef KUMQUATGAUGE_BASE_SETTINGS_H_
#define KUMQUATGAUGE_BASE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/log.h"

namespace kumquatgauge {

// The settings of one node, read from a TOML file. docs/operators.md lists
// every key with its meaning, unit, default and range.
struct NodeSettings {
  struct Callers {
    std::string listen;     // "IP:port"
    std::string advertise;  // Address given to callers; default: listen.
    std::chrono::seconds answer_ttl{10};
    auto operator==(const Callers&) const -> bool = default;
  };
  struct Operators {
    std::string listen;
    std::string credentials_file;
    auto operator==(const Operators&) const -> bool = default;
  };
  struct Nodes {
    std::string listen;
    std::string fleet_credential_file;
    std::vector<std::string> seeds;
    auto operator==(const Nodes&) const -> bool = default;
  };
  struct Limits {
    std::uint64_t max_body_bytes = 4'000'000;
    std::uint32_t max_headers = 100;
    std::chrono::milliseconds queue{500};
    std::chrono::milliseconds default_deadline{60'000};
    std::chrono::seconds stop{30};
    std::uint32_t platform_writes_per_second = 40;
    std::uint32_t platform_reads_per_second = 200;
    std::uint32_t batch_window = 256;  // Items in flight per job.
    auto operator==(const Limits&) const -> bool = default;
  };

  NodeId name;
  ZoneName zone;
  std::string region;
  std::string data_folder;  // Empty if there is none.
  std::uint32_t traffic_threads = 2;
  Callers callers;
  Operators operators;
  Nodes nodes;
  std::string platform_address;
  LogLevel log_level = LogLevel::kInfo;
  std::string log_file;  // Empty for standard error.
  Limits limits;

  auto operator==(const NodeSettings&) const -> bool = default;
};

// Reads and validates the settings. Throws Error(kInvalidArgument) whose
// message contains the file, line, key, actual value and allowed values.
auto ReadNodeSettings(const std::string& path) -> NodeSettings;

// Parses settings from `text`; `path` is used in error messages only.
auto ParseNodeSettings(const std::string& text, const std::string& path)
    -> NodeSettings;

}  // namespace kumquatgauge

#endif  // KUMQUATGAUGE_BASE_SETTINGS_H_
