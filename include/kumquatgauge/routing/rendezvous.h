#ifndef KUMQUATGAUGE_ROUTING_RENDEZVOUS_H_
#define KUMQUATGAUGE_ROUTING_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::routing {

// Hash of a name for RendezvousScore. Stable across processes and releases, so
// that all nodes agree.
auto RendezvousHash(std::string_view name) -> std::uint64_t;

// Score of a member for a key; the member with the highest score is chosen.
// When a member is added or removed, only its own keys move.
auto RendezvousScore(std::uint64_t key, std::uint64_t member) -> std::uint64_t;

// Returns the node with the highest score for a key among those that are not
// leaving; an empty id if there is none. All nodes that know the same members
// choose the same one.
auto ChooseNode(std::uint64_t key, const std::vector<NodeInfo>& nodes)
    -> NodeId;

// Returns whether a node is among the `count` with the highest scores for a key
// of those that are not leaving.
auto IsAmongFirst(const NodeId& node,
                  std::size_t count,
                  std::uint64_t key,
                  const std::vector<NodeInfo>& nodes) -> bool;

}  // namespace kumquatgauge::routing

#endif  // KUMQUATGAUGE_ROUTING_RENDEZVOUS_H_
