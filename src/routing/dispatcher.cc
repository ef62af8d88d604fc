#include "kumquatgauge/routing/dispatcher.h"

#include <algorithm>
#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::routing {
namespace {

// Time until the slot of a preempted item is free.
constexpr auto kPreemptTime = std::chrono::milliseconds(100);
// Weight of a new sample in the average service time.
constexpr double kSampleWeight = 0.1;

auto LimitSettings(ConcurrencyLimitSettings settings, std::uint32_t capacity)
    -> ConcurrencyLimitSettings {
  settings.max = std::max(capacity, settings.min);
  settings.initial = settings.max;
  return settings;
}

}  // namespace

auto DispatchItemOf(const CompletionRequest& request) -> DispatchItem {
  return {.id = request.id,
          .organisation = request.organisation,
          .work_class = request.work_class,
          .max_tokens = request.max_tokens,
          .time_left = request.time_left,
          .slack = request.slack,
          .exclusive = request.exclusive,
          .resume_offset = request.resume_offset};
}

Dispatcher::Dispatcher(Replica replica,
                       DispatcherSettings settings,
                       Clock clock,
                       OrganisationWeight weight)
    : replica_(std::move(replica)),
      settings_(settings),
      clock_(std::move(clock)),
      weight_(std::move(weight)),
      limit_(LimitSettings(settings.limit, replica_.capacity), clock_),
      batch_admission_(settings.batch, clock_) {}

auto Dispatcher::Arrive(const DispatchItem& item) -> Actions {
  if (running_.contains(item.id) || waiting_.contains(item.id)) {
    throw Error(ErrorKind::kConflict, "request is already at this dispatcher",
                item.id.value(), "cancel the earlier stream first");
  }
  Actions actions;
  if (replica_.leaving) {
    Refuse(item.id, DispatchAction::Kind::kRefuse, "the replica is leaving",
           actions);
    return actions;
  }
  if (item.time_left <= std::chrono::milliseconds(0)) {
    Refuse(item.id, DispatchAction::Kind::kExpire, "the deadline has passed",
           actions);
    return actions;
  }
  auto now = clock_();
  auto bound = item.work_class == WorkClass::kOnline ? settings_.online_queue
                                                     : settings_.batch_queue;
  Waiting waiting = {.item = item,
                     .deadline = now + item.time_left,
                     .until = now + std::min<Duration>(bound, item.time_left)};
  waiting_.emplace(item.id, waiting);
  if (item.work_class == WorkClass::kOnline) {
    auto weight = weight_ ? weight_(item.organisation) : 1.0;
    online_queue_.Push({item.id, item.organisation, waiting.until},
                       std::max(item.max_tokens, 1U), weight);
    UpdateBatchAdmission();
    Advance(actions, &item.id);
  } else {
    QueueBatch(item);
    Advance(actions, nullptr);
    ShedBatch(actions);
  }
  return actions;
}

auto Dispatcher::Started(const RequestId& id) -> void {
  auto it = running_.find(id);
  if (it != running_.end()) {
    it->second.started = clock_();
    it->second.last_progress = it->second.started;
  }
}

auto Dispatcher::FirstToken(const RequestId& id) -> Actions {
  auto it = running_.find(id);
  if (it != running_.end() && !it->second.first_token) {
    auto& running = it->second;
    auto now = clock_();
    running.first_token = true;
    running.last_progress = now;
    ++running.offset;
    if (running.item.work_class == WorkClass::kOnline) {
      limit_.OnFirstToken(now - running.started);
      batch_admission_.OnFirstToken(now - running.started);
    }
  }
  return Advance();
}

auto Dispatcher::TokenProgress(const RequestId& id, std::uint64_t offset)
    -> Actions {
  auto it = running_.find(id);
  if (it != running_.end() && offset > it->second.offset) {
    auto& running = it->second;
    auto now = clock_();
    if (running.first_token && running.item.work_class == WorkClass::kOnline) {
      auto tokens = static_cast<Duration::rep>(offset - running.offset);
      auto gap = (now - running.last_progress) / tokens;
      limit_.OnInterToken(gap);
      batch_admission_.OnInterToken(gap);
    }
    running.first_token = true;
    running.offset = offset;
    running.last_progress = now;
  }
  return Advance();
}

auto Dispatcher::Finished(const RequestId& id, UpstreamEnd end) -> Actions {
  auto it = running_.find(id);
  if (it != running_.end()) {
    RecordEnd(it->second, end);
    running_.erase(it);
    UpdateBatchAdmission();
  }
  return Advance();
}

