#include "kumquatgauge/batch/batch_service.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "batch/observe_only_store.h"
#include "batch/owned_job.h"
#include "kumquatgauge/base/error.h"
#include "kumquatgauge/batch/shard_assignment.h"
#include "kumquatgauge/control/lease.h"

namespace kumquatgauge::batch {

using boost::asio::awaitable;
using detail::ItemRef;
using detail::OwnedJob;
using std::chrono::milliseconds;

namespace {

constexpr auto kFirstBackoff = milliseconds(500);
constexpr auto kMaxBackoff = milliseconds(5'000);
// Maximum delay after a failed read of a job's state.
constexpr auto kMaxCheckRetryDelay = milliseconds(1'000);
constexpr auto kLogInterval = std::chrono::seconds(30);
// Maximum interval between manifest lookups of an id without one. The interval
// starts at kShardPollInterval and doubles; a job notice resets it.
constexpr auto kMaxManifestDelay = milliseconds(30'000);
// Above 3/4 of kMaxHeldResultBytes, waiting results are committed early.
constexpr auto kEarlyCommitBytes = kMaxHeldResultBytes / 4 * 3;
// Minimum time left that is given to an engine, even if the job is late.
constexpr auto kMinTimeLeft = std::chrono::minutes(10);
// Length of the body prefix that is hashed for cache affinity.
constexpr std::size_t kAffinityBytes = 512;
constexpr std::uint32_t kAssumedMaxTokens = 256;

auto ToWallMillis(WallTime time) -> WallMillis {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
      .count();
}

auto MaxTokensOf(const std::string& body) -> std::uint32_t {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  const auto found = json.is_object() ? json.find("max_tokens") : json.end();
  if (found == json.end() || !found->is_number_unsigned()) {
    return kAssumedMaxTokens;
  }
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(found->get<std::uint64_t>(), 1'000'000));
}

auto AffinityOf(const std::string& body) -> std::uint64_t {
  return XXH3_64bits(body.data(), std::min(body.size(), kAffinityBytes));
}

auto DescribeOutcome(const AttemptResult& result) -> std::string {
  using Kind = routing::DispatchResult::Kind;
  auto text = std::string();
  switch (result.dispatch.kind) {
    case Kind::kBusy:
      text = "busy";
      break;
    case Kind::kPreempted:
      text = "preempted";
      break;
    case Kind::kLost:
      text = "lost";
      break;
    case Kind::kEnded:
      text = OutcomeKindName(result.dispatch.outcome.kind);
      break;
  }
  if (!result.dispatch.outcome.reason.empty()) {
    text += ": " + result.dispatch.outcome.reason;
  }
  return text;
}

auto DescribeDecision(const RetryDecision& decision) -> std::string {
  switch (decision.kind) {
    case RetryDecision::Kind::kCompleted:
      return "completed";
    case RetryDecision::Kind::kFailed:
      return "failed";
    case RetryDecision::Kind::kRetry:
      break;
  }
  return "retry";
}

// Repeated notice of a job that ended by a call on this node.
struct EndNotice {
  JobEnd end;
  NodeId target;  // Node that the notice was last sent to.
  MonotonicTime expires;
  MonotonicTime next;
  Duration delay = kFirstNoticeDelay;
};

// End of a job according to a notice. A takeover that began before the end was
// stored may complete after the notice.
struct KnownEnd {
  JobEnd end;
  MonotonicTime expires;
};

// Backoff of the manifest lookups for an id in the index.
struct ManifestSearch {
  MonotonicTime next;
  Duration delay = kShardPollInterval;
};

struct Shard {
  Shard(std::size_t shard,
        store::ObjectStore& store,
        const NodeId& node,
        Incarnation incarnation,
        const BatchServiceHooks& hooks)
      : number(shard),
        lease_store(store, hooks.clock),
        keeper(lease_store,
               ShardLeaseKey(shard),
               node,
               incarnation,
               hooks.clock,
               hooks.random) {}

  std::size_t number;
  detail::ObserveOnlyStore lease_store;
  control::LeaseKeeper keeper;
  bool lease_busy = false;
  bool index_busy = false;
  MonotonicTime next_lease;
  MonotonicTime next_index;
  MonotonicTime last_work;  // Last time with an unfinished job.
  bool index_known = false;
  ShardIndex index;
  std::map<JobId, JobManifest> accepted;  // Unfinished and not yet owned.
  std::map<JobId, ManifestSearch> searches;
  std::map<JobId, std::shared_ptr<OwnedJob>> jobs;
  std::map<JobId, WallMillis> ended;  // Still to be moved in the index.
  std::optional<MonotonicTime> handover_since;

  auto has_work() const -> bool {
    return !accepted.empty() || !jobs.empty() || !ended.empty();
  }
};

}  // namespace

class BatchService::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(store::ObjectStore& store,
       ItemRunner& runner,
       NodeId node,
       Incarnation incarnation,
       BatchServiceHooks hooks)
      : store_(store),
        runner_(runner),
        node_(std::move(node)),
        hooks_(std::move(hooks)),
        jobs_(store, hooks_.random),
        next_sweep_(hooks_.clock() + kSweepInterval) {
    for (auto shard = std::size_t{0}; shard < kShardCount; ++shard) {
      shards_.push_back(
          std::make_unique<Shard>(shard, store_, node_, incarnation, hooks_));
    }
  }

  auto Tick(boost::asio::any_io_executor executor) -> void;
  auto Stop() -> void { stopped_ = true; }
  auto Notify(const JobId& job) -> void;
  auto OnJobNotice(const JobNotice& notice) -> void;
  auto Cancel(JobId job) -> awaitable<JobState>;
  auto Status(JobId job) -> awaitable<JobView>;
  auto EstimateNew(const JobManifest& manifest) const -> JobEstimate;
  auto BeginDrain() -> void { draining_ = true; }
  auto drained() const -> bool;
  auto jobs() const -> std::vector<JobView>;
  auto shards() const -> std::vector<ShardView>;
  auto ExplainItem(const JobId& job, const std::string& custom_id) const
      -> std::vector<AttemptView>;
  auto items_in_flight() const -> std::size_t { return in_flight_; }
  auto held_bytes() const -> std::size_t;
  auto store() -> JobStore& { return jobs_; }
  auto object_store() -> store::ObjectStore& { return store_; }
  auto hooks() const -> const BatchServiceHooks& { return hooks_; }

 private:
  using JobPtr = std::shared_ptr<OwnedJob>;

  auto Now() const -> MonotonicTime { return hooks_.clock(); }
  auto Log(const std::string& text) const -> void;
  auto LogError(const std::string& where, const std::exception& error) -> void;
  template <typename Step>
  auto Spawn(Step step) -> void;

  auto UpdateAssignment() -> void;
  auto IsOwner(const Shard& shard) const -> bool;
  auto DetectPause(MonotonicTime now) -> void;
  auto SpawnShardSteps(Shard& shard, MonotonicTime now) -> void;
  auto SpawnJobStep(Shard& shard, const JobPtr& job, MonotonicTime now) -> void;
  auto UpdateHandover(Shard& shard, MonotonicTime now) -> void;

  auto LeaseStep(Shard& shard) -> awaitable<void>;
  auto AdvanceLease(Shard& shard) -> awaitable<void>;
  auto LeaseIsDue(const Shard& shard) const -> bool;
  auto LeasePollDelay(const Shard& shard) const -> Duration;
  auto ReadyToRelease(const Shard& shard) const -> bool;
  auto IsIdle(const Shard& shard) const -> bool;
  auto DropShard(Shard& shard, const std::string& why) -> void;

  auto IndexStep(Shard& shard) -> awaitable<void>;
  auto AdvanceIndex(Shard& shard) -> awaitable<void>;
  auto MoveEnded(Shard& shard) -> awaitable<void>;
  auto FindManifest(Shard& shard, JobId job) -> awaitable<void>;
  auto Adopt(Shard& shard, JobId job) -> awaitable<void>;

  auto JobStep(Shard& shard, JobPtr job) -> awaitable<void>;
  auto AdvanceJob(Shard& shard, JobPtr job) -> awaitable<void>;
  auto JobStepIsDue(const Shard& shard, OwnedJob& job, MonotonicTime now) const
      -> bool;
  auto CheckIsDue(const OwnedJob& job, MonotonicTime now) const -> bool;
  auto ForceCommit(const Shard& shard, const OwnedJob& job) const -> bool;
  auto CheckStep(Shard& shard, JobPtr job) -> awaitable<void>;
  auto CheckState(Shard& shard, JobPtr job) -> awaitable<void>;
  auto OpenChunk(JobPtr job) -> awaitable<void>;
  auto Commit(Shard& shard, JobPtr job) -> awaitable<void>;
  auto AfterUpdate(Shard& shard, const JobPtr& job, UpdateResult result)
      -> void;
  auto DropJob(OwnedJob& job) -> void;
  auto CancelItems(const OwnedJob& job) -> void;
  auto EndJob(Shard& shard, const JobPtr& job, WallMillis ended) -> void;

  auto ScheduleLaunch() -> void;
  auto Launch() -> void;
  auto ExpectedParallelism(const ServiceName& service) const -> std::size_t;
  auto StartItem(const JobPtr& job, MonotonicTime now) -> void;
  auto RequestFor(const OwnedJob& job,
                  const detail::OwnedItem& item,
                  milliseconds slack) const -> routing::CompletionRequest;
  auto RunItem(JobPtr job, ItemRef ref, routing::CompletionRequest request)
      -> awaitable<void>;
  auto RecordAttempt(const OwnedJob& job,
                     const detail::OwnedItem& item,
                     const AttemptResult& result,
                     const RetryDecision& decision) -> void;

  auto SendNotice(const NodeId& node, const JobNotice& notice) -> void;
  auto RepeatEndNotices(MonotonicTime now) -> void;
  auto SendEndNotice(const JobId& job) -> void;
  auto OnChanged(const JobId& job) -> void;
  auto OnEnded(const JobId& job, const JobEnd& end) -> void;
  auto RequireCheck(OwnedJob& job, MonotonicTime now) -> void;

  auto SweepStep() -> awaitable<void>;
  auto SweepShard(Shard& shard) -> awaitable<void>;
  auto SweepJobs(std::string key, ShardIndex old, WallMillis now)
      -> awaitable<void>;

  auto View(const JobManifest& manifest, const JobState& state) const
      -> JobView;
  auto FindOwned(const JobId& job) const -> JobPtr;

  store::ObjectStore& store_;
  ItemRunner& runner_;
  NodeId node_;
  BatchServiceHooks hooks_;
  JobStore jobs_;
  std::vector<std::unique_ptr<Shard>> shards_;
  std::vector<NodeId> live_;
  ShardAssignment assignment_;
  Scheduler scheduler_;
  boost::asio::any_io_executor executor_;
  std::optional<MonotonicTime> last_tick_;
  std::optional<MonotonicTime> last_pause_;  // When it was detected.
  std::map<JobId, EndNotice> end_notices_;
  std::map<JobId, KnownEnd> known_ends_;
  bool stopped_ = false;
  bool draining_ = false;
  bool launch_scheduled_ = false;
  bool sweep_busy_ = false;
  bool memory_pressure_ = false;
  MonotonicTime next_sweep_;
  std::size_t in_flight_ = 0;
  std::deque<AttemptView> attempts_;
  std::map<std::string, MonotonicTime> logged_;
};

auto BatchService::Impl::Log(const std::string& text) const -> void {
  if (hooks_.log) {
    hooks_.log("batch: " + text);
  }
}

// Logs each failing shard or job once per kLogInterval. In an outage each of
// them fails twice a second.
auto BatchService::Impl::LogError(const std::string& where,
                                  const std::exception& error) -> void {
  const auto now = Now();
  std::erase_if(logged_, [now](const auto& entry) {
    return now - entry.second >= kLogInterval;
  });
  if (logged_.emplace(where, now).second) {
    Log(where + ": " + error.what());
  }
}

// Runs a step concurrently with the caller. The step keeps this object alive. A
// step that is resumed after Stop must have no effect.
template <typename Step>
auto BatchService::Impl::Spawn(Step step) -> void {
  boost::asio::co_spawn(
      executor_,
      [self = shared_from_this(), step]() -> awaitable<void> {
        if (!self->stopped_) {
          co_await step(*self);
        }
      },
      boost::asio::detached);
}

auto BatchService::Impl::Tick(boost::asio::any_io_executor executor) -> void {
  executor_ = std::move(executor);
  const auto now = Now();
  DetectPause(now);
  last_tick_ = now;
  memory_pressure_ = held_bytes() > kEarlyCommitBytes;
  UpdateAssignment();
  RepeatEndNotices(now);
  for (auto& shard : shards_) {
    UpdateHandover(*shard, now);
    SpawnShardSteps(*shard, now);
  }
  if (!sweep_busy_ && now >= next_sweep_) {
    sweep_busy_ = true;
    next_sweep_ = now + kSweepInterval;
    Spawn([](Impl& self) { return self.SweepStep(); });
  }
  Launch();
}

// After a pause, jobs may have been cancelled or taken over, so none of their
// items start until their state has been read.
auto BatchService::Impl::DetectPause(MonotonicTime now) -> void {
  if (!last_tick_ || now - *last_tick_ <= kPauseThreshold) {
    return;
  }
  last_pause_ = now;
  for (auto& shard : shards_) {
    for (auto& [id, job] : shard->jobs) {
      RequireCheck(*job, now);
    }
  }
}

auto BatchService::Impl::RequireCheck(OwnedJob& job, MonotonicTime now)
    -> void {
  job.must_check = true;
  job.check_from = now;
  job.check_retry_at = now;
}

auto BatchService::Impl::UpdateAssignment() -> void {
  auto live = hooks_.live_nodes();
  if (live != live_) {
    live_ = std::move(live);
    assignment_ = ShardAssignment(live_);
  }
}

auto BatchService::Impl::IsOwner(const Shard& shard) const -> bool {
  return !draining_ && assignment_.owner(shard.number) == node_;
}

auto BatchService::Impl::UpdateHandover(Shard& shard, MonotonicTime now)
    -> void {
  const auto held = shard.keeper.held();
  if (!held && !IsOwner(shard)) {
    shard.accepted.clear();
    shard.searches.clear();
    shard.index_known = false;
  }
  if (!held || IsOwner(shard)) {
    shard.handover_since.reset();
    return;
  }
  if (!shard.handover_since) {
    shard.handover_since = now;
  }
  if (now - *shard.handover_since >= kHandoverTime) {
    const auto jobs = shard.jobs;
    for (const auto& [id, job] : jobs) {
      CancelItems(*job);
    }
  }
}

auto BatchService::Impl::LeaseIsDue(const Shard& shard) const -> bool {
  const auto standby = assignment_.standby(shard.number) == node_;
  return shard.keeper.held() || (IsOwner(shard) && shard.has_work()) || standby;
}

auto BatchService::Impl::SpawnShardSteps(Shard& shard, MonotonicTime now)
    -> void {
  const auto release = ReadyToRelease(shard);
  if (!shard.lease_busy && LeaseIsDue(shard) &&
      (now >= shard.next_lease || release)) {
    shard.lease_busy = true;
    Spawn([&shard](Impl& self) { return self.LeaseStep(shard); });
  }
  const auto reads_index = IsOwner(shard) || shard.keeper.held();
  if (!shard.index_busy && reads_index && now >= shard.next_index) {
    shard.index_busy = true;
    Spawn([&shard](Impl& self) { return self.IndexStep(shard); });
  }
  // Iterates over a copy: a step may start immediately and remove its job.
  const auto jobs = shard.jobs;
  for (const auto& [id, job] : jobs) {
    SpawnJobStep(shard, job, now);
  }
}

auto BatchService::Impl::SpawnJobStep(Shard& shard,
                                      const JobPtr& job,
                                      MonotonicTime now) -> void {
  // A check must not wait for the calls of the job's step.
  if (!job->checking && !job->dropped && CheckIsDue(*job, now)) {
    job->checking = true;
    Spawn([&shard, job](Impl& self) { return self.CheckStep(shard, job); });
  }
  if (!job->busy && !job->dropped && JobStepIsDue(shard, *job, now)) {
    job->busy = true;
    Spawn([&shard, job](Impl& self) { return self.JobStep(shard, job); });
  }
}

auto BatchService::Impl::IsIdle(const Shard& shard) const -> bool {
  return !shard.has_work() && shard.index_known &&
         Now() - shard.last_work >= kIdleLeaseTime;
}

auto BatchService::Impl::ReadyToRelease(const Shard& shard) const -> bool {
  if (!shard.keeper.held()) {
    return false;
  }
  if (!shard.handover_since) {
    return IsIdle(shard);
  }
  return std::all_of(shard.jobs.begin(), shard.jobs.end(),
                     [](const auto& entry) {
                       const auto& job = *entry.second;
                       return job.in_flight() == 0 && job.held_bytes() == 0 &&
                              !job.busy;
                     }) &&
         shard.ended.empty();
}

auto BatchService::Impl::LeaseStep(Shard& shard) -> awaitable<void> {
  const auto self = shared_from_this();
  try {
    co_await AdvanceLease(shard);
  } catch (const std::exception& error) {
    // On a standby, the lease store refuses every attempt to acquire the lease.
    const auto observes = !shard.keeper.held() && !IsOwner(shard);
    if (observes) {
      shard.next_lease = Now() + LeasePollDelay(shard);
    } else {
      LogError("lease of shard " + std::to_string(shard.number), error);
      shard.next_lease = Now() + kFirstBackoff;
    }
  }
  shard.lease_busy = false;
}

auto BatchService::Impl::AdvanceLease(Shard& shard) -> awaitable<void> {
  auto& keeper = shard.keeper;
  const auto number = std::to_string(shard.number);
  if (ReadyToRelease(shard)) {
    DropShard(shard, "released");
    shard.lease_store.set_writable(true);
    shard.next_lease = Now() + kShardPollInterval;
    co_await keeper.Release();
    co_return;
  }
  if (keeper.held()) {
    shard.lease_store.set_writable(true);
    const auto token = keeper.token();
    const auto renewed = co_await keeper.Renew();
    if (!renewed || keeper.token() != token) {
      DropShard(shard, "lease was taken over");
    }
    shard.next_lease = Now() + keeper.timing().renew_interval;
    co_return;
  }
  shard.lease_store.set_writable(IsOwner(shard) && shard.has_work());
  const auto acquired = co_await keeper.TryAcquire();
  if (acquired && !stopped_) {
    Log("shard " + number + " acquired with token " +
        std::to_string(keeper.token()));
    shard.last_work = Now();
    shard.next_index = Now();
    shard.next_lease = Now() + keeper.timing().renew_interval;
    SpawnShardSteps(shard, Now());
    co_return;
  }
  shard.next_lease = Now() + LeasePollDelay(shard);
}

// An overdue lease is polled more often, so that its expiry is detected early.
auto BatchService::Impl::LeasePollDelay(const Shard& shard) const -> Duration {
  const auto overdue =
      shard.lease_store.unchanged_for() > shard.keeper.timing().term / 2;
  return overdue ? kExpiryPollInterval : kShardPollInterval;
}

auto BatchService::Impl::DropShard(Shard& shard, const std::string& why)
    -> void {
  if (!shard.jobs.empty()) {
    Log("shard " + std::to_string(shard.number) + " dropped: " + why);
  }
  auto jobs = std::exchange(shard.jobs, {});
  for (auto& [id, job] : jobs) {
    shard.accepted.emplace(id, job->manifest());
    DropJob(*job);
  }
  // The next owner finds ended jobs itself.
  shard.ended.clear();
  shard.handover_since.reset();
}

auto BatchService::Impl::DropJob(OwnedJob& job) -> void {
  job.dropped = true;
  CancelItems(job);
}

auto BatchService::Impl::CancelItems(const OwnedJob& job) -> void {
  for (const auto& request : job.InFlight()) {
    runner_.Cancel(request);
  }
}

auto BatchService::Impl::EndJob(Shard& shard,
                                const JobPtr& job,
                                WallMillis ended) -> void {
  const auto id = job->manifest().id;
  Log("job " + id.value() + " is " +
      std::string(JobStatusName(job->stored().state.status)));
  shard.jobs.erase(id);
  shard.accepted.erase(id);
  shard.ended.emplace(id, ended);
  shard.next_index = Now();
  DropJob(*job);
}

auto BatchService::Impl::IndexStep(Shard& shard) -> awaitable<void> {
  const auto self = shared_from_this();
  try {
    shard.next_index = Now() + kShardPollInterval;
    co_await AdvanceIndex(shard);
  } catch (const std::exception& error) {
    LogError("index of shard " + std::to_string(shard.number), error);
    shard.next_index = Now() + kShardPollInterval;
  }
  if (shard.has_work()) {
    shard.last_work = Now();
  }
  shard.index_busy = false;
}

auto BatchService::Impl::AdvanceIndex(Shard& shard) -> awaitable<void> {
  if (shard.ended.empty()) {
    shard.index = co_await jobs_.ReadIndex(IndexKey(shard.number));
  } else {
    co_await MoveEnded(shard);
  }
  if (stopped_) {
    co_return;
  }
  const auto index = shard.index;
  shard.index_known = true;
  std::erase_if(shard.accepted, [&index](const auto& entry) {
    return !index.jobs.contains(entry.first);
  });
  std::erase_if(shard.searches, [&index](const auto& entry) {
    return !index.jobs.contains(entry.first);
  });
  for (const auto& [id, began] : index.jobs) {
    try {
      if (!shard.jobs.contains(id) && !shard.ended.contains(id)) {
        co_await FindManifest(shard, id);
      }
      const auto adopt = shard.accepted.contains(id) && shard.keeper.held() &&
                         !shard.handover_since;
      if (adopt && !stopped_) {
        co_await Adopt(shard, id);
      }
    } catch (const Error& error) {
      if (error.kind() != ErrorKind::kInternal) {
        throw;
      }
      // One unreadable job must not block the others.
      LogError("job " + id.value(), error);
    }
    if (stopped_) {
      co_return;
    }
  }
}

// Adds ended jobs to the finished index before removing them from the shard
// index, so that the sweep still finds them if the node dies in between.
auto BatchService::Impl::MoveEnded(Shard& shard) -> awaitable<void> {
  const auto ended = shard.ended;
  auto enter = JobStore::IndexChange([ended](ShardIndex& index) {
    for (const auto& [id, time] : ended) {
      index.jobs[id] = time;
    }
  });
  co_await jobs_.UpdateIndex(FinishedKey(shard.number), std::move(enter));
  if (stopped_) {
    co_return;
  }
  auto leave = JobStore::IndexChange([ended](ShardIndex& index) {
    for (const auto& [id, time] : ended) {
      index.jobs.erase(id);
    }
  });
  shard.index =
      co_await jobs_.UpdateIndex(IndexKey(shard.number), std::move(leave));
  for (const auto& [id, time] : ended) {
    shard.ended.erase(id);
  }
}

auto BatchService::Impl::FindManifest(Shard& shard, JobId job)
    -> awaitable<void> {
  if (shard.accepted.contains(job)) {
    co_return;
  }
  auto& search = shard.searches[job];
  if (Now() < search.next) {
    co_return;
  }
  search.next = Now() + search.delay;
  search.delay = std::min<Duration>(search.delay * 2, kMaxManifestDelay);
  const auto found = co_await jobs_.ReadManifest(job);
  if (found && !found->manifest.expired && !stopped_) {
    shard.accepted.emplace(job, found->manifest);
    shard.searches.erase(job);
  }
}

auto BatchService::Impl::Adopt(Shard& shard, JobId job) -> awaitable<void> {
  const auto token = shard.keeper.token();
  const auto began = Now();
  auto stored = co_await jobs_.ReadState(job);
  if (!stored || stopped_) {
    co_return;
  }
  auto taken = co_await jobs_.TakeOver(job, std::move(*stored), token);
  const auto still_owner = !stopped_ && shard.keeper.token() == token;
  if (!still_owner || taken.verdict == UpdateVerdict::kFenced) {
    co_return;
  }
  const auto accepted = shard.accepted.find(job);
  if (accepted == shard.accepted.end()) {
    co_return;
  }
  auto manifest = std::move(accepted->second);
  shard.accepted.erase(accepted);
  if (taken.verdict == UpdateVerdict::kEnded) {
    shard.ended.emplace(job, taken.stored.state.ended);
    shard.next_index = Now();
    co_return;
  }
  auto owned = std::make_shared<OwnedJob>(std::move(manifest),
                                          std::move(taken.stored), token);
  owned->last_check = began;
  if (last_pause_ && *last_pause_ >= began) {
    RequireCheck(*owned, Now());
  }
  shard.jobs.emplace(job, std::move(owned));
  const auto known = known_ends_.find(job);
  if (known != known_ends_.end()) {
    const auto end = known->second.end;
    OnEnded(job, end);
  }
  ScheduleLaunch();
}

auto BatchService::Impl::CheckIsDue(const OwnedJob& job,
                                    MonotonicTime now) const -> bool {
  if (now < job.check_retry_at) {
    return false;
  }
  const auto active = job.open_chunks() > 0 || job.wants_chunk;
  return job.must_check ||
         (active && now - job.last_check >= kStateCheckInterval);
}

auto BatchService::Impl::ForceCommit(const Shard& shard,
                                     const OwnedJob& job) const -> bool {
  const auto handover = shard.handover_since && job.in_flight() == 0;
  return handover || memory_pressure_;
}

auto BatchService::Impl::JobStepIsDue(const Shard& shard,
                                      OwnedJob& job,
                                      MonotonicTime now) const -> bool {
  return now >= job.retry_at &&
         (job.wants_chunk || job.CommitIsDue(now, ForceCommit(shard, job)));
}

auto BatchService::Impl::JobStep(Shard& shard, JobPtr job) -> awaitable<void> {
  const auto self = shared_from_this();
  try {
    co_await AdvanceJob(shard, job);
    job->backoff = Duration(0);
  } catch (const std::exception& error) {
    LogError("job " + job->manifest().id.value(), error);
    job->backoff =
        std::clamp<Duration>(job->backoff * 2, kFirstBackoff, kMaxBackoff);
    // Jitter prevents a thundering herd of all jobs after an outage.
    const auto jitter = Duration(hooks_.random() % (job->backoff / 2).count());
    job->retry_at = Now() + job->backoff / 2 + jitter;
  }
  job->busy = false;
  ScheduleLaunch();
}

auto BatchService::Impl::AdvanceJob(Shard& shard, JobPtr job)
    -> awaitable<void> {
  if (job->wants_chunk) {
    co_await OpenChunk(job);
  }
  if (stopped_ || job->dropped) {
    co_return;
  }
  const auto force = ForceCommit(shard, *job);
  if (job->CommitIsDue(Now(), force)) {
    job->FreezeDue(Now(), force);
    co_await Commit(shard, job);
  }
}

auto BatchService::Impl::CheckStep(Shard& shard, JobPtr job)
    -> awaitable<void> {
  const auto self = shared_from_this();
  co_await CheckState(shard, job);
  job->checking = false;
  ScheduleLaunch();
}

auto BatchService::Impl::CheckState(Shard& shard, JobPtr job)
    -> awaitable<void> {
  const auto began = Now();
  auto found = std::optional<StoredState>();
  try {
    found = co_await jobs_.ReadState(job->manifest().id);
  } catch (const std::exception& error) {
    // The platform may serve other nodes, which may cancel or take over the
    // job: a failed read is no check. Jitter prevents a thundering herd.
    LogError("state of job " + job->manifest().id.value(), error);
    const auto jitter =
        Duration(hooks_.random() % Duration(kMaxCheckRetryDelay / 2).count());
    job->check_retry_at = Now() + kMaxCheckRetryDelay / 2 + jitter;
    co_return;
  }
  // A freeze may have delayed the response of an earlier read.
  if (began >= job->check_from) {
    job->must_check = false;
  }
  job->last_check = began;
  if (stopped_ || job->dropped || !found) {
    co_return;
  }
  if (found->state.terminal()) {
    const auto ended = found->state.ended;
    job->set_stored(std::move(*found));
    EndJob(shard, job, ended);
  } else if (found->state.token > job->token()) {
    DropShard(shard, "job " + job->manifest().id.value() + " was taken over");
  }
}

auto BatchService::Impl::OpenChunk(JobPtr job) -> awaitable<void> {
  const auto number = job->NextUnopened();
  if (!number) {
    job->wants_chunk = false;
    co_return;
  }
  const auto id = job->manifest().id;
  auto committed = std::set<std::size_t>();
  const auto& chunks = job->stored().state.chunks;
  const auto found = chunks.find(*number);
  if (found != chunks.end()) {
    const auto parts = found->second;
    for (const auto& part : parts) {
      const auto results = co_await jobs_.ReadPart(id, *number, part);
      for (const auto& result : results) {
        committed.insert(result.line);
      }
    }
  }
  auto inputs = co_await jobs_.ReadInput(id, *number,
                                         job->manifest().chunks[*number].hash);
  job->wants_chunk = false;
  if (!stopped_ && !job->dropped) {
    job->Open(*number, std::move(inputs), committed, Now());
  }
}

auto BatchService::Impl::Commit(Shard& shard, JobPtr job) -> awaitable<void> {
  const auto id = job->manifest().id;
  for (auto* part : job->UnwrittenParts()) {
    co_await jobs_.WritePart(id, part->commit, part->content);
    part->written = true;
    if (stopped_ || job->dropped) {
      co_return;
    }
  }
  auto parts = job->FrozenCommits();
  const auto completed_at =
      job->WouldComplete() ? std::optional(ToWallMillis(hooks_.wall_clock()))
                           : std::nullopt;
  auto base = job->stored();
  auto result = co_await jobs_.Commit(id, std::move(base), job->token(), parts,
                                      job->Attempts(), completed_at);
  if (stopped_ || job->dropped) {
    co_return;
  }
  if (result.verdict == UpdateVerdict::kApplied) {
    job->set_stored(result.stored);
    job->OnCommitted(parts, Now());
  }
  AfterUpdate(shard, job, std::move(result));
}

auto BatchService::Impl::AfterUpdate(Shard& shard,
                                     const JobPtr& job,
                                     UpdateResult result) -> void {
  if (result.stored.state.terminal()) {
    const auto ended = result.stored.state.ended;
    job->set_stored(std::move(result.stored));
    EndJob(shard, job, ended);
  } else if (result.verdict == UpdateVerdict::kFenced) {
    DropShard(shard, "a commit was refused");
  }
}

auto BatchService::Impl::held_bytes() const -> std::size_t {
  auto sum = std::size_t{0};
  for (const auto& shard : shards_) {
    for (const auto& [id, job] : shard->jobs) {
      sum += job->held_bytes();
    }
  }
  return sum;
}

auto BatchService::Impl::ScheduleLaunch() -> void {
  if (launch_scheduled_ || stopped_) {
    return;
  }
  launch_scheduled_ = true;
  boost::asio::post(executor_, [self = shared_from_this()] {
    self->launch_scheduled_ = false;
    self->Launch();
  });
}

auto BatchService::Impl::ExpectedParallelism(const ServiceName& service) const
    -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& shard : shards_) {
    count += shard->jobs.size();
  }
  const auto slots =
      std::min(kMaxItemsInFlight, runner_.free_slots(service) + in_flight_);
  return std::max<std::size_t>(1, slots / std::max<std::size_t>(1, count));
}

