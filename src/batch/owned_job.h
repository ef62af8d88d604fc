#ifndef SRC_BATCH_OWNED_JOB_H_
#define SRC_BATCH_OWNED_JOB_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "kumquatgauge/base/time.h"
#include "kumquatgauge/batch/commit_policy.h"
#include "kumquatgauge/batch/item_retry.h"
#include "kumquatgauge/batch/job.h"
#include "kumquatgauge/batch/job_store.h"
#include "kumquatgauge/batch/scheduler.h"

namespace kumquatgauge::batch::detail {

// One item of an open chunk.
struct OwnedItem {
  ItemInput input;
  ItemRetry retry;
  std::size_t runs = 0;  // Attempts started by this owner.
  RequestId request;     // Running attempt; empty if there is none.
  MonotonicTime started;
  bool ended = false;
};

// An output part with fixed content, so that it can be rewritten after a lost
// response.
struct FrozenPart {
  PartCommit commit;
  std::string content;
  bool written = false;
};

struct OpenChunk {
  struct Line {
    std::size_t number = 0;
    std::string text;
    bool failed = false;
  };

  std::vector<OwnedItem> items;
  std::deque<std::size_t> ready;
  std::multimap<MonotonicTime, std::size_t> delayed;
  std::size_t unended = 0;
  std::size_t input_bytes = 0;  // Total of the unfinished items.
  std::size_t next_part = 0;
  std::vector<Line> waiting;
  std::vector<FrozenPart> frozen;
};

// Identifies an item of an open chunk.
struct ItemRef {
  std::size_t chunk = 0;
  std::size_t index = 0;
};

// A job that this node owns: its open chunks, in-flight items and uncommitted
// results. Does no I/O.
class OwnedJob {
 public:
  OwnedJob(JobManifest manifest, StoredState stored, std::uint64_t token);

  auto manifest() const -> const JobManifest& { return manifest_; }
  auto token() const -> std::uint64_t { return token_; }
  auto stored() const -> const StoredState& { return stored_; }
  auto set_stored(StoredState stored) -> void { stored_ = std::move(stored); }

  // Returns the first incomplete chunk that is not open.
  auto NextUnopened() -> std::optional<std::size_t>;
  auto Open(std::size_t chunk,
            std::vector<ItemInput> inputs,
            const std::set<std::size_t>& committed_lines,
            MonotonicTime now) -> void;
  auto open_chunks() const -> std::size_t { return open_.size(); }

  // Moves delayed items whose delay has passed to the ready queues. Returns
  // true if any item is ready.
  auto HasReady(MonotonicTime now) -> bool;
  auto Start(RequestId request, MonotonicTime now) -> ItemRef;
  // Returns the line number of the item that Start would start.
  auto NextReadyLine() const -> std::size_t;
  auto item(ItemRef ref) -> OwnedItem& {
    return open_.at(ref.chunk).items.at(ref.index);
  }
  auto OnAttemptEnded(ItemRef ref,
                      const AttemptResult& result,
                      MonotonicTime now) -> RetryDecision;
  auto InFlight() const -> std::vector<RequestId>;

  // Freezes the waiting results of due chunks, or of all chunks if `force` is
  // set, into parts.
  auto FreezeDue(MonotonicTime now, bool force) -> void;
  auto CommitIsDue(MonotonicTime now, bool force) -> bool;
  auto UnwrittenParts() -> std::vector<FrozenPart*>;
  auto FrozenCommits() const -> std::vector<PartCommit>;
  // Returns the charged attempts of unfinished items, to be stored in the
  // state.
  auto Attempts() const -> std::map<std::size_t, std::size_t>;
  // Returns true if committing the frozen parts completes the job.
  auto WouldComplete() const -> bool;
  // Removes committed parts and closes chunks that have ended.
  auto OnCommitted(const std::vector<PartCommit>& parts, MonotonicTime now)
      -> void;

  auto in_flight() const -> std::size_t { return in_flight_; }
  auto held_bytes() const -> std::size_t { return held_bytes_; }
  auto input_bytes() const -> std::size_t;
  auto waiting_results() const -> std::size_t;
  auto Work(std::size_t parallel) const -> JobWork;

  // I/O state, managed by BatchService.
  bool dropped = false;      // Results that arrive later are ignored.
  bool busy = false;         // A step is waiting for the platform.
  bool checking = false;     // Its state is being read.
  bool must_check = false;   // No item starts until the state is read again.
  MonotonicTime check_from;  // Only a read sent since then clears must_check.
  bool wants_chunk = false;
  MonotonicTime last_check;      // Start of the last read that succeeded.
  MonotonicTime check_retry_at;  // Set after a failed read.
  MonotonicTime retry_at;        // Set after a platform error.
  Duration backoff{0};

 private:
  auto AddResult(OpenChunk& chunk,
                 std::size_t number,
                 OwnedItem& item,
                 ItemResult result,
                 MonotonicTime now) -> void;
  auto IsComplete(std::size_t chunk) const -> bool;
  auto HasFrozen() const -> bool;
  auto Freeze(std::size_t number, OpenChunk& chunk) -> void;
  auto FreezePart(std::size_t number, OpenChunk& chunk, FrozenPart part)
      -> void;

  JobManifest manifest_;
  StoredState stored_;
  std::uint64_t token_;
  std::map<std::size_t, OpenChunk> open_;
  CommitPolicy policy_;
  std::size_t complete_below_ = 0;  // All chunks below this are complete.
  std::size_t in_flight_ = 0;
  std::size_t held_bytes_ = 0;
  std::chrono::milliseconds item_time_ = kAssumedItemTime;
  bool measured_ = false;
};

}  // namespace kumquatgauge::batch::detail

#endif  // SRC_BATCH_OWNED_JOB_H_
