#include "kumquatgauge/serving/stream_origins.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

const StreamOrigin kOld{ServiceName("chat"), "v1"};
const StreamOrigin kNew{ServiceName("chat"), "v2"};

auto MakeNodes(std::size_t count) -> std::vector<routing::NodeInfo> {
  auto nodes = std::vector<routing::NodeInfo>(count);
  for (std::size_t at = 0; at < count; ++at) {
    nodes[at].id = NodeId("n" + std::to_string(at));
    nodes[at].zone = ZoneName(at % 3 == 0 ? "a" : at % 3 == 1 ? "b" : "c");
  }
  return nodes;
}

// Guards against a stream whose later attempts change what began it.
TEST_CASE("StreamOrigins.KeepsTheFirstRecordOfAStream") {
  auto clock = testing::ManualClock();
  auto origins = StreamOrigins(clock.AsHook());
  origins.Add(1, kOld);
  origins.Add(1, kNew);
  CHECK(origins.Find(1) == kOld);
  CHECK_FALSE(origins.Find(2));
}

// Guards against memory that grows with all streams there ever were.
TEST_CASE("StreamOrigins.RemovesRecordsThatAreOldOrTooMany") {
  auto clock = testing::ManualClock();
  auto origins = StreamOrigins(clock.AsHook());
  for (StreamKey stream = 0; stream <= kMaxOrigins; ++stream) {
    origins.Add(stream, kOld);
  }
  CHECK(origins.size() == kMaxOrigins);
  CHECK_FALSE(origins.Find(0));
  CHECK(origins.Find(1) == kOld);
  clock.Advance(kOriginRetention / 2);
  origins.Add(0, kNew);
  clock.Advance(kOriginRetention / 2 + std::chrono::seconds(1));
  origins.RemoveExpired();
  CHECK(origins.size() == 1);
  CHECK(origins.Find(0) == kNew);
}

// Guards against a caller that names a stream of another caller.
TEST_CASE("StreamOrigins.TellsStreamsOfDifferentHostsApart") {
  const auto key = StreamKeyOf("a.example", RequestId("1"));
  CHECK(key == StreamKeyOf("a.example", RequestId("1")));
  CHECK(key != StreamKeyOf("b.example", RequestId("1")));
  CHECK(key != StreamKeyOf("a.example", RequestId("2")));
}

// Guards against a record that is lost with one availability zone, and one that
// nobody finds since it was sent to other nodes than are asked.
TEST_CASE("StreamOrigins.SpreadsHoldersOverZonesAndFindsThemAgain") {
  const auto nodes = MakeNodes(12);
  for (StreamKey stream = 1; stream < 50; ++stream) {
    const auto holders = ChooseOriginHolders(stream, nodes, NodeId("n0"));
    REQUIRE(holders.size() == kOriginHolders);
    auto zones = std::set<ZoneName>();
    for (const auto& holder : holders) {
      zones.insert(holder.zone);
      CHECK(holder.id != NodeId("n0"));
    }
    CHECK(zones.size() == 3);
    // Node n0 is gone, and another node asks.
    const auto left = std::vector(nodes.begin() + 1, nodes.end());
    const auto asked = ChooseOriginHolders(stream, left, NodeId("n5"));
    const auto common =
        std::count_if(holders.begin(), holders.end(), [&](const auto& holder) {
          return holder.id == NodeId("n5") ||
                 std::find(asked.begin(), asked.end(), holder) != asked.end();
        });
    CHECK(common >= 3);
  }
}

TEST_CASE("StreamOrigins.ChoosesAllOthersInASmallFleet") {
  CHECK(ChooseOriginHolders(7, MakeNodes(3), NodeId("n1")).size() == 2);
  CHECK(ChooseOriginHolders(7, MakeNodes(1), NodeId("n0")).empty());
}

}  // namespace
}  // namespace kumquatgauge::serving
