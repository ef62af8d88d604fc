#include "kumquatgauge/serving/work_shares.h"

#include <algorithm>
#include <cmath>

namespace kumquatgauge::serving {
namespace {

// How often the sums decay, as a share of the time constant; seldom enough to
// cost nothing.
constexpr double kDecayShare = 0.05;
// Share of a typical request below which an organisation is forgotten.
constexpr double kForgottenShare = 0.01;

}  // namespace

auto WorkShares::OnRequest(const OrganisationName& organisation,
                           double work,
                           MonotonicTime now) -> void {
  Decay(now);
  work_[organisation] += work;
  total_ += work;
  requests_ += 1.0;
}

auto WorkShares::Weight(const OrganisationName& organisation) const -> double {
  const auto found = work_.find(organisation);
  if (found == work_.end()) {
    return 1.0;
  }
  return std::max(1.0,
                  found->second * static_cast<double>(work_.size()) / total_);
}

auto WorkShares::typical() const -> double {
  return requests_ > 0.0 ? total_ / requests_ : 1.0;
}

auto WorkShares::Decay(MonotonicTime now) -> void {
  if (work_.empty()) {
    decayed_at_ = now;
    return;
  }
  const auto passed = std::chrono::duration<double>(now - decayed_at_) /
                      std::chrono::duration<double>(settings_.memory);
  if (passed < kDecayShare) {
    return;
  }
  decayed_at_ = now;
  const auto factor = std::exp(-passed);
  const auto forgotten = typical() * kForgottenShare;
  total_ = 0.0;
  requests_ *= factor;
  for (auto entry = work_.begin(); entry != work_.end();) {
    entry->second *= factor;
    if (entry->second < forgotten) {
      entry = work_.erase(entry);
    } else {
      total_ += entry->second;
      ++entry;
    }
  }
}

}  // namespace kumquatgauge::serving
