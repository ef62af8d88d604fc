#include "kumquatgauge/serving/keeper_candidates.h"

#include <algorithm>

namespace kumquatgauge::serving {

auto KeeperCandidates::SetMembers(std::vector<routing::NodeInfo> live) -> void {
  live_ = std::move(live);
  auto known_since = std::map<Start, MonotonicTime>();
  for (const auto& node : live_) {
    const auto start = Start(node.id, node.incarnation);
    const auto before = known_since_.find(start);
    known_since[start] =
        before == known_since_.end() ? clock_() : before->second;
  }
  known_since_ = std::move(known_since);
  Update();
}

auto KeeperCandidates::Update() -> bool {
  const auto latest = clock_() - kMinKnownTime;
  auto staying = std::vector<routing::NodeInfo>();
  auto known = std::vector<routing::NodeInfo>();
  for (const auto& node : live_) {
    if (node.leaving) {
      continue;
    }
    staying.push_back(node);
    if (known_since_.at({node.id, node.incarnation}) <= latest) {
      known.push_back(node);
    }
  }
  auto nodes = 2 * known.size() < staying.size() ? staying : known;
  const auto changed = nodes != nodes_;
  nodes_ = std::move(nodes);
  return changed;
}

}  // namespace kumquatgauge::serving
