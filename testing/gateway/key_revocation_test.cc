// API keys that are removed from the configuration while gateways cannot learn
// of it, at real gateway processes.

#include <catch2/catch.hpp>
#include <csignal>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "testing/gateway/fleet.h"

namespace kumquatgauge::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Time = std::chrono::steady_clock::time_point;

constexpr milliseconds kMaxAge{1'500};
constexpr auto kKeptKey = "kept";
constexpr auto kRemovedKey = "removed";
constexpr int kWithBothKeys = 4;
constexpr int kWithoutRemovedKey = 5;

auto MakeKeyConfiguration(int version) -> json {
  auto configuration = MakeConfiguration(version);
  configuration["routes"].push_back(
      MakeRoute("/open/", "safe", {{"public", true}}));
  auto keys = json{kKeptKey};
  if (version == kWithBothKeys) {
    keys.push_back(kRemovedKey);
  }
  configuration["tenants"] = {{{"name", "org"}, {"api_keys", keys}}};
  return configuration;
}

auto Call(const GatewayProcess& node,
          const std::string& id,
          const std::optional<std::string>& key,
          const std::string& target = "/plain/x") -> FetchReply {
  auto request = FetchRequest();
  request.address = node.callers();
  request.method = "POST";
  request.target = target;
  request.headers = {{"Host", kGatewayHost}, {"Request-Id", id}};
  if (key) {
    request.headers["X-Api-Key"] = *key;
  }
  return Fetch(request);
}

struct KeyFleet : Fleet {
  explicit KeyFleet(
      int gateways,
      std::optional<int> max_age = static_cast<int>(kMaxAge.count()))
      : Fleet(gateways, kGatewayMegabytes, "", max_age) {
    AwaitService();
    store->Put("config/main", MakeKeyConfiguration(kWithBothKeys));
    for (const auto& node : nodes) {
      REQUIRE(Eventually([&] {
        return Call(*node, "first", kRemovedKey).status == 200 &&
               Call(*node, "none", std::nullopt).status == 401;
      }));
    }
  }

  // Returns when the store has acknowledged the configuration without the key.
  auto RemoveKey() -> Time {
    store->Put("config/main", MakeKeyConfiguration(kWithoutRemovedKey));
    return std::chrono::steady_clock::now();
  }
};

auto LogsOf(const KeyFleet& fleet) -> std::string {
  auto logs = std::string();
  for (const auto& node : fleet.nodes) {
    for (const auto* event :
         {"start", "configuration_applied", "configuration_stale",
          "configuration_fresh", "freshness_read_failed"}) {
      for (const auto& line : LinesOf(node->Log(), "event", event)) {
        logs += node->name() + " " + line.dump() + "\n";
      }
    }
  }
  return logs;
}

// Guards against a removed key that is accepted by a gateway that cannot read
// the store and learns from others.
TEST_CASE("Gateway.RefusesARemovedKeyWhenItCannotReadTheStore") {
  auto fleet = KeyFleet(3);
  const auto cut_off = GENERATE(std::size_t{0}, std::size_t{1}, std::size_t{2});
  fleet.store->SetEndpointDown(fleet.store_addresses[cut_off], true);
  std::this_thread::sleep_for(milliseconds(300));
  const auto removed = fleet.RemoveKey();
  std::this_thread::sleep_until(removed + kMaxAge);
  for (auto round = 0; round < 5; ++round) {
    for (const auto& node : fleet.nodes) {
      const auto id = "late-" + node->name() + std::to_string(round);
      const auto reply = Call(*node, id, kRemovedKey);
      CAPTURE(node->name(), cut_off, round, LogsOf(fleet));
      CHECK(reply.status == 401);
      CHECK(fleet.RunCount(id) == 0);
      CHECK(Call(*node, id + "-kept", kKeptKey).status == 200);
    }
    std::this_thread::sleep_for(milliseconds(200));
  }
}

// Guards against the same by a gateway that hears nobody.
TEST_CASE("Gateway.RefusesKeysWhenItHearsNobody") {
  auto fleet = KeyFleet(1);
  auto& node = *fleet.nodes.front();
  fleet.store->SetEndpointDown(fleet.store_addresses.front(), true);
  const auto removed = fleet.RemoveKey();
  std::this_thread::sleep_until(removed + kMaxAge);
  for (const auto* key : {kKeptKey, kRemovedKey}) {
    const auto reply = Call(node, std::string("late-") + key, key);
    CHECK(reply.status == 503);
    CHECK(reply.headers.contains("retry-after"));
    CHECK(fleet.RunCount(std::string("late-") + key) == 0);
  }
  fleet.store->SetEndpointDown(fleet.store_addresses.front(), false);
  CHECK(
      Eventually([&] { return Call(node, "later", kKeptKey).status == 200; }));
  CHECK(Call(node, "later", kRemovedKey).status == 401);
}

// Guards against a removed key that is accepted by a gateway right after it was
// stopped, from a request that lay in its socket, before it learns of the
// change.
TEST_CASE("Gateway.RefusesARemovedKeyAfterItWasStopped") {
  auto fleet = KeyFleet(4);
  const auto at =
      GENERATE(std::size_t{0}, std::size_t{1}, std::size_t{2}, std::size_t{3});
  auto& node = *fleet.nodes[at];
  node.process().Signal(SIGSTOP);
  const auto removed = fleet.RemoveKey();
  std::this_thread::sleep_until(removed + kMaxAge);
  constexpr auto kCallers = 8;
  auto statuses = std::vector<int>(kCallers);
  auto threads = std::vector<std::thread>();
  for (auto caller = 0; caller < kCallers; ++caller) {
    threads.emplace_back([&, caller] {
      statuses[caller] =
          Call(node, "stopped-" + std::to_string(caller), kRemovedKey).status;
    });
  }
  std::this_thread::sleep_for(milliseconds(200));
  node.process().Signal(SIGCONT);
  for (auto& thread : threads) {
    thread.join();
  }
  CAPTURE(at, LogsOf(fleet));
  for (auto caller = 0; caller < kCallers; ++caller) {
    CHECK((statuses[caller] == 401 || statuses[caller] == 503));
    CHECK(fleet.RunCount("stopped-" + std::to_string(caller)) == 0);
  }
  CHECK(
      Eventually([&] { return Call(node, "later", kKeptKey).status == 200; }));
  CHECK(Call(node, "later-removed", kRemovedKey).status == 401);
  CHECK(!LinesOf(node.Log(), "event", "configuration_fresh").empty());
}

// Guards against a gateway that refuses keys because it alone cannot read the
// store.
TEST_CASE("Gateway.KeepsServingKeysWhenItAloneCannotReadTheStore") {
  auto fleet = KeyFleet(3);
  const auto at = GENERATE(std::size_t{0}, std::size_t{1}, std::size_t{2});
  fleet.store->SetEndpointDown(fleet.store_addresses[at], true);
  const auto last = std::chrono::steady_clock::now() + 3 * kMaxAge;
  auto failed = 0;
  auto calls = 0;
  while (std::chrono::steady_clock::now() < last) {
    const auto id = "call-" + std::to_string(calls++);
    failed += Call(*fleet.nodes[at], id, kKeptKey).status == 200 ? 0 : 1;
    std::this_thread::sleep_for(milliseconds(20));
  }
  CAPTURE(at, calls, LogsOf(fleet));
  CHECK(failed == 0);
}

// Guards against keys that are accepted while no gateway can read the store, by
// one that is restarted then, and against calls without a key that are refused.
TEST_CASE("Gateway.RefusesKeysWhenTheStoreIsDownForLong") {
  auto fleet = KeyFleet(3);
  fleet.store->set_down(true);
  std::this_thread::sleep_for(kMaxAge);
  auto& restarted = *fleet.nodes.back();
  restarted.process().Signal(SIGKILL);
  REQUIRE(restarted.process().WaitForExit(kLimit));
  restarted.Start();
  REQUIRE(Eventually([&] { return restarted.Ready(); }));
  for (const auto& node : fleet.nodes) {
    const auto id = "down-" + node->name();
    const auto reply = Call(*node, id, kKeptKey);
    CAPTURE(node->name(), LogsOf(fleet));
    CHECK(reply.status == 503);
    CHECK(reply.headers.contains("retry-after"));
    CHECK(fleet.RunCount(id) == 0);
    CHECK(Call(*node, id + "-open", std::nullopt, "/open/x").status == 200);
  }
  fleet.store->set_down(false);
  for (const auto& node : fleet.nodes) {
    CHECK(
        Eventually([&] { return Call(*node, "up", kKeptKey).status == 200; }));
  }
  CHECK(!LinesOf(fleet.nodes.front()->Log(), "event", "configuration_stale")
             .empty());
}

// Guards against an age limit for deployments that set none.
TEST_CASE("Gateway.AcceptsKeysWithoutTheStoreIfThereIsNoAgeLimit") {
  auto fleet = KeyFleet(1, std::nullopt);
  fleet.store->set_down(true);
  std::this_thread::sleep_for(2 * kMaxAge);
  CHECK(Call(*fleet.nodes.front(), "down", kKeptKey).status == 200);
}

}  // namespace
}  // namespace kumquatgauge::testing
