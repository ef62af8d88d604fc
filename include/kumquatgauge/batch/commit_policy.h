#ifndef KUMQUATGAUGE_BATCH_COMMIT_POLICY_H_
#define KUMQUATGAUGE_BATCH_COMMIT_POLICY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "kumquatgauge/base/time.h"

namespace kumquatgauge::batch {

// A chunk's partial commit is due when this many results are waiting ...
inline constexpr std::size_t kPartialCommitResults = 128;
// ... or this long after the chunk was opened.
inline constexpr std::chrono::seconds kPartialCommitDelay{5};
// Commits of one job that become due within this time share a state update.
inline constexpr std::chrono::seconds kCommitCoalescingTime{1};
// The input, two parts, two state updates and a share of the takeover update.
inline constexpr std::size_t kMaxWritesPerChunk = 6;

// Decides when the results of a job's open chunks are committed. Each chunk
// has at most one partial commit before its final one, across all its owners,
// which keeps it within kMaxWritesPerChunk.
class CommitPolicy {
 public:
  // `has_partial` is true if an earlier owner has committed a part of the
  // chunk.
  auto OnOpened(std::size_t chunk, bool has_partial, MonotonicTime now) -> void;
  // Sets the number of uncommitted results of the chunk. `ended` is true when
  // no more results will follow.
  auto OnResultsWaiting(std::size_t chunk,
                        std::size_t results,
                        bool ended,
                        MonotonicTime now) -> void;
  // Returns the chunks to commit together now. The first call that finds a
  // chunk due starts the interval in which other chunks can join its commit.
  auto ChunksDue(MonotonicTime now) -> std::vector<std::size_t>;
  // Returns every chunk with waiting results. Used under memory pressure or
  // when the shard is handed over. Costs more writes than ChunksDue.
  auto ChunksWaiting() const -> std::vector<std::size_t>;
  // Called when the waiting results of the chunk are being committed.
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
