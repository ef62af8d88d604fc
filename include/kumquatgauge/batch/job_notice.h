#ifndef KUMQUATGAUGE_BATCH_JOB_NOTICE_H_
#define KUMQUATGAUGE_BATCH_JOB_NOTICE_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/batch/job.h"

namespace kumquatgauge::batch {

// The stored end of a job.
struct JobEnd {
  JobStatus status = JobStatus::kCancelled;
  WallMillis ended = 0;
  std::uint64_t version = 0;  // Version of the state object.

  auto operator==(const JobEnd&) const -> bool = default;
};

// A message between nodes about a job, sent as a datagram that may be lost.
struct JobNotice {
  enum class Kind {
    kChanged,       // The job was submitted or changed; read its objects.
    kEnded,         // The job has the stored end `end`.
    kEndConfirmed,  // The sender does not run the job, which has ended.
  };

  Kind kind = Kind::kChanged;
  JobId job;
  NodeId sender;
  std::optional<JobEnd> end;  // Set if `kind` is kEnded.

  auto operator==(const JobNotice&) const -> bool = default;
};

// Convert to and from the fields of a datagram. "t" holds the type.
auto ToMessage(const JobNotice& notice) -> nlohmann::json;
// Returns nullopt if `message` is not a valid job notice.
auto JobNoticeFrom(const nlohmann::json& message) -> std::optional<JobNotice>;

}  // namespace kumquatgauge::batch

#endif  // KUMQUATGAUGE_BATCH_JOB_NOTICE_H_
