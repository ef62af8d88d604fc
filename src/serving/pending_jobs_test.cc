#include "kumquatgauge/serving/pending_jobs.h"

#include <catch2/catch.hpp>

namespace kumquatgauge::serving {
namespace {

const JobId kJob("7c41");

auto MakeStored(std::uint64_t version, bool ended) -> StoredState {
  return {{kJob, NodeId("n1"), 5, 1'000, 2, ended, false}, version};
}

// Guards against an end that is lost because it is told before the job is
// added, in whichever order older states are told.
TEST_CASE("PendingJobs.KeepsTheNewestStateThatWasTold") {
  auto jobs = PendingJobs();
  const auto submission = jobs.BeginSubmission(kJob);
  CHECK_FALSE(submission->newest());
  CHECK(jobs.OnState(MakeStored(7, false)));
  CHECK(jobs.OnState(MakeStored(8, true)));
  CHECK(jobs.OnState(MakeStored(6, false)));
  CHECK(submission->newest() == MakeStored(8, true));
}

// Guards against an end that is confirmed to the node that told it, and then
// forgotten with the first of several operations.
TEST_CASE("PendingJobs.KeepsTheStateUntilTheLastOperationIsOver") {
  auto jobs = PendingJobs();
  auto first = jobs.BeginSubmission(kJob);
  const auto repeated = jobs.BeginSubmission(kJob);
  auto takeover = jobs.BeginTakeover(kJob);
  CHECK(jobs.OnState(MakeStored(8, true)));
  first.reset();
  CHECK(jobs.submits(kJob));
  takeover.reset();
  CHECK_FALSE(jobs.takes_over(kJob));
  CHECK(repeated->newest() == MakeStored(8, true));
}

// Guards against memory that grows with the jobs that nodes tell about.
TEST_CASE("PendingJobs.KeepsNothingOfOtherJobs") {
  auto jobs = PendingJobs();
  CHECK_FALSE(jobs.OnState(MakeStored(8, true)));
  auto submission = jobs.BeginSubmission(kJob);
  CHECK_FALSE(submission->newest());
  submission.reset();
  CHECK_FALSE(jobs.contains(kJob));
}

// Guards against two takeovers of one job by the same node, each of which would
// close the list of results.
TEST_CASE("PendingJobs.TakesAJobOverOnceAtATime") {
  auto jobs = PendingJobs();
  const auto submission = jobs.BeginSubmission(kJob);
  auto takeover = jobs.BeginTakeover(kJob);
  REQUIRE(takeover != nullptr);
  CHECK(jobs.BeginTakeover(kJob) == nullptr);
  takeover.reset();
  CHECK(jobs.BeginTakeover(kJob) != nullptr);
}

}  // namespace
}  // namespace kumquatgauge::serving
