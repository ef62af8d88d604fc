#include "kumquatgauge/routing/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace kumquatgauge::routing {

auto RendezvousHash(std::string_view name) -> std::uint64_t {
  return XXH3_64bits(name.data(), name.size());
}

auto RendezvousScore(std::uint64_t key, std::uint64_t member) -> std::uint64_t {
  std::array<std::uint64_t, 2> pair = {key, member};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

auto ChooseNode(std::uint64_t key, const std::vector<NodeInfo>& nodes)
    -> NodeId {
  auto best = std::uint64_t{0};
  auto chosen = NodeId();
  for (const auto& node : nodes) {
    const auto score = RendezvousScore(key, RendezvousHash(node.id.value()));
    if (!node.leaving && (chosen.empty() || score > best)) {
      best = score;
      chosen = node.id;
    }
  }
  return chosen;
}

auto IsAmongFirst(const NodeId& node,
                  std::size_t count,
                  std::uint64_t key,
                  const std::vector<NodeInfo>& nodes) -> bool {
  const auto score_of = [&](const NodeId& id) {
    return RendezvousScore(key, RendezvousHash(id.value()));
  };
  const auto own = score_of(node);
  const auto before =
      std::count_if(nodes.begin(), nodes.end(), [&](const NodeInfo& other) {
        return !other.leaving && other.id != node && score_of(other.id) > own;
      });
  return static_cast<std::size_t>(before) < count;
}

}  // namespace kumquatgauge::routing