auto BatchService::Impl::Launch() -> void {
  const auto now = Now();
  // After a pause, wait for the next tick; see DetectPause.
  const auto paused = !last_tick_ || now - *last_tick_ > kPauseThreshold;
  if (stopped_ || paused || held_bytes() >= kMaxHeldResultBytes) {
    return;
  }
  auto open_chunks = std::size_t{0};
  auto open_bytes = std::size_t{0};
  auto work = std::vector<JobWork>();
  auto by_id = std::map<JobId, std::pair<Shard*, JobPtr>>();
  auto opening = std::vector<std::pair<Shard*, JobPtr>>();
  auto free_slots = std::map<ServiceName, std::size_t>();
  auto active = std::vector<OrganisationName>();
  const auto isolated = hooks_.isolated && hooks_.isolated();
  for (const auto& shard : shards_) {
    for (const auto& [id, job] : shard->jobs) {
      // Without the platform and other nodes, a cancellation cannot be learned.
      if (isolated && !job->must_check &&
          now - job->last_check > kIsolatedLimit) {
        RequireCheck(*job, now);
      }
      open_chunks += job->open_chunks() + (job->wants_chunk ? 1 : 0);
      open_bytes += job->input_bytes();
      active.push_back(job->manifest().organisation);
      if (shard->handover_since || job->must_check) {
        continue;
      }
      const auto& service = job->manifest().service;
      if (!free_slots.contains(service)) {
        free_slots[service] = runner_.free_slots(service);
      }
      work.push_back(job->Work(ExpectedParallelism(service)));
      by_id.emplace(id, std::pair(shard.get(), job));
    }
  }
  scheduler_.SetActive(active);
  const auto wall_now = hooks_.wall_clock();
  while (in_flight_ < kMaxItemsInFlight) {
    const auto picked = scheduler_.Pick(work, wall_now);
    if (!picked) {
      break;
    }
    const auto& [shard, job] = by_id.at(*picked);
    auto& slots = free_slots[job->manifest().service];
    if (slots > 0 && job->HasReady(now)) {
      --slots;
      StartItem(job, now);
      continue;
    }
    const auto may_open = slots > 0 && !job->wants_chunk &&
                          open_chunks < kMaxOpenChunks &&
                          open_bytes < kMaxOpenInputBytes;
    const auto next = may_open ? job->NextUnopened() : std::nullopt;
    if (next) {
      job->wants_chunk = true;
      opening.emplace_back(shard, job);
      ++open_chunks;
      // Reserves the slots that the chunk will fill.
      slots -= std::min(slots, job->manifest().chunks[*next].items);
    }
    std::erase_if(
        work, [&picked](const JobWork& other) { return other.id == *picked; });
  }
  for (const auto& [shard, job] : opening) {
    SpawnJobStep(*shard, job, now);
  }
}

