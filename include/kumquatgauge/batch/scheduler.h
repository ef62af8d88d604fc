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

// Time of one item before any of the job has ended.
inline constexpr std::chrono::milliseconds kAssumedItemTime{2'000};
// An organisation may run this many items ahead of the one that had the
// fewest. Within it least slack decides; beyond it fairness does. One chunk:
// smaller would open chunks of many jobs at once, larger would let one
// organisation's urgent jobs hold back the others for minutes.
inline constexpr std::uint64_t kMaxFairnessLead = 256;

// What the scheduler knows of an unfinished job.
struct JobWork {
  JobId id;
  OrganisationName organisation;
  WallTime due;
  std::size_t remaining = 0;  // Items without a result.
  std::chrono::milliseconds item_time = kAssumedItemTime;
  std::size_t parallel = 1;  // Items expected to run side by side.

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

// Chooses the job whose item starts next: least slack first, fair across
// organisations.
class Scheduler {
 public:
  // `ready` are the jobs with an item that can start now.
  auto Pick(const std::vector<JobWork>& ready, WallTime now) const
      -> std::optional<JobId>;
  // An item of the organisation was started. An organisation that was idle
  // joins at the level of the least served of `active`, so that it can not
  // claim the time in which it had no work.
  auto OnItemStarted(const OrganisationName& organisation) -> void;
  // Keeps the books of these organisations, which have unfinished jobs, only.
  auto SetActive(const std::vector<OrganisationName>& active) -> void;

 private:
  auto ServedBy(const OrganisationName& organisation) const -> std::uint64_t;

  std::map<OrganisationName, std::uint64_t> served_;
};

}  // namespace kumquatgauge::batch

#endif  // KUMQUATGAUGE_BATCH_SCHEDULER_H_
