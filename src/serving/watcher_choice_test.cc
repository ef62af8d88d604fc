#include "kumquatgauge/serving/watcher_choice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;

auto MakeFleet(std::size_t zones, std::size_t nodes)
    -> std::vector<routing::NodeInfo> {
  auto fleet = std::vector<routing::NodeInfo>();
  for (std::size_t zone = 0; zone < zones; ++zone) {
    for (std::size_t node = 0; node < nodes; ++node) {
      auto info = routing::NodeInfo();
      info.id = NodeId("z" + std::to_string(zone) + "n" + std::to_string(node));
      info.zone = ZoneName("z" + std::to_string(zone));
      fleet.push_back(info);
    }
  }
  return fleet;
}

// Guards against store calls that grow with the fleet size.
TEST_CASE("ChooseWatchers.TakesTwoNodesOfEachZoneAtAnySize") {
  CHECK(ChooseWatchers(MakeFleet(3, 1)).size() == 3);
  CHECK(ChooseWatchers(MakeFleet(3, 3)).size() == 6);
  CHECK(ChooseWatchers(MakeFleet(6, 55)).size() == 12);
}

TEST_CASE("ChooseWatchers.SkipsLeavingNodes") {
  auto fleet = MakeFleet(1, 2);
  fleet.front().leaving = true;
  CHECK(ChooseWatchers(fleet) == std::vector<NodeId>{fleet.back().id});
}

// Guards against missing a configuration change for the full length of a watch
// when the store has dropped all open watches.
TEST_CASE("WatchTime.StaggersTheCallsOfAllWatchers") {
  constexpr std::size_t kWatchers = 6;
  auto calls = std::set<milliseconds>();
  for (std::size_t place = 0; place < kWatchers; ++place) {
    auto now = milliseconds(123'456'789 + 37 * static_cast<int>(place));
    for (auto call = 0; call < 10; ++call) {
      now += WatchTime(place, kWatchers, now);
      calls.insert(now);
    }
  }
  auto previous = *std::next(calls.begin(), 12);
  for (auto at = std::next(calls.begin(), 13); at != calls.end(); ++at) {
    CHECK(*at - previous <= kFreshCallInterval);
    previous = *at;
    if (previous > milliseconds(123'456'789 + 35'000)) {
      break;
    }
  }
}

}  // namespace
}  // namespace kumquatgauge::serving