auto BatchService::Impl::RequestFor(const OwnedJob& job,
                                    const detail::OwnedItem& item,
                                    milliseconds slack) const
    -> routing::CompletionRequest {
  const auto& manifest = job.manifest();
  const auto left =
      milliseconds(manifest.due - ToWallMillis(hooks_.wall_clock()));
  auto request = routing::CompletionRequest();
  request.id = item.request;
  request.organisation = manifest.organisation;
  request.service = manifest.service;
  request.work_class = routing::WorkClass::kBatch;
  request.endpoint = manifest.endpoint;
  request.body = item.input.body;
  request.affinity = AffinityOf(item.input.body);
  request.max_tokens = MaxTokensOf(item.input.body);
  request.time_left = std::max<milliseconds>(left, kMinTimeLeft);
  request.slack = slack;
  request.exclusive = item.retry.exclusive();
  request.resume_offset = item.retry.resume_offset();
  request.resume_text = item.retry.resume_text();
  return request;
}

auto BatchService::Impl::StartItem(const JobPtr& job, MonotonicTime now)
    -> void {
  const auto& manifest = job->manifest();
  const auto slack =
      EstimateJob(job->Work(ExpectedParallelism(manifest.service)),
                  hooks_.wall_clock())
          .slack;
  const auto id = RequestId(
      manifest.id.value() + "." + std::to_string(job->NextReadyLine()) + "." +
      std::to_string(job->token()) + "." + std::to_string(hooks_.random()));
  const auto ref = job->Start(id, now);
  auto request = RequestFor(*job, job->item(ref), slack);
  scheduler_.OnItemStarted(manifest.organisation);
  ++in_flight_;
  Spawn([job, ref, request = std::move(request)](Impl& self) {
    return self.RunItem(job, ref, request);
  });
}

