#ifndef KUMQUATGAUGE_SERVING_ZONE_REPORT_H_
#define KUMQUATGAUGE_SERVING_ZONE_REPORT_H_

#include "kumquatgauge/base/log.h"
#include "kumquatgauge/base/metrics.h"
#include "kumquatgauge/serving/zone_policy.h"

namespace kumquatgauge::serving {

// Adds the traffic between zones since the last call to the metrics, and logs
// for which services leaving the zone has begun or ended. Does nothing without
// a policy.
auto ReportZones(ZonePolicy* policy,
                 MetricsRegistry& metrics,
                 const Logger& logger) -> void;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_ZONE_REPORT_H_
