#ifndef KUMQUATGAUGE_SERVING_RETRY_AFTER_ESTIMATOR_H_
#define KUMQUATGAUGE_SERVING_RETRY_AFTER_ESTIMATOR_H_

#include <cstdint>
#include <map>
#include <optional>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"

namespace kumquatgauge::serving {

struct RetryAfterEstimatorSettings {
  // A service counts as full until no request has found it full for this long;
  // between two refusals of one node pass some tenths of a second.
  Duration full_period_gap = std::chrono::seconds(1);
  // Weight of the newest full period in the moving average of their lengths.
  double smoothing = 0.3;
  // Part of the time they have left up to which callers wait as told.
  double max_share_of_time_left = 1.0 / 3.0;
  // Holding times over which callers return after room is expected; all at once
  // they would fill the service again.
  double spread_holds = 2.0;
};

// Says when a refused caller should come back. Answers online load that comes
// in steps, seconds at more than the fleet serves and then seconds at a quarter
// of it: callers who return within a step are refused or late again, so they
// are asked back when steps like the ones before have ended, one after the
// other. Without steps seen before, one holding time is expected.
class RetryAfterEstimator {
 public:
  explicit RetryAfterEstimator(RetryAfterEstimatorSettings settings)
      : settings_(settings) {}

  // A request found every replica of the service full.
  auto OnFull(const ServiceName& service, MonotonicTime now) -> void;
  // When to come back. `hold` is how long a request holds its slot; `draw`,
  // from 0 to 1, spreads the callers.
  auto RetryAfter(const ServiceName& service,
                  MonotonicTime now,
                  Duration hold,
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