auto BatchService::Impl::RunItem(JobPtr job,
                                 ItemRef ref,
                                 routing::CompletionRequest request)
    -> awaitable<void> {
  const auto self = shared_from_this();
  if (job->dropped) {
    --in_flight_;
    co_return;
  }
  const auto avoid = job->item(ref).retry.avoid();
  auto result = AttemptResult();
  try {
    result = co_await runner_.Run(std::move(request), avoid);
  } catch (const std::exception& error) {
    result.dispatch.kind = routing::DispatchResult::Kind::kLost;
    result.dispatch.outcome.reason = error.what();
  }
  --in_flight_;
  if (stopped_ || job->dropped) {
    co_return;
  }
  const auto decision = job->OnAttemptEnded(ref, result, Now());
  RecordAttempt(*job, job->item(ref), result, decision);
  ScheduleLaunch();
}

auto BatchService::Impl::RecordAttempt(const OwnedJob& job,
                                       const detail::OwnedItem& item,
                                       const AttemptResult& result,
                                       const RetryDecision& decision) -> void {
  attempts_.push_back({.job = job.manifest().id,
                       .custom_id = item.input.custom_id,
                       .attempt = item.runs,
                       .node = node_,
                       .replica = result.replica,
                       .token = job.token(),
                       .outcome = DescribeOutcome(result),
                       .decision = DescribeDecision(decision)});
  if (attempts_.size() > kAttemptLogSize) {
    attempts_.pop_front();
  }
}

