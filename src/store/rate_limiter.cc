#include "kumquatgauge/store/rate_limiter.h"

#include <algorithm>
#include <chrono>

#include "kumquatgauge/base/seconds.h"

namespace kumquatgauge::store {
namespace {

// Part of the fair share by which the rate increases per second while calls
// wait. At the target scale a busy node reaches the limit of a tenth of the
// fleet's rate in about half a minute.
constexpr double kIncreasePerSecond = 1.0;
constexpr double kDecreaseFactor = 0.5;

}  // namespace

RateLimiter::RateLimiter(RateLimits limits) : limits_(limits) {
  for (const auto kind : {CallKind::kRead, CallKind::kWrite}) {
    bucket(kind).rate = FairShare(kind);
    bucket(kind).tokens = Capacity(bucket(kind));
  }
}

auto RateLimiter::FairShare(CallKind kind) const -> double {
  const auto fleet =
      kind == CallKind::kRead ? limits_.fleet_reads : limits_.fleet_writes;
  return fleet / std::max<std::uint32_t>(limits_.fleet_size, 1);
}

auto RateLimiter::MaxRate(CallKind kind) const -> double {
  const auto fleet =
      kind == CallKind::kRead ? limits_.fleet_reads : limits_.fleet_writes;
  return std::max(FairShare(kind), fleet * limits_.max_share);
}

auto RateLimiter::Capacity(const Bucket& bucket) const -> double {
  return std::max(kMinBurst, bucket.rate * limits_.burst_seconds);
}

auto RateLimiter::Enqueue(CallKind kind,
                          CallClass call_class,
                          MonotonicTime deadline) -> Ticket {
  const auto ticket = ++last_ticket_;
  bucket(kind)
      .queues.at(static_cast<std::size_t>(call_class))
      .push_back({ticket, deadline});
  return ticket;
}

auto RateLimiter::Cancel(Ticket ticket) -> void {
  for (auto& bucket : buckets_) {
    for (auto& queue : bucket.queues) {
      std::erase_if(queue, [&](const Waiting& waiting) {
        return waiting.ticket == ticket;
      });
    }
  }
}

auto RateLimiter::Refill(CallKind kind, MonotonicTime now) -> void {
  auto& refilled = bucket(kind);
  const auto elapsed = refilled.refilled
                           ? std::max(0.0, ToSeconds(now - *refilled.refilled))
                           : 0;
  const auto calls_wait =
      std::any_of(refilled.queues.begin(), refilled.queues.end(),
                  [](const auto& queue) { return !queue.empty(); });
  if (calls_wait && refilled.tokens < 1) {
    const auto increase = FairShare(kind) * kIncreasePerSecond * elapsed;
    refilled.rate = std::min(MaxRate(kind), refilled.rate + increase);
  }
  refilled.tokens =
      std::min(Capacity(refilled), refilled.tokens + elapsed * refilled.rate);
  refilled.refilled = now;
}

auto RateLimiter::Tick(MonotonicTime now) -> Actions {
  auto actions = Actions();
  const auto wake_at = [&](MonotonicTime time) {
    actions.next = actions.next ? std::min(*actions.next, time) : time;
  };
  for (const auto kind : {CallKind::kRead, CallKind::kWrite}) {
    Refill(kind, now);
    auto& current = bucket(kind);
    for (auto& queue : current.queues) {
      std::erase_if(queue, [&](const Waiting& waiting) {
        if (waiting.deadline > now) {
          return false;
        }
        actions.expired.push_back(waiting.ticket);
        return true;
      });
      while (!queue.empty() && current.tokens >= 1) {
        actions.admitted.push_back(queue.front().ticket);
        queue.pop_front();
        current.tokens -= 1;
      }
      if (!queue.empty()) {
        wake_at(now + FromSeconds((1 - current.tokens) / current.rate));
      }
      for (const auto& waiting : queue) {
        wake_at(waiting.deadline);
      }
    }
  }
  return actions;
}

auto RateLimiter::OnRateExceeded(CallKind kind, MonotonicTime now) -> void {
  Refill(kind, now);
  auto& exceeded = bucket(kind);
  exceeded.rate = std::max(FairShare(kind), exceeded.rate * kDecreaseFactor);
  exceeded.tokens = std::min(exceeded.tokens, 0.0);
}

auto RateLimiter::DrainBurst(MonotonicTime now) -> void {
  for (const auto kind : {CallKind::kRead, CallKind::kWrite}) {
    Refill(kind, now);
    bucket(kind).tokens = std::min(bucket(kind).tokens, 1.0);
  }
}

auto RateLimiter::SetFleetSize(std::uint32_t nodes) -> void {
  limits_.fleet_size = nodes;
  for (const auto kind : {CallKind::kRead, CallKind::kWrite}) {
    auto& current = bucket(kind);
    current.rate = std::clamp(current.rate, FairShare(kind), MaxRate(kind));
  }
}

auto RateLimiter::rate(CallKind kind) const -> double {
  return buckets_.at(static_cast<std::size_t>(kind)).rate;
}

auto RateLimiter::waiting() const -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& bucket : buckets_) {
    for (const auto& queue : bucket.queues) {
      count += queue.size();
    }
  }
  return count;
}

}  // namespace kumquatgauge::store
