// Calls to the store by real gateway processes.

#include <catch2/catch.hpp>
#include <csignal>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "testing/gateway/fleet.h"

namespace kumquatgauge::testing {
namespace {

using std::chrono::milliseconds;

// Reads the counts of the last line of each gateway.
auto LoggedCalls(const Fleet& fleet) -> std::map<std::string, int> {
  auto calls = std::map<std::string, int>();
  for (const auto& node : fleet.nodes) {
    const auto lines = LinesOf(node->Log(), "event", "store_calls");
    if (lines.empty()) {
      continue;
    }
    auto text = std::istringstream(lines.back().at("calls").get<std::string>());
    for (std::string entry; text >> entry;) {
      const auto sign = entry.find('=');
      calls[entry.substr(0, sign)] += std::stoi(entry.substr(sign + 1));
    }
  }
  return calls;
}

auto StopAll(Fleet& fleet) -> void {
  for (const auto& node : fleet.nodes) {
    node->process().Signal(SIGTERM);
  }
  for (const auto& node : fleet.nodes) {
    REQUIRE(Eventually(
        [&] { return !LinesOf(node->Log(), "event", "stop").empty(); }));
  }
}

// Guards against counts that differ from the calls that reach the store.
TEST_CASE("Gateway.CountsItsCallsToTheStoreByKind") {
  constexpr auto kJobs = 6;
  constexpr auto kItems = 8;
  auto fleet = Fleet(3);
  fleet.AwaitService();
  for (auto job = 0; job < kJobs; ++job) {
    const auto id = "j" + std::to_string(job);
    auto items = std::vector<std::string>();
    for (auto item = 0; item < kItems; ++item) {
      // Every second item takes longer, so that the ends differ.
      items.push_back(id + (item % 2 == 0 ? "/slow-" : "/") +
                      std::to_string(item));
    }
    fleet.one->set_event_delay(milliseconds(60 * (job + 1)));
    fleet.two->set_event_delay(milliseconds(90 * (job + 1)));
    REQUIRE(fleet.nodes[static_cast<std::size_t>(job) % 3]
                ->Call("POST", "/jobs/1", id, JobBody(items))
                .status == 202);
  }
  for (auto job = 0; job < kJobs; ++job) {
    const auto id = "j" + std::to_string(job);
    REQUIRE(Eventually([&] {
      const auto page = fleet.nodes.front()->ReadJob(id);
      return page.is_object() && page.at("next") == kItems;
    }));
  }
  StopAll(fleet);
  const auto calls = LoggedCalls(fleet);
  for (const auto& [kind, count] : calls) {
    INFO(kind << " " << count);
    CHECK(fleet.store->Calls(kind) == count);
  }
  CHECK(calls.at("jobs.create") == kJobs);
  CHECK(calls.at("job-states.create") == kJobs);
}

// Guards against calls of each gateway when all are started at once: they need
// the store to find each other, but only some of them follow it.
TEST_CASE("Gateway.StartsWithFewCallsToTheStore") {
  constexpr auto kNodes = 12;
  auto fleet = Fleet(kNodes);
  fleet.AwaitService();
  std::this_thread::sleep_for(milliseconds(4'000));
  for (const auto& node : fleet.nodes) {
    const auto lines = LinesOf(node->Log(), "event", "ready");
    REQUIRE(lines.size() == 1);
    CHECK(lines.front().at("replicas_ms") != "none");
  }
  StopAll(fleet);
  // Each needs the configuration, the replicas, their versions, the registry
  // and its own entry there.
  constexpr auto kCallsOfEach = 5;
  constexpr auto kOthers = kNodes;
  auto exact = 0;
  for (const auto& [kind, count] : LoggedCalls(fleet)) {
    UNSCOPED_INFO(kind << " " << count);
    const auto watch = kind.ends_with(".watch");
    exact += watch || kind.ends_with("_stale") ? 0 : count;
  }
  CHECK(exact <= kCallsOfEach * kNodes + kOthers);
}

}  // namespace
}  // namespace kumquatgauge::testing
