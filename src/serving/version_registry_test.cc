#include "kumquatgauge/serving/version_registry.h"

#include <catch2/catch.hpp>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/serving/stream_records.h"
#include "testing/support/manual_clock.h"
#include "testing/support/version_replicas.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("chat");
// The longest time limit of a stream on the users' sheets. Callers take up
// streams within it.
constexpr seconds kLongestTimeLimit{5};

auto Replicas(const std::vector<std::string>& versions)
    -> std::vector<routing::Replica> {
  return testing::ReplicasOfVersions(kService, versions);
}

struct Fixture {
  testing::ManualClock clock;
  VersionRegistry registry{clock.AsHook()};

  // Lets time pass with the ticks of a node that runs.
  auto Run(Duration time) -> void {
    for (auto passed = Duration::zero(); passed < time; passed += seconds(1)) {
      clock.Advance(seconds(1));
      registry.OnTick();
    }
  }
};

// Guards against a stream that begins at a new version while other nodes still
// take the service to have had one version only.
TEST_CASE("VersionRegistry.UsesNoReplicaBeforeItsVersionIsRegistered") {
  auto fixture = Fixture();
  auto& registry = fixture.registry;
  const auto replicas = Replicas({"v1", "v2"});
  registry.SetReplicas(replicas);
  CHECK(registry.Usable(replicas).empty());
  CHECK(registry.Unregistered() == std::vector<ServiceName>{kService});
  CHECK(registry.OnRegistered(kService, {"v1"}));
  CHECK(registry.Usable(replicas) ==
        std::vector<routing::Replica>{replicas.front()});
  CHECK(registry.OnRegistered(kService, {"v2"}));
  CHECK(registry.Usable(replicas) == replicas);
  CHECK(registry.Unregistered().empty());
  CHECK_FALSE(registry.OnRegistered(kService, {"v1", "v2"}));
}

// Guards against a service that ends because the store takes no writes.
TEST_CASE("VersionRegistry.UsesUnregisteredReplicasIfNoneElseAreLeftForLong") {
  auto fixture = Fixture();
  auto& registry = fixture.registry;
  registry.SetReplicas(Replicas({"v2"}));
  fixture.Run(kMaxRegistrationWait);
  CHECK(registry.Usable(Replicas({"v2"})).empty());
  fixture.Run(seconds(1));
  CHECK(registry.Usable(Replicas({"v2"})).size() == 1);
  registry.OnRegistered(kService, {"v1"});
  registry.SetReplicas(Replicas({"v1", "v2"}));
  CHECK(registry.Usable(Replicas({"v1", "v2"})).size() == 1);
}

// Guards against streams that are not recorded while two versions serve, or
// just after one of them has left.
TEST_CASE("VersionRegistry.KnowsSeveralVersionsUntilOthersAreLongGone") {
  auto fixture = Fixture();
  auto& registry = fixture.registry;
  registry.SetReplicas(Replicas({"v1"}));
  registry.OnRegistered(kService, {"v1"});
  CHECK_FALSE(registry.HasSeveral(kService));
  registry.SetReplicas(Replicas({"v1", "v2"}));
  CHECK(registry.HasSeveral(kService));
  registry.OnRegistered(kService, {"v2"});
  registry.SetReplicas(Replicas({"v2"}));
  fixture.Run(kRegistrationTime - seconds(1));
  CHECK(registry.HasSeveral(kService));
  CHECK_FALSE(registry.Remaining(kService));
  fixture.Run(kVersionRetention);
  CHECK(registry.Remaining(kService) == "v2");
  registry.OnStored(kService, {{"v2"}, 2});
  CHECK_FALSE(registry.HasSeveral(kService));
}

