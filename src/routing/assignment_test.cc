#include "kumquatgauge/routing/assignment.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "kumquatgauge/routing/rendezvous.h"

namespace kumquatgauge::routing {
namespace {

auto Nodes(int count, int zones) -> std::vector<NodeInfo> {
  std::vector<NodeInfo> nodes;
  for (int index = 0; index < count; ++index) {
    NodeInfo node;
    node.id = NodeId("node-" + std::to_string(index));
    node.zone = ZoneName("z" + std::to_string(index % zones));
    nodes.push_back(node);
  }
  return nodes;
}

// Returns the dispatcher, or a node without a name when there is none.
auto Dispatcher(const Assignment& assignment,
                int replica,
                const std::string& zone) -> NodeInfo {
  return assignment
      .DispatcherOf(ReplicaId("replica-" + std::to_string(replica)),
                    ZoneName(zone))
      .value_or(NodeInfo());
}

auto ReplicaNumber(int number) -> ReplicaId {
  return ReplicaId("replica-" + std::to_string(number));
}

// Guards against a change of the hash, which would split nodes of two releases.
TEST_CASE("Rendezvous.HashStaysTheSameAcrossReleases") {
  CHECK(RendezvousHash("") == 3244421341483603138U);
  CHECK(RendezvousScore(1, 2) != RendezvousScore(2, 1));
}

TEST_CASE("Assignment.PrefersNodesOfTheReplicasZone") {
  Assignment assignment(Nodes(9, 3));
  for (int number = 0; number < 50; ++number) {
    CHECK(Dispatcher(assignment, number, "z1").zone == ZoneName("z1"));
  }
}

TEST_CASE("Assignment.UsesOtherZonesWhenTheZoneHasNoNode") {
  Assignment assignment(Nodes(9, 3));
  CHECK(assignment.DispatcherOf(ReplicaNumber(1), ZoneName("elsewhere")));
}

// Guards against work being sent to a node that is shutting down.
TEST_CASE("Assignment.SkipsLeavingNodes") {
  auto nodes = Nodes(4, 2);
  nodes[0].leaving = true;
  nodes[2].leaving = true;
  Assignment assignment(nodes);
  CHECK(Dispatcher(assignment, 1, "z0").zone == ZoneName("z1"));
  for (auto& other : nodes) {
    other.leaving = true;
  }
  CHECK_FALSE(Assignment(nodes).DispatcherOf(ReplicaNumber(1), ZoneName("z0")));
}

// Guards against two nodes choosing different dispatchers for one replica.
TEST_CASE("Assignment.DoesNotDependOnTheOrderOfNodes") {
  auto nodes = Nodes(12, 3);
  Assignment forward(nodes);
  std::reverse(nodes.begin(), nodes.end());
  Assignment backward(nodes);
  for (int number = 0; number < 100; ++number) {
    CHECK(forward.DispatcherOf(ReplicaNumber(number), ZoneName("z0")) ==
          backward.DispatcherOf(ReplicaNumber(number), ZoneName("z0")));
  }
}

TEST_CASE("Assignment.MovesOnlyTheReplicasOfALostNode") {
  auto nodes = Nodes(10, 1);
  Assignment before(nodes);
  auto lost = nodes.back().id;
  nodes.pop_back();
  Assignment after(nodes);
  for (int number = 0; number < 200; ++number) {
    auto then = Dispatcher(before, number, "z0").id;
    auto now = Dispatcher(after, number, "z0").id;
    CHECK((then == lost || then == now));
  }
}

}  // namespace
}  // namespace kumquatgauge::routing
