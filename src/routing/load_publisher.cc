#include "kumquatgauge/routing/load_publisher.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace kumquatgauge::routing {

LoadPublisher::LoadPublisher(LoadPublisherSettings settings, Clock clock)
    : settings_(settings), clock_(std::move(clock)), refilled_at_(clock_()) {}

auto LoadPublisher::set_peers(std::uint32_t peers) -> void {
  peers_ = peers;
}

auto LoadPublisher::OnLoad(const ReplicaLoad& load)
    -> std::vector<ReplicaLoad> {
  Refill();
  auto& entry = entries_[load.replica];
  entry.current = load;
  std::vector<ReplicaLoad> loads;
  if (ChangeSinceSent(entry) >= settings_.threshold) {
    TrySend(entry, loads);
  }
  return loads;
}

auto LoadPublisher::OnTick() -> std::vector<ReplicaLoad> {
  Refill();
  std::vector<std::pair<double, Entry*>> due;
  for (auto& [id, entry] : entries_) {
    auto change = ChangeSinceSent(entry);
    if (change >= settings_.threshold ||
        clock_() - entry.sent_at >= settings_.refresh) {
      due.emplace_back(change, &entry);
    }
  }
  std::stable_sort(due.begin(), due.end(),
                   [](const auto& left, const auto& right) {
                     return left.first > right.first;
                   });
  std::vector<ReplicaLoad> loads;
  for (auto& [change, entry] : due) {
    if (!TrySend(*entry, loads)) {
      break;
    }
  }
  return loads;
}

auto LoadPublisher::Remove(const ReplicaId& replica) -> void {
  entries_.erase(replica);
}

auto LoadPublisher::ChangeSinceSent(const Entry& entry) const -> double {
  if (!entry.ever_sent) {
    return std::numeric_limits<double>::max();
  }
  auto share = [](double part, std::uint32_t limit) {
    return part / std::max(limit, 1U);
  };
  const auto& now = entry.current;
  const auto& then = entry.sent;
  auto utilisation =
      std::abs(share(now.online_in_flight + now.queued, now.limit) -
               share(then.online_in_flight + then.queued, then.limit));
  auto batch_slots = std::abs(share(now.free_batch_slots, now.limit) -
                              share(then.free_batch_slots, then.limit));
  return std::max(utilisation, batch_slots);
}

auto LoadPublisher::Refill() -> void {
  auto now = clock_();
  auto elapsed = std::chrono::duration<double>(now - refilled_at_).count();
  refilled_at_ = now;
  // Sending a single load to all peers may cost more than the burst; the budget
  // must be able to reach that cost.
  auto max_budget =
      std::max(settings_.bytes_per_second * settings_.burst_seconds,
               static_cast<double>(settings_.bytes_per_message) * peers_);
  budget_bytes_ = std::min(
      max_budget, budget_bytes_ + elapsed * settings_.bytes_per_second);
}

auto LoadPublisher::TrySend(Entry& entry, std::vector<ReplicaLoad>& loads)
    -> bool {
  auto cost = static_cast<double>(settings_.bytes_per_message) * peers_;
  if (peers_ == 0 || budget_bytes_ < cost) {
    return false;
  }
  budget_bytes_ -= cost;
  entry.sent = entry.current;
  entry.ever_sent = true;
  entry.sent_at = clock_();
  loads.push_back(entry.current);
  return true;
}

}  // namespace kumquatgauge::routing
