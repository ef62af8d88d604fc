#ifndef KUMQUATGAUGE_SERVING_REPLICA_TABLE_H_
#define KUMQUATGAUGE_SERVING_REPLICA_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
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
// Maximum number of replicas known from other nodes to leave; far more than
// leave within kRemovedEntryRetention.
inline constexpr std::size_t kMaxLeavingNotices = 4'096;

// A change of an entry in the store.
struct EntryChange {
  ReplicaId id;
  std::uint64_t revision = 0;        // Store revision; orders the changes.
  std::optional<std::string> value;  // Empty if the entry was removed.
  // How much longer the replica of a removed entry counts as present.
  Duration grace_period{0};
  // The node that reports the removal cannot tell when the grace period ends,
  // because its own calls to the store fail.
  bool undecided = false;
  // The grace period is given only because the node that found the entry
  // missing had begun to watch the store shortly before.
  bool doubtful = false;

  auto operator==(const EntryChange&) const -> bool = default;
};

// Changes of entries for another node.
struct EntryChanges {
  std::vector<EntryChange> changes;
  std::uint64_t revision = 0;  // All changes up to it are applied.
  // Set if some removals may be missing among the changes: this one then holds
  // for all entries that are neither among them nor `unchanged`.
  std::optional<EntryChange> others;
  std::set<ReplicaId> unchanged;

  auto operator==(const EntryChanges&) const -> bool = default;
};

// One start of a replica that has said in an answer that it leaves.
struct LeavingNotice {
  ReplicaId id;
  // As in its entry when the answer came; 0 if its entry names none.
  std::uint64_t started_ms = 0;

  auto operator==(const LeavingNotice&) const -> bool = default;
};

// Decides which replicas exist and which of them leave, based on the entries in
// the store, which this node reads itself or receives from a peer, and on the
// answers of the replicas to any node.
//
// A node that has listed the entries does not know which were removed before,
// and a node that receives changes from it may know entries that were. It
// therefore names all entries to a node that has not seen its listing, and says
// that there are no others.
//
// A removal that a node reads in order, from a store whose calls have succeeded
// for kEntryGracePeriod, means that the replica has left. An entry that goes
// missing during or just after an outage may have lapsed because its lease
// could not be renewed; dropping all replicas at once would refuse all traffic.
// Its replica is kept until kEntryGracePeriod after the outage. Nodes see the
// end of an outage at different times, and some see an outage when others see
// none, so the earliest end that any node decides on applies
// (docs/platform.md, "Entries that go missing").
//
// If an entry is missing from the first listing of a node and no node has seen
// an outage, it is in doubt whether the replica has left. It gets no requests
// unless most entries of its service are missing, as after an outage.
//
// A replica that says in an answer that it leaves does so for good. An entry
// that still calls it ready is older, or was written by a process that does not
// know, so only a later start under the same id ends it.
class ReplicaTable {
 public:
  // Returns nothing for a value without a usable replica.
  using Decoder = std::function<auto(const ReplicaId&, const std::string& value)
                                    ->std::optional<routing::Replica>>;
  // A replica is dropped whose entry was removed at `revision` and whose
  // removal this node has known for `kept`.
  using DropHook = std::function<
      auto(const ReplicaId&, std::uint64_t revision, Duration kept)->void>;

  ReplicaTable(Decoder decode, DropHook dropped, Clock clock)
      : decode_(std::move(decode)),
        dropped_(std::move(dropped)),
        clock_(std::move(clock)) {}

  // The functions below return whether replicas() has changed. A change that is
  // not newer than the known state of its entry is ignored, except that it may
  // end a grace period sooner.
  auto OnSnapshot(const std::vector<EntryChange>& entries,
                  std::uint64_t revision) -> bool;
  auto OnChange(const EntryChange& change) -> bool;
  // The same for ChangesSince(revision()) of another node. That node learns
  // from one that watches the store, so its grace period for a missing entry
  // applies here even if the store is unavailable to this node.
  auto OnPeerChanges(const EntryChanges& changes) -> bool;
  // The same for one of ChangesOf another node. It does not raise revision(),
  // because changes of other entries may be missing here.
  auto OnPeerAnswer(const EntryChange& change) -> bool;
  // Called when a replica has said in an answer to this node or to a peer that
  // it leaves.
  auto OnLeaving(const LeavingNotice& notice) -> bool;
  auto OnPeerLeaving(const LeavingNotice& notice) -> bool;
  auto OnTick() -> bool;

