#include "kumquatgauge/serving/admission_queue.h"

#include <algorithm>
#include <iterator>

#include "kumquatgauge/base/seconds.h"

namespace kumquatgauge::serving {

AdmissionQueue::AdmissionQueue(
    AdmissionQueueSettings settings,
    Clock clock,
    RandomSource random,
    std::function<auto(const ServiceName&)->SlotSupply> supply)
    : settings_(settings),
      clock_(std::move(clock)),
      random_(std::move(random)),
      supply_(std::move(supply)),
      estimator_(settings.retry_after) {}

auto AdmissionQueue::OnArrival(const AdmissionRequest& request) -> bool {
  const auto found = states_.find(request.service);
  if (found == states_.end()) {
    return false;
  }
  auto& state = found->second;
  ExpirePromises(state);
  if (request.organisation) {
    state.shares.OnRequest(*request.organisation, request.work, clock_());
  }
  const auto returning =
      usual_time_limit_.OnRequest(request.route, request.time_limit);
  if (returning && !state.promises.empty()) {
    // Callers may return at another gateway, and those refused there come here,
    // so any returning caller takes the slot that is due first.
    state.promises.erase(state.promises.begin());
  }
  return returning;
}

auto AdmissionQueue::MustWait(const AdmissionRequest& request) const -> bool {
  const auto found = states_.find(request.service);
  if (found == states_.end() || found->second.queue.empty()) {
    return false;
  }
  const auto& state = found->second;
  return state.queue.begin()->first <=
         OrderOf(state, request, last_ticket_ + 1);
}

auto AdmissionQueue::Enqueue(const AdmissionRequest& request) -> Placement {
  auto& state = states_[request.service];
  OnShortage(state);
  ExpirePromises(state);
  const auto interval = SlotInterval(supply_(request.service));
  const auto order = OrderOf(state, request, last_ticket_ + 1);
  auto& queue = state.queue;
  if (!request.must_wait) {
    auto ahead = std::distance(queue.begin(), queue.lower_bound(order));
    if (!request.returning) {
      ahead += std::count_if(
          state.promises.begin(), state.promises.upper_bound(request.start_by),
          [&](const auto& entry) {
            const auto& promise = entry.second;
            return std::pair(promise.priority, promise.rank) <=
                   std::pair(request.priority, request.rank);
          });
    }
    const auto expected = ExpectedSlots(interval, request.start_by);
    if (expected < settings_.min_expected_slots ||
        static_cast<double>(ahead) >= expected) {
      return {};
    }
  }
  const auto ticket = ++last_ticket_;
  tickets_.emplace(ticket, std::pair(request.service, order));
  queue.emplace(order, Entry{request, Charge(state, request)});
  auto placement = Placement{.ticket = ticket, .displaced = {}};
  while (true) {
    const auto& [last_order, last] = *queue.rbegin();
    if (last_order.ticket == ticket || last.request.must_wait ||
        static_cast<double>(queue.size() - 1) <
            ExpectedSlots(interval, last.request.start_by)) {
      break;
    }
    placement.displaced.push_back(last_order.ticket);
    Leave(last_order.ticket, false);
  }
  return placement;
}

auto AdmissionQueue::IsWaiting(Ticket ticket) const -> bool {
  return tickets_.contains(ticket);
}

auto AdmissionQueue::Leave(Ticket ticket, bool starts) -> void {
  const auto found = tickets_.find(ticket);
  if (found == tickets_.end()) {
    return;
  }
  auto& state = states_.at(found->second.first);
  const auto entry = state.queue.find(found->second.second);
  const auto& request = entry->second.request;
  if (starts) {
    Advance(state, request.work);
  } else if (request.organisation) {
    state.share.Refund(*request.organisation, entry->second.charged);
  }
  state.queue.erase(entry);
  tickets_.erase(found);
}

auto AdmissionQueue::OnStarted(const AdmissionRequest& request) -> void {
  const auto found = states_.find(request.service);
  if (found != states_.end() && IsShort(found->second)) {
    Charge(found->second, request);
    Advance(found->second, request.work);
  }
}

auto AdmissionQueue::Fronts() const -> std::vector<Ticket> {
  auto fronts = std::vector<Ticket>();
  for (const auto& [service, state] : states_) {
    if (!state.queue.empty()) {
      fronts.push_back(state.queue.begin()->first.ticket);
    }
  }
  return fronts;
}

auto AdmissionQueue::size(const ServiceName& service) const -> std::size_t {
  const auto found = states_.find(service);
  return found == states_.end() ? 0 : found->second.queue.size();
}

auto AdmissionQueue::OnFull(const ServiceName& service) -> void {
  OnShortage(states_[service]);
  estimator_.OnFull(service, clock_());
}

auto AdmissionQueue::RetryAfter(const AdmissionRequest& request) -> Duration {
  const auto now = clock_();
  auto& state = states_[request.service];
  ExpirePromises(state);
  const auto supply = supply_(request.service);
  const auto interval = SlotInterval(supply).value_or(supply.hold);
  const auto window = estimator_.ReturnWindow(request.service, now, supply.hold,
                                              request.deadline - now);
  const auto first_slot =
      interval * static_cast<Duration::rep>(state.queue.size() + 1);
  const auto earliest =
      std::min(window.latest, std::max(window.earliest, first_slot));
  const auto latest = now + window.latest;
  const auto slot =
      FindReturn(state, now + earliest, latest, interval, request.deadline);
  const auto may_keep =
      slot || static_cast<double>(state.promises.size()) <
                  settings_.max_promises * ExpectedSlots(interval, latest);
  if (may_keep && !request.returning) {
    state.promises.emplace(
        slot.value_or(latest),
        Promise{request.deadline, request.priority, request.rank, false});
  }
  return slot.value_or(latest) - now;
}

auto AdmissionQueue::RetryAfterStart(const AdmissionRequest& request,
                                     Duration next_start) -> Duration {
  constexpr std::uint64_t kSteps = 1'000;
  const auto draw = static_cast<double>(random_() % kSteps) / kSteps;
  return estimator_.RetryAfterStart(next_start, request.deadline - clock_(),
                                    draw);
}

auto AdmissionQueue::promised(const ServiceName& service) const -> std::size_t {
  const auto found = states_.find(service);
  return found == states_.end() ? 0 : found->second.promises.size();
}

auto AdmissionQueue::OrderOf(const State& state,
                             const AdmissionRequest& request,
                             Ticket ticket) const -> Order {
  auto order = Order();
  order.priority = request.priority;
  order.rank = request.rank;
  order.is_new = !request.returning;
  order.start_by = request.start_by;
  order.ticket = ticket;
  if (request.organisation) {
    const auto lead =
        state.share.Start(*request.organisation) - state.share.virtual_time();
    order.lead = static_cast<std::uint32_t>(lead / state.shares.typical());
  }
  return order;
}

auto AdmissionQueue::Charge(State& state, const AdmissionRequest& request) const
    -> double {
  if (!request.organisation) {
    return 0.0;
  }
  const auto& organisation = *request.organisation;
  const auto before = state.share.Start(organisation);
  const auto finish = state.share.Charge(
      organisation, request.work / state.shares.Weight(organisation),
      settings_.max_lead * state.shares.typical());
  return std::max(0.0, finish - before);
}

// With usual loads, each organisation's tags advance as fast as the virtual
// time.
auto AdmissionQueue::Advance(State& state, double work) const -> void {
  const auto organisations = state.shares.organisations();
  if (organisations > 0) {
    state.share.AdvanceTo(state.share.virtual_time() +
                          work * (1.0 + settings_.usual_slack) /
                              static_cast<double>(organisations));
  }
}

auto AdmissionQueue::IsShort(const State& state) const -> bool {
  return clock_() - state.full_at < settings_.retry_after.full_period_gap;
}

auto AdmissionQueue::OnShortage(State& state) const -> void {
  if (!IsShort(state) && state.queue.empty()) {
    state.share = routing::FairShare();
  }
  state.full_at = clock_();
}

auto AdmissionQueue::SlotInterval(const SlotSupply& supply)
    -> std::optional<Duration> {
  if (supply.slots == 0) {
    return std::nullopt;
  }
  return supply.hold * static_cast<Duration::rep>(supply.gateways) /
         supply.slots;
}

auto AdmissionQueue::ExpectedSlots(std::optional<Duration> interval,
                                   MonotonicTime until) const -> double {
  if (!interval) {
    return 0.0;
  }
  const auto time = std::max(0.0, ToSeconds(until - clock_()));
  return time / std::max(ToSeconds(*interval), 1e-6);
}

auto AdmissionQueue::ExpirePromises(State& state) const -> void {
  state.promises.erase(
      state.promises.begin(),
      state.promises.lower_bound(clock_() - settings_.return_grace));
}

auto AdmissionQueue::FindReturn(State& state,
                                MonotonicTime earliest,
                                MonotonicTime latest,
                                Duration interval,
                                MonotonicTime deadline)
    -> std::optional<MonotonicTime> {
  auto slot = earliest;
  // The first slot promised to a caller that is served after this one.
  auto later = state.promises.end();
  for (auto at = state.promises.begin(); at != state.promises.end(); ++at) {
    const auto& [due, promise] = *at;
    if (due + interval <= earliest) {
      continue;
    }
    if (slot + interval <= due) {
      break;
    }
    if (later == state.promises.end() && !promise.taken_over &&
        due >= earliest && due <= latest && promise.deadline > deadline) {
      later = at;
    }
    slot = std::max(slot, due + interval);
  }
  if (slot <= latest) {
    return slot;
  }
  if (later == state.promises.end()) {
    return std::nullopt;
  }
  later->second.taken_over = true;
  return later->first;
}

}  // namespace kumquatgauge::serving
