#include "kumquatgauge/serving/batch_schedule.h"

#include <catch2/catch.hpp>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("chat");
const JobId kEarly("early");
const JobId kLate("late");

struct Fixture {
  auto Job(const JobId& id, Duration due, std::size_t items) const
      -> ScheduledJob {
    return {id, kService, clock.now() + due, MonotonicTime::max(), 3, items};
  }

  auto TakeStarts(std::size_t free, std::size_t urgent)
      -> std::vector<ItemRef> {
    return schedule.TakeStarts(kService, StartLimits{free, urgent, free},
                               clock.now());
  }

  testing::ManualClock clock;
  BatchSchedule schedule{BatchScheduleSettings()};
};

TEST_CASE("BatchSchedule.StartsTheJobThatIsDueFirst") {
  auto fixture = Fixture();
  fixture.schedule.Add(fixture.Job(kLate, seconds(40), 3), {});
  fixture.schedule.Add(fixture.Job(kEarly, seconds(20), 2), {});
  const auto starts = fixture.TakeStarts(3, 0);
  REQUIRE(starts.size() == 3);
  CHECK(starts[0].job == kEarly);
  CHECK(starts[1].job == kEarly);
  CHECK(starts[2].job == kLate);
}

// Load pattern: online requests rise in a step. Guards against losing the work
// of nearly finished items.
TEST_CASE("BatchSchedule.YieldsTheItemsWithTheLeastProgress") {
  auto fixture = Fixture();
  fixture.schedule.Add(fixture.Job(kLate, seconds(40), 3), {});
  fixture.TakeStarts(3, 0);
  fixture.schedule.OnProgress({kLate, 0}, 100);
  fixture.schedule.OnProgress({kLate, 1}, 5);
  fixture.schedule.OnProgress({kLate, 2}, 50);
  const auto yields =
      fixture.schedule.TakeYields(kService, 2, fixture.clock.now());
  REQUIRE(yields.size() == 2);
  CHECK(yields[0].item == 1);
  CHECK(yields[1].item == 2);
}

// Load pattern: online load that never leaves free slots. Guards against
// accepted items that miss their due time because they always yield.
TEST_CASE("BatchSchedule.StartsAndKeepsItemsWithoutSlack") {
  auto fixture = Fixture();
  fixture.schedule.Add(fixture.Job(kLate, seconds(18), 1), {});
  const auto start = [&fixture] { return fixture.TakeStarts(0, 1).size(); };
  CHECK(start() == 0);
  fixture.clock.Advance(seconds(10));
  CHECK(start() == 1);
  CHECK(fixture.schedule.TakeYields(kService, 1, fixture.clock.now()).empty());
}

// Guards against a burst of urgent items that takes every slot from online
// requests.
TEST_CASE("BatchSchedule.LimitsUrgentItemsToUrgentSlots") {
  auto fixture = Fixture();
  fixture.schedule.Add(fixture.Job(kLate, seconds(8), 9), {});
  CHECK(fixture.TakeStarts(2, 3).size() == 5);
}

// Load pattern: all nodes were down for some seconds and whole jobs are late.
// Guards against late jobs that displace online requests and jobs that can
// still be on time.
TEST_CASE(
    "BatchSchedule.StartsItemsWithUnreachableDueTimeLastAndInFreeSlotsOnly") {
  auto fixture = Fixture();
  fixture.schedule.Add(fixture.Job(kEarly, seconds(2), 2), {});
  fixture.schedule.Add(fixture.Job(kLate, seconds(40), 1), {});
  CHECK(fixture.TakeStarts(0, 9).empty());
  const auto starts = fixture.TakeStarts(2, 9);
  REQUIRE(starts.size() == 2);
  CHECK(starts[0].job == kLate);
  CHECK(starts[1].job == kEarly);
}

