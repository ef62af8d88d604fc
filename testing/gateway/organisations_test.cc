// Organisations and their API keys, with real gateway processes.

#include <catch2/catch.hpp>
#include <csignal>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "kumquatgauge/serving/job.h"
#include "testing/gateway/fleet.h"

namespace kumquatgauge::testing {
namespace {

using nlohmann::json;

auto ConfigurationOf(int version, const json& organisations) -> json {
  auto configuration = MakeConfiguration(version);
  configuration["tenants"] = organisations;
  configuration["routes"].push_back(
      MakeRoute("/open/", "safe", {{"public", true}}));
  return configuration;
}

// Two gateways before two replicas, and two organisations.
struct Organisations : Fleet {
  Organisations() : Fleet(2) {
    store->Put("config/main", ConfigurationOf(1, both));
    for (const auto& node : nodes) {
      REQUIRE(Eventually([&] {
        return node->Ready() && node->Addresses().size() == nodes.size() &&
               Call(*node, "POST", "/plain/warm", "warm", "key-a1").status ==
                   200;
      }));
    }
  }

  // Without a key if it is empty.
  static auto Call(const GatewayProcess& node,
                   const std::string& method,
                   const std::string& target,
                   const std::string& id,
                   const std::string& key,
                   const std::string& body = "") -> FetchReply {
    auto request = FetchRequest();
    request.address = node.callers();
    request.method = method;
    request.target = target;
    request.headers = {
        {"Host", kGatewayHost}, {"Request-Id", id}, {"Tenant", "forged"}};
    if (!key.empty()) {
      request.headers["X-Api-Key"] = key;
    }
    request.body = body;
    return Fetch(request);
  }

  // What a replica got in a header of a request that ran.
  auto SeenBy(const std::string& request, const std::string& header) const
      -> std::string {
    const auto& replica = one->RunCount(request) > 0 ? *one : *two;
    return std::string(FindHeader(replica.HeadersOf(request), header));
  }

