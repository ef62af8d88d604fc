#include "kumquatgauge/serving/freshness_keeper.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "kumquatgauge/base/error.h"
#include "testing/support/manual_clock.h"
#include "testing/support/memory_object_store.h"
#include "testing/support/run_awaitable.h"

namespace kumquatgauge::serving {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::StoreFault;

constexpr auto kKey = "config/main";
constexpr milliseconds kMaxAge{2'000};

auto MakeConfiguration(std::uint64_t version, bool organisations = true)
    -> Configuration {
  auto configuration = Configuration();
  configuration.version = version;
  if (organisations) {
    configuration.organisations.emplace();
  }
  return configuration;
}

// Nodes with a store of their own each, whose datagrams arrive at once. Values
// are versions.
struct Fixture {
  struct Node {
    testing::MemoryObjectStore store;
    MetricsRegistry metrics;
    std::uint64_t version = 0;
    int datagrams = 0;
    std::unique_ptr<FreshnessKeeper> keeper;
  };

  explicit Fixture(std::optional<milliseconds> max_age = kMaxAge) {
    for (const auto* name : {"n0", "n1"}) {
      auto info = routing::NodeInfo();
      info.id = NodeId(name);
      info.zone = ZoneName("a");
      info.node_address = name;
      live.push_back(info);
      auto& node = nodes[name];
      node.keeper = std::make_unique<FreshnessKeeper>(FreshnessKeeperParts{
          .executor = context.get_executor(),
          .store = node.store,
          .configuration_key = kKey,
          .metrics = node.metrics,
          .clock = clock.AsHook(),
          .random = [this] { return random(); },
          .self = info.id,
          .live = [this] { return live; },
          .address_of = [](const NodeId& id) { return id.value(); },
          .send_datagram =
              [this, &node, id = info.id](const std::string& address,
                                          const json& message) {
                ++node.datagrams;
                if (connected) {
                  nodes.at(address).keeper->OnDatagram(id, message);
                }
              },
          .apply = [&node](const std::string& value)
              -> std::optional<std::uint64_t> {
            if (value == "unreadable") {
              return std::nullopt;
            }
            const auto version = std::stoull(value);
            if (version > node.version) {
              node.version = version;
              node.keeper->SetConfiguration(MakeConfiguration(version));
            }
            return version;
          },
          .max_age = max_age});
    }
  }

  ~Fixture() {
    for (auto& [name, node] : nodes) {
      node.keeper.reset();
    }
    Run(milliseconds(100));  // Ends the coroutines.
  }

  // Runs with the manual clock in step with the timers.
  auto Run(Duration time) -> void {
    constexpr milliseconds kStep{5};
    for (auto passed = Duration::zero(); passed < time; passed += kStep) {
      clock.Advance(kStep);
      context.restart();
      context.run_for(kStep);
    }
  }

  auto Store(const std::string& node, const std::string& value) -> void {
    auto& store = nodes.at(node).store;
    const auto& objects = store.objects();
    const auto found = objects.find(kKey);
    const auto version = found == objects.end()
                             ? std::nullopt
                             : std::optional(found->second.version);
    testing::RunAwaitable(
        context,
        store.Write(kKey, value, version, store::CallClass::kConfiguration));
  }

  auto Configure(const std::string& node, std::uint64_t version) -> void {
    nodes.at(node).version = version;
    nodes.at(node).keeper->SetConfiguration(MakeConfiguration(version));
  }

  auto IsFresh(const std::string& node) -> bool {
    return nodes.at(node).keeper->IsFresh();
  }

  boost::asio::io_context context;
  testing::ManualClock clock;
  std::mt19937_64 random{1};
  std::vector<routing::NodeInfo> live;
  bool connected = true;
  std::map<std::string, Node> nodes;
};

// Guards against new calls and datagrams in deployments without the setting or
// without organisations.
TEST_CASE("FreshnessKeeper.DoesNothingWithoutAgeLimitOrOrganisations") {
  SECTION("without an age limit") {
    auto fixture = Fixture(std::nullopt);
    fixture.Configure("n0", 3);
    fixture.Run(milliseconds(600));
    CHECK(fixture.IsFresh("n0"));
    CHECK(fixture.nodes["n0"].store.read_count() == 0);
    CHECK(fixture.nodes["n0"].datagrams == 0);
    CHECK(fixture.nodes["n0"].metrics.Text().find("freshness") ==
          std::string::npos);
  }
  SECTION("without organisations") {
    auto fixture = Fixture();
    fixture.nodes["n0"].keeper->SetConfiguration(MakeConfiguration(3, false));
    fixture.Run(milliseconds(600));
    CHECK(fixture.nodes["n0"].store.read_count() == 0);
    CHECK(fixture.nodes["n0"].datagrams == 0);
    // Goes on, then ends with the organisations.
    fixture.Store("n0", "4");
    fixture.Configure("n0", 4);
    fixture.Run(milliseconds(600));
    CHECK(fixture.IsFresh("n0"));
    fixture.nodes["n0"].keeper->SetConfiguration(MakeConfiguration(5, false));
    const auto datagrams = fixture.nodes["n0"].datagrams;
    fixture.Run(milliseconds(600));
    CHECK(fixture.nodes["n0"].datagrams == datagrams);
  }
}

// Guards against a node that stays stale after its start, when it has the
// configuration from another one.
TEST_CASE("FreshnessKeeper.ReadsTheStoreAfterAStart") {
  auto fixture = Fixture();
  fixture.Store("n0", "3");
  fixture.Configure("n0", 3);
  CHECK(!fixture.IsFresh("n0"));
  fixture.Run(milliseconds(450));
  CHECK(fixture.IsFresh("n0"));
  CHECK(fixture.nodes["n0"].store.read_count() == 1);
}

// Guards against a node that is stale because it alone cannot read the store.
TEST_CASE("FreshnessKeeper.LearnsFromAnotherNode") {
  auto fixture = Fixture();
  fixture.nodes["n0"].store.set_fault_hook(
      [](const auto&, const auto&) { return StoreFault::kUnavailable; });
  fixture.Store("n1", "3");
  fixture.Configure("n0", 3);
  fixture.Configure("n1", 3);
  fixture.Run(milliseconds(700));
  CHECK(fixture.IsFresh("n0"));
  fixture.connected = false;
  fixture.Run(kMaxAge);
  CHECK(!fixture.IsFresh("n0"));
  CHECK(fixture.IsFresh("n1"));
}

// Guards against a read that counts from its end.
TEST_CASE("FreshnessKeeper.CountsAReadFromItsBeginning") {
  auto fixture = Fixture();
  fixture.Store("n0", "3");
  fixture.nodes["n0"].store.set_fault_hook([&](const auto&, const auto&) {
    fixture.clock.Advance(seconds(10));  // As by a suspension.
    return StoreFault::kNone;
  });
  fixture.Configure("n0", 3);
  fixture.Run(milliseconds(450));
  CHECK(fixture.nodes["n0"].store.read_count() > 0);
  CHECK(!fixture.IsFresh("n0"));
}

// Guards against a newer configuration that cannot be used, and may remove
// keys, but makes the one in force look recent.
TEST_CASE("FreshnessKeeper.DoesNotCountAnUnreadableConfiguration") {
  auto fixture = Fixture();
  fixture.connected = false;
  fixture.Store("n0", "3");
  fixture.Configure("n0", 3);
  fixture.Run(milliseconds(450));
  CHECK(fixture.IsFresh("n0"));
  fixture.Store("n0", "unreadable");
  fixture.Run(kMaxAge);
  CHECK(!fixture.IsFresh("n0"));
  fixture.Store("n0", "4");
  fixture.Run(milliseconds(1'500));
  CHECK(fixture.IsFresh("n0"));
  CHECK(fixture.nodes["n0"].version == 4);
}

// Guards against a list that counts from its end.
TEST_CASE("FreshnessKeeper.CountsAListFromItsBeginning") {
  auto fixture = Fixture();
  auto& keeper = *fixture.nodes["n0"].keeper;
  keeper.OnListBegun();
  fixture.clock.Advance(seconds(1));
  fixture.Configure("n0", 3);
  keeper.OnListed(3);
  CHECK(fixture.IsFresh("n0"));
  fixture.clock.Advance(kMaxAge - seconds(1));
  CHECK(!fixture.IsFresh("n0"));
}

// Guards against malformed datagrams that are taken for recent statements.
TEST_CASE("FreshnessKeeper.RejectsMalformedDatagrams") {
  auto fixture = Fixture();
  fixture.Configure("n0", 3);
  auto& keeper = *fixture.nodes["n0"].keeper;
  const auto from = NodeId("n1");
  for (const auto& message :
       {json{{"t", "fresh"}}, json{{"r", 1}, {"v", 3}},
        json{{"r", "x"}, {"v", 3}, {"a", 0}}, json{{"q", "x"}},
        json{{"r", 1}, {"v", 3}, {"a", "x"}}}) {
    CAPTURE(message.dump());
    CHECK_THROWS_AS(keeper.OnDatagram(from, message), json::exception);
  }
  keeper.OnDatagram(from, {{"r", 1}, {"v", 3}, {"a", -5}});
  keeper.OnDatagram(from, {{"r", 1}, {"v", 3}, {"a", 0}});
  CHECK(!fixture.IsFresh("n0"));
}

}  // namespace
}  // namespace kumquatgauge::serving