TEST_CASE("BatchSchedule.YieldsItemsWithUnreachableDueTimeFirst") {
  auto fixture = Fixture();
  fixture.schedule.Add(fixture.Job(kEarly, seconds(2), 1), {});
  fixture.schedule.Add(fixture.Job(kLate, seconds(40), 1), {});
  fixture.TakeStarts(2, 0);
  fixture.schedule.OnProgress({kEarly, 0}, 50);
  const auto yields =
      fixture.schedule.TakeYields(kService, 1, fixture.clock.now());
  REQUIRE(yields.size() == 1);
  CHECK(yields.front().job == kEarly);
}

TEST_CASE("BatchSchedule.RestartsAStoppedItem") {
  auto fixture = Fixture();
  fixture.schedule.Add(fixture.Job(kLate, seconds(40), 1), {});
  fixture.TakeStarts(1, 0);
  fixture.schedule.OnEnded({kLate, 0}, ItemEnd::kStopped, fixture.clock.now());
  CHECK(fixture.TakeStarts(1, 0).size() == 1);
}

// Guards against retrying an item forever and against giving up too early.
TEST_CASE("BatchSchedule.FailsAnItemAfterExactlyMaxAttempts") {
  auto fixture = Fixture();
  fixture.schedule.Add(fixture.Job(kLate, seconds(400), 1), {});
  for (auto attempt = 1; attempt <= 3; ++attempt) {
    fixture.clock.Advance(seconds(10));
    REQUIRE(fixture.TakeStarts(1, 0).size() == 1);
    CHECK(fixture.schedule.OnEnded({kLate, 0}, ItemEnd::kFailed,
                                   fixture.clock.now()) == (attempt == 3));
  }
  CHECK(fixture.schedule.unfinished(kLate) == 0);
}

// Guards against withheld items that take the free slots of others at each
// tick, and against one that is given up before its job allows it.
TEST_CASE("BatchSchedule.KeepsAWithheldItemUntilItMayBeGivenUp") {
  auto fixture = Fixture();
  fixture.schedule.Add(fixture.Job(kLate, seconds(5), 1), {});
  for (auto attempt = 0; attempt < 10; ++attempt) {
    REQUIRE(fixture.TakeStarts(1, 0).size() == 1);
    CHECK_FALSE(fixture.schedule.OnEnded({kLate, 0}, ItemEnd::kWithheld,
                                         fixture.clock.now()));
    CHECK(fixture.TakeStarts(1, 0).empty());
    fixture.clock.Advance(seconds(1));
  }
  CHECK(fixture.schedule.unfinished(kLate) == 1);
}

TEST_CASE("BatchSchedule.WaitsLongerAfterEachFailure") {
  auto fixture = Fixture();
  fixture.schedule.Add(fixture.Job(kLate, seconds(400), 1), {});
  fixture.TakeStarts(1, 0);
  fixture.schedule.OnEnded({kLate, 0}, ItemEnd::kFailed, fixture.clock.now());
  fixture.clock.Advance(milliseconds(199));
  CHECK(fixture.TakeStarts(1, 0).empty());
  fixture.clock.Advance(milliseconds(1));
  CHECK(fixture.TakeStarts(1, 0).size() == 1);
}

// Guards against running items again because a new configuration arrived while
// their results were being stored.
TEST_CASE("BatchSchedule.KeepsFinishedItemsFinishedWhenAJobChanges") {
  auto fixture = Fixture();
  fixture.schedule.Add(fixture.Job(kLate, seconds(40), 2), {});
  fixture.TakeStarts(2, 0);
  fixture.schedule.OnEnded({kLate, 0}, ItemEnd::kFinished, fixture.clock.now());
  auto moved = fixture.Job(kLate, seconds(40), 2);
  moved.service = ServiceName("other");
  fixture.schedule.Update(moved);
  CHECK(fixture.schedule.unfinished(kLate) == 1);
  CHECK(fixture.schedule.running(ServiceName("other")) == 1);
}

