#include "kumquatgauge/serving/start_limiter.h"

#include <algorithm>

#include "kumquatgauge/base/seconds.h"

namespace kumquatgauge::serving {
namespace {

// Starts made by other nodes at about the time when this node learned the limit
// belong to the time before it.
constexpr auto kFirstReports = std::chrono::seconds(1);

}  // namespace

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

auto StartLimiter::SetShare(const ReplicaId& replica, double share) -> void {
  auto* entry = Find(replica);
  if (entry != nullptr && entry->share != share) {
    entry->balance = BalanceNow(*entry);
    entry->balance_at = clock_();
    entry->share = share;
  }
}

auto StartLimiter::Find(const ReplicaId& replica) const -> const Entry* {
  const auto found = entries_.find(replica);
  return found == entries_.end() ? nullptr : &found->second;
}

auto StartLimiter::Find(const ReplicaId& replica) -> Entry* {
  const auto found = entries_.find(replica);
  return found == entries_.end() ? nullptr : &found->second;
}

auto StartLimiter::OnAnswer(const ReplicaId& replica,
                            std::optional<double> limit) -> void {
  auto* entry = Find(replica);
  if (entry != nullptr) {
    Name(*entry, limit, clock_(), true);
  }
}

auto StartLimiter::Name(Entry& entry,
                        std::optional<double> limit,
                        MonotonicTime at,
                        bool here) -> void {
  const auto never_limited = !limit && !entry.named_at;
  if (never_limited || (entry.named_at && at < *entry.named_at)) {
    return;
  }
  if (entry.limit != limit) {
    const auto now = clock_();
    entry.balance = entry.limit ? BalanceNow(entry) : 0.0;
    entry.balance_at = now;
    if (!limit) {
      entry.ended_at = now;
    } else if (!entry.limit) {
      entry.limited_since = now;
      entry.last_start = now;
    }
    entry.limit = limit;
    entry.changed = true;
    entry.unreported = here;
  }
  entry.named_at = at;
  entry.named_here = here;
}

auto StartLimiter::Rate(const Entry& entry) const -> double {
  return std::max(settings_.min_rate, entry.limit.value_or(0.0)) * entry.share;
}

auto StartLimiter::BalanceNow(const Entry& entry) const -> double {
  const auto grown =
      entry.balance + Rate(entry) * ToSeconds(clock_() - entry.balance_at);
  return std::min(Burst(entry), grown);
}

auto StartLimiter::Burst(const Entry& entry) const -> double {
  return settings_.burst_starts + Rate(entry) * ToSeconds(settings_.burst_time);
}

auto StartLimiter::SetNodes(std::vector<NodeId> nodes, std::size_t self)
    -> void {
  nodes_ = std::move(nodes);
  self_ = self;
}

auto StartLimiter::Withdraw(Entry& entry,
                            std::uint64_t starts,
                            std::size_t node) -> void {
  const auto most_debt = settings_.max_debt_starts +
                         Rate(entry) * ToSeconds(settings_.max_debt_time);
  const auto now = clock_();
  entry.balance =
      std::max(-most_debt, BalanceNow(entry) - static_cast<double>(starts));
  entry.balance_at = now;
  entry.last_start = now;
  entry.turn_after = node;
}

auto StartLimiter::OnStarted(const ReplicaId& replica, std::uint32_t starts)
    -> void {
  auto* entry = Find(replica);
  if (entry == nullptr || !entry->limit || starts == 0) {
    return;
  }
  entry->starts += starts;
  entry->unreported = true;
  const auto now = clock_();
  if (now - entry->own_turn >= settings_.turn_time) {
    entry->own_turn = now;
    entry->own_turn_starts = 0;
  }
  entry->own_turn_starts += starts;
  Withdraw(*entry, starts, self_);
}

auto StartLimiter::TurnsToWait(const Entry& entry) const -> std::size_t {
  const auto nodes = nodes_.size();
  const auto saved =
      std::clamp(BalanceNow(entry), 1.0, static_cast<double>(nodes));
  const auto passed = static_cast<std::size_t>((clock_() - entry.last_start) /
                                               settings_.turn_time);
  // Position in the order that begins with the node that has the turn now.
  const auto first = (entry.turn_after + 1 + passed) % nodes;
  const auto place = (self_ + nodes - first) % nodes;
  const auto having_turn = static_cast<std::size_t>(saved);
  return place < having_turn ? 0 : place - having_turn + 1;
}

auto StartLimiter::MayStart(const Entry& entry, double threshold) const
    -> bool {
  const auto balance = BalanceNow(entry);
  const auto per_turn =
      std::max(1.0, balance / static_cast<double>(nodes_.size()));
  const auto turn_used = clock_() - entry.own_turn < settings_.turn_time &&
                         static_cast<double>(entry.own_turn_starts) >= per_turn;
  return balance >= threshold && !turn_used && TurnsToWait(entry) == 0;
}

auto StartLimiter::MayStart(const ReplicaId& replica,
                            routing::WorkClass work_class,
                            bool urgent) const -> bool {
  const auto* entry = Find(replica);
  if (entry == nullptr || !entry->limit) {
    return true;
  }
  const auto patient = work_class == routing::WorkClass::kBatch && !urgent;
  const auto online = settings_.online_threshold;
  return MayStart(*entry, patient ? online + settings_.batch_threshold_share *
                                                 (Burst(*entry) - online)
                                  : online);
}

auto StartLimiter::NextStart(const ReplicaId& replica) const -> Duration {
  const auto* entry = Find(replica);
  if (entry == nullptr || !entry->limit) {
    return Duration::zero();
  }
  const auto missing = settings_.online_threshold - BalanceNow(*entry);
  const auto saved_in = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::max(0.0, missing) / Rate(*entry)));
  const auto turns = static_cast<std::int64_t>(TurnsToWait(*entry));
  return std::max<Duration>(saved_in, turns * settings_.turn_time);
}

