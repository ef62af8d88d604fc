// Requests to empty hosts, with real disk host processes.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "testing/gateway/fleet.h"

namespace kumquatgauge::testing {
namespace {

// Guards against a host that is never removed because it runs no process: only
// one host with a disk in each availability zone does.
TEST_CASE("DiskHost.AnswersForHostsThatRunNoProcess") {
  auto fleet = Fleet(0);
  fleet.store->Put("retirements/s7", {{"duration_s", 5}});
  const auto process = GatewayProcess(
      KQG_DISK_HOST, "s1", fleet.store->AddEndpoint(), fleet.folder.string());
  const auto is_completed = [&](const std::string& host) {
    const auto status = fleet.store->StatusOf("retirements/" + host);
    return status.is_object() && status.value("state", "") == "completed";
  };
  REQUIRE(Eventually([&] { return is_completed("s7"); }));
  for (const auto* host : {"s1", "s8"}) {
    fleet.store->Put(std::string("retirements/") + host, {{"duration_s", 5}});
    REQUIRE(Eventually([&] { return is_completed(host); }));
  }
}

}  // namespace
}  // namespace kumquatgauge::testing
