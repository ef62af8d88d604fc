// What batch items wait for after the loss of gateways.

#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "kumquatgauge/serving/orphan_detector.h"
#include "testing/gateway/fleet.h"

namespace kumquatgauge::testing {
namespace {

using serving::OrphanSettings;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A fleet whose first gateway runs an item of a job that it owns.
struct LostJob {
  explicit LostJob(int gateways) : fleet(gateways) {
    fleet.AwaitService();
    for (auto* replica : {fleet.one.get(), fleet.two.get()}) {
      replica->set_event_delay(milliseconds(700));
    }
    REQUIRE(fleet.nodes.front()
                ->Call("POST", "/jobs/1", "j1", JobBody({"i1"}))
                .status == 202);
    REQUIRE(Eventually([&] { return fleet.RunCount("i1") == 1; }));
  }

  // Kills this many of the gateways, from the first.
  auto Kill(std::size_t count) -> void {
    for (std::size_t at = 0; at < count; ++at) {
      fleet.nodes[at]->process().Signal(SIGKILL);
    }
    for (std::size_t at = 0; at < count; ++at) {
      fleet.nodes[at]->process().WaitForExit(kLimit);
    }
    killed = steady_clock::now();
  }

  auto Elapsed() const -> milliseconds {
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                    killed);
  }

  // Returns the time from the loss until the item runs again.
  auto AwaitRun() -> milliseconds {
    REQUIRE(Eventually([&] { return fleet.RunCount("i1") == 2; }));
    return Elapsed();
  }

  Fleet fleet;
  steady_clock::time_point killed;
};

// Guards against items that wait until the members of a fleet that starts no
// longer change: each change postponed the search for jobs without an owner.
TEST_CASE("Gateway.TakesJobsOverWhileAFleetStarts") {
  constexpr auto kGateways = std::size_t{8};
  constexpr auto kInterval = milliseconds(250);
  auto lost = LostJob(kGateways);
  lost.Kill(kGateways);
  auto starter = std::thread([&lost, kInterval] {
    for (auto& node : lost.fleet.nodes) {
      node->Start();
      std::this_thread::sleep_for(kInterval);
    }
  });
  const auto waited = lost.AwaitRun();
  starter.join();
  CHECK(waited < kInterval * (kGateways - 1));
}

// Guards against items of a lost owner that wait for 2 s at a gateway that
// knows other members, as if it knew none.
TEST_CASE("Gateway.TakesJobsOfAnUnknownOwnerOver") {
  auto lost = LostJob(4);
  lost.Kill(4);
  for (std::size_t at = 1; at < lost.fleet.nodes.size(); ++at) {
    lost.fleet.nodes[at]->Start();
  }
  CHECK(lost.AwaitRun() < OrphanSettings().alone_wait);
}

}  // namespace
}  // namespace kumquatgauge::testing
