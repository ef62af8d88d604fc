#ifndef KUMQUATGAUGE_ROUTING_DISPATCHER_H_
#define KUMQUATGAUGE_ROUTING_DISPATCHER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/outcome.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/batch_admission.h"
#include "kumquatgauge/routing/completion.h"
#include "kumquatgauge/routing/concurrency_limit.h"
#include "kumquatgauge/routing/fair_queue.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::routing {

struct DispatcherSettings {
  // Initial and max are set from the replica's capacity.
  ConcurrencyLimitSettings limit = {};
  BatchAdmissionSettings batch = {};
  // Maximum wait of an online request. Together with the engine's own time it
  // must stay within the first-token target.
  Duration online_queue = std::chrono::milliseconds(400);
  // Maximum wait of a batch item. Batch items wait so that a slot is filled as
  // soon as it is free, by the item with the least slack.
  Duration batch_queue = std::chrono::seconds(1);
  std::uint32_t max_batch_waiting = 4;
  std::uint32_t max_online_waiting = 1024;
  // Bounds of retry-after.
  std::chrono::milliseconds min_retry_after{50};
  std::chrono::milliseconds max_retry_after{5000};
  // KV cache utilisation above which no batch is started, and above which batch
  // is preempted, one item per load report. A full cache makes the engine evict
  // running requests of either class. The reported utilisation lags, so it does
  // not delay online requests; the concurrency and token limits bound them.
  double batch_kv_used = 0.9;
  double max_kv_used = 0.97;
};

// The part of a request that the dispatcher uses.
struct DispatchItem {
  RequestId id = {};
  OrganisationName organisation = {};
  WorkClass work_class = WorkClass::kOnline;
  std::uint32_t max_tokens = 0;
  std::chrono::milliseconds time_left{0};  // Until the deadline.
  std::chrono::milliseconds slack{0};
  bool exclusive = false;
  std::uint64_t resume_offset = 0;

  auto operator==(const DispatchItem&) const -> bool = default;
};

auto DispatchItemOf(const CompletionRequest& request) -> DispatchItem;

struct DispatchAction {
  enum class Kind {
    kStart,    // Send the request to the replica.
    kRefuse,   // Answer kBusy with `outcome` (not run, retry-after).
    kExpire,   // As kRefuse; the deadline passed while it waited.
    kPreempt,  // Cancel at the engine; answer kPreempted with the offset.
  };

  Kind kind = Kind::kStart;
  RequestId id;
  Outcome outcome;  // For kRefuse, kExpire and kPreempt.

  auto operator==(const DispatchAction&) const -> bool = default;
};

// Load as reported by the replica itself; it lags.
struct ObservedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t capacity = 1;
  double kv_used = 0.0;

  auto operator==(const ObservedLoad&) const -> bool = default;
};

// How a started request ended at the upstream.
enum class UpstreamEnd {
  kCompleted,
  kRefused,    // The upstream had no capacity and did not run it.
  kFailed,     // 4xx, 5xx.
  kLost,       // The connection broke or timed out.
  kCancelled,  // Cancelled by the requester or preempted.
};

// Admission control for one replica, run by its dispatching node. Every event
// returns the actions to carry out, in order. Guarantees:
// - an arrived request gets exactly one of kStart, kRefuse and kExpire, unless
//   it is cancelled first; after kStart it is never refused or expired;
// - an online request never waits for a batch item: batch starts only while no
//   online request waits, and is preempted when one does;
// - a leaving replica starts nothing.
// A slot is held from kStart until Finished. Not thread-safe.
class Dispatcher {
 public:
  using Actions = std::vector<DispatchAction>;
  // Weight of an organisation in the fair queue; 1 when unset.
  using OrganisationWeight =
      std::function<auto(const OrganisationName&)->double>;

  Dispatcher(Replica replica,
             DispatcherSettings settings,
             Clock clock,
             OrganisationWeight weight = nullptr);

  // Throws Error(kConflict) when a request with this id waits or runs here:
  // neither "not run" nor a second start would be correct. The holder of the
  // earlier stream must cancel it first.
  auto Arrive(const DispatchItem& item) -> Actions;
  // Call when the first byte is about to be sent; the first-token time is
  // measured from here, or from kStart without this event.
  auto Started(const RequestId& id) -> void;
  auto FirstToken(const RequestId& id) -> Actions;
  // `offset` is the number of tokens since the start of the answer.
  auto TokenProgress(const RequestId& id, std::uint64_t offset) -> Actions;
  // The stream at the upstream has ended and its slot is free.
  auto Finished(const RequestId& id, UpstreamEnd end) -> Actions;
  // Call when the requester has cancelled. A waiting request is dropped. A
  // running one keeps its slot until Finished; the caller of this function
  // stops it at the engine.
  auto Cancelled(const RequestId& id) -> Actions;
  auto LoadReport(const ObservedLoad& load) -> Actions;
  // Call at least every 50 ms while anything waits.
  auto Tick() -> Actions;
  // Updates the replica; when it is leaving, all waiting requests are refused.
  auto SetReplica(const Replica& replica) -> Actions;
  auto SetBatchSettings(const BatchAdmissionSettings& settings) -> Actions;

