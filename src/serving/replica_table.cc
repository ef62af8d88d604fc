#include "kumquatgauge/serving/replica_table.h"

#include <algorithm>
#include <set>

namespace kumquatgauge::serving {

auto ReplicaTable::OnSnapshot(const std::vector<EntryChange>& entries,
                              std::uint64_t revision) -> bool {
  const auto doubted = Doubted();
  auto changed = false;
  auto listed = std::set<ReplicaId>();
  for (const auto& entry : entries) {
    listed.insert(entry.id);
    changed = OnChange(entry) || changed;
  }
  const auto doubtful = InDoubt();
  for (auto& [id, row] : rows_) {
    if (listed.contains(id) || row.revision > revision) {
      continue;
    }
    if (!row.removed) {
      row.revision = revision;
      row.set_by_peer = false;
      row.doubtful = doubtful;
      changed = Remove(id, row, CautiousGracePeriod()) || changed;
    } else if (row.drop_at) {
      changed = Remove(id, row, CautiousGracePeriod()) || changed;
    }
  }
  revision_ = std::max(revision_, revision);
  removals_known_from_ = std::max(removals_known_from_, revision);
  others_kept_until_ = clock_() + CautiousGracePeriod();
  others_undecided_ = store_unavailable_;
  others_doubtful_ = doubtful;
  return changed || doubted != Doubted();
}

auto ReplicaTable::OnChange(const EntryChange& change) -> bool {
  revision_ = std::max(revision_, change.revision);
  auto& row = rows_[change.id];
  if (change.revision > row.revision) {
    row.set_by_peer = false;
    return Apply(row, change, OwnGracePeriod());
  }
  // A peer that could not tell may have reported the removal before.
  return IsSameRemoval(row, change) &&
         Remove(change.id, row, CautiousGracePeriod());
}

auto ReplicaTable::OnPeerChanges(const EntryChanges& changes) -> bool {
  const auto doubted = Doubted();
  auto changed = false;
  auto listed = changes.unchanged;
  for (const auto& change : changes.changes) {
    listed.insert(change.id);
    revision_ = std::max(revision_, change.revision);
    changed = ApplyPeerChange(change) || changed;
  }
  if (changes.others) {
    changed = OnOthersAbsent(listed, *changes.others) || changed;
  }
  revision_ = std::max(revision_, changes.revision);
  return changed || doubted != Doubted();
}

auto ReplicaTable::OnOthersAbsent(const std::set<ReplicaId>& listed,
                                  const EntryChange& others) -> bool {
  auto changed = false;
  for (const auto& [id, row] : rows_) {
    const auto present = !row.removed || row.drop_at;
    if (present && !listed.contains(id) && row.revision <= others.revision) {
      auto absence = others;
      absence.id = id;
      changed = ApplyPeerChange(absence) || changed;
    }
  }
  if (others.revision > removals_known_from_) {
    removals_known_from_ = others.revision;
    others_kept_until_ = clock_() + others.grace_period;
    others_undecided_ = others.undecided;
    others_doubtful_ = others.doubtful;
  }
  return changed;
}

auto ReplicaTable::OnPeerAnswer(const EntryChange& change) -> bool {
  const auto doubted = Doubted();
  const auto changed = ApplyPeerChange(change);
  return changed || doubted != Doubted();
}

auto ReplicaTable::ApplyPeerChange(const EntryChange& change) -> bool {
  auto& row = rows_[change.id];
  if (IsSameRemoval(row, change)) {
    row.revision = std::max(row.revision, change.revision);
    row.doubtful = row.doubtful && change.doubtful;
    if (!change.undecided) {
      if (!IsDecided(row)) {
        row.drop_at.reset();
      }
      row.set_by_peer = true;
      return Remove(change.id, row, change.grace_period);
    }
    if (!row.set_by_peer) {
      row.drop_at = std::max(*row.drop_at, clock_() + change.grace_period);
    }
    return false;
  }
  if (change.revision <= row.revision) {
    return false;
  }
  row.set_by_peer = !change.undecided;
  row.doubtful = change.doubtful;
  return Apply(row, change, change.grace_period);
}

auto ReplicaTable::IsSameRemoval(const Row& row, const EntryChange& change)
    -> bool {
  return row.drop_at && !change.value && change.revision > row.value_revision;
}

auto ReplicaTable::IsDecided(const Row& row) const -> bool {
  return row.set_by_peer || (watching_ && !store_unavailable_);
}

auto ReplicaTable::Apply(Row& row,
                         const EntryChange& change,
                         Duration grace_period) -> bool {
  row.revision = change.revision;
  if (!change.value) {
    return Remove(change.id, row, grace_period);
  }
  auto replica = decode_(change.id, *change.value);
  const auto changed = row.removed || row.replica != replica;
  row.value = *change.value;
  row.value_revision = change.revision;
  row.replica = std::move(replica);
  row.removed = false;
  row.doubtful = false;
  row.drop_at.reset();
  return changed;
}

auto ReplicaTable::OnLeaving(const LeavingNotice& notice) -> bool {
  const auto [entry, added] = leaving_.try_emplace(notice.id);
  if (!added && entry->second.started_ms >= notice.started_ms) {
    return false;
  }
  entry->second = {notice.started_ms, clock_()};
  const auto row = rows_.find(notice.id);
  if (row == rows_.end() || !row->second.replica ||
      row->second.replica->leaving || !Leaves(*row->second.replica)) {
    return false;
  }
  if (row->second.drop_at) {
    Drop(row->first, row->second);  // Its entry is missing because it has left.
  }
  return true;
}

auto ReplicaTable::OnPeerLeaving(const LeavingNotice& notice) -> bool {
  return (leaving_.size() < kMaxLeavingNotices ||
          leaving_.contains(notice.id)) &&
         OnLeaving(notice);
}

auto ReplicaTable::Leaves(const routing::Replica& replica) const -> bool {
  const auto found = leaving_.find(replica.id);
  return replica.leaving || (found != leaving_.end() &&
                             replica.started_ms <= found->second.started_ms);
}

auto ReplicaTable::OnStoreAnswered() -> void {
  if (!std::exchange(watching_, true)) {
    watching_since_ = clock_();
  }
  if (!std::exchange(store_unavailable_, false)) {
    return;
  }
  store_recovered_at_ = clock_();
  for (auto& [id, row] : rows_) {
    if (row.drop_at && !row.set_by_peer) {
      row.drop_at = *store_recovered_at_ + kEntryGracePeriod;
    }
  }
}

// Returns how long to keep a replica whose entry this node found missing.
auto ReplicaTable::OwnGracePeriod() const -> Duration {
  if (store_unavailable_) {
    return kEntryGracePeriod;
  }
  return store_recovered_at_
             ? *store_recovered_at_ + kEntryGracePeriod - clock_()
             : Duration::zero();
}

// The same for an entry that may have gone missing before this node began to
// watch, in an outage that it did not see.
auto ReplicaTable::CautiousGracePeriod() const -> Duration {
  const auto own = OwnGracePeriod();
  return watching_since_
             ? std::max(own, *watching_since_ + kEntryGracePeriod - clock_())
             : own;
}

auto ReplicaTable::InDoubt() const -> bool {
  return OwnGracePeriod() <= Duration::zero() &&
         CautiousGracePeriod() > Duration::zero();
}

auto ReplicaTable::Doubted() const -> std::set<ReplicaId> {
  struct Count {
    std::size_t present = 0;
    std::size_t missing = 0;
  };
  auto counts = std::map<ServiceName, Count>();
  for (const auto& [id, row] : rows_) {
    if (row.replica) {
      auto& count = counts[row.replica->service];
      ++(row.drop_at ? count.missing : count.present);
    }
  }
  auto doubted = std::set<ReplicaId>();
  for (const auto& [id, row] : rows_) {
    if (row.replica && row.drop_at && row.doubtful) {
      const auto& count = counts[row.replica->service];
      if (count.present >= count.missing) {
        doubted.insert(id);
      }
    }
  }
  return doubted;
}

auto ReplicaTable::Remove(const ReplicaId& id, Row& row, Duration grace_period)
    -> bool {
  const auto now = clock_();
  if (!std::exchange(row.removed, true)) {
    row.removed_at = now;
  }
  // A leaving replica has left. Another node may not know that it leaves.
  const auto leaves = !row.replica || Leaves(*row.replica);
  if (leaves || grace_period <= Duration::zero()) {
    return Drop(id, row);
  }
  row.drop_at = row.drop_at ? std::min(*row.drop_at, now + grace_period)
                            : now + grace_period;
  return false;
}

auto ReplicaTable::Drop(const ReplicaId& id, Row& row) -> bool {
  row.drop_at.reset();
  if (!std::exchange(row.replica, std::nullopt)) {
    return false;
  }
  dropped_(id, row.revision, clock_() - row.removed_at);
  return true;
}

auto ReplicaTable::OnTick() -> bool {
  const auto now = clock_();
  auto changed = false;
  for (auto& [id, row] : rows_) {
    if (row.drop_at && *row.drop_at <= now &&
        (!store_unavailable_ || row.set_by_peer)) {
      changed = Drop(id, row) || changed;
    }
  }
  std::erase_if(rows_, [&](const auto& entry) {
    const auto& row = entry.second;
    const auto forgotten = row.removed && !row.drop_at &&
                           now - row.removed_at > kRemovedEntryRetention;
    if (forgotten) {
      removals_known_from_ = std::max(removals_known_from_, row.revision);
    }
    return forgotten;
  });
  std::erase_if(leaving_, [&](const auto& entry) {
    const auto row = rows_.find(entry.first);
    const auto present = row != rows_.end() && row->second.replica;
    return !present && now - entry.second.known_at > kRemovedEntryRetention;
  });
  return changed;
}

auto ReplicaTable::replicas() const -> std::vector<routing::Replica> {
  const auto doubted = Doubted();
  auto replicas = std::vector<routing::Replica>();
  for (const auto& [id, row] : rows_) {
    if (row.replica) {
      replicas.push_back(*row.replica);
      replicas.back().leaving = Leaves(*row.replica) || doubted.contains(id);
    }
  }
  return replicas;
}

auto ReplicaTable::ChangesSince(std::uint64_t revision) const -> EntryChanges {
  const auto removals_missing = revision < removals_known_from_;
  auto changes = EntryChanges();
  changes.revision = revision_;
  for (const auto& [id, row] : rows_) {
    if (row.revision > revision) {
      changes.changes.push_back(ChangeOf(id, row));
    } else if (removals_missing && (!row.removed || row.drop_at)) {
      changes.unchanged.insert(id);
    }
  }
  if (removals_missing) {
    auto others = EntryChange();
    others.revision = removals_known_from_;
    others.grace_period =
        std::max(Duration::zero(), others_kept_until_ - clock_());
    others.undecided = others_undecided_;
    others.doubtful = others_doubtful_;
    changes.others = others;
  }
  return changes;
}

auto ReplicaTable::missing() const -> std::vector<ReplicaId> {
  auto ids = std::vector<ReplicaId>();
  for (const auto& [id, row] : rows_) {
    if (row.drop_at) {
      ids.push_back(id);
    }
  }
  return ids;
}

auto ReplicaTable::ChangesOf(const std::vector<ReplicaId>& ids) const
    -> std::vector<EntryChange> {
  auto changes = std::vector<EntryChange>();
  for (const auto& id : ids) {
    const auto row = rows_.find(id);
    if (row != rows_.end()) {
      changes.push_back(ChangeOf(id, row->second));
    }
  }
  return changes;
}

auto ReplicaTable::leaving_notices() const -> std::vector<LeavingNotice> {
  auto notices = std::vector<LeavingNotice>();
  for (const auto& [id, leaving] : leaving_) {
    const auto row = rows_.find(id);
    if (row != rows_.end() && row->second.replica &&
        !row->second.replica->leaving && Leaves(*row->second.replica)) {
      notices.push_back({id, leaving.started_ms});
    }
  }
  return notices;
}

auto ReplicaTable::next_drop() const -> std::optional<MonotonicTime> {
  auto next = std::optional<MonotonicTime>();
  for (const auto& [id, row] : rows_) {
    if (row.drop_at && (!store_unavailable_ || row.set_by_peer)) {
      next = next ? std::min(*next, *row.drop_at) : row.drop_at;
    }
  }
  return next;
}

auto ReplicaTable::ChangeOf(const ReplicaId& id, const Row& row) const
    -> EntryChange {
  auto change = EntryChange{id, row.revision, std::nullopt};
  if (!row.removed) {
    change.value = row.value;
  } else if (row.drop_at) {
    change.undecided = !IsDecided(row);
    change.doubtful = row.doubtful;
    change.grace_period =
        store_unavailable_ && change.undecided
            ? kEntryGracePeriod
            : std::max(Duration::zero(), *row.drop_at - clock_());
  }
  return change;
}

}  // namespace kumquatgauge::serving
