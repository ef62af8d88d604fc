#ifndef KUMQUATGAUGE_CONTROL_LEASE_H_
#define KUMQUATGAUGE_CONTROL_LEASE_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/store/object_store.h"

namespace kumquatgauge::control {

// Content of a lease object such as shard/7 or order/SERVICE. The object is
// never removed, so that its token only increases.
struct LeaseRecord {
  NodeId owner;  // Empty: released, any node may acquire it immediately.
  Incarnation incarnation = 0;
  // Increases with each acquisition; fences off old owners.
  std::uint64_t token = 0;
  std::uint64_t sequence = 0;  // Increases with each write of the lease.
  std::string operation;       // Id of the write, to resolve a lost response.

  auto operator==(const LeaseRecord&) const -> bool = default;
};

auto FormatLease(const LeaseRecord& record) -> std::string;
// Throws Error(kInvalidArgument).
auto ParseLease(std::string_view text) -> LeaseRecord;

struct LeaseTiming {
  Duration term = std::chrono::seconds(6);
  Duration renew_interval = std::chrono::seconds(2);

  auto operator==(const LeaseTiming&) const -> bool = default;
};

// Decides when a lease held by another node may be taken over: after it has
// been unchanged for a whole term on this node's monotonic clock while the
// platform responded. A gap of more than half a term between responses restarts
// the term, because the holder may have been unable to renew during the gap. A
// stale read can delay a takeover or make it fail, but never makes it unsafe,
// because the takeover is conditional on the version that was read.
class LeaseObserver {
 public:
  explicit LeaseObserver(Duration term) : term_(term) {}

  // Records one successful read of the lease, with the times of the request and
  // of the response. Failed reads must not be recorded.
  auto Observe(const std::optional<LeaseRecord>& found,
               MonotonicTime sent,
               MonotonicTime answered) -> void;

  // Returns whether the last observed lease is absent, released, or expired.
  auto MayTakeOver() const -> bool;

  // Clears all observations.
  auto Reset() -> void;

 private:
  Duration term_;
  bool observed_ = false;
  std::optional<LeaseRecord> last_;
  MonotonicTime unchanged_since_;
  MonotonicTime last_sent_;
  MonotonicTime last_answered_;
};

// Acquires, renews, releases and takes over one lease object. Calls must not
// overlap. They throw the store's Error if the platform does not respond; the
// keeper remains usable and the next call resolves the pending write.
class LeaseKeeper {
 public:
  LeaseKeeper(store::ObjectStore& store,
              std::string key,
              NodeId node,
              Incarnation incarnation,
              Clock clock,
              RandomSource random,
              LeaseTiming timing = {});

  // Reads the lease once and acquires it if LeaseObserver allows. The new token
  // is larger than the last one and than `minimum_token`. Returns whether this
  // node now holds the lease. While another node holds it, call this at least
  // every half term; otherwise the observation restarts.
  auto TryAcquire(std::uint64_t minimum_token = 0)
      -> boost::asio::awaitable<bool>;

  // Renews the lease. Returns false if another node has acquired it. An expired
  // lease can be renewed as long as no other node has taken it over.
  auto Renew() -> boost::asio::awaitable<bool>;

  // Releases the lease, so that the next owner need not wait for the term to
  // expire. held() is false from the call on, even if the write fails.
  auto Release() -> boost::asio::awaitable<void>;

  // Returns true from acquisition until release or until another owner is
  // observed, even after held_until().
  auto held() const -> bool { return held_; }
  // Returns the fencing token of the held lease; 0 if it is not held.
  auto token() const -> std::uint64_t { return held_ ? record_.token : 0; }
  // Returns whether the held lease was taken over from an owner that had not
  // released it and may have a call in flight.
  auto took_over() const -> bool { return took_over_; }
  // Returns the time until which no other node can hold the lease: one term
  // after the last successful write was sent.
  auto held_until() const -> MonotonicTime { return held_until_; }
  auto MayAct() const -> bool { return held_ && clock_() < held_until_; }
  // Returns the owner last read or written; nullopt if released or unknown.
  auto last_owner() const -> const std::optional<NodeId>& {
    return last_owner_;
  }
  auto timing() const -> const LeaseTiming& { return timing_; }

 private:
  struct PendingWrite {
    LeaseRecord record;
    MonotonicTime sent;
  };

  auto ReadLease()
      -> boost::asio::awaitable<std::optional<store::StoredObject>>;
  // Writes `record` over `version`. Returns whether the write took effect. If
  // the read-back fails too, throws and leaves the write pending.
  auto WriteLease(LeaseRecord record, std::optional<std::uint64_t> version)
      -> boost::asio::awaitable<bool>;
  // Updates the keeper from a stored lease.
  auto ApplyStored(const LeaseRecord& found, std::uint64_t version) -> void;
  auto ResolvePendingWrite() -> boost::asio::awaitable<void>;
  auto NextOperation() -> std::string;
  auto IsOwnedBySelf(const LeaseRecord& record) const -> bool;
  auto ClearHeld() -> void;

  store::ObjectStore& store_;
  std::string key_;
  NodeId node_;
  Incarnation incarnation_;
  Clock clock_;
  RandomSource random_;
  LeaseTiming timing_;
  LeaseObserver observer_;

  bool held_ = false;
  bool took_over_ = false;
  LeaseRecord record_;
  std::uint64_t version_ = 0;
  MonotonicTime held_until_;
  // Write whose outcome is not known yet.
  std::optional<PendingWrite> pending_write_;
  std::optional<NodeId> last_owner_;
};

}  // namespace kumquatgauge::control

#endif  // KUMQUATGAUGE_CONTROL_LEASE_H_
