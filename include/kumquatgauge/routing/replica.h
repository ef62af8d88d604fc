#ifndef KUMQUATGAUGE_ROUTING_REPLICA_H_
#define KUMQUATGAUGE_ROUTING_REPLICA_H_

#include <cstdint>
#include <string>

#include "kumquatgauge/base/ids.h"

namespace kumquatgauge::routing {

enum class UpstreamKind { kModelEngine, kPlainService };

// One replica of a service, from the configuration and the host list.
struct Replica {
  ReplicaId id;
  ServiceName service;
  UpstreamKind kind = UpstreamKind::kModelEngine;
  std::string address;  // "IP:port"
  ZoneName zone;
  bool leaving = false;        // Gets no new work.
  std::uint32_t capacity = 1;  // Requests that it runs concurrently.
  bool checks_fencing = false;
  bool can_resume = true;
  // Version of its software; opaque and without order. Empty if it names none,
  // which is a version of its own.
  std::string version;
  // Start time of the process in ms since the epoch; 0 when unknown. A replica
  // that restarts under the same id has lost its previous state.
  std::uint64_t started_ms = 0;
  // Remaining time for which it is slow after its start.
  std::uint32_t warm_up_ms = 0;

  auto operator==(const Replica&) const -> bool = default;
};

// A node as routing sees it.
struct NodeInfo {
  NodeId id;
  std::uint64_t incarnation = 0;
  ZoneName zone;
  std::string node_address;    // "IP:port" for other nodes
  std::string caller_address;  // "IP:port" for callers
  bool leaving = false;        // Planned stop: takes no new work.

  auto operator==(const NodeInfo&) const -> bool = default;
};

}  // namespace kumquatgauge::routing

#endif  // KUMQUATGAUGE_ROUTING_REPLICA_H_
