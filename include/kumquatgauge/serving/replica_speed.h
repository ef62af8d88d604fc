#ifndef KUMQUATGAUGE_SERVING_REPLICA_SPEED_H_
#define KUMQUATGAUGE_SERVING_REPLICA_SPEED_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::serving {

struct ReplicaSpeedSettings {
  // Maximum age of a report of the host's load.
  Duration report_expires = std::chrono::milliseconds(300);
  // Learned speeds are used without reports if they differ by more than this.
  double least_difference = 0.15;
  // Completed requests of a replica before its learned speed counts.
  std::uint32_t least_requests = 20;
  // Weight of the newest request in the averages, once there are enough.
  double smoothing = 0.01;
  // Speeds beyond are taken for faults of the measurement.
  double slowest = 10.0;
};

// The choice of a service's replicas has begun or ceased to use their speeds.
struct SpeedChange {
  ServiceName service;
  bool used = false;
  bool reports = false;  // A replica reports its host's load.
  double fastest = 1.0;
  double slowest = 1.0;

  auto operator==(const SpeedChange&) const -> bool = default;
};

namespace detail {

// Orders replicas that have a free slot, from 0 to below 1, by how much longer
// one more request makes all requests there take. With equal speeds, the order
// is that of the utilisation (0 to below 1).
auto FreeSlotScore(double speed, double utilisation) -> double;

}  // namespace detail

// Estimates how long each replica takes for a request, as a multiple of the
// mean of its service: 1.6 is slower, 0.6 is faster.
//
// Learns the time that requests hold a slot, for each start of a replica, and
// scales it by the load that the replica's host reports now over the one that
// it had on average while that time was learned.
class ReplicaSpeed {
 public:
  ReplicaSpeed(ReplicaSpeedSettings settings, Clock clock);

  // Replicas with the same id and start time keep what was learned.
  auto SetReplicas(const std::vector<routing::Replica>& replicas) -> void;
  // Records how long a completed request held a slot.
  auto OnCompleted(const ReplicaId& replica, Duration held) -> void;
  // Records the load of the replica's host; 1 is normal.
  auto OnHostLoad(const ReplicaId& replica, double load) -> void;

  // Whether the replicas of the service differ, or report their hosts' loads.
  auto IsUsed(const ServiceName& service) const -> bool;
  // Returns 1 for an unknown replica.
  auto speed(const ReplicaId& replica) const -> double;
  // Returns the number of services for which IsUsed() holds.
  auto used_services() const -> std::size_t;
  // Returns the changes since the last call.
  auto TakeChanges() -> std::vector<SpeedChange>;

 private:
  struct State {
    ServiceName service;
    std::uint64_t started_ms = 0;
    std::uint32_t requests = 0;
    // Of the holding time over the service's mean, and of its square.
    double mean = 1.0;
    double mean_square = 1.0;
    double mean_load = 1.0;  // Of the host, when requests completed.
    bool has_load = false;
    double load = 1.0;
    MonotonicTime load_at;
  };
  // The replica with the least or the largest bound of its mean.
  struct Extreme {
    ReplicaId replica;
    double bound = 0.0;
  };
  struct Service {
    bool reports = false;  // One of its replicas reports its host's load.
    std::optional<Extreme> fastest;
    std::optional<Extreme> slowest;
    double mean_hold_s = 0.0;
    bool told_used = false;  // By the last change.
  };

  auto HasFreshLoad(const State& state) const -> bool;
  auto Differ(const Service& service) const -> bool;
  // Compares all replicas of the service.
  auto FindExtremes(const ServiceName& name, Service& service) const -> void;
  // Compares a replica whose mean has changed with the extremes, so that the
  // cost of a completed request does not grow with the number of replicas.
  auto UpdateExtremes(const ReplicaId& replica,
                      const State& state,
                      Service& service) const -> void;
  auto Compare(const ReplicaId& replica,
               const State& state,
               Service& service) const -> void;
  // Returns the standard errors by which the mean may differ.
  auto MeanError(const State& state) const -> double;

  ReplicaSpeedSettings settings_;
  Clock clock_;
  std::map<ReplicaId, State> states_;
  std::map<ServiceName, Service> services_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_REPLICA_SPEED_H_
