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
inline constexpr std::chrono::milliseconds kMinWatchTime{500};

// The nodes that follow the store, chosen alike by all that know the same
// members.
auto ChooseWatchers(const std::vector<routing::NodeInfo>& live)
    -> std::vector<NodeId>;

// How long the next watch of one watcher waits: until its turn, by the time of
// day, so that the watchers' calls follow each other at kFreshCallInterval.
// `place` is the watcher's place among the `watchers`.
auto WatchTime(std::size_t index,
               std::size_t watchers,
               std::chrono::milliseconds time_of_day)
    -> std::chrono::milliseconds;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_WATCHER_CHOICE_H_
