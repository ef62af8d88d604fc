#include "kumquatgauge/routing/rendezvous.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace kumquatgauge::routing {
namespace {

auto MakeNodes(int count) -> std::vector<NodeInfo> {
  auto nodes = std::vector<NodeInfo>();
  for (auto at = 0; at < count; ++at) {
    auto node = NodeInfo();
    node.id = NodeId("n" + std::to_string(at));
    nodes.push_back(std::move(node));
  }
  return nodes;
}

// Guards against two nodes that each take themselves for the chosen one.
TEST_CASE("Rendezvous.ChoosesTheSameNodeInAnyOrder") {
  auto nodes = MakeNodes(9);
  const auto chosen = ChooseNode(5, nodes);
  std::reverse(nodes.begin(), nodes.end());
  CHECK(ChooseNode(5, nodes) == chosen);
}

// Guards against giving work to a node that is about to stop.
TEST_CASE("Rendezvous.ChoosesNoNodeThatLeaves") {
  auto nodes = MakeNodes(3);
  for (auto left = nodes.size(); left > 0; --left) {
    const auto chosen = ChooseNode(5, nodes);
    const auto node =
        std::find_if(nodes.begin(), nodes.end(),
                     [&](const auto& each) { return each.id == chosen; });
    REQUIRE(node != nodes.end());
    CHECK_FALSE(node->leaving);
    node->leaving = true;
  }
  CHECK(ChooseNode(5, nodes).empty());
}

// Guards against nodes that disagree on who comes first, and against a choice
// that differs from that of ChooseNode.
TEST_CASE("Rendezvous.CountsNodesInTheOrderOfTheirScores") {
  auto nodes = MakeNodes(8);
  nodes.front().leaving = true;
  const auto count_first = [&](std::size_t count) {
    return std::count_if(nodes.begin(), nodes.end(), [&](const auto& node) {
      return !node.leaving && IsAmongFirst(node.id, count, 5, nodes);
    });
  };
  CHECK(IsAmongFirst(ChooseNode(5, nodes), 1, 5, nodes));
  for (std::size_t count = 0; count < nodes.size(); ++count) {
    CHECK(static_cast<std::size_t>(count_first(count)) == count);
  }
}

// Guards against one node that gets all the work.
TEST_CASE("Rendezvous.SpreadsKeysOverTheNodes") {
  const auto nodes = MakeNodes(4);
  auto chosen = std::set<NodeId>();
  for (std::uint64_t key = 0; key < 100; ++key) {
    chosen.insert(ChooseNode(key, nodes));
  }
  CHECK(chosen.size() == nodes.size());
}

}  // namespace
}  // namespace kumquatgauge::routing
