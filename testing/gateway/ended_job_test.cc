// Ends of batch jobs that reach a gateway while it waits for the store before
// it runs the job.

#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "testing/gateway/fleet.h"

namespace kumquatgauge::testing {
namespace {

using ObjectCall = FakeObjectApi::ObjectCall;
using std::chrono::milliseconds;

constexpr auto kItems = 60;
constexpr auto kState = "job-states/j1";

auto LongJob() -> std::string {
  auto items = std::vector<std::string>();
  for (auto item = 0; item < kItems; ++item) {
    items.push_back("item" + std::to_string(item));
  }
  return JobBody(items);
}

auto Submit(const GatewayProcess& node) -> std::future<int> {
  return std::async(std::launch::async, [&node] {
    return node.Call("POST", "/jobs/1", "j1", LongJob()).status;
  });
}

// Submits the job to the first gateway, which does not get the store's answer
// to this call about the job until it is released.
auto SubmitWithHeldAnswer(Fleet& fleet,
                          const std::string& method,
                          const std::string& key) -> std::future<int> {
  fleet.one->set_event_delay(milliseconds(100));
  fleet.two->set_event_delay(milliseconds(100));
  fleet.store->HoldAnswer([method, key, address = fleet.store_addresses[0]](
                              const auto& call) {
    return call.method == method && call.key == key && call.address == address;
  });
  auto submission = Submit(*fleet.nodes[0]);
  REQUIRE(Eventually([&] { return fleet.store->HoldsAnswer(); }));
  return submission;
}

// Items that were sent before the end of their job was acknowledged may reach
// their replicas a little later.
auto AwaitItemsInTransit() -> void {
  constexpr milliseconds kInTransit{100};
  std::this_thread::sleep_for(kInTransit);
}

auto EndAt(Fleet& fleet, std::size_t node) -> int {
  return fleet.nodes[node]->Call("DELETE", "/api/lots/j1", "").status;
}

// Whether no request starts at a replica after the first `before` ones,
// although some items have not run yet.
auto RunsNoItemAfter(const Fleet& fleet, int before) -> bool {
  constexpr milliseconds kObserved{1'500};
  std::this_thread::sleep_for(kObserved);
  return before < kItems && fleet.TotalRuns() == before;
}

// Guards against items that run after the end of their job was acknowledged,
// because the end was stored while the gateway that accepted the job still
// waited for the store's answer to its submission.
TEST_CASE("Gateway.RunsNothingOfAJobThatWasEndedWhileItWasSubmitted") {
  const auto asked = GENERATE(std::size_t{0}, std::size_t{1});
  CAPTURE(asked);
  auto fleet = Fleet(2);
  fleet.AwaitService();
  const auto before = fleet.TotalRuns();
  auto submission = SubmitWithHeldAnswer(fleet, "POST", kState);
  CHECK(EndAt(fleet, asked) == 200);
  fleet.store->ReleaseAnswer();
  CHECK(submission.get() == 202);
  CHECK(RunsNoItemAfter(fleet, before));
}

// The same if the submission is repeated at the gateway that has not completed
// it, which then takes the job over.
TEST_CASE("Gateway.RunsNothingOfAJobThatWasEndedWhileItWasSubmittedTwice") {
  auto fleet = Fleet(2);
  fleet.AwaitService();
  auto submission = SubmitWithHeldAnswer(fleet, "POST", kState);
  CHECK(Submit(*fleet.nodes[0]).get() == 202);
  CHECK(EndAt(fleet, 1) == 200);
  fleet.store->ReleaseAnswer();
  CHECK(submission.get() == 202);
  // The takeover has started items before the end.
  AwaitItemsInTransit();
  CHECK(RunsNoItemAfter(fleet, fleet.TotalRuns()));
}

// The same if the gateway is taken for dead while it submits the job, and then
// stores itself as the owner once more.
TEST_CASE("Gateway.RunsNothingOfAJobThatWasEndedWhileItWasAcceptedAgain") {
  constexpr milliseconds kUntilDead{3'500};
  auto fleet = Fleet(2);
  fleet.AwaitService();
  auto& node = *fleet.nodes[0];
  const auto before = fleet.TotalRuns();
  auto submission = SubmitWithHeldAnswer(fleet, "POST", kState);
  node.process().Signal(SIGSTOP);
  // The other gateway must not take the job over.
  fleet.store->SetEndpointDown(fleet.store_addresses[1], true);
  std::this_thread::sleep_for(kUntilDead);
  fleet.store->ReleaseAnswer();
  fleet.store->HoldAnswer([](const ObjectCall& call) {
    return call.method == "PUT" && call.key == kState;
  });
  node.process().Signal(SIGCONT);
  REQUIRE(Eventually([&] { return fleet.store->HoldsAnswer(); }));
  fleet.store->SetEndpointDown(fleet.store_addresses[1], false);
  CHECK(Eventually([&] { return EndAt(fleet, 1) == 200; }));
  fleet.store->ReleaseAnswer();
  submission.get();
  CHECK(RunsNoItemAfter(fleet, before));
}

// The same if the gateway stops as planned while it submits the job.
TEST_CASE("Gateway.RunsNothingOfAJobThatWasEndedWhileItsGatewayStopped") {
  auto fleet = Fleet(2);
  fleet.AwaitService();
  const auto before = fleet.TotalRuns();
  auto submission = SubmitWithHeldAnswer(fleet, "POST", kState);
  fleet.nodes[0]->process().Signal(SIGTERM);
  CHECK(EndAt(fleet, 1) == 200);
  fleet.store->ReleaseAnswer();
  CHECK(submission.get() == 202);
  CHECK(RunsNoItemAfter(fleet, before));
}

// Guards against a job that runs although its caller was told that there is no
// such job, by the gateway that was about to store it.
TEST_CASE("Gateway.DoesNotDenyAJobWhoseSubmissionIsUnderWay") {
  auto fleet = Fleet(2);
  fleet.AwaitService();
  auto submission = SubmitWithHeldAnswer(fleet, "POST", "jobs/j1");
  const auto reply = fleet.nodes[0]->Call("DELETE", "/api/lots/j1", "");
  CHECK(reply.status == 503);
  CHECK(reply.headers.count("retry-after") == 1);
  fleet.store->ReleaseAnswer();
  CHECK(submission.get() == 202);
  CHECK(EndAt(fleet, 0) == 200);
  AwaitItemsInTransit();
  CHECK(RunsNoItemAfter(fleet, fleet.TotalRuns()));
}

// Guards against items that run after the end of their job was acknowledged,
// because the end was stored while the gateway that takes the job over waited
// for its last read of the job's state.
TEST_CASE("Gateway.RunsNothingOfAJobThatWasEndedDuringTheLastReadOfATakeover") {
  const auto at_successor = GENERATE(true, false);
  CAPTURE(at_successor);
  auto fleet = Fleet(3);
  fleet.AwaitService();
  fleet.one->set_event_delay(milliseconds(100));
  fleet.two->set_event_delay(milliseconds(100));
  REQUIRE(Submit(*fleet.nodes[0]).get() == 202);
  fleet.store->HoldAnswer([&fleet](const ObjectCall& call) {
    return call.method == "GET" && call.key == kState &&
           fleet.store->Get(kState).at("owner") != "n0" &&
           fleet.store->Has("job-results/j1.0");
  });
  fleet.nodes[0]->process().Signal(SIGKILL);
  REQUIRE(Eventually([&] { return fleet.store->HoldsAnswer(); }));
  const auto successor = fleet.store->Get(kState).at("owner") == "n1"
                             ? std::size_t{1}
                             : std::size_t{2};
  CHECK(EndAt(fleet, at_successor ? successor : 3 - successor) == 200);
  const auto before = fleet.TotalRuns();
  fleet.store->ReleaseAnswer();
  CHECK(RunsNoItemAfter(fleet, before));
}

}  // namespace
}  // namespace kumquatgauge::testing