auto StartLimiter::available(const ReplicaId& replica) const -> std::uint32_t {
  const auto* entry = Find(replica);
  if (entry == nullptr || !entry->limit) {
    return 0;
  }
  constexpr double kMost = 1e6;
  return static_cast<std::uint32_t>(std::clamp(BalanceNow(*entry), 0.0, kMost));
}

auto StartLimiter::IsLimited(const ReplicaId& replica) const -> bool {
  const auto* entry = Find(replica);
  return entry != nullptr && entry->limit.has_value();
}

auto StartLimiter::limited() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [](const auto& entry) { return entry.second.limit.has_value(); }));
}

auto StartLimiter::IsReported(const Entry& entry) const -> bool {
  return entry.limit || (entry.named_at && entry.named_here &&
                         clock_() - entry.ended_at < settings_.ended_time);
}

auto StartLimiter::MakeReport(const ReplicaId& replica,
                              const Entry& entry,
                              bool with_limit) const -> StartReport {
  auto report = StartReport{replica, entry.starts, std::nullopt};
  if (with_limit && entry.named_at) {
    report.named = {entry.limit, clock_() - *entry.named_at};
  }
  return report;
}

auto StartLimiter::TakeReports(bool everything) -> std::vector<StartReport> {
  auto reports = std::vector<StartReport>();
  for (auto& [id, entry] : entries_) {
    const auto news = std::exchange(entry.unreported, false);
    if (news || (everything && IsReported(entry))) {
      // What other nodes reported is not passed on: the age of an answer would
      // lack the time on the way.
      reports.push_back(MakeReport(id, entry, entry.named_here));
    }
  }
  return reports;
}

auto StartLimiter::has_news() const -> bool {
  return std::any_of(entries_.begin(), entries_.end(),
                     [](const auto& entry) { return entry.second.unreported; });
}

auto StartLimiter::limits() const -> std::vector<StartReport> {
  auto limits = std::vector<StartReport>();
  for (const auto& [id, entry] : entries_) {
    if (IsReported(entry)) {
      limits.push_back(MakeReport(id, entry, true));
    }
  }
  return limits;
}

auto StartLimiter::OnReports(const NodeId& node,
                             std::uint64_t run,
                             const std::vector<StartReport>& reports) -> void {
  OnLimits(reports);
  for (const auto& report : reports) {
    auto* entry = Find(report.replica);
    if (entry == nullptr || !entry->limit) {
      continue;
    }
    const auto [known, added] = entry->peers.try_emplace(node);
    auto& total = known->second;
    const auto restarted = !added && total.run != run;
    const auto before = restarted ? 0 : total.starts;
    if (total.run == run && report.starts <= before) {
      continue;  // A repeated report, or one that was overtaken.
    }
    total = {run, report.starts};
    const auto just_learned =
        clock_() - entry->limited_since < kFirstReports && added;
    if (!just_learned && report.starts > before) {
      const auto place = std::find(nodes_.begin(), nodes_.end(), node);
      Withdraw(*entry, report.starts - before,
               static_cast<std::size_t>(place - nodes_.begin()));
    }
  }
}

auto StartLimiter::OnLimits(const std::vector<StartReport>& limits) -> void {
  for (const auto& report : limits) {
    auto* entry = Find(report.replica);
    if (entry != nullptr && report.named) {
      Name(*entry, report.named->limit, clock_() - report.named->age, false);
    }
  }
}

auto StartLimiter::TakeChanges() -> std::vector<StartLimitChange> {
  auto changes = std::vector<StartLimitChange>();
  for (auto& [id, entry] : entries_) {
    if (std::exchange(entry.changed, false) && entry.limit != entry.logged) {
      const auto age =
          entry.named_at ? clock_() - *entry.named_at : Duration::zero();
      changes.push_back({id, entry.logged, entry.limit, age});
      entry.logged = entry.limit;
    }
  }
  return changes;
}

}  // namespace kumquatgauge::serving
