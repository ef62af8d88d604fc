#include "kumquatgauge/routing/batch_admission.h"

#include <catch2/catch.hpp>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::routing {
namespace {

using std::chrono::milliseconds;

auto MakeAdmission(testing::ManualClock& clock, BatchRule rule, double lean)
    -> BatchAdmission {
  BatchAdmissionSettings settings;
  settings.rule = rule;
  settings.lean = lean;
  return {settings, clock.AsHook()};
}

TEST_CASE("BatchAdmission.NeverAllowsMoreThanTheFreeSlots") {
  testing::ManualClock clock;
  for (auto rule :
       {BatchRule::kFixedShare, BatchRule::kIdleOnly, BatchRule::kFeedback}) {
    auto admission = MakeAdmission(clock, rule, 1.0);
    for (std::uint32_t online = 0; online <= 20; ++online) {
      admission.OnOnlineRequests(online);
      CHECK(admission.AdmissionLimit(16, online) <= 16 - std::min(16U, online));
    }
  }
}

TEST_CASE("BatchAdmission.FixedShareIgnoresIdleSlotsBeyondIt") {
  testing::ManualClock clock;
  auto admission = MakeAdmission(clock, BatchRule::kFixedShare, 0.5);
  CHECK(admission.AdmissionLimit(16, 0) == 8);
  CHECK(admission.AdmissionLimit(16, 12) == 4);
}

TEST_CASE("BatchAdmission.IdleOnlyReserveShrinksAsLeanGrows") {
  testing::ManualClock clock;
  CHECK(MakeAdmission(clock, BatchRule::kIdleOnly, 0.0).AdmissionLimit(16, 4) ==
        8);
  CHECK(MakeAdmission(clock, BatchRule::kIdleOnly, 1.0).AdmissionLimit(16, 4) ==
        12);
}

TEST_CASE("BatchAdmission.FeedbackFillsOnlyUpToHalfTheBusyLevelAtLeanZero") {
  testing::ManualClock clock;
  auto admission = MakeAdmission(clock, BatchRule::kFeedback, 0.0);
  for (int interval = 0; interval < 30; ++interval) {
    admission.OnOnlineRequests(6);
    admission.OnOnlineRequests(2);
    clock.Advance(std::chrono::seconds(5));
  }
  CHECK(admission.AdmissionLimit(16, 2) == 1);
  CHECK(admission.AdmissionLimit(16, 3) == 0);
}

// Guards against batch that delays a burst of online requests at lean 0, and
// against unnecessary preemptions at a higher lean.
TEST_CASE("BatchAdmission.PreemptsRunningBatchDependingOnLean") {
  testing::ManualClock clock;
  auto admission = MakeAdmission(clock, BatchRule::kFeedback, 0.0);
  for (int interval = 0; interval < 30; ++interval) {
    admission.OnOnlineRequests(6);
    clock.Advance(std::chrono::seconds(5));
  }
  CHECK(admission.PreemptionLimit(16, 3) == 1);
  CHECK(admission.PreemptionLimit(16, 4) == 0);
  CHECK(
      MakeAdmission(clock, BatchRule::kFeedback, 0.5).PreemptionLimit(16, 15) >=
      16);
  CHECK(
      MakeAdmission(clock, BatchRule::kIdleOnly, 0.0).PreemptionLimit(16, 15) >=
      16);
}

TEST_CASE("BatchAdmission.FeedbackFallsOnLateTokensAndRecovers") {
  testing::ManualClock clock;
  auto admission = MakeAdmission(clock, BatchRule::kFeedback, 1.0);
  admission.OnOnlineRequests(2);
  CHECK(admission.AdmissionLimit(16, 2) == 14);
  for (int late = 0; late < 5; ++late) {
    clock.Advance(milliseconds(250));
    admission.OnInterToken(milliseconds(70));
  }
  CHECK(admission.AdmissionLimit(16, 2) < 10);
  for (int good = 0; good < 1000; ++good) {
    admission.OnInterToken(milliseconds(30));
  }
  CHECK(admission.AdmissionLimit(16, 2) == 14);
}

TEST_CASE("BatchAdmission.FeedbackFillsAReplicaWithoutOnlineRequests") {
  testing::ManualClock clock;
  auto admission = MakeAdmission(clock, BatchRule::kFeedback, 0.0);
  admission.OnOnlineRequests(3);
  admission.OnOnlineRequests(0);
  CHECK(admission.AdmissionLimit(16, 0) < 16);
  clock.Advance(std::chrono::seconds(31));
  CHECK(admission.AdmissionLimit(16, 0) == 16);
}

}  // namespace
}  // namespace kumquatgauge::routing
