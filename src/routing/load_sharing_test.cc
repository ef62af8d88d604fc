#include "kumquatgauge/routing/load_sharing.h"

#include <catch2/catch.hpp>
#include <string>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::routing {
namespace {

auto Load(const std::string& replica, std::uint32_t online) -> ReplicaLoad {
  return {
      .replica = ReplicaId(replica), .online_in_flight = online, .limit = 10};
}

struct Fixture {
  Fixture() {
    sharing.set_peers(4);
    clock.Advance(std::chrono::seconds(10));
    sharing.OnLoad(Load("r1", 0));
    clock.Advance(std::chrono::seconds(2));
  }

  testing::ManualClock clock;
  LoadSharing sharing{{.bytes_per_second = 1000.0, .bytes_per_message = 50},
                      clock.AsHook()};
};

TEST_CASE("LoadSharing.SendsOnlyAChangeBeyondTheThreshold") {
  Fixture fixture;
  CHECK(fixture.sharing.OnLoad(Load("r1", 1)).empty());
  CHECK(fixture.sharing.OnLoad(Load("r1", 2)).size() == 1);
  CHECK(fixture.sharing.OnLoad(Load("r1", 3)).empty());
}

TEST_CASE("LoadSharing.StaysWithinTheByteBudget") {
  Fixture fixture;
  std::size_t sent = 0;
  for (std::uint32_t step = 0; step < 1000; ++step) {
    sent += fixture.sharing.OnLoad(Load("r1", 5 * (step % 2))).size();
    fixture.clock.Advance(std::chrono::milliseconds(10));
  }
  // 200 bytes per load: 5 in a second, and 5 saved up.
  CHECK(sent <= 55);
  CHECK(sent >= 45);
}

TEST_CASE("LoadSharing.SendsTheLargestChangeFirstWhenTheBudgetIsShort") {
  Fixture fixture;
  for (const auto* name : {"r2", "r3"}) {
    fixture.sharing.OnLoad(Load(name, 0));
  }
  // With the two above, this spends the five loads saved up.
  for (std::uint32_t online : {9, 0, 9}) {
    REQUIRE(fixture.sharing.OnLoad(Load("r1", online)).size() == 1);
  }
  fixture.sharing.OnLoad(Load("r2", 4));
  fixture.sharing.OnLoad(Load("r3", 8));
  fixture.clock.Advance(std::chrono::milliseconds(200));
  auto loads = fixture.sharing.OnTick();
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].replica == ReplicaId("r3"));
}

// Guards against a lost datagram leaving peers with a wrong load for ever.
TEST_CASE("LoadSharing.RepeatsAnUnchangedLoad") {
  Fixture fixture;
  CHECK(fixture.sharing.OnTick().empty());
  fixture.clock.Advance(std::chrono::seconds(10));
  CHECK(fixture.sharing.OnTick().size() == 1);
}

}  // namespace
}  // namespace kumquatgauge::routing
