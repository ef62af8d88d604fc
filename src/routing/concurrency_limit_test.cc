#include "kumquatgauge/routing/concurrency_limit.h"

#include <catch2/catch.hpp>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::routing {
namespace {

using std::chrono::milliseconds;

struct Fixture {
  // Records one window of samples with this time between tokens.
  auto Window(milliseconds gap, std::uint32_t running) -> void {
    limit.OnRunning(running);
    for (int sample = 0; sample < 20; ++sample) {
      clock.Advance(milliseconds(25));
      limit.OnInterToken(gap);
    }
  }

  testing::ManualClock clock;
  ConcurrencyLimit limit{{.initial = 20, .max = 20, .max_tokens = 1000},
                         clock.AsHook()};
};

TEST_CASE("ConcurrencyLimit.FallsWhileTokensAreLateAndRisesAfterwards") {
  Fixture fixture;
  fixture.Window(milliseconds(60), 20);
  CHECK(fixture.limit.limit() == 17);
  fixture.Window(milliseconds(60), 17);
  CHECK(fixture.limit.limit() < 17);
  for (int window = 0; window < 10; ++window) {
    fixture.Window(milliseconds(40), fixture.limit.limit());
  }
  CHECK(fixture.limit.limit() == 20);
}

// Guards against a limit that grows during light traffic and then admits a
// burst at a level whose latency was never measured.
TEST_CASE("ConcurrencyLimit.DoesNotRiseWhileItIsNotReached") {
  Fixture fixture;
  fixture.Window(milliseconds(60), 20);
  fixture.Window(milliseconds(40), 3);
  CHECK(fixture.limit.limit() == 17);
}

TEST_CASE("ConcurrencyLimit.AllowsAFewLateSamples") {
  Fixture fixture;
  fixture.limit.OnRunning(20);
  fixture.limit.OnInterToken(milliseconds(300));
  fixture.Window(milliseconds(40), 20);
  CHECK(fixture.limit.limit() == 20);
}

TEST_CASE("ConcurrencyLimit.FallsOnLateFirstTokens") {
  Fixture fixture;
  for (int sample = 0; sample < 10; ++sample) {
    fixture.clock.Advance(milliseconds(100));
    fixture.limit.OnFirstToken(milliseconds(900));
  }
  CHECK(fixture.limit.limit() < 20);
}

TEST_CASE("ConcurrencyLimit.NeverFallsBelowOne") {
  Fixture fixture;
  for (int refusal = 0; refusal < 100; ++refusal) {
    fixture.limit.OnRefusal();
  }
  CHECK(fixture.limit.limit() == 1);
}

TEST_CASE("ConcurrencyLimit.BoundsTokensButRunsAnOversizedRequestAlone") {
  Fixture fixture;
  CHECK(fixture.limit.HasTokenCapacity(600, 400));
  CHECK_FALSE(fixture.limit.HasTokenCapacity(601, 400));
  CHECK(fixture.limit.HasTokenCapacity(0, 5000));
}

TEST_CASE("ConcurrencyLimit.FollowsTheCapacityThatTheEngineReports") {
  Fixture fixture;
  fixture.limit.set_max(8);
  CHECK(fixture.limit.limit() == 8);
  fixture.limit.set_max(16);
  CHECK(fixture.limit.limit() == 16);
}

}  // namespace
}  // namespace kumquatgauge::routing