  const json both = {{{"name", "a"}, {"api_keys", {"key-a1", "key-a2"}}},
                     {{"name", "b"}, {"api_keys", {"key-b1"}}}};
};

// Guards against keys that reach replicas, names that callers choose, and
// requests that run without a key of any organisation.
TEST_CASE("Gateway.SendsTheNameOfTheOrganisationAndNeverItsKey") {
  const auto fleet = Organisations();
  const auto& node = *fleet.nodes.front();
  for (const auto* path : {"/plain/1", "/plain/once/1", "/stream/1"}) {
    const auto id = std::string(path) + "-b";
    REQUIRE(Organisations::Call(node, "POST", path, id, "key-b1").status ==
            200);
    CHECK(fleet.SeenBy(id, "Tenant") == "b");
    CHECK(fleet.SeenBy(id, "X-Api-Key").empty());
    for (const auto* key : {"", "key-c", "b", "KEY-B1"}) {
      const auto refused = id + "-not-" + key;
      CHECK(Organisations::Call(node, "POST", path, refused, key).status ==
            401);
      CHECK(fleet.RunCount(refused) == 0);
    }
  }
  REQUIRE(
      Organisations::Call(node, "POST", "/open/1", "open", "key-b1").status ==
      200);
  CHECK(fleet.SeenBy("open", "Tenant").empty());
  CHECK(fleet.SeenBy("open", "X-Api-Key").empty());
}

// Guards against jobs that callers of another organisation can read, end or
// take for their own, at the owner or at another gateway, and against a job
// that is lost with the key by which it was submitted.
TEST_CASE("Gateway.ShowsAJobToItsOrganisationOnly") {
  auto fleet = Organisations();
  const auto& node = *fleet.nodes.front();
  const auto submit = [&](const std::string& key, const std::string& item) {
    return Organisations::Call(node, "POST", "/jobs/1", "q1", key,
                               JobBody({item}))
        .status;
  };
  REQUIRE(submit("key-a1", "q1-a") == 202);
  fleet.store->Put(
      "config/main",
      ConfigurationOf(
          2, {{{"name", "a"}, {"api_keys", {"key-a2"}}}, fleet.both.at(1)}));
  for (const auto& gateway : fleet.nodes) {
    REQUIRE(Eventually([&] {
      return Organisations::Call(*gateway, "POST", "/plain/1", "p", "key-a1")
                 .status == 401;
    }));
    const auto read = [&](const std::string& key) {
      return Organisations::Call(*gateway, "GET", "/api/lots/q1?after=0", "",
                                 key);
    };
    REQUIRE(Eventually([&] {
      const auto reply = read("key-a2");
      return reply.status == 200 && json::parse(reply.body).at("next") == 1;
    }));
    CHECK(read("key-a1").status == 401);
    CHECK(read("").status == 401);
    CHECK(read("key-b1").status == 404);
    CHECK(Organisations::Call(*gateway, "DELETE", "/api/lots/q1", "", "key-b1")
              .status == 404);
    CHECK(Organisations::Call(*gateway, "GET", "/api/items/q1?id=q1-a", "",
                              "key-b1")
              .status == 404);
  }
  CHECK(fleet.SeenBy("q1-a", "Tenant") == "a");
  CHECK(fleet.SeenBy("q1-a", "X-Api-Key").empty());
  // The same id names another job in another organisation.
  REQUIRE(submit("key-b1", "q1-b") == 202);
  REQUIRE(Eventually([&] { return fleet.RunCount("q1-b") > 0; }));
  CHECK(fleet.SeenBy("q1-b", "Tenant") == "b");
}

// Guards against callers without a key who read, end or hide the job of an
// organisation by an id that looks like the one under which it is kept.
TEST_CASE("Gateway.ShowsNoJobOfAnOrganisationToCallersWithoutAKey") {
  auto fleet = Organisations();
  auto configuration = ConfigurationOf(2, fleet.both);
  configuration["routes"].push_back(MakeRoute("/open/jobs/", "batch",
                                              {{"public", true},
                                               {"completion_target_ms", 18000},
                                               {"max_attempts", 3},
                                               {"retention_s", 60}}));
  fleet.store->Put("config/main", configuration);
  const auto& owner = *fleet.nodes.front();
  REQUIRE(Organisations::Call(owner, "POST", "/jobs/1", "q1", "key-a1",
                              JobBody({"q1-a"}))
              .status == 202);
  const auto joined =
      serving::ScopedJobId(JobId("q1"), OrganisationName("a")).value();
  for (const auto& gateway : fleet.nodes) {
    const auto call = [&](const std::string& method, const std::string& target,
                          const std::string& key = "") {
      return Organisations::Call(*gateway, method, target, "", key);
    };
    REQUIRE(Eventually(
        [&] { return call("GET", "/api/lots/none?after=0").status == 404; }));
    for (const auto& id : {joined, std::string("q1")}) {
      CHECK(call("GET", "/api/lots/" + id + "?after=0").status == 404);
      CHECK(call("GET", "/api/items/" + id + "?id=q1-a").status == 404);
      CHECK(call("DELETE", "/api/lots/" + id).status == 404);
    }
  }
  // A job of that id is another one, also after a takeover.
  REQUIRE(Organisations::Call(owner, "POST", "/open/jobs/1", joined, "",
                              JobBody({"other"}))
              .status == 202);
  fleet.nodes.front()->process().Signal(SIGKILL);
  const auto& heir = *fleet.nodes.back();
  const auto item_of = [&](const std::string& id, const std::string& key) {
    const auto reply = Organisations::Call(
        heir, "GET", "/api/lots/" + id + "?after=0", "", key);
    const auto page = json::parse(reply.body, nullptr, false);
    return reply.status == 200 && page.value("next", 0) == 1
               ? page.at("results").at(0).at("id").get<std::string>()
               : std::string();
  };
  CHECK(Eventually([&] { return item_of("q1", "key-a1") == "q1-a"; }));
  CHECK(Eventually([&] { return item_of(joined, "") == "other"; }));
}

// Guards against an organisation at its limit of waiting tokens that takes the
// room of another one on the same route, and against jobs above the limit that
// run.
TEST_CASE("Gateway.KeepsALimitOfWaitingTokensForEachOrganisation") {
  constexpr auto kJobsThatFit = 4;
  auto fleet = Organisations();
  for (auto* replica : {fleet.one.get(), fleet.two.get()}) {
    replica->set_event_delay(std::chrono::seconds(30));
  }
  auto configuration = ConfigurationOf(2, fleet.both);
  for (auto& route : configuration.at("routes")) {
    if (route.at("kind") == "batch") {
      route["cap"] = kJobsThatFit * kItemTokens;
    }
  }
  fleet.store->Put("config/main", configuration);
  for (const auto& node : fleet.nodes) {
    REQUIRE(Eventually(
        [&] { return !LinesOf(node->Log(), "version", "2").empty(); }));
  }
  auto refused = std::vector<std::string>();
  // Returns how many of `count` jobs, sent to the gateways in turn, were
  // accepted.
  const auto submit = [&](const std::string& organisation, int count) {
    auto accepted = 0;
    for (auto at = 0; at < count; ++at) {
      const auto job = organisation + "-" + std::to_string(at);
      const auto reply = Organisations::Call(
          *fleet.nodes[at % fleet.nodes.size()], "POST", "/jobs/1", job,
          "key-" + organisation + "1", JobBody({"i-" + job}));
      CHECK((reply.status == 202 || reply.status == 429));
      CHECK((reply.headers.count("retry-after") == 1) == (reply.status == 429));
      accepted += reply.status == 202 ? 1 : 0;
      if (reply.status == 429) {
        refused.push_back("i-" + job);
      }
    }
    return accepted;
  };
  CHECK(submit("a", 3 * kJobsThatFit) == kJobsThatFit);
  CHECK(submit("b", kJobsThatFit) == kJobsThatFit);
  // The jobs that were accepted before are accepted again, and no others.
  CHECK(submit("b", 2 * kJobsThatFit) == kJobsThatFit);
  for (const auto& item : refused) {
    CHECK(fleet.RunCount(item) == 0);
  }
}

// Guards against keys and limits that are lost because one member of a
// configuration cannot be read.
TEST_CASE("Gateway.KeepsTheLastConfigurationWithReadableOrganisations") {
  auto fleet = Organisations();
  const auto& node = *fleet.nodes.front();
  fleet.store->Put(
      "config/main",
      ConfigurationOf(2, {{{"name", "a"}, {"api_keys", {"key-a3"}}},
                          {{"name", "b"}, {"rate_per_s", -1}}}));
  REQUIRE(Eventually([&] {
    return !LinesOf(node.Log(), "event", "configuration_unreadable").empty();
  }));
  const auto status = [&](const std::string& key) {
    return Organisations::Call(node, "POST", "/plain/1", "p-" + key, key)
        .status;
  };
  CHECK(status("key-a1") == 200);
  CHECK(status("key-b1") == 200);
  CHECK(status("key-a3") == 401);
  const auto lines = LinesOf(node.Log(), "event", "configuration_unreadable");
  CHECK_THAT(lines.front().value("reason", ""),
             Catch::Contains("tenants[1].rate_per_s"));
}

}  // namespace
}  // namespace kumquatgauge::testing