// Guards against restarting the items of an ended job.
TEST_CASE("BatchSchedule.DoesNotRestoreARemovedJob") {
  auto fixture = Fixture();
  fixture.schedule.Add(fixture.Job(kLate, seconds(40), 2), {});
  fixture.schedule.Remove(kLate);
  fixture.schedule.Update(fixture.Job(kLate, seconds(40), 2));
  CHECK(fixture.TakeStarts(9, 0).empty());
}

TEST_CASE("BatchSchedule.LeavesOutItemsThatHaveAResult") {
  auto fixture = Fixture();
  fixture.schedule.Add(fixture.Job(kLate, seconds(40), 3), {0, 2});
  const auto starts = fixture.TakeStarts(9, 0);
  REQUIRE(starts.size() == 1);
  CHECK(starts.front().item == 1);
}

TEST_CASE("BatchSchedule.GivesUpUnfinishedItemsAfterTheirTime") {
  auto fixture = Fixture();
  auto job = fixture.Job(kLate, seconds(10), 2);
  job.give_up = fixture.clock.now() + seconds(60);
  fixture.schedule.Add(job, {1});
  CHECK(fixture.schedule.TakeGivenUp(fixture.clock.now()).empty());
  fixture.clock.Advance(seconds(60));
  const auto given_up = fixture.schedule.TakeGivenUp(fixture.clock.now());
  REQUIRE(given_up.size() == 1);
  CHECK(given_up.front() == ItemRef{kLate, 0});
}

// Guards against items of a job without a route that wait for ever, and against
// discarding the work of those that run.
TEST_CASE("BatchSchedule.GivesUpItemsThatDoNotRunAfterTheWithdrawal") {
  auto fixture = Fixture();
  auto job = fixture.Job(kLate, seconds(10), 2);
  fixture.schedule.Add(job, {});
  const auto started = fixture.TakeStarts(1, 0);
  REQUIRE(started.size() == 1);
  job.withdrawal = fixture.clock.now() + seconds(5);
  fixture.schedule.Update(job);
  CHECK(fixture.schedule.TakeGivenUp(fixture.clock.now()).empty());
  fixture.clock.Advance(seconds(5));
  const auto given_up = fixture.schedule.TakeGivenUp(fixture.clock.now());
  REQUIRE(given_up.size() == 1);
  CHECK(given_up.front() != started.front());
  fixture.schedule.OnEnded(started.front(), ItemEnd::kStopped,
                           fixture.clock.now());
  CHECK(fixture.schedule.TakeGivenUp(fixture.clock.now()) == started);
  CHECK(fixture.schedule.unfinished(kLate) == 0);
}

// Guards against items that stop at a replica where this frees nothing.
TEST_CASE("BatchSchedule.StopsOnlyItemsThatMayYield") {
  auto fixture = Fixture();
  fixture.schedule.Add(fixture.Job(kLate, seconds(40), 3), {});
  const auto started = fixture.TakeStarts(3, 0);
  REQUIRE(started.size() == 3);
  const auto yields = fixture.schedule.TakeYields(
      kService, 3, fixture.clock.now(),
      [&](const ItemRef& ref) { return ref == started[1]; });
  CHECK(yields == std::vector<ItemRef>{started[1]});
}

// Guards against an item that is taken for nearly done, because it runs from
// the start after it had got far.
TEST_CASE("BatchSchedule.CountsTheEventsOfAnItemThatRunsFromTheStart") {
  auto fixture = Fixture();
  fixture.schedule.Add(fixture.Job(kLate, seconds(40), 2), {});
  const auto start = [&] { fixture.TakeStarts(2, 0); };
  start();
  fixture.schedule.OnProgress({kLate, 0}, 100);
  fixture.schedule.OnProgress({kLate, 1}, 50);
  fixture.schedule.OnEnded({kLate, 0}, ItemEnd::kStopped, fixture.clock.now());
  fixture.clock.Advance(seconds(1));
  start();
  fixture.schedule.OnProgress({kLate, 0}, 0);
  fixture.clock.Advance(seconds(1));
  const auto yields =
      fixture.schedule.TakeYields(kService, 1, fixture.clock.now());
  REQUIRE(yields.size() == 1);
  CHECK(yields[0].item == 0);
}

