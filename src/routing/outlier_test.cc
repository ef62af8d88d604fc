#include "kumquatgauge/routing/outlier.h"

#include <catch2/catch.hpp>
#include <string>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture {
  explicit Fixture(int count) : detector({}, clock.AsHook()) {
    for (int index = 0; index < count; ++index) {
      Replica replica;
      replica.id = Id(index);
      replica.service = ServiceName("chat");
      replicas.push_back(replica);
    }
    detector.SetReplicas(replicas);
  }

  static auto Id(int index) -> ReplicaId {
    return ReplicaId("r" + std::to_string(index));
  }
  auto Fail(int index, int times) -> void {
    for (int time = 0; time < times; ++time) {
      detector.OnFailure(Id(index));
    }
  }
  auto state(int index) const -> EjectionState {
    return detector.state(Id(index));
  }
  auto Ejected() const -> int {
    int ejected = 0;
    for (const auto& replica : replicas) {
      ejected += detector.state(replica.id) == EjectionState::kEjected ? 1 : 0;
    }
    return ejected;
  }

  testing::ManualClock clock;
  std::vector<Replica> replicas;
  OutlierDetector detector;
};

TEST_CASE("OutlierDetector.EjectsAfterFailuresInARow") {
  Fixture fixture(5);
  fixture.Fail(0, 4);
  fixture.detector.OnSuccess(Fixture::Id(0), milliseconds(10));
  fixture.Fail(0, 4);
  CHECK(fixture.state(0) == EjectionState::kInUse);
  fixture.Fail(0, 1);
  CHECK(fixture.state(0) == EjectionState::kEjected);
}

// Guards against ejecting all replicas of a service for a common fault.
TEST_CASE("OutlierDetector.EjectsAtMostAFifthAndOneOfAFew") {
  auto [count, allowed] = GENERATE(table<int, int>(
      {{1, 0}, {2, 1}, {4, 1}, {9, 1}, {10, 2}, {18, 3}, {20, 4}}));
  Fixture fixture(count);
  for (int index = 0; index < count; ++index) {
    fixture.Fail(index, 10);
  }
  CAPTURE(count);
  CHECK(fixture.Ejected() == allowed);
}

TEST_CASE("OutlierDetector.EjectsAReplicaFarSlowerThanTheMedian") {
  Fixture fixture(6);
  for (int sample = 0; sample < 12; ++sample) {
    for (int index = 0; index < 6; ++index) {
      fixture.detector.OnSuccess(Fixture::Id(index),
                                 milliseconds(index == 3 ? 1000 : 100));
    }
  }
  auto changes = fixture.detector.OnTick();
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].replica == Fixture::Id(3));
  CHECK(changes[0].state == EjectionState::kEjected);
}

TEST_CASE("OutlierDetector.ReturnsAReplicaAfterGoodProbes") {
  Fixture fixture(5);
  fixture.Fail(0, 5);
  fixture.clock.Advance(seconds(4));
  CHECK(fixture.detector.OnTick().empty());
  fixture.clock.Advance(seconds(1));
  CHECK(fixture.detector.OnTick().size() == 1);
  CHECK(fixture.state(0) == EjectionState::kProbing);
  fixture.detector.OnSuccess(Fixture::Id(0), milliseconds(10));
  auto changes = fixture.detector.OnSuccess(Fixture::Id(0), milliseconds(10));
  // Each successful probe requests the next one.
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].state == EjectionState::kProbing);
  fixture.detector.OnSuccess(Fixture::Id(0), milliseconds(10));
  CHECK(fixture.state(0) == EjectionState::kInUse);
}

TEST_CASE("OutlierDetector.EjectsForLongerAfterAFailedProbe") {
  Fixture fixture(5);
  fixture.Fail(0, 5);
  fixture.clock.Advance(seconds(5));
  fixture.detector.OnTick();
  fixture.Fail(0, 1);
  CHECK(fixture.state(0) == EjectionState::kEjected);
  fixture.clock.Advance(seconds(9));
  fixture.detector.OnTick();
  CHECK(fixture.state(0) == EjectionState::kEjected);
  fixture.clock.Advance(seconds(1));
  fixture.detector.OnTick();
  CHECK(fixture.state(0) == EjectionState::kProbing);
}

// Guards against a replica that stays ejected because the caller of its probe
// went away.
TEST_CASE("OutlierDetector.AsksForAnotherProbeWhenOneHasNoResult") {
  Fixture fixture(5);
  fixture.Fail(0, 5);
  fixture.clock.Advance(seconds(5));
  fixture.detector.OnTick();
  fixture.clock.Advance(seconds(5));
  auto changes = fixture.detector.OnTick();
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].state == EjectionState::kProbing);
}

}  // namespace
}  // namespace kumquatgauge::routing
