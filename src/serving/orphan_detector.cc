#include "kumquatgauge/serving/orphan_detector.h"

#include <algorithm>

namespace kumquatgauge::serving {

auto OrphanDetector::WaitFor(OwnerPresence owner, bool alone) const
    -> Duration {
  switch (owner) {
    case OwnerPresence::kLeaving:
      return settings_.handover_time;
    case OwnerPresence::kUnknown:
      return alone ? settings_.alone_wait : settings_.unknown_wait;
    case OwnerPresence::kLive:
    case OwnerPresence::kGone:
      break;
  }
  return Duration::zero();
}

auto OrphanDetector::IsOrphan(const JobId& job,
                              OwnerPresence owner,
                              bool alone,
                              MonotonicTime now) -> bool {
  if (owner == OwnerPresence::kLive) {
    absences_.erase(job);
    return false;
  }
  auto& absence = absences_.try_emplace(job, Absence{now, now}).first->second;
  absence.until = absence.since + WaitFor(owner, alone);
  return now >= absence.until;
}

auto OrphanDetector::AbsentFor(const JobId& job, MonotonicTime now) const
    -> Duration {
  const auto found = absences_.find(job);
  return found == absences_.end() ? Duration::zero()
                                  : now - found->second.since;
}

auto OrphanDetector::Prune(const std::vector<StoredState>& states) -> void {
  std::erase_if(absences_, [&](const auto& entry) {
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

auto OrphanDetector::RequestNextCheck(MonotonicTime now) -> void {
  for (const auto& [job, absence] : absences_) {
    RequestScan(
        absence.until > now ? absence.until : now + settings_.repeat_delay,
        true);
  }
}

auto OrphanDetector::BeginScan(MonotonicTime now) -> bool {
  last_scan_ = now;
  next_scan_.reset();
  const auto exact = exact_;
  exact_ = false;
  return exact;
}

}  // namespace kumquatgauge::serving
