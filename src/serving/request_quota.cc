#include "kumquatgauge/serving/request_quota.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "kumquatgauge/base/seconds.h"

namespace kumquatgauge::serving {
namespace {

// Bounded, so that a tiny rate does not exceed the range of Duration.
auto FromSeconds(double seconds, Duration max) -> Duration {
  return kumquatgauge::FromSeconds(std::min(seconds, ToSeconds(max)));
}

}  // namespace

auto RequestQuotaReasonName(RequestQuotaReason reason) -> std::string_view {
  switch (reason) {
    case RequestQuotaReason::kNoLimit:
      return "no_limit";
    case RequestQuotaReason::kGranted:
      return "granted";
    case RequestQuotaReason::kGrantedLocally:
      return "granted_locally";
    case RequestQuotaReason::kRefused:
      return "refused";
    case RequestQuotaReason::kRefusedLocally:
      return "refused_locally";
  }
  return "unknown";
}

RequestQuota::RequestQuota(RequestQuotaSettings settings,
                           std::uint64_t first_sequence,
                           RequestQuotaHooks hooks)
    : settings_(settings),
      hooks_(std::move(hooks)),
      sequence_(first_sequence),
      started_(hooks_.clock()) {}

auto RequestQuota::SetLimits(RequestLimits limits) -> void {
  auto undecided = std::vector<Done>();
  std::erase_if(states_, [&](auto& entry) {
    if (limits.contains(entry.first)) {
      return false;
    }
    std::move(entry.second.waiting.begin(), entry.second.waiting.end(),
              std::back_inserter(undecided));
    return true;
  });
  for (const auto& [organisation, limit] : limits) {
    const auto [state, added] = states_.try_emplace(organisation);
    state->second.limit = limit;
    if (added) {
      state->second.decided = hooks_.clock();
    }
  }
  for (const auto& done : undecided) {
    done({.granted = true, .reason = RequestQuotaReason::kNoLimit});
  }
}

auto RequestQuota::settling() const -> bool {
  return !settled_ && hooks_.clock() - started_ < settings_.settle_time;
}

auto RequestQuota::AcceptsAtStart(const RequestLimit& limit) const -> bool {
  const auto demand = limit.rate * (settings_.max_start_demand - 1);
  return settling() &&
         ToSeconds(hooks_.clock() - started_) * demand < settings_.start_tokens;
}

auto RequestQuota::FleetSize() const -> std::size_t {
  const auto known = hooks_.known_nodes();
  return known <= 1 || settling()
             ? std::max(known, settings_.unknown_fleet_size)
             : known;
}

auto RequestQuota::Reserve(const OrganisationName& organisation, Done done)
    -> void {
  const auto found = states_.find(organisation);
  if (found == states_.end()) {
    done({.granted = true, .reason = RequestQuotaReason::kNoLimit});
    return;
  }
  auto& state = found->second;
  if (const auto decision = DecideNow(state)) {
    done(*decision);
    return;
  }
  state.waiting.push_back(std::move(done));
  if (!state.ask) {
    Ask(organisation);
  }
}

auto RequestQuota::DecideNow(State& state)
    -> std::optional<RequestQuotaDecision> {
  if (state.tokens > 0) {
    return UseToken(state);
  }
  if (state.ask) {
    return std::nullopt;
  }
  const auto now = hooks_.clock();
  if (now < state.refused_until) {
    return Reject(state);
  }
  if (now < state.local_until || !hooks_.connected()) {
    return DecideLocally(state);
  }
  return std::nullopt;
}

auto RequestQuota::DropOldUses(State& state) const -> void {
  const auto oldest = hooks_.clock() - settings_.ahead_time;
  while (!state.used.empty() && state.used.front() < oldest) {
    state.used.pop_front();
  }
}

auto RequestQuota::UseToken(State& state) -> RequestQuotaDecision {
  --state.tokens;
  DropOldUses(state);
  state.used.push_back(hooks_.clock());
  return {.granted = true, .reason = RequestQuotaReason::kGranted};
}

auto RequestQuota::Reject(State& state) -> RequestQuotaDecision {
  const auto now = hooks_.clock();
  ++state.rejected;
  const auto at = std::max(state.next_retry, state.refused_until);
  // The other nodes reject at the same time, and all share the rate.
  state.next_retry =
      at + FromSeconds(static_cast<double>(FleetSize()) / state.limit.rate,
                       settings_.max_retry_after);
  return {.granted = false,
          .retry_after = std::clamp(at - now, settings_.min_retry_after,
                                    settings_.max_retry_after),
          .reason = RequestQuotaReason::kRefused};
}

auto RequestQuota::DecideLocally(State& state) -> RequestQuotaDecision {
  constexpr std::uint64_t kSteps = 1'000'000;
  const auto now = hooks_.clock();
  if (AcceptsAtStart(state.limit)) {
    state.decided = now;
    return {.granted = true, .reason = RequestQuotaReason::kGrantedLocally};
  }
  const auto rate = settings_.local_share * state.limit.rate /
                    static_cast<double>(FleetSize());
  const auto probability = rate * ToSeconds(now - state.decided);
  const auto per_request = FromSeconds(1.0 / rate, settings_.max_local_carry);
  // What exceeds the time of one request counts for the next one, so that
  // irregular arrivals below the rate are accepted.
  const auto carry = std::clamp(
      now - state.decided - FromSeconds(1.0 / rate, std::chrono::hours(1)),
      Duration::zero(), per_request);
  state.decided = now;
  const auto draw =
      static_cast<double>(hooks_.random() % kSteps) / double{kSteps};
  if (draw < probability) {
    state.decided = now - carry;
    return {.granted = true, .reason = RequestQuotaReason::kGrantedLocally};
  }
  return {.granted = false,
          .retry_after = std::max(
              settings_.min_retry_after,
              FromSeconds(1.0 / rate, settings_.max_local_retry_after)),
          .reason = RequestQuotaReason::kRefusedLocally};
}

auto RequestQuota::Ask(const OrganisationName& organisation) -> void {
  auto& state = states_.at(organisation);
  DropOldUses(state);
  auto ask = RequestAsk();
  ask.organisation = organisation;
  ask.sequence = ++sequence_;
  ask.needed = static_cast<std::uint32_t>(state.waiting.size());
  ask.ahead = static_cast<std::uint32_t>(state.used.size());
  ask.rejected = std::exchange(state.rejected, 0);
  state.ask = ask;
  state.asked = hooks_.clock();
  state.repeated = false;
  state.extended = false;
  ++asks_;
  hooks_.send(ask);
}

auto RequestQuota::OnGrant(const RequestGrant& grant) -> void {
  const auto found = states_.find(grant.organisation);
  if (found == states_.end() || !found->second.ask ||
      found->second.ask->sequence != grant.sequence) {
    return;
  }
  auto& state = found->second;
  const auto now = hooks_.clock();
  state.ask.reset();
  state.decided = now;
  state.tokens += grant.tokens;
  state.tokens_expire = now + settings_.hold_time;
  if (grant.pause > Duration::zero()) {
    if (now - state.pause_window >= settings_.pause_window) {
      state.pause_window = now;
      state.pauses = 0;
    }
    const auto is_short = ++state.pauses <= settings_.max_short_pauses;
    state.refused_until =
        now +
        (is_short ? grant.pause : std::max(grant.pause, settings_.long_pause));
    state.next_retry = now + grant.retry_after;
  }
  ServeWaiting(grant.organisation);
}

auto RequestQuota::ServeWaiting(const OrganisationName& organisation) -> void {
  auto waiting = std::exchange(states_.at(organisation).waiting, {});
  while (!waiting.empty()) {
    const auto state = states_.find(organisation);
    if (state == states_.end()) {
      // The limit was removed by a caller that was told its decision.
      waiting.front()(
          {.granted = true, .reason = RequestQuotaReason::kNoLimit});
      waiting.pop_front();
      continue;
    }
    const auto decision = DecideNow(state->second);
    if (!decision) {
      break;
    }
    const auto done = std::move(waiting.front());
    waiting.pop_front();
    done(*decision);
  }
  if (waiting.empty()) {
    return;
  }
  auto& state = states_.at(organisation);
  state.waiting.insert(state.waiting.begin(),
                       std::make_move_iterator(waiting.begin()),
                       std::make_move_iterator(waiting.end()));
  if (!state.ask) {
    Ask(organisation);
  }
}

auto RequestQuota::Refund(const OrganisationName& organisation) -> void {
  const auto found = states_.find(organisation);
  if (found == states_.end()) {
    return;
  }
  auto& state = found->second;
  if (state.tokens++ == 0) {
    state.tokens_expire = hooks_.clock() + settings_.hold_time;
  }
  if (!state.waiting.empty()) {
    ServeWaiting(organisation);
  }
}

auto RequestQuota::OnAskTimeout(const OrganisationName& organisation,
                                State& state) -> void {
  ++timeouts_;
  state.ask.reset();
  state.local_until = hooks_.clock() + settings_.local_time;
  ServeWaiting(organisation);
}

auto RequestQuota::OnTick() -> void {
  const auto now = hooks_.clock();
  auto timed_out = std::vector<OrganisationName>();
  for (auto& [organisation, state] : states_) {
    const auto late = now - state.asked - settings_.ask_timeout;
    if (!state.ask || late < Duration::zero()) {
      continue;
    }
    if (late >= settings_.late_tick && !std::exchange(state.extended, true)) {
      state.asked = now - settings_.ask_timeout + settings_.late_tick;
    } else {
      timed_out.push_back(organisation);
    }
  }
  for (const auto& organisation : timed_out) {
    const auto state = states_.find(organisation);
    if (state != states_.end() && state->second.ask) {
      OnAskTimeout(organisation, state->second);
    }
  }
  auto asks = std::vector<RequestAsk>();
  for (auto& [organisation, state] : states_) {
    if (state.ask && !state.repeated &&
        now - state.asked >= settings_.repeat_after) {
      state.repeated = true;
      asks.push_back(*state.ask);
    }
    // An outstanding ask has a lower sequence than a return, which would make
    // the keeper ignore it when it is repeated.
    if (state.tokens > 0 && !state.ask && now >= state.tokens_expire) {
      auto ask = RequestAsk();
      ask.organisation = organisation;
      ask.sequence = ++sequence_;
      ask.returned = std::exchange(state.tokens, 0);
      ask.rejected = std::exchange(state.rejected, 0);
      asks.push_back(ask);
    }
  }
  for (const auto& ask : asks) {
    hooks_.send(ask);
  }
}

auto RequestQuota::next_event() const -> std::optional<MonotonicTime> {
  auto next = std::optional<MonotonicTime>();
  const auto consider = [&](MonotonicTime time) {
    next = next ? std::min(*next, time) : time;
  };
  for (const auto& [organisation, state] : states_) {
    if (state.ask) {
      consider(state.asked + (state.repeated ? settings_.ask_timeout
                                             : settings_.repeat_after));
    } else if (state.tokens > 0) {
      consider(state.tokens_expire);
    }
  }
  return next;
}

}  // namespace kumquatgauge::serving
