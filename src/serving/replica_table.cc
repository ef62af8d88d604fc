#include "kumquatgauge/serving/replica_table.h"

#include <set>
#include <utility>

namespace kumquatgauge::serving {

auto ReplicaTable::OnSnapshot(const std::vector<routing::Replica>& entries)
    -> bool {
  auto changed = false;
  auto listed = std::set<ReplicaId>();
  for (const auto& replica : entries) {
    listed.insert(replica.id);
    changed = OnEntry(replica.id, replica) || changed;
  }
  auto missing = std::vector<ReplicaId>();
  for (const auto& [id, row] : rows_) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    changed = Drop(id) || changed;
  }
  return changed;
}

auto ReplicaTable::OnEntry(const ReplicaId& id,
                           std::optional<routing::Replica> replica) -> bool {
  if (!replica) {
    return Drop(id);
  }
  auto& row = rows_[id];
  row.drop_at.reset();
  if (row.replica == *replica) {
    return false;
  }
  row.replica = std::move(*replica);
  return true;
}

auto ReplicaTable::OnStoreLost() -> void {
  lost_ = true;
}

auto ReplicaTable::OnStoreAnswered() -> void {
  if (std::exchange(lost_, false)) {
    returned_at_ = clock_();
    for (auto& [id, row] : rows_) {
      if (row.drop_at) {
        row.drop_at = *returned_at_ + kEntryReturnTime;
      }
    }
  }
}

auto ReplicaTable::GraceEnd() const -> std::optional<MonotonicTime> {
  if (lost_) {
    return MonotonicTime::max();
  }
  if (returned_at_ && clock_() < *returned_at_ + kEntryReturnTime) {
    return *returned_at_ + kEntryReturnTime;
  }
  return std::nullopt;
}

auto ReplicaTable::Drop(const ReplicaId& id) -> bool {
  const auto row = rows_.find(id);
  if (row == rows_.end()) {
    return false;
  }
  // A replica that was leaving has left.
  const auto grace = row->second.replica.leaving ? std::nullopt : GraceEnd();
  if (!grace) {
    rows_.erase(row);
    return true;
  }
  if (!row->second.drop_at) {
    row->second.drop_at = grace;
  }
  return false;
}

auto ReplicaTable::OnTick() -> bool {
  const auto now = clock_();
  return std::erase_if(rows_, [&](const auto& row) {
           return row.second.drop_at && *row.second.drop_at <= now;
         }) > 0;
}

auto ReplicaTable::replicas() const -> std::vector<routing::Replica> {
  auto replicas = std::vector<routing::Replica>();
  for (const auto& [id, row] : rows_) {
    replicas.push_back(row.replica);
  }
  return replicas;
}

auto ReplicaTable::missing() const -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& [id, row] : rows_) {
    count += row.drop_at ? 1 : 0;
  }
  return count;
}

}  // namespace kumquatgauge::serving