auto BatchService::Impl::SweepStep() -> awaitable<void> {
  const auto self = shared_from_this();
  for (auto& shard : shards_) {
    try {
      if (IsOwner(*shard) && shard->index_known) {
        co_await SweepShard(*shard);
      }
    } catch (const std::exception& error) {
      LogError("sweep of shard " + std::to_string(shard->number), error);
    }
    if (stopped_) {
      co_return;
    }
  }
  sweep_busy_ = false;
}

auto BatchService::Impl::SweepShard(Shard& shard) -> awaitable<void> {
  const auto now = ToWallMillis(hooks_.wall_clock());
  auto uploads = shard.index;
  std::erase_if(uploads.jobs, [&](const auto& entry) {
    const auto& [id, began] = entry;
    return shard.jobs.contains(id) || shard.accepted.contains(id) ||
           milliseconds(now - began) < kUploadRetention;
  });
  co_await SweepJobs(IndexKey(shard.number), std::move(uploads), now);
  if (stopped_) {
    co_return;
  }
  auto finished = co_await jobs_.ReadIndex(FinishedKey(shard.number));
  std::erase_if(finished.jobs, [now](const auto& entry) {
    return milliseconds(now - entry.second) < kResultRetention;
  });
  co_await SweepJobs(FinishedKey(shard.number), std::move(finished), now);
}

