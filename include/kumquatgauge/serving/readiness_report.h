#ifndef KUMQUATGAUGE_SERVING_READINESS_REPORT_H_
#define KUMQUATGAUGE_SERVING_READINESS_REPORT_H_

#include <optional>

#include "kumquatgauge/base/log.h"
#include "kumquatgauge/base/time.h"

namespace kumquatgauge::serving {

// What a gateway that has started has.
struct ReadinessState {
  bool configuration = false;
  bool keys = false;  // API keys may be accepted, or are not needed.
  bool replicas = false;
  bool peers = false;  // Another gateway is known.

  auto operator==(const ReadinessState&) const -> bool = default;
};

// Times since the start of a gateway; nothing while it does not have the part.
struct ReadinessTimes {
  std::optional<Duration> configuration;
  std::optional<Duration> keys;
  std::optional<Duration> replicas;
  std::optional<Duration> peers;
  // With configuration, keys and replicas. A gateway can serve without peers.
  std::optional<Duration> ready;

  auto operator==(const ReadinessTimes&) const -> bool = default;
};

// Measures how long after its start a gateway has what it needs to serve, and
// logs it once it is ready.
class ReadinessReport {
 public:
  explicit ReadinessReport(Clock clock);

  auto Update(const ReadinessState& state, const Logger& logger) -> void;
  auto times() const -> const ReadinessTimes& { return times_; }

 private:
  Clock clock_;
  MonotonicTime start_;
  ReadinessTimes times_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_READINESS_REPORT_H_
