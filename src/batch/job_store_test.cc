#include "kumquatgauge/batch/job_store.h"

#include <catch2/catch.hpp>

#include "batch/test_cluster.h"

namespace kumquatgauge::batch {
namespace {

using testing::StoreFault;
using testing::TestCluster;

// A submitted job of three chunks that has no owner yet.
class StoredJob {
 public:
  StoredJob() : jobs(cluster.DirectStore()), job(cluster.MakeJob("j", 600)) {
    auto submission = Submission(
        cluster.store, job.request, [this] { return cluster.WallNow(); },
        [this] { return cluster.random(); });
    cluster.Wait(submission.Append(job.body));
    cluster.Wait(submission.Finish());
  }

  auto Stored() -> StoredState {
    const auto stored = cluster.Direct(jobs.ReadState(id()));
    return stored ? *stored : StoredState();
  }
  auto id() const -> JobId { return job.id(); }
  auto TakeOver(std::uint64_t token) -> UpdateResult {
    return cluster.Wait(jobs.TakeOver(id(), Stored(), token));
  }
  auto Commit(const StoredState& base,
              std::uint64_t token,
              const std::vector<std::size_t>& chunks) -> UpdateResult {
    auto parts = std::vector<PartCommit>();
    for (const auto chunk : chunks) {
      parts.push_back({chunk, {.part = 0, .token = token, .count = 10}});
    }
    return cluster.Wait(
        jobs.Commit(id(), base, token, parts, {}, std::nullopt));
  }

  TestCluster cluster;
  JobStore jobs;
  testing::TestJob job;
};

// Guards against commits of a former owner after a takeover.
TEST_CASE("JobStore.RefusesTheCommitOfAFormerOwner") {
  auto test = StoredJob();
  const auto former = test.TakeOver(1).stored;
  test.TakeOver(2);
  CHECK(test.Commit(former, 1, {0}).verdict == UpdateVerdict::kFenced);
  CHECK(test.Commit(test.Stored(), 1, {0}).verdict == UpdateVerdict::kFenced);
  CHECK(test.TakeOver(1).verdict == UpdateVerdict::kFenced);
  CHECK(test.Stored().state.results() == 0);
}

// Guards against adding results to a cancelled job.
TEST_CASE("JobStore.RefusesACommitAfterACancel") {
  auto test = StoredJob();
  const auto owned = test.TakeOver(1).stored;
  test.cluster.Wait(test.jobs.Cancel(test.id(), 5));
  CHECK(test.Commit(owned, 1, {0}).verdict == UpdateVerdict::kEnded);
  CHECK(test.TakeOver(2).verdict == UpdateVerdict::kEnded);
  CHECK(test.Stored().state.results() == 0);
}

// Guards against listing parts twice when the response to their commit was lost
// and the next commit contains more parts, including when another writer has
// written in between.
TEST_CASE("JobStore.NamesEachPartOnceAfterALostAnswer") {
  auto test = StoredJob();
  const auto owned = test.TakeOver(1).stored;
  test.cluster.set_fault([](const auto& call, const auto& /*key*/) {
    return call == "write" ? StoreFault::kLoseAnswer : StoreFault::kUnavailable;
  });
  try {
    test.Commit(owned, 1, {0});
    FAIL("an unsettled commit was reported as settled");
  } catch (const Error& error) {
    CHECK(error.kind() == ErrorKind::kUnknownOutcome);
  }
  test.cluster.ClearFaults();
  CHECK(test.Commit(owned, 1, {0, 1}).verdict == UpdateVerdict::kApplied);
  CHECK(test.Stored().state.chunks.at(0).size() == 1);
  CHECK(test.Stored().state.results() == 20);
  test.cluster.Wait(test.jobs.Cancel(test.id(), 5));
  CHECK(test.Commit(owned, 1, {0, 1}).verdict == UpdateVerdict::kApplied);
  CHECK(test.Stored().state.results() == 20);
}

}  // namespace
}  // namespace kumquatgauge::batch
