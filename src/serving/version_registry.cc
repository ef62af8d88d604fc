#include "kumquatgauge/serving/version_registry.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::serving {
namespace {

using nlohmann::json;

auto Find(const std::map<ServiceName, VersionSet>& versions,
          const ServiceName& service) -> VersionSet {
  const auto found = versions.find(service);
  return found == versions.end() ? VersionSet() : found->second;
}

}  // namespace

auto VersionRegistry::SetReplicas(const std::vector<routing::Replica>& replicas)
    -> void {
  history_.SetReplicas(replicas);
  current_.clear();
  for (const auto& replica : replicas) {
    current_[replica.service].insert(replica.version);
  }
  UpdateWaiting();
}

auto VersionRegistry::OnRegistered(const ServiceName& service,
                                   const VersionSet& versions) -> bool {
  auto& known = registered_[service];
  const auto before = known.size();
  known.insert(versions.begin(), versions.end());
  UpdateWaiting();
  if (known.size() == before) {
    return false;
  }
  stored_[service].versions.insert(versions.begin(), versions.end());
  return true;
}

auto VersionRegistry::OnStored(const ServiceName& service,
                               const StoredVersions& stored) -> void {
  registered_[service] = stored.versions;
  OnStoredElsewhere(service, stored);
  UpdateWaiting();
}

auto VersionRegistry::OnStoredElsewhere(const ServiceName& service,
                                        const StoredVersions& stored) -> bool {
  auto& known = stored_[service];
  if (stored.revision < known.revision) {
    return false;
  }
  return std::exchange(known, stored).versions != stored.versions;
}

auto VersionRegistry::OnTick() -> void {
  const auto now = clock_();
  if (last_tick_ && now - *last_tick_ > kMaxStandstill) {
    registered_.clear();
  }
  last_tick_ = now;
  for (auto& [service, versions] : registered_) {
    const auto sole = history_.SoleVersion(service, kRegistrationTime);
    if (sole && versions.contains(*sole)) {
      versions = {*sole};
    }
  }
  UpdateWaiting();
}

auto VersionRegistry::Unregistered() const -> std::vector<ServiceName> {
  auto services = std::vector<ServiceName>();
  for (const auto& [service, versions] : current_) {
    const auto registered = Find(registered_, service);
    if (!std::includes(registered.begin(), registered.end(), versions.begin(),
                       versions.end())) {
      services.push_back(service);
    }
  }
  return services;
}

auto VersionRegistry::Current(const ServiceName& service) const -> VersionSet {
  return Find(current_, service);
}

auto VersionRegistry::Registered(const ServiceName& service) const
    -> VersionSet {
  return Find(registered_, service);
}

auto VersionRegistry::Stored(const ServiceName& service) const
    -> StoredVersions {
  const auto found = stored_.find(service);
  return found == stored_.end() ? StoredVersions() : found->second;
}

auto VersionRegistry::HasSeveral(const ServiceName& service) const -> bool {
  auto versions = Stored(service).versions;
  versions.merge(Find(current_, service));
  return versions.size() > 1;
}

auto VersionRegistry::Remaining(const ServiceName& service) const
    -> std::optional<std::string> {
  return history_.SoleVersion(service, kVersionRetention);
}

auto VersionRegistry::FindRemovable() const -> std::optional<ServiceName> {
  for (const auto& [service, versions] : registered_) {
    const auto remaining = Remaining(service);
    if (remaining && Stored(service).versions != VersionSet{*remaining}) {
      return service;
    }
  }
  return std::nullopt;
}

auto VersionRegistry::Usable(const std::vector<routing::Replica>& replicas)
    const -> std::vector<routing::Replica> {
  auto usable = std::vector<routing::Replica>();
  auto served = std::set<ServiceName>();
  for (const auto& replica : replicas) {
    if (IsRegistered(replica)) {
      usable.push_back(replica);
      served.insert(replica.service);
    }
  }
  for (const auto& replica : replicas) {
    const auto waiting = waiting_since_.find(replica.service);
    if (!served.contains(replica.service) && waiting != waiting_since_.end() &&
        clock_() - waiting->second > kMaxRegistrationWait) {
      usable.push_back(replica);
    }
  }
  return usable;
}

auto VersionRegistry::UpdateWaiting() -> void {
  const auto unregistered = Unregistered();
  std::erase_if(waiting_since_, [&](const auto& entry) {
    return std::find(unregistered.begin(), unregistered.end(), entry.first) ==
           unregistered.end();
  });
  for (const auto& service : unregistered) {
    waiting_since_.try_emplace(service, clock_());
  }
}

auto VersionRegistry::IsRegistered(const routing::Replica& replica) const
    -> bool {
  const auto found = registered_.find(replica.service);
  return found != registered_.end() && found->second.contains(replica.version);
}

auto VersionsKey(const ServiceName& service) -> std::string {
  return "service-versions/" + service.value();
}

auto EncodeVersions(const VersionSet& versions) -> std::string {
  return json{{"versions", versions}}.dump();
}

auto DecodeVersions(const std::string& key, const std::string& value)
    -> VersionSet {
  try {
    return json::parse(value).at("versions").get<VersionSet>();
  } catch (const json::exception& error) {
    throw Error(
        ErrorKind::kInvalidArgument,
        std::string("unreadable versions of a service (") + error.what() + ")",
        key, "remove the object; another program wrote it");
  }
}

}  // namespace kumquatgauge::serving
