#include "kumquatgauge/serving/retry_after_estimator.h"

#include <catch2/catch.hpp>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("chat");
constexpr auto kHold = milliseconds(800);

struct Fixture {
  // Simulates a service that is full for `length` and then not for `free`.
  auto Step(Duration length, Duration free) -> void {
    const auto end = clock.now() + length;
    while (clock.now() < end) {
      estimator.OnFull(kService, clock.now());
      clock.Advance(milliseconds(100));
    }
    clock.Advance(free);
  }

  auto Window(Duration time_left) const -> RetryAfterEstimator::Window {
    return estimator.ReturnWindow(kService, clock.now(), kHold, time_left);
  }

  testing::ManualClock clock;
  RetryAfterEstimator estimator{RetryAfterEstimatorSettings()};
};

TEST_CASE("RetryAfterEstimator.ExpectsAHoldingTimeBeforeAnyStepWasSeen") {
  auto fixture = Fixture();
  fixture.estimator.OnFull(kService, fixture.clock.now());
  CHECK(fixture.Window(seconds(60)).earliest == kHold / 2);
  CHECK(fixture.Window(seconds(60)).latest == seconds(20));
}

// Load pattern: steps of 2.4 s over capacity, 3.4 s apart. Guards against
// callers that return within the step and are refused again.
TEST_CASE("RetryAfterEstimator.PointsPastTheEndOfTheStep") {
  auto fixture = Fixture();
  fixture.Step(milliseconds(2'400), milliseconds(3'400));
  fixture.Step(milliseconds(2'400), milliseconds(3'400));
  fixture.Step(milliseconds(1'000), milliseconds(0));
  const auto soonest = fixture.Window(seconds(60)).earliest;
  CHECK(soonest >= milliseconds(1'300));
  CHECK(soonest <= milliseconds(1'400));
}

// Guards against callers that are sent back within the step, as a whole holding
// time before their latest time would be, though they can wait for its end.
TEST_CASE("RetryAfterEstimator.ReachesPastTheStepWhereTheCallerCanWait") {
  auto fixture = Fixture();
  fixture.Step(milliseconds(2'400), milliseconds(3'400));
  fixture.Step(milliseconds(2'000), milliseconds(0));
  const auto window = fixture.Window(milliseconds(1'800));
  CHECK(window.earliest >= milliseconds(300));
  CHECK(window.earliest <= milliseconds(400));
  CHECK(window.latest == milliseconds(600));
}

// Guards against a retry time at which callers have already given up.
TEST_CASE("RetryAfterEstimator.IsAtMostAThirdOfTheTimeLeft") {
  auto fixture = Fixture();
  fixture.Step(seconds(30), seconds(5));
  fixture.estimator.OnFull(kService, fixture.clock.now());
  CHECK(fixture.Window(milliseconds(4'500)).latest == milliseconds(1'500));
  CHECK(fixture.Window(milliseconds(4'500)).earliest < milliseconds(1'500));
}

// Covers a step that lasts longer than earlier ones, so that its expected end
// has passed.
TEST_CASE("RetryAfterEstimator.ExpectsAHoldingTimeOnceAStepOutlastsTheOthers") {
  auto fixture = Fixture();
  fixture.Step(seconds(1), seconds(5));
  fixture.Step(seconds(3), seconds(0));
  CHECK(fixture.Window(seconds(60)).earliest == kHold / 2);
}

// Guards against callers that come back before a limited replica takes another
// request, or all at the same moment.
TEST_CASE("RetryAfterEstimator.SpreadsCallersAfterTheNextStart") {
  const auto estimator = RetryAfterEstimator(RetryAfterEstimatorSettings());
  const auto after = [&](Duration next_start, double draw) {
    return estimator.RetryAfterStart(next_start, seconds(3), draw);
  };
  CHECK(after(milliseconds(200), 0.0) == milliseconds(200));
  CHECK(after(milliseconds(200), 0.5) == milliseconds(600));
  CHECK(after(seconds(60), 0.0) == seconds(1));
}

}  // namespace
}  // namespace kumquatgauge::serving
