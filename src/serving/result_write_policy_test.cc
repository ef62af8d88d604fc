#include "kumquatgauge/serving/result_write_policy.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kStart = MonotonicTime(seconds(1'000));
constexpr auto kDue = kStart + seconds(18);

const auto kPolicy = ResultWritePolicy(ResultWriteSettings());

auto Waiting(MonotonicTime since) -> WaitingResults {
  auto results = WaitingResults();
  results.since = since;
  results.due = kDue;
  return results;
}

// Guards against a due time that is missed because results wait for others, or
// because the store is unavailable for a moment when they are written.
TEST_CASE("ResultWritePolicy.LeavesMostOfTheTimeUntilTheDueTime") {
  for (auto finished = milliseconds(0); finished < milliseconds(18'000);
       finished += milliseconds(100)) {
    const auto since = kStart + finished;
    const auto delay = kPolicy.WriteTime(Waiting(since), since) - since;
    CHECK(delay <= std::max<Duration>((kDue - since) / 3, milliseconds(100)));
    CHECK(delay <= seconds(1));
  }
}

// Guards against more work lost with a gateway than that of a second, and
// against results that wait without an end where there is no due time.
TEST_CASE("ResultWritePolicy.BoundsTheWorkThatALostGatewayCosts") {
  const auto usual = Waiting(kStart);
  auto late = Waiting(kDue + seconds(1));
  auto without_due = Waiting(kStart);
  without_due.due.reset();
  for (const auto& results : {usual, late, without_due}) {
    CHECK(kPolicy.WriteTime(results, results.since) ==
          results.since + seconds(1));
  }
}

// Guards against items that cannot start because results that wait for others
// use the memory for results.
TEST_CASE("ResultWritePolicy.StoresSoonWhileMemoryIsLow") {
  auto results = Waiting(kStart);
  results.low_memory = true;
  CHECK(kPolicy.WriteTime(results, kStart) == kStart + milliseconds(100));
}

// Guards against the last result of a job, or a failure, that waits for
// nothing.
TEST_CASE("ResultWritePolicy.StoresCompleteJobsAndFailuresNow") {
  auto complete = Waiting(kStart);
  complete.complete = true;
  auto failed = Waiting(kStart);
  failed.failed = true;
  CHECK(kPolicy.WriteTime(complete, kStart) == kStart);
  CHECK(kPolicy.WriteTime(failed, kStart) == kStart);
}

// Guards against work that is at risk for seconds although no other result can
// join it in the same call.
TEST_CASE("ResultWritePolicy.StoresSoonIfNoOtherResultIsExpectedInTime") {
  auto results = Waiting(kStart);
  results.next_end = seconds(5);
  CHECK(kPolicy.WriteTime(results, kStart) == kStart + milliseconds(100));
  results.next_end = milliseconds(900);
  CHECK(kPolicy.WriteTime(results, kStart) == kStart + seconds(1));
}

}  // namespace
}  // namespace kumquatgauge::serving
