#include "kumquatgauge/routing/batch_room.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace kumquatgauge::routing {
namespace {

// The busy level is taken from the peaks of this many stretches.
constexpr auto kStretch = std::chrono::seconds(5);
constexpr std::size_t kStretches = 24;
// Share of the busy level up to which batch fills the replica at lean 0. With
// the whole level, the online first-token p99 rose by more than a tenth in one
// of six simulated runs, with three quarters too, with half in none.
constexpr double kBusyShare = 0.5;
// Share of the slots that the idle-only rule keeps free at lean 0.
constexpr double kIdleReserve = 0.25;
// A late token lowers the level, at most once in this time, since the streams
// of one engine are late together.
constexpr auto kLowerEvery = std::chrono::milliseconds(200);
constexpr double kLower = 0.9;
constexpr double kRaise = 0.002;
constexpr double kLowestFactor = 0.05;
// From this lean on, running batch stays until its slots are needed.
constexpr double kStayLean = 0.5;

auto Ratio(Duration part, Duration whole) -> double {
  return std::chrono::duration<double>(part) /
         std::chrono::duration<double>(whole);
}

}  // namespace

BatchRoom::BatchRoom(BatchRoomSettings settings, Clock clock)
    : settings_(settings),
      clock_(std::move(clock)),
      last_online_(clock_() - settings.quiet),
      lowered_at_(clock_()) {}

auto BatchRoom::SetSettings(const BatchRoomSettings& settings) -> void {
  settings_ = settings;
}

auto BatchRoom::OnOnline(std::uint32_t online) -> void {
  auto now = clock_();
  if (online > 0 || online_ > 0) {
    last_online_ = now;
  }
  online_ = online;
  if (peaks_.empty() || now - peaks_.back().start >= kStretch) {
    peaks_.push_back({now, online});
    if (peaks_.size() > kStretches) {
      peaks_.pop_front();
    }
  }
  peaks_.back().online = std::max(peaks_.back().online, online);
}

auto BatchRoom::OnFirstToken(Duration latency) -> void {
  OnLatency(Ratio(latency, settings_.first_token_target));
}

auto BatchRoom::OnInterToken(Duration gap) -> void {
  OnLatency(Ratio(gap, settings_.inter_token_target));
}

auto BatchRoom::Allowed(std::uint32_t limit, std::uint32_t online) const
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

auto BatchRoom::AllowedToStay(std::uint32_t limit, std::uint32_t online) const
    -> std::uint32_t {
  auto free = limit - std::min(limit, online);
  if (settings_.rule != BatchRule::kFeedback || settings_.lean >= kStayLean) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  // One more than the level, so that an online request that comes and goes does
  // not preempt and restart an item each time.
  auto level = FeedbackLevel(limit) + 1.0;
  auto stay = level + settings_.lean / kStayLean * (limit - level);
  auto most = static_cast<std::uint32_t>(std::floor(std::max(level, stay)));
  return std::min(free, most - std::min(most, online));
}

auto BatchRoom::OnLatency(double share_of_target) -> void {
  if (share_of_target <= 1.0) {
    factor_ = std::min(1.0, factor_ + kRaise);
    return;
  }
  auto now = clock_();
  if (now - lowered_at_ >= kLowerEvery) {
    factor_ = std::max(kLowestFactor, factor_ * kLower);
    lowered_at_ = now;
  }
}

auto BatchRoom::BusyLevel() const -> double {
  double sum = 0.0;
  for (const auto& peak : peaks_) {
    sum += peak.online;
  }
  return peaks_.empty() ? 0.0 : sum / static_cast<double>(peaks_.size());
}

auto BatchRoom::FeedbackLevel(std::uint32_t limit) const -> double {
  if (online_ == 0 && clock_() - last_online_ >= settings_.quiet) {
    return limit;
  }
  auto busy = std::min<double>(kBusyShare * BusyLevel(), limit);
  auto level = busy + settings_.lean * (limit - busy);
  // Batch must come to an end at every setting.
  return std::max(1.0, level * factor_);
}

}  // namespace kumquatgauge::routing
