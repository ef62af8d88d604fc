#ifndef KUMQUATGAUGE_SERVING_LOAD_FORECAST_H_
#define KUMQUATGAUGE_SERVING_LOAD_FORECAST_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"

namespace kumquatgauge::serving {

struct LoadForecastSettings {
  // A step is a change by this many standard deviations, which for independent
  // arrivals is the square root of the level: a false step is rare, and one
  // only makes the pattern irregular for a while.
  double step_deviations = 3.5;
  // A step changes the load by at least this share of the higher level. Smaller
  // changes fit in the reserve for online requests.
  double min_step_share = 0.4;
  // Time after a step until its level is measured. Slots in use follow the rate
  // of arrivals with the time that a request holds its slot.
  Duration settling_time = std::chrono::milliseconds(700);
  // Time over which a level is measured before another step can begin, since
  // the first samples alone may be far off.
  Duration min_level_time = std::chrono::milliseconds(300);
  // Steps that are remembered.
  std::size_t max_steps = 12;
  // Steps up, and steps down, that a pattern consists of: one could be chance.
  std::size_t min_repeats = 3;
  // Levels that differ by less than this share of the range are the same.
  double same_level_share = 0.3;
  // The longest step of a kind lasts at most this many times the shortest.
  double max_duration_ratio = 2.0;
  // A step that lasts this many times the longest one ends the pattern.
  double overdue_ratio = 1.5;
  // A gap in the samples after which nothing is known.
  Duration max_sample_gap = std::chrono::seconds(1);
};

// Learns the steps of the online load of each service from samples of the slots
// that online requests use, and predicts the next step while the steps repeat.
class LoadForecast {
 public:
  explicit LoadForecast(LoadForecastSettings settings) : settings_(settings) {}

  // A step that is expected to follow the current one.
  struct Rise {
    // Earliest time until it begins; zero once it may begin at any time.
    Duration until{0};
    double slots = 0;  // Needed after it.
  };

  // What is known of the load of a service at a time.
  struct Outlook {
    double present = 0;    // Slots in use.
    bool regular = false;  // Whether its steps repeat.
    double level = 0;      // Of the current step of a regular load.
    // Nothing if the load is not regular or at its peak.
    std::optional<Rise> rise;

    // Returns the slots that online requests are expected to need within
    // `horizon`: the level of the current step, or that after the next rise if
    // it may begin by then, but at least the present load; this also if no
    // regular pattern was seen.
    auto NeededSlots(Duration horizon) const -> double {
      const auto rises = rise && rise->until <= horizon;
      return std::max(present, rises ? rise->slots : level);
    }
  };

  // Records the slots that online requests use now. Samples must be more
  // frequent than the steps are long.
  auto OnSample(const ServiceName& service,
                std::uint32_t online_slots,
                MonotonicTime now) -> void;

  auto OutlookOf(const ServiceName& service, MonotonicTime now) const
      -> Outlook;
  // Returns the number of services with a regular pattern.
  auto regular_services(MonotonicTime now) const -> std::size_t;
  // Returns the number of steps seen in all services.
  auto steps() const -> std::uint64_t { return steps_; }

 private:
  // A level that lasted for some time.
  struct Step {
    double level = 0;
    Duration lasted{0};
  };
  struct Load {
    std::deque<Step> steps;  // Ended ones, oldest first.
    MonotonicTime began;     // Of the current step.
    MonotonicTime sampled_at;
    // Of the current step after it has settled.
    double sum = 0;
    std::uint32_t samples = 0;
    double present = 0;
    bool first = true;  // The beginning of the current step was not sampled.
  };
  // What has followed steps of the current level.
  struct Pattern {
    double level = 0;
    double next_level = 0;
    Duration shortest{0};
  };

  auto IsStep(const Load& load) const -> bool;
  // Returns the expected level of the current step.
  static auto CurrentLevel(const Load& load, double lowest, double highest)
      -> double;
  auto PatternOf(const Load& load, MonotonicTime now) const
      -> std::optional<Pattern>;
  static auto LevelOf(const Load& load) -> double;

  LoadForecastSettings settings_;
  std::map<ServiceName, Load> loads_;
  std::uint64_t steps_ = 0;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_LOAD_FORECAST_H_
