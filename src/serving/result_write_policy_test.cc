#include "kumquatgauge/serving/result_write_policy.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

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
    CHECK(delay <= seconds(4));
  }
}

// Guards against more work lost with a gateway than before where there is no
// due time, or where one gateway has many results that wait.
TEST_CASE("ResultWritePolicy.BoundsTheWorkThatALostGatewayCosts") {
  auto many = Waiting(kStart);
  many.waiting_on_node = 17;
  auto late = Waiting(kDue + seconds(1));
  auto without_due = Waiting(kStart);
  without_due.due.reset();
  for (const auto& results : {many, late, without_due}) {
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
  results.next_end = seconds(3);
  CHECK(kPolicy.WriteTime(results, kStart) == kStart + seconds(4));
}

// Guards against a call for every few results: the items of a job start
// together and end one after the other.
TEST_CASE("ResultWritePolicy.StoresMostJobsByOneOrTwoCalls") {
  auto random = std::mt19937(1);
  auto run_time = std::uniform_int_distribution<int>(2'000, 10'000);
  constexpr auto kJobs = 200;
  constexpr auto kItems = 10;
  auto calls = 0;
  for (auto job = 0; job < kJobs; ++job) {
    auto ends = std::vector<MonotonicTime>();
    for (auto item = 0; item < kItems; ++item) {
      ends.push_back(kStart + milliseconds(run_time(random)));
    }
    std::sort(ends.begin(), ends.end());
    for (std::size_t at = 0; at < ends.size(); ++calls) {
      const auto write =
          std::min(kPolicy.WriteTime(Waiting(ends[at]), ends[at]), ends.back());
      while (at < ends.size() && ends[at] <= write) {
        ++at;
      }
    }
  }
  CHECK(calls <= 2 * kJobs);
}

}  // namespace
}  // namespace kumquatgauge::serving
