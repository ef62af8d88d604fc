#include "kumquatgauge/serving/replica_table.h"

#include <algorithm>
#include <set>
#include <utility>

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
    if (!listed.contains(id) && !row.removed && row.revision <= revision) {
      row.revision = revision;
      changed = Remove(row, OwnGracePeriod(row)) || changed;
    }
  }
  revision_ = std::max(revision_, revision);
  return changed;
}

auto ReplicaTable::OnChange(const EntryChange& change) -> bool {
  return Apply(change, [this](Row& row) {
    row.set_by_peer = false;
    return OwnGracePeriod(row);
  });
}

auto ReplicaTable::OnPeerChange(const EntryChange& change) -> bool {
  const auto found = rows_.find(change.id);
  const auto known = found != rows_.end() && found->second.removed &&
                     found->second.drop_at && !change.value &&
                     found->second.revision == change.revision;
  if (known && clock_() + change.grace_period < *found->second.drop_at) {
    found->second.set_by_peer = true;
    return Remove(found->second, change.grace_period);
  }
  return Apply(change, [&change](Row& row) {
    row.set_by_peer = true;
    return change.grace_period;
  });
}

auto ReplicaTable::Apply(
    const EntryChange& change,
    const std::function<auto(Row&)->Duration>& grace_period) -> bool {
  revision_ = std::max(revision_, change.revision);
  auto& row = rows_[change.id];
  if (change.revision <= row.revision) {
    return false;
  }
  row.revision = change.revision;
  if (!change.value) {
    return Remove(row, grace_period(row));
  }
  auto replica = decode_(change.id, *change.value);
  const auto changed = row.removed || row.replica != replica;
  row.value = *change.value;
  row.replica = std::move(replica);
  row.removed = false;
  row.drop_at.reset();
  return changed;
}

auto ReplicaTable::OnStoreAnswered() -> void {
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
  if (!row.replica || row.replica->leaving) {
    return Duration::zero();  // A leaving replica has left.
  }
  if (store_unavailable_) {
    return kEntryGracePeriod;
  }
  return store_recovered_at_
             ? *store_recovered_at_ + kEntryGracePeriod - clock_()
             : Duration::zero();
}

auto ReplicaTable::Remove(Row& row, Duration grace_period) -> bool {
  row.removed = true;
  row.removed_at = clock_();
  if (grace_period > Duration::zero()) {
    row.drop_at = clock_() + grace_period;
    return false;
  }
  row.drop_at.reset();
  return std::exchange(row.replica, std::nullopt).has_value();
}

auto ReplicaTable::OnTick() -> bool {
  const auto now = clock_();
  auto changed = false;
  for (auto& [id, row] : rows_) {
    if (row.drop_at && *row.drop_at <= now &&
        (!store_unavailable_ || row.set_by_peer)) {
      row.drop_at.reset();
      row.replica.reset();
      changed = true;
    }
  }
  std::erase_if(rows_, [&](const auto& entry) {
    const auto& row = entry.second;
    return row.removed && !row.drop_at &&
           now - row.removed_at > kRemovedEntryRetention;
  });
  return changed;
}

auto ReplicaTable::replicas() const -> std::vector<routing::Replica> {
  auto replicas = std::vector<routing::Replica>();
  for (const auto& [id, row] : rows_) {
    if (row.replica) {
      replicas.push_back(*row.replica);
    }
  }
  return replicas;
}

auto ReplicaTable::ChangesSince(std::uint64_t revision) const
    -> std::vector<EntryChange> {
  auto changes = std::vector<EntryChange>();
  for (const auto& [id, row] : rows_) {
    if (row.revision <= revision) {
      continue;
    }
    auto change = EntryChange{id, row.revision, std::nullopt, Duration::zero()};
    if (!row.removed) {
      change.value = row.value;
    } else if (row.drop_at) {
      change.grace_period = std::max(Duration::zero(), *row.drop_at - clock_());
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

}  // namespace kumquatgauge::serving
