#include "serving/result_cache.h"

#include <utility>

namespace kumquatgauge::serving::detail {

auto BytesOf(const std::vector<ItemResult>& results) -> std::size_t {
  auto bytes = std::size_t{0};
  for (const auto& result : results) {
    bytes += result.text.size() + result.item.size();
  }
  return bytes;
}

auto ResultCache::Find(const JobId& id) -> StoredResults* {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return nullptr;
  }
  order_.splice(order_.begin(), order_, found->second.place);
  return &found->second.stored;
}

auto ResultCache::Put(const JobId& id, StoredResults stored) -> void {
  Erase(id);
  order_.push_front(id);
  bytes_ += BytesOf(stored.results);
  entries_[id] = {std::move(stored), order_.begin()};
  while (bytes_ > max_bytes_ && order_.size() > 1) {
    Erase(JobId(order_.back()));
  }
}

auto ResultCache::Erase(const JobId& id) -> void {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    bytes_ -= BytesOf(found->second.stored.results);
    order_.erase(found->second.place);
    entries_.erase(found);
  }
}

}  // namespace kumquatgauge::serving::detail