// Guards against an item that fails at each run and gets all its attempts again
// from each owner of its job.
TEST_CASE("BatchSchedule.CountsTheFailuresAtFormerOwners") {
  auto fixture = Fixture();
  auto job = fixture.Job(kLate, seconds(40), 3);
  job.max_attempts = 3;
  fixture.schedule.Add(job, {2}, {{1, 2}, {2, 1}});
  CHECK(fixture.schedule.failures(kLate) == BatchSchedule::Failures{{1, 2}});
  fixture.TakeStarts(2, 0);
  CHECK_FALSE(fixture.schedule.OnEnded({kLate, 0}, ItemEnd::kFailed,
                                       fixture.clock.now()));
  CHECK(fixture.schedule.OnEnded({kLate, 1}, ItemEnd::kFailed,
                                 fixture.clock.now()));
  CHECK(fixture.schedule.failures(kLate) == BatchSchedule::Failures{{0, 1}});
  CHECK(fixture.schedule.failures(kEarly).empty());
}

// Load pattern: online load that rises every few seconds. Guards against the
// same item stopping at each rise, and against one that stops a moment before
// its end.
TEST_CASE("BatchSchedule.StopsNeitherTheSameItemAgainNorOneThatEnds") {
  auto fixture = Fixture();
  fixture.schedule.Add(fixture.Job(kLate, seconds(400), 4), {});
  const auto now = [&] { return fixture.clock.now(); };
  const auto yield = [&](std::size_t count) {
    return fixture.schedule.TakeYields(kService, count, now(), nullptr, nullptr,
                                       milliseconds(100));
  };
  fixture.TakeStarts(4, 0);
  // Teaches that 100 events take 2 s.
  fixture.clock.Advance(seconds(2));
  fixture.schedule.OnProgress({kLate, 3}, 100);
  fixture.schedule.OnEnded({kLate, 3}, ItemEnd::kFinished, now());
  fixture.schedule.OnProgress({kLate, 0}, 10);
  fixture.schedule.OnProgress({kLate, 1}, 50);
  fixture.schedule.OnProgress({kLate, 2}, 99);
  REQUIRE(yield(1) == std::vector<ItemRef>{{kLate, 0}});
  fixture.schedule.OnEnded({kLate, 0}, ItemEnd::kStopped, now());
  fixture.TakeStarts(1, 0);
  CHECK(yield(3) == std::vector<ItemRef>{{kLate, 1}, {kLate, 0}});
}

// Guards against items that stop at replicas with free slots while online
// requests wait at others.
TEST_CASE("BatchSchedule.StopsPreferredItemsFirst") {
  auto fixture = Fixture();
  fixture.schedule.Add(fixture.Job(kLate, seconds(40), 3), {});
  fixture.TakeStarts(3, 0);
  const auto yields = fixture.schedule.TakeYields(
      kService, 1, fixture.clock.now(), nullptr,
      [](const ItemRef& ref) { return ref.item == 2; });
  CHECK(yields == std::vector<ItemRef>{{kLate, 2}});
}

// Load pattern: a peak is expected in 0.2 s. Guards against items that start
// just to be stopped, and against waiting items that miss their due time.
TEST_CASE("BatchSchedule.StartsBeforeARiseOnlyWhatLastsOrMustRun") {
  auto fixture = Fixture();
  fixture.schedule.Add(fixture.Job(kLate, seconds(40), 3), {});
  const auto limits = StartLimits{9, 0, 1, milliseconds(200)};
  CHECK(fixture.schedule.TakeStarts(kService, limits, fixture.clock.now())
            .size() == 1);
  fixture.schedule.Add(fixture.Job(kEarly, seconds(12), 2), {});
  CHECK(fixture.schedule.TakeStarts(kService, limits, fixture.clock.now())
            .size() == 2);
}

}  // namespace
}  // namespace kumquatgauge::serving