auto BatchService::Impl::SweepJobs(std::string key,
                                   ShardIndex old,
                                   WallMillis now) -> awaitable<void> {
  for (const auto& [id, time] : old.jobs) {
    if (stopped_) {
      co_return;
    }
    const auto gone = co_await jobs_.Sweep(id, time, now);
    if (stopped_ || !gone) {
      continue;
    }
    auto change = JobStore::IndexChange(
        [swept = id, listed_at = time](ShardIndex& index) {
          // Keeps a newer entry, which belongs to a new submission of this key.
          const auto found = index.jobs.find(swept);
          if (found != index.jobs.end() && found->second <= listed_at) {
            index.jobs.erase(found);
          }
        });
    co_await jobs_.UpdateIndex(key, std::move(change));
  }
}

auto BatchService::Impl::Notify(const JobId& job) -> void {
  SendNotice(assignment_.owner(ShardOfJob(job)),
             {.kind = JobNotice::Kind::kChanged,
              .job = job,
              .sender = node_,
              .end = {}});
}

auto BatchService::Impl::SendNotice(const NodeId& node, const JobNotice& notice)
    -> void {
  if (node == node_) {
    OnJobNotice(notice);
  } else if (!node.empty() && hooks_.send_job_notice) {
    hooks_.send_job_notice(node, notice);
  }
}

