#ifndef KUMQUATGAUGE_ROUTING_ASSIGNMENT_H_
#define KUMQUATGAUGE_ROUTING_ASSIGNMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::routing {

// Assigns each replica to the node that dispatches to it, by rendezvous hashing
// over the nodes that are not leaving; nodes in the replica's zone are
// preferred. Immutable; a new one is made when the membership changes.
class Assignment {
 public:
  Assignment() = default;
  // `nodes` are the live nodes, in any order.
  explicit Assignment(const std::vector<NodeInfo>& nodes);

  // Returns nullopt when every live node is leaving.
  auto DispatcherOf(const ReplicaId& replica, const ZoneName& zone) const
      -> std::optional<NodeInfo>;

 private:
  struct Member {
    std::uint64_t hash = 0;
    NodeInfo node;
  };

  std::map<ZoneName, std::vector<Member>> zones_;
  std::vector<Member> all_;
};

}  // namespace kumquatgauge::routing

#endif  // KUMQUATGAUGE_ROUTING_ASSIGNMENT_H_
