#include "kumquatgauge/serving/job_state_check.h"

#include <algorithm>
#include <utility>

namespace kumquatgauge::serving {

auto StateCheckSchedule::FindCheck(const JobId& job) -> Check* {
  const auto found = checks_.find(job);
  return found == checks_.end() ? nullptr : &found->second;
}

auto StateCheckSchedule::Add(const JobId& job, MonotonicTime known_at) -> void {
  auto check = Check();
  check.known_at = known_at;
  check.next = known_at + settings_.interval;
  checks_[job] = check;
}

auto StateCheckSchedule::Remove(const JobId& job) -> void {
  checks_.erase(job);
}

auto StateCheckSchedule::OnKnown(const JobId& job, MonotonicTime known_at)
    -> void {
  if (const auto* check = FindCheck(job)) {
    Add(job, std::max(check->known_at, known_at));
  }
}

auto StateCheckSchedule::OnInexactRead(const JobId& job, MonotonicTime now)
    -> void {
  if (auto* check = FindCheck(job)) {
    check->reading = false;
    check->next = check->doubtful ? now : now + settings_.interval;
  }
}

auto StateCheckSchedule::OnFailed(const JobId& job, MonotonicTime now) -> bool {
  auto* check = FindCheck(job);
  if (check == nullptr) {
    return false;
  }
  check->next = now + settings_.retry_delay;
  check->doubtful = true;
  check->reading = false;
  return !std::exchange(check->failed, true);
}

auto StateCheckSchedule::OnStoreFailed(MonotonicTime now) -> void {
  for (auto& [job, check] : checks_) {
    if (!std::exchange(check.doubtful, true)) {
      check.next = std::min(check.next, now);
    }
  }
}

auto StateCheckSchedule::SetIsolated(bool isolated, MonotonicTime now) -> void {
  if (!isolated) {
    isolated_since_.reset();
  } else if (!isolated_since_) {
    isolated_since_ = now;
    OnStoreFailed(now);
  }
}

auto StateCheckSchedule::TakeDue(MonotonicTime now) -> std::vector<StateRead> {
  auto due = std::vector<StateRead>();
  for (auto& [job, check] : checks_) {
    if (!check.reading && check.next <= now) {
      check.reading = true;
      due.push_back({job, check.doubtful || isolated_since_.has_value()});
    }
  }
  return due;
}

auto StateCheckSchedule::MayRun(const JobId& job, MonotonicTime now) const
    -> bool {
  const auto found = checks_.find(job);
  if (!isolated_since_ || found == checks_.end()) {
    return true;
  }
  const auto since = std::max(found->second.known_at, *isolated_since_);
  return now - since <= settings_.isolated_limit;
}

}  // namespace kumquatgauge::serving
