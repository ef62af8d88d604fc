#include "kumquatgauge/batch/scheduler.h"

#include <algorithm>
#include <limits>

namespace kumquatgauge::batch {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

auto InSeconds(milliseconds time) -> std::string {
  return std::to_string(duration_cast<seconds>(time).count()) + " s";
}

}  // namespace

auto EstimateJob(const JobWork& job, WallTime now) -> JobEstimate {
  const auto parallel = std::max<std::size_t>(job.parallel, 1);
  // Rounds up: two items on three slots take one item time.
  const auto rounds = (job.remaining + parallel - 1) / parallel;
  auto estimate = JobEstimate();
  estimate.work = job.item_time * rounds;
  const auto left = duration_cast<milliseconds>(job.due - now);
  estimate.slack = left - estimate.work;
  estimate.on_time = estimate.slack >= milliseconds(0);
  if (!estimate.on_time) {
    estimate.reason = std::to_string(job.remaining) + " items of " +
                      std::to_string(job.item_time.count()) + " ms, " +
                      std::to_string(parallel) + " at a time, need " +
                      InSeconds(estimate.work) + " and " + InSeconds(left) +
                      " are left";
  }
  return estimate;
}

auto Scheduler::ServedBy(const OrganisationName& organisation) const
    -> std::uint64_t {
  const auto found = served_.find(organisation);
  return found == served_.end() ? 0 : found->second;
}

auto Scheduler::Pick(const std::vector<JobWork>& ready, WallTime now) const
    -> std::optional<JobId> {
  auto least_served = std::numeric_limits<std::uint64_t>::max();
  for (const auto& job : ready) {
    least_served = std::min(least_served, ServedBy(job.organisation));
  }
  const JobWork* best = nullptr;
  auto best_slack = milliseconds::max();
  for (const auto& job : ready) {
    if (ServedBy(job.organisation) > least_served + kMaxFairnessLead) {
      continue;
    }
    const auto slack = EstimateJob(job, now).slack;
    if (best == nullptr || slack < best_slack) {
      best = &job;
      best_slack = slack;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->id);
}

auto Scheduler::OnItemStarted(const OrganisationName& organisation) -> void {
  ++served_[organisation];
}

auto Scheduler::SetActive(const std::vector<OrganisationName>& active) -> void {
  auto kept = std::map<OrganisationName, std::uint64_t>();
  auto least = std::numeric_limits<std::uint64_t>::max();
  for (const auto& organisation : active) {
    const auto found = served_.find(organisation);
    if (found != served_.end()) {
      kept.insert(*found);
      least = std::min(least, found->second);
    }
  }
  const auto level = kept.empty() ? 0 : least;
  for (const auto& organisation : active) {
    kept.emplace(organisation, level);
  }
  served_ = std::move(kept);
}

}  // namespace kumquatgauge::batch
