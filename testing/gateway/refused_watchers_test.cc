// The store turns away the gateways that watch it for the others.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "kumquatgauge/serving/watcher_choice.h"
#include "testing/gateway/fleet.h"

namespace kumquatgauge::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// The shortest time within which the users want a change to apply.
constexpr milliseconds kApplyTime{2'000};

// Gateways of one availability zone. The store refuses the calls of those that
// watch it.
struct RefusedWatchers {
  RefusedWatchers() : fleet(kNodes) {
    fleet.AwaitService();
    // Less than the time between two answers of the store to the watchers.
    std::this_thread::sleep_for(milliseconds(1'000));
    auto live = std::vector<routing::NodeInfo>();
    for (const auto& node : fleet.nodes) {
      auto info = routing::NodeInfo();
      info.id = NodeId(node->name());
      info.zone = ZoneName("a");
      live.push_back(info);
    }
    const auto watchers = serving::ChooseWatchers(live);
    for (std::size_t at = 0; at < fleet.nodes.size(); ++at) {
      const auto watches = std::find(watchers.begin(), watchers.end(),
                                     live[at].id) != watchers.end();
      if (watches) {
        fleet.store->SetEndpointDown(fleet.store_addresses[at], true);
      } else {
        served.push_back(fleet.nodes[at].get());
      }
    }
  }

  static constexpr int kNodes = 6;
  Fleet fleet;
  std::vector<GatewayProcess*> served;  // That the store answers.
};

// Guards against requests on dropped routes that are served, by gateways that
// the store would answer, because the gateways that watch it for them are
// turned away.
TEST_CASE("Gateway.AppliesAConfigurationWhileTheStoreRefusesTheWatchers") {
  auto refused = RefusedWatchers();
  for (auto version = 4; version < 7; ++version) {
    auto configuration = MakeConfiguration(version);
    const auto without_plain = version % 2 == 0;
    if (without_plain) {
      std::erase_if(configuration.at("routes").get_ref<json::array_t&>(),
                    [](const json& route) {
                      return route.at("path_prefix") == "/plain/";
                    });
    }
    refused.fleet.store->Put("config/main", configuration);
    std::this_thread::sleep_for(kApplyTime);
    for (const auto* node : refused.served) {
      CAPTURE(version, node->name());
      CHECK(node->Call("POST", "/plain/x", "r").status ==
            (without_plain ? 404 : 200));
    }
  }
}

// Guards against requests that are sent to a replica that has left, since the
// entries of replicas come the same way.
TEST_CASE("Gateway.ForgetsAReplicaWhileTheStoreRefusesTheWatchers") {
  auto refused = RefusedWatchers();
  auto& fleet = refused.fleet;
  auto entry = ServerEntry(fleet.one->address());
  entry["state"] = "draining";
  fleet.store->Put("servers/" + fleet.one->id(), entry);
  std::this_thread::sleep_for(kApplyTime);
  const auto runs = fleet.one->total_runs();
  for (const auto* node : refused.served) {
    for (auto number = 0; number < 4; ++number) {
      CHECK(node->Call("POST", "/plain/x", "r").status == 200);
    }
  }
  CHECK(fleet.one->total_runs() == runs);
}

// Guards against a whole fleet that watches a store that answers nobody, and
// against gateways that go on watching it once the watchers are answered.
TEST_CASE("Gateway.LeavesTheStoreToTheWatchersOnceTheyAreAnswered") {
  constexpr milliseconds kSettleTime{3'000};
  constexpr milliseconds kObservedTime{3'000};
  auto refused = RefusedWatchers();
  std::this_thread::sleep_for(kApplyTime);
  for (const auto& address : refused.fleet.store_addresses) {
    refused.fleet.store->SetEndpointDown(address, false);
  }
  std::this_thread::sleep_for(kSettleTime);
  const auto count = [&] {
    return refused.fleet.store->Calls("configuration.watch");
  };
  const auto before = count();
  std::this_thread::sleep_for(kObservedTime);
  // One call by some watcher in each interval, and one more at either end.
  CHECK(count() - before <= kObservedTime / serving::kFreshCallInterval + 2);
}

}  // namespace
}  // namespace kumquatgauge::testing
