#include "kumquatgauge/serving/gateway_settings.h"

#include <catch2/catch.hpp>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::serving {
namespace {

constexpr auto kWhole = R"([node]
name = "n1"
zone = "a"
fleet_credential = "secret"
seeds = ["10.0.0.1:7000"]
[listen]
callers = "10.0.0.2:8000"
readiness = ""
[store]
address = "10.0.0.9:80"
writes_per_second = 40.5
[limits]
memory_mb = 110
stop_s = 7.5
)";

TEST_CASE("GatewaySettings.ReadsAllKeysAndDefaults") {
  const auto settings = ParseGatewaySettings(kWhole, "settings.toml");
  CHECK(settings.name == NodeId("n1"));
  CHECK(settings.listen.callers == "10.0.0.2:8000");
  CHECK(settings.listen.readiness.empty());
  CHECK(settings.store.writes_per_second == 40.5);
  CHECK(settings.limits.memory_mb == 110);
  CHECK(settings.limits.stop == std::chrono::milliseconds(7'500));
}

// Guards against silently ignoring a misspelled key.
TEST_CASE("GatewaySettings.NamesLineAndKeyOfAnUnknownKey") {
  const auto text = std::string(kWhole) + "memory_gb = 1\n";
  try {
    ParseGatewaySettings(text, "settings.toml");
    FAIL("accepted");
  } catch (const Error& error) {
    const auto message = std::string(error.what());
    CHECK(message.find("settings.toml:15") != std::string::npos);
    CHECK(message.find("limits.memory_gb") != std::string::npos);
  }
}

TEST_CASE("GatewaySettings.RejectsAMissingStore") {
  CHECK_THROWS_AS(ParseGatewaySettings("[node]\nname=\"n\"\nzone=\"z\"\n"
                                       "fleet_credential=\"c\"\n",
                                       "s"),
                  Error);
}

TEST_CASE("GatewaySettings.RejectsABadAddress") {
  auto text = std::string(kWhole);
  text.replace(text.find("10.0.0.9:80"), 11, "10.0.0.9:xx");
  CHECK_THROWS_AS(ParseGatewaySettings(text, "s"), Error);
}

}  // namespace
}  // namespace kumquatgauge::serving
