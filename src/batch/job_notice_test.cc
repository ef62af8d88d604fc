#include "kumquatgauge/batch/job_notice.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace kumquatgauge::batch {
namespace {

// Guards against a notice that loses the fact that the job has ended.
TEST_CASE("JobNotice.KeepsItsFieldsInAMessage") {
  auto notice = JobNotice{.kind = JobNotice::Kind::kChanged,
                          .job = JobId("j"),
                          .sender = NodeId("n"),
                          .end = {}};
  CHECK(JobNoticeFrom(ToMessage(notice)) == notice);
  notice.kind = JobNotice::Kind::kEndConfirmed;
  CHECK(JobNoticeFrom(ToMessage(notice)) == notice);
  notice.kind = JobNotice::Kind::kEnded;
  notice.end =
      JobEnd{.status = JobStatus::kCompleted, .ended = 12, .version = 7};
  CHECK(JobNoticeFrom(ToMessage(notice)) == notice);
}

// Guards against a malformed datagram that ends a job.
TEST_CASE("JobNotice.RefusesAMalformedMessage") {
  const auto valid = ToMessage({.kind = JobNotice::Kind::kEnded,
                                .job = JobId("j"),
                                .sender = NodeId("n"),
                                .end = JobEnd()});
  auto running = valid;
  running["end"]["status"] = JobStatusName(JobStatus::kRunning);
  auto unversioned = valid;
  unversioned["end"].erase("version");
  auto nameless = valid;
  nameless.erase("job");
  REQUIRE(JobNoticeFrom(valid).has_value());
  CHECK_FALSE(JobNoticeFrom(running).has_value());
  CHECK_FALSE(JobNoticeFrom(unversioned).has_value());
  CHECK_FALSE(JobNoticeFrom(nameless).has_value());
}

}  // namespace
}  // namespace kumquatgauge::batch
