#include "kumquatgauge/serving/orphan_detector.h"

#include <catch2/catch.hpp>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const JobId kJob("job");

struct Fixture {
  auto IsOrphan(OwnerPresence owner, bool alone = false) -> bool {
    return detector.IsOrphan(kJob, owner, alone, clock.now());
  }

  testing::ManualClock clock;
  OrphanDetector detector{OrphanSettings()};
};

// Guards against jobs that are taken from an owner that lives, and against one
// whose former absence counts when it is absent again.
TEST_CASE("OrphanDetector.WaitsForAnOwnerThatIsUnknown") {
  auto fixture = Fixture();
  CHECK_FALSE(fixture.IsOrphan(OwnerPresence::kUnknown));
  fixture.clock.Advance(milliseconds(999));
  CHECK_FALSE(fixture.IsOrphan(OwnerPresence::kUnknown));
  CHECK_FALSE(fixture.IsOrphan(OwnerPresence::kLive));
  CHECK_FALSE(fixture.IsOrphan(OwnerPresence::kUnknown));
  fixture.clock.Advance(seconds(1));
  CHECK(fixture.IsOrphan(OwnerPresence::kUnknown));
  CHECK_FALSE(fixture.IsOrphan(OwnerPresence::kUnknown, true));
  CHECK_FALSE(fixture.IsOrphan(OwnerPresence::kLeaving));
  fixture.detector.RequestNextCheck(fixture.clock.now());
  CHECK(fixture.detector.next_scan() == fixture.clock.now() + seconds(1));
  fixture.clock.Advance(seconds(1));
  CHECK(fixture.IsOrphan(OwnerPresence::kUnknown, true));
  CHECK(fixture.IsOrphan(OwnerPresence::kLeaving));
  CHECK(Fixture().IsOrphan(OwnerPresence::kGone));
}

// Guards against a scan that each change of the members postpones, and against
// one scan, which lists all jobs, for each change.
TEST_CASE("OrphanDetector.ScansAtIntervalsWhileTheMembersChange") {
  auto fixture = Fixture();
  auto scans = 0;
  const auto began = fixture.clock.now();
  for (; fixture.clock.now() < began + seconds(5);
       fixture.clock.Advance(milliseconds(100))) {
    fixture.detector.OnMembersChanged(fixture.clock.now());
    if (fixture.detector.next_scan() <= fixture.clock.now()) {
      CHECK(fixture.detector.BeginScan(fixture.clock.now()));
      scans += 1;
      CHECK(fixture.clock.now() - began <=
            milliseconds(300) + seconds(scans - 1));
    }
  }
  CHECK(scans == 5);
}

}  // namespace
}  // namespace kumquatgauge::serving
