#include "kumquatgauge/serving/replica_report.h"

#include <chrono>
#include <optional>
#include <string>

namespace kumquatgauge::serving {

using std::chrono::milliseconds;

auto LogEjection(const routing::EjectionChange& change, const Logger& logger)
    -> void {
  const auto state = change.state == routing::EjectionState::kInUse ? "in_use"
                     : change.state == routing::EjectionState::kEjected
                         ? "ejected"
                         : "probing";
  logger.Info("the ejection state of a replica changed",
              {{"event", "replica_standing"},
               {"replica", change.replica.value()},
               {"standing", state},
               {"reason", change.reason}});
}

auto LogStartLimit(const StartLimitChange& change, const Logger& logger)
    -> void {
  const auto text = [](const std::optional<double>& limit) {
    return limit ? std::to_string(*limit) : std::string("none");
  };
  const auto age = std::chrono::duration_cast<milliseconds>(change.age).count();
  logger.Info("a replica named another limit of requests a second",
              {{"event", "replica_limit"},
               {"replica", change.replica.value()},
               {"limit", text(change.limit)},
               {"before", text(change.before)},
               {"age_ms", std::to_string(age)}});
}

auto LogSuspicion(const SuspicionChange& change, const Logger& logger) -> void {
  const auto silent =
      std::chrono::duration_cast<milliseconds>(change.silent).count();
  // Both are warnings: they are few, and routine lines are dropped first.
  logger.Warning(
      change.suspected ? "a replica is suspected to be silent"
                       : "a replica is no longer suspected to be silent",
      {{"event", change.suspected ? "suspicion_begins" : "suspicion_ends"},
       {"replica", change.replica.value()},
       {"overdue", std::to_string(change.overdue)},
       {"silent_ms", std::to_string(silent)},
       {"reason", change.reason}});
}

}  // namespace kumquatgauge::serving
