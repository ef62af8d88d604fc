// Prompt parts on which replicas crash, and sound work that shares other parts.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "testing/gateway/fleet.h"

namespace kumquatgauge::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Guards against items of a sound job that are withheld until they are overdue,
// because requests that crashed replicas had one of their parts as well.
TEST_CASE("Gateway.RunsItemsThatShareASoundPartWithCrashingRequests") {
  constexpr auto kItems = 4;
  auto fleet = Fleet(2);
  fleet.AwaitService();
  fleet.one->set_crashing_part("dead");
  fleet.two->set_crashing_part("dead");
  auto quarantined = false;
  for (auto number = 0; !quarantined; ++number) {
    REQUIRE(number < 20);
    const auto crashes = fleet.Crashes();
    const auto id = "p" + std::to_string(number);
    Fetch({fleet.nodes[0]->callers(),
           "POST",
           "/stream/x",
           {{"Host", kGatewayHost},
            {"Request-Id", id},
            {"Prompt-Prefix",
             "dead:200,50bd:100,aa" + std::to_string(number) + ":50"}},
           ""});
    quarantined = fleet.Crashes() == crashes;
    fleet.AnnounceRestarted();
    std::this_thread::sleep_for(milliseconds(300));
  }
  auto body = json::parse(JobBody({"a", "b", "c", "d"}));
  for (auto& item : body.at("items")) {
    item["headers"]["Prompt-Prefix"] =
        "b47c:100,50bd:100,e" + item.at("id").get<std::string>() + ":50";
  }
  REQUIRE(fleet.nodes[0]->Call("POST", "/jobs/1", "j1", body.dump()).status ==
          202);
  CHECK(Eventually([&] {
    const auto page = fleet.nodes[1]->ReadJob("j1");
    return page.is_object() && page.at("next") == kItems;
  }));
}

}  // namespace
}  // namespace kumquatgauge::testing
