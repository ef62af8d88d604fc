#include "kumquatgauge/base/settings.h"

#include <catch2/catch.hpp>
#include <string>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge {
namespace {

constexpr auto kGood = R"(
[node]
name = "n1"
zone = "surco"
[callers]
listen = "127.0.0.1:8000"
[operators]
listen = "127.0.0.1:8001"
credentials_file = "operators.txt"
[nodes]
listen = "127.0.0.1:8002"
fleet_credential_file = "fleet.txt"
seeds = ["127.0.0.1:8012"]
[platform]
address = "127.0.0.1:9000"
)";

auto MessageFor(const std::string& text) -> std::string {
  try {
    ParseNodeSettings(text, "node.toml");
  } catch (const Error& error) {
    return error.what();
  }
  return "no error";
}

auto Replaced(const std::string& from, const std::string& with) -> std::string {
  auto text = std::string(kGood);
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), with);
}

TEST_CASE("Settings.ReadsValuesAndDefaults") {
  const auto settings = ParseNodeSettings(kGood, "node.toml");
  CHECK(settings.name == NodeId("n1"));
  CHECK(settings.callers.advertise == "127.0.0.1:8000");
  CHECK(settings.nodes.seeds == std::vector<std::string>{"127.0.0.1:8012"});
  CHECK(settings.limits.queue == std::chrono::milliseconds(500));
}

// Guards against a misspelled key that is ignored, so that its default applies.
TEST_CASE("Settings.NamesLineAndAllowedKeysOfUnknownKey") {
  CHECK(MessageFor(Replaced("zone =", "zoone = \"x\"\nzone =")) ==
        "bad setting: node.toml:4: node.zoone: found an unknown key; allowed "
        "is one of data_folder name region traffic_threads zone");
}

TEST_CASE("Settings.NamesUnknownTable") {
  CHECK_THAT(MessageFor(std::string(kGood) + "[extra]\na = 1\n"),
             Catch::Contains("extra: found an unknown key"));
}

TEST_CASE("Settings.NamesWrongType") {
  CHECK(MessageFor(Replaced("\"n1\"", "7")) ==
        "bad setting: node.toml:3: node.name: found 7; allowed is a string");
}

TEST_CASE("Settings.NamesValueOutOfRange") {
  CHECK(MessageFor(std::string(kGood) + "[limits]\nqueue_ms = 70000\n") ==
        "bad setting: node.toml:17: limits.queue_ms: found 70000; allowed is "
        "a whole number from 0 to 60000");
}

TEST_CASE("Settings.NamesBadEndpoint") {
  CHECK_THAT(MessageFor(Replaced("127.0.0.1:8000", "localhost:8000")),
             Catch::Contains("node.toml:6: callers.listen: found "
                             "\"localhost:8000\"; allowed is \"IP:port\""));
}

TEST_CASE("Settings.NamesMissingKey") {
  CHECK_THAT(MessageFor(Replaced("zone = \"surco\"\n", "")),
             Catch::Contains("node.zone: found nothing"));
}

TEST_CASE("Settings.NamesLineOfBrokenToml") {
  CHECK_THAT(MessageFor(Replaced("name = \"n1\"", "name = \"n1")),
             Catch::Contains("settings are not valid TOML: node.toml:3"));
}

TEST_CASE("Settings.NamesMissingFile") {
  CHECK_THROWS_WITH(ReadNodeSettings("/nonexistent/node.toml"),
                    Catch::Contains("cannot read settings"));
}

}  // namespace
}  // namespace kumquatgauge
