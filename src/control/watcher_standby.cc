#include "kumquatgauge/control/watcher_standby.h"

#include <algorithm>
#include <utility>

#include "kumquatgauge/routing/rendezvous.h"

namespace kumquatgauge::control {

WatcherStandby::WatcherStandby(NodeId self,
                               WatcherStandbySettings settings,
                               Clock clock)
    : self_(std::move(self)),
      settings_(settings),
      clock_(std::move(clock)),
      answered_at_(clock_()),
      watcher_answered_at_(answered_at_) {}

auto WatcherStandby::OnStoreAnswered(const NodeId& node,
                                     const std::vector<NodeId>& watchers)
    -> void {
  answered_at_ = clock_();
  if (std::find(watchers.begin(), watchers.end(), node) != watchers.end()) {
    watcher_answered_at_ = answered_at_;
  }
}

auto WatcherStandby::MustWatch(const std::vector<routing::NodeInfo>& live,
                               const std::vector<NodeId>& watchers) -> bool {
  const auto now = clock_();
  if (now - watcher_answered_at_ <= settings_.silence_limit) {
    watching_ = false;
  } else if (!watching_ && silence() > settings_.silence_limit) {
    auto others = live;
    std::erase_if(others, [&](const routing::NodeInfo& node) {
      return std::find(watchers.begin(), watchers.end(), node.id) !=
             watchers.end();
    });
    auto nodes = settings_.first_nodes;
    for (auto waited = silence() - settings_.silence_limit;
         waited >= settings_.doubling_time && nodes < settings_.max_nodes;
         waited -= settings_.doubling_time) {
      nodes *= 2;
    }
    const auto key = routing::RendezvousHash("standby watchers of the store");
    watching_ = routing::IsAmongFirst(
        self_, std::min(nodes, settings_.max_nodes), key, others);
  }
  return watching_;
}

}  // namespace kumquatgauge::control
