#include "kumquatgauge/serving/zone_policy.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace kumquatgauge::serving {
namespace {

auto ToMs(Duration duration) -> double {
  return std::chrono::duration<double, std::milli>(duration).count();
}

auto Utilisation(const ZoneLoad& load) -> double {
  return load.slots > 0 ? load.in_flight / load.slots : 0.0;
}

// Returns a number from 0 to below 1.
auto ToUnit(std::uint64_t random) -> double {
  constexpr auto kUnusedBits = 11;
  constexpr auto kMantissaBits = 53;
  return std::ldexp(static_cast<double>(random >> kUnusedBits), -kMantissaBits);
}

}  // namespace

namespace detail {

auto ExpectedWaitMs(const ZoneLoad& load, Duration look_ahead) -> double {
  if (load.slots <= 0) {
    return 0.0;
  }
  // Holding times under a millisecond are measurement noise.
  const auto hold_ms = std::max(ToMs(load.hold), 1.0);
  const auto in_flight = std::max(load.in_flight, 0.0);
  // Requests that arrive and end at random at a steady load: after a time t the
  // number in flight has the variance n (1 - exp(-2 t / hold)).
  const auto deviation = std::sqrt(
      in_flight * (1.0 - std::exp(-2.0 * ToMs(look_ahead) / hold_ms)));
  const auto excess = in_flight + 1.0 - load.slots;
  auto ahead = std::max(excess, 0.0);
  auto queues = excess > 0.0 ? 1.0 : 0.0;  // Probability.
  constexpr double kLeastDeviation = 1e-6;
  if (deviation > kLeastDeviation) {
    // Mean of the positive part of a normal distribution.
    const auto scaled = excess / deviation;
    const auto density =
        std::exp(-scaled * scaled / 2.0) / std::sqrt(2.0 * std::numbers::pi);
    const auto below = std::erfc(-scaled / std::numbers::sqrt2) / 2.0;
    ahead = std::max(deviation * density + excess * below, 0.0);
    queues = below;
  }
  // Each replica has a queue of its own. A request that queues waits for one of
  // the slots of its replica, however many slots the zone has.
  return (ahead + queues * std::max(load.replicas, 1.0)) * hold_ms / load.slots;
}

}  // namespace detail

ZonePolicy::ZonePolicy(ZonePolicySettings settings,
                       ZoneCosts costs,
                       Clock clock,
                       RandomSource random)
    : settings_(settings),
      costs_(costs),
      clock_(std::move(clock)),
      random_(std::move(random)) {}

auto ZonePolicy::MayLeave(const ServiceName& service,
                          const ZoneLoad& own,
                          const ZoneLoad& others) -> bool {
  auto& state = states_[service];
  state.last.service = service;
  state.last.share = Decide(state, own, others);
  return state.last.share > 0.0 && ToUnit(random_()) < state.last.share;
}

auto ZonePolicy::CostMs(const State& state) const -> double {
  constexpr double kBytesPerMegabyte = 1e6;
  // The request crosses, and so does its answer.
  constexpr double kCrossings = 2.0;
  return kCrossings * costs_.delay_ms_per_crossing +
         costs_.cost_ms_per_megabyte * state.mean_bytes / kBytesPerMegabyte;
}

auto ZonePolicy::Decide(State& state,
                        const ZoneLoad& own,
                        const ZoneLoad& others) const -> double {
  auto& last = state.last;
  const auto wait = detail::ExpectedWaitMs(own, settings_.look_ahead);
  // The wait elsewhere is that of a zone of the same size. The sum of several
  // zones would always look better than each of them, so that requests of
  // equally busy zones would cross each other.
  auto elsewhere_load = own;
  elsewhere_load.in_flight = Utilisation(others) * own.slots;
  elsewhere_load.hold = others.hold;
  const auto elsewhere =
      detail::ExpectedWaitMs(elsewhere_load, settings_.look_ahead);
  last.gain_ms = wait - elsewhere;
  last.cost_ms = CostMs(state);
  last.utilisation = Utilisation(own);
  last.utilisation_elsewhere = Utilisation(others);
  if (own.slots <= 0 || others.slots <= 0) {
    // There is no choice between zones.
    state.pays = own.slots <= 0 && others.slots > 0;
    return state.pays ? 1.0 : 0.0;
  }
  const auto threshold =
      state.pays ? last.cost_ms : settings_.start_factor * last.cost_ms;
  state.pays = last.gain_ms > threshold &&
               last.utilisation >= settings_.least_utilisation;
  if (!state.pays) {
    return 0.0;
  }
  if (own.in_flight >= own.slots) {
    return 1.0;
  }
  const auto from = BreakEven(own, elsewhere, last.cost_ms);
  return std::clamp((own.in_flight - from) / (own.slots - from), 0.0, 1.0);
}

auto ZonePolicy::BreakEven(const ZoneLoad& own,
                           double wait_elsewhere,
                           double cost) const -> double {
  auto low = settings_.least_utilisation * own.slots;
  auto high = own.slots;
  constexpr auto kSteps = 12;
  for (auto step = 0; step < kSteps; ++step) {
    auto load = own;
    load.in_flight = (low + high) / 2.0;
    const auto gain =
        detail::ExpectedWaitMs(load, settings_.look_ahead) - wait_elsewhere;
    (gain > cost ? high : low) = load.in_flight;
  }
  return low;
}

auto ZonePolicy::OnSent(const ServiceName& service, bool left) -> void {
  auto& state = states_[service];
  ++state.traffic.requests;
  if (left) {
    ++state.traffic.requests_left;
    state.left = true;
    state.left_at = clock_();
  }
}

auto ZonePolicy::OnBytes(const ServiceName& service,
                         std::uint64_t bytes,
                         bool left) -> void {
  auto& state = states_[service];
  state.traffic.bytes += bytes;
  state.traffic.bytes_left += left ? bytes : 0;
  const auto sample = static_cast<double>(bytes);
  if (!std::exchange(state.has_bytes, true)) {
    state.mean_bytes = sample;
  }
  state.mean_bytes += (sample - state.mean_bytes) * settings_.bytes_smoothing;
}

auto ZonePolicy::share(const ServiceName& service) const -> double {
  const auto found = states_.find(service);
  return found == states_.end() ? 0.0 : found->second.last.share;
}

auto ZonePolicy::mean_bytes(const ServiceName& service) const -> double {
  const auto found = states_.find(service);
  return found == states_.end() ? 0.0 : found->second.mean_bytes;
}

auto ZonePolicy::TakeTraffic() -> std::map<ServiceName, ZoneTraffic> {
  auto traffic = std::map<ServiceName, ZoneTraffic>();
  for (auto& [service, state] : states_) {
    if (state.traffic != ZoneTraffic()) {
      traffic.emplace(service, std::exchange(state.traffic, {}));
    }
  }
  return traffic;
}

auto ZonePolicy::TakeChanges() -> std::vector<ZoneChange> {
  auto changes = std::vector<ZoneChange>();
  for (auto& [service, state] : states_) {
    const auto leaving =
        state.left && clock_() - state.left_at < settings_.report_end_after;
    if (leaving != state.last.leaving) {
      state.last.leaving = leaving;
      state.last.service = service;
      changes.push_back(state.last);
    }
  }
  return changes;
}

}  // namespace kumquatgauge::serving
