#include "kumquatgauge/routing/assignment.h"

#include "kumquatgauge/routing/rendezvous.h"

namespace kumquatgauge::routing {

Assignment::Assignment(const std::vector<NodeInfo>& nodes) {
  for (const auto& node : nodes) {
    if (node.leaving) {
      continue;
    }
    Member member = {RendezvousHash(node.id.value()), node};
    zones_[node.zone].push_back(member);
    all_.push_back(std::move(member));
  }
}

auto Assignment::DispatcherOf(const ReplicaId& replica,
                              const ZoneName& zone) const
    -> std::optional<NodeInfo> {
  auto it = zones_.find(zone);
  const auto& members = it == zones_.end() ? all_ : it->second;
  auto key = RendezvousHash(replica.value());
  const Member* best = nullptr;
  std::uint64_t best_score = 0;
  for (const auto& member : members) {
    auto score = RendezvousScore(key, member.hash);
    // Ties are broken by name, so that the order of `nodes` does not matter.
    if (best == nullptr || score > best_score ||
        (score == best_score && member.node.id < best->node.id)) {
      best = &member;
      best_score = score;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->node);
}

}  // namespace kumquatgauge::routing
