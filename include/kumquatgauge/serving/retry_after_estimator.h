#ifndef KUMQUATGAUGE_SERVING_RETRY_AFTER_ESTIMATOR_H_
#define KUMQUATGAUGE_SERVING_RETRY_AFTER_ESTIMATOR_H_

#include <cstdint>
#include <map>
#include <optional>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"

namespace kumquatgauge::serving {

struct RetryAfterEstimatorSettings {
  // A full period ends when no request has found the service full for this
  // long. Refusals at one node are some tenths of a second apart.
  Duration full_period_gap = std::chrono::seconds(1);
  // Weight of the newest full period in the moving average of their lengths.
  double smoothing = 0.3;
  // Maximum share of their remaining time that callers are asked to wait.
  double max_share_of_time_left = 1.0 / 3.0;
};

// Estimates when refused callers should return. Designed for online load that
// comes in steps: seconds above the capacity of the fleet, then seconds at a
// quarter of it. Callers that return within a step are refused or late again,
// so they are asked to return after a step of average length has ended. Before
// any complete step was seen, the estimate is based on the holding time of a
// request alone.
class RetryAfterEstimator {
 public:
  explicit RetryAfterEstimator(RetryAfterEstimatorSettings settings)
      : settings_(settings) {}

  auto settings() const -> const RetryAfterEstimatorSettings& {
    return settings_;
  }

  // Records that a request found every replica of the service full.
  auto OnFull(const ServiceName& service, MonotonicTime now) -> void;
  // The time in which a caller should return, counted from now.
  struct Window {
    Duration earliest{0};
    Duration latest{0};  // The longest that the caller can be asked to wait.

    auto operator==(const Window&) const -> bool = default;
  };
  // `hold` is how long a request holds its slot.
  auto ReturnWindow(const ServiceName& service,
                    MonotonicTime now,
                    Duration hold,
                    Duration time_left) const -> Window;
  // Returns the time after which callers should return that replicas at their
  // limits do not take before `next_start`. `draw`, from 0 to 1, spreads them
  // over all the time that they can wait, since the replicas take them one by
  // one.
  auto RetryAfterStart(Duration next_start,
                       Duration time_left,
                       double draw) const -> Duration;

 private:
  struct Period {
    MonotonicTime first;
    MonotonicTime last;
    std::optional<Duration> mean_length;  // Of earlier periods.
  };

  RetryAfterEstimatorSettings settings_;
  std::map<ServiceName, Period> periods_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_RETRY_AFTER_ESTIMATOR_H_
