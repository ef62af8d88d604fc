#ifndef KUMQUATGAUGE_ROUTING_CONCURRENCY_LIMIT_H_
#define KUMQUATGAUGE_ROUTING_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "kumquatgauge/base/time.h"

namespace kumquatgauge::routing {

struct ConcurrencyLimitSettings {
  std::uint32_t initial = 8;
  std::uint32_t min = 1;
  // The engine queues requests above its capacity in arrival order, so the
  // limit never exceeds it.
  std::uint32_t max = 8;
  Duration first_token_target = std::chrono::milliseconds(890);
  Duration inter_token_target = std::chrono::milliseconds(55);
  // The targets are for 95 in 100 requests.
  double allowed_late_share = 0.05;
  // Length of a window; a window goes on until it has `min_samples`.
  Duration window = std::chrono::milliseconds(500);
  std::uint32_t min_samples = 5;
  double decrease = 0.85;
  double increase = 1.0;
  // Most tokens that may be reserved by running requests; 0: no limit.
  std::uint64_t max_tokens = 0;
};

// Adaptive limit on the requests that run on a replica: additive increase while
// latency is within target and the limit is reached, multiplicative decrease
// when too many samples of a window are late.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(ConcurrencyLimitSettings settings, Clock clock);

  // Time from the start at the engine to the first token.
  auto OnFirstToken(Duration latency) -> void;
  // Mean time between tokens since the previous progress of a stream.
  auto OnInterToken(Duration gap) -> void;
  // The engine refused a request for lack of room.
  auto OnRefusal() -> void;
  // Requests running now; the limit grows only while it is reached.
  auto OnRunning(std::uint32_t running) -> void;
  auto set_max(std::uint32_t max) -> void;

  auto limit() const -> std::uint32_t;
  // Whether `more` tokens may be reserved beside `reserved` ones. A request
  // that exceeds the limit alone may run when nothing else does.
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
