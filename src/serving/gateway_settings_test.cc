#include "kumquatgauge/serving/gateway_settings.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

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

// Guards against an age limit for deployments that set none, and against one
// that is ignored or within the margin of its check.
TEST_CASE("GatewaySettings.ReadsTheAgeLimitOfTheConfiguration") {
  const auto read = [](const std::string& keys) {
    return ParseGatewaySettings(std::string(kWhole) + keys, "s")
        .keys.max_configuration_age;
  };
  CHECK(read("") == std::nullopt);
  CHECK(read("[keys]\n") == std::nullopt);
  CHECK(read("[keys]\nmax_configuration_age_ms = 5000\n") ==
        std::chrono::milliseconds(5'000));
  CHECK(read("[keys]\nmax_configuration_age_ms = 5000.0\n") ==
        std::chrono::milliseconds(5'000));
  for (const auto* bad : {"0", "-5000", "999", "4e6", "\"5000\"", "true"}) {
    CAPTURE(bad);
    CHECK_THROWS_AS(
        read(std::string("[keys]\nmax_configuration_age_ms = ") + bad + "\n"),
        Error);
  }
  CHECK_THROWS_AS(read("[keys]\nmax_age_ms = 5000\n"), Error);
}

TEST_CASE("GatewaySettings.RejectsABadAddress") {
  auto text = std::string(kWhole);
  text.replace(text.find("10.0.0.9:80"), 11, "10.0.0.9:xx");
  CHECK_THROWS_AS(ParseGatewaySettings(text, "s"), Error);
}

// Guards against a changed choice of zones in deployments without the table.
TEST_CASE("GatewaySettings.HasNoZoneCostsWithoutTheirTable") {
  CHECK_FALSE(ParseGatewaySettings(kWhole, "s").zones);
}

TEST_CASE("GatewaySettings.ReadsZoneCosts") {
  const auto text = std::string(kWhole) +
                    "[zones]\ndelay_ms_per_crossing = 1.4\n"
                    "cost_ms_per_megabyte = 20\n";
  CHECK(ParseGatewaySettings(text, "s").zones == ZoneCosts{1.4, 20.0});
}

// Guards against costs that make every comparison of gain and cost false or
// leaving the zone profitable at any load.
TEST_CASE("GatewaySettings.RejectsZoneCostsThatAreNoCosts") {
  for (const auto* line :
       {"delay_ms_per_crossing = -0.1", "delay_ms_per_crossing = nan",
        "cost_ms_per_megabyte = inf", "cost_ms_per_megabyte = \"1\"",
        "cost_ms_per_gigabyte = 1"}) {
    INFO(line);
    const auto text = std::string(kWhole) + "[zones]\n" + line + "\n";
    CHECK_THROWS_AS(ParseGatewaySettings(text, "s"), Error);
  }
  const auto no_table = "zones = 1\n" + std::string(kWhole);
  CHECK_THROWS_AS(ParseGatewaySettings(no_table, "s"), Error);
}

}  // namespace
}  // namespace kumquatgauge::serving
