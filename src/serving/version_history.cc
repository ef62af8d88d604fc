#include "kumquatgauge/serving/version_history.h"

namespace kumquatgauge::serving {
namespace {

// Versions that were gone for longer are forgotten; longer than any time that
// SoleVersion is asked for.
constexpr std::chrono::minutes kRetention{30};

}  // namespace

auto VersionHistory::SetReplicas(const std::vector<routing::Replica>& replicas)
    -> void {
  const auto now = clock_();
  for (auto& [name, service] : services_) {
    for (auto& [version, last_seen] : service.versions) {
      last_seen = last_seen.value_or(now);
    }
    std::erase_if(service.versions, [&](const auto& entry) {
      return now - entry.second.value_or(now) > kRetention;
    });
  }
  for (const auto& replica : replicas) {
    auto& service =
        services_.try_emplace(replica.service, Service{now, {}}).first->second;
    service.versions[replica.version].reset();
  }
}

auto VersionHistory::SoleVersion(const ServiceName& service,
                                 Duration time) const
    -> std::optional<std::string> {
  const auto found = services_.find(service);
  const auto now = clock_();
  if (found == services_.end() || now - found->second.known_since < time) {
    return std::nullopt;
  }
  auto sole = std::optional<std::string>();
  for (const auto& [version, last_seen] : found->second.versions) {
    if (now - last_seen.value_or(now) > time) {
      continue;
    }
    if (sole) {
      return std::nullopt;
    }
    sole = version;
  }
  return sole;
}

}  // namespace kumquatgauge::serving
