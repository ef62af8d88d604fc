#ifndef KUMQUATGAUGE_ROUTING_OUTLIER_H_
#define KUMQUATGAUGE_ROUTING_OUTLIER_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::routing {

enum class EjectionState {
  kInUse,
  kEjected,  // Gets no requests.
  kProbing,  // Gets one request at a time.
};

struct OutlierSettings {
  std::uint32_t consecutive_failures = 5;
  // A replica counts as slow when its latency exceeds the median by this factor
  // and also exceeds `latency_floor`; below the floor, the noise of single
  // requests exceeds the factor.
  double latency_factor = 3.0;
  Duration latency_floor = std::chrono::milliseconds(20);
  std::uint32_t min_samples = 10;
  double max_ejected_share = 0.2;
  Duration base_ejection = std::chrono::seconds(5);
  Duration max_ejection = std::chrono::seconds(300);
  // Consecutive successful probes after which a replica is in use again.
  std::uint32_t probe_successes = 3;
  // A probe without a result is repeated after this time.
  Duration probe_timeout = std::chrono::seconds(5);
  // Time in use after which the ejection time is reset to the base.
  Duration ejection_reset_time = std::chrono::minutes(10);
};

struct EjectionChange {
  ReplicaId replica;
  EjectionState state = EjectionState::kInUse;
  std::string reason;  // For logs and explain.

  auto operator==(const EjectionChange&) const -> bool = default;
};

// Detects replicas that fail or are much slower than the others of their
// service. Each call returns the state changes, to be passed to
// Router::SetEjection.
class OutlierDetector {
 public:
  using Changes = std::vector<EjectionChange>;

  OutlierDetector(OutlierSettings settings, Clock clock);

  // Replaces the list of replicas; those that remain keep their statistics. A
  // replica that returns after an absence starts without history.
  auto SetReplicas(const std::vector<Replica>& replicas) -> void;
  // `latency` is the time to the first token, or to the response of a plain
  // service.
  auto OnSuccess(const ReplicaId& replica, Duration latency) -> Changes;
  // A lost connection, a 5xx or a timeout; not a refusal for lack of capacity.
  auto OnFailure(const ReplicaId& replica) -> Changes;
  // Compares latencies and ends ejections; call about once a second.
  auto OnTick() -> Changes;

  auto state(const ReplicaId& replica) const -> EjectionState;

 private:
  struct Entry {
    ServiceName service;
    EjectionState state = EjectionState::kInUse;
    std::uint32_t failures = 0;
    std::uint32_t ejections = 0;
    std::uint32_t probe_successes = 0;
    std::uint32_t samples = 0;
    double latency_s = 0.0;  // Moving average.
    MonotonicTime since;     // Start of the state or the last probe.
    Duration ejection{0};
  };

  auto MayEject(const ServiceName& service) const -> bool;
  auto Eject(const ReplicaId& id, Entry& entry, std::string reason)
      -> EjectionChange;
  auto Median(const ServiceName& service) const -> double;
  auto IsSlow(double latency_s, double median_s) const -> bool;
  auto ProbeResult(const ReplicaId& id, Entry& entry, bool succeeded)
      -> Changes;

  OutlierSettings settings_;
  Clock clock_;
  std::unordered_map<ReplicaId, Entry> entries_;
  std::map<ServiceName, std::vector<ReplicaId>> services_;
};

}  // namespace kumquatgauge::routing

#endif  // KUMQUATGAUGE_ROUTING_OUTLIER_H_
