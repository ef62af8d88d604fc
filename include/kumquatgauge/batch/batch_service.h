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
#include "kumquatgauge/batch/job_store.h"
#include "kumquatgauge/batch/scheduler.h"
#include "kumquatgauge/batch/submission.h"
#include "kumquatgauge/store/object_store.h"

namespace kumquatgauge::batch {

// Batch items that one node has in flight. At the target rate of 800 items/s
// over 64 owners, 256 cover items of 20 s.
inline constexpr std::size_t kMaxItemsInFlight = 256;
// Open chunks of one node, and the bytes of their items that have not ended.
inline constexpr std::size_t kMaxOpenChunks = 64;
inline constexpr std::size_t kMaxOpenInputBytes = 8'000'000;
// Results held in memory while they cannot be committed; beyond it no item is
// started.
inline constexpr std::size_t kMaxHeldResultBytes = 16'000'000;
// Parts are cut below the platform's 1 MB.
inline constexpr std::size_t kMaxPartBytes = 900'000;
// How often the state of a job with open chunks is read. With a notice it is
// read at once.
inline constexpr std::chrono::milliseconds kStateCheckInterval{1'000};
// How often the index and the lease of a shard are read by its owner, and the
// lease by its standby.
inline constexpr std::chrono::milliseconds kShardPollInterval{1'000};
// How often a lease that was not renewed for half its term is read.
inline constexpr std::chrono::milliseconds kExpiryPollInterval{250};
// A shard without unfinished jobs keeps its lease this long.
inline constexpr std::chrono::seconds kIdleLeaseTime{10};
// Time for items in flight to end when a shard moves to another live node.
inline constexpr std::chrono::seconds kHandoverTime{10};
// A longer time between ticks means that this process was frozen: nothing is
// started before the state of its job has been read again.
inline constexpr std::chrono::milliseconds kPauseThreshold{1'000};
inline constexpr std::chrono::minutes kSweepInterval{10};
// Attempts that ExplainItem remembers.
inline constexpr std::size_t kAttemptLogSize = 4'096;

struct BatchServiceHooks {
  Clock clock;
  WallClock wall_clock;
  RandomSource random;
  // Live nodes that are not leaving, this one included while it is live.
  std::function<auto()->std::vector<NodeId>> live_nodes;
  // Sends a job-notice to another node; best effort.
  std::function<auto(const NodeId&, const JobId&)->void> send_job_notice;
  // Takes one line for the log; may be empty.
  std::function<auto(const std::string&)->void> log;
};

// A job as this node knows it.
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
  NodeId owner;  // By assignment.
  NodeId lease_owner;
  bool held = false;  // This node holds the lease.
  std::uint64_t token = 0;
  std::size_t jobs = 0;
  bool handing_over = false;

  auto operator==(const ShardView&) const -> bool = default;
};

// One attempt at an item as this node made it.
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

// Runs the batch jobs of the shards that this node owns. Lives on the control
// thread. The store and the runner must outlive the io_context that runs Tick.
class BatchService {
 public:
  BatchService(store::ObjectStore& store,
               ItemRunner& runner,
               NodeId node,
               Incarnation incarnation,
               BatchServiceHooks hooks);
  // Stops at once, as a crash would: nothing is committed or released.
  ~BatchService();
  BatchService(const BatchService&) = delete;
  auto operator=(const BatchService&) -> BatchService& = delete;

  // Advances everything; called every 100 ms or so, also while work that an
  // earlier tick began is still waiting for the platform. Does not wait for the
  // platform itself and does not throw.
  auto Tick() -> boost::asio::awaitable<void>;

  // A submission that notifies the owner of the job once it is accepted.
  auto Submit(SubmissionRequest request) -> std::unique_ptr<Submission>;
  // Cancels a job from any node; see JobStore::Cancel for errors. Returns its
  // state: kCancelled, or kCompleted when the completion came first.
  auto Cancel(JobId job) -> boost::asio::awaitable<JobState>;
  // Status of any job, read from the platform, with what this node knows of
  // its progress. Throws Error(kNotFound).
  auto Status(JobId job) -> boost::asio::awaitable<JobView>;
  // Estimate for a job that is about to be submitted, for its answer.
  auto EstimateNew(const JobManifest& manifest) const -> JobEstimate;
  auto store() -> JobStore&;

  // A job-notice arrived: something about the job has changed.
  auto OnJobNotice(const JobId& job) -> void;

  // Starts handing over all shards, for a planned stop; Tick carries it out.
  auto BeginDrain() -> void;
  // True once nothing is held any more.
  auto drained() const -> bool;

  // For operators. Jobs and shards that this node owns now.
  auto jobs() const -> std::vector<JobView>;
  auto shards() const -> std::vector<ShardView>;
  // Attempts at one item that this node made and still remembers.
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
