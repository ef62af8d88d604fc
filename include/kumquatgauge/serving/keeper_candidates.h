#ifndef KUMQUATGAUGE_SERVING_KEEPER_CANDIDATES_H_
#define KUMQUATGAUGE_SERVING_KEEPER_CANDIDATES_H_

#include <map>
#include <utility>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::serving {

// Chooses the nodes that may keep the accounts of organisations: those that do
// not leave and have been known for some time. A node that has just started
// answers no asks yet, so that each restart would leave its share of the
// organisations without a keeper for that time.
class KeeperCandidates {
 public:
  // Longer than the time for which a node that has started answers no asks,
  // with the time until all nodes know it.
  static constexpr Duration kMinKnownTime = std::chrono::milliseconds(1'500);

  explicit KeeperCandidates(Clock clock) : clock_(std::move(clock)) {}

  auto SetMembers(std::vector<routing::NodeInfo> live) -> void;
  // Returns whether nodes(), which may change with time, has changed.
  auto Update() -> bool;
  // All nodes that do not leave, if fewer than half of them have been known for
  // long enough: then the fleet or this node has just started.
  auto nodes() const -> const std::vector<routing::NodeInfo>& { return nodes_; }

 private:
  // A start of a node.
  using Start = std::pair<NodeId, Incarnation>;

  Clock clock_;
  std::vector<routing::NodeInfo> live_;
  std::map<Start, MonotonicTime> known_since_;
  std::vector<routing::NodeInfo> nodes_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_KEEPER_CANDIDATES_H_
