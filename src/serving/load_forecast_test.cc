#include "kumquatgauge/serving/load_forecast.h"

#include <catch2/catch.hpp>
#include <random>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("chat");

struct Fixture {
  // Samples a level for some time, with random fluctuations.
  auto Sample(double level, Duration length) -> void {
    for (const auto end = clock.now() + length; clock.now() < end;) {
      clock.Advance(milliseconds(25));
      const auto noise = std::normal_distribution(0.0, 2.0)(random);
      forecast.OnSample(
          kService, static_cast<std::uint32_t>(std::max(0.0, level + noise)),
          clock.now());
    }
  }

  auto SamplePattern(int periods) -> void {
    for (auto period = 0; period < periods; ++period) {
      Sample(45, milliseconds(2'400 + random() % 1'000));
      Sample(9, milliseconds(2'400 + random() % 1'000));
    }
  }

  auto Outlook() const -> LoadForecast::Outlook {
    return forecast.OutlookOf(kService, clock.now());
  }

  testing::ManualClock clock;
  std::mt19937_64 random{7};
  LoadForecast forecast{LoadForecastSettings()};
};

// Guards against items that are started shortly before a peak.
TEST_CASE("LoadForecast.PredictsTheNextRiseOfAPattern") {
  auto fixture = Fixture();
  fixture.SamplePattern(5);
  fixture.Sample(45, seconds(3));
  CHECK_FALSE(fixture.Outlook().rise);
  CHECK(fixture.Outlook().regular);
  fixture.Sample(9, seconds(1));
  const auto rise = fixture.Outlook().rise;
  REQUIRE(rise);
  CHECK(rise->until >= milliseconds(1'300));
  CHECK(rise->until <= milliseconds(2'400));
  CHECK(rise->slots == Approx(45).margin(3));
  const auto needed = [&](Duration horizon) {
    return fixture.Outlook().NeededSlots(horizon);
  };
  CHECK(needed(seconds(1)) < 20);
  CHECK(needed(milliseconds(2'400)) > 40);
}

// Guards against a change for loads without a pattern: the present load counts.
TEST_CASE("LoadForecast.KeepsToThePresentLoadWithoutAPattern") {
  auto fixture = Fixture();
  const auto check = [&] {
    CHECK_FALSE(fixture.Outlook().regular);
    CHECK_FALSE(fixture.Outlook().rise);
  };
  fixture.Sample(30, seconds(60));
  check();
  // Steps of one kind last from 1.5 to 9 s.
  for (const auto length : {2, 9, 3, 8, 2, 9}) {
    fixture.Sample(60, milliseconds(length * 1'000));
    fixture.Sample(10, milliseconds(length * 900));
  }
  check();
  // Levels without order.
  for (const auto level : {10, 80, 20, 50, 5, 30, 90, 12, 45, 100, 10}) {
    fixture.Sample(level, seconds(3));
  }
  check();
  CHECK(fixture.Outlook().NeededSlots(seconds(1)) < 20);
}

// Guards against a peak that is expected for ever after the load became steady,
// and against steps across a time in which this node did not run.
TEST_CASE("LoadForecast.ForgetsAPatternThatEnds") {
  auto fixture = Fixture();
  fixture.SamplePattern(5);
  SECTION("the load stays") {
    fixture.Sample(9, seconds(6));
  }
  SECTION("samples are missing") {
    fixture.clock.Advance(seconds(2));
    fixture.Sample(9, seconds(1));
  }
  CHECK_FALSE(fixture.Outlook().rise);
}

}  // namespace
}  // namespace kumquatgauge::serving
