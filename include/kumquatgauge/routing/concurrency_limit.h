#ifndef KUMQUATGAUGE_ROUTING_CONCURRENCY_LIMIT_H_
#define KUMQUATGAUGE_ROUTING_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "kumquatgauge/base/time.h"

namespace kumquatgauge::routing {

struct ConcurrencyLimitSettings {
  std::uint32_t initial = 8;
  std::uint32_t min = 1;
  // The limit never exceeds the engine's capacity, since the engine queues
  // requests above it in arrival order.
  std::uint32_t max = 8;
  Duration first_token_target = std::chrono::milliseconds(890);
  Duration inter_token_target = std::chrono::milliseconds(55);
  // The targets apply to 95 in 100 requests.
  double allowed_late_share = 0.05;
  // Minimum length of a window, which also lasts until it has `min_samples`.
  Duration window = std::chrono::milliseconds(500);
  std::uint32_t min_samples = 5;
  double decrease = 0.85;
  double increase = 1.0;
  // Maximum number of tokens reserved by running requests; 0: no limit.
  std::uint64_t max_tokens = 0;
};

// Adaptive limit on the requests that run on a replica: additive increase while
// latency is within target and the limit is reached, multiplicative decrease
// when too many samples of a window are late.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(ConcurrencyLimitSettings settings, Clock clock);

  // Records the time from the start at the engine to the first token.
  auto OnFirstToken(Duration latency) -> void;
  // Records the mean time between tokens since the last progress of a stream.
  auto OnInterToken(Duration gap) -> void;
  // Records that the engine refused a request for lack of capacity.
  auto OnRefusal() -> void;
  // Records the number of running requests; the limit grows only while it is
  // reached.
  auto OnRunning(std::uint32_t running) -> void;
  auto set_max(std::uint32_t max) -> void;

  auto limit() const -> std::uint32_t;
  // Returns whether `more` tokens may be reserved in addition to `reserved`. A
  // request that exceeds the limit by itself may run when nothing else does.
  auto HasTokenCapacity(std::uint64_t reserved, std::uint64_t more) const
      -> bool;

 private:
  struct Samples {
    std::uint32_t total = 0;
    std::uint32_t late = 0;
  };

  auto Add(Samples& samples, bool late) -> void;
  auto IsLate(const Samples& samples) const -> bool;
  auto EndWindow() -> void;

  ConcurrencyLimitSettings settings_;
  Clock clock_;
  double limit_;
  Samples first_token_;
  Samples inter_token_;
  bool reached_ = false;
  MonotonicTime window_start_;
};

}  // namespace kumquatgauge::routing

#endif  // KUMQUATGAUGE_ROUTING_CONCURRENCY_LIMIT_H_
