// Requests and items that name the version of the weights.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "testing/gateway/fleet.h"

namespace kumquatgauge::testing {
namespace {

using nlohmann::json;

auto Ask(const GatewayProcess& node,
         const std::string& target,
         const std::string& id,
         const std::string& weights) -> FetchReply {
  return Fetch({node.callers(),
                "POST",
                target,
                {{"Host", kGatewayHost},
                 {"Request-Id", id},
                 {"Expect-Version", weights}},
                ""});
}

// Guards against one request that takes all replicas out of use at its gateway:
// its refusal by 421 looks like that of a wrong address.
TEST_CASE("Gateway.UsesReplicasThatRefuseOtherWeights") {
  auto fleet = Fleet(2);
  fleet.AwaitService();
  const auto& node = *fleet.nodes.front();
  for (const auto* target :
       {"/plain/x", "/plain/once/x", "/stream/x", "/stream/once/x"}) {
    CAPTURE(target);
    const auto refused = Ask(node, target, "other", "7");
    CHECK(refused.status == 503);
    CHECK(refused.headers.count("retry-after") == 1);
    CHECK(Ask(node, target, "same", FakeReplica::kWeightVersion).status == 200);
    CHECK(node.Call("POST", target, "any").status == 200);
  }
  CHECK(fleet.RunCount("other") == 0);
}

// Guards against the same by an item of a batch job.
TEST_CASE("Gateway.RunsOtherItemsBesideOneThatExpectsOtherWeights") {
  auto fleet = Fleet(1);
  fleet.AwaitService();
  auto body = json::parse(JobBody({"other", "a", "b"}));
  body.at("items").at(0)["headers"]["Expect-Version"] = "7";
  const auto& node = *fleet.nodes.front();
  REQUIRE(node.Call("POST", "/jobs/1", "j1", body.dump()).status == 202);
  CHECK(Eventually([&] {
    const auto page = node.ReadJob("j1");
    return page.is_object() && page.at("next") == 2;
  }));
  CHECK(node.Call("POST", "/plain/x", "any").status == 200);
  CHECK(fleet.RunCount("other") == 0);
}

}  // namespace
}  // namespace kumquatgauge::testing
