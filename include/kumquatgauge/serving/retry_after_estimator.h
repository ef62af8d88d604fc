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
  // Number of holding times over which returning callers are spread; all at
  // once they would fill the service again.
  double spread_holds = 2.0;
};

// Estimates when a refused caller should retry. Designed for online load that
// comes in steps: seconds above the capacity of the fleet, then seconds at a
// quarter of it. Callers that return within a step are refused or late again,
// so they are asked to return, spread out, after a step of average length has
// ended. Before any complete step was seen, the estimate is based on the
// holding time of a request alone.
class RetryAfterEstimator {
 public:
  explicit RetryAfterEstimator(RetryAfterEstimatorSettings settings)
      : settings_(settings) {}

  // Records that a request found every replica of the service full.
  auto OnFull(const ServiceName& service, MonotonicTime now) -> void;
  // Returns the time after which to retry. `hold` is how long a request holds
  // its slot; `draw`, from 0 to 1, spreads the callers.
  auto RetryAfter(const ServiceName& service,
                  MonotonicTime now,
                  Duration hold,
                  Duration time_left,
                  double draw) const -> Duration;
  // The same for callers that replicas at their limits do not take before
  // `next_start`. They are spread over all the time that they can wait, since
  // the replicas take them one by one.
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
