#include "kumquatgauge/serving/start_limiter.h"

#include <algorithm>
#include <utility>

namespace kumquatgauge::serving {

auto StartLimiter::SetReplicas(const std::vector<routing::Replica>& replicas)
    -> void {
  auto entries = std::map<ReplicaId, Entry>();
  for (const auto& replica : replicas) {
    auto entry = Entry();
    const auto known = entries_.find(replica.id);
    if (known != entries_.end() &&
        known->second.started_ms == replica.started_ms) {
      entry = std::move(known->second);
    }
    entry.started_ms = replica.started_ms;
    entries.emplace(replica.id, std::move(entry));
  }
  entries_ = std::move(entries);
}

auto StartLimiter::OnAnswer(const ReplicaId& replica,
                            std::optional<double> limit) -> void {
  const auto found = entries_.find(replica);
  if (found == entries_.end()) {
    return;
  }
  auto& entry = found->second;
  if (entry.limit != limit) {
    entry.limit = limit;
    entry.changed = true;
  }
  entry.named_at = clock_();
}

auto StartLimiter::IsLimited(const ReplicaId& replica) const -> bool {
  const auto found = entries_.find(replica);
  return found != entries_.end() && found->second.limit.has_value();
}

auto StartLimiter::limited() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [](const auto& entry) { return entry.second.limit.has_value(); }));
}

auto StartLimiter::TakeChanges() -> std::vector<StartLimitChange> {
  auto changes = std::vector<StartLimitChange>();
  for (auto& [id, entry] : entries_) {
    if (std::exchange(entry.changed, false) && entry.limit != entry.reported) {
      changes.push_back(
          {id, entry.reported, entry.limit, clock_() - entry.named_at});
      entry.reported = entry.limit;
    }
  }
  return changes;
}

}  // namespace kumquatgauge::serving
