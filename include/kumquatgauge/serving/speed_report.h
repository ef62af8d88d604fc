#ifndef KUMQUATGAUGE_SERVING_SPEED_REPORT_H_
#define KUMQUATGAUGE_SERVING_SPEED_REPORT_H_

#include "kumquatgauge/base/log.h"
#include "kumquatgauge/serving/replica_speed.h"

namespace kumquatgauge::serving {

// Logs for which services the choice of replicas has begun or ceased to use
// their speeds.
auto ReportSpeeds(ReplicaSpeed& speeds, const Logger& logger) -> void;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_SPEED_REPORT_H_
