#ifndef KUMQUATGAUGE_SERVING_START_LIMITER_H_
#define KUMQUATGAUGE_SERVING_START_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::serving {

// A replica named another limit, or none any more.
struct StartLimitChange {
  ReplicaId replica;
  std::optional<double> before;  // Starts a second, by all nodes together.
  std::optional<double> limit;
  Duration age{0};  // Since the answer that named it.

  auto operator==(const StartLimitChange&) const -> bool = default;
};

// Knows the limits of starts that replicas name in their answers.
class StartLimiter {
 public:
  explicit StartLimiter(Clock clock) : clock_(std::move(clock)) {}

  // Forgets what replicas named that are gone or have started again.
  auto SetReplicas(const std::vector<routing::Replica>& replicas) -> void;
  // Records what an answer of a replica named; nothing if it named no limit.
  auto OnAnswer(const ReplicaId& replica, std::optional<double> limit) -> void;

  auto IsLimited(const ReplicaId& replica) const -> bool;
  auto limited() const -> std::size_t;
  // Returns the changes since the last call.
  auto TakeChanges() -> std::vector<StartLimitChange>;

 private:
  struct Entry {
    std::uint64_t started_ms = 0;  // Of the replica.
    std::optional<double> limit;
    MonotonicTime named_at;
    // The limit that the last change led to, and whether there is one since.
    std::optional<double> reported;
    bool changed = false;
  };

  Clock clock_;
  std::map<ReplicaId, Entry> entries_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_START_LIMITER_H_
