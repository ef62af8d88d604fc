#include "kumquatgauge/control/node_registry.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>

#include "testing/support/memory_object_store.h"
#include "testing/support/run_awaitable.h"

namespace kumquatgauge::control {
namespace {

using boost::asio::awaitable;
using testing::RunAwaitable;

// Nodes that register in one store.
class Registries {
 public:
  auto Add(const std::string& name) -> NodeRegistry& {
    auto hooks = NodeRegistryHooks();
    hooks.pause = [this](Duration time) -> awaitable<void> {
      paused_.push_back(time);
      co_return;
    };
    hooks.random = [] { return 0U; };
    hooks.is_member = [this](const NodeId& node) {
      return members.contains(node.value());
    };
    hooks.found = [this, name](const std::vector<std::string>& addresses) {
      found[name].insert(addresses.begin(), addresses.end());
    };
    hooks.failed = [this](const std::string&) { ++failures; };
    nodes_.push_back(std::make_unique<NodeRegistry>(
        store, "nodes/", NodeId(name), name + ":7100", std::move(hooks)));
    return *nodes_.back();
  }
  auto Run(NodeRegistry& node) -> void { RunAwaitable(context_, node.Run()); }
  auto Names(NodeRegistry& node) -> std::vector<NodeId> {
    return RunAwaitable(context_, node.Names());
  }
  auto Remove(NodeRegistry& node) -> void {
    RunAwaitable(context_, node.Remove());
  }

  testing::MemoryObjectStore store;
  std::set<std::string> members;
  std::map<std::string, std::set<std::string>> found;
  int failures = 0;

 private:
  boost::asio::io_context context_;
  std::vector<Duration> paused_;
  std::vector<std::unique_ptr<NodeRegistry>> nodes_;
};

// Guards against nodes without seeds that never hear of each other.
TEST_CASE("NodeRegistry.FindsNodesThatRegisteredBefore") {
  Registries nodes;
  nodes.Run(nodes.Add("n0"));
  nodes.Run(nodes.Add("n1"));
  CHECK(nodes.found["n0"].empty());
  CHECK(nodes.found["n1"] == std::set<std::string>{"n0:7100"});
}

// Guards against a node that gives up because the platform is out when it
// starts.
TEST_CASE("NodeRegistry.RepeatsRegistrationUntilItSucceeds") {
  Registries nodes;
  auto calls = 0;
  nodes.store.set_fault_hook([&](const std::string&, const std::string&) {
    return ++calls <= 3 ? testing::StoreFault::kUnavailable
                        : testing::StoreFault::kNone;
  });
  auto& node = nodes.Add("n0");
  nodes.Run(node);
  CHECK(nodes.failures == 3);
  CHECK(nodes.Names(node) == std::vector<NodeId>{NodeId("n0")});
}

// Guards against a second list by each node when a whole fleet starts, and
// against nodes that start together and stay apart without it.
TEST_CASE("NodeRegistry.ListsAgainUnlessItHasMetANodeOfTheFirstList") {
  Registries nodes;
  auto lists = 0;
  nodes.store.set_fault_hook(
      [&](const std::string& call, const std::string& key) {
        lists += call == "read" && key == "nodes/" ? 1 : 0;
        return testing::StoreFault::kNone;
      });
  nodes.members = {"n0"};
  nodes.Run(nodes.Add("n0"));
  CHECK(lists == 2);
  nodes.Run(nodes.Add("n1"));
  CHECK(lists == 3);
  nodes.members = {"elsewhere"};
  nodes.Run(nodes.Add("n2"));
  CHECK(lists == 5);
}

// Guards against a node that takes itself to be alone because it has not found
// the others yet.
TEST_CASE("NodeRegistry.IsAloneOnlyIfTheStoreSaysSo") {
  Registries nodes;
  auto& first = nodes.Add("n0");
  CHECK_FALSE(first.alone());
  nodes.Run(first);
  CHECK(first.alone());
  auto& second = nodes.Add("n1");
  nodes.Run(second);
  CHECK_FALSE(second.alone());
}

// Guards against a read per node of the fleet at each start of a node.
TEST_CASE("NodeRegistry.ReadsFewAddressesOfNodesThatAreNotMembers") {
  Registries nodes;
  for (auto i = 0; i < 20; ++i) {
    nodes.Run(nodes.Add("n" + std::to_string(i)));
  }
  nodes.members = {"n3"};
  const auto before = nodes.store.read_count();
  nodes.Run(nodes.Add("last"));
  CHECK(nodes.found["last"].size() == 5);
  CHECK_FALSE(nodes.found["last"].contains("n3:7100"));
  // Two lists with five addresses each; after the second, the own entry too.
  CHECK(nodes.store.read_count() - before <= 13);
}

TEST_CASE("NodeRegistry.ReplacesEntryOfAnEarlierAddress") {
  Registries nodes;
  nodes.Run(nodes.Add("n0"));
  boost::asio::io_context context;
  auto moved =
      NodeRegistry(nodes.store, "nodes/", NodeId("n0"), "elsewhere:7100",
                   {.pause = [](Duration) -> awaitable<void> { co_return; },
                    .random = [] { return 0U; },
                    .is_member = [](const NodeId&) { return false; },
                    .found = [](const std::vector<std::string>&) {},
                    .failed = [](const std::string& reason) { FAIL(reason); }});
  RunAwaitable(context, moved.Run());
  CHECK(nodes.store.objects().at("nodes/n0").value == "\"elsewhere:7100\"");
}

// Guards against a node that stopped as planned and is waited for afterwards.
TEST_CASE("NodeRegistry.RemovesOwnEntryAtPlannedStop") {
  Registries nodes;
  auto& first = nodes.Add("n0");
  auto& second = nodes.Add("n1");
  nodes.Run(first);
  nodes.Run(second);
  nodes.Remove(first);
  CHECK(nodes.Names(second) == std::vector<NodeId>{NodeId("n1")});
}

// Guards against "everywhere" being reported by a node that knows a part of the
// fleet.
TEST_CASE("NodesNotHeardOf.NamesRegisteredNodesAndSeedsWithoutRecord") {
  auto self = MemberRecord();
  self.info.id = NodeId("n0");
  self.info.node_address = "a:1";
  auto dead = MemberRecord();
  dead.info.id = NodeId("n1");
  dead.info.node_address = "b:1";
  dead.state = MemberState::kDead;
  CHECK(NodesNotHeardOf({self, dead}, {"a:1", "b:1", "c:1"},
                        {NodeId("n0"), NodeId("n1"), NodeId("n2")}) ==
        std::vector<std::string>{"n2", "c:1"});
}

}  // namespace
}  // namespace kumquatgauge::control