  // Called for every failed call to the store.
  auto OnStoreUnavailable() -> void { store_unavailable_ = true; }
  auto OnStoreAnswered() -> void;
  // Called when other nodes watch the store instead of this one. This node no
  // longer knows whether the store is available and accepts their view of
  // missing entries.
  auto OnStoreNotWatched() -> void {
    store_unavailable_ = false;
    watching_ = false;
  }

  auto replicas() const -> std::vector<routing::Replica>;
  // Returns the revision of the newest change.
  auto revision() const -> std::uint64_t { return revision_; }
  // Returns the changes after a revision, to send to another node.
  auto ChangesSince(std::uint64_t revision) const -> EntryChanges;
  // Returns the replicas that are kept although their entry is missing. Other
  // nodes may know better: their ChangesOf these go to OnPeerAnswer.
  auto missing() const -> std::vector<ReplicaId>;
  auto ChangesOf(const std::vector<ReplicaId>& ids) const
      -> std::vector<EntryChange>;
  // Returns the replicas that leave although their entry does not say so. Nodes
  // that have not heard it from the replica itself rely on these notices.
  auto leaving_notices() const -> std::vector<LeavingNotice>;
  // Returns when OnTick will drop a replica, if nothing changes until then.
  auto next_drop() const -> std::optional<MonotonicTime>;

 private:
  struct Row {
    std::string value;
    std::uint64_t revision = 0;
    // Revision of `value`. A listing shows that an entry is missing but not at
    // which later revision it was removed.
    std::uint64_t value_revision = 0;
    std::optional<routing::Replica> replica;
    bool removed = false;
    MonotonicTime removed_at;
    std::optional<MonotonicTime> drop_at;  // End of the grace period.
    bool set_by_peer = false;  // A peer reported the removal and set the time.
    bool doubtful = false;     // See EntryChange.
  };

  struct Leaving {
    std::uint64_t started_ms = 0;
    MonotonicTime known_at;
  };

  // Whether the replica leaves by its entry or by its answers.
  auto Leaves(const routing::Replica& replica) const -> bool;
  // Applies a change that is newer than the known state of its entry.
  auto Apply(Row& row, const EntryChange& change, Duration grace_period)
      -> bool;
  auto ApplyPeerChange(const EntryChange& change) -> bool;
  auto OwnGracePeriod() const -> Duration;
  auto CautiousGracePeriod() const -> Duration;
  // Whether only the caution at the begin of a watch gives a grace period.
  auto InDoubt() const -> bool;
  // Returns the replicas whose doubtful absence counts as leaving.
  auto Doubted() const -> std::set<ReplicaId>;
  // Applies the absence of all entries but `listed` at a revision.
  auto OnOthersAbsent(const std::set<ReplicaId>& listed,
                      const EntryChange& others) -> bool;
  // Returns whether `row` waits for the end of its grace period and `change`
  // reports a removal of the value that it still has.
  static auto IsSameRemoval(const Row& row, const EntryChange& change) -> bool;
  // Returns whether the end of the row's grace period comes from a node whose
  // calls to the store succeed.
  auto IsDecided(const Row& row) const -> bool;
  auto Remove(const ReplicaId& id, Row& row, Duration grace_period) -> bool;
  auto Drop(const ReplicaId& id, Row& row) -> bool;
  auto ChangeOf(const ReplicaId& id, const Row& row) const -> EntryChange;

  Decoder decode_;
  DropHook dropped_;
  Clock clock_;
  std::map<ReplicaId, Row> rows_;
  std::map<ReplicaId, Leaving> leaving_;  // By their answers.
  std::uint64_t revision_ = 0;
  // All removals after this revision are known.
  std::uint64_t removals_known_from_ = 0;
  // How long entries that were gone by then count as present, and whether that
  // is in doubt; see EntryChange.
  MonotonicTime others_kept_until_{};
  bool others_undecided_ = false;
  bool others_doubtful_ = false;
  bool store_unavailable_ = false;
  bool watching_ = false;  // This node watches the store.
  std::optional<MonotonicTime> watching_since_;
  std::optional<MonotonicTime> store_recovered_at_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_REPLICA_TABLE_H_
