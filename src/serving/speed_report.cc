#include "kumquatgauge/serving/speed_report.h"

#include <string>

namespace kumquatgauge::serving {

auto ReportSpeeds(ReplicaSpeed& speeds, const Logger& logger) -> void {
  for (const auto& change : speeds.TakeChanges()) {
    logger.Info(change.used
                    ? "replicas of a service are chosen by their speeds"
                    : "replicas of a service are no longer chosen by speeds",
                {{"event", change.used ? "speeds_used" : "speeds_not_used"},
                 {"service", change.service.value()},
                 {"host_loads", change.reports ? "true" : "false"},
                 {"fastest", std::to_string(change.fastest)},
                 {"slowest", std::to_string(change.slowest)}});
  }
}

}  // namespace kumquatgauge::serving
