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

auto RetryAfterEstimator::ReturnWindow(const ServiceName& service,
                                       MonotonicTime now,
                                       Duration hold,
                                       Duration time_left) const -> Window {
  auto free_in = hold / 2;
  const auto period = periods_.find(service);
  if (period != periods_.end()) {
    const auto length = period->second.mean_length.value_or(Duration::zero());
    free_in = std::max(free_in, period->second.first + length - now);
  }
  const auto latest = std::max(
      Duration::zero(), Scale(time_left, settings_.max_share_of_time_left));
  // Callers that cannot wait for the end of the step return as late as they
  // can, spread over a holding time, in which every slot becomes free once.
  const auto earliest =
      free_in <= latest
          ? free_in
          : std::min(latest, std::max<Duration>(latest - hold, hold / 2));
  return {.earliest = earliest, .latest = latest};
}

auto RetryAfterEstimator::RetryAfterStart(Duration next_start,
                                          Duration time_left,
                                          double draw) const -> Duration {
  const auto latest = Scale(time_left, settings_.max_share_of_time_left);
  const auto earliest = std::min(next_start, latest);
  return earliest + Scale(latest - earliest, draw);
}

}  // namespace kumquatgauge::serving
