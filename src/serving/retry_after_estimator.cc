#include "kumquatgauge/serving/retry_after_estimator.h"

#include <algorithm>

namespace kumquatgauge::serving {
namespace {

auto Scale(Duration duration, double factor) -> Duration {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace

auto RetryAfterEstimator::OnFull(const ServiceName& service, MonotonicTime now)
    -> void {
  const auto [entry, added] =
      periods_.try_emplace(service, Period{now, now, std::nullopt});
  auto& period = entry->second;
  if (!added && now - period.last >= settings_.full_period_gap) {
    const auto length = period.last - period.first;
    const auto mean = period.mean_length.value_or(length);
    period.mean_length = mean + Scale(length - mean, settings_.smoothing);
    period.first = now;
  }
  period.last = now;
}

auto RetryAfterEstimator::RetryAfter(const ServiceName& service,
                                     MonotonicTime now,
                                     Duration hold,
                                     Duration time_left,
                                     double draw) const -> Duration {
  auto free_in = hold / 2;
  const auto period = periods_.find(service);
  if (period != periods_.end()) {
    const auto length = period->second.mean_length.value_or(Duration::zero());
    free_in = std::max(free_in, period->second.first + length - now);
  }
  const auto max_wait = Scale(time_left, settings_.max_share_of_time_left);
  const auto latest =
      std::min(max_wait, free_in + Scale(hold, settings_.spread_holds));
  const auto earliest = std::min(free_in, std::max(latest - hold, hold / 2));
  return std::min(max_wait, earliest + Scale(latest - earliest, draw));
}

auto RetryAfterEstimator::RetryAfterStart(Duration next_start,
                                          Duration time_left,
                                          double draw) const -> Duration {
  const auto latest = Scale(time_left, settings_.max_share_of_time_left);
  const auto earliest = std::min(next_start, latest);
  return earliest + Scale(latest - earliest, draw);
}

}  // namespace kumquatgauge::serving
