#include "kumquatgauge/routing/load_publisher.h"

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
    publisher.set_peers(4);
    clock.Advance(std::chrono::seconds(10));
    publisher.OnLoad(Load("r1", 0));
    clock.Advance(std::chrono::seconds(2));
  }

  testing::ManualClock clock;
  LoadPublisher publisher{{.bytes_per_second = 1000.0, .bytes_per_message = 50},
                          clock.AsHook()};
};

TEST_CASE("LoadPublisher.SendsOnlyAChangeBeyondTheThreshold") {
  Fixture fixture;
  CHECK(fixture.publisher.OnLoad(Load("r1", 1)).empty());
  CHECK(fixture.publisher.OnLoad(Load("r1", 2)).size() == 1);
  CHECK(fixture.publisher.OnLoad(Load("r1", 3)).empty());
}

TEST_CASE("LoadPublisher.StaysWithinTheByteBudget") {
  Fixture fixture;
  std::size_t sent = 0;
  for (std::uint32_t step = 0; step < 1000; ++step) {
    sent += fixture.publisher.OnLoad(Load("r1", 5 * (step % 2))).size();
    fixture.clock.Advance(std::chrono::milliseconds(10));
  }
  // Each load costs 200 bytes: 5 per second, plus a burst of 5.
  CHECK(sent <= 55);
  CHECK(sent >= 45);
}

TEST_CASE("LoadPublisher.SendsTheLargestChangeFirstWhenTheBudgetIsShort") {
  Fixture fixture;
  for (const auto* name : {"r2", "r3"}) {
    fixture.publisher.OnLoad(Load(name, 0));
  }
  // Together with the two loads above, this uses up the burst of five.
  for (std::uint32_t online : {9, 0, 9}) {
    REQUIRE(fixture.publisher.OnLoad(Load("r1", online)).size() == 1);
  }
  fixture.publisher.OnLoad(Load("r2", 4));
  fixture.publisher.OnLoad(Load("r3", 8));
  fixture.clock.Advance(std::chrono::milliseconds(200));
  auto loads = fixture.publisher.OnTick();
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].replica == ReplicaId("r3"));
}

// Guards against a lost datagram leaving peers with a wrong load indefinitely.
TEST_CASE("LoadPublisher.RepeatsAnUnchangedLoad") {
  Fixture fixture;
  CHECK(fixture.publisher.OnTick().empty());
  fixture.clock.Advance(std::chrono::seconds(10));
  CHECK(fixture.publisher.OnTick().size() == 1);
}

}  // namespace
}  // namespace kumquatgauge::routing