  auto load() const -> ReplicaLoad;
  auto replica() const -> const Replica& { return replica_; }
  auto waiting() const -> std::size_t { return waiting_.size(); }
  auto running() const -> std::size_t { return running_.size(); }

 private:
  struct Running {
    DispatchItem item;
    MonotonicTime started;
    MonotonicTime last_progress;
    std::uint64_t offset = 0;
    bool first_token = false;
    bool stopping = false;  // Preempted or cancelled; slot not yet free.
  };
  struct Waiting {
    DispatchItem item;
    MonotonicTime deadline;
    MonotonicTime until;  // End of the queue bound or the deadline.
  };

  auto RecordEnd(const Running& running, UpstreamEnd end) -> void;
  auto RecordServiceTime(Duration taken) -> void;
  auto QueueBatch(const DispatchItem& item) -> void;
  // Refuses batch items beyond the size of the queue, most slack first.
  auto ShedBatch(Actions& actions) -> void;
  // Ends expired waits, starts every request that may start and preempts batch.
  // `arrived` is the online request that has just arrived, or null.
  auto Advance(Actions& actions, const RequestId* arrived) -> void;
  auto Advance() -> Actions;
  auto EndWaits(Actions& actions) -> void;
  // Refuses online requests that would not start in time.
  auto ShedOnline(const RequestId* arrived, Actions& actions) -> void;
  auto StartOnline(Actions& actions) -> void;
  auto StartBatch(Actions& actions) -> void;
  auto PreemptForOnline(Actions& actions) -> void;
  // Preempts batch items that exceed the preemption limit.
  auto PreemptExcess(Actions& actions) -> void;
  // Preempts up to `count` batch items, most slack first. Returns whether any
  // was preempted.
  auto PreemptBatch(std::uint32_t count, Actions& actions) -> bool;
  auto Start(const DispatchItem& item, Actions& actions) -> void;
  auto MarkStopping(Running& running) -> void;
  // Drops a waiting request.
  auto RemoveWaiting(const RequestId& id) -> void;
  auto Refuse(RequestId id,
              DispatchAction::Kind kind,
              std::string reason,
              Actions& actions) const -> void;
  // `id` is a copy, since the original may be in what Forget erases.
  auto RefuseOne(RequestId id,
                 DispatchAction::Kind kind,
                 std::string reason,
                 Actions& actions) -> void;
  auto RefuseAllWaiting(const std::string& reason, Actions& actions) -> void;
  auto EstimatedWait(std::size_t position) const -> Duration;
  auto RetryAfter() const -> std::chrono::milliseconds;
  auto HasTokenCapacity(std::uint32_t max_tokens) const -> bool;
  auto FreeSlots() const -> std::uint32_t;
  // Number of online requests that run on the replica or wait for it.
  auto OnlineLoad() const -> std::uint32_t;
  auto BatchAdmissionLimit() const -> std::uint32_t;
  auto FreeBatchSlots() const -> std::uint32_t;
  auto MayStartBatch(const DispatchItem& item) const -> bool;
  auto UpdateBatchAdmission() -> void;

  Replica replica_;
  DispatcherSettings settings_;
  Clock clock_;
  OrganisationWeight weight_;
  ConcurrencyLimit limit_;
  BatchAdmission batch_admission_;
  std::unordered_map<RequestId, Running> running_;
  std::unordered_map<RequestId, Waiting> waiting_;  // Both classes.
  FairQueue online_queue_;
  std::vector<RequestId> batch_queue_;  // In order of slack.
  std::uint32_t online_running_ = 0;
  std::uint32_t batch_running_ = 0;
  std::uint32_t stopping_ = 0;
  std::uint32_t batch_stopping_ = 0;
  std::uint32_t exclusive_running_ = 0;
  std::uint64_t reserved_tokens_ = 0;
  std::uint64_t stopping_tokens_ = 0;
  // Requests on the replica that another dispatcher sent.
  std::uint32_t external_in_flight_ = 0;
  std::uint32_t peak_running_ = 0;  // Since the last report.
  std::uint32_t last_peak_running_ = 0;
  double kv_used_ = 0.0;
  double service_time_s_ = 0.0;  // Moving average of online requests.
};

}  // namespace kumquatgauge::routing

#endif  // KUMQUATGAUGE_ROUTING_DISPATCHER_H_
