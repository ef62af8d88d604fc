#include "kumquatgauge/serving/work_shares.h"

#include <catch2/catch.hpp>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const OrganisationName kLarge("large");
const OrganisationName kSmall("small");
const OrganisationName kOther("other");

// Guards against a burst of some seconds that counts as the usual load, and
// against organisations that are kept for ever.
TEST_CASE("WorkShares.LearnsTheUsualLoadAndForgetsIt") {
  auto clock = testing::ManualClock();
  auto shares = WorkShares();
  CHECK(shares.Weight(kLarge) == 1.0);
  const auto run = [&](Duration time, int of_small) {
    for (const auto end = clock.now() + time; clock.now() < end;
         clock.Advance(milliseconds(500))) {
      shares.OnRequest(kLarge, 800, clock.now());
      shares.OnRequest(kOther, 200, clock.now());
      for (auto i = 0; i < of_small; ++i) {
        shares.OnRequest(kSmall, 200, clock.now());
      }
    }
  };
  run(seconds(180), 1);
  CHECK(shares.Weight(kLarge) == Approx(2.0));
  CHECK(shares.Weight(kSmall) == 1.0);
  CHECK(shares.typical() == Approx(400.0));
  // Of 7.5 times the usual load, which would be a weight of 1.8.
  run(seconds(5), 8);
  CHECK(shares.Weight(kSmall) == 1.0);
  clock.Advance(seconds(1'200));
  shares.OnRequest(kOther, 200, clock.now());
  shares.OnRequest(kOther, 200, clock.now());
  CHECK(shares.organisations() == 1);
}

}  // namespace
}  // namespace kumquatgauge::serving
