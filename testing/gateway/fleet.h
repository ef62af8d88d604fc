#ifndef TESTING_GATEWAY_FLEET_H_
#define TESTING_GATEWAY_FLEET_H_

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "testing/gateway/fake_servers.h"
#include "testing/gateway/gateway_process.h"

namespace kumquatgauge::testing {

inline constexpr auto kLimit = std::chrono::seconds(15);

// Waits until `done` holds; false after the limit.
template <typename Done>
auto Eventually(Done done) -> bool {
  const auto last = std::chrono::steady_clock::now() + kLimit;
  while (!done()) {
    if (std::chrono::steady_clock::now() > last) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

// Returns the lines of a gateway's log whose `field` is `value`.
inline auto LinesOf(const std::string& log,
                    const std::string& field,
                    const std::string& value) -> std::vector<nlohmann::json> {
  auto lines = std::vector<nlohmann::json>();
  auto stream = std::istringstream(log);
  for (std::string line; std::getline(stream, line);) {
    auto object = nlohmann::json::parse(line, nullptr, false);
    if (object.is_object() && object.value(field, "") == value) {
      lines.push_back(std::move(object));
    }
  }
  return lines;
}

inline constexpr std::uint32_t kGatewayMegabytes = 256;

// Gateway processes before two replicas and a store, all of which are fakes.
struct Fleet {
  // `version` is that of the replicas.
  explicit Fleet(int gateways = 1,
                 std::uint32_t memory_mb = kGatewayMegabytes,
                 const std::string& version = "",
                 std::optional<int> max_configuration_age_ms = std::nullopt) {
    folder = std::filesystem::temp_directory_path() /
             ("kqg-gateway-test-" + std::to_string(std::random_device{}()));
    std::filesystem::create_directories(folder);
    for (auto* replica : {one.get(), two.get()}) {
      replica->set_version(version);
      Announce(*replica);
    }
    for (auto at = 0; at < gateways; ++at) {
      store_addresses.push_back(store->AddEndpoint());
      nodes.push_back(std::make_unique<GatewayProcess>(
          KQG_GATEWAY, "n" + std::to_string(at), store_addresses.back(),
          folder.string(), memory_mb, max_configuration_age_ms));
    }
  }

  ~Fleet() {
    nodes.clear();
    thread.Stop();  // Its handlers use the fakes.
    std::filesystem::remove_all(folder);
  }

  auto Announce(const FakeReplica& replica) -> void {
    announced[&replica] = replica.id();
    store->Put("servers/" + replica.id(),
               ServerEntry(replica.address(), replica.version()));
  }

  // Waits until every gateway serves and knows the others.
  auto AwaitService() -> void {
    store->Put("config/main", MakeConfiguration(3));
    for (const auto& node : nodes) {
      REQUIRE(Eventually([&] {
        return node->Ready() && node->Addresses().size() == nodes.size() &&
               node->Call("POST", "/plain/warm", "warm").status == 200;
      }));
    }
  }

  // Replaces the entries of replicas that have crashed and are back.
  auto AnnounceRestarted() -> void {
    for (const auto* replica : {one.get(), two.get()}) {
      auto& id = announced[replica];
      if (id != replica->id()) {
        store->Remove("servers/" + id);
        Announce(*replica);
      }
    }
  }

  auto Crashes() const -> int { return one->crashes() + two->crashes(); }

  auto RunCount(const std::string& request) const -> int {
    return one->RunCount(request) + two->RunCount(request);
  }
  // Number of all requests that have begun to run.
  auto TotalRuns() const -> int {
    return one->total_runs() + two->total_runs();
  }

  FakeServerThread thread;
  std::unique_ptr<FakeObjectApi> store =
      std::make_unique<FakeObjectApi>(thread.context());
  std::unique_ptr<FakeReplica> one =
      std::make_unique<FakeReplica>(thread.context(), "i-1");
  std::unique_ptr<FakeReplica> two =
      std::make_unique<FakeReplica>(thread.context(), "i-2");
  std::map<const FakeReplica*, std::string> announced;  // Ids in the store.
  std::filesystem::path folder;
  std::vector<std::string> store_addresses;  // Of the store, one per gateway.
  std::vector<std::unique_ptr<GatewayProcess>> nodes;
};

// A fleet whose replicas have two software versions, two replicas of each.
struct TwoVersionFleet : Fleet {
  explicit TwoVersionFleet(int gateways = 1, bool announce_second = true)
      : Fleet(gateways, kGatewayMegabytes, "v1") {
    for (auto* replica : {three.get(), four.get()}) {
      replica->set_version("v2");
      if (announce_second) {
        Announce(*replica);
      }
    }
  }

  ~TwoVersionFleet() {
    nodes.clear();
    thread.Stop();
  }

  auto TotalRunCount(const std::string& request) const -> int {
    auto runs = 0;
    for (const auto* replica : replicas) {
      runs += replica->RunCount(request);
    }
    return runs;
  }

  std::unique_ptr<FakeReplica> three =
      std::make_unique<FakeReplica>(thread.context(), "i-3");
  std::unique_ptr<FakeReplica> four =
      std::make_unique<FakeReplica>(thread.context(), "i-4");
  std::vector<FakeReplica*> replicas{one.get(), two.get(), three.get(),
                                     four.get()};
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_GATEWAY_FLEET_H_
