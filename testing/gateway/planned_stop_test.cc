// Planned stops of real gateway processes.

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "testing/gateway/fleet.h"
#include "testing/support/raw_client.h"

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

auto SlowRequestHead(const std::string& target, const std::string& id)
    -> std::string {
  return "POST " + target + " HTTP/1.1\r\nHost: " + kGatewayHost +
         "\r\nRequest-Id: " + id + "\r\nContent-Length: 4\r\n\r\nbo";
}

// Guards against requests that a host takes and passes on so late in a planned
// stop that it ends before their answers come: it cut them off unanswered, also
// those that must not be repeated.
TEST_CASE("Gateway.RefusesWhatItCannotAnswerBeforeItsPlannedStopEnds") {
  auto fleet = Fleet();
  fleet.AwaitService();
  fleet.one->set_event_delay(milliseconds(4'500));
  fleet.two->set_event_delay(milliseconds(4'500));
  auto& node = *fleet.nodes.front();
  auto context = boost::asio::io_context();
  auto once = RawClient(context, node.callers());
  auto resumable = RawClient(context, node.callers());
  node.process().Signal(SIGTERM);
  // The bodies of both arrive slowly.
  std::this_thread::sleep_for(milliseconds(2'200));
  REQUIRE(once.Send(SlowRequestHead("/stream/once/x", "late-1")));
  REQUIRE(resumable.Send(SlowRequestHead("/stream/x", "late-2")));
  std::this_thread::sleep_for(milliseconds(1'800));
  REQUIRE(once.Send("dy"));
  REQUIRE(resumable.Send("dy"));
  for (auto* client : {&once, &resumable}) {
    const auto reply = client->ReadToEnd();
    CHECK(reply.starts_with("HTTP/1.1 503"));
    CHECK(reply.find("Retry-After: ") != std::string::npos);
    CHECK(reply.find("Connection: close") != std::string::npos);
  }
  CHECK(fleet.RunCount("late-1") == 0);
  CHECK(fleet.RunCount("late-2") == 0);
  CHECK(node.process().WaitForExit(milliseconds(8'000)) == 0);
}

// Guards against requests without an answer at the end of a planned stop: those
// whose time limit lies beyond it.
TEST_CASE("Gateway.AnswersWhatIsUnfinishedWhenItsPlannedStopEnds") {
  auto fleet = Fleet();
  auto configuration = MakeConfiguration(4);
  for (auto& route : configuration.at("routes")) {
    route["timeout_ms"] = 20'000;
  }
  fleet.AwaitService();
  fleet.store->Put("config/main", configuration);
  fleet.one->set_event_delay(milliseconds(12'000));
  fleet.two->set_event_delay(milliseconds(12'000));
  auto& node = *fleet.nodes.front();
  REQUIRE(
      Eventually([&] { return !LinesOf(node.Log(), "version", "4").empty(); }));
  const auto call = [&](const std::string& target, const std::string& id,
                        FetchReply& reply) {
    return std::thread([&, target, id] {
      auto request = FetchRequest();
      request.address = node.callers();
      request.method = "POST";
      request.target = target;
      request.headers = {{"Host", kGatewayHost}, {"Request-Id", id}};
      request.timeout = milliseconds(15'000);
      reply = Fetch(request);
    });
  };
  // Under way when the stop begins, and sent while it goes on.
  auto early = FetchReply();
  auto late = FetchReply();
  auto late_once = FetchReply();
  auto callers = std::vector<std::thread>();
  callers.push_back(call("/stream/once/x", "early", early));
  REQUIRE(Eventually([&] { return fleet.RunCount("early") == 1; }));
  node.process().Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(500));
  callers.push_back(call("/stream/x", "late", late));
  callers.push_back(call("/stream/once/x", "late-once", late_once));
  for (auto& caller : callers) {
    caller.join();
  }
  // They may have run.
  CHECK(early.complete);
  CHECK(early.status == 504);
  CHECK(late.complete);
  CHECK(late.status == 504);
  // It has time at another host, and could not be repeated.
  CHECK(late_once.status == 503);
  CHECK(late_once.headers.contains("retry-after"));
  CHECK(fleet.RunCount("late-once") == 0);
  CHECK(node.process().WaitForExit(milliseconds(8'000)) == 0);
}

}  // namespace
}  // namespace kumquatgauge::testing