auto Dispatcher::Cancelled(const RequestId& id) -> Actions {
  auto it = running_.find(id);
  if (it != running_.end()) {
    MarkStopping(it->second);
  } else {
    RemoveWaiting(id);
    UpdateBatchAdmission();
  }
  return Advance();
}

auto Dispatcher::LoadReport(const ObservedLoad& load) -> Actions {
  limit_.set_max(std::max(load.capacity, 1U));
  kv_used_ = load.kv_used;
  // The report lags: it may still include requests of this dispatcher that
  // ended since the previous report.
  auto own = std::max(peak_running_, last_peak_running_);
  auto reported = load.running + load.waiting;
  external_in_flight_ = reported - std::min(reported, own);
  last_peak_running_ = peak_running_;
  peak_running_ = static_cast<std::uint32_t>(running_.size());
  Actions actions;
  if (kv_used_ > settings_.max_kv_used && stopping_ == 0) {
    PreemptBatch(1, actions);
  }
  Advance(actions, nullptr);
  return actions;
}

auto Dispatcher::Tick() -> Actions {
  UpdateBatchAdmission();
  return Advance();
}

auto Dispatcher::SetReplica(const Replica& replica) -> Actions {
  Actions actions;
  if (replica.capacity != replica_.capacity) {
    limit_.set_max(std::max(replica.capacity, 1U));
  }
  replica_ = replica;
  if (replica_.leaving) {
    RefuseAllWaiting("the replica is leaving", actions);
  }
  Advance(actions, nullptr);
  return actions;
}

auto Dispatcher::SetBatchSettings(const BatchAdmissionSettings& settings)
    -> Actions {
  batch_admission_.SetSettings(settings);
  return Advance();
}

auto Dispatcher::load() const -> ReplicaLoad {
  return {.replica = replica_.id,
          .online_in_flight = online_running_ + external_in_flight_,
          .batch_in_flight = batch_running_,
          .queued = static_cast<std::uint32_t>(online_queue_.size()),
          .limit = limit_.limit(),
          .free_batch_slots = FreeBatchSlots()};
}

auto Dispatcher::RecordEnd(const Running& running, UpstreamEnd end) -> void {
  if (end == UpstreamEnd::kRefused) {
    limit_.OnRefusal();
  }
  if (running.item.work_class == WorkClass::kOnline) {
    --online_running_;
    if (end == UpstreamEnd::kCompleted) {
      RecordServiceTime(clock_() - running.started);
    }
  } else {
    --batch_running_;
    exclusive_running_ -= running.item.exclusive ? 1 : 0;
  }
  if (running.stopping) {
    --stopping_;
    stopping_tokens_ -= running.item.max_tokens;
    batch_stopping_ -= running.item.work_class == WorkClass::kBatch ? 1 : 0;
  }
  reserved_tokens_ -= running.item.max_tokens;
}

auto Dispatcher::RecordServiceTime(Duration taken) -> void {
  auto seconds = std::chrono::duration<double>(taken).count();
  service_time_s_ =
      service_time_s_ == 0.0
          ? seconds
          : service_time_s_ + kSampleWeight * (seconds - service_time_s_);
}

auto Dispatcher::QueueBatch(const DispatchItem& item) -> void {
  auto it =
      std::upper_bound(batch_queue_.begin(), batch_queue_.end(), item.slack,
                       [this](auto slack, const RequestId& other) {
                         return slack < waiting_.at(other).item.slack;
                       });
  batch_queue_.insert(it, item.id);
}

auto Dispatcher::ShedBatch(Actions& actions) -> void {
  while (batch_queue_.size() > settings_.max_batch_waiting) {
    RefuseOne(batch_queue_.back(), DispatchAction::Kind::kRefuse,
              "no free slot for batch", actions);
  }
}

auto Dispatcher::Advance() -> Actions {
  Actions actions;
  Advance(actions, nullptr);
  return actions;
}

auto Dispatcher::Advance(Actions& actions, const RequestId* arrived) -> void {
  EndWaits(actions);
  if (!replica_.leaving) {
    StartOnline(actions);
    PreemptForOnline(actions);
    PreemptExcess(actions);
    ShedOnline(arrived, actions);
    StartBatch(actions);
  }
  limit_.OnRunning(static_cast<std::uint32_t>(running_.size()));
}

