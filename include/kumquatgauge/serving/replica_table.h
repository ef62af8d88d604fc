#ifndef KUMQUATGAUGE_SERVING_REPLICA_TABLE_H_
#define KUMQUATGAUGE_SERVING_REPLICA_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::serving {

// Grace period for missing entries after a store outage. A live replica whose
// entry lapsed in the outage registers again within about this time.
inline constexpr std::chrono::milliseconds kEntryGracePeriod{2'000};
// How long removed entries are remembered for nodes that learn of changes from
// peers; several times longer than a node may be partitioned and still keep
// running.
inline constexpr std::chrono::minutes kRemovedEntryRetention{10};

// A change of an entry in the store.
struct EntryChange {
  ReplicaId id;
  std::uint64_t revision = 0;        // Store revision; orders the changes.
  std::optional<std::string> value;  // Empty if the entry was removed.
  // How much longer the replica of a removed entry counts as present.
  Duration grace_period{0};

  auto operator==(const EntryChange&) const -> bool = default;
};

// Decides which replicas exist, based on the entries in the store, which this
// node reads itself or receives from a peer.
//
// If an entry goes missing during or just after a store outage, its replica is
// kept for kEntryGracePeriod after the store recovers: its lease may have
// expired because it could not be renewed, and dropping all replicas at once
// would refuse all traffic.
class ReplicaTable {
 public:
  // Returns nothing for a value without a usable replica.
  using Decoder = std::function<auto(const ReplicaId&, const std::string& value)
                                    ->std::optional<routing::Replica>>;

  ReplicaTable(Decoder decode, Clock clock)
      : decode_(std::move(decode)), clock_(std::move(clock)) {}

  // The functions below return whether replicas() has changed. A change that is
  // not newer than the known state of its entry is ignored.
  auto OnSnapshot(const std::vector<EntryChange>& entries,
                  std::uint64_t revision) -> bool;
  auto OnChange(const EntryChange& change) -> bool;
  // The same for a change read by another node. That node watches the store, so
  // its grace period for a missing entry applies here even if the store is
  // unavailable to this node.
  auto OnPeerChange(const EntryChange& change) -> bool;
  auto OnTick() -> bool;

  // Called for every failed call to the store.
  auto OnStoreUnavailable() -> void { store_unavailable_ = true; }
  auto OnStoreAnswered() -> void;
  // Called when other nodes watch the store instead of this one. This node no
  // longer knows whether the store is available and accepts their view of
  // missing entries.
  auto OnStoreNotWatched() -> void { store_unavailable_ = false; }

  auto replicas() const -> std::vector<routing::Replica>;
  // Returns the revision of the newest change.
  auto revision() const -> std::uint64_t { return revision_; }
  // Returns the changes after a revision, to send to another node.
  auto ChangesSince(std::uint64_t revision) const -> std::vector<EntryChange>;

 private:
  struct Row {
    std::string value;
    std::uint64_t revision = 0;
    std::optional<routing::Replica> replica;
    bool removed = false;
    MonotonicTime removed_at;
    std::optional<MonotonicTime> drop_at;  // End of the grace period.
    bool set_by_peer = false;  // A peer reported the removal and set the time.
  };

  // Applies a newer change; `grace_period` returns how long a missing entry
  // still counts as present.
  auto Apply(const EntryChange& change,
             const std::function<auto(Row&)->Duration>& grace_period) -> bool;
  auto OwnGracePeriod(const Row& row) const -> Duration;
  auto Remove(Row& row, Duration grace_period) -> bool;

  Decoder decode_;
  Clock clock_;
  std::map<ReplicaId, Row> rows_;
  std::uint64_t revision_ = 0;
  bool store_unavailable_ = false;
  std::optional<MonotonicTime> store_recovered_at_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_REPLICA_TABLE_H_
