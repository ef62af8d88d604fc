#ifndef KUMQUATGAUGE_BATCH_BATCH_SERVICE_H_
#define KUMQUATGAUGE_BATCH_BATCH_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/batch/item_runner.h"
#include "kumquatgauge/batch/job.h"
#include "kumquatgauge/batch/job_notice.h"
#include "kumquatgauge/batch/job_store.h"
#include "kumquatgauge/batch/scheduler.h"
#include "kumquatgauge/batch/submission.h"
#include "kumquatgauge/store/object_store.h"

namespace kumquatgauge::batch {

// Maximum number of batch items in flight on one node. At the target rate of
// 800 items/s over 64 owners, 256 slots are enough for items that take 20 s.
inline constexpr std::size_t kMaxItemsInFlight = 256;
// Limits on the open chunks of one node and on the input bytes of their
// unfinished items.
inline constexpr std::size_t kMaxOpenChunks = 64;
inline constexpr std::size_t kMaxOpenInputBytes = 8'000'000;
// Limit on the results held in memory until they are committed. No item starts
// while it is reached.
inline constexpr std::size_t kMaxHeldResultBytes = 16'000'000;
// Maximum size of an output part; the platform's object limit is 1 MB.
inline constexpr std::size_t kMaxPartBytes = 900'000;
// Interval at which the state of a job with open chunks is read, from the start
// of one read to the start of the next. A notice of a changed job triggers an
// immediate read.
inline constexpr std::chrono::milliseconds kStateCheckInterval{1'000};
// Interval at which the owner of a shard reads its index and lease, and the
// standby reads its lease.
inline constexpr std::chrono::milliseconds kShardPollInterval{1'000};
// Poll interval for a lease that has not been renewed for half its term.
inline constexpr std::chrono::milliseconds kExpiryPollInterval{250};
// How long the lease of a shard without unfinished jobs is kept.
inline constexpr std::chrono::seconds kIdleLeaseTime{10};
// Grace period for in-flight items when a shard moves to another live node.
inline constexpr std::chrono::seconds kHandoverTime{10};
// A longer gap between ticks means that the process was suspended. No item
// starts until the state of its job has been read again.
inline constexpr std::chrono::milliseconds kPauseThreshold{1'000};
// How long a job of an isolated node continues without a read of its state.
inline constexpr std::chrono::milliseconds kIsolatedLimit{2'000};
inline constexpr std::chrono::minutes kSweepInterval{10};
// The notice of an ended job is repeated until its owner has confirmed it. The
// delay doubles up to the maximum.
inline constexpr std::chrono::milliseconds kFirstNoticeDelay{300};
inline constexpr std::chrono::milliseconds kMaxNoticeDelay{2'000};
inline constexpr std::chrono::minutes kNoticeLifetime{10};
// Limit on the repeated notices and on the remembered ends of one node.
inline constexpr std::size_t kMaxJobEnds = 10'000;
// Number of recent attempts kept for ExplainItem.
inline constexpr std::size_t kAttemptLogSize = 4'096;

struct BatchServiceHooks {
  Clock clock;
  WallClock wall_clock;
  RandomSource random;
  // Returns the live nodes that are not leaving, including this one.
  std::function<auto()->std::vector<NodeId>> live_nodes;
  // Returns whether this node currently hears from none of the others; may be
  // empty.
  std::function<auto()->bool> isolated;
  // Sends a job notice to another node, best effort.
  std::function<auto(const NodeId&, const JobNotice&)->void> send_job_notice;
  // Writes one log line; may be empty.
  std::function<auto(const std::string&)->void> log;
};

// Status of a job as known to this node.
struct JobView {
  JobId id;
  OrganisationName organisation;
  std::string client_key;
  ServiceName service;
  JobStatus status = JobStatus::kRunning;
  std::size_t items = 0;
  std::size_t completed = 0;  // Committed results that are responses.
  std::size_t failed = 0;     // Committed results that are errors.
  std::size_t in_flight = 0;
  std::size_t waiting_for_commit = 0;
  std::size_t rejected = 0;
  std::vector<RejectedLine> rejected_lines;
  WallMillis due = 0;
  WallMillis ended = 0;
  JobEstimate estimate;  // Meaningful while running.

  auto operator==(const JobView&) const -> bool = default;
};

struct ShardView {
  std::size_t shard = 0;
  NodeId owner;  // According to the shard assignment.
  NodeId lease_owner;
  bool held = false;  // This node holds the lease.
  std::uint64_t token = 0;
  std::size_t jobs = 0;
  bool handing_over = false;

  auto operator==(const ShardView&) const -> bool = default;
};

// An attempt at an item by this node.
struct AttemptView {
  JobId job;
  std::string custom_id;
  std::size_t attempt = 0;  // Runs of the item by this node, from 1.
  NodeId node;
  ReplicaId replica;
  std::uint64_t token = 0;
  std::string outcome;
  std::string decision;  // "completed", "failed" or "retry".

  auto operator==(const AttemptView&) const -> bool = default;
};

// Runs the batch jobs of the shards that this node owns. Must be used on the
// control thread. The store and the runner must outlive the io_context that
// runs Tick.
class BatchService {
 public:
  BatchService(store::ObjectStore& store,
               ItemRunner& runner,
               NodeId node,
               Incarnation incarnation,
               BatchServiceHooks hooks);
  // Stops immediately, like a crash: commits no results, releases no leases.
  ~BatchService();
  BatchService(const BatchService&) = delete;
  auto operator=(const BatchService&) -> BatchService& = delete;

  // Advances all shards and jobs. Call it about every 100 ms, even while steps
  // of an earlier tick are waiting for the platform. Neither waits for the
  // platform nor throws.
  auto Tick() -> boost::asio::awaitable<void>;

  // Returns a submission that notifies the job's owner once it is accepted.
  auto Submit(SubmissionRequest request) -> std::unique_ptr<Submission>;
  // Cancels a job; works on any node. Returns the final state: kCancelled, or
  // kCompleted if the job completed first. Throws as JobStore::Cancel does.
  auto Cancel(JobId job) -> boost::asio::awaitable<JobState>;
  // Returns the status of any job, read from the platform, plus the progress
  // known to this node. Throws Error(kNotFound) if there is no such job.
  auto Status(JobId job) -> boost::asio::awaitable<JobView>;
  // Returns the estimate to report in the response to a submission.
  auto EstimateNew(const JobManifest& manifest) const -> JobEstimate;
  auto store() -> JobStore&;

  // Handles a job notice of another node. A job that has ended according to the
  // notice is stopped without asking the platform.
  auto OnJobNotice(const JobNotice& notice) -> void;

  // Starts to hand over all shards before a planned stop. Later calls of Tick
  // complete the handover.
  auto BeginDrain() -> void;
  // Returns true once this node holds no shard lease.
  auto drained() const -> bool;

  // Jobs and shards that this node currently owns, for operators.
  auto jobs() const -> std::vector<JobView>;
  auto shards() const -> std::vector<ShardView>;
  // Returns this node's recorded attempts at one item.
  auto ExplainItem(const JobId& job, const std::string& custom_id) const
      -> std::vector<AttemptView>;
  auto items_in_flight() const -> std::size_t;
  auto held_result_bytes() const -> std::size_t;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::batch

#endif  // KUMQUATGAUGE_BATCH_BATCH_SERVICE_H_
