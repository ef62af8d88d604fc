#include "kumquatgauge/serving/replica_speed.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace kumquatgauge::serving {

namespace detail {

auto FreeSlotScore(double speed, double utilisation) -> double {
  // The time for a request is about speed * (1 + utilisation); that for all
  // requests of a replica grows by speed * (1 + 2 * utilisation) with each.
  const auto cost = speed * (1.0 + 2.0 * utilisation);
  // At the speed 1, the costs 1 to 3 become 0 to 1. Others are compressed at
  // both ends, so that the order stays and margins keep their meaning.
  const auto scaled = (cost - 1.0) / 2.0;
  constexpr double kKnee = 0.9;
  if (scaled < 0.0) {
    return scaled;
  }
  return scaled <= kKnee ? scaled : 1.0 - (1.0 - kKnee) * kKnee / scaled;
}

}  // namespace detail

ReplicaSpeed::ReplicaSpeed(ReplicaSpeedSettings settings, Clock clock)
    : settings_(settings), clock_(std::move(clock)) {}

auto ReplicaSpeed::SetReplicas(const std::vector<routing::Replica>& replicas)
    -> void {
  auto states = std::map<ReplicaId, State>();
  auto services = std::map<ServiceName, Service>();
  for (const auto& replica : replicas) {
    auto state = State();
    const auto known = states_.find(replica.id);
    if (known != states_.end() &&
        known->second.started_ms == replica.started_ms &&
        known->second.service == replica.service) {
      state = known->second;
    }
    state.service = replica.service;
    state.started_ms = replica.started_ms;
    auto& service = services[replica.service];
    const auto known_service = services_.find(replica.service);
    if (known_service != services_.end()) {
      service.mean_hold_s = known_service->second.mean_hold_s;
      service.told_used = known_service->second.told_used;
    }
    service.reports = service.reports || state.has_load;
    states.insert_or_assign(replica.id, state);
  }
  states_ = std::move(states);
  services_ = std::move(services);
  for (auto& [name, service] : services_) {
    FindExtremes(name, service);
  }
}

auto ReplicaSpeed::OnCompleted(const ReplicaId& replica, Duration held)
    -> void {
  const auto found = states_.find(replica);
  if (found == states_.end() || held <= Duration::zero()) {
    return;
  }
  auto& state = found->second;
  auto& service = services_[state.service];
  const auto held_s = std::chrono::duration<double>(held).count();
  if (service.mean_hold_s <= 0.0) {
    service.mean_hold_s = held_s;
  }
  service.mean_hold_s += (held_s - service.mean_hold_s) * settings_.smoothing;
  ++state.requests;
  // The plain average until there are enough requests.
  const auto weight =
      std::max(settings_.smoothing, 1.0 / static_cast<double>(state.requests));
  const auto ratio = held_s / service.mean_hold_s;
  state.mean += (ratio - state.mean) * weight;
  state.mean_square += (ratio * ratio - state.mean_square) * weight;
  const auto load = HasFreshLoad(state) ? state.load : 1.0;
  state.mean_load += (load - state.mean_load) * weight;
  UpdateExtremes(replica, state, service);
}

auto ReplicaSpeed::OnHostLoad(const ReplicaId& replica, double load) -> void {
  const auto found = states_.find(replica);
  if (found == states_.end() || !std::isfinite(load) || load <= 0.0) {
    return;
  }
  auto& state = found->second;
  state.load = std::clamp(load, 1.0 / settings_.slowest, settings_.slowest);
  state.has_load = true;
  state.load_at = clock_();
  services_[state.service].reports = true;
}

auto ReplicaSpeed::HasFreshLoad(const State& state) const -> bool {
  return state.has_load && clock_() - state.load_at < settings_.report_expires;
}

// Requests differ in length, so that averages of few requests differ even for
// equal replicas. Two standard errors of each average are left out.
auto ReplicaSpeed::MeanError(const State& state) const -> double {
  constexpr double kStandardErrors = 2.0;
  const auto variance =
      std::max(state.mean_square - state.mean * state.mean, 0.0);
  // An average with the weight w for the newest has the variance of about
  // 2 / w samples.
  const auto samples =
      std::min(static_cast<double>(state.requests), 2.0 / settings_.smoothing);
  return kStandardErrors * std::sqrt(variance / samples);
}

auto ReplicaSpeed::Compare(const ReplicaId& replica,
                           const State& state,
                           Service& service) const -> void {
  if (state.requests < settings_.least_requests) {
    return;
  }
  const auto error = MeanError(state);
  const auto most = state.mean + error;
  const auto least = state.mean - error;
  if (!service.fastest || most < service.fastest->bound) {
    service.fastest = Extreme{replica, most};
  }
  if (!service.slowest || least > service.slowest->bound) {
    service.slowest = Extreme{replica, least};
  }
}

auto ReplicaSpeed::FindExtremes(const ServiceName& name, Service& service) const
    -> void {
  service.fastest.reset();
  service.slowest.reset();
  for (const auto& [id, state] : states_) {
    if (state.service == name) {
      Compare(id, state, service);
    }
  }
}

auto ReplicaSpeed::UpdateExtremes(const ReplicaId& replica,
                                  const State& state,
                                  Service& service) const -> void {
  const auto is = [&](const std::optional<Extreme>& extreme) {
    return extreme && extreme->replica == replica;
  };
  const auto error = MeanError(state);
  const auto lost_fastest =
      is(service.fastest) && state.mean + error > service.fastest->bound;
  const auto lost_slowest =
      is(service.slowest) && state.mean - error < service.slowest->bound;
  if (lost_fastest || lost_slowest) {
    FindExtremes(state.service, service);
  } else {
    Compare(replica, state, service);
  }
}

auto ReplicaSpeed::Differ(const Service& service) const -> bool {
  return service.fastest && service.slowest &&
         service.slowest->bound >
             (1.0 + settings_.least_difference) * service.fastest->bound;
}

auto ReplicaSpeed::IsUsed(const ServiceName& service) const -> bool {
  const auto found = services_.find(service);
  return found != services_.end() &&
         (found->second.reports || Differ(found->second));
}

auto ReplicaSpeed::speed(const ReplicaId& replica) const -> double {
  const auto found = states_.find(replica);
  if (found == states_.end()) {
    return 1.0;
  }
  const auto& state = found->second;
  const auto learned =
      state.requests < settings_.least_requests ? 1.0 : state.mean;
  // A speed that is not known yet is that of the service at a normal load.
  const auto average_load =
      state.requests < settings_.least_requests ? 1.0 : state.mean_load;
  const auto load = HasFreshLoad(state) ? state.load : average_load;
  return std::clamp(learned * load / average_load, 1.0 / settings_.slowest,
                    settings_.slowest);
}

auto ReplicaSpeed::used_services() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(services_.begin(), services_.end(),
                    [this](const auto& entry) { return IsUsed(entry.first); }));
}

auto ReplicaSpeed::TakeChanges() -> std::vector<SpeedChange> {
  auto changes = std::vector<SpeedChange>();
  for (auto& [name, service] : services_) {
    const auto used = IsUsed(name);
    if (used == std::exchange(service.told_used, used)) {
      continue;
    }
    auto change = SpeedChange{.service = name,
                              .used = used,
                              .reports = service.reports,
                              .fastest = settings_.slowest,
                              .slowest = 0.0};
    for (const auto& [id, state] : states_) {
      if (state.service == name) {
        change.fastest = std::min(change.fastest, speed(id));
        change.slowest = std::max(change.slowest, speed(id));
      }
    }
    changes.push_back(change);
  }
  return changes;
}

}  // namespace kumquatgauge::serving