auto Dispatcher::EndWaits(Actions& actions) -> void {
  auto now = clock_();
  std::vector<RequestId> ended;
  for (const auto& [id, waiting] : waiting_) {
    if (waiting.until <= now) {
      ended.push_back(id);
    }
  }
  // The actions must not depend on the order of the hash table.
  std::sort(ended.begin(), ended.end());
  for (const auto& id : ended) {
    auto expired = waiting_.at(id).deadline <= now;
    RefuseOne(
        id,
        expired ? DispatchAction::Kind::kExpire : DispatchAction::Kind::kRefuse,
        expired ? "the deadline passed while waiting" : "queue is full",
        actions);
  }
}

auto Dispatcher::ShedOnline(const RequestId* arrived, Actions& actions)
    -> void {
  auto now = clock_();
  std::size_t position = 0;
  for (const auto& entry : online_queue_.InOrder()) {
    auto starts_in_time = now + EstimatedWait(position) <= entry.until &&
                          position < settings_.max_online_waiting;
    // The request at the head of the queue gets the next slot; refusing it
    // because of an uncertain estimate would waste the time it has waited.
    auto at_head =
        position == 0 && (arrived == nullptr || entry.id != *arrived);
    if (starts_in_time || at_head) {
      ++position;
      continue;
    }
    RefuseOne(entry.id, DispatchAction::Kind::kRefuse,
              "no slot would be free in time", actions);
  }
}

auto Dispatcher::StartOnline(Actions& actions) -> void {
  while (const auto* front = online_queue_.Front()) {
    auto item = waiting_.at(front->id).item;
    if (FreeSlots() == 0 || !HasTokenCapacity(item.max_tokens)) {
      return;
    }
    online_queue_.Pop();
    waiting_.erase(item.id);
    Start(item, actions);
  }
}

auto Dispatcher::StartBatch(Actions& actions) -> void {
  while (!batch_queue_.empty()) {
    auto item = waiting_.at(batch_queue_.front()).item;
    if (item.exclusive && batch_running_ > 0 && exclusive_running_ == 0 &&
        online_queue_.empty() && BatchAdmissionLimit() > 0) {
      // Otherwise other batch items would occupy the replica for as long as
      // there is batch work.
      PreemptBatch(batch_running_, actions);
    }
    if (!MayStartBatch(item)) {
      return;
    }
    batch_queue_.erase(batch_queue_.begin());
    waiting_.erase(item.id);
    Start(item, actions);
  }
}

auto Dispatcher::PreemptForOnline(Actions& actions) -> void {
  const auto* front = online_queue_.Front();
  if (front == nullptr) {
    return;
  }
  auto waiting = static_cast<std::uint32_t>(online_queue_.size());
  auto expected_slots = FreeSlots() + stopping_;
  if (waiting > expected_slots) {
    PreemptBatch(waiting - expected_slots, actions);
  }
  auto tokens = waiting_.at(front->id).item.max_tokens;
  while (
      !limit_.HasTokenCapacity(reserved_tokens_ - stopping_tokens_, tokens) &&
      PreemptBatch(1, actions)) {
  }
}

auto Dispatcher::PreemptExcess(Actions& actions) -> void {
  auto staying = batch_running_ - std::min(batch_running_, batch_stopping_);
  auto allowed = batch_admission_.PreemptionLimit(limit_.limit(), OnlineLoad());
  if (OnlineLoad() > 0 && staying > allowed) {
    PreemptBatch(staying - allowed, actions);
  }
}

auto Dispatcher::PreemptBatch(std::uint32_t count, Actions& actions) -> bool {
  std::vector<Running*> victims;
  for (auto& [id, running] : running_) {
    if (running.item.work_class == WorkClass::kBatch && !running.stopping) {
      victims.push_back(&running);
    }
  }
  // Most slack first.
  std::sort(victims.begin(), victims.end(),
            [](const Running* left, const Running* right) {
              return std::pair(right->item.slack, right->item.id) <
                     std::pair(left->item.slack, left->item.id);
            });
  victims.resize(std::min<std::size_t>(count, victims.size()));
  for (auto* victim : victims) {
    MarkStopping(*victim);
    Outcome outcome;
    outcome.kind = OutcomeKind::kCancelled;
    outcome.reason = "preempted";
    outcome.tokens = victim->offset;
    actions.push_back(
        {DispatchAction::Kind::kPreempt, victim->item.id, std::move(outcome)});
  }
  return !victims.empty();
}

auto Dispatcher::Start(const DispatchItem& item, Actions& actions) -> void {
  auto now = clock_();
  running_.emplace(item.id, Running{.item = item,
                                    .started = now,
                                    .last_progress = now,
                                    .offset = item.resume_offset});
  if (item.work_class == WorkClass::kOnline) {
    ++online_running_;
  } else {
    ++batch_running_;
    exclusive_running_ += item.exclusive ? 1 : 0;
  }
  reserved_tokens_ += item.max_tokens;
  peak_running_ =
      std::max(peak_running_, static_cast<std::uint32_t>(running_.size()));
  UpdateBatchAdmission();
  actions.push_back({DispatchAction::Kind::kStart, item.id, {}});
}

