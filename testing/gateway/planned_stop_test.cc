// Planned stops of real gateway processes.

#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "testing/gateway/fleet.h"

namespace kumquatgauge::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr auto kManyRequests = 1'000;
constexpr auto kMaxAttempts = 3;  // Of the batch route.

// A job of one item that fails and one that takes long, so that the results of
// the first are not those of the whole job.
struct FailingJob {
  FailingJob(int gateways, ReplicaFault fault) : fleet(gateways) {
    fleet.AwaitService();
    fleet.one->SetFault(fault, kManyRequests);
    fleet.two->SetFault(fault, kManyRequests);
    fleet.one->SetFaultyPathPart("/bad");
    fleet.two->SetFaultyPathPart("/bad");
    fleet.one->set_event_delay(milliseconds(1'500));
    fleet.two->set_event_delay(milliseconds(1'500));
    REQUIRE(fleet.nodes.front()
                ->Call("POST", "/jobs/1", "j1", JobBody({"bad", "long"}))
                .status == 202);
  }

  auto AwaitRuns(int count) const -> bool {
    return Eventually([&] { return fleet.RunCount("bad") >= count; });
  }

  auto AwaitErrored(const GatewayProcess& node) const -> bool {
    return Eventually([&] {
      const auto page = node.ReadJob("j1");
      if (!page.is_object()) {
        return false;
      }
      for (const auto& result : page.at("results")) {
        if (result.at("id") == "bad") {
          return result.at("state") == "errored";
        }
      }
      return false;
    });
  }

  Fleet fleet;
};

// Guards against an item that can never be done and runs once more at each host
// that takes its job over, since the results that a host had not stored yet
// were lost in its planned stop.
TEST_CASE("Gateway.RunsAnItemThatCannotBeDoneOnceInPlannedStops") {
  auto job = FailingJob(4, ReplicaFault::kUnprocessable);
  REQUIRE(job.AwaitRuns(1));
  for (std::size_t at = 0; at < 3; ++at) {
    // The replica's answer has reached the host.
    std::this_thread::sleep_for(milliseconds(20));
    job.fleet.nodes[at]->process().Signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(700));
  }
  CHECK(job.AwaitErrored(*job.fleet.nodes.back()));
  CHECK(job.fleet.RunCount("bad") == 1);
}

// The same when the host is killed a moment after the answer.
TEST_CASE("Gateway.RunsAnItemThatCannotBeDoneOnceWhenItsHostIsKilled") {
  auto job = FailingJob(2, ReplicaFault::kUnprocessable);
  REQUIRE(job.AwaitRuns(1));
  std::this_thread::sleep_for(milliseconds(60));
  job.fleet.nodes.front()->process().Signal(SIGKILL);
  CHECK(job.AwaitErrored(*job.fleet.nodes.back()));
  CHECK(job.fleet.RunCount("bad") == 1);
}

// Guards against an item that fails at each run and gets all its attempts again
// at each host that takes its job over in planned stops.
TEST_CASE("Gateway.CountsTheFailuresOfAnItemAcrossPlannedStops") {
  auto job = FailingJob(3, ReplicaFault::kFail);
  REQUIRE(job.AwaitRuns(kMaxAttempts - 1));
  std::this_thread::sleep_for(milliseconds(20));
  job.fleet.nodes[0]->process().Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(100));
  job.fleet.nodes[1]->process().Signal(SIGTERM);
  CHECK(job.AwaitErrored(*job.fleet.nodes.back()));
  CHECK(job.fleet.RunCount("bad") == kMaxAttempts);
}

// Guards against results that are finished but not stored when their host
// stops, whose items run from the start again elsewhere.
TEST_CASE("Gateway.StoresFinishedResultsInAPlannedStop") {
  constexpr auto kItems = 40;
  auto fleet = Fleet(2);
  fleet.AwaitService();
  auto items = std::vector<std::string>();
  for (auto item = 0; item < kItems; ++item) {
    items.push_back("slow-" + std::to_string(item));
  }
  REQUIRE(fleet.nodes.front()
              ->Call("POST", "/jobs/1", "j1", JobBody(items))
              .status == 202);
  const auto finished = [&] {
    return fleet.one->finished_runs() + fleet.two->finished_runs();
  };
  REQUIRE(Eventually([&] { return finished() > 0; }));
  std::this_thread::sleep_for(milliseconds(50));
  const auto before = finished();
  fleet.nodes.front()->process().Signal(SIGTERM);
  CHECK(Eventually([&] {
    const auto page = fleet.nodes.back()->ReadJob("j1");
    return page.is_object() && page.at("next") == kItems;
  }));
  CHECK(before > 0);
  CHECK(fleet.one->finished_runs() + fleet.two->finished_runs() == kItems);
}

}  // namespace
}  // namespace kumquatgauge::testing
