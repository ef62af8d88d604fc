#include "kumquatgauge/serving/readiness_report.h"

#include <chrono>
#include <string>
#include <utility>

namespace kumquatgauge::serving {
namespace {

auto InMilliseconds(const std::optional<Duration>& time) -> std::string {
  return time ? std::to_string(
                    std::chrono::duration_cast<std::chrono::milliseconds>(*time)
                        .count())
              : "none";
}

}  // namespace

ReadinessReport::ReadinessReport(Clock clock)
    : clock_(std::move(clock)), start_(clock_()) {}

auto ReadinessReport::Update(const ReadinessState& state, const Logger& logger)
    -> void {
  const auto before = times_;
  const auto set = [&](std::optional<Duration>& time, bool present) {
    if (!time && present) {
      time = clock_() - start_;
    }
  };
  set(times_.configuration, state.configuration);
  set(times_.keys, state.keys);
  set(times_.replicas, state.replicas);
  set(times_.peers, state.peers);
  set(times_.ready, times_.configuration && times_.keys && times_.replicas);
  if (times_.ready && !before.ready) {
    logger.Info("ready to serve",
                {{"event", "ready"},
                 {"after_ms", InMilliseconds(times_.ready)},
                 {"configuration_ms", InMilliseconds(times_.configuration)},
                 {"keys_ms", InMilliseconds(times_.keys)},
                 {"replicas_ms", InMilliseconds(times_.replicas)},
                 {"peers_ms", InMilliseconds(times_.peers)}});
  } else if (times_.peers && !before.peers && times_.ready) {
    logger.Info(
        "met another gateway",
        {{"event", "peers_known"}, {"after_ms", InMilliseconds(times_.peers)}});
  }
}

}  // namespace kumquatgauge::serving
