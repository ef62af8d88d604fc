#include "kumquatgauge/serving/batch_allocator.h"

#include <algorithm>
#include <cmath>

namespace kumquatgauge::serving {
namespace {

// Of the slots in use by requests that arrive independently.
auto DeviationOf(double slots) -> double {
  return std::sqrt(std::max(1.0, slots));
}

}  // namespace

auto BatchLoadOf(const LoadBalancer& balancer,
                 const ServiceName& service,
                 std::size_t owners) -> BatchLoad {
  const auto yieldable = balancer.YieldableBatch(service);
  return {balancer.RoomOf(service),
          balancer.batch_reserve(),
          balancer.Total(service),
          balancer.UrgentBatchCapacity(service),
          yieldable.own,
          yieldable.fleet,
          std::max<std::size_t>(1, owners)};
}

auto OnlineWait(const Configuration& configuration, const ServiceName& service)
    -> Duration {
  // Requests that queue at a replica for this share of their target are still
  // on time, see LoadBalancerSettings::queue_share.
  const auto queue_share = LoadBalancerSettings().queue_share;
  auto shortest = std::chrono::milliseconds::max();
  for (const auto& route : configuration.routes) {
    const auto serves = std::any_of(
        route.services.begin(), route.services.end(),
        [&](const auto& entry) { return entry.service == service; });
    if (serves && route.kind != RequestKind::kBatch &&
        route.latency_target > std::chrono::milliseconds::zero()) {
      shortest = std::min(shortest, route.latency_target);
    }
  }
  return shortest == std::chrono::milliseconds::max()
             ? Duration::zero()
             : std::chrono::duration_cast<Duration>(shortest * queue_share);
}

auto BatchAllocator::OnLoad(const ServiceName& service,
                            std::uint32_t online_slots,
                            MonotonicTime now) -> void {
  forecast_.OnSample(service, online_slots, now);
}

auto BatchAllocator::Watch(const std::vector<ServiceName>& services) -> void {
  for (const auto& service : services) {
    claims_.try_emplace(service);
  }
}

auto BatchAllocator::services() const -> std::vector<ServiceName> {
  auto names = std::vector<ServiceName>();
  for (const auto& [service, claim] : claims_) {
    names.push_back(service);
  }
  return names;
}

auto BatchAllocator::ReserveIf(const LoadForecast::Outlook& outlook,
                               const BatchLoad& load,
                               Duration quiet_time) const -> double {
  const auto& rise = outlook.rise;
  if (!rise || rise->until < quiet_time || load.room.slots == 0) {
    return load.reserve;
  }
  return std::min(load.reserve, settings_.trough_deviations *
                                    DeviationOf(load.in_flight.online) /
                                    load.room.slots);
}

auto BatchAllocator::LeastShare(const BatchLoad& load) const -> double {
  return settings_.all_owners_share / static_cast<double>(load.owners);
}

auto BatchAllocator::Round(double part) -> std::size_t {
  constexpr auto kResolution = std::uint64_t{1} << 20U;
  const auto whole = std::floor(part);
  const auto rest = static_cast<std::uint64_t>((part - whole) * kResolution);
  return static_cast<std::size_t>(whole) +
         (random_() % kResolution < rest ? 1 : 0);
}

auto BatchAllocator::UpdateShare(Claim& claim,
                                 const BatchLoad& load,
                                 std::size_t running) const -> void {
  const auto batch = std::size_t{load.in_flight.batch};
  const auto others = batch - std::min(batch, running);
  const auto least = LeastShare(load);
  if (claim.active) {
    const auto risen = others - std::min(others, claim.others);
    // As many owners as would have taken this at this node's share.
    const auto owners =
        1.0 + static_cast<double>(risen) /
                  static_cast<double>(std::max<std::size_t>(1, claim.taken));
    claim.share =
        std::clamp(settings_.all_owners_share / owners, least,
                   std::max(least, claim.share) * settings_.share_growth);
  } else {
    claim.share = least;
  }
  claim.others = others;
}

auto BatchAllocator::Starts(const ServiceName& service,
                            const BatchLoad& load,
                            const BatchDemand& demand,
                            MonotonicTime now) -> StartLimits {
  auto& claim = claims_[service];
  const auto outlook = forecast_.OutlookOf(service, now);
  const auto free = std::max<std::int64_t>(
      0, load.room.Free(ReserveIf(outlook, load, demand.run_time)));
  UpdateShare(claim, load, demand.running);
  claim.active = demand.waiting > 0 && free > 0;
  const auto slots_free = static_cast<double>(free);
  const auto steady =
      std::max(0.0, slots_free - settings_.growth_deviations *
                                     DeviationOf(load.in_flight.online));
  auto limits = StartLimits();
  limits.free =
      Round(steady * claim.share + (slots_free - steady) * LeastShare(load) *
                                       settings_.slow_start_share);
  limits.lasting = limits.free;
  limits.urgent =
      Round(load.urgent * LeastShare(load) * settings_.slow_start_share);
  claim.taken = std::min(demand.waiting, limits.free);
  if (!outlook.regular) {
    return limits;
  }
  const auto lasting =
      std::min(slots_free, LastingSlots(outlook, load, demand.run_time));
  limits.lasting = std::min(limits.free, Round(lasting * claim.share));
  limits.until_rise = outlook.rise ? outlook.rise->until : Duration::zero();
  return limits;
}

auto BatchAllocator::LastingSlots(const LoadForecast::Outlook& outlook,
                                  const BatchLoad& load,
                                  Duration run_time) const -> double {
  const auto online = outlook.NeededSlots(run_time);
  // Items that still run at the rise, if their starts were spread evenly.
  const auto until = outlook.rise ? outlook.rise->until : Duration::zero();
  const auto running =
      load.in_flight.batch *
      (1.0 - std::min(1.0, std::chrono::duration<double>(until) /
                               std::chrono::duration<double>(run_time)));
  // Items at limited replicas do not stop for online requests.
  return load.room.batch_starts +
         std::max(0.0, load.room.slots * (1.0 - load.reserve) - online -
                           settings_.lasting_deviations * DeviationOf(online) -
                           running);
}

auto BatchAllocator::Yields(const ServiceName& service,
                            const BatchLoad& load,
                            MonotonicTime now) -> std::size_t {
  const auto free = load.room.Free(ReserveIf(forecast_.OutlookOf(service, now),
                                             load, settings_.reserve_lead));
  // Every owner sees the same excess, and takes the part of its own items.
  return free >= 0 ? 0
                   : Round(static_cast<double>(-free) * load.own /
                           std::max(1U, load.all));
}

}  // namespace kumquatgauge::serving
