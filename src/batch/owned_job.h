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
  RequestId request;     // Of the running attempt; empty when none runs.
  MonotonicTime started;
  bool ended = false;
};

// An output part with fixed content, so that it can be written again after an
// answer was lost.
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
  std::size_t input_bytes = 0;  // Of the items that have not ended.
  std::size_t next_part = 0;
  std::vector<Line> waiting;
  std::vector<FrozenPart> frozen;
};

// Names an item of an open chunk.
struct ItemRef {
  std::size_t chunk = 0;
  std::size_t index = 0;
};

// A job that this node owns: its open chunks, the items in flight and the
// results that wait to be committed. Does no I/O.
class OwnedJob {
 public:
  OwnedJob(JobManifest manifest, StoredState stored, std::uint64_t token);

  auto manifest() const -> const JobManifest& { return manifest_; }
  auto token() const -> std::uint64_t { return token_; }
  auto stored() const -> const StoredState& { return stored_; }
  auto set_stored(StoredState stored) -> void { stored_ = std::move(stored); }

  // The first chunk that has results missing and is not open.
  auto NextUnopened() -> std::optional<std::size_t>;
  auto Open(std::size_t chunk,
            std::vector<ItemInput> inputs,
            const std::set<std::size_t>& committed_lines,
            MonotonicTime now) -> void;
  auto open_chunks() const -> std::size_t { return open_.size(); }

  // Makes delayed items whose time has come ready.
  auto HasReady(MonotonicTime now) -> bool;
  auto Start(RequestId request, MonotonicTime now) -> ItemRef;
  // The item that Start would start.
  auto NextReadyLine() const -> std::size_t;
  auto item(ItemRef ref) -> OwnedItem& {
    return open_.at(ref.chunk).items.at(ref.index);
  }
  auto OnAttemptEnded(ItemRef ref,
                      const AttemptResult& result,
                      MonotonicTime now) -> RetryDecision;
  auto InFlight() const -> std::vector<RequestId>;

  // Fixes the parts of the chunks that are due, or of all with `force`.
  auto FreezeDue(MonotonicTime now, bool force) -> void;
  auto CommitIsDue(MonotonicTime now, bool force) -> bool;
  auto UnwrittenParts() -> std::vector<FrozenPart*>;
  auto FrozenCommits() const -> std::vector<PartCommit>;
  // Charged attempts of open items, to be stored with the state.
  auto Attempts() const -> std::map<std::size_t, std::size_t>;
  // Whether the frozen parts are the last of the job.
  auto WouldComplete() const -> bool;
  // Removes the parts that were committed. Closes ended chunks.
  auto OnCommitted(const std::vector<PartCommit>& parts, MonotonicTime now)
      -> void;

  auto in_flight() const -> std::size_t { return in_flight_; }
  auto held_bytes() const -> std::size_t { return held_bytes_; }
  auto input_bytes() const -> std::size_t;
  auto waiting_results() const -> std::size_t;
  auto Work(std::size_t parallel) const -> JobWork;

  // Control of the job's I/O, kept by BatchService.
  bool dropped = false;     // Results that still arrive are ignored.
  bool busy = false;        // A step waits for the platform.
  bool must_check = false;  // Nothing starts before the state is read again.
  bool wants_chunk = false;
  MonotonicTime last_check;
  MonotonicTime retry_at;  // After an error of the platform.
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
  std::size_t complete_below_ = 0;  // All chunks below have all results.
  std::size_t in_flight_ = 0;
  std::size_t held_bytes_ = 0;
  std::chrono::milliseconds item_time_ = kAssumedItemTime;
  bool measured_ = false;
};

}  // namespace kumquatgauge::batch::detail

#endif  // SRC_BATCH_OWNED_JOB_H_
