#include "kumquatgauge/serving/configuration.h"

#include <catch2/catch.hpp>
#include <map>

namespace kumquatgauge::serving {
namespace {

auto MakeRoute(const std::string& host, const std::string& prefix) -> Route {
  auto route = Route();
  route.name = host + prefix;
  route.host = host;
  route.path_prefix = prefix;
  return route;
}

TEST_CASE("Configuration.FindsTheRouteWithTheLongestPrefixOfTheHost") {
  auto configuration = Configuration();
  configuration.routes = {MakeRoute("h", "/a/"), MakeRoute("h", "/a/b/"),
                          MakeRoute("other", "/a/b/c/")};
  CHECK(configuration.FindRoute("h", "/a/b/c/d")->name == "h/a/b/");
  CHECK(configuration.FindRoute("h", "/a/x")->name == "h/a/");
  CHECK(configuration.FindRoute("h", "/b/") == nullptr);
  CHECK(configuration.FindRoute("h", "/a") == nullptr);
}

// Guards against a split that starves a service with a small weight.
TEST_CASE("PickService.SplitsByWeight") {
  auto route = Route();
  route.services = {{ServiceName("large"), 90}, {ServiceName("small"), 10}};
  auto counts = std::map<std::string, int>();
  for (std::uint64_t draw = 0; draw < 1'000; ++draw) {
    ++counts[PickService(route, draw).value()];
  }
  CHECK(counts["large"] == 900);
  CHECK(counts["small"] == 100);
}

TEST_CASE("PickService.ReturnsNoServiceForARouteWithoutServices") {
  CHECK(PickService(Route(), 5).empty());
}

}  // namespace
}  // namespace kumquatgauge::serving
