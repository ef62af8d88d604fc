#ifndef KUMQUATGAUGE_SERVING_VERSION_REGISTRY_H_
#define KUMQUATGAUGE_SERVING_VERSION_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/replica.h"
#include "kumquatgauge/serving/version_history.h"

namespace kumquatgauge::serving {

using VersionSet = std::set<std::string>;

// How long a version must be gone before it is removed from the store: longer
// than any stream that it began can be taken up.
inline constexpr std::chrono::seconds kVersionRetention{60};
// How long it must be gone before a node registers it again when it returns;
// shorter, since nodes see a version go at different times.
inline constexpr std::chrono::seconds kRegistrationTime{30};
// A node that was out of step for longer forgets what was registered.
inline constexpr std::chrono::seconds kMaxStandstill{15};
// Replicas of an unregistered version are used after this time if no others are
// left, so that a store that takes no writes does not end the service.
inline constexpr std::chrono::seconds kMaxRegistrationWait{5};

// The versions of a service in the store, as of a revision of their object.
struct StoredVersions {
  VersionSet versions;
  std::uint64_t revision = 0;

  auto operator==(const StoredVersions&) const -> bool = default;
};

// Knows which software versions of each service the store holds as possible
// origins of streams. A replica gets its first request only once its version is
// there, so that a node that reads the store then knows every version that may
// have begun a stream, also if it was out of step or has just started.
class VersionRegistry {
 public:
  // `clock` must go on while the host is suspended.
  explicit VersionRegistry(Clock clock)
      : clock_(std::move(clock)), history_(clock_) {}

  auto SetReplicas(const std::vector<routing::Replica>& replicas) -> void;
  // Records that the store holds these versions. Returns whether that is news.
  auto OnRegistered(const ServiceName& service, const VersionSet& versions)
      -> bool;
  // Records that the store holds these versions and no others.
  auto OnStored(const ServiceName& service, const StoredVersions& stored)
      -> void;
  // Records what another node knows the store to hold, unless it is outdated.
  // Returns whether that is news. Does not change which replicas may be used.
  auto OnStoredElsewhere(const ServiceName& service,
                         const StoredVersions& stored) -> bool;
  // Must be called about once a second.
  auto OnTick() -> void;

  // Returns the services with a replica whose version is not registered.
  auto Unregistered() const -> std::vector<ServiceName>;
  // Returns the versions of the replicas of a service.
  auto Current(const ServiceName& service) const -> VersionSet;
  auto Registered(const ServiceName& service) const -> VersionSet;
  auto registered() const -> const std::map<ServiceName, VersionSet>& {
    return registered_;
  }
  // Returns the versions that the store may hold.
  auto Stored(const ServiceName& service) const -> StoredVersions;
  // Whether the store may hold more than one version, so that a stream can only
  // be taken up elsewhere if its version is recorded.
  auto HasSeveral(const ServiceName& service) const -> bool;
  // Returns the only version that is left of a service, once the others have
  // been gone for kVersionRetention.
  auto Remaining(const ServiceName& service) const
      -> std::optional<std::string>;
  // Returns a service with a remaining version beside which the store may hold
  // others.
  auto FindRemovable() const -> std::optional<ServiceName>;
  // Returns the replicas that may be used.
  auto Usable(const std::vector<routing::Replica>& replicas) const
      -> std::vector<routing::Replica>;

 private:
  auto IsRegistered(const routing::Replica& replica) const -> bool;
  auto UpdateWaiting() -> void;

  Clock clock_;
  VersionHistory history_;
  std::map<ServiceName, VersionSet> current_;
  std::map<ServiceName, VersionSet> registered_;
  // Versions leave only when the store is known to hold them no more.
  std::map<ServiceName, StoredVersions> stored_;
  // Since when a version of the service waits to be registered.
  std::map<ServiceName, MonotonicTime> waiting_since_;
  std::optional<MonotonicTime> last_tick_;
};

// Returns the key of the object with the versions of a service.
auto VersionsKey(const ServiceName& service) -> std::string;

// Values are JSON text. The decoder throws Error(kInvalidArgument) for text
// that was not written by the encoder.
auto EncodeVersions(const VersionSet& versions) -> std::string;
auto DecodeVersions(const std::string& key, const std::string& value)
    -> VersionSet;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_VERSION_REGISTRY_H_
