#include "kumquatgauge/base/log_budget.h"

#include <catch2/catch.hpp>

#include "testing/support/manual_clock.h"

namespace kumquatgauge {
namespace {

constexpr std::size_t kLineBytes = 100;

struct Fixture {
  auto Take(LogLineClass line_class, int lines) -> int {
    auto taken = 0;
    for (auto i = 0; i < lines; ++i) {
      taken += budget.Take(line_class, kLineBytes) ? 1 : 0;
    }
    return taken;
  }

  testing::ManualClock clock;
  LogBudget budget{{.lines_per_second = 10,
                    .bytes_per_second = 100'000,
                    .routine_percent = 50},
                   clock.AsHook()};
};

// Guards against an overload whose successes push out the lines of the
// requests that failed.
TEST_CASE_METHOD(Fixture, "LogBudget.KeepsRoomForFailuresBesideRoutineLines") {
  CHECK(Take(LogLineClass::kRoutine, 100) == 5);
  CHECK(Take(LogLineClass::kFailure, 100) == 5);
}

TEST_CASE_METHOD(Fixture, "LogBudget.GivesFailuresTheWholeBudget") {
  CHECK(Take(LogLineClass::kFailure, 100) == 10);
  CHECK(Take(LogLineClass::kRoutine, 100) == 0);
}

TEST_CASE_METHOD(Fixture, "LogBudget.BoundsTheBytesOfASecond") {
  auto small = LogBudget({.lines_per_second = 1'000, .bytes_per_second = 1'000},
                         clock.AsHook());
  CHECK(small.Take(LogLineClass::kRoutine, 500));
  CHECK_FALSE(small.Take(LogLineClass::kRoutine, 1));
  CHECK(small.Take(LogLineClass::kFailure, 500));
  CHECK_FALSE(small.Take(LogLineClass::kFailure, 1));
}

TEST_CASE_METHOD(Fixture, "LogBudget.BeginsAnewEachSecond") {
  Take(LogLineClass::kFailure, 100);
  clock.Advance(std::chrono::milliseconds(999));
  CHECK(Take(LogLineClass::kFailure, 1) == 0);
  clock.Advance(std::chrono::milliseconds(1));
  CHECK(Take(LogLineClass::kFailure, 100) == 10);
}

// Guards against lines that are missing from a log without a sign.
TEST_CASE_METHOD(Fixture, "LogBudget.ReportsDroppedLinesOnceAfterTheSecond") {
  Take(LogLineClass::kRoutine, 8);
  Take(LogLineClass::kFailure, 9);
  budget.AddDropped(LogLineClass::kFailure);
  CHECK_FALSE(budget.TakeDropped());
  clock.Advance(std::chrono::seconds(1));
  CHECK(budget.TakeDropped() == DroppedLogLines{.routine = 3, .failures = 5});
  CHECK_FALSE(budget.TakeDropped());
}

}  // namespace
}  // namespace kumquatgauge
