#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "kumquatgauge/batch/commit_policy.h"
#include "kumquatgauge/batch/item_retry.h"
#include "kumquatgauge/batch/job.h"
#include "kumquatgauge/batch/scheduler.h"
#include "kumquatgauge/batch/shard_assignment.h"

namespace kumquatgauge::batch {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const auto kStart = MonotonicTime(hours(1));

auto Lost(const std::string& replica, std::uint64_t tokens = 0)
    -> AttemptResult {
  auto result = AttemptResult{.dispatch = {},
                              .text = std::string(tokens, 't'),
                              .replica = ReplicaId(replica)};
  result.dispatch.kind = routing::DispatchResult::Kind::kLost;
  result.dispatch.outcome.tokens = tokens;
  return result;
}

TEST_CASE("ItemRetry.DoublesTheDelayAvoidsTheReplicaAndGivesUp") {
  auto retry = ItemRetry();
  auto delays = std::vector<Duration>();
  auto exclusive = std::vector<bool>{retry.exclusive()};
  for (const auto* replica : {"r1", "r2", "r3"}) {
    delays.push_back(retry.OnAttemptEnded(Lost(replica), kStart).not_before -
                     kStart);
    CHECK(retry.avoid() == ReplicaId(replica));
    exclusive.push_back(retry.exclusive());
  }
  CHECK(delays ==
        std::vector<Duration>{milliseconds(500), seconds(1), seconds(2)});
  CHECK(exclusive == std::vector<bool>{false, false, true, true});
  const auto last = retry.OnAttemptEnded(Lost("r4"), kStart);
  CHECK(last.kind == RetryDecision::Kind::kFailed);
  CHECK(last.reason == "failed 4 times, last: replica was lost");
}

// Guards against a valid item that fails because engines were busy.
TEST_CASE("ItemRetry.DoesNotChargeRefusalAndPreemption") {
  auto retry = ItemRetry();
  auto busy = AttemptResult();
  busy.dispatch.kind = routing::DispatchResult::Kind::kBusy;
  busy.dispatch.outcome.retry_after = seconds(2);
  CHECK(retry.OnAttemptEnded(busy, kStart).not_before == kStart + seconds(2));
  auto preempted = Lost("r1", 7);
  preempted.dispatch.kind = routing::DispatchResult::Kind::kPreempted;
  CHECK(retry.OnAttemptEnded(preempted, kStart).not_before == kStart);
  CHECK(retry.resume_offset() == 7);
  CHECK(retry.resume_text() == "ttttttt");
  CHECK(retry.attempts() == 0);
}

// Guards against resuming from the text of a failed response.
TEST_CASE("ItemRetry.RestartsFromZeroAfterAFailedResponse") {
  auto retry = ItemRetry();
  retry.OnAttemptEnded(Lost("r1", 7), kStart);
  auto failed = Lost("r2", 9);
  failed.dispatch.kind = routing::DispatchResult::Kind::kEnded;
  failed.dispatch.outcome.kind = OutcomeKind::kFailed;
  retry.OnAttemptEnded(failed, kStart);
  CHECK(retry.resume_offset() == 0);
  CHECK(retry.attempts() == 2);
}

TEST_CASE("CommitPolicy.CommitsOncePartiallyAndAtTheEnd") {
  auto policy = CommitPolicy();
  policy.OnOpened(0, false, kStart);
  policy.OnResultsWaiting(0, 127, false, kStart);
  CHECK(policy.ChunksDue(kStart + milliseconds(4'900)).empty());
  CHECK(policy.ChunksDue(kStart + seconds(5)) == std::vector<std::size_t>{0});
  policy.OnCommitted(0);
  policy.OnResultsWaiting(0, 128, false, kStart + seconds(6));
  CHECK(policy.ChunksDue(kStart + seconds(60)).empty());
  policy.OnResultsWaiting(0, 129, true, kStart + seconds(61));
  CHECK(policy.ChunksDue(kStart + seconds(61)).size() == 1);
}

// Guards against using the only partial commit for a single slow item.
TEST_CASE("CommitPolicy.WaitsForMoreWhenTheFirstResultIsLate") {
  auto policy = CommitPolicy();
  policy.OnOpened(0, false, kStart);
  policy.OnResultsWaiting(0, 1, false, kStart + seconds(8));
  CHECK(policy.ChunksDue(kStart + seconds(8)).empty());
  CHECK(policy.ChunksDue(kStart + seconds(13)).size() == 1);
}

TEST_CASE("CommitPolicy.SharesOneUpdateAmongChunksWithin1s") {
  auto policy = CommitPolicy();
  for (const auto chunk : {0U, 1U, 2U}) {
    policy.OnOpened(chunk, false, kStart);
  }
  policy.OnResultsWaiting(0, 128, false, kStart);
  CHECK(policy.ChunksDue(kStart).empty());
  policy.OnResultsWaiting(1, 200, false, kStart + milliseconds(900));
  CHECK(policy.ChunksDue(kStart + milliseconds(900)).empty());
  CHECK(policy.ChunksDue(kStart + seconds(1)) ==
        std::vector<std::size_t>{0, 1});
}

auto Work(const std::string& id,
          const std::string& organisation,
          seconds due,
          std::size_t remaining = 10) -> JobWork {
  return {.id = JobId(id),
          .organisation = OrganisationName(organisation),
          .due = WallTime(due),
          .remaining = remaining,
          .item_time = milliseconds(1'000),
          .parallel = 2};
}

TEST_CASE("Scheduler.PicksLeastSlackNotEarliestDueTime") {
  const auto now = WallTime(seconds(0));
  const auto early = Work("early", "o", seconds(100), 10);
  const auto large = Work("large", "o", seconds(150), 200);
  CHECK(Scheduler().Pick({early, large}, now) == JobId("large"));
}

// Guards against one organisation's urgent jobs starving all others.
TEST_CASE("Scheduler.SharesAmongOrganisations") {
  auto scheduler = Scheduler();
  const auto urgent = Work("urgent", "greedy", seconds(1), 100'000);
  const auto calm = Work("calm", "modest", seconds(90'000));
  auto started = std::map<std::string, int>();
  scheduler.SetActive({urgent.organisation, calm.organisation});
  for (auto i = 0; i < 2'000; ++i) {
    const auto id = scheduler.Pick({urgent, calm}, WallTime(seconds(0)));
    const auto& job = id == urgent.id ? urgent : calm;
    ++started[job.organisation.value()];
    scheduler.OnItemStarted(job.organisation);
  }
  CHECK(started["modest"] >= 800);
  CHECK(started["greedy"] > started["modest"]);
}

// Guards against credit for the time in which an organisation was idle.
TEST_CASE("Scheduler.GivesNoCreditForIdleTime") {
  auto scheduler = Scheduler();
  const auto busy = OrganisationName("busy");
  scheduler.SetActive({busy});
  for (auto i = 0; i < 10'000; ++i) {
    scheduler.OnItemStarted(busy);
  }
  const auto late = Work("late", "new", seconds(90'000));
  const auto urgent = Work("urgent", "busy", seconds(1));
  scheduler.SetActive({busy, late.organisation});
  CHECK(scheduler.Pick({late, urgent}, WallTime(seconds(0))) ==
        JobId("urgent"));
}

TEST_CASE("Scheduler.ExplainsWhyAJobWillBeLate") {
  const auto estimate =
      EstimateJob(Work("j", "o", seconds(5), 15), WallTime(seconds(0)));
  CHECK_FALSE(estimate.on_time);
  CHECK(estimate.reason ==
        "15 items of 1000 ms, 2 at a time, need 8 s and 5 s are left");
}

// Guards against moving shards of surviving nodes when a node dies.
TEST_CASE("ShardAssignment.MovesOnlyTheShardsOfALostNodeToTheirStandby") {
  auto nodes = std::vector<NodeId>();
  for (auto i = 0; i < 20; ++i) {
    nodes.emplace_back("node-" + std::to_string(i));
  }
  const auto before = ShardAssignment(nodes);
  const auto& lost = before.owner(0);
  std::erase(nodes, lost);
  const auto after = ShardAssignment(nodes);
  for (std::size_t shard = 0; shard < kShardCount; ++shard) {
    CHECK(after.owner(shard) == (before.owner(shard) == lost
                                     ? before.standby(shard)
                                     : before.owner(shard)));
  }
}

// Guards against job ids shared by two pairs of organisation and key, and
// against ids that differ between builds.
TEST_CASE("JobId.DependsOnOrganisationAndKeyOnly") {
  CHECK(MakeJobId(OrganisationName("ab"), "c") !=
        MakeJobId(OrganisationName("a"), "bc"));
  CHECK(MakeJobId(OrganisationName("bar"), "key").value() ==
        MakeJobId(OrganisationName("bar"), "key").value());
}

// Guards against a response that cannot be written because an engine split a
// character.
TEST_CASE("ItemResult.SurvivesBrokenUtf8") {
  auto result = ItemResult();
  result.text = "\xc3";
  CHECK(ItemResult::FromJson(result.ToJson()).text == "\xef\xbf\xbd");
}

}  // namespace
}  // namespace kumquatgauge::batch
