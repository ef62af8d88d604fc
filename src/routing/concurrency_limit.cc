#include "kumquatgauge/routing/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquatgauge::routing {

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitSettings settings,
                                   Clock clock)
    : settings_(settings),
      clock_(std::move(clock)),
      limit_(std::clamp(settings.initial, settings.min, settings.max)),
      window_start_(clock_()) {}

auto ConcurrencyLimit::OnFirstToken(Duration latency) -> void {
  Add(first_token_, latency > settings_.first_token_target);
}

auto ConcurrencyLimit::OnInterToken(Duration gap) -> void {
  Add(inter_token_, gap > settings_.inter_token_target);
}

auto ConcurrencyLimit::OnRefusal() -> void {
  // The limit exceeds what the engine accepts now, even if latency is on
  // target.
  limit_ = std::max<double>(settings_.min, limit_ * settings_.decrease);
  first_token_ = {};
  inter_token_ = {};
  reached_ = false;
  window_start_ = clock_();
}

auto ConcurrencyLimit::OnRunning(std::uint32_t running) -> void {
  reached_ = reached_ || running >= limit();
}

auto ConcurrencyLimit::set_max(std::uint32_t max) -> void {
  auto was_at_max = limit_ >= settings_.max;
  settings_.max = std::max(max, settings_.min);
  // Additional capacity is used at once; the samples that follow show whether
  // the engine still meets the targets.
  limit_ = was_at_max ? settings_.max : std::min<double>(limit_, settings_.max);
}

auto ConcurrencyLimit::limit() const -> std::uint32_t {
  return static_cast<std::uint32_t>(std::floor(limit_));
}

auto ConcurrencyLimit::HasTokenCapacity(std::uint64_t reserved,
                                        std::uint64_t more) const -> bool {
  return settings_.max_tokens == 0 || reserved == 0 ||
         reserved + more <= settings_.max_tokens;
}

auto ConcurrencyLimit::Add(Samples& samples, bool late) -> void {
  ++samples.total;
  samples.late += late ? 1 : 0;
  auto full = first_token_.total >= settings_.min_samples ||
              inter_token_.total >= settings_.min_samples;
  if (full && clock_() - window_start_ >= settings_.window) {
    EndWindow();
  }
}

auto ConcurrencyLimit::IsLate(const Samples& samples) const -> bool {
  // With few samples a single late one exceeds the share, so at least two are
  // required.
  return samples.late > 0 &&
         samples.late >
             std::max(1.0, settings_.allowed_late_share * samples.total);
}

auto ConcurrencyLimit::EndWindow() -> void {
  if (IsLate(first_token_) || IsLate(inter_token_)) {
    limit_ = std::max<double>(settings_.min, limit_ * settings_.decrease);
  } else if (reached_) {
    limit_ = std::min<double>(settings_.max, limit_ + settings_.increase);
  }
  first_token_ = {};
  inter_token_ = {};
  reached_ = false;
  window_start_ = clock_();
}

}  // namespace kumquatgauge::routing
