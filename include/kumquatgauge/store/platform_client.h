#ifndef KUMQUATGAUGE_STORE_PLATFORM_CLIENT_H_
#define KUMQUATGAUGE_STORE_PLATFORM_CLIENT_H_

#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kumquatgauge/base/time.h"
#include "kumquatgauge/store/call_tally.h"
#include "kumquatgauge/store/circuit.h"
#include "kumquatgauge/store/object_store.h"
#include "kumquatgauge/store/rate_limiter.h"

namespace kumquatgauge::store {

struct PlatformOptions {
  std::string address;  // "IP:port"
  // Timeout of a call after its admission by the rate limiter.
  std::chrono::milliseconds call_timeout{1000};
  // Timeout of the admission by the rate limiter.
  std::chrono::milliseconds admission_timeout{2000};
  // Connections that were idle for longer are not reused.
  std::chrono::milliseconds idle_limit{10'000};
  RateLimits limits;
  CircuitOptions circuit;
};

// Counters of calls by class and by result.
struct CallCounts {
  std::array<std::uint64_t, kCallClasses> reads{};
  std::array<std::uint64_t, kCallClasses> writes{};
  std::uint64_t watches = 0;          // Started; each counts as one read.
  std::uint32_t watches_waiting = 0;  // Open now.
  std::uint64_t refused_by_circuit = 0;
  std::uint64_t refused_by_limiter = 0;
  std::uint64_t rate_exceeded = 0;  // The platform returned 429.
  std::uint64_t failures = 0;       // No response, or status 5xx.
  std::uint64_t unknown_outcomes = 0;

  auto operator==(const CallCounts&) const -> bool = default;
};

// One call of the platform protocol.
struct PlatformCall {
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string object;  // For error messages.
  CallClass call_class = CallClass::kStatus;
  bool watch = false;
  // The target has a rate limit of its own: a 429 is returned to the caller.
  bool own_rate_limit = false;
  std::chrono::milliseconds extra_timeout{0};  // How long a watch waits.
};

struct PlatformResponse {
  int status = 0;
  std::uint64_t version = 0;  // Header X-Version.
  std::optional<std::chrono::milliseconds> retry_after;
  std::string body;
};

// The node's connection to the platform: one pool of connections, rate limiter
// and circuit breaker for the object API, the host list and the weight store.
// Runs on one io_context; not thread-safe.
class PlatformClient {
 public:
  // `circuit_changed` is called with each new state of the circuit.
  PlatformClient(
      const boost::asio::any_io_executor& executor,
      PlatformOptions options,
      Clock clock,
      RandomSource random,
      std::function<auto(Circuit::State)->void> circuit_changed = nullptr);

  // Returns responses with a status below 500 other than 429. Errors:
  //   kUnavailable: the circuit is open, the platform returned 503, the
  //     connection was refused, or a read got no response.
  //   kTimeout: a read got no response in time, or connecting timed out.
  //   kOverloaded: the rate limiter or the platform (429) refused it.
  //   kUnknownOutcome: a write was sent and got no response, or a status 5xx
  //     other than 503.
  auto Call(PlatformCall call) -> boost::asio::awaitable<PlatformResponse>;

  // Updates the node's share of the platform's rate.
  auto SetFleetSize(std::uint32_t nodes) -> void;

  auto counts() const -> const CallCounts&;
  // Calls that were sent, whatever their result.
  auto calls_by_kind() const -> const CallTally&;
  auto circuit_state() const -> Circuit::State;
  auto limiter() const -> const RateLimiter&;
  // Time after which the last refused call may be retried, for Retry-After.
  auto last_retry_after() const -> Duration;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::store

#endif  // KUMQUATGAUGE_STORE_PLATFORM_CLIENT_H_
