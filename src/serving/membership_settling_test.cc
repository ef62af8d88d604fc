#include "kumquatgauge/serving/membership_settling.h"

#include <catch2/catch.hpp>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;

// Guards against a node that takes itself for settled while it still learns of
// others one by one.
TEST_CASE("MembershipSettling.SettlesOnceNoNodeWasAddedForAWhile") {
  auto clock = testing::ManualClock();
  auto settling = MembershipSettling(clock.AsHook());
  for (std::size_t live = 1; live <= 20; ++live) {
    settling.OnMembers(live);
    clock.Advance(milliseconds(90));
    CHECK_FALSE(settling.settled());
  }
  // A node that is lost is no reason to wait.
  settling.OnMembers(19);
  clock.Advance(milliseconds(10));
  CHECK(settling.settled());
}

// Guards against a node that is cut off from the start and would grant itself
// the limits of all organisations.
TEST_CASE("MembershipSettling.DoesNotSettleAlone") {
  auto clock = testing::ManualClock();
  auto settling = MembershipSettling(clock.AsHook());
  settling.OnMembers(1);
  clock.Advance(std::chrono::seconds(10));
  CHECK_FALSE(settling.settled());
}

}  // namespace
}  // namespace kumquatgauge::serving
