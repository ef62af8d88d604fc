#include "kumquatgauge/serving/end_notices.h"

#include <algorithm>
#include <utility>

namespace kumquatgauge::serving {

auto EndNotices::Add(const StoredState& ended) -> bool {
  const auto owner = find_owner_(ended.state);
  if (owner == OwnerStatus::kGone) {
    return false;
  }
  if (notices_.size() >= settings_.max_notices) {
    ++dropped_;
    return false;
  }
  const auto now = clock_();
  const auto added = Notice{ended, now + settings_.lifetime, now,
                            settings_.initial_delay, false};
  auto& notice = notices_.try_emplace(ended.state.id, added).first->second;
  if (notice.ended.version < ended.version) {
    notice.ended = ended;
  }
  return owner == OwnerStatus::kLive && !std::exchange(notice.sending, true);
}

auto EndNotices::TakeDue() -> std::vector<StoredState> {
  const auto now = clock_();
  auto due = std::vector<StoredState>();
  for (auto entry = notices_.begin(); entry != notices_.end();) {
    auto& notice = entry->second;
    if (notice.expires <= now) {
      ++dropped_;
      entry = notices_.erase(entry);
      continue;
    }
    if (notice.sending || notice.next > now ||
        due.size() == settings_.max_due) {
      ++entry;
      continue;
    }
    const auto owner = find_owner_(notice.ended.state);
    if (owner == OwnerStatus::kGone) {
      entry = notices_.erase(entry);
      continue;
    }
    notice.sending = owner == OwnerStatus::kLive;
    notice.next = now + settings_.initial_delay;
    if (notice.sending) {
      due.push_back(notice.ended);
    }
    ++entry;
  }
  return due;
}

auto EndNotices::OnConfirmed(const JobId& job) -> void {
  notices_.erase(job);
}

auto EndNotices::OnFailed(const JobId& job) -> void {
  const auto found = notices_.find(job);
  if (found == notices_.end()) {
    return;
  }
  auto& notice = found->second;
  notice.sending = false;
  notice.next = clock_() + notice.delay;
  notice.delay = std::min(notice.delay * 2, settings_.max_delay);
}

}  // namespace kumquatgauge::serving
