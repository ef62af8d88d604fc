#include "kumquatgauge/serving/load_forecast.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace kumquatgauge::serving {

auto LoadForecast::LevelOf(const Load& load) -> double {
  return load.samples == 0 ? load.present : load.sum / load.samples;
}

auto LoadForecast::IsStep(const Load& load) const -> bool {
  const auto settled = load.began + settings_.settling_time;
  if (load.samples == 0 ||
      load.sampled_at - settled < settings_.min_level_time) {
    return false;
  }
  const auto level = LevelOf(load);
  const auto deviation = std::sqrt(std::max(1.0, (level + load.present) / 2));
  return std::abs(load.present - level) >
         std::max(settings_.step_deviations * deviation,
                  settings_.min_step_share * std::max(level, load.present));
}

auto LoadForecast::OnSample(const ServiceName& service,
                            std::uint32_t online_slots,
                            MonotonicTime now) -> void {
  const auto [entry, added] = loads_.try_emplace(service);
  auto& load = entry->second;
  if (added || now - load.sampled_at > settings_.max_sample_gap) {
    load = Load();
    load.began = now;
  }
  load.sampled_at = now;
  load.present = online_slots;
  if (IsStep(load)) {
    if (!load.first) {
      load.steps.push_back({LevelOf(load), now - load.began});
      if (load.steps.size() > settings_.max_steps) {
        load.steps.pop_front();
      }
    }
    load.first = false;
    load.began = now;
    load.sum = 0;
    load.samples = 0;
    ++steps_;
  }
  if (now - load.began >= settings_.settling_time) {
    load.sum += load.present;
    ++load.samples;
  }
}

auto LoadForecast::CurrentLevel(const Load& load, double lowest, double highest)
    -> double {
  if (load.samples > 0) {
    return LevelOf(load);
  }
  // The level is not measured yet. It lies on the other side of the preceding
  // one.
  const auto before = load.steps.back().level;
  return before - lowest > highest - before ? lowest : highest;
}

auto LoadForecast::PatternOf(const Load& load, MonotonicTime now) const
    -> std::optional<Pattern> {
  if (load.steps.empty()) {
    return std::nullopt;
  }
  const auto [lowest, highest] =
      std::minmax_element(load.steps.begin(), load.steps.end(),
                          [](const Step& left, const Step& right) {
                            return left.level < right.level;
                          });
  const auto same =
      settings_.same_level_share * (highest->level - lowest->level);
  const auto level = CurrentLevel(load, lowest->level, highest->level);
  auto next = std::vector<double>();
  auto durations = std::vector<Duration>();
  for (std::size_t at = 0; at < load.steps.size(); ++at) {
    if (std::abs(load.steps[at].level - level) <= same) {
      durations.push_back(load.steps[at].lasted);
      if (at + 1 < load.steps.size()) {
        next.push_back(load.steps[at + 1].level);
      }
    }
  }
  // What followed the last of them may be the current step.
  if (durations.size() < settings_.min_repeats ||
      next.size() + 1 < settings_.min_repeats) {
    return std::nullopt;
  }
  const auto [least, most] = std::minmax_element(next.begin(), next.end());
  const auto [shortest, longest] =
      std::minmax_element(durations.begin(), durations.end());
  const auto scaled = [](Duration duration, double factor) {
    return std::chrono::duration_cast<Duration>(duration * factor);
  };
  const auto even = *most - *least <= same &&
                    *longest <= scaled(*shortest, settings_.max_duration_ratio);
  const auto overdue =
      now - load.began > scaled(*longest, settings_.overdue_ratio);
  return even && !overdue ? std::optional(Pattern{level, *most, *shortest})
                          : std::nullopt;
}

auto LoadForecast::OutlookOf(const ServiceName& service,
                             MonotonicTime now) const -> Outlook {
  auto outlook = Outlook();
  const auto found = loads_.find(service);
  if (found == loads_.end()) {
    return outlook;
  }
  const auto& load = found->second;
  outlook.present = load.present;
  const auto pattern = PatternOf(load, now);
  if (!pattern) {
    return outlook;
  }
  outlook.regular = true;
  outlook.level = pattern->level;
  if (pattern->next_level > pattern->level) {
    const auto passed = now - load.began;
    outlook.rise = Rise{pattern->shortest > passed ? pattern->shortest - passed
                                                   : Duration::zero(),
                        pattern->next_level};
  }
  return outlook;
}

auto LoadForecast::regular_services(MonotonicTime now) const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(loads_.begin(), loads_.end(), [&](const auto& entry) {
        return PatternOf(entry.second, now).has_value();
      }));
}

}  // namespace kumquatgauge::serving
