#ifndef KUMQUATGAUGE_CONTROL_WATCHER_STANDBY_H_
#define KUMQUATGAUGE_CONTROL_WATCHER_STANDBY_H_

#include <chrono>
#include <cstddef>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::control {

struct WatcherStandbySettings {
  // Silence of all watchers after which other nodes take their place: longer
  // than the store usually takes to answer some watcher again, also after one
  // call that fails.
  Duration silence_limit{};
  // Nodes that begin at first, and the time after which twice as many have
  // begun if the store has answered none of them.
  std::size_t first_nodes = 2;
  Duration doubling_time = std::chrono::milliseconds(150);
  // Bounds the calls to a store that answers nobody. It is unlikely to turn so
  // many nodes away while it answers others.
  std::size_t max_nodes = 16;

  auto operator==(const WatcherStandbySettings&) const -> bool = default;
};

// Decides whether a node that is not chosen to watch the store does so in place
// of the chosen ones. Nodes tell each other when the store answers; if all
// watchers are turned away or cut off from it, only their silence shows that.
class WatcherStandby {
 public:
  WatcherStandby(NodeId self, WatcherStandbySettings settings, Clock clock);

  // The store has answered a call of this node or of another one.
  auto OnStoreAnswered(const NodeId& node, const std::vector<NodeId>& watchers)
      -> void;
  // Returns whether this node, which is not among the `watchers`, must watch
  // the store now. Once it does, it goes on until the store answers a watcher.
  auto MustWatch(const std::vector<routing::NodeInfo>& live,
                 const std::vector<NodeId>& watchers) -> bool;
  // Time since the store is known to have answered anybody.
  auto silence() const -> Duration { return clock_() - answered_at_; }

 private:
  NodeId self_;
  WatcherStandbySettings settings_;
  Clock clock_;
  MonotonicTime answered_at_;  // To any node.
  MonotonicTime watcher_answered_at_;
  bool watching_ = false;
};

}  // namespace kumquatgauge::control

#endif  // KUMQUATGAUGE_CONTROL_WATCHER_STANDBY_H_
