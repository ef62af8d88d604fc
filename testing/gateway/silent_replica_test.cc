// Replicas that accept requests and write nothing, at real gateway processes.

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "testing/gateway/caller_threads.h"
#include "testing/gateway/fleet.h"

namespace kumquatgauge::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kHangTime{4'000};
// Suspicion at the latest, after which no request that must not be repeated may
// reach the replica: the first request that waits there, 400 ms of silence, and
// the datagram to the other gateway.
constexpr milliseconds kDetectionTime{700};
constexpr int kCallers = 12;

// A request that must not be repeated ends after this time, so that the silent
// replica has free slots again.
constexpr int kOnceTimeoutMs = 1'000;

struct Call {
  std::string id;
  Clock::time_point sent;
  bool repeatable = false;
  FetchReply reply;
};

struct SilentFleet : Fleet {
  SilentFleet() : Fleet(2) {
    AwaitService();
    auto configuration = MakeConfiguration(4);
    for (auto& route : configuration["routes"]) {
      if (route.at("path_prefix") == "/plain/once/" ||
          route.at("path_prefix") == "/stream/once/") {
        route["timeout_ms"] = kOnceTimeoutMs;
      }
    }
    store->Put("config/main", configuration);
    one->set_event_delay(milliseconds(20));
    two->set_event_delay(milliseconds(20));
  }

  // Half of the callers send requests that must not be repeated. They keep more
  // requests under way than one replica has slots.
  auto StartCallers(const std::string& kind) -> std::unique_ptr<CallerThreads> {
    return std::make_unique<CallerThreads>(kCallers, [this, kind](int caller,
                                                                  int number) {
      auto call = Call();
      call.repeatable = caller % 4 < 2;
      call.id = kind + std::to_string(caller) + "-" + std::to_string(number);
      call.sent = Clock::now();
      const auto target =
          "/" + kind + (call.repeatable ? "/" : "/once/") + call.id;
      call.reply = nodes[static_cast<std::size_t>(caller % 2)]->Call(
          "POST", target, call.id);
      const auto lock = std::lock_guard(mutex);
      calls.push_back(std::move(call));
    });
  }

  std::mutex mutex;
  std::vector<Call> calls;
};

auto Suspicions(const Fleet& fleet, const std::string& event) -> std::size_t {
  auto all = std::size_t{0};
  for (const auto& node : fleet.nodes) {
    all += LinesOf(node->Log(), "event", event).size();
  }
  return all;
}

auto RunSilence(const std::string& kind) -> void {
  auto fleet = SilentFleet();
  auto callers = fleet.StartCallers(kind);
  std::this_thread::sleep_for(seconds(2));
  CHECK(Suspicions(fleet, "suspicion_begins") == 0);
  const auto silent_from = Clock::now();
  fleet.one->set_hanging(true);
  std::this_thread::sleep_for(kHangTime);
  const auto runs_at_end = fleet.one->total_runs();
  fleet.one->set_hanging(false);
  const auto silent_until = Clock::now();
  const auto used_again = Eventually(
      [&] { return fleet.one->total_runs() > runs_at_end + 5 * kCallers; });
  const auto used_after = Clock::now() - silent_until;
  callers->Stop();
  CHECK(used_again);
  CHECK(used_after < seconds(2));
  CHECK(Suspicions(fleet, "suspicion_begins") > 0);
  CHECK(Suspicions(fleet, "suspicion_ends") > 0);
  auto early = 0;
  auto late = 0;
  auto served = 0;
  auto lost_repeatable = 0;
  auto repeatable = 0;
  for (const auto& call : fleet.calls) {
    if (call.sent < silent_from || call.sent > silent_until) {
      continue;
    }
    if (call.repeatable) {
      ++repeatable;
      lost_repeatable +=
          call.reply.status != 200 && call.reply.status != 503 ? 1 : 0;
    } else if (fleet.one->RunCount(call.id) > 0 && call.reply.status != 200) {
      (call.sent - silent_from < kDetectionTime ? early : late) += 1;
    } else {
      served += call.reply.status == 200 ? 1 : 0;
    }
  }
  INFO("lost early: " << early << ", late: " << late << ", served: " << served
                      << ", repeatable: " << repeatable
                      << ", of these lost: " << lost_repeatable);
  // The callers whose requests were at the replica when it fell silent, or came
  // before that was known.
  CHECK(early <= kCallers / 2);
  CHECK(late == 0);
  CHECK(served > 20);
  CHECK(lost_repeatable == 0);
  CHECK(repeatable > 20);
}

// Guards against requests that must not be repeated and are lost at a replica
// that accepts them and writes nothing, and against a replica that stays out of
// use after it writes again.
TEST_CASE("Gateway.SendsNoUnrepeatableStreamsToASilentReplica") {
  RunSilence("stream");
}

// The same for a service that does not answer with event streams.
TEST_CASE("Gateway.SendsNoUnrepeatableRequestsToASilentPlainService") {
  RunSilence("plain");
}

}  // namespace
}  // namespace kumquatgauge::testing
