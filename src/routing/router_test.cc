#include "kumquatgauge/routing/router.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <string>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::routing {
namespace {

const ServiceName kService("chat");

// Returns the id of the chosen replica.
auto Name(const RouteChoice& choice) -> std::string {
  return choice.replica.value_or(Replica()).id.value();
}

struct Fixture {
  explicit Fixture(RouterSettings settings = {})
      : router(ZoneName("a"), settings, clock.AsHook(), [this] {
          return random();
        }) {}

  auto Set(const std::vector<std::pair<std::string, std::string>>& list)
      -> void {
    replicas.clear();
    for (const auto& [name, zone] : list) {
      Replica replica;
      replica.id = ReplicaId(name);
      replica.service = kService;
      replica.zone = ZoneName(zone);
      replica.capacity = 10;
      replicas.push_back(replica);
    }
    router.SetReplicas(replicas);
  }
  auto Load(const std::string& name,
            std::uint32_t online,
            std::uint32_t slots = 0) -> void {
    router.OnLoad({.replica = ReplicaId(name),
                   .online_in_flight = online,
                   .limit = 10,
                   .free_batch_slots = slots});
  }
  // Counts how often each replica is chosen.
  auto Count(int choices, RouteRequest request = {}) {
    std::map<std::string, int> counts;
    request.service = kService;
    for (int index = 0; index < choices; ++index) {
      auto choice = router.Choose(request);
      ++counts[choice.replica ? choice.replica->id.value() : "none"];
    }
    return counts;
  }
  auto Choose(RouteRequest request = {}) -> RouteChoice {
    request.service = kService;
    return router.Choose(request);
  }
  auto ChooseForBatch(RouteRequest request = {}) -> RouteChoice {
    request.service = kService;
    return router.ChooseForBatch(request);
  }

