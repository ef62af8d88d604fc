#ifndef KUMQUATGAUGE_STORE_CIRCUIT_H_
#define KUMQUATGAUGE_STORE_CIRCUIT_H_

#include <cstdint>
#include <optional>

#include "kumquatgauge/base/time.h"

namespace kumquatgauge::store {

struct CircuitOptions {
  // Consecutive failures that open the circuit. A single slow or lost answer
  // is no outage.
  std::uint32_t failures_to_open = 5;
  Duration initial_backoff = std::chrono::milliseconds(500);
  // A node must have read what it missed within 3 s of the platform's return,
  // also if its last probe met silence. Well under the lease term of 6 s too,
  // so that an owner renews its leases before another node may have observed
  // them for a term.
  Duration max_backoff = std::chrono::seconds(1);
  // After this time a probe without a result no longer blocks the next one.
  Duration probe_timeout = std::chrono::seconds(3);

  auto operator==(const CircuitOptions&) const -> bool = default;
};

// Refuses calls at once while the platform is out. It opens after consecutive
// failures, lets one probe through after a wait, and closes when the probe
// succeeds. Waits double up to a bound and are drawn at random between half and
// one and a half times their length, so that the nodes of a fleet do not return
// at the same moment.
class Circuit {
 public:
  enum class State { kClosed, kOpen, kProbing };

  struct Decision {
    bool allowed = false;
    Duration retry_after{0};  // When refused.

    auto operator==(const Decision&) const -> bool = default;
  };

  Circuit(CircuitOptions options, RandomSource random);

  // Asks before a call. `may_probe` is false for calls whose result comes late,
  // such as watches; they wait for another call to close the circuit.
  auto Ask(MonotonicTime now, bool may_probe) -> Decision;
  auto OnSuccess() -> void;
  // The platform did not answer, or answered that it is out.
  auto OnFailure(MonotonicTime now) -> void;

  auto state() const -> State { return state_; }
  // Whether a call succeeded after the circuit was open, since last asked.
  auto TakeRecovered() -> bool;

 private:
  auto Open(MonotonicTime now) -> void;

  CircuitOptions options_;
  RandomSource random_;
  State state_ = State::kClosed;
  std::uint32_t failures_ = 0;
  Duration backoff_;
  MonotonicTime open_until_;
  MonotonicTime probe_until_;
  bool recovered_ = false;
};

}  // namespace kumquatgauge::store

#endif  // KUMQUATGAUGE_STORE_CIRCUIT_H_
