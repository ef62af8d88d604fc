#include "kumquatgauge/serving/zone_report.h"

#include <string>

namespace kumquatgauge::serving {
namespace {

auto AddTo(MetricsRegistry& metrics,
           const std::string& name,
           const ServiceName& service,
           std::uint64_t all,
           std::uint64_t left) -> void {
  const auto add = [&](const std::string& zone, std::uint64_t amount) {
    metrics
        .counter(name + "{service=\"" + service.value() + "\",zone=\"" + zone +
                 "\"}")
        .Add(amount);
  };
  add("own", all - left);
  add("other", left);
}

}  // namespace

auto ReportZones(ZonePolicy* policy,
                 MetricsRegistry& metrics,
                 const Logger& logger) -> void {
  if (policy == nullptr) {
    return;
  }
  for (const auto& [service, traffic] : policy->TakeTraffic()) {
    AddTo(metrics, "kqg_zone_requests_total", service, traffic.requests,
          traffic.requests_left);
    AddTo(metrics, "kqg_zone_bytes_total", service, traffic.bytes,
          traffic.bytes_left);
  }
  for (const auto& change : policy->TakeChanges()) {
    logger.Info(change.leaving
                    ? "requests of a service begin to leave the zone"
                    : "requests of a service no longer leave the zone",
                {{"event",
                  change.leaving ? "zone_leaving_begins" : "zone_leaving_ends"},
                 {"service", change.service.value()},
                 {"share", std::to_string(change.share)},
                 {"gain_ms", std::to_string(change.gain_ms)},
                 {"cost_ms", std::to_string(change.cost_ms)},
                 {"utilisation", std::to_string(change.utilisation)},
                 {"utilisation_elsewhere",
                  std::to_string(change.utilisation_elsewhere)}});
  }
}

}  // namespace kumquatgauge::serving