  testing::ManualClock clock;
  std::mt19937_64 random{7};
  std::vector<Replica> replicas;
  Router router;
};

TEST_CASE("Router.ChoosesNothingForAnUnknownService") {
  Fixture fixture;
  auto choice = fixture.Choose();
  CHECK_FALSE(choice.replica);
  CHECK(choice.explanation.reason == RouteReason::kNoCandidate);
}

// leaving-upstream, and no second attempt at a replica that refused.
TEST_CASE("Router.ExcludesLeavingEjectedAndTriedReplicas") {
  Fixture fixture;
  fixture.Set({{"r1", "a"}, {"r2", "a"}, {"r3", "a"}, {"r4", "a"}});
  fixture.replicas[0].leaving = true;
  fixture.router.SetReplicas(fixture.replicas);
  fixture.router.SetEjection(ReplicaId("r2"), EjectionState::kEjected);
  RouteRequest request;
  request.tried = {ReplicaId("r3")};
  CHECK(fixture.Count(50, request) == std::map<std::string, int>{{"r4", 50}});
  auto explanation = fixture.Choose(request).explanation;
  CHECK(explanation.reason == RouteReason::kOnlyCandidate);
  CHECK(explanation.excluded_leaving == 1);
  CHECK(explanation.excluded_ejected == 1);
  CHECK(explanation.excluded_tried == 1);
}

TEST_CASE("Router.ChoosesTheLessLoadedOfTwo") {
  Fixture fixture;
  fixture.Set({{"r1", "a"}, {"r2", "a"}});
  fixture.Load("r1", 6);
  fixture.Load("r2", 2);
  auto choice = fixture.Choose();
  CHECK(Name(choice) == "r2");
  CHECK(choice.explanation.reason == RouteReason::kLessLoaded);
  CHECK(choice.explanation.compared.size() == 2);
}

// Guards against a thundering herd on the replica that reported the least load.
TEST_CASE("Router.CountsOwnSendsSinceTheReport") {
  Fixture fixture;
  fixture.Set({{"r1", "a"}, {"r2", "a"}});
  fixture.Load("r1", 4);
  fixture.Load("r2", 0);
  auto counts = fixture.Count(10);
  CHECK(counts["r2"] == 7);
  CHECK(counts["r1"] == 3);
}

TEST_CASE("Router.UsesAnotherZoneOnlyBeyondTheMargin") {
  Fixture fixture({.zone_margin = 0.25});
  fixture.Set({{"r1", "a"}, {"r2", "b"}});
  fixture.Load("r1", 2);
  fixture.Load("r2", 0);
  CHECK(Name(fixture.Choose()) == "r1");
  fixture.Load("r1", 3);
  auto choice = fixture.Choose();
  CHECK(Name(choice) == "r2");
  CHECK(choice.explanation.reason == RouteReason::kOtherZone);
}

TEST_CASE("Router.KeepsAPrefixOnOneReplicaWithinTheLoadBound") {
  Fixture fixture;
  fixture.Set({{"r1", "a"}, {"r2", "a"}, {"r3", "a"}, {"r4", "a"}});
  RouteRequest request;
  request.affinity = 42;
  auto first = fixture.Choose(request);
  CHECK(first.explanation.reason == RouteReason::kAffinity);
  for (const auto& replica : fixture.replicas) {
    fixture.Load(replica.id.value(), 4);
  }
  CHECK(fixture.Choose(request).replica == first.replica);
  // 8 is more than 1.25 times the mean of 5.
  fixture.Load(Name(first), 8);
  CHECK(fixture.Choose(request).replica != first.replica);
}

TEST_CASE("Router.GivesANewReplicaASlowStart") {
  Fixture fixture;
  fixture.Set({{"r1", "a"}, {"r2", "a"}});
  fixture.clock.Advance(std::chrono::seconds(1));
  fixture.Set({{"r1", "a"}, {"r2", "a"}, {"r3", "a"}});
  fixture.Load("r1", 3);
  fixture.Load("r2", 3);
  fixture.Load("r3", 0);
  // With its weight of 0.1, one request to r3 counts for more than four
  // requests to another replica.
  CHECK(fixture.Count(6)["r3"] == 0);
  fixture.clock.Advance(std::chrono::seconds(10));
  fixture.Load("r1", 3);
  fixture.Load("r2", 3);
  fixture.Load("r3", 0);
  CHECK(fixture.Count(6)["r3"] >= 2);
}

// Guards against nodes that all follow the same old report.
TEST_CASE("Router.TrustsAReportLessWithAge") {
  Fixture fixture({.zone_margin = 10.0});
  fixture.Set({{"r1", "a"}, {"r2", "a"}, {"r3", "b"}, {"r4", "b"}});
  fixture.Load("r1", 9);
  fixture.Load("r2", 8);
  CHECK(Name(fixture.Choose()) == "r2");
  fixture.clock.Advance(std::chrono::seconds(4));
  fixture.Load("r2", 8);
  fixture.Load("r3", 1);
  fixture.Load("r4", 1);
  // r1 was busier, but the mean is now low and that report is old.
  CHECK(Name(fixture.Choose()) == "r1");
}

// Guards against an entry node that spreads its requests over so many replicas
// that it never has a fresh report.
TEST_CASE("Router.DrawsCandidatesFromASubsetOfALargeZone") {
  Fixture fixture({.subset_size = 4});
  std::vector<std::pair<std::string, std::string>> list;
  list.reserve(40);
  for (int index = 0; index < 40; ++index) {
    list.emplace_back("r" + std::to_string(index), "a");
  }
  fixture.Set(list);
  CHECK(fixture.Count(200).size() == 4);
  RouteRequest request;
  for (const auto& [name, count] : fixture.Count(200)) {
    request.tried.push_back(ReplicaId(name));
  }
  CHECK(fixture.Choose(request).replica);
}

// Guards against excluding a replica indefinitely because its last report was
// high.
TEST_CASE("Router.IgnoresAStaleReport") {
  Fixture fixture;
  fixture.Set({{"r1", "a"}, {"r2", "a"}});
  fixture.Load("r1", 9);
  fixture.clock.Advance(std::chrono::seconds(6));
  fixture.Load("r2", 1);
  CHECK(fixture.Count(20)["r1"] >= 5);
}

TEST_CASE("Router.SendsOneProbePerProbingState") {
  Fixture fixture;
  fixture.Set({{"r1", "a"}, {"r2", "a"}});
  fixture.router.SetEjection(ReplicaId("r1"), EjectionState::kProbing);
  RouteRequest must_not_probe;
  must_not_probe.may_probe = false;
  CHECK(Name(fixture.Choose(must_not_probe)) == "r2");
  auto probe = fixture.Choose();
  CHECK(Name(probe) == "r1");
  CHECK(probe.explanation.reason == RouteReason::kProbe);
  CHECK(fixture.Count(20)["r1"] == 0);
}

TEST_CASE("Router.SendsBatchOnlyToReplicasWithFreeBatchSlots") {
  Fixture fixture;
  fixture.Set({{"r1", "a"}, {"r2", "b"}});
  fixture.Load("r1", 0, 0);
  fixture.Load("r2", 0, 2);
  CHECK(fixture.router.free_batch_slots(kService) == 2);
  CHECK(Name(fixture.ChooseForBatch()) == "r2");
  CHECK(Name(fixture.ChooseForBatch()) == "r2");
  auto choice = fixture.ChooseForBatch();
  CHECK_FALSE(choice.replica);
  CHECK(choice.explanation.excluded_full == 2);
}

// Guards against batch that never detects that slots are free again.
TEST_CASE("Router.SendsOneBatchItemAfterAStaleReport") {
  Fixture fixture;
  fixture.Set({{"r1", "a"}});
  fixture.Load("r1", 0, 0);
  fixture.clock.Advance(std::chrono::seconds(6));
  CHECK(fixture.ChooseForBatch().replica);
  CHECK_FALSE(fixture.ChooseForBatch().replica);
}

TEST_CASE("Router.SendsAnExclusiveItemToAReplicaWithoutBatch") {
  Fixture fixture;
  fixture.Set({{"r1", "a"}, {"r2", "a"}});
  fixture.router.OnLoad({.replica = ReplicaId("r1"),
                         .batch_in_flight = 2,
                         .limit = 10,
                         .free_batch_slots = 5});
  fixture.Load("r2", 0, 1);
  RouteRequest request;
  request.exclusive = true;
  CHECK(Name(fixture.ChooseForBatch(request)) == "r2");
}

}  // namespace
}  // namespace kumquatgauge::routing
