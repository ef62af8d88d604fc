// Takeovers of batch jobs by real gateway processes.

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

constexpr auto kItemsPerJob = 4;

auto ItemsOf(const std::string& job) -> std::vector<std::string> {
  auto items = std::vector<std::string>();
  for (auto item = 0; item < kItemsPerJob; ++item) {
    items.push_back(job + "-" + std::to_string(item));
  }
  return items;
}

// Submits a job to the first gateway, which then owns it. Replicas take this
// delay before each event.
auto SubmitDelayed(Fleet& fleet, const std::string& job, milliseconds delay)
    -> void {
  fleet.one->set_event_delay(delay);
  fleet.two->set_event_delay(delay);
  REQUIRE(fleet.nodes.front()
              ->Call("POST", "/jobs/1", job, JobBody(ItemsOf(job)))
              .status == 202);
}

// Delays the answers of the store that a takeover needs.
auto SlowDownStore(FakeObjectApi& store, milliseconds delay) -> void {
  for (const auto* kind : {"jobs", "job-states", "job-results"}) {
    store.SetReadDelay(kind, delay);
    store.SetWriteDelay(kind, delay);
  }
}

// Stores the results of the first items of a job, as its owner would.
auto StoreResults(Fleet& fleet, const std::string& job, int count) -> void {
  for (auto at = 0; at < count; ++at) {
    const auto item = ItemsOf(job)[static_cast<std::size_t>(at)];
    fleet.store->Put(
        "job-results/" + job + "." + std::to_string(at),
        {{"first", at},
         {"writer", "n0"},
         {"results",
          json::array({json::array({item, true, ExpectedText(item)})})}});
  }
}

auto StoreClosing(Fleet& fleet,
                  const std::string& job,
                  int position,
                  int closings) -> void {
  auto name = "job-results/" + job + "." + std::to_string(position);
  if (closings > 0) {
    name += "-" + std::to_string(closings);
  }
  fleet.store->Put(name, {{"first", position},
                          {"closings", closings},
                          {"writer", "n9.1"},
                          {"results", json::array()}});
}

auto IsListed(const GatewayProcess& node, const std::string& job) -> bool {
  const auto page = node.ReadJob(job);
  return page.is_object() && page.at("next") == kItemsPerJob;
}

// A fleet whose first gateway is lost while it owns jobs. Of each job another
// number of results is stored.
struct LostOwner {
  LostOwner(int gateways, milliseconds delay) : fleet(gateways) {
    fleet.AwaitService();
    for (const auto& job : jobs) {
      SubmitDelayed(fleet, job, milliseconds(700));
    }
    fleet.nodes.front()->process().Signal(SIGKILL);
    for (std::size_t at = 0; at < jobs.size(); ++at) {
      StoreResults(fleet, jobs[at], static_cast<int>(at));
    }
    SlowDownStore(*fleet.store, delay);
    fleet.one->set_event_delay(milliseconds(0));
    fleet.two->set_event_delay(milliseconds(0));
  }

  // The first items of a job, whose results are stored, do not run again.
  auto StoredItemRuns() const -> int {
    auto runs = 0;
    for (std::size_t at = 0; at < jobs.size(); ++at) {
      for (std::size_t item = 0; item < at; ++item) {
        runs += fleet.RunCount(ItemsOf(jobs[at])[item]);
      }
    }
    return runs;
  }

  const std::vector<std::string> jobs{"j0", "j1", "j2"};
  Fleet fleet;
};

// Repeats the submissions of jobs at a gateway until it lists all results.
// Returns whether it did, and each page held what was listed before.
auto RepeatUntilListed(LostOwner& lost,
                       const GatewayProcess& node,
                       milliseconds pause) -> bool {
  auto whole = true;
  const auto listed = Eventually([&] {
    auto all = true;
    for (std::size_t at = 0; at < lost.jobs.size(); ++at) {
      const auto& job = lost.jobs[at];
      node.Call("POST", "/jobs/1", job, JobBody(ItemsOf(job)));
      const auto page = node.ReadJob(job);
      whole = whole && (!page.is_object() || page.at("next") >= at);
      all = all && page.is_object() && page.at("next") == kItemsPerJob;
    }
    std::this_thread::sleep_for(pause);
    return all;
  });
  return listed && whole;
}

// Guards against results that are never listed, or no longer, because the
// submission of a job is repeated at the node that is taking the job over: that
// node entered the job a second time, without the results that are stored.
TEST_CASE("Gateway.ListsTheResultsOfAJobRepeatedDuringItsTakeover") {
  const auto delay = GENERATE(milliseconds(20), milliseconds(200));
  const auto pause = GENERATE(milliseconds(10), milliseconds(150));
  auto lost = LostOwner(2, delay);
  const auto before = lost.StoredItemRuns();
  CHECK(RepeatUntilListed(lost, *lost.fleet.nodes.back(), pause));
  CHECK(lost.StoredItemRuns() == before);
  for (const auto& job : lost.jobs) {
    const auto page = lost.fleet.nodes.back()->ReadJob(job);
    REQUIRE(page.is_object());
    for (const auto& result : page.at("results")) {
      CHECK(result.at("text") == ExpectedText(result.at("id")));
    }
  }
}

// The same in a fleet in which few nodes look for jobs without an owner, and
// the repeated submissions arrive at all nodes.
TEST_CASE("Gateway.ListsTheResultsOfRepeatedJobsInALargeFleet") {
  constexpr auto kNodes = 12;
  auto lost = LostOwner(kNodes, milliseconds(200));
  const auto before = lost.StoredItemRuns();
  auto callers = std::vector<std::thread>();
  auto results = std::vector<char>(kNodes);
  for (auto node = 1; node < kNodes; ++node) {
    callers.emplace_back([&, node] {
      results[static_cast<std::size_t>(node)] =
          RepeatUntilListed(lost,
                            *lost.fleet.nodes[static_cast<std::size_t>(node)],
                            milliseconds(150))
              ? 1
              : 0;
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  CHECK(std::count(results.begin(), results.end(), 1) == kNodes - 1);
  CHECK(lost.StoredItemRuns() == before);
}

// Guards against an owner that waits for ever at the end of its list, which a
// node closed whose takeover of the job came too late and was given up.
TEST_CASE("Gateway.ContinuesAListThatALateTakeoverHasClosed") {
  auto fleet = Fleet(2);
  fleet.AwaitService();
  SubmitDelayed(fleet, "j1", milliseconds(200));
  StoreClosing(fleet, "j1", 0, 0);
  StoreClosing(fleet, "j1", 0, 1);
  CHECK(Eventually([&] { return IsListed(*fleet.nodes[1], "j1"); }));
  CHECK(fleet.nodes[0]->ReadJob("j1") == fleet.nodes[1]->ReadJob("j1"));
}

// Guards against a former owner that adds results behind the closing of the
// node that has taken its job over.
TEST_CASE("Gateway.AddsNothingToAListThatItsNewOwnerHasClosed") {
  auto fleet = Fleet(1);
  fleet.AwaitService();
  SubmitDelayed(fleet, "j1", milliseconds(200));
  auto state = fleet.store->Get("job-states/j1");
  state["owner"] = "n9";
  fleet.store->Put("job-states/j1", std::move(state));
  StoreClosing(fleet, "j1", 0, 0);
  REQUIRE(Eventually([&] {
    return fleet.nodes[0]->Log().find("\"job_dropped\"") != std::string::npos;
  }));
  CHECK_FALSE(fleet.store->Has("job-results/j1.0-1"));
}

}  // namespace
}  // namespace kumquatgauge::testing
