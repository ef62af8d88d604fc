#include "kumquatgauge/serving/watcher_choice.h"

#include <algorithm>
#include <map>
#include <utility>

#include "kumquatgauge/routing/rendezvous.h"

namespace kumquatgauge::serving {

auto ChooseWatchers(const std::vector<routing::NodeInfo>& live)
    -> std::vector<NodeId> {
  const auto key = routing::RendezvousHash("watchers of the store");
  auto zones =
      std::map<ZoneName, std::vector<std::pair<std::uint64_t, NodeId>>>();
  for (const auto& node : live) {
    if (!node.leaving) {
      const auto hash = routing::RendezvousHash(node.id.value());
      zones[node.zone].emplace_back(routing::RendezvousScore(key, hash),
                                    node.id);
    }
  }
  auto watchers = std::vector<NodeId>();
  for (auto& [zone, nodes] : zones) {
    std::sort(nodes.rbegin(), nodes.rend());
    nodes.resize(std::min(nodes.size(), kWatchersPerZone));
    for (auto& node : nodes) {
      watchers.push_back(std::move(node.second));
    }
  }
  return watchers;
}

auto WatchTime(std::size_t index,
               std::size_t watchers,
               std::chrono::milliseconds time_of_day)
    -> std::chrono::milliseconds {
  const auto round =
      kFreshCallInterval *
      static_cast<std::int64_t>(std::max<std::size_t>(1, watchers));
  const auto turn = kFreshCallInterval * static_cast<std::int64_t>(index);
  auto wait = (turn - time_of_day % round + round) % round;
  while (wait < kMinWatchTime) {
    wait += round;
  }
  return wait;
}

}  // namespace kumquatgauge::serving
