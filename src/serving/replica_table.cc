#include "kumquatgauge/serving/replica_table.h"

#include <algorithm>
#include <set>

namespace kumquatgauge::serving {

auto ReplicaTable::OnSnapshot(const std::vector<EntryChange>& entries,
                              std::uint64_t revision) -> bool {
  auto changed = false;
  auto listed = std::set<ReplicaId>();
  for (const auto& entry : entries) {
    listed.insert(entry.id);
    changed = OnChange(entry) || changed;
  }
  for (auto& [id, row] : rows_) {
    if (listed.contains(id) || row.revision > revision) {
      continue;
    }
    if (!row.removed) {
      row.revision = revision;
      row.set_by_peer = false;
      changed = Remove(id, row, CautiousGracePeriod(row)) || changed;
    } else if (row.drop_at) {
      changed = Remove(id, row, CautiousGracePeriod(row)) || changed;
    }
  }
  revision_ = std::max(revision_, revision);
  return changed;
}

auto ReplicaTable::OnChange(const EntryChange& change) -> bool {
  revision_ = std::max(revision_, change.revision);
  auto& row = rows_[change.id];
  if (change.revision > row.revision) {
    row.set_by_peer = false;
    return Apply(row, change, OwnGracePeriod(row));
  }
  // A peer that could not tell may have reported the removal before.
  return IsSameRemoval(row, change) &&
         Remove(change.id, row, CautiousGracePeriod(row));
}

auto ReplicaTable::OnPeerChange(const EntryChange& change) -> bool {
  revision_ = std::max(revision_, change.revision);
  return OnPeerAnswer(change);
}

auto ReplicaTable::OnPeerAnswer(const EntryChange& change) -> bool {
  auto& row = rows_[change.id];
  if (IsSameRemoval(row, change)) {
    row.revision = std::max(row.revision, change.revision);
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
auto ReplicaTable::OwnGracePeriod(const Row& row) const -> Duration {
  if (!row.replica) {
    return Duration::zero();
  }
  if (store_unavailable_) {
    return kEntryGracePeriod;
  }
  return store_recovered_at_
             ? *store_recovered_at_ + kEntryGracePeriod - clock_()
             : Duration::zero();
}

// The same for an entry that may have gone missing before this node began to
// watch, in an outage that it did not see.
auto ReplicaTable::CautiousGracePeriod(const Row& row) const -> Duration {
  const auto own = OwnGracePeriod(row);
  if (!watching_since_ || !row.replica) {
    return own;
  }
  return std::max(own, *watching_since_ + kEntryGracePeriod - clock_());
}

auto ReplicaTable::Remove(const ReplicaId& id, Row& row, Duration grace_period)
    -> bool {
  const auto now = clock_();
  if (!std::exchange(row.removed, true)) {
    row.removed_at = now;
  }
  // A leaving replica has left. Another node may not know that it leaves.
  const auto leaves = row.replica && Leaves(*row.replica);
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
    return row.removed && !row.drop_at &&
           now - row.removed_at > kRemovedEntryRetention;
  });
  std::erase_if(leaving_, [&](const auto& entry) {
    const auto row = rows_.find(entry.first);
    const auto present = row != rows_.end() && row->second.replica;
    return !present && now - entry.second.known_at > kRemovedEntryRetention;
  });
  return changed;
}

auto ReplicaTable::replicas() const -> std::vector<routing::Replica> {
  auto replicas = std::vector<routing::Replica>();
  for (const auto& [id, row] : rows_) {
    if (row.replica) {
      replicas.push_back(*row.replica);
      replicas.back().leaving = Leaves(*row.replica);
    }
  }
  return replicas;
}

auto ReplicaTable::ChangesSince(std::uint64_t revision) const
    -> std::vector<EntryChange> {
  auto changes = std::vector<EntryChange>();
  for (const auto& [id, row] : rows_) {
    if (row.revision > revision) {
      changes.push_back(ChangeOf(id, row));
    }
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
    change.grace_period =
        store_unavailable_ && change.undecided
            ? kEntryGracePeriod
            : std::max(Duration::zero(), *row.drop_at - clock_());
  }
  return change;
}

}  // namespace kumquatgauge::serving
