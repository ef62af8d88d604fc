#ifndef KUMQUATGAUGE_SERVING_STORE_REPORT_H_
#define KUMQUATGAUGE_SERVING_STORE_REPORT_H_

#include <chrono>

#include "kumquatgauge/base/log.h"
#include "kumquatgauge/base/metrics.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/store/call_tally.h"

namespace kumquatgauge::serving {

// Exports the calls to the store by kind as metrics, and logs the totals every
// kLogInterval if there were calls since.
class StoreReport {
 public:
  static constexpr std::chrono::seconds kLogInterval{10};

  StoreReport(MetricsRegistry& metrics, Clock clock);

  auto Update(const store::CallTally& calls, const Logger& logger) -> void;
  // Logs the totals unless the last line has them. Called at a stop, too, so
  // that the last calls are not missing.
  auto Log(const store::CallTally& calls, const Logger& logger) -> void;

 private:
  MetricsRegistry& metrics_;
  Clock clock_;
  store::CallTally exported_;
  store::CallTally logged_;
  MonotonicTime next_log_;
};

// "KIND.METHOD=COUNT" for each kind, separated by spaces.
auto FormatCalls(const store::CallTally& calls) -> std::string;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_STORE_REPORT_H_
