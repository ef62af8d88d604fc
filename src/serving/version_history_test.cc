#include "kumquatgauge/serving/version_history.h"

#include <catch2/catch.hpp>

#include "testing/support/manual_clock.h"
#include "testing/support/version_replicas.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::seconds;

const ServiceName kService("chat");
constexpr seconds kLife{10};

auto Replicas(const std::vector<std::string>& versions)
    -> std::vector<routing::Replica> {
  return testing::ReplicasOfVersions(kService, versions);
}

struct Fixture {
  testing::ManualClock clock;
  VersionHistory history{clock.AsHook()};
};

// Guards against a stream that goes on at a guess while two versions serve, or
// so soon after one of them has gone that it may have begun the stream.
TEST_CASE("VersionHistory.KnowsNoSoleVersionUntilOthersAreLongGone") {
  auto fixture = Fixture();
  fixture.history.SetReplicas(Replicas({"v1", "v1"}));
  fixture.clock.Advance(kLife);
  CHECK(fixture.history.SoleVersion(kService, kLife) == "v1");
  fixture.history.SetReplicas(Replicas({"v1", "v2"}));
  CHECK_FALSE(fixture.history.SoleVersion(kService, kLife));
  fixture.clock.Advance(seconds(100));
  CHECK_FALSE(fixture.history.SoleVersion(kService, kLife));
  fixture.history.SetReplicas(Replicas({"v2"}));
  fixture.clock.Advance(kLife);
  CHECK_FALSE(fixture.history.SoleVersion(kService, kLife));
  fixture.clock.Advance(seconds(1));
  CHECK(fixture.history.SoleVersion(kService, kLife) == "v2");
}

// Guards against a guess by a node that has just started, and does not know
// which versions there were before.
TEST_CASE("VersionHistory.KnowsNoSoleVersionBeforeItHasWatchedLongEnough") {
  auto fixture = Fixture();
  fixture.history.SetReplicas(Replicas({"v1"}));
  fixture.clock.Advance(kLife - seconds(1));
  CHECK_FALSE(fixture.history.SoleVersion(kService, kLife));
  CHECK_FALSE(fixture.history.SoleVersion(ServiceName("other"), kLife));
}

// Guards against replicas without a version that are taken for any version.
TEST_CASE("VersionHistory.CountsNoVersionAsAVersionOfItsOwn") {
  auto fixture = Fixture();
  fixture.history.SetReplicas(Replicas({"", "v1"}));
  fixture.clock.Advance(kLife);
  CHECK_FALSE(fixture.history.SoleVersion(kService, kLife));
  fixture.history.SetReplicas(Replicas({""}));
  fixture.clock.Advance(kLife + seconds(1));
  CHECK(fixture.history.SoleVersion(kService, kLife) == "");
}

}  // namespace
}  // namespace kumquatgauge::serving
