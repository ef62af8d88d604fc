#include "kumquatgauge/serving/end_notices.h"

#include <catch2/catch.hpp>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Notices = std::vector<StoredState>;

const JobId kJob("7c41");

auto MakeEnded(std::uint64_t version) -> StoredState {
  return {{kJob, NodeId("n1"), 5, 1'000, 2, true, false}, version};
}

struct Fixture {
  // Adds a notice whose first sending fails.
  auto AddAndFail() -> void {
    REQUIRE(notices.Add(MakeEnded(8)));
    notices.OnFailed(kJob);
  }

  // Sends all due notices and reports each as failed.
  auto FailDue() -> std::size_t {
    const auto due = notices.TakeDue();
    for (const auto& notice : due) {
      notices.OnFailed(notice.state.id);
    }
    return due.size();
  }

  testing::ManualClock clock;
  OwnerStatus owner = OwnerStatus::kLive;
  EndNotices notices{EndNoticeSettings(),
                     [this](const JobState&) { return owner; }, clock.AsHook()};
};

TEST_CASE("EndNotices.TellsTheOwnerOnceUntilItHasAnswered") {
  auto fixture = Fixture();
  CHECK(fixture.notices.Add(MakeEnded(8)));
  CHECK_FALSE(fixture.notices.Add(MakeEnded(8)));
  CHECK(fixture.notices.TakeDue().empty());
  fixture.notices.OnConfirmed(kJob);
  fixture.clock.Advance(seconds(5));
  CHECK(fixture.notices.TakeDue().empty());
}

// Guards against an owner that keeps running items because the notices stopped
// before the outage that kept it from confirming them.
TEST_CASE("EndNotices.RepeatsUntilALongOutageOfTheOwnerIsOver") {
  auto fixture = Fixture();
  fixture.AddAndFail();
  auto sent = std::size_t{0};
  for (auto second = 0; second < 120; ++second) {
    sent += fixture.FailDue();
    fixture.clock.Advance(seconds(1));
  }
  CHECK(sent >= 40);
  fixture.clock.Advance(seconds(2));
  CHECK(fixture.notices.TakeDue() == Notices{MakeEnded(8)});
}

// Guards against load on an owner that does not answer.
TEST_CASE("EndNotices.WaitsLongerAfterEachFailure") {
  auto fixture = Fixture();
  fixture.AddAndFail();
  CHECK(fixture.FailDue() == 0);
  fixture.clock.Advance(milliseconds(300));
  CHECK(fixture.FailDue() == 1);
  fixture.clock.Advance(milliseconds(300));
  CHECK(fixture.FailDue() == 0);
  fixture.clock.Advance(milliseconds(300));
  CHECK(fixture.FailDue() == 1);
}

TEST_CASE("EndNotices.StopsWhenTheOwnerIsGone") {
  auto fixture = Fixture();
  fixture.AddAndFail();
  fixture.owner = OwnerStatus::kGone;
  fixture.clock.Advance(seconds(1));
  CHECK(fixture.FailDue() == 0);
  CHECK(fixture.notices.size() == 0);
  CHECK_FALSE(fixture.notices.Add(MakeEnded(9)));
}

// Guards against a node that has just started and gives up on an owner that it
// does not know yet.
TEST_CASE("EndNotices.WaitsForAnOwnerThatIsNotKnownYet") {
  auto fixture = Fixture();
  fixture.owner = OwnerStatus::kUnknown;
  CHECK_FALSE(fixture.notices.Add(MakeEnded(8)));
  CHECK(fixture.FailDue() == 0);
  fixture.clock.Advance(seconds(3));
  fixture.owner = OwnerStatus::kLive;
  CHECK(fixture.FailDue() == 1);
}

TEST_CASE("EndNotices.KeepsTheNewestStateAndABoundedNumber") {
  auto fixture = Fixture();
  fixture.AddAndFail();
  fixture.clock.Advance(seconds(1));
  CHECK(fixture.notices.Add(MakeEnded(9)));
  CHECK_FALSE(fixture.notices.Add(MakeEnded(7)));
  fixture.notices.OnFailed(kJob);
  fixture.clock.Advance(seconds(1));
  CHECK(fixture.notices.TakeDue() == Notices{MakeEnded(9)});
  auto settings = EndNoticeSettings();
  settings.max_notices = 0;
  auto full = EndNotices(
      settings, [](const JobState&) { return OwnerStatus::kLive; },
      fixture.clock.AsHook());
  CHECK_FALSE(full.Add(MakeEnded(8)));
  CHECK(full.dropped() == 1);
}

// Guards against a burst of calls when many owners are reachable again.
TEST_CASE("EndNotices.SendsAFewAtATime") {
  auto fixture = Fixture();
  auto settings = EndNoticeSettings();
  settings.max_due = 2;
  auto notices = EndNotices(
      settings, [](const JobState&) { return OwnerStatus::kLive; },
      fixture.clock.AsHook());
  for (auto job = 0; job < 5; ++job) {
    auto ended = MakeEnded(8);
    ended.state.id = JobId("j" + std::to_string(job));
    notices.Add(ended);
    notices.OnFailed(ended.state.id);
  }
  fixture.clock.Advance(seconds(1));
  CHECK(notices.TakeDue().size() == 2);
  CHECK(notices.TakeDue().size() == 2);
  CHECK(notices.TakeDue().size() == 1);
}

// Guards against a notice that stays for good because its outcome was not
// reported.
TEST_CASE("EndNotices.DropsAnExpiredNoticeThatIsBeingSent") {
  auto fixture = Fixture();
  REQUIRE(fixture.notices.Add(MakeEnded(8)));
  fixture.clock.Advance(EndNoticeSettings().lifetime);
  CHECK(fixture.notices.TakeDue().empty());
  CHECK(fixture.notices.size() == 0);
  CHECK(fixture.notices.dropped() == 1);
}

TEST_CASE("EndNotices.GivesUpAfterItsLifetime") {
  auto fixture = Fixture();
  fixture.AddAndFail();
  fixture.clock.Advance(EndNoticeSettings().lifetime);
  CHECK(fixture.FailDue() == 0);
  CHECK(fixture.notices.size() == 0);
}

}  // namespace
}  // namespace kumquatgauge::serving
