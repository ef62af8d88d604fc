#ifndef KUMQUATGAUGE_SERVING_VERSION_HISTORY_H_
#define KUMQUATGAUGE_SERVING_VERSION_HISTORY_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::serving {

// Remembers which software versions the replicas of each service have had.
class VersionHistory {
 public:
  explicit VersionHistory(Clock clock) : clock_(std::move(clock)) {}

  auto SetReplicas(const std::vector<routing::Replica>& replicas) -> void;
  // Returns the version that all replicas of a service have had for at least
  // `time`; nothing if there were several, or if this node has not known the
  // service for that long.
  auto SoleVersion(const ServiceName& service, Duration time) const
      -> std::optional<std::string>;

 private:
  struct Service {
    MonotonicTime known_since;
    // When each version was last there; empty for those that are there now.
    std::map<std::string, std::optional<MonotonicTime>> versions;
  };

  Clock clock_;
  std::map<ServiceName, Service> services_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_VERSION_HISTORY_H_