// An owner that the platform turns away learns the end only from the notice,
// which may be lost. Once an owner is gone, its successor gets the notice.
auto BatchService::Impl::RepeatEndNotices(MonotonicTime now) -> void {
  const auto expired = [now](const auto& entry) {
    return now >= entry.second.expires;
  };
  std::erase_if(end_notices_, expired);
  std::erase_if(known_ends_, expired);
  auto due = std::vector<JobId>();
  for (const auto& [job, notice] : end_notices_) {
    if (now >= notice.next) {
      due.push_back(job);
    }
  }
  for (const auto& job : due) {
    SendEndNotice(job);
  }
}

auto BatchService::Impl::SendEndNotice(const JobId& job) -> void {
  auto& notice = end_notices_.at(job);
  notice.target = assignment_.owner(ShardOfJob(job));
  notice.next = Now() + notice.delay;
  notice.delay = std::min<Duration>(notice.delay * 2, kMaxNoticeDelay);
  // The confirmation may arrive at once and remove the entry.
  const auto target = notice.target;
  const auto end = notice.end;
  SendNotice(target, {.kind = JobNotice::Kind::kEnded,
                      .job = job,
                      .sender = node_,
                      .end = end});
}

auto BatchService::Impl::OnJobNotice(const JobNotice& notice) -> void {
  switch (notice.kind) {
    case JobNotice::Kind::kChanged:
      OnChanged(notice.job);
      break;
    case JobNotice::Kind::kEnded:
      if (notice.end) {
        OnEnded(notice.job, *notice.end);
        SendNotice(notice.sender, {.kind = JobNotice::Kind::kEndConfirmed,
                                   .job = notice.job,
                                   .sender = node_,
                                   .end = {}});
      }
      break;
    case JobNotice::Kind::kEndConfirmed: {
      const auto found = end_notices_.find(notice.job);
      if (found != end_notices_.end() &&
          found->second.target == notice.sender) {
        end_notices_.erase(found);
      }
      break;
    }
  }
}

auto BatchService::Impl::OnChanged(const JobId& job) -> void {
  auto& shard = *shards_.at(ShardOfJob(job));
  const auto owned = shard.jobs.find(job);
  if (owned != shard.jobs.end()) {
    owned->second->last_check = Now() - kStateCheckInterval;
    owned->second->check_retry_at = Now();
    return;
  }
  shard.searches.erase(job);
  shard.next_index = Now();
  shard.next_lease = std::min(shard.next_lease, Now());
}

auto BatchService::Impl::OnEnded(const JobId& job, const JobEnd& end) -> void {
  const auto known = known_ends_.find(job);
  if (known == known_ends_.end() ? known_ends_.size() < kMaxJobEnds
                                 : known->second.end.version <= end.version) {
    known_ends_[job] = {.end = end, .expires = Now() + kNoticeLifetime};
  }
  auto& shard = *shards_.at(ShardOfJob(job));
  const auto found = shard.jobs.find(job);
  if (found == shard.jobs.end()) {
    return;
  }
  const auto owned = found->second;
  if (end.version <= owned->stored().version) {
    // The notice is of an earlier submission under the same key.
    RequireCheck(*owned, Now());
    return;
  }
  auto stored = owned->stored();
  stored.state.status = end.status;
  stored.state.ended = end.ended;
  stored.version = end.version;
  owned->set_stored(std::move(stored));
  EndJob(shard, owned, end.ended);
}

