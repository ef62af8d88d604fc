#include "kumquatgauge/control/node_registry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "testing/support/call_schedule.h"
#include "testing/support/memory_object_store.h"
#include "testing/support/run_awaitable.h"

namespace kumquatgauge::control {
namespace {

using boost::asio::awaitable;
using testing::RunAwaitable;

// A store whose calls are carried out in an order that a test chooses.
class ScheduledStore : public testing::MemoryObjectStore {
 public:
  explicit ScheduledStore(testing::CallSchedule& schedule)
      : schedule_(schedule) {}

  auto Write(std::string key,
             std::string value,
             std::optional<std::uint64_t> expected_version,
             store::CallClass call_class) -> awaitable<std::uint64_t> override {
    co_await schedule_.Await("write");
    co_return co_await MemoryObjectStore::Write(key, value, expected_version,
                                                call_class);
  }
  auto List(std::string prefix,
            std::string after,
            std::size_t limit,
            store::CallClass call_class)
      -> awaitable<store::ListPage> override {
    co_await schedule_.Await("list");
    auto page =
        co_await MemoryObjectStore::List(prefix, after, limit, call_class);
    for (auto& entry : page.entries) {
      entry.value = objects().at(entry.key).value;
    }
    co_return page;
  }

 private:
  testing::CallSchedule& schedule_;
};

// Nodes that register in one store.
class Registries {
 public:
  Registries() : Registries(own_store_) {}
  explicit Registries(testing::MemoryObjectStore& shared) : store(shared) {}

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

  testing::MemoryObjectStore& store;
  std::set<std::string> members;
  std::map<std::string, std::set<std::string>> found;
  int failures = 0;

 private:
  testing::MemoryObjectStore own_store_;
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
  nodes.store.set_fault_hook([&](const std::string&, const std::string&) {
    return nodes.failures < 3 ? testing::StoreFault::kUnavailable
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
  CHECK(lists == 1);
  nodes.Run(nodes.Add("n1"));
  CHECK(lists == 2);
  nodes.members = {"elsewhere"};
  nodes.Run(nodes.Add("n2"));
  CHECK(lists == 4);
}

// Guards against nodes that start together and miss each other, and against
// calls to the store that depend on how their starts overlap.
TEST_CASE("NodeRegistry.FindsNodesThatRegisterAtTheSameTime") {
  // The step that runs next, for each step of a play.
  auto choices = std::vector<std::size_t>();
  auto plays = 0;
  do {
    ++plays;
    boost::asio::io_context context;
    auto schedule = testing::CallSchedule(context);
    auto store = ScheduledStore(schedule);
    auto nodes = Registries(store);
    const auto names = std::vector<std::string>{"n0", "n1", "n2"};
    for (const auto& name : names) {
      nodes.members.insert(name);
      boost::asio::co_spawn(context, nodes.Add(name).Run(),
                            boost::asio::detached);
    }
    schedule.Poll();
    auto waiting = std::vector<std::size_t>();
    while (schedule.waiting() > 0) {
      if (waiting.size() == choices.size()) {
        choices.push_back(0);
      }
      const auto choice = choices.at(waiting.size());
      waiting.push_back(schedule.waiting());
      schedule.Run(choice);
    }
    CHECK(waiting.size() == 2 * names.size());
    for (const auto& one : names) {
      for (const auto& other : names) {
        CHECK((one == other || nodes.found[one].contains(other + ":7100") ||
               nodes.found[other].contains(one + ":7100")));
      }
    }
    // Goes on to the next order of the steps.
    while (!choices.empty() &&
           choices.back() + 1 == waiting.at(choices.size() - 1)) {
      choices.pop_back();
    }
    if (!choices.empty()) {
      ++choices.back();
    }
  } while (!choices.empty());
  CHECK(plays == 90);
}

// Guards against a node that hears of no other one while the store refuses
// writes, and against one that misses others while it stores its entry again.
TEST_CASE("NodeRegistry.FindsNodesWhileItsOwnEntryIsRefused") {
  Registries nodes;
  nodes.Run(nodes.Add("n0"));
  auto refused = 0;
  nodes.store.set_fault_hook(
      [&](const std::string& call, const std::string& key) {
        if (call == "write" && key == "nodes/n1" && refused < 2) {
          ++refused;
          CHECK(nodes.found["n1"].size() == (refused == 1 ? 0 : 1));
          return testing::StoreFault::kUnavailable;
        }
        return testing::StoreFault::kNone;
      });
  auto& second = nodes.Add("n1");
  nodes.Run(second);
  CHECK(refused == 2);
  CHECK(nodes.failures == 2);
  CHECK(nodes.Names(second) == std::vector<NodeId>{NodeId("n0"), NodeId("n1")});
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
