#include "kumquatgauge/serving/room_forecast.h"

#include <algorithm>

namespace kumquatgauge::serving {
namespace {

auto Times(Duration duration, double factor) -> Duration {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace

auto RoomForecast::OnFull(const ServiceName& service, MonotonicTime now)
    -> void {
  const auto [entry, added] =
      periods_.try_emplace(service, Period{now, now, std::nullopt});
  auto& period = entry->second;
  if (!added && now - period.last >= settings_.full_period_gap) {
    const auto length = period.last - period.first;
    const auto mean = period.mean_length.value_or(length);
    period.mean_length = mean + Times(length - mean, settings_.smoothing);
    period.first = now;
  }
  period.last = now;
}

auto RoomForecast::ComeBackAfter(const ServiceName& service,
                                 MonotonicTime now,
                                 Duration hold,
                                 Duration time_left,
                                 double draw) const -> Duration {
  auto room_in = hold / 2;
  const auto period = periods_.find(service);
  if (period != periods_.end()) {
    const auto length = period->second.mean_length.value_or(Duration::zero());
    room_in = std::max(room_in, period->second.first + length - now);
  }
  const auto most = Times(time_left, settings_.most_of_time_left);
  const auto latest =
      std::min(most, room_in + Times(hold, settings_.spread_holds));
  const auto earliest = std::min(room_in, std::max(latest - hold, hold / 2));
  return std::min(most, earliest + Times(latest - earliest, draw));
}

}  // namespace kumquatgauge::serving
