#include "kumquatgauge/serving/job_state_check.h"

#include <utility>

namespace kumquatgauge::serving {

auto StateCheckSchedule::Add(const JobId& job, MonotonicTime known_at) -> void {
  checks_[job] = {known_at, known_at + settings_.interval, false, false};
}

auto StateCheckSchedule::Remove(const JobId& job) -> void {
  checks_.erase(job);
}

auto StateCheckSchedule::OnKnown(const JobId& job, MonotonicTime known_at)
    -> void {
  const auto found = checks_.find(job);
  if (found != checks_.end()) {
    found->second = {known_at, known_at + settings_.interval, false, false};
  }
}

auto StateCheckSchedule::OnFailed(const JobId& job, MonotonicTime now) -> bool {
  const auto found = checks_.find(job);
  if (found == checks_.end()) {
    return false;
  }
  auto& check = found->second;
  check.next = now + settings_.retry_delay;
  check.reading = false;
  return !std::exchange(check.failed, true);
}

auto StateCheckSchedule::TakeDue(MonotonicTime now) -> std::vector<JobId> {
  auto due = std::vector<JobId>();
  for (auto& [job, check] : checks_) {
    if (!check.reading && check.next <= now) {
      check.reading = true;
      due.push_back(job);
    }
  }
  return due;
}

auto StateCheckSchedule::MayRun(const JobId& job,
                                MonotonicTime now,
                                bool isolated) const -> bool {
  const auto found = checks_.find(job);
  return !isolated || found == checks_.end() ||
         now - found->second.known_at <= settings_.isolated_limit;
}

}  // namespace kumquatgauge::serving