auto Dispatcher::MarkStopping(Running& running) -> void {
  if (!running.stopping) {
    running.stopping = true;
    ++stopping_;
    stopping_tokens_ += running.item.max_tokens;
    batch_stopping_ += running.item.work_class == WorkClass::kBatch ? 1 : 0;
  }
}

auto Dispatcher::RemoveWaiting(const RequestId& id) -> void {
  online_queue_.Remove(id);
  std::erase(batch_queue_, id);
  waiting_.erase(id);
}

auto Dispatcher::Refuse(RequestId id,
                        DispatchAction::Kind kind,
                        std::string reason,
                        Actions& actions) const -> void {
  Outcome outcome;
  outcome.kind = OutcomeKind::kNotRun;
  outcome.reason = std::move(reason);
  outcome.retry_after = RetryAfter();
  actions.push_back({kind, std::move(id), std::move(outcome)});
}

auto Dispatcher::RefuseOne(RequestId id,
                           DispatchAction::Kind kind,
                           std::string reason,
                           Actions& actions) -> void {
  RemoveWaiting(id);
  Refuse(std::move(id), kind, std::move(reason), actions);
}

auto Dispatcher::RefuseAllWaiting(const std::string& reason, Actions& actions)
    -> void {
  for (const auto& entry : online_queue_.InOrder()) {
    RefuseOne(entry.id, DispatchAction::Kind::kRefuse, reason, actions);
  }
  while (!batch_queue_.empty()) {
    RefuseOne(batch_queue_.front(), DispatchAction::Kind::kRefuse, reason,
              actions);
  }
}

auto Dispatcher::EstimatedWait(std::size_t position) const -> Duration {
  if (position < stopping_) {
    return kPreemptTime;
  }
  auto requests_ahead = static_cast<double>(position - stopping_ + 1);
  auto slots = std::max(1U, online_running_);
  auto seconds = requests_ahead * service_time_s_ / slots;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

auto Dispatcher::RetryAfter() const -> std::chrono::milliseconds {
  auto wait = std::chrono::ceil<std::chrono::milliseconds>(
      EstimatedWait(online_queue_.size()));
  return std::clamp(wait, settings_.min_retry_after, settings_.max_retry_after);
}

auto Dispatcher::HasTokenCapacity(std::uint32_t max_tokens) const -> bool {
  return limit_.HasTokenCapacity(reserved_tokens_, max_tokens);
}

auto Dispatcher::FreeSlots() const -> std::uint32_t {
  auto used = static_cast<std::uint32_t>(running_.size()) + external_in_flight_;
  auto limit = limit_.limit();
  return limit - std::min(limit, used);
}

auto Dispatcher::OnlineLoad() const -> std::uint32_t {
  return online_running_ + external_in_flight_ +
         static_cast<std::uint32_t>(online_queue_.size());
}

auto Dispatcher::BatchAdmissionLimit() const -> std::uint32_t {
  return batch_admission_.AdmissionLimit(limit_.limit(), OnlineLoad());
}

auto Dispatcher::FreeBatchSlots() const -> std::uint32_t {
  if (replica_.leaving || !online_queue_.empty() || exclusive_running_ > 0 ||
      kv_used_ > settings_.batch_kv_used || !HasTokenCapacity(0)) {
    return 0;
  }
  auto allowed = BatchAdmissionLimit();
  auto slots =
      std::min(FreeSlots(), allowed - std::min(allowed, batch_running_));
  return slots - std::min<std::uint32_t>(
                     slots, static_cast<std::uint32_t>(batch_queue_.size()));
}

auto Dispatcher::MayStartBatch(const DispatchItem& item) const -> bool {
  return online_queue_.empty() && kv_used_ <= settings_.batch_kv_used &&
         FreeSlots() > 0 && HasTokenCapacity(item.max_tokens) &&
         batch_running_ < BatchAdmissionLimit() && exclusive_running_ == 0 &&
         (!item.exclusive || batch_running_ == 0);
}

auto Dispatcher::UpdateBatchAdmission() -> void {
  batch_admission_.OnOnlineRequests(
      online_running_ + static_cast<std::uint32_t>(online_queue_.size()));
}

}  // namespace kumquatgauge::routing
