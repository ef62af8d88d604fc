#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <string>

#include "kumquatgauge/serving/load_balancer.h"
#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using routing::Replica;
using routing::WorkClass;
using std::chrono::milliseconds;

const ServiceName kService("chat");
constexpr std::uint32_t kSlots = 8;

auto MakeReplica(const std::string& id, const std::string& zone) -> Replica {
  auto replica = Replica();
  replica.id = ReplicaId(id);
  replica.service = kService;
  replica.address = "10.0.0.1:" + id.substr(1);
  replica.zone = ZoneName(zone);
  replica.capacity = kSlots;
  replica.version = "of " + zone;
  return replica;
}

struct Fixture {
  explicit Fixture(std::size_t replicas_per_zone = 2) {
    auto replicas = std::vector<Replica>();
    for (const auto* zone : {"a", "b", "c"}) {
      for (std::size_t number = 0; number < replicas_per_zone; ++number) {
        replicas.push_back(MakeReplica(zone + std::to_string(number), zone));
      }
    }
    balancer.SetReplicas(replicas);
    balancer.OnHoldingTime(kService, milliseconds(400));
  }

  static auto Request(WorkClass work_class = WorkClass::kOnline)
      -> ChoiceRequest {
    auto request = ChoiceRequest();
    request.service = kService;
    request.work_class = work_class;
    request.latency_target = milliseconds(300);
    return request;
  }

  // Returns the zone that a request was sent to; empty if there is no slot.
  auto Send(const ChoiceRequest& request = Request()) -> std::string {
    const auto choice = balancer.Choose(request);
    if (!choice.replica || choice.availability == Availability::kFull) {
      return {};
    }
    balancer.OnStarted(choice.replica->id, request.work_class);
    return choice.replica->zone.value();
  }

  auto SendMany(std::uint32_t requests)
      -> std::map<std::string, std::uint32_t> {
    auto zones = std::map<std::string, std::uint32_t>();
    for (auto request = 0U; request < requests; ++request) {
      ++zones[Send()];
    }
    return zones;
  }

  testing::ManualClock clock;
  std::mt19937_64 random{7};
  LoadBalancer balancer{LoadBalancerSettings(), ZoneName("a"), clock.AsHook(),
                        [this] { return random(); }};
};

// Guards against a changed choice in deployments without the settings: another
// zone is used as soon as it is less busy by more than the margin.
TEST_CASE("LoadBalancerZones.KeepsTheMarginWithoutCosts") {
  auto fixture = Fixture();
  // One request on each replica of the zone, then one on each of the others.
  const auto zones = fixture.SendMany(6);
  CHECK(zones ==
        std::map<std::string, std::uint32_t>{{"a", 2}, {"b", 2}, {"c", 2}});
  CHECK(fixture.balancer.zone_policy() == nullptr);
}

// Load: the zone has 16 slots and gets 11 requests, then many more.
TEST_CASE("LoadBalancerZones.StaysWhileThereIsRoomAndLeavesWhenThereIsNone") {
  auto fixture = Fixture();
  fixture.balancer.SetZoneCosts(ZoneCosts{1.4, 20.0});
  CHECK(fixture.SendMany(11)["a"] == 11);
  const auto zones = fixture.SendMany(3 * 2 * kSlots - 11);
  // Every slot is used before any request queues.
  CHECK(zones == std::map<std::string, std::uint32_t>{
                     {"a", 5}, {"b", 2 * kSlots}, {"c", 2 * kSlots}});
}

