#include "kumquatgauge/batch/commit_policy.h"

#include <algorithm>

namespace kumquatgauge::batch {

auto CommitPolicy::OnOpened(std::size_t chunk,
                            bool has_partial,
                            MonotonicTime now) -> void {
  chunks_[chunk] = Chunk{.opened = now,
                         .has_partial = has_partial,
                         .waiting = 0,
                         .waiting_since = now,
                         .ended = false};
}

auto CommitPolicy::OnResultsWaiting(std::size_t chunk,
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

auto CommitPolicy::IsDue(const Chunk& chunk, MonotonicTime now) -> bool {
  if (chunk.waiting == 0) {
    return false;
  }
  if (chunk.ended) {
    return true;
  }
  if (chunk.has_partial) {
    return false;
  }
  // With slow items, there may be no result yet when the delay has passed. The
  // delay then restarts at the first result, so that the only partial commit
  // does not contain just that one.
  const auto planned = chunk.opened + kPartialCommitDelay;
  const auto due = chunk.waiting_since <= planned
                       ? planned
                       : chunk.waiting_since + kPartialCommitDelay;
  return chunk.waiting >= kPartialCommitResults || now >= due;
}

auto CommitPolicy::ChunksDue(MonotonicTime now) -> std::vector<std::size_t> {
  auto due = std::vector<std::size_t>();
  for (const auto& [number, chunk] : chunks_) {
    if (IsDue(chunk, now)) {
      due.push_back(number);
    }
  }
  if (due.empty()) {
    due_since_.reset();
    return due;
  }
  if (!due_since_) {
    due_since_ = now;
  }
  const auto nothing_to_wait_for = due.size() == chunks_.size();
  if (!nothing_to_wait_for && now - *due_since_ < kCommitCoalescingTime) {
    due.clear();
  }
  return due;
}

auto CommitPolicy::ChunksWaiting() const -> std::vector<std::size_t> {
  auto all = std::vector<std::size_t>();
  for (const auto& [number, chunk] : chunks_) {
    if (chunk.waiting > 0) {
      all.push_back(number);
    }
  }
  return all;
}

auto CommitPolicy::OnCommitted(std::size_t chunk) -> void {
  const auto found = chunks_.find(chunk);
  if (found != chunks_.end()) {
    found->second.has_partial = true;
    found->second.waiting = 0;
  }
}

}  // namespace kumquatgauge::batch
