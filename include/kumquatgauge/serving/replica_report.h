#ifndef KUMQUATGAUGE_SERVING_REPLICA_REPORT_H_
#define KUMQUATGAUGE_SERVING_REPLICA_REPORT_H_

#include "kumquatgauge/base/log.h"
#include "kumquatgauge/routing/outlier.h"
#include "kumquatgauge/serving/silence_detector.h"
#include "kumquatgauge/serving/start_limiter.h"

namespace kumquatgauge::serving {

// Log lines on the states of replicas.
auto LogEjection(const routing::EjectionChange& change, const Logger& logger)
    -> void;
auto LogStartLimit(const StartLimitChange& change, const Logger& logger)
    -> void;
auto LogSuspicion(const SuspicionChange& change, const Logger& logger) -> void;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_REPLICA_REPORT_H_
