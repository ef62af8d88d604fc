#include "kumquatgauge/routing/router.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "kumquatgauge/routing/rendezvous.h"

namespace kumquatgauge::routing {
namespace {

constexpr std::array<std::string_view, 7> kRouteReasonNames = {
    "no_candidate", "only_candidate", "affinity",  "less_loaded",
    "other_zone",   "probe",          "batch_room"};

}  // namespace

struct Router::Scan {
  // Mean utilisation of the candidates, without the current request.
  double mean = 0.0;
  std::optional<std::uint32_t> probe;
};

auto RouteReasonName(RouteReason reason) -> std::string_view {
  return kRouteReasonNames.at(static_cast<std::size_t>(reason));
}

Router::Router(ZoneName zone,
               RouterSettings settings,
               Clock clock,
               RandomSource random)
    : zone_(std::move(zone)),
      settings_(settings),
      clock_(std::move(clock)),
      random_(std::move(random)),
      subset_seed_(random_()) {}

auto Router::SetReplicas(const std::vector<Replica>& replicas) -> void {
  auto now = clock_();
  std::unordered_map<ServiceName, std::vector<State>> services;
  std::unordered_map<ReplicaId, std::pair<ServiceName, std::uint32_t>>
      positions;
  for (const auto& replica : replicas) {
    State state;
    auto* known = Find(replica.id);
    if (known != nullptr && known->replica.service == replica.service) {
      state = *known;
    } else {
      state.limit = std::max(replica.capacity, 1U);
      state.reported_at = now;
      if (services_.contains(replica.service)) {
        state.slow_start_from = now;
      }
    }
    state.replica = replica;
    state.hash = RendezvousHash(replica.id.value());
    state.local = replica.zone == zone_;
    auto& states = services[replica.service];
    positions[replica.id] = {replica.service,
                             static_cast<std::uint32_t>(states.size())};
    states.push_back(std::move(state));
  }
  for (auto& [service, states] : services) {
    MarkPreferred(states);
  }
  services_ = std::move(services);
  positions_ = std::move(positions);
}

auto Router::MarkPreferred(std::vector<State>& states) const -> void {
  std::vector<std::pair<std::uint64_t, State*>> local;
  for (auto& state : states) {
    state.preferred = true;
    if (state.local) {
      local.emplace_back(RendezvousScore(subset_seed_, state.hash), &state);
    }
  }
  if (local.size() <= settings_.subset_size) {
    return;
  }
  std::sort(local.begin(), local.end(),
            [](const auto& left, const auto& right) {
              return left.first > right.first;
            });
  for (auto index = settings_.subset_size; index < local.size(); ++index) {
    local[index].second->preferred = false;
  }
}

auto Router::SetEjection(const ReplicaId& replica, EjectionState ejection)
    -> void {
  if (auto* state = Find(replica)) {
    if (state->ejection != EjectionState::kInUse &&
        ejection == EjectionState::kInUse) {
      // All nodes start to use it again at about the same time.
      state->slow_start_from = clock_();
    }
    state->ejection = ejection;
    state->probe_due = ejection == EjectionState::kProbing;
  }
}

auto Router::OnLoad(const ReplicaLoad& load) -> void {
  auto* state = Find(load.replica);
  if (state == nullptr) {
    return;
  }
  state->reported = true;
  state->reported_at = clock_();
  state->known_in_flight = load.online_in_flight + load.queued;
  state->batch_in_flight = load.batch_in_flight;
  state->in_flight = static_cast<double>(state->known_in_flight) +
                     settings_.batch_weight * load.batch_in_flight;
  state->limit = std::max(load.limit, 1U);
  state->free_batch_slots = load.free_batch_slots;
  state->sent_since = 0;
  state->batch_sent_since = 0;
}

auto Router::Choose(const RouteRequest& request) -> RouteChoice {
  RouteChoice choice;
  auto service = services_.find(request.service);
  if (service == services_.end()) {
    return choice;
  }
  auto& states = service->second;
  auto now = clock_();
  auto& explanation = choice.explanation;
  auto scan = ScanService(states, request, false, now, explanation);
  if (scan.probe) {
    explanation.compared.push_back(
        Describe(states[*scan.probe], now, scan.mean));
    RecordSend(states[*scan.probe], false, scan.mean, RouteReason::kProbe,
               choice);
    return choice;
  }
  if (explanation.candidates == 0) {
    return choice;
  }
  if (request.affinity != 0) {
    if (auto picked =
            PickByAffinity(states, scan, request.affinity, now, explanation)) {
      RecordSend(states[*picked], false, scan.mean, RouteReason::kAffinity,
                 choice);
      return choice;
    }
  }
  auto reason = RouteReason::kLessLoaded;
  std::uint32_t picked = 0;
  const auto& local_candidates = preferred_.size() < 2 ? local_ : preferred_;
  if (explanation.candidates == 1) {
    picked = local_.empty() ? remote_.front() : local_.front();
    reason = RouteReason::kOnlyCandidate;
    explanation.compared.push_back(Describe(states[picked], now, scan.mean));
  } else if (remote_.empty()) {
    picked = PickLessLoaded(states, local_candidates, scan, now, explanation);
  } else if (local_.empty()) {
    picked = PickLessLoaded(states, remote_, scan, now, explanation);
    reason = RouteReason::kOtherZone;
  } else {
    picked = PickLessLoaded(states, local_candidates, scan, now, explanation);
    auto other = PickLessLoaded(states, remote_, scan, now, explanation);
    if (Utilisation(states[picked], now, scan.mean) >
        Utilisation(states[other], now, scan.mean) + settings_.zone_margin) {
      picked = other;
      reason = RouteReason::kOtherZone;
    }
  }
  RecordSend(states[picked], false, scan.mean, reason, choice);
  return choice;
}

auto Router::ChooseForBatch(const RouteRequest& request) -> RouteChoice {
  RouteChoice choice;
  auto service = services_.find(request.service);
  if (service == services_.end()) {
    return choice;
  }
  auto& states = service->second;
  auto now = clock_();
  auto& explanation = choice.explanation;
  auto scan = ScanService(states, request, true, now, explanation);
  if (scan.probe) {
    explanation.compared.push_back(
        Describe(states[*scan.probe], now, scan.mean));
    RecordSend(states[*scan.probe], true, scan.mean, RouteReason::kProbe,
               choice);
    return choice;
  }
  if (explanation.candidates == 0) {
    return choice;
  }
  // The latency of another zone does not matter for batch.
  local_.insert(local_.end(), remote_.begin(), remote_.end());
  std::uint32_t picked = 0;
  auto reason = RouteReason::kBatchRoom;
  if (request.affinity != 0) {
    picked = *std::max_element(
        local_.begin(), local_.end(), [&](auto left, auto right) {
          return RendezvousScore(request.affinity, states[left].hash) <
                 RendezvousScore(request.affinity, states[right].hash);
        });
    reason = RouteReason::kAffinity;
    explanation.compared.push_back(Describe(states[picked], now, scan.mean));
  } else {
    picked = PickByFreeBatchSlots(states, local_, scan, now, explanation);
  }
  RecordSend(states[picked], true, scan.mean, reason, choice);
  return choice;
}

auto Router::free_batch_slots(const ServiceName& service) const
    -> std::uint32_t {
  auto it = services_.find(service);
  if (it == services_.end()) {
    return 0;
  }
  auto now = clock_();
  std::uint32_t slots = 0;
  for (const auto& state : it->second) {
    if (!state.replica.leaving && state.ejection == EjectionState::kInUse) {
      slots += FreeBatchSlots(state, now);
    }
  }
  return slots;
}

auto Router::Inspect(const ReplicaId& replica) const
    -> std::optional<RouteCandidate> {
  const auto* state = Find(replica);
  if (state == nullptr) {
    return std::nullopt;
  }
  return Describe(*state, clock_(), 0.0);
}

auto Router::Find(const ReplicaId& replica) -> State* {
  auto it = positions_.find(replica);
  if (it == positions_.end()) {
    return nullptr;
  }
  return &services_.at(it->second.first)[it->second.second];
}

auto Router::Find(const ReplicaId& replica) const -> const State* {
  auto it = positions_.find(replica);
  if (it == positions_.end()) {
    return nullptr;
  }
  return &services_.at(it->second.first)[it->second.second];
}

auto Router::IsStale(const State& state, MonotonicTime now) const -> bool {
  return now - state.reported_at > settings_.stale_after;
}

auto Router::Weight(const State& state, MonotonicTime now) const -> double {
  if (!state.slow_start_from) {
    return 1.0;
  }
  auto age = now - *state.slow_start_from;
  if (age >= settings_.slow_start) {
    return 1.0;
  }
  auto share = std::chrono::duration<double>(age) /
               std::chrono::duration<double>(settings_.slow_start);
  return std::max(settings_.slow_start_floor, share);
}

auto Router::InFlight(const State& state, MonotonicTime now, double mean) const
    -> double {
  auto expected = mean * state.limit;
  auto age = now - state.reported_at;
  if (age > settings_.stale_after) {
    return expected;
  }
  auto report_weight =
      std::exp(-std::chrono::duration<double>(age) /
               std::chrono::duration<double>(settings_.report_decay));
  return expected + report_weight * (state.in_flight - expected) +
         state.sent_since;
}

auto Router::Utilisation(const State& state,
                         MonotonicTime now,
                         double mean) const -> double {
  return (InFlight(state, now, mean) + 1.0) /
         (state.limit * Weight(state, now));
}

auto Router::FreeBatchSlots(const State& state, MonotonicTime now) const
    -> std::uint32_t {
  if (!state.reported || IsStale(state, now)) {
    // One item is sent to find out.
    return state.batch_sent_since == 0 || IsStale(state, now) ? 1 : 0;
  }
  return state.free_batch_slots -
         std::min(state.free_batch_slots, state.batch_sent_since);
}

auto Router::Describe(const State& state, MonotonicTime now, double mean) const
    -> RouteCandidate {
  return {.replica = state.replica.id,
          .zone = state.replica.zone,
          .known_in_flight = state.known_in_flight,
          .sent_since = state.sent_since,
          .limit = state.limit,
          .free_batch_slots = FreeBatchSlots(state, now),
          .weight = Weight(state, now),
          .utilisation = Utilisation(state, now, mean),
          .report_age = now - state.reported_at};
}

auto Router::ScanService(const std::vector<State>& states,
                         const RouteRequest& request,
                         bool batch,
                         MonotonicTime now,
                         RouteExplanation& explanation) -> Scan {
  Scan scan;
  local_.clear();
  preferred_.clear();
  remote_.clear();
  double sum = 0.0;
  std::uint32_t fresh = 0;
  for (std::uint32_t index = 0; index < states.size(); ++index) {
    const auto& state = states[index];
    if (state.replica.leaving) {
      ++explanation.excluded_leaving;
      continue;
    }
    if (std::find(request.tried.begin(), request.tried.end(),
                  state.replica.id) != request.tried.end()) {
      ++explanation.excluded_tried;
      continue;
    }
    if (state.ejection != EjectionState::kInUse) {
      if (state.probe_due && request.may_probe) {
        scan.probe = index;
      }
      ++explanation.excluded_ejected;
      continue;
    }
    if (!IsStale(state, now)) {
      sum += (state.in_flight + state.sent_since) / state.limit;
      ++fresh;
    }
    if (batch && (FreeBatchSlots(state, now) == 0 ||
                  (request.exclusive && state.batch_in_flight > 0))) {
      ++explanation.excluded_full;
      continue;
    }
    (state.local ? local_ : remote_).push_back(index);
    if (state.local && state.preferred) {
      preferred_.push_back(index);
    }
  }
  scan.mean = fresh == 0 ? 0.0 : sum / fresh;
  explanation.candidates =
      static_cast<std::uint32_t>(local_.size() + remote_.size());
  explanation.mean_utilisation = scan.mean;
  return scan;
}

auto Router::PickByAffinity(const std::vector<State>& states,
                            const Scan& scan,
                            std::uint64_t affinity,
                            MonotonicTime now,
                            RouteExplanation& explanation)
    -> std::optional<std::uint32_t> {
  const auto& candidates = local_.empty() ? remote_ : local_;
  // The two replicas with the highest scores: the preferred one, and the
  // fallback when it is too busy.
  std::array<std::pair<std::uint64_t, std::uint32_t>, 2> best = {};
  for (auto index : candidates) {
    auto score = RendezvousScore(affinity, states[index].hash);
    if (score > best[0].first) {
      best[1] = best[0];
      best[0] = {score, index};
    } else if (score > best[1].first) {
      best[1] = {score, index};
    }
  }
  auto count = std::min<std::size_t>(candidates.size(), best.size());
  for (std::size_t rank = 0; rank < count; ++rank) {
    const auto& state = states[best[rank].second];
    explanation.compared.push_back(Describe(state, now, scan.mean));
    auto in_flight = InFlight(state, now, scan.mean);
    // Rounded up: with less than one request per replica on average, a bound
    // below one would disable affinity.
    auto bound = std::ceil(settings_.affinity_bound * scan.mean * state.limit *
                           Weight(state, now));
    if (in_flight <= bound && in_flight < state.limit) {
      return best[rank].second;
    }
  }
  return std::nullopt;
}

auto Router::PickTwo(std::size_t count) -> std::pair<std::size_t, std::size_t> {
  if (count == 1) {
    return {0, 0};
  }
  auto first = random_() % count;
  auto second = random_() % (count - 1);
  return {first, second < first ? second : second + 1};
}

auto Router::PickLessLoaded(const std::vector<State>& states,
                            const std::vector<std::uint32_t>& candidates,
                            const Scan& scan,
                            MonotonicTime now,
                            RouteExplanation& explanation) -> std::uint32_t {
  auto [first, second] = PickTwo(candidates.size());
  auto left = candidates[first];
  auto right = candidates[second];
  explanation.compared.push_back(Describe(states[left], now, scan.mean));
  if (left == right) {
    return left;
  }
  explanation.compared.push_back(Describe(states[right], now, scan.mean));
  return Utilisation(states[right], now, scan.mean) <
                 Utilisation(states[left], now, scan.mean)
             ? right
             : left;
}

auto Router::PickByFreeBatchSlots(const std::vector<State>& states,
                                  const std::vector<std::uint32_t>& candidates,
                                  const Scan& scan,
                                  MonotonicTime now,
                                  RouteExplanation& explanation)
    -> std::uint32_t {
  auto [first, second] = PickTwo(candidates.size());
  auto left = candidates[first];
  auto right = candidates[second];
  explanation.compared.push_back(Describe(states[left], now, scan.mean));
  if (left == right) {
    return left;
  }
  explanation.compared.push_back(Describe(states[right], now, scan.mean));
  return FreeBatchSlots(states[right], now) > FreeBatchSlots(states[left], now)
             ? right
             : left;
}

auto Router::RecordSend(State& state,
                        bool batch,
                        double mean,
                        RouteReason reason,
                        RouteChoice& choice) -> void {
  auto now = clock_();
  if (IsStale(state, now)) {
    // The mean replaces the stale report, so that this request counts for the
    // ones that follow.
    state.in_flight = mean * state.limit;
    state.reported_at = now;
    state.reported = false;
    state.sent_since = 0;
    state.batch_sent_since = 0;
  }
  if (batch) {
    ++state.batch_sent_since;
  } else {
    ++state.sent_since;
  }
  state.probe_due = false;
  choice.replica = state.replica;
  choice.explanation.reason = reason;
}

}  // namespace kumquatgauge::routing