// Guards against streams that nobody can take up, since their node records no
// versions any more while the store still holds several: the node that removes
// them may see them go later, or the store may take no writes.
TEST_CASE("VersionRegistry.KnowsSeveralVersionsWhileTheStoreHoldsThem") {
  auto fixture = Fixture();
  auto& registry = fixture.registry;
  registry.SetReplicas(Replicas({"v1", "v2"}));
  registry.OnRegistered(kService, {"v1", "v2"});
  registry.SetReplicas(Replicas({"v2"}));
  for (auto passed = Duration::zero(); passed < 3 * kVersionRetention;
       passed += seconds(1)) {
    fixture.Run(seconds(1));
    REQUIRE(registry.HasSeveral(kService));
  }
  CHECK(registry.FindRemovable() == kService);
  CHECK(registry.OnStoredElsewhere(kService, {{"v2"}, 2}));
  CHECK_FALSE(registry.HasSeveral(kService));
  CHECK_FALSE(registry.FindRemovable());
}

// Guards against nodes that tell each other of the same removal without end,
// because each still takes the removed version for registered.
TEST_CASE("VersionRegistry.TakesARemovalForNewsOnce") {
  auto fixture = Fixture();
  auto& registry = fixture.registry;
  registry.OnRegistered(kService, {"v1", "v2"});
  CHECK(registry.OnStoredElsewhere(kService, {{"v2"}, 2}));
  CHECK_FALSE(registry.OnRegistered(kService, {"v1", "v2"}));
  CHECK_FALSE(registry.OnStoredElsewhere(kService, {{"v2"}, 2}));
}

// Guards against news of a removal that arrives after a version has returned.
TEST_CASE("VersionRegistry.IgnoresOutdatedNewsOfWhatTheStoreHolds") {
  auto fixture = Fixture();
  auto& registry = fixture.registry;
  registry.SetReplicas(Replicas({"v2"}));
  CHECK(registry.OnStoredElsewhere(kService, {{"v1", "v2"}, 3}));
  CHECK_FALSE(registry.OnStoredElsewhere(kService, {{"v2"}, 2}));
  CHECK(registry.HasSeveral(kService));
  // It says nothing about the replicas that may be used.
  CHECK(registry.Usable(Replicas({"v2"})).empty());
}

// Guards against streams that are refused because the store names a version
// that left for the second time.
TEST_CASE("VersionRegistry.FindsAVersionToRemoveEachTimeItHasLeft") {
  auto fixture = Fixture();
  auto& registry = fixture.registry;
  registry.SetReplicas(Replicas({"v1"}));
  registry.OnRegistered(kService, {"v1"});
  for (auto time = 0; time < 2; ++time) {
    CAPTURE(time);
    registry.SetReplicas(Replicas({"v1", "v2"}));
    registry.OnRegistered(kService, {"v1", "v2"});
    CHECK_FALSE(registry.FindRemovable());
    registry.SetReplicas(Replicas({"v1"}));
    fixture.Run(kVersionRetention + seconds(2));
    CHECK(registry.FindRemovable() == kService);
    registry.OnStored(kService, {{"v1"}, 0});
    CHECK_FALSE(registry.FindRemovable());
  }
}

// Guards against replicas that are used although the object with their version
// was removed.
TEST_CASE("VersionRegistry.RegistersAVersionAgainThatTheStoreLacks") {
  auto fixture = Fixture();
  auto& registry = fixture.registry;
  registry.SetReplicas(Replicas({"v1"}));
  registry.OnRegistered(kService, {"v1"});
  registry.OnStored(kService, {{}, 0});
  CHECK(registry.Unregistered() == std::vector<ServiceName>{kService});
  CHECK(registry.Usable(Replicas({"v1"})).empty());
}

// Guards against an old version that comes back and is used at once by a node
// that still knows it, while the store holds it no more.
TEST_CASE("VersionRegistry.RegistersAVersionAgainThatWasGone") {
  auto fixture = Fixture();
  auto& registry = fixture.registry;
  registry.OnRegistered(kService, {"v1", "v2"});
  registry.SetReplicas(Replicas({"v1", "v2"}));
  registry.SetReplicas(Replicas({"v2"}));
  fixture.Run(kRegistrationTime + seconds(2));
  const auto replicas = Replicas({"v1", "v2"});
  registry.SetReplicas(replicas);
  CHECK(registry.Usable(replicas).size() == 1);
  CHECK(kRegistrationTime < kVersionRetention);
}

