#include "kumquatgauge/serving/job_memory.h"

#include <catch2/catch.hpp>
#include <string>

namespace kumquatgauge::serving {
namespace {

constexpr std::size_t kProcessBytes = 1'000'000;
constexpr std::size_t kAcceptBytes = kProcessBytes / 4;
constexpr std::size_t kTakeOverBytes = kProcessBytes * 3 / 10;
constexpr std::size_t kOverBytes = kProcessBytes / 8;

TEST_CASE("JobMemory.AcceptsNoJobsAboveItsLimit") {
  auto memory = JobMemory(kProcessBytes);
  memory.Set(JobId("a"), {kAcceptBytes / 2, kAcceptBytes / 2 - 1});
  CHECK(memory.MayAccept());
  memory.Set(JobId("b"), {1, 0});
  CHECK(!memory.MayAccept());
  memory.Remove(JobId("a"));
  CHECK(memory.MayAccept());
}

// Guards against submissions that are all accepted before the first of them is
// an owned job.
TEST_CASE("JobMemory.CountsSubmissionsUnderWay") {
  auto memory = JobMemory(kProcessBytes);
  memory.Reserve(kAcceptBytes);
  CHECK(!memory.MayAccept());
  memory.Release(kAcceptBytes);
  CHECK(memory.MayAccept());
  CHECK(memory.used_bytes() == 0);
}

// Guards against jobs that fit only until their items have results.
TEST_CASE("JobMemory.CountsResultsToCome") {
  constexpr std::size_t kResultBytes = 10'000;
  constexpr auto kResults = 500;
  auto memory = JobMemory(kProcessBytes);
  for (auto result = 0; result < kResults; ++result) {
    memory.OnResult(kResultBytes);
  }
  memory.Set(JobId("a"), {0, 0, kAcceptBytes / kResultBytes - 1});
  CHECK(memory.MayAccept());
  memory.Set(JobId("a"), {0, 0, kAcceptBytes / kResultBytes + 1});
  CHECK(!memory.MayAccept());
  memory.Set(JobId("a"), {0, 0, kAcceptBytes / kResultBytes + 1, 0, true});
  CHECK(memory.MayAccept());
}

// Guards against jobs of a lost node that wait until its successor, which
// accepts what it can, has memory left.
TEST_CASE("JobMemory.LeavesRoomForTakeovers") {
  auto memory = JobMemory(kProcessBytes);
  memory.Set(JobId("a"), {kAcceptBytes, 0});
  CHECK(!memory.MayAccept());
  CHECK(memory.MayTakeOver());
  memory.Set(JobId("b"), {kTakeOverBytes - kAcceptBytes, 0});
  CHECK(!memory.MayTakeOver());
}

TEST_CASE("JobMemory.MakesRoomByTheOldestJobsThatAreOver") {
  auto memory = JobMemory(kProcessBytes);
  memory.Set(JobId("new"), {kOverBytes / 2, 0, 0, 3, true});
  memory.Set(JobId("old"), {kOverBytes / 2, 0, 0, 1, true});
  CHECK(memory.Evictions().empty());
  memory.Set(JobId("middle"), {0, kOverBytes / 2, 0, 2, true});
  CHECK(memory.Evictions() == std::vector{JobId("old")});
  memory.Set(JobId("unfinished"), {kAcceptBytes - 1});
  CHECK(memory.MayAccept());
  CHECK(memory.Evictions() ==
        std::vector{JobId("old"), JobId("middle"), JobId("new")});
}

// Guards against takeovers that all begin before the first of them is counted.
TEST_CASE("JobMemory.ExpectsTheSizeOfJobsByThoseThatItHasSeen") {
  constexpr std::size_t kItemBytes = 50'000;
  constexpr std::size_t kItems = 10;
  auto memory = JobMemory(kProcessBytes);
  const auto before = memory.ExpectedJob(kItems);
  for (auto job = 0; job < 100; ++job) {
    memory.OnJob(kItems, kItems * kItemBytes);
  }
  CHECK(memory.ExpectedJob(kItems) > before);
  CHECK(memory.ExpectedJob(kItems) >=
        kItems * kItemBytes + memory.ExpectedResults(kItems));
  memory.Reserve(memory.ExpectedJob(kItems));
  CHECK(!memory.MayTakeOver());
}

TEST_CASE("JobMemory.CountsTheParts") {
  auto item = JobItem();
  const auto empty = MemoryOf(std::vector{item});
  item.body = std::string(1'000, 'b');
  item.headers = {{"Name", std::string(500, 'v')}};
  CHECK(MemoryOf(std::vector{item}) >= empty + 1'500);
  CHECK(MemoryOf(std::vector{item, item}) == 2 * MemoryOf(std::vector{item}));
  const auto result = ItemResult{"i", true, std::string(2'000, 't')};
  CHECK(MemoryOf(std::vector{result}) >= 2'000);
}

}  // namespace
}  // namespace kumquatgauge::serving
