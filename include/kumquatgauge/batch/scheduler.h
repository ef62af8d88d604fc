#ifndef KUMQUATGAUGE_BATCH_SCHEDULER_H_
#define KUMQUATGAUGE_BATCH_SCHEDULER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"

namespace kumquatgauge::batch {

// Assumed time per item until the first item of the job has ended.
inline constexpr std::chrono::milliseconds kAssumedItemTime{2'000};
// How many items an organisation may start ahead of the least served one.
// Within this lead, jobs are ordered by slack. The value is one chunk: a
// smaller one would open chunks of many jobs at once; a larger one would let
// one organisation's urgent jobs delay the others for minutes.
inline constexpr std::uint64_t kMaxFairnessLead = 256;

// Scheduling input for an unfinished job.
struct JobWork {
  JobId id;
  OrganisationName organisation;
  WallTime due;
  std::size_t remaining = 0;  // Items without a result.
  std::chrono::milliseconds item_time = kAssumedItemTime;
  std::size_t parallel = 1;  // Items expected to run concurrently.

  auto operator==(const JobWork&) const -> bool = default;
};

struct JobEstimate {
  std::chrono::milliseconds work{0};   // Estimated time until the last result.
  std::chrono::milliseconds slack{0};  // Time to due minus work.
  bool on_time = true;
  std::string reason;  // Why the job will be late; empty when on time.

  auto operator==(const JobEstimate&) const -> bool = default;
};

auto EstimateJob(const JobWork& job, WallTime now) -> JobEstimate;

// Chooses the job whose item starts next: least slack first, with fairness
// between organisations.
class Scheduler {
 public:
  // `ready` holds the jobs with an item that can start now.
  auto Pick(const std::vector<JobWork>& ready, WallTime now) const
      -> std::optional<JobId>;
  // Records that an item of the organisation was started.
  auto OnItemStarted(const OrganisationName& organisation) -> void;
  // Sets the organisations that have unfinished jobs and drops the counts of
  // all others. A new organisation starts at the count of the least served one,
  // so that it gets no credit for the time in which it was idle.
  auto SetActive(const std::vector<OrganisationName>& active) -> void;

 private:
  auto ServedBy(const OrganisationName& organisation) const -> std::uint64_t;

  std::map<OrganisationName, std::uint64_t> served_;
};

}  // namespace kumquatgauge::batch

#endif  // KUMQUATGAUGE_BATCH_SCHEDULER_H_
