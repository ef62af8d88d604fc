#ifndef KUMQUATGAUGE_SERVING_WATCHER_CHOICE_H_
#define KUMQUATGAUGE_SERVING_WATCHER_CHOICE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::serving {

// Nodes of each availability zone that follow the store for the others, so that
// calls to the store do not grow with the fleet and the loss of one node leaves
// another.
inline constexpr std::size_t kWatchersPerZone = 2;
// Some node asks the store anew this often. A watch can stay silent although
// there are changes, when the store has dropped the history that it was to be
// told; the next new call, of whichever node, finds them, and the nodes tell
// each other. Under half of the time in which a change must apply.
inline constexpr std::chrono::milliseconds kFreshCallInterval{800};
inline constexpr std::chrono::milliseconds kShortestWatch{1'000};
inline constexpr std::chrono::milliseconds kLongestWatch{20'000};

// The nodes that follow the store, chosen alike by all that know the same
// members.
auto ChooseWatchers(const std::vector<routing::NodeInfo>& live)
    -> std::vector<NodeId>;

// How long one watch of one of `watchers` nodes waits; `draw` is any number and
// spreads the nodes' calls.
auto WatchTime(std::size_t watchers, std::uint64_t draw)
    -> std::chrono::milliseconds;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_WATCHER_CHOICE_H_