// Load: the costs are so high that leaving never pays. Guards against refusals
// while other zones have slots.
TEST_CASE("LoadBalancerZones.LeavesRatherThanRefuses") {
  auto fixture = Fixture();
  fixture.balancer.SetZoneCosts(ZoneCosts{10'000.0, 0.0});
  auto first_left = 0U;
  while (fixture.Send() == "a") {
    ++first_left;
  }
  // 0.4 of 300 ms, and one of 8 slots becomes free every 50 ms: two queue at
  // each replica.
  CHECK(first_left == 2 * (kSlots + 2));
}

// Guards against batch items that queue in a full zone although they only take
// free slots.
TEST_CASE("LoadBalancerZones.BatchItemsTakeFreeSlotsOfOtherZones") {
  auto fixture = Fixture();
  fixture.balancer.SetZoneCosts(ZoneCosts{10'000.0, 0.0});
  const auto item = Fixture::Request(WorkClass::kBatch);
  for (auto slot = 0U; slot < 2 * kSlots; ++slot) {
    REQUIRE(fixture.Send(item) == "a");
  }
  CHECK(fixture.Send(item) != "a");
}

// Guards against streams that fail because only replicas of another zone can go
// on with them.
TEST_CASE("LoadBalancerZones.GoesOnWithAStreamInAnotherZone") {
  auto fixture = Fixture();
  fixture.balancer.SetZoneCosts(ZoneCosts{1.4, 20.0});
  auto request = Fixture::Request();
  request.version = "of b";
  CHECK(fixture.Send(request) == "b");
}

// A zone whose replicas are all gone, and one whose replicas take no
// connection.
TEST_CASE("LoadBalancerZones.LeavesAZoneWithoutUsableReplicas") {
  auto fixture = Fixture();
  fixture.balancer.SetZoneCosts(ZoneCosts{1.4, 20.0});
  fixture.balancer.MarkGone(ReplicaId("a0"));
  fixture.balancer.OnUnreachable(ReplicaId("a1"));
  CHECK_FALSE(fixture.SendMany(6).contains("a"));
  fixture.clock.Advance(LoadBalancerSettings().unreachable_time);
  CHECK(fixture.SendMany(3)["a"] == 3);
}

// Guards against room that the counts claim at replicas that have just refused
// a request, when the counts of other gateways are lost.
TEST_CASE("LoadBalancerZones.CountsReplicasThatRefuseAsFull") {
  auto fixture = Fixture();
  fixture.balancer.SetZoneCosts(ZoneCosts{1.4, 20.0});
  fixture.balancer.OnRefused(ReplicaId("a0"));
  fixture.balancer.OnRefused(ReplicaId("a1"));
  CHECK_FALSE(fixture.SendMany(4).contains("a"));
}

// Load: 16 replicas in each zone, four cells, so that a cell has some in each
// zone. Guards against a decision by replicas that this gateway does not use.
TEST_CASE("LoadBalancerZones.DecidesByTheReplicasOfItsCell") {
  constexpr std::size_t kPerZone = 16;
  constexpr std::size_t kCells = 4;
  for (std::size_t cell = 0; cell < kCells; ++cell) {
    auto fixture = Fixture(kPerZone);
    fixture.balancer.SetCell(cell, kCells);
    fixture.balancer.SetZoneCosts(ZoneCosts{1.4, 20.0});
    auto used = std::set<std::string>();
    auto stayed = 0U;
    const auto slots = fixture.balancer.slots(kService);
    CHECK(slots == 3 * kPerZone / kCells * kSlots);
    auto left = 0U;
    for (auto request = 0U; request < slots; ++request) {
      const auto choice = fixture.balancer.Choose(Fixture::Request());
      REQUIRE(choice.replica);
      REQUIRE(choice.availability == Availability::kFree);
      fixture.balancer.OnStarted(choice.replica->id, WorkClass::kOnline);
      if (choice.replica->zone == ZoneName("a")) {
        used.insert(choice.replica->id.value());
        ++stayed;
        // At most a quarter of the zone's slots were free when others left.
        CHECK((left == 0 || stayed > 0.75 * kSlots * used.size()));
      } else {
        ++left;
      }
    }
    CHECK(stayed == used.size() * kSlots);
    CHECK(used.size() < kPerZone);
  }
}

}  // namespace
}  // namespace kumquatgauge::serving
