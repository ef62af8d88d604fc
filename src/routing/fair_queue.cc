#include "kumquatgauge/routing/fair_queue.h"

#include <iterator>

namespace kumquatgauge::routing {

auto FairQueue::Push(Entry entry, double cost, double weight) -> void {
  const auto finish = share_.Charge(entry.organisation, cost / weight);
  Key key = {finish, next_arrival_++};
  keys_.emplace(entry.id, key);
  entries_.emplace(key, std::move(entry));
}

auto FairQueue::Pop() -> std::optional<Entry> {
  if (entries_.empty()) {
    return std::nullopt;
  }
  auto it = entries_.begin();
  auto entry = it->second;
  share_.AdvanceTo(it->first.first);
  Erase(it);
  return entry;
}

auto FairQueue::Front() const -> const Entry* {
  return entries_.empty() ? nullptr : &entries_.begin()->second;
}

auto FairQueue::Remove(const RequestId& id) -> bool {
  auto key = keys_.find(id);
  if (key == keys_.end()) {
    return false;
  }
  Erase(entries_.find(key->second));
  return true;
}

auto FairQueue::Contains(const RequestId& id) const -> bool {
  return keys_.contains(id);
}

auto FairQueue::InOrder() const -> std::vector<Entry> {
  std::vector<Entry> entries;
  entries.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) {
    entries.push_back(entry);
  }
  return entries;
}

auto FairQueue::Position(const RequestId& id) const -> std::size_t {
  auto key = keys_.find(id);
  if (key == keys_.end()) {
    return entries_.size();
  }
  return static_cast<std::size_t>(
      std::distance(entries_.begin(), entries_.find(key->second)));
}

auto FairQueue::Erase(std::map<Key, Entry>::iterator it) -> void {
  share_.Forget(it->second.organisation);
  keys_.erase(it->second.id);
  entries_.erase(it);
}

}  // namespace kumquatgauge::routing
