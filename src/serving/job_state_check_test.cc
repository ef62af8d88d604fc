#include "kumquatgauge/serving/job_state_check.h"

#include <catch2/catch.hpp>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using Reads = std::vector<StateRead>;

const JobId kJob("7c41");

// The time within which an ended job must stop.
constexpr milliseconds kStopWithin{3'000};

const Reads kInexact = {{kJob, false}};
const Reads kExact = {{kJob, true}};

struct Fixture {
  Fixture() { schedule.Add(kJob, clock.now()); }

  testing::ManualClock clock;
  StateCheckSchedule schedule{StateCheckSettings()};
};

// Guards against items of a job that was ended through another node while no
// node reaches the owner: its own reads must show it in time.
TEST_CASE("StateCheckSchedule.ReadsAgainBeforeAnEndedJobMustHaveStopped") {
  auto fixture = Fixture();
  CHECK(fixture.schedule.TakeDue(fixture.clock.now()).empty());
  fixture.clock.Advance(kStopWithin / 2);
  CHECK(fixture.schedule.TakeDue(fixture.clock.now()) == kInexact);
  fixture.schedule.OnInexactRead(kJob, fixture.clock.now());
  fixture.clock.Advance(kStopWithin / 2);
  CHECK(fixture.schedule.TakeDue(fixture.clock.now()) == kInexact);
}

// Guards against a second read while the answer to the first is outstanding.
TEST_CASE("StateCheckSchedule.ReadsEachStateOnceAtATime") {
  auto fixture = Fixture();
  fixture.clock.Advance(kStopWithin);
  CHECK(fixture.schedule.TakeDue(fixture.clock.now()) == kInexact);
  fixture.clock.Advance(kStopWithin);
  CHECK(fixture.schedule.TakeDue(fixture.clock.now()).empty());
}

// Guards against an owner that the store turned away for a moment and that
// trusts a read which shows the job as it was before its end.
TEST_CASE("StateCheckSchedule.ReadsExactlyAfterAnyCallToTheStoreFailed") {
  auto fixture = Fixture();
  fixture.schedule.OnStoreFailed(fixture.clock.now());
  CHECK(fixture.schedule.TakeDue(fixture.clock.now()) == kExact);
  fixture.schedule.OnKnown(kJob, fixture.clock.now());
  fixture.clock.Advance(kStopWithin);
  CHECK(fixture.schedule.TakeDue(fixture.clock.now()) == kInexact);
  fixture.schedule.OnStoreFailed(fixture.clock.now());
  fixture.schedule.OnInexactRead(kJob, fixture.clock.now());
  CHECK(fixture.schedule.TakeDue(fixture.clock.now()) == kExact);
}

// Guards against an owner that the store turned away and that starts items
// after the outage without having read what it missed.
TEST_CASE("StateCheckSchedule.ReadsAtOnceWhenTheStoreAnswersAgain") {
  auto fixture = Fixture();
  for (auto read = 0; read < 40; ++read) {
    fixture.clock.Advance(kStopWithin);
    REQUIRE(fixture.schedule.TakeDue(fixture.clock.now()) ==
            (read == 0 ? kInexact : kExact));
    const auto first = fixture.schedule.OnFailed(kJob, fixture.clock.now());
    CHECK(first == (read == 0));
  }
  fixture.clock.Advance(kStopWithin / 10);
  CHECK(fixture.schedule.TakeDue(fixture.clock.now()) == kExact);
}

// Guards against items that run for as long as their owner is cut off from the
// store and from all other nodes, since nobody can tell it that their job
// ended.
TEST_CASE("StateCheckSchedule.StopsJobsOfANodeThatHearsFromNobody") {
  auto fixture = Fixture();
  fixture.clock.Advance(std::chrono::minutes(5));
  fixture.schedule.SetIsolated(true, fixture.clock.now());
  CHECK(fixture.schedule.MayRun(kJob, fixture.clock.now()));
  CHECK(fixture.schedule.TakeDue(fixture.clock.now()) == kExact);
  fixture.clock.Advance(kStopWithin - milliseconds(1'000));
  CHECK_FALSE(fixture.schedule.MayRun(kJob, fixture.clock.now()));
  fixture.schedule.OnKnown(kJob, fixture.clock.now());
  CHECK(fixture.schedule.MayRun(kJob, fixture.clock.now()));
}

// Guards against an isolated node that suspends its jobs between two reads that
// the store answers.
TEST_CASE("StateCheckSchedule.KeepsJobsOfAnIsolatedNodeThatTheStoreAnswers") {
  auto fixture = Fixture();
  fixture.schedule.SetIsolated(true, fixture.clock.now());
  for (auto step = 0; step < 200; ++step) {
    fixture.clock.Advance(milliseconds(50));
    fixture.schedule.SetIsolated(true, fixture.clock.now());
    CHECK(fixture.schedule.MayRun(kJob, fixture.clock.now()));
    for (const auto& read : fixture.schedule.TakeDue(fixture.clock.now())) {
      CHECK(read.exact);
      fixture.schedule.OnKnown(read.job, fixture.clock.now());
    }
  }
}

// An outage of the store alone stops no work: without it nobody can end a job,
// and a node that still reaches it tells the owner.
TEST_CASE("StateCheckSchedule.KeepsJobsRunningInAnOutageOfTheStore") {
  auto fixture = Fixture();
  fixture.schedule.OnStoreFailed(fixture.clock.now());
  fixture.clock.Advance(std::chrono::minutes(5));
  CHECK(fixture.schedule.MayRun(kJob, fixture.clock.now()));
}

TEST_CASE("StateCheckSchedule.LeavesOutJobsThatNeedNoRead") {
  auto fixture = Fixture();
  fixture.clock.Advance(milliseconds(1'000));
  fixture.schedule.OnKnown(kJob, fixture.clock.now());
  fixture.clock.Advance(milliseconds(1'000));
  CHECK(fixture.schedule.TakeDue(fixture.clock.now()).empty());
  fixture.schedule.Remove(kJob);
  fixture.clock.Advance(kStopWithin);
  CHECK(fixture.schedule.TakeDue(fixture.clock.now()).empty());
  CHECK_FALSE(fixture.schedule.OnFailed(kJob, fixture.clock.now()));
}

}  // namespace
}  // namespace kumquatgauge::serving
