#include "kumquatgauge/serving/keeper_candidates.h"

#include <catch2/catch.hpp>
#include <string>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using testing::ManualClock;

auto MakeNode(int number, Incarnation incarnation = 1) -> routing::NodeInfo {
  auto node = routing::NodeInfo();
  node.id = NodeId("n" + std::to_string(number));
  node.incarnation = incarnation;
  return node;
}

auto MakeNodes(int count) -> std::vector<routing::NodeInfo> {
  auto nodes = std::vector<routing::NodeInfo>();
  for (auto number = 0; number < count; ++number) {
    nodes.push_back(MakeNode(number));
  }
  return nodes;
}

// Guards against organisations that have no keeper for a second after each
// restart in a rolling restart.
TEST_CASE("KeeperCandidates.LeavesOutNodesThatHaveJustStarted") {
  auto clock = ManualClock();
  auto candidates = KeeperCandidates(clock.AsHook());
  auto nodes = MakeNodes(8);
  candidates.SetMembers(nodes);
  clock.Advance(KeeperCandidates::kMinKnownTime);
  candidates.Update();
  nodes[3] = MakeNode(3, 2);
  nodes.push_back(MakeNode(8));
  candidates.SetMembers(nodes);
  CHECK(candidates.nodes().size() == 7);
  CHECK_FALSE(candidates.Update());
  clock.Advance(KeeperCandidates::kMinKnownTime);
  CHECK(candidates.Update());
  CHECK(candidates.nodes() == nodes);
}

// Guards against a single keeper of all organisations: after a restart of the
// whole fleet, the nodes are known one after the other.
TEST_CASE("KeeperCandidates.UsesAllNodesWhileMostHaveJustStarted") {
  auto clock = ManualClock();
  auto candidates = KeeperCandidates(clock.AsHook());
  candidates.SetMembers(MakeNodes(1));
  clock.Advance(KeeperCandidates::kMinKnownTime / 2);
  candidates.SetMembers(MakeNodes(8));
  CHECK(candidates.nodes().size() == 8);
  clock.Advance(KeeperCandidates::kMinKnownTime / 2);
  candidates.Update();
  CHECK(candidates.nodes().size() == 8);
}

// Guards against asks to a node that stops.
TEST_CASE("KeeperCandidates.LeavesOutNodesThatLeave") {
  auto clock = ManualClock();
  auto candidates = KeeperCandidates(clock.AsHook());
  auto nodes = MakeNodes(3);
  nodes[0].leaving = true;
  candidates.SetMembers(nodes);
  CHECK(candidates.nodes().size() == 2);
}

}  // namespace
}  // namespace kumquatgauge::serving
