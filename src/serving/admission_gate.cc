#include "kumquatgauge/serving/admission_gate.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace kumquatgauge::serving {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using std::chrono::milliseconds;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
// Fraction of the latency target that a request waits for capacity before it is
// refused. A caller that is refused early has time to retry and still be served
// on time.
constexpr double kWaitShare = 0.2;

}  // namespace

auto AdmissionOutcomeName(AdmissionOutcome outcome) -> std::string_view {
  switch (outcome) {
    case AdmissionOutcome::kNotNeeded:
      return "not_needed";
    case AdmissionOutcome::kWaited:
      return "waited";
    case AdmissionOutcome::kRefusedAtOnce:
      return "refused_at_once";
    case AdmissionOutcome::kDisplaced:
      return "displaced";
    case AdmissionOutcome::kWaitEnded:
      return "wait_ended";
    case AdmissionOutcome::kCallerLeft:
      return "caller_left";
  }
  return "unknown";
}

AdmissionGate::AdmissionGate(AdmissionGateParts parts)
    : parts_(std::move(parts)),
      queue_(AdmissionQueueSettings(),
             parts_.clock,
             parts_.random,
             [this](const ServiceName& service) { return SupplyOf(service); }),
      waited_(
          parts_.metrics.counter("kqg_admissions_total{outcome=\"waited\"}")),
      refused_at_once_(parts_.metrics.counter(
          "kqg_admissions_total{outcome=\"refused_at_once\"}")),
      displaced_(parts_.metrics.counter(
          "kqg_admissions_total{outcome=\"displaced\"}")),
      wait_ended_(parts_.metrics.counter(
          "kqg_admissions_total{outcome=\"wait_ended\"}")),
      returned_served_(parts_.metrics.counter(
          "kqg_returned_callers_total{outcome=\"served\"}")),
      returned_refused_(parts_.metrics.counter(
          "kqg_returned_callers_total{outcome=\"refused\"}")) {}

auto AdmissionGate::Arrive(const CallerRequest& request,
                           const Route& route,
                           const ServiceName& service,
                           MonotonicTime arrived,
                           MonotonicTime deadline) -> Visit {
  auto visit = Visit();
  visit.request = {
      .service = service,
      .route = route.name,
      .organisation = request.organisation,
      .priority = request.priority,
      .rank = route.rank,
      .work = WorkOf(request.prompt_tokens, request.max_output_tokens),
      .start_by = arrived + std::chrono::duration_cast<Duration>(
                                route.latency_target * kWaitShare),
      .deadline = deadline,
      .time_limit = request.time_limit};
  visit.request.returning = queue_.OnArrival(visit.request);
  return visit;
}

auto AdmissionGate::MustWait(const Visit& visit) const -> bool {
  return !visit.ticket && queue_.MustWait(visit.request);
}

auto AdmissionGate::Wait(Visit& visit,
                         MonotonicTime until,
                         std::shared_ptr<caller::ResponseWriter> writer)
    -> awaitable<bool> {
  if (!visit.ticket) {
    const auto placement = queue_.Enqueue(visit.request);
    std::for_each(placement.displaced.begin(), placement.displaced.end(),
                  [this](auto ticket) { Wake(ticket); });
    visit.ticket = placement.ticket;
    if (!visit.ticket) {
      visit.outcome = AdmissionOutcome::kRefusedAtOnce;
      co_return false;
    }
  }
  const auto ticket = *visit.ticket;
  const auto timer =
      std::make_shared<asio::steady_timer>(parts_.executor, until);
  timers_[ticket] = timer;
  writer->OnDisconnect([timer] { timer->cancel(); });
  co_await timer->async_wait(kAwaitTuple);
  writer->OnDisconnect(nullptr);
  timers_.erase(ticket);
  if (!queue_.IsWaiting(ticket)) {
    visit.outcome = AdmissionOutcome::kDisplaced;
    co_return false;
  }
  co_return true;
}

auto AdmissionGate::End(Visit& visit, bool starts, bool full, bool disconnected)
    -> void {
  const auto waited = std::exchange(visit.ticket, std::nullopt);
  if (waited) {
    queue_.Leave(*waited, starts);
  } else if (starts) {
    queue_.OnStarted(visit.request);
  }
  if (!visit.refused()) {
    visit.outcome = disconnected ? AdmissionOutcome::kCallerLeft
                    : full || (waited && !starts) ? AdmissionOutcome::kWaitEnded
                    : waited                      ? AdmissionOutcome::kWaited
                             : AdmissionOutcome::kNotNeeded;
  }
  if (full) {
    queue_.OnFull(visit.request.service);
  }
  Count(visit, starts, full);
  if (waited) {
    OnCapacityFreed();
  }
}

auto AdmissionGate::OnCapacityFreed() -> void {
  for (const auto ticket : queue_.Fronts()) {
    Wake(ticket);
  }
}

auto AdmissionGate::RetryAfter(const Visit& visit,
                               std::optional<Duration> next_start)
    -> milliseconds {
  const auto time = next_start
                        ? queue_.RetryAfterStart(visit.request, *next_start)
                        : queue_.RetryAfter(visit.request);
  return std::chrono::duration_cast<milliseconds>(time);
}

auto AdmissionGate::Wake(AdmissionQueue::Ticket ticket) -> void {
  const auto timer = timers_.find(ticket);
  if (timer != timers_.end()) {
    timer->second->cancel();
  }
}

// Batch items hold their slots many times longer and are left out.
auto AdmissionGate::SupplyOf(const ServiceName& service) const -> SlotSupply {
  const auto slots = parts_.load_balancer.slots(service);
  const auto batch = parts_.load_balancer.Total(service).batch;
  return {
      .slots = slots - std::min(slots, batch),
      .hold = parts_.load_balancer.mean_hold(service),
      .gateways = std::as_const(parts_.load_balancer).start_limiter().nodes()};
}

auto AdmissionGate::Count(const Visit& visit, bool starts, bool full) -> void {
  switch (visit.outcome) {
    case AdmissionOutcome::kWaited:
      waited_.Add();
      break;
    case AdmissionOutcome::kRefusedAtOnce:
      refused_at_once_.Add();
      break;
    case AdmissionOutcome::kDisplaced:
      displaced_.Add();
      break;
    case AdmissionOutcome::kWaitEnded:
      wait_ended_.Add();
      break;
    case AdmissionOutcome::kNotNeeded:
    case AdmissionOutcome::kCallerLeft:
      break;
  }
  if (visit.request.returning && (starts || full)) {
    (starts ? returned_served_ : returned_refused_).Add();
  }
}

}  // namespace kumquatgauge::serving
