#include "kumquatgauge/batch/commit_policy.h"

#include <algorithm>

namespace kumquatgauge::batch {

auto CommitPolicy::Opened(std::size_t chunk,
                          bool has_partial,
                          MonotonicTime now) -> void {
  chunks_[chunk] = Chunk{.opened = now,
                         .has_partial = has_partial,
                         .waiting = 0,
                         .waiting_since = now,
                         .ended = false};
}

auto CommitPolicy::Waiting(std::size_t chunk,
                           std::size_t results,
                           bool ended,
                           MonotonicTime now) -> void {
  auto& entry = chunks_.at(chunk);
  if (entry.waiting == 0) {
    entry.waiting_since = now;
  }
  entry.waiting = results;
  entry.ended = ended;
}

auto CommitPolicy::IsRipe(const Chunk& chunk, MonotonicTime now) -> bool {
  if (chunk.waiting == 0) {
    return false;
  }
  if (chunk.ended) {
    return true;
  }
  if (chunk.has_partial) {
    return false;
  }
  // With slow items nothing may wait when the delay has passed. The one
  // partial part is then not spent on the very first result.
  const auto planned = chunk.opened + kPartialDelay;
  const auto due = chunk.waiting_since <= planned
                       ? planned
                       : chunk.waiting_since + kPartialDelay;
  return chunk.waiting >= kPartialResults || now >= due;
}

auto CommitPolicy::Due(MonotonicTime now) -> std::vector<std::size_t> {
  auto ripe = std::vector<std::size_t>();
  for (const auto& [number, chunk] : chunks_) {
    if (IsRipe(chunk, now)) {
      ripe.push_back(number);
    }
  }
  if (ripe.empty()) {
    ripe_since_.reset();
    return ripe;
  }
  if (!ripe_since_) {
    ripe_since_ = now;
  }
  const auto nothing_to_wait_for = ripe.size() == chunks_.size();
  if (!nothing_to_wait_for && now - *ripe_since_ < kCommitSharing) {
    ripe.clear();
  }
  return ripe;
}

auto CommitPolicy::All() const -> std::vector<std::size_t> {
  auto all = std::vector<std::size_t>();
  for (const auto& [number, chunk] : chunks_) {
    if (chunk.waiting > 0) {
      all.push_back(number);
    }
  }
  return all;
}

auto CommitPolicy::Committed(std::size_t chunk) -> void {
  const auto found = chunks_.find(chunk);
  if (found != chunks_.end()) {
    found->second.has_partial = true;
    found->second.waiting = 0;
  }
}

}  // namespace kumquatgauge::batch
