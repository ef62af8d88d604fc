// Routes of jobs and items that the configuration does not have, or no more.

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

// A job with more items than the replicas have slots.
struct OpenJob {
  explicit OpenJob(int gateways) : fleet(gateways) {
    fleet.AwaitService();
    for (auto* replica : {fleet.one.get(), fleet.two.get()}) {
      replica->set_event_delay(milliseconds(400));
    }
    for (auto item = 0; item < kItems; ++item) {
      items.push_back("item" + std::to_string(item));
    }
    REQUIRE(owner().Call("POST", "/jobs/1", "j1", JobBody(items)).status ==
            202);
    REQUIRE(Eventually([&] { return Runs() > 0; }));
  }

  auto owner() -> GatewayProcess& { return *fleet.nodes.front(); }

  // Writes a version of the configuration.
  auto Configure(int version, bool with_jobs) -> void {
    auto configuration = MakeConfiguration(version);
    if (!with_jobs) {
      std::erase_if(configuration.at("routes").get_ref<json::array_t&>(),
                    [](const json& route) {
                      return route.at("path_prefix") == "/jobs/";
                    });
    }
    fleet.store->Put("config/main", configuration);
  }

  // Runs of items so far.
  auto Runs() const -> int {
    auto runs = 0;
    for (const auto& item : items) {
      runs += fleet.RunCount(item);
    }
    return runs;
  }

  // Waits until every item is listed at a gateway. Returns the states by item.
  auto AwaitListed(const GatewayProcess& node) const
      -> std::map<std::string, std::string> {
    auto states = std::map<std::string, std::string>();
    CHECK(Eventually([&] {
      const auto page = node.ReadJob("j1");
      if (!page.is_object()) {
        return false;
      }
      for (const auto& result : page.at("results")) {
        states[result.at("id")] = result.at("state");
      }
      return page.at("next") == kItems;
    }));
    return states;
  }

  static constexpr int kItems = 40;
  Fleet fleet;
  std::vector<std::string> items;
};

auto CountOf(const std::map<std::string, std::string>& states,
             const std::string& state) -> int {
  return static_cast<int>(
      std::count_if(states.begin(), states.end(),
                    [&](const auto& entry) { return entry.second == state; }));
}

// Guards against items that are neither run nor listed once the route of their
// job is gone, and against discarding those that run at that time.
TEST_CASE("Gateway.ListsTheItemsOfARemovedRouteAsErrored") {
  auto job = OpenJob(2);
  job.Configure(4, false);
  REQUIRE(Eventually([&] {
    return job.owner().Call("POST", "/jobs/1", "j2", JobBody({"x"})).status ==
           404;
  }));
  const auto runs = job.Runs();
  const auto states = job.AwaitListed(*job.fleet.nodes.back());
  CHECK(job.Runs() == runs);
  CHECK(CountOf(states, "completed") == runs);
  CHECK(CountOf(states, "errored") == OpenJob::kItems - runs);
  CHECK(job.owner().ReadJob("j1") == job.fleet.nodes.back()->ReadJob("j1"));
}

// Guards against giving items up for a change that the operator takes back.
TEST_CASE("Gateway.RunsTheItemsOfARouteThatReturns") {
  auto job = OpenJob(1);
  job.Configure(4, false);
  std::this_thread::sleep_for(milliseconds(1'500));
  job.Configure(5, true);
  const auto states = job.AwaitListed(job.owner());
  CHECK(CountOf(states, "completed") == OpenJob::kItems);
}

// Guards against items that never run because the configuration has no route
// for their own paths: by the users' pages they run at the service of their
// job's route.
TEST_CASE("Gateway.RunsItemsWhosePathsHaveNoRoute") {
  auto fleet = Fleet(1);
  fleet.AwaitService();
  auto body = json::parse(JobBody({"a", "b"}));
  body.at("items").at(0)["path"] = "/elsewhere/a";
  const auto& node = *fleet.nodes.front();
  REQUIRE(node.Call("POST", "/jobs/1", "j1", body.dump()).status == 202);
  CHECK(Eventually([&] {
    const auto page = node.ReadJob("j1");
    return page.is_object() && page.at("next") == 2;
  }));
  CHECK(fleet.RunCount("a") == 1);
}

// Guards against items that wait for ever when their owner is lost after the
// route of their job.
TEST_CASE("Gateway.ListsTheItemsOfARemovedRouteAfterATakeover") {
  auto job = OpenJob(2);
  job.Configure(4, false);
  std::this_thread::sleep_for(milliseconds(1'500));
  job.owner().process().Signal(SIGKILL);
  const auto states = job.AwaitListed(*job.fleet.nodes.back());
  CHECK(CountOf(states, "errored") > 0);
}

}  // namespace
}  // namespace kumquatgauge::testing
