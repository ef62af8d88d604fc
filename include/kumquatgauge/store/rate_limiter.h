#ifndef KUMQUATGAUGE_STORE_RATE_LIMITER_H_
#define KUMQUATGAUGE_STORE_RATE_LIMITER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "kumquatgauge/base/time.h"
#include "kumquatgauge/store/object_store.h"

namespace kumquatgauge::store {

enum class CallKind { kRead, kWrite };

inline constexpr std::size_t kCallKinds = 2;
inline constexpr std::size_t kCallClasses = 5;

struct RateLimits {
  // Calls per second that the platform allows the whole fleet.
  double fleet_reads = 2000;
  double fleet_writes = 600;
  std::uint32_t fleet_size = 1;
  // A node may borrow up to this part of the fleet's rate while the platform
  // does not report its rate as exceeded, since most nodes are idle at any
  // moment.
  double max_share = 0.1;
  // Burst that is allowed after idle time, in seconds of the rate; at least
  // kMinBurst calls.
  double burst_seconds = 1.0;

  auto operator==(const RateLimits&) const -> bool = default;
};

// Lets a node that has just started read its state without waiting, although
// its share of a large fleet is a few calls per second.
inline constexpr double kMinBurst = 20;

// Keeps a node's platform calls within its share of the fleet's rate: one token
// bucket for reads and one for writes, each with a queue in which a more urgent
// class goes first. The rate starts at the node's fair share, an equal part of
// the fleet's rate. It increases while calls wait, and halves, but not below
// the share, when the platform reports that its rate is exceeded.
class RateLimiter {
 public:
  using Ticket = std::uint64_t;

  struct Actions {
    std::vector<Ticket> admitted;
    std::vector<Ticket> expired;        // Their deadline has passed.
    std::optional<MonotonicTime> next;  // When to call Tick again.
  };

  explicit RateLimiter(RateLimits limits);

  // Queues a call. Tick admits it, or expires it at `deadline`.
  auto Enqueue(CallKind kind, CallClass call_class, MonotonicTime deadline)
      -> Ticket;
  // Removes a queued call.
  auto Cancel(Ticket ticket) -> void;
  // Admits and expires waiting calls.
  auto Tick(MonotonicTime now) -> Actions;

  // The platform reported that its rate is exceeded.
  auto OnRateExceeded(CallKind kind, MonotonicTime now) -> void;
  // Empties the buckets, so that calls delayed by an outage resume at the rate
  // and not in one burst.
  auto DrainBurst(MonotonicTime now) -> void;
  auto SetFleetSize(std::uint32_t nodes) -> void;

  // Current limit of this node in calls per second.
  auto rate(CallKind kind) const -> double;
  auto waiting() const -> std::size_t;

 private:
  struct Waiting {
    Ticket ticket;
    MonotonicTime deadline;
  };
  struct Bucket {
    double rate = 0;
    double tokens = 0;
    std::optional<MonotonicTime> refilled;
    std::array<std::deque<Waiting>, kCallClasses> queues;
  };

  auto FairShare(CallKind kind) const -> double;
  auto MaxRate(CallKind kind) const -> double;
  auto Capacity(const Bucket& bucket) const -> double;
  auto Refill(CallKind kind, MonotonicTime now) -> void;
  auto bucket(CallKind kind) -> Bucket& {
    return buckets_.at(static_cast<std::size_t>(kind));
  }

  RateLimits limits_;
  std::array<Bucket, kCallKinds> buckets_;
  Ticket last_ticket_ = 0;
};

}  // namespace kumquatgauge::store

#endif  // KUMQUATGAUGE_STORE_RATE_LIMITER_H_
