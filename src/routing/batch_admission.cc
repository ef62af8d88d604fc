#include "kumquatgauge/routing/batch_admission.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace kumquatgauge::routing {
namespace {

// The busy level is the mean of the peaks of the last kPeakIntervals intervals.
constexpr auto kPeakInterval = std::chrono::seconds(5);
constexpr std::size_t kPeakIntervals = 24;
// Share of the busy level up to which batch fills the replica at lean 0. With
// the whole level or three quarters of it, the online first-token p99 rose by
// more than a tenth in one of six simulated runs; with half of it, in none.
constexpr double kBusyShare = 0.5;
// Share of the slots that the idle-only rule reserves for online at lean 0.
constexpr double kIdleReserve = 0.25;
// Late tokens lower the level at most once in this time, since all streams of
// an engine are late at the same time.
constexpr auto kMinDecreaseInterval = std::chrono::milliseconds(200);
constexpr double kDecreaseFactor = 0.9;
constexpr double kIncreaseStep = 0.002;
constexpr double kMinFactor = 0.05;
// From this lean on, batch is preempted only when its slots are needed.
constexpr double kRetainLean = 0.5;

auto Ratio(Duration part, Duration whole) -> double {
  return std::chrono::duration<double>(part) /
         std::chrono::duration<double>(whole);
}

}  // namespace

BatchAdmission::BatchAdmission(BatchAdmissionSettings settings, Clock clock)
    : settings_(settings),
      clock_(std::move(clock)),
      last_online_(clock_() - settings.online_idle_time),
      decreased_at_(clock_()) {}

auto BatchAdmission::SetSettings(const BatchAdmissionSettings& settings)
    -> void {
  settings_ = settings;
}

auto BatchAdmission::OnOnlineRequests(std::uint32_t online) -> void {
  auto now = clock_();
  if (online > 0 || online_ > 0) {
    last_online_ = now;
  }
  online_ = online;
  if (peaks_.empty() || now - peaks_.back().start >= kPeakInterval) {
    peaks_.push_back({now, online});
    if (peaks_.size() > kPeakIntervals) {
      peaks_.pop_front();
    }
  }
  peaks_.back().online = std::max(peaks_.back().online, online);
}

auto BatchAdmission::OnFirstToken(Duration latency) -> void {
  OnLatency(Ratio(latency, settings_.first_token_target));
}

auto BatchAdmission::OnInterToken(Duration gap) -> void {
  OnLatency(Ratio(gap, settings_.inter_token_target));
}

auto BatchAdmission::AdmissionLimit(std::uint32_t limit,
                                    std::uint32_t online) const
    -> std::uint32_t {
  auto free = limit - std::min(limit, online);
  switch (settings_.rule) {
    case BatchRule::kFixedShare: {
      auto share = std::floor(settings_.share * limit);
      return std::min(free, static_cast<std::uint32_t>(share));
    }
    case BatchRule::kIdleOnly: {
      auto reserve = static_cast<std::uint32_t>(
          std::ceil((1.0 - settings_.lean) * kIdleReserve * limit));
      return free - std::min(free, reserve);
    }
    case BatchRule::kFeedback:
      break;
  }
  auto level = static_cast<std::uint32_t>(std::floor(FeedbackLevel(limit)));
  return std::min(free, level - std::min(level, online));
}

auto BatchAdmission::PreemptionLimit(std::uint32_t limit,
                                     std::uint32_t online) const
    -> std::uint32_t {
  auto free = limit - std::min(limit, online);
  if (settings_.rule != BatchRule::kFeedback || settings_.lean >= kRetainLean) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  // One slot of hysteresis, so that a single online request that arrives and
  // ends does not preempt and restart an item each time.
  auto level = FeedbackLevel(limit) + 1.0;
  auto retained_level = level + settings_.lean / kRetainLean * (limit - level);
  auto max_level =
      static_cast<std::uint32_t>(std::floor(std::max(level, retained_level)));
  return std::min(free, max_level - std::min(max_level, online));
}

auto BatchAdmission::OnLatency(double latency_ratio) -> void {
  if (latency_ratio <= 1.0) {
    level_factor_ = std::min(1.0, level_factor_ + kIncreaseStep);
    return;
  }
  auto now = clock_();
  if (now - decreased_at_ >= kMinDecreaseInterval) {
    level_factor_ = std::max(kMinFactor, level_factor_ * kDecreaseFactor);
    decreased_at_ = now;
  }
}

auto BatchAdmission::BusyLevel() const -> double {
  double sum = 0.0;
  for (const auto& peak : peaks_) {
    sum += peak.online;
  }
  return peaks_.empty() ? 0.0 : sum / static_cast<double>(peaks_.size());
}

auto BatchAdmission::FeedbackLevel(std::uint32_t limit) const -> double {
  if (online_ == 0 && clock_() - last_online_ >= settings_.online_idle_time) {
    return limit;
  }
  auto busy = std::min<double>(kBusyShare * BusyLevel(), limit);
  auto level = busy + settings_.lean * (limit - busy);
  // At least one item may run, so that batch finishes at every setting.
  return std::max(1.0, level * level_factor_);
}

}  // namespace kumquatgauge::routing
