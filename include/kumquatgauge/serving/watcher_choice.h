#ifndef KUMQUATGAUGE_SERVING_WATCHER_CHOICE_H_
#define KUMQUATGAUGE_SERVING_WATCHER_CHOICE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::serving {

// Number of nodes in each availability zone that watch the store for the
// others. Keeps the number of store calls independent of the fleet size; with
// two, one remains if the other is lost.
inline constexpr std::size_t kWatchersPerZone = 2;
// Interval at which some node makes a new call to the store. A watch may miss
// changes if the store has dropped the history it needed; the next new call by
// any node finds them, and the nodes inform each other. Less than half of the
// time within which a change must apply.
inline constexpr std::chrono::milliseconds kFreshCallInterval{800};
inline constexpr std::chrono::milliseconds kMinWatchTime{500};

// Returns the nodes that watch the store. All nodes that know the same members
// make the same choice.
auto ChooseWatchers(const std::vector<routing::NodeInfo>& live)
    -> std::vector<NodeId>;

// Returns how long the next watch of a watcher lasts: until its turn by time of
// day, so that the watchers' calls are staggered by kFreshCallInterval. `index`
// is the watcher's position among the `watchers`.
auto WatchTime(std::size_t index,
               std::size_t watchers,
               std::chrono::milliseconds time_of_day)
    -> std::chrono::milliseconds;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_WATCHER_CHOICE_H_
