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
// never removed, so that its token only rises.
struct LeaseRecord {
  NodeId owner;  // Empty: released, anybody may take it at once.
  Incarnation incarnation = 0;
  std::uint64_t token = 0;  // Rises with each acquisition; fences old owners.
  std::uint64_t sequence = 0;  // Rises with each write of the lease.
  std::string operation;       // Id of the write, to settle a lost answer.

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

// Decides when a lease that somebody else holds may be taken over: once it was
// seen unchanged for a whole term on this node's monotonic clock while the
// platform answered. A gap of more than half a term between answers starts the
// term again, because the holder may have been unable to renew during the gap.
// A stale read can only delay or waste a takeover, never make it wrong, because
// the takeover is conditional on the version that was read.
class LeaseObserver {
 public:
  explicit LeaseObserver(Duration term) : term_(term) {}

  // Takes one answered read of the lease: what it found, when it was sent and
  // when it was answered. Failed reads are not fed.
  auto Observe(const std::optional<LeaseRecord>& found,
               MonotonicTime sent,
               MonotonicTime answered) -> void;

  // Whether the lease as last observed is absent, released, or expired.
  auto MayTakeOver() const -> bool;

  // Forgets everything seen.
  auto Reset() -> void;

 private:
  Duration term_;
  bool observed_ = false;
  std::optional<LeaseRecord> last_;
  MonotonicTime unchanged_since_;
  MonotonicTime last_sent_;
  MonotonicTime last_answered_;
};

// Acquires, renews, releases and takes over one lease object. One call at a
// time. Calls throw the store's Error when the platform does not answer; the
// keeper stays usable and the next call settles what was left open.
class LeaseKeeper {
 public:
  LeaseKeeper(store::ObjectStore& store,
              std::string key,
              NodeId node,
              Incarnation incarnation,
              Clock clock,
              RandomSource random,
              LeaseTiming timing = {});

  // Reads the lease once and takes it when the rule allows. The new token is
  // larger than the last one and than `minimum_token`. Returns whether this
  // node now holds the lease. While another node holds it, call this at least
  // every half term, otherwise the observation starts again.
  auto TryAcquire(std::uint64_t minimum_token = 0)
      -> boost::asio::awaitable<bool>;

  // Prolongs the lease. Returns false when another node has taken it. Works
  // after the term has lapsed too, provided that nobody has taken over.
  auto Renew() -> boost::asio::awaitable<bool>;

  // Gives the lease up, so that the next owner need not wait out the term. The
  // keeper holds nothing from the call on, whether or not the write succeeds.
  auto Release() -> boost::asio::awaitable<void>;

  // True from acquisition until release or until another owner was seen, even
  // past held_until().
  auto held() const -> bool { return held_; }
  // Fencing token of the held lease; 0 when none is held.
  auto token() const -> std::uint64_t { return held_ ? record_.token : 0; }
  // Whether the held lease was taken from an owner that had not released it and
  // may have a call under way.
  auto took_over() const -> bool { return took_over_; }
  // Until then nobody else can hold the lease. Counted from the moment at which
  // the last successful write was sent.
  auto held_until() const -> MonotonicTime { return held_until_; }
  auto MayAct() const -> bool { return held_ && clock_() < held_until_; }
  // Owner of the lease as last read or written; nothing when free or unknown.
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
  // Writes `record` over `version`. Returns whether the write took effect. When
  // reading back fails too, throws and leaves the attempt open.
  auto WriteLease(LeaseRecord record, std::optional<std::uint64_t> version)
      -> boost::asio::awaitable<bool>;
  // Brings the keeper in line with an object that was read.
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
