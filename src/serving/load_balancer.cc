#include "kumquatgauge/serving/load_balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

#include "kumquatgauge/base/seconds.h"
#include "kumquatgauge/routing/rendezvous.h"

namespace kumquatgauge::serving {
namespace {

using routing::Replica;
using routing::WorkClass;

// How long a replica that refused a request as full is penalised; about the
// time until one of several running requests ends.
constexpr auto kFullBackoff = std::chrono::milliseconds(60);

// A healthy replica seldom loses two responses in a row, but may lose one when
// a kept-alive connection breaks. Few probes return a restarted replica to use.
auto MakeOutlierSettings() -> routing::OutlierSettings {
  auto settings = routing::OutlierSettings();
  settings.consecutive_failures = 2;
  settings.base_ejection = std::chrono::milliseconds(500);
  settings.max_ejection = std::chrono::seconds(8);
  settings.probe_successes = 1;
  settings.probe_timeout = std::chrono::seconds(2);
  settings.max_ejected_share = 0.5;
  // Below this, the time to the first event consists mostly of prompt
  // processing and a short queue, and varies randomly between replicas.
  settings.latency_floor = std::chrono::milliseconds(150);
  return settings;
}

auto CountOf(InFlight& counts, WorkClass work_class) -> std::uint32_t& {
  return work_class == WorkClass::kBatch ? counts.batch : counts.online;
}

}  // namespace

LoadBalancer::LoadBalancer(LoadBalancerSettings settings,
                           ZoneName zone,
                           Clock clock,
                           RandomSource random)
    : settings_(settings),
      zone_(std::move(zone)),
      clock_(std::move(clock)),
      random_(std::move(random)),
      outliers_(MakeOutlierSettings(), clock_),
      start_limiter_(StartLimiterSettings(), clock_),
      silence_(SilenceSettings(), clock_, random_),
      replica_speed_(ReplicaSpeedSettings(), clock_) {}

auto LoadBalancer::SetReplicas(const std::vector<Replica>& replicas) -> void {
  auto states = std::map<ReplicaId, State>();
  for (const auto& replica : replicas) {
    auto state = State();
    const auto known = states_.find(replica.id);
    if (known != states_.end()) {
      state = std::move(known->second);
      if (state.replica.started_ms != replica.started_ms ||
          state.replica.address != replica.address) {
        // A restarted replica has lost all earlier requests; those that this
        // node still counts end when their connections close.
        state.report.reset();
        state.gone = false;
      }
    }
    state.replica = replica;
    state.hash = routing::RendezvousHash(replica.id.value());
    states.emplace(replica.id, std::move(state));
  }
  states_ = std::move(states);
  services_.clear();
  busy_.clear();
  for (auto& [id, state] : states_) {
    services_[state.replica.service].all.push_back(&state);
    if (state.own.total() > 0) {
      busy_.insert(id);
    }
  }
  outliers_.SetReplicas(replicas);
  start_limiter_.SetReplicas(replicas);
  replica_speed_.SetReplicas(replicas);
  AssignReplicasToCells();
  RebuildPeers();
}

auto LoadBalancer::SetCell(std::size_t index, std::size_t cells) -> void {
  cell_ = index;
  cells_ = std::max<std::size_t>(1, cells);
  cell_capacities_.clear();
  AssignReplicasToCells();
}

auto LoadBalancer::SetReachableShare(double share) -> void {
  reachable_share_ = share;
  AssignReplicasToCells();
}

auto LoadBalancer::AssignReplicasToCells() -> void {
  // With fewer replicas a cell would depend on a single one.
  constexpr std::size_t kMinReplicasPerCell = 2;
  for (auto& [service, replicas] : services_) {
    auto order = replicas.all;
    std::sort(order.begin(), order.end(),
              [](const State* left, const State* right) {
                return std::tie(left->hash, left->replica.id) <
                       std::tie(right->hash, right->replica.id);
              });
    const auto shared = order.size() < kMinReplicasPerCell * cells_;
    replicas.in_cell.clear();
    for (std::size_t at = 0; at < order.size(); ++at) {
      auto& state = *order[at];
      state.cell = at * cells_ / order.size();
      state.in_cell = shared || state.cell == cell_;
      if (state.in_cell) {
        replicas.in_cell.push_back(&state);
      }
      const auto cells = shared ? static_cast<double>(cells_) : 1.0;
      start_limiter_.SetShare(state.replica.id, reachable_share_ / cells);
    }
  }
  auto members = std::vector<SilenceDetector::Member>();
  for (const auto& [id, state] : states_) {
    members.push_back({state.replica, state.in_cell});
  }
  silence_.SetReplicas(members);
}

auto LoadBalancer::OnCellCapacity(std::size_t cell,
                                  const ServiceName& service,
                                  std::uint32_t free_slots,
                                  std::size_t nodes_outside) -> void {
  if (cell == cell_ || nodes_outside == 0) {
    return;
  }
  // The remainder is distributed randomly among the nodes.
  const auto nodes = static_cast<std::uint32_t>(nodes_outside);
  const auto one_more = random_() % nodes < free_slots % nodes ? 1U : 0U;
  cell_capacities_[service][cell] = {free_slots / nodes + one_more, clock_()};
}

auto LoadBalancer::free_cell_slots() const
    -> std::map<ServiceName, std::uint32_t> {
  auto capacities = std::map<ServiceName, std::uint32_t>();
  for (const auto& [service, replicas] : services_) {
    // Nodes of other cells do not send to limited replicas.
    const auto room = RoomOf(service);
    capacities[service] =
        room.slots > room.in_flight ? room.slots - room.in_flight : 0;
  }
  return capacities;
}

auto LoadBalancer::TakeFromOtherCell(const ChoiceRequest& request)
    -> const State* {
  const auto capacities = cell_capacities_.find(request.service);
  if (capacities == cell_capacities_.end()) {
    return nullptr;
  }
  auto& by_cell = capacities->second;
  const State* selected = nullptr;
  auto seen = std::uint64_t{0};
  const auto oldest = clock_() - settings_.cell_capacity_expires;
  const auto has_slots = [&](const CellCapacity& capacity) {
    return capacity.slots > 0 && capacity.at >= oldest;
  };
  if (std::none_of(by_cell.begin(), by_cell.end(), [&](const auto& entry) {
        return has_slots(entry.second);
      })) {
    return nullptr;
  }
  for (const auto* replica : services_.at(request.service).all) {
    const auto& state = *replica;
    const auto& id = state.replica.id;
    const auto capacity = by_cell.find(state.cell);
    if (state.in_cell || capacity == by_cell.end() ||
        !has_slots(capacity->second) || !IsUsable(state, request) ||
        !MayStart(state, request) || IsUnreachable(state) ||
        silence_.IsSuspected(id) ||
        outliers_.state(id) != routing::EjectionState::kInUse ||
        Estimate(state) >= state.replica.capacity) {
      continue;
    }
    if (random_() % ++seen == 0) {
      selected = &state;
    }
  }
  if (selected != nullptr) {
    --by_cell.at(selected->cell).slots;
  }
  return selected;
}

auto LoadBalancer::MarkGone(const ReplicaId& replica) -> void {
  const auto found = states_.find(replica);
  if (found != states_.end()) {
    found->second.gone = true;
  }
}

auto LoadBalancer::TakesRequests(const ReplicaId& replica) const -> bool {
  const auto found = states_.find(replica);
  return found != states_.end() && !IsGoneOrLeaving(found->second);
}

auto LoadBalancer::IsUsable(const State& state,
                            const ChoiceRequest& request) const -> bool {
  const auto tried =
      std::find(request.tried.begin(), request.tried.end(), state.replica.id);
  // Batch capacity is known only within the cell.
  const auto batch_elsewhere =
      request.work_class == WorkClass::kBatch && !state.in_cell;
  const auto fits =
      !request.version || *request.version == state.replica.version;
  return !IsGoneOrLeaving(state) && !batch_elsewhere && fits &&
         tried == request.tried.end();
}

auto LoadBalancer::MayStart(const State& state,
                            const ChoiceRequest& request) const -> bool {
  const auto& id = state.replica.id;
  if (!start_limiter_.IsLimited(id)) {
    return true;
  }
  const auto patient =
      request.work_class == WorkClass::kBatch && !request.urgent;
  return state.in_cell && !request.avoid_limited &&
         start_limiter_.MayStart(id, request.work_class, request.urgent) &&
         (!patient || BatchStarts(state) > 0);
}

auto LoadBalancer::IsOnlineShort(const ServiceName& service) const -> bool {
  const auto found = online_short_at_.find(service);
  return found != online_short_at_.end() &&
         clock_() - found->second < settings_.online_shortage_time;
}

auto LoadBalancer::BatchStarts(const State& state) const -> std::uint32_t {
  if (IsOnlineShort(state.replica.service)) {
    return 0;
  }
  const auto most = static_cast<std::uint32_t>(state.replica.capacity *
                                               settings_.limited_batch_share);
  const auto batch = state.own.batch + state.peers.batch;
  return std::min(most - std::min(most, batch),
                  start_limiter_.available(state.replica.id));
}

auto LoadBalancer::TakesWork(const State& state) const -> bool {
  return !IsGoneOrLeaving(state) && state.in_cell && !IsUnreachable(state) &&
         !silence_.IsSuspected(state.replica.id) &&
         outliers_.state(state.replica.id) != routing::EjectionState::kEjected;
}

auto LoadBalancer::UsableSlots(const State& state) const -> std::uint32_t {
  const auto capacity = state.replica.capacity;
  if (!start_limiter_.IsLimited(state.replica.id)) {
    return capacity;
  }
  return std::min(capacity, state.own.total() + state.peers.total() +
                                start_limiter_.available(state.replica.id));
}

// Peers send counts at intervals and the replica's report is outdated, so
// neither includes all requests. The larger of the two misses fewer.
auto LoadBalancer::Estimate(const State& state) const -> std::uint32_t {
  auto others = state.peers.total();
  if (state.report && clock_() - state.report->at < settings_.report_expires) {
    const auto& report = *state.report;
    const auto reported_others =
        report.total > report.own_then ? report.total - report.own_then : 0;
    others = std::max(others, reported_others);
  }
  return state.own.total() + others;
}

auto LoadBalancer::LoadScore(const State& state) const -> double {
  const auto slots = static_cast<double>(state.replica.capacity);
  const auto in_flight = static_cast<double>(Estimate(state));
  if (!replica_speed_.IsUsed(state.replica.service)) {
    return in_flight / slots;
  }
  const auto speed = replica_speed_.speed(state.replica.id);
  if (in_flight >= slots) {
    // Every free slot comes before any queue, and the shortest wait comes
    // first.
    return 1.0 + speed * (in_flight - slots + 1.0) / slots;
  }
  return detail::FreeSlotScore(speed, in_flight / slots);
}

auto LoadBalancer::Score(const State& state, WorkClass work_class) const
    -> double {
  auto score = LoadScore(state);
  if (state.replica.zone != zone_) {
    score += settings_.zone_margin;
  }
  if (clock_() < state.full_until) {
    score += 1.0;
  }
  // An item runs many times longer than an online request. A replica that takes
  // few starts does the most with items, and they leave the slots of the others
  // to online requests. These come here rather than queue elsewhere.
  if (start_limiter_.IsLimited(state.replica.id)) {
    constexpr double kJustBelowFull = 0.99;
    if (work_class == WorkClass::kBatch) {
      score -= 1.0;
    } else if (score < kJustBelowFull) {
      score = kJustBelowFull + (1.0 - kJustBelowFull) * score;
    }
  }
  return score;
}

auto LoadBalancer::ScoreFor(const State& state,
                            const ChoiceRequest& request) const -> double {
  // Comes after every free slot and before any queue.
  constexpr double kJustBelowFull = 0.99;
  const auto score = Score(state, request.work_class);
  return !request.may_repeat && score < kJustBelowFull &&
                 silence_.IsDoubtful(state.replica.id)
             ? kJustBelowFull + (1.0 - kJustBelowFull) * score
             : score;
}

auto LoadBalancer::IsSilenced(const State& state,
                              const ChoiceRequest& request) const -> bool {
  return silence_.IsSuspected(state.replica.id) && !MayProbe(state, request);
}

// A request that was tried elsewhere is late already, and one that goes on with
// a stream has few other replicas.
auto LoadBalancer::MayProbe(const State& state,
                            const ChoiceRequest& request) const -> bool {
  return request.may_repeat && request.work_class == WorkClass::kOnline &&
         request.tried.empty() && !request.version && state.in_cell &&
         Estimate(state) < state.replica.capacity &&
         silence_.MayProbe(state.replica.id);
}

auto LoadBalancer::CanMove(const ChoiceRequest& request) const -> bool {
  // Only replicas in the cell take work.
  const auto& replicas = CellReplicas(request.service);
  return std::any_of(replicas.begin(), replicas.end(), [&](const State* state) {
    return TakesWork(*state) && IsUsable(*state, request) &&
           MayStart(*state, request);
  });
}

auto LoadBalancer::QueueLimit(const State& state, Duration latency_target) const
    -> std::uint32_t {
  const auto& service = state.replica.service;
  // A fast replica takes a longer queue. That of a slow one is not shortened,
  // so that uneven replicas refuse no more than even ones.
  const auto speed = replica_speed_.IsUsed(service)
                         ? std::min(replica_speed_.speed(state.replica.id), 1.0)
                         : 1.0;
  const auto hold = ToSeconds(mean_hold(service)) * speed;
  const auto budget = ToSeconds(latency_target) * settings_.queue_share;
  const auto batch =
      std::min(state.own.batch + state.peers.batch, state.replica.capacity);
  const auto slots = static_cast<double>(state.replica.capacity - batch);
  // With all slots in use, one becomes free every hold / slots on average.
  // Batch items hold theirs many times longer and are left out.
  return static_cast<std::uint32_t>(
      std::clamp(budget * slots / std::max(hold, 0.001), 0.0, 4 * slots));
}

auto LoadBalancer::SetZoneCosts(std::optional<ZoneCosts> costs) -> void {
  if (!costs) {
    zone_policy_.reset();
  } else if (zone_policy_) {
    zone_policy_->SetCosts(*costs);
  } else {
    zone_policy_.emplace(ZonePolicySettings(), *costs, clock_, random_);
  }
}

auto LoadBalancer::MayLeaveZone(const ChoiceRequest& request) -> bool {
  if (!zone_policy_ || !services_.contains(request.service)) {
    return true;
  }
  const auto hold = mean_hold(request.service);
  auto own = ZoneLoad{.hold = hold};
  auto others = own;
  for (const auto* replica : CellReplicas(request.service)) {
    const auto& state = *replica;
    if (!TakesWork(state)) {
      continue;
    }
    const auto slots = UsableSlots(state);
    // A replica that has just refused a request has no free slot, whatever the
    // counts say.
    const auto in_flight = clock_() < state.full_until
                               ? std::max(Estimate(state), slots)
                               : Estimate(state);
    auto& load = state.replica.zone == zone_ ? own : others;
    load.replicas += 1;
    load.slots += slots;
    load.in_flight += in_flight;
  }
  return zone_policy_->MayLeave(request.service, own, others);
}

auto LoadBalancer::Choose(const ChoiceRequest& request) -> Choice {
  if (!MayLeaveZone(request)) {
    auto choice = ChooseFrom(request, true);
    const auto queued = choice.availability == Availability::kQueued &&
                        request.work_class == WorkClass::kOnline;
    if (choice.replica &&
        (choice.availability == Availability::kFree || queued)) {
      return choice;
    }
    // Leaving the zone costs less than a refusal.
  }
  return ChooseFrom(request, false);
}

auto LoadBalancer::IsOutOfUse(const State& state) const -> bool {
  const auto ejection = outliers_.state(state.replica.id);
  const auto probing_now =
      ejection == routing::EjectionState::kProbing && state.own.total() > 0;
  return ejection == routing::EjectionState::kEjected || probing_now ||
         IsUnreachable(state);
}

auto LoadBalancer::CompareCell(const ServiceReplicas& replicas,
                               const ChoiceRequest& request,
                               bool own_zone_only,
                               Choice& choice) -> Comparison {
  auto found = Comparison();
  auto best_score = std::numeric_limits<double>::max();
  const State* probe = nullptr;
  auto ties = std::uint64_t{0};
  auto preferred = std::uint64_t{0};
  const State* affinity_replica = nullptr;
  for (const auto* replica : replicas.in_cell) {
    const auto& state = *replica;
    const auto& id = state.replica.id;
    if (!IsUsable(state, request) ||
        (own_zone_only && state.replica.zone != zone_)) {
      continue;
    }
    if (!MayStart(state, request)) {
      ++choice.at_limit;
      found.next_start =
          std::min(found.next_start, start_limiter_.NextStart(id));
      continue;
    }
    if (IsOutOfUse(state)) {
      if (found.ejected == nullptr || !silence_.IsSuspected(id)) {
        found.ejected = &state;
      }
      continue;
    }
    if (IsSilenced(state, request)) {
      if (found.silent == nullptr ||
          Estimate(state) < Estimate(*found.silent)) {
        found.silent = &state;
      }
      continue;
    }
    if (silence_.IsSuspected(id)) {
      probe = &state;
      continue;
    }
    ++choice.candidates;
    if (request.affinity != 0) {
      const auto rank = routing::RendezvousScore(request.affinity, state.hash);
      if (affinity_replica == nullptr || rank > preferred) {
        affinity_replica = &state;
        preferred = rank;
      }
    }
    auto score = ScoreFor(state, request);
    // The queues of uneven replicas differ in length, so that the shortest wait
    // may be at one that is full.
    if (replica_speed_.IsUsed(request.service) &&
        Estimate(state) >= state.replica.capacity +
                               QueueLimit(state, request.latency_target)) {
      constexpr double kFullQueue = 100.0;
      score += kFullQueue;
    }
    if (found.best == nullptr || score < best_score) {
      found.best = &state;
      best_score = score;
      ties = 1;
    } else if (score == best_score && random_() % ++ties == 0) {
      found.best = &state;
    }
  }
  if (affinity_replica != nullptr && found.best != nullptr &&
      Estimate(*affinity_replica) < affinity_replica->replica.capacity &&
      ScoreFor(*affinity_replica, request) <=
          best_score + settings_.affinity_margin) {
    found.best = affinity_replica;
  }
  if (probe != nullptr) {
    found.best = probe;
  }
  return found;
}

auto LoadBalancer::AnyOfOtherCells(const ServiceReplicas& replicas,
                                   const ChoiceRequest& request,
                                   Choice& choice,
                                   Comparison& comparison) -> const State* {
  const State* selected = nullptr;
  auto seen = std::uint64_t{0};
  for (const auto* replica : replicas.all) {
    const auto& state = *replica;
    if (state.in_cell || !IsUsable(state, request)) {
      continue;
    }
    if (!MayStart(state, request)) {
      ++choice.at_limit;
    } else if (IsOutOfUse(state)) {
      if (comparison.ejected == nullptr ||
          !silence_.IsSuspected(state.replica.id)) {
        comparison.ejected = &state;
      }
    } else if (silence_.IsSuspected(state.replica.id)) {
      if (comparison.silent == nullptr) {
        comparison.silent = &state;
      }
    } else {
      ++choice.candidates;
      if (random_() % ++seen == 0) {
        selected = &state;
      }
    }
  }
  return selected;
}

auto LoadBalancer::ChooseFrom(const ChoiceRequest& request, bool own_zone_only)
    -> Choice {
  auto choice = Choice();
  const auto service = services_.find(request.service);
  if (service == services_.end()) {
    return choice;
  }
  auto comparison =
      CompareCell(service->second, request, own_zone_only, choice);
  const auto* best = comparison.best;
  if (own_zone_only && best == nullptr) {
    return choice;
  }
  const auto full =
      best != nullptr && Estimate(*best) >= best->replica.capacity;
  if (full && !own_zone_only && request.work_class == WorkClass::kOnline) {
    if (const auto* elsewhere = TakeFromOtherCell(request)) {
      best = elsewhere;
    }
  }
  if (best == nullptr) {
    best = AnyOfOtherCells(service->second, request, choice, comparison);
  }
  if (best == nullptr) {
    // All replicas in use are silent.
    best = comparison.silent;
  }
  if (best == nullptr) {
    // All replicas are ejected or unreachable; using one is better than
    // refusing.
    best = comparison.ejected;
  }
  const auto online = request.work_class == WorkClass::kOnline;
  if (online && !own_zone_only && choice.at_limit > 0 &&
      !request.avoid_limited &&
      (best == nullptr || Estimate(*best) >= best->replica.capacity)) {
    online_short_at_[request.service] = clock_();
  }
  if (best == nullptr) {
    if (choice.at_limit > 0) {
      choice.availability = Availability::kFull;
      choice.next_start =
          std::min(comparison.next_start, settings_.max_next_start);
    }
    return choice;
  }
  const auto in_flight = Estimate(*best);
  choice.replica = best->replica;
  choice.in_flight = in_flight;
  choice.slots = best->replica.capacity;
  choice.limited = start_limiter_.IsLimited(best->replica.id);
  const auto now = clock_();
  const auto report = best->report;
  if (report.has_value()) {
    choice.report_age = now - report->at;
  }
  if (in_flight < best->replica.capacity) {
    choice.availability = Availability::kFree;
  } else if (request.even_if_full ||
             in_flight < best->replica.capacity +
                             QueueLimit(*best, request.latency_target)) {
    choice.availability = Availability::kQueued;
  } else {
    choice.availability = Availability::kFull;
  }
  return choice;
}

auto LoadBalancer::OnSentAgain(const ReplicaId& replica, std::uint32_t times)
    -> void {
  start_limiter_.OnStarted(replica, times);
}

auto LoadBalancer::OnStarted(const ReplicaId& replica, WorkClass work_class)
    -> void {
  start_limiter_.OnStarted(replica);
  const auto found = states_.find(replica);
  if (found != states_.end()) {
    ++CountOf(found->second.own, work_class);
    busy_.insert(replica);
    if (zone_policy_) {
      const auto& sent_to = found->second.replica;
      zone_policy_->OnSent(sent_to.service, sent_to.zone != zone_);
    }
  }
}

auto LoadBalancer::OnBytes(const ReplicaId& replica, std::uint64_t bytes)
    -> void {
  const auto found = states_.find(replica);
  if (zone_policy_ && found != states_.end()) {
    const auto& sent_to = found->second.replica;
    zone_policy_->OnBytes(sent_to.service, bytes, sent_to.zone != zone_);
  }
}

auto LoadBalancer::OnEnded(const ReplicaId& replica, WorkClass work_class)
    -> void {
  const auto found = states_.find(replica);
  if (found == states_.end()) {
    return;  // The replica was removed in the meantime.
  }
  auto& count = CountOf(found->second.own, work_class);
  count = count > 0 ? count - 1 : 0;
  if (found->second.own.total() == 0) {
    busy_.erase(replica);
  }
}

auto LoadBalancer::OnHoldingTime(const ServiceName& service, Duration held)
    -> void {
  const auto [entry, added] = hold_s_.try_emplace(service, ToSeconds(held));
  if (!added) {
    entry->second +=
        (ToSeconds(held) - entry->second) * settings_.hold_smoothing;
  }
}

auto LoadBalancer::OnSuccess(const ReplicaId& replica, Duration first) -> void {
  outliers_.OnSuccess(replica, first);
  const auto found = states_.find(replica);
  if (found != states_.end()) {
    found->second.unreachable_until = MonotonicTime();
    found->second.unreachable_time = Duration::zero();
  }
}

auto LoadBalancer::OnFailure(const ReplicaId& replica) -> void {
  outliers_.OnFailure(replica);
}

auto LoadBalancer::OnUnreachable(const ReplicaId& replica) -> void {
  const auto found = states_.find(replica);
  if (found == states_.end() || IsUnreachable(found->second)) {
    return;
  }
  auto& state = found->second;
  state.unreachable_time =
      std::clamp(state.unreachable_time * 2, settings_.unreachable_time,
                 settings_.max_unreachable_time);
  state.unreachable_until = clock_() + state.unreachable_time;
}

auto LoadBalancer::OnRefused(const ReplicaId& replica) -> void {
  const auto found = states_.find(replica);
  if (found != states_.end()) {
    found->second.full_until = clock_() + kFullBackoff;
  }
}

auto LoadBalancer::OnCompleted(const ReplicaId& replica, Duration held)
    -> void {
  const auto found = states_.find(replica);
  if (found != states_.end()) {
    OnHoldingTime(found->second.replica.service, held);
    replica_speed_.OnCompleted(replica, held);
  }
}

auto LoadBalancer::OnReport(const ReplicaId& replica,
                            std::uint32_t running,
                            std::uint32_t waiting,
                            std::optional<double> host_load) -> void {
  if (host_load) {
    replica_speed_.OnHostLoad(replica, *host_load);
  }
  const auto found = states_.find(replica);
  if (found != states_.end()) {
    auto& state = found->second;
    state.report = Report{running + waiting, state.own.total(), clock_()};
  }
}

auto LoadBalancer::OnStartLimit(const ReplicaId& replica,
                                std::optional<double> limit) -> void {
  start_limiter_.OnAnswer(replica, limit);
}

auto LoadBalancer::OnSent(const ReplicaId& replica) -> SilenceDetector::Ticket {
  auto queue_time = Duration::zero();
  const auto found = states_.find(replica);
  if (found != states_.end()) {
    const auto& state = found->second;
    const auto in_flight = Estimate(state);
    const auto slots = std::max(1U, state.replica.capacity);
    if (in_flight >= slots) {
      queue_time =
          mean_hold(state.replica.service) * (in_flight - slots + 1) / slots;
    }
  }
  return silence_.OnSent(replica, queue_time);
}

auto LoadBalancer::OnPeerCounts(const NodeId& peer,
                                InFlightCounts counts,
                                const SilenceReports& reports) -> void {
  silence_.OnPeerReports(peer, reports);
  auto& known = peers_[peer];
  Apply(known.counts, false);
  Apply(counts, true);
  known = {std::move(counts), clock_()};
}

auto LoadBalancer::ForgetPeer(const NodeId& peer) -> void {
  peers_.erase(peer);
  silence_.ForgetPeer(peer);
  RebuildPeers();
}

auto LoadBalancer::Apply(const InFlightCounts& counts, bool add) -> void {
  for (const auto& [id, in_flight] : counts) {
    const auto found = states_.find(id);
    if (found == states_.end()) {
      continue;
    }
    auto& sum = found->second.peers;
    if (add) {
      sum.online += in_flight.online;
      sum.batch += in_flight.batch;
    } else {
      sum.online -= std::min(sum.online, in_flight.online);
      sum.batch -= std::min(sum.batch, in_flight.batch);
    }
  }
}

auto LoadBalancer::ExpirePeers() -> void {
  const auto oldest = clock_() - settings_.peer_counts_expire;
  const auto erased = std::erase_if(
      peers_, [&](const auto& peer) { return peer.second.at < oldest; });
  if (erased > 0) {
    RebuildPeers();
  }
}

auto LoadBalancer::RebuildPeers() -> void {
  for (auto& [id, state] : states_) {
    state.peers = {};
  }
  for (const auto& [peer, entry] : peers_) {
    Apply(entry.counts, true);
  }
}

auto LoadBalancer::OnTick() -> routing::OutlierDetector::Changes {
  ExpirePeers();
  silence_.ExpirePeers();
  return outliers_.OnTick();
}

auto LoadBalancer::BatchCapacity(const ServiceName& service) const
    -> std::int64_t {
  return RoomOf(service).Free(settings_.batch_reserve);
}

auto LoadBalancer::RoomOf(const ServiceName& service) const -> Room {
  auto room = Room();
  for (const auto* replica : CellReplicas(service)) {
    const auto& state = *replica;
    const auto in_flight = state.own.total() + state.peers.total();
    if (IsGoneOrLeaving(state)) {
      continue;
    }
    if (start_limiter_.IsLimited(state.replica.id)) {
      room.batch_starts += TakesWork(state) ? BatchStarts(state) : 0;
      continue;
    }
    room.in_flight += in_flight;
    room.slots += TakesWork(state) ? state.replica.capacity : 0;
  }
  return room;
}

auto LoadBalancer::IsFull(const ReplicaId& replica) const -> bool {
  const auto found = states_.find(replica);
  return found != states_.end() &&
         Estimate(found->second) >= found->second.replica.capacity;
}

auto LoadBalancer::UrgentBatchCapacity(const ServiceName& service) const
    -> std::uint32_t {
  const auto most =
      static_cast<std::uint32_t>(slots(service) * settings_.urgent_batch_share);
  const auto batch = Total(service).batch;
  return most > batch ? most - batch : 0;
}

auto LoadBalancer::Total(const ServiceName& service) const -> InFlight {
  auto total = InFlight();
  for (const auto* replica : CellReplicas(service)) {
    const auto& state = *replica;
    if (IsGoneOrLeaving(state)) {
      continue;
    }
    total.online += state.own.online + state.peers.online;
    total.batch += state.own.batch + state.peers.batch;
  }
  return total;
}

auto LoadBalancer::YieldableBatch(const ServiceName& service) const
    -> BatchCounts {
  auto counts = BatchCounts();
  // Slots of replicas that leave do not become free for others.
  const auto counted = [this](const State& state) {
    return !IsGoneOrLeaving(state) &&
           !start_limiter_.IsLimited(state.replica.id);
  };
  for (const auto& id : busy_) {
    const auto& state = states_.at(id);
    if (state.replica.service == service && counted(state)) {
      counts.own += state.own.batch;
    }
  }
  for (const auto* state : CellReplicas(service)) {
    if (counted(*state)) {
      counts.fleet += state->own.batch + state->peers.batch;
    }
  }
  return counts;
}

auto LoadBalancer::own_counts() const -> InFlightCounts {
  auto counts = InFlightCounts();
  for (const auto& id : busy_) {
    counts.emplace(id, states_.at(id).own);
  }
  return counts;
}

auto LoadBalancer::own_silence_reports() const -> SilenceReports {
  return silence_.own_reports(
      [this](const ReplicaId& id) { return busy_.contains(id); });
}

auto LoadBalancer::slots(const ServiceName& service) const -> std::uint32_t {
  auto all = std::uint32_t{0};
  for (const auto* state : CellReplicas(service)) {
    if (TakesWork(*state)) {
      all += UsableSlots(*state);
    }
  }
  return all;
}

auto LoadBalancer::CellReplicas(const ServiceName& service) const
    -> const std::vector<State*>& {
  static const auto no_replicas = std::vector<State*>();
  const auto found = services_.find(service);
  return found == services_.end() ? no_replicas : found->second.in_cell;
}

auto LoadBalancer::mean_hold(const ServiceName& service) const -> Duration {
  const auto found = hold_s_.find(service);
  if (found == hold_s_.end()) {
    return settings_.initial_hold;
  }
  return FromSeconds(found->second);
}

}  // namespace kumquatgauge::serving