// Guards against a host that wakes, and uses replicas of a version that was
// removed from the store while it stood still.
TEST_CASE("VersionRegistry.ForgetsWhatWasRegisteredWhenItStoodStill") {
  auto fixture = Fixture();
  auto& registry = fixture.registry;
  registry.SetReplicas(Replicas({"v1"}));
  registry.OnRegistered(kService, {"v1"});
  registry.OnTick();
  fixture.clock.Advance(kMaxStandstill + milliseconds(1));
  registry.OnTick();
  CHECK(registry.Usable(Replicas({"v1"})).empty());
  CHECK(kMaxStandstill < kVersionRetention - kRegistrationTime);
}

TEST_CASE("VersionRegistry.KeepsVersionsLongerThanStreamsAreTakenUp") {
  CHECK(kVersionRetention > 2 * kLongestTimeLimit);
  CHECK(kStoredRecordTime > 2 * kLongestTimeLimit);
  CHECK(kOriginRetention > 2 * kLongestTimeLimit);
}

TEST_CASE("VersionRegistry.ReadsVersionsAsTheyWereWritten") {
  const auto versions = VersionSet{"", "v1", "v 2"};
  CHECK(DecodeVersions("k", EncodeVersions(versions)) == versions);
  CHECK_THROWS_AS(DecodeVersions("k", R"({"versions":5})"), Error);
  CHECK_THROWS_AS(DecodeVersions("k", "no json"), Error);
}

TEST_CASE("StreamRecords.AreReadAsTheyWereWritten") {
  const auto records =
      std::vector<StreamRecord>{{1, {kService, "v1"}},
                                {~StreamKey{0}, {kService, "v1"}},
                                {3, {kService, "v2"}}};
  CHECK(DecodeRecords("k", EncodeRecords(records)) == records);
  CHECK_THROWS_AS(DecodeRecords("k", R"({"streams":[[1]]})"), Error);
  CHECK_THROWS_AS(DecodeRecords("k", "no json"), Error);
}

// Guards against records that a restarted node overwrites, though callers may
// still take up the streams, and against an object that grows without end.
TEST_CASE("StreamRecords.KeepWhatAnEarlierStartStoredForSomeTime") {
  auto clock = testing::ManualClock();
  auto records = StreamRecords(clock.AsHook());
  records.Add({2, {kService, "v2"}});
  records.AddStored({{1, {kService, "v1"}}});
  CHECK(records.changed());
  CHECK(records.Take().size() == 2);
  CHECK_FALSE(records.changed());
  clock.Advance(kStoredRecordTime + seconds(1));
  CHECK(records.Take().empty());
}

// Guards against records that are handed over twice, or not at all because
// older ones have expired meanwhile.
TEST_CASE("StreamRecords.AreHandedOverOnce") {
  auto clock = testing::ManualClock();
  auto records = StreamRecords(clock.AsHook());
  const auto first = StreamRecord{1, {kService, "v1"}};
  const auto second = StreamRecord{2, {kService, "v2"}};
  records.Add(first);
  CHECK(records.TakeNew() == std::vector{first});
  CHECK(records.TakeNew().empty());
  clock.Advance(kStoredRecordTime);
  records.Add(second);
  clock.Advance(seconds(1));
  CHECK(records.TakeNew() == std::vector{second});
  CHECK(records.Take() == std::vector{second});
  records.Add(first);
  clock.Advance(kStoredRecordTime + seconds(1));
  CHECK(records.TakeNew().empty());
}

}  // namespace
}  // namespace kumquatgauge::serving