auto BatchService::Impl::Cancel(JobId job) -> awaitable<JobState> {
  const auto self = shared_from_this();
  auto result = co_await jobs_.Cancel(job, ToWallMillis(hooks_.wall_clock()));
  const auto& state = result.stored.state;
  if (end_notices_.size() >= kMaxJobEnds) {
    end_notices_.erase(end_notices_.begin());
  }
  end_notices_[job] = {.end = {.status = state.status,
                               .ended = state.ended,
                               .version = result.stored.version},
                       .target = {},
                       .expires = Now() + kNoticeLifetime,
                       .next = Now()};
  SendEndNotice(job);
  co_return std::move(result.stored.state);
}

auto BatchService::Impl::FindOwned(const JobId& job) const -> JobPtr {
  const auto& owned = shards_.at(ShardOfJob(job))->jobs;
  const auto found = owned.find(job);
  return found == owned.end() ? nullptr : found->second;
}

auto BatchService::Impl::View(const JobManifest& manifest,
                              const JobState& state) const -> JobView {
  const auto results = state.results();
  const auto failed = state.failed();
  auto view = JobView{.id = manifest.id,
                      .organisation = manifest.organisation,
                      .client_key = manifest.client_key,
                      .service = manifest.service,
                      .status = state.status,
                      .items = manifest.items,
                      .completed = results - failed,
                      .failed = failed,
                      .in_flight = 0,
                      .waiting_for_commit = 0,
                      .rejected = manifest.rejected_count,
                      .rejected_lines = manifest.rejected,
                      .due = manifest.due,
                      .ended = state.ended,
                      .estimate = {}};
  auto work =
      JobWork{.id = manifest.id,
              .organisation = manifest.organisation,
              .due = WallTime(milliseconds(manifest.due)),
              .remaining = manifest.items - std::min(results, manifest.items)};
  work.parallel = ExpectedParallelism(manifest.service);
  if (const auto owned = FindOwned(manifest.id)) {
    view.in_flight = owned->in_flight();
    view.waiting_for_commit = owned->waiting_results();
    work = owned->Work(ExpectedParallelism(manifest.service));
  }
  if (!state.terminal()) {
    view.estimate = EstimateJob(work, hooks_.wall_clock());
  }
  return view;
}

auto BatchService::Impl::Status(JobId job) -> awaitable<JobView> {
  const auto self = shared_from_this();
  const auto manifest = co_await jobs_.ReadManifest(job);
  const auto state = co_await jobs_.ReadState(job);
  if (!manifest || manifest->manifest.expired || !state) {
    throw Error(ErrorKind::kNotFound, "no such batch job", job.value(),
                "check the id; results are kept for 7 days");
  }
  co_return View(manifest->manifest, state->state);
}

auto BatchService::Impl::EstimateNew(const JobManifest& manifest) const
    -> JobEstimate {
  return View(manifest, JobState()).estimate;
}

auto BatchService::Impl::drained() const -> bool {
  return std::none_of(shards_.begin(), shards_.end(),
                      [](const auto& shard) { return shard->keeper.held(); });
}

auto BatchService::Impl::jobs() const -> std::vector<JobView> {
  auto views = std::vector<JobView>();
  for (const auto& shard : shards_) {
    for (const auto& [id, job] : shard->jobs) {
      views.push_back(View(job->manifest(), job->stored().state));
    }
  }
  return views;
}

auto BatchService::Impl::shards() const -> std::vector<ShardView> {
  auto views = std::vector<ShardView>();
  for (const auto& shard : shards_) {
    const auto& lease_owner = shard->keeper.last_owner();
    if (!shard->keeper.held() && !IsOwner(*shard)) {
      continue;
    }
    views.push_back({.shard = shard->number,
                     .owner = assignment_.owner(shard->number),
                     .lease_owner = lease_owner ? *lease_owner : NodeId(),
                     .held = shard->keeper.held(),
                     .token = shard->keeper.token(),
                     .jobs = shard->jobs.size(),
                     .handing_over = shard->handover_since.has_value()});
  }
  return views;
}

auto BatchService::Impl::ExplainItem(const JobId& job,
                                     const std::string& custom_id) const
    -> std::vector<AttemptView> {
  auto found = std::vector<AttemptView>();
  std::copy_if(attempts_.begin(), attempts_.end(), std::back_inserter(found),
               [&](const AttemptView& attempt) {
                 return attempt.job == job && attempt.custom_id == custom_id;
               });
  return found;
}

BatchService::BatchService(store::ObjectStore& store,
                           ItemRunner& runner,
                           NodeId node,
                           Incarnation incarnation,
                           BatchServiceHooks hooks)
    : impl_(std::make_shared<Impl>(store,
                                   runner,
                                   std::move(node),
                                   incarnation,
                                   std::move(hooks))) {}

BatchService::~BatchService() {
  impl_->Stop();
}

auto BatchService::Tick() -> awaitable<void> {
  impl_->Tick(co_await boost::asio::this_coro::executor);
}

auto BatchService::Submit(SubmissionRequest request)
    -> std::unique_ptr<Submission> {
  return std::make_unique<Submission>(
      impl_->object_store(), std::move(request), impl_->hooks().wall_clock,
      impl_->hooks().random,
      [impl = impl_](const JobId& job) { impl->Notify(job); });
}

auto BatchService::Cancel(JobId job) -> awaitable<JobState> {
  return impl_->Cancel(std::move(job));
}

auto BatchService::Status(JobId job) -> awaitable<JobView> {
  return impl_->Status(std::move(job));
}

auto BatchService::EstimateNew(const JobManifest& manifest) const
    -> JobEstimate {
  return impl_->EstimateNew(manifest);
}

auto BatchService::store() -> JobStore& {
  return impl_->store();
}

auto BatchService::OnJobNotice(const JobNotice& notice) -> void {
  impl_->OnJobNotice(notice);
}

auto BatchService::BeginDrain() -> void {
  impl_->BeginDrain();
}

auto BatchService::drained() const -> bool {
  return impl_->drained();
}

auto BatchService::jobs() const -> std::vector<JobView> {
  return impl_->jobs();
}

auto BatchService::shards() const -> std::vector<ShardView> {
  return impl_->shards();
}

auto BatchService::ExplainItem(const JobId& job,
                               const std::string& custom_id) const
    -> std::vector<AttemptView> {
  return impl_->ExplainItem(job, custom_id);
}

auto BatchService::items_in_flight() const -> std::size_t {
  return impl_->items_in_flight();
}

auto BatchService::held_result_bytes() const -> std::size_t {
  return impl_->held_bytes();
}

}  // namespace kumquatgauge::batch
