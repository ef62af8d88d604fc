// Requests that find every replica full, with a real gateway process.

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
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

// Less than the second after which a request without events counts as overdue.
constexpr auto kEventDelay = milliseconds(700);
constexpr auto kMaxTimeToFree = milliseconds(500);
// Requests that fill the fleet with a long latency target: one slot at each
// replica, and four requests queued there.
constexpr auto kFilling = 10;

// One gateway before two replicas with one slot each.
struct FullFleet : Fleet {
  FullFleet() {
    for (const auto* replica : {one.get(), two.get()}) {
      store->Put("servers/" + replica->id(),
                 ServerEntry(replica->address(), "", 1));
    }
    auto configuration = MakeConfiguration(3);
    configuration["routes"].push_back(
        MakeRoute("/patient/", "stream",
                  {{"target_latency_ms", 20'000}, {"timeout_ms", 30'000}}));
    store->Put("config/main", configuration);
    REQUIRE(Eventually([&] {
      return node().Ready() &&
             node().Call("POST", "/plain/warm", "warm").status == 200;
    }));
    one->set_event_delay(kEventDelay);
    two->set_event_delay(kEventDelay);
  }

  auto node() const -> const GatewayProcess& { return *nodes.front(); }

  // Sends `count` requests at once and returns when they run.
  auto Fill(const std::string& path, int count) -> std::vector<std::thread> {
    auto callers = std::vector<std::thread>();
    for (auto i = 0; i < count; ++i) {
      callers.emplace_back([this, id = path + std::to_string(i)] {
        node().Call("POST", id, id);
      });
    }
    REQUIRE(Eventually([&] {
      auto running = 0;
      for (auto i = 0; i < count; ++i) {
        running += RunCount(path + std::to_string(i));
      }
      return running == count;
    }));
    return callers;
  }

  // Returns the status of a request whose caller waits for `timeout_ms`.
  auto CallWithin(const std::string& timeout_ms, const std::string& id) const
      -> int {
    auto request = FetchRequest();
    request.address = node().callers();
    request.method = "POST";
    request.target = "/stream/" + id;
    request.headers = {
        {"Host", kGatewayHost}, {"Request-Id", id}, {"Timeout-Ms", timeout_ms}};
    return Fetch(request).status;
  }

  // Returns the log line about the end of a request, which is its only one.
  auto EndOf(const std::string& request) const -> json {
    auto lines = std::vector<json>();
    REQUIRE(Eventually([&] {
      lines = LinesOf(node().Log(), "request", request);
      return !lines.empty();
    }));
    return lines.back();
  }
};

// Guards against a place in the queue that a caller keeps after it has
// disconnected, until its latest start, and against requests that wait though
// no slot can become free in time.
TEST_CASE("Gateway.RefusesAtOnceWhenFullAndFreesThePlaceOfALeavingCaller") {
  auto fleet = FullFleet();
  auto callers = fleet.Fill("/patient/", kFilling);
  auto context = boost::asio::io_context();
  auto leaving = RawClient(context, fleet.node().callers());
  REQUIRE(leaving.Send(
      "POST /patient/x HTTP/1.1\r\nHost: " + std::string(kGatewayHost) +
      "\r\nRequest-Id: leaving\r\nContent-Length: 0\r\n\r\n"));
  const auto stay = milliseconds(200);
  std::this_thread::sleep_for(stay);
  leaving.Close();
  const auto left = fleet.EndOf("leaving");
  CHECK(left.at("admission") == "caller_left");
  CHECK(std::stoi(left.at("total_ms").get<std::string>()) >= stay.count() / 2);
  CHECK(std::stoi(left.at("total_ms").get<std::string>()) <
        (stay + kMaxTimeToFree).count());
  CHECK(fleet.RunCount("leaving") == 0);
  for (auto& caller : callers) {
    caller.join();
  }

  // The gateway has learned that slots are held for more than a second.
  callers = fleet.Fill("/stream/", 2);
  const auto refused = fleet.node().Call("POST", "/stream/x", "refused");
  CHECK(refused.status == 503);
  REQUIRE(refused.headers.contains("retry-after"));
  const auto retry_after = std::stod(refused.headers.at("retry-after"));
  CHECK(retry_after > 0.1);
  CHECK(retry_after <= 5.0 / 3);
  const auto end = fleet.EndOf("refused");
  CHECK(end.at("admission") == "refused_at_once");
  CHECK(std::stoi(end.at("waited_ms").get<std::string>()) < 30);
  CHECK(fleet.RunCount("refused") == 0);
  // A caller that says it has less time left than others was refused before.
  for (auto i = 0; i < 4; ++i) {
    CHECK(fleet.CallWithin("5000", "first" + std::to_string(i)) == 503);
  }
  CHECK(fleet.EndOf("first3").at("returning") == "false");
  fleet.CallWithin("4200", "second");
  CHECK(fleet.EndOf("second").at("returning") == "true");
  for (auto& caller : callers) {
    caller.join();
  }
}

}  // namespace
}  // namespace kumquatgauge::testing
