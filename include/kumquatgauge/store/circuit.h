#ifndef KUMQUATGAUGE_STORE_CIRCUIT_H_
#define KUMQUATGAUGE_STORE_CIRCUIT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/time.h"

namespace kumquatgauge::store {

struct CircuitOptions {
  // Consecutive failures that open the circuit. A single slow or lost response
  // is not an outage.
  std::uint32_t failures_to_open = 5;
  Duration initial_backoff = std::chrono::milliseconds(500);
  // A node must have read what it missed within 3 s of the end of an outage,
  // even if its last probe timed out. Also well below the lease term of 6 s, so
  // that an owner renews its leases before another node can have observed them
  // for a whole term.
  Duration max_backoff = std::chrono::seconds(1);
  // After this time a probe without a result no longer blocks the next one.
  Duration probe_timeout = std::chrono::seconds(3);

  auto operator==(const CircuitOptions&) const -> bool = default;
};

// Longest wait of a watch that may probe the platform while the circuit is
// open.
inline constexpr std::chrono::milliseconds kMaxProbeWait{10};

// The circuit refused a call, which was not sent.
class CircuitOpenError : public Error {
 public:
  CircuitOpenError(const std::string& object, Duration retry_after);

  // Time after which the circuit may allow a call; earlier if another call
  // closes it.
  auto retry_after() const -> Duration { return retry_after_; }

 private:
  Duration retry_after_;
};

// Circuit breaker that refuses calls immediately while the platform is
// unavailable. It opens after consecutive failures, allows one probe after a
// backoff, and closes when the probe succeeds. The backoff doubles up to
// max_backoff, with random jitter between half and one and a half times its
// length, so that the nodes of a fleet do not return at the same moment.
class Circuit {
 public:
  enum class State { kClosed, kOpen, kProbing };
  static auto StateName(State state) -> std::string_view;

  struct Decision {
    bool allowed = false;
    Duration retry_after{0};  // When refused.

    auto operator==(const Decision&) const -> bool = default;
  };

  Circuit(CircuitOptions options, RandomSource random);

  // Decides whether a call may be made now. `may_probe` is false for calls
  // whose result comes late, such as watches of more than kMaxProbeWait; they
  // are refused until another call has closed the circuit.
  auto AllowCall(MonotonicTime now, bool may_probe) -> Decision;
  auto OnSuccess() -> void;
  // The platform did not respond, or responded that it is unavailable.
  auto OnFailure(MonotonicTime now) -> void;

  auto state() const -> State { return state_; }
  // Whether a call has closed the open circuit since the last call of this
  // function.
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
