#include "kumquatgauge/serving/orphan_detector.h"

#include <algorithm>

namespace kumquatgauge::serving {

auto OrphanDetector::IsOrphan(const JobId& job,
                              OwnerPresence owner,
                              bool alone,
                              MonotonicTime now) -> bool {
  if (owner == OwnerPresence::kLive) {
    absent_since_.erase(job);
    return false;
  }
  const auto since = absent_since_.try_emplace(job, now).first->second;
  switch (owner) {
    case OwnerPresence::kLeaving:
      return now - since >= settings_.handover_time;
    case OwnerPresence::kUnknown:
      return now - since >= UnknownWait(alone);
    case OwnerPresence::kLive:
    case OwnerPresence::kGone:
      break;
  }
  return true;
}

auto OrphanDetector::AbsentFor(const JobId& job, MonotonicTime now) const
    -> Duration {
  const auto found = absent_since_.find(job);
  return found == absent_since_.end() ? Duration::zero() : now - found->second;
}

auto OrphanDetector::Prune(const std::vector<StoredState>& states) -> void {
  std::erase_if(absent_since_, [&](const auto& entry) {
    return std::none_of(states.begin(), states.end(), [&](const auto& stored) {
      return stored.state.id == entry.first && !stored.state.done &&
             !stored.state.ended;
    });
  });
}

auto OrphanDetector::RequestScan(MonotonicTime at, bool exact) -> void {
  exact_ = exact_ || exact;
  next_scan_ = next_scan_ ? std::min(*next_scan_, at) : at;
}

auto OrphanDetector::OnMembersChanged(MonotonicTime now) -> void {
  auto at = now + settings_.scan_delay;
  if (last_scan_) {
    at = std::max(at, *last_scan_ + settings_.scan_interval);
  }
  RequestScan(at, true);
}

auto OrphanDetector::RequestNextCheck(bool alone, MonotonicTime now) -> void {
  auto first = now;
  for (const auto& [job, since] : absent_since_) {
    first = std::min(first, since);
  }
  const auto at =
      std::max(first + UnknownWait(alone), now + settings_.scan_interval);
  RequestScan(at, true);
}

auto OrphanDetector::BeginScan(MonotonicTime now) -> bool {
  last_scan_ = now;
  next_scan_.reset();
  const auto exact = exact_;
  exact_ = false;
  return exact;
}

}  // namespace kumquatgauge::serving
