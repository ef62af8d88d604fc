#include "kumquatgauge/routing/batch_room.h"

#include <catch2/catch.hpp>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::routing {
namespace {

using std::chrono::milliseconds;

auto Room(testing::ManualClock& clock, BatchRule rule, double lean)
    -> BatchRoom {
  BatchRoomSettings settings;
  settings.rule = rule;
  settings.lean = lean;
  return {settings, clock.AsHook()};
}

TEST_CASE("BatchRoom.NeverAllowsMoreThanTheFreeSlots") {
  testing::ManualClock clock;
  for (auto rule :
       {BatchRule::kFixedShare, BatchRule::kIdleOnly, BatchRule::kFeedback}) {
    auto room = Room(clock, rule, 1.0);
    for (std::uint32_t online = 0; online <= 20; ++online) {
      room.OnOnline(online);
      CHECK(room.Allowed(16, online) <= 16 - std::min(16U, online));
    }
  }
}

TEST_CASE("BatchRoom.FixedShareIgnoresIdleSlotsBeyondIt") {
  testing::ManualClock clock;
  auto room = Room(clock, BatchRule::kFixedShare, 0.5);
  CHECK(room.Allowed(16, 0) == 8);
  CHECK(room.Allowed(16, 12) == 4);
}

TEST_CASE("BatchRoom.IdleOnlyKeepsAReserveThatLeanGivesUp") {
  testing::ManualClock clock;
  CHECK(Room(clock, BatchRule::kIdleOnly, 0.0).Allowed(16, 4) == 8);
  CHECK(Room(clock, BatchRule::kIdleOnly, 1.0).Allowed(16, 4) == 12);
}

TEST_CASE("BatchRoom.FeedbackFillsOnlyUpToHalfTheBusyLevelAtLeanZero") {
  testing::ManualClock clock;
  auto room = Room(clock, BatchRule::kFeedback, 0.0);
  for (int stretch = 0; stretch < 30; ++stretch) {
    room.OnOnline(6);
    room.OnOnline(2);
    clock.Advance(std::chrono::seconds(5));
  }
  CHECK(room.Allowed(16, 2) == 1);
  CHECK(room.Allowed(16, 3) == 0);
}

// Guards against batch that stays in the way of a burst at lean 0, and against
// preemptions that no online request needs at higher settings.
TEST_CASE("BatchRoom.LetsRunningBatchStayByLean") {
  testing::ManualClock clock;
  auto tail = Room(clock, BatchRule::kFeedback, 0.0);
  for (int stretch = 0; stretch < 30; ++stretch) {
    tail.OnOnline(6);
    clock.Advance(std::chrono::seconds(5));
  }
  CHECK(tail.AllowedToStay(16, 3) == 1);
  CHECK(tail.AllowedToStay(16, 4) == 0);
  CHECK(Room(clock, BatchRule::kFeedback, 0.5).AllowedToStay(16, 15) >= 16);
  CHECK(Room(clock, BatchRule::kIdleOnly, 0.0).AllowedToStay(16, 15) >= 16);
}

TEST_CASE("BatchRoom.FeedbackFallsOnLateTokensAndRecovers") {
  testing::ManualClock clock;
  auto room = Room(clock, BatchRule::kFeedback, 1.0);
  room.OnOnline(2);
  CHECK(room.Allowed(16, 2) == 14);
  for (int late = 0; late < 5; ++late) {
    clock.Advance(milliseconds(250));
    room.OnInterToken(milliseconds(70));
  }
  CHECK(room.Allowed(16, 2) < 10);
  for (int good = 0; good < 1000; ++good) {
    room.OnInterToken(milliseconds(30));
  }
  CHECK(room.Allowed(16, 2) == 14);
}

TEST_CASE("BatchRoom.FeedbackFillsAReplicaWithoutOnlineRequests") {
  testing::ManualClock clock;
  auto room = Room(clock, BatchRule::kFeedback, 0.0);
  room.OnOnline(3);
  room.OnOnline(0);
  CHECK(room.Allowed(16, 0) < 16);
  clock.Advance(std::chrono::seconds(31));
  CHECK(room.Allowed(16, 0) == 16);
}

}  // namespace
}  // namespace kumquatgauge::routing
