#ifndef KUMQUATGAUGE_BATCH_COMMIT_POLICY_H_
#define KUMQUATGAUGE_BATCH_COMMIT_POLICY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "kumquatgauge/base/time.h"

namespace kumquatgauge::batch {

// A chunk's partial part is due with this many waiting results ...
inline constexpr std::size_t kPartialCommitResults = 128;
// ... or this long after the chunk was opened.
inline constexpr std::chrono::seconds kPartialCommitDelay{5};
// Commits of one job that fall due within this time share a state update.
inline constexpr std::chrono::seconds kCommitCoalescingTime{1};
// Input, two parts, two state updates, and a share of the takeover update.
inline constexpr std::size_t kMaxWritesPerChunk = 6;

// Decides when the results of a job's open chunks are committed. Each chunk
// has at most one partial commit before its final one, over all its owners,
// which keeps it within kMaxWritesPerChunk.
class CommitPolicy {
 public:
  // `has_partial`: an earlier owner has committed a part of the chunk.
  auto OnOpened(std::size_t chunk, bool has_partial, MonotonicTime now) -> void;
  // Results of the chunk that wait for a commit; `ended` when no more come.
  auto OnResultsWaiting(std::size_t chunk,
                        std::size_t results,
                        bool ended,
                        MonotonicTime now) -> void;
  // Chunks to commit now, together; often none. The time of the first call
  // that finds a chunk due begins the time in which others may join it.
  auto ChunksDue(MonotonicTime now) -> std::vector<std::size_t>;
  // Every chunk with waiting results, for when memory is short or the shard is
  // handed over. Costs more writes than ChunksDue.
  auto ChunksWaiting() const -> std::vector<std::size_t>;
  // The results that waited when the commit began are committed.
  auto OnCommitted(std::size_t chunk) -> void;
  auto OnClosed(std::size_t chunk) -> void { chunks_.erase(chunk); }

 private:
  struct Chunk {
    MonotonicTime opened;
    bool has_partial = false;
    std::size_t waiting = 0;
    MonotonicTime waiting_since;
    bool ended = false;
  };

  static auto IsDue(const Chunk& chunk, MonotonicTime now) -> bool;

  std::map<std::size_t, Chunk> chunks_;
  std::optional<MonotonicTime> due_since_;
};

}  // namespace kumquatgauge::batch

#endif  // KUMQUATGAUGE_BATCH_COMMIT_POLICY_H_
