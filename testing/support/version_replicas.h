#ifndef TESTING_SUPPORT_VERSION_REPLICAS_H_
#define TESTING_SUPPORT_VERSION_REPLICAS_H_

#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::testing {

// Returns replicas of one service with these software versions.
inline auto ReplicasOfVersions(const ServiceName& service,
                               const std::vector<std::string>& versions)
    -> std::vector<routing::Replica> {
  auto replicas = std::vector<routing::Replica>();
  for (const auto& version : versions) {
    auto replica = routing::Replica();
    replica.id = ReplicaId("r" + std::to_string(replicas.size()));
    replica.service = service;
    replica.version = version;
    replicas.push_back(replica);
  }
  return replicas;
}

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_VERSION_REPLICAS_H_
