#include "testing/fake_engine/prefix_cache.h"

#include <xxhash.h>

#include <utility>

namespace kumquatgauge::testing {

PrefixCache::PrefixCache(std::size_t max_bytes, ChangeHook on_change)
    : max_blocks_(max_bytes / kBlockBytes), on_change_(std::move(on_change)) {}

auto PrefixCache::Touch(std::string_view prompt) -> std::size_t {
  std::size_t cached = 0;
  auto prefix_cached = true;
  for (auto end = kBlockBytes; end <= prompt.size(); end += kBlockBytes) {
    const auto hash = XXH3_64bits(prompt.data(), end);
    const auto found = blocks_.find(hash);
    prefix_cached = prefix_cached && found != blocks_.end();
    if (prefix_cached) {
      cached = end;
    }
    if (found != blocks_.end()) {
      recent_.splice(recent_.begin(), recent_, found->second);
    } else {
      Store(hash);
    }
  }
  return cached;
}

auto PrefixCache::used_bytes() const -> std::size_t {
  return blocks_.size() * kBlockBytes;
}

auto PrefixCache::Store(std::uint64_t hash) -> void {
  if (max_blocks_ == 0) {
    return;
  }
  if (blocks_.size() == max_blocks_) {
    const auto evicted = recent_.back();
    blocks_.erase(evicted);
    recent_.pop_back();
    on_change_(false, evicted);
  }
  recent_.push_front(hash);
  blocks_[hash] = recent_.begin();
  on_change_(true, hash);
}

}  // namespace kumquatgauge::testing
