#include "kumquatgauge/store/circuit.h"

#include <algorithm>
#include <utility>

namespace kumquatgauge::store {

CircuitOpenError::CircuitOpenError(const std::string& object,
                                   Duration retry_after)
    : Error(ErrorKind::kUnavailable,
            "the platform is unavailable",
            object,
            "retry in " +
                std::to_string(
                    std::chrono::ceil<std::chrono::milliseconds>(retry_after)
                        .count()) +
                " ms"),
      retry_after_(retry_after) {}

Circuit::Circuit(CircuitOptions options, RandomSource random)
    : options_(options),
      random_(std::move(random)),
      backoff_(options.initial_backoff) {}

auto Circuit::StateName(State state) -> std::string_view {
  switch (state) {
    case State::kClosed:
      return "closed";
    case State::kOpen:
      return "open";
    case State::kProbing:
      return "probing";
  }
  return "";
}

auto Circuit::AllowCall(MonotonicTime now, bool may_probe) -> Decision {
  if (state_ == State::kClosed) {
    return {.allowed = true};
  }
  const auto blocked_until =
      state_ == State::kOpen ? open_until_ : probe_until_;
  if (now < blocked_until) {
    return {.allowed = false, .retry_after = blocked_until - now};
  }
  if (!may_probe) {
    return {.allowed = false, .retry_after = options_.initial_backoff};
  }
  state_ = State::kProbing;
  probe_until_ = now + options_.probe_timeout;
  return {.allowed = true};
}

auto Circuit::OnSuccess() -> void {
  recovered_ = recovered_ || state_ != State::kClosed;
  state_ = State::kClosed;
  failures_ = 0;
  backoff_ = options_.initial_backoff;
}

auto Circuit::OnFailure(MonotonicTime now) -> void {
  ++failures_;
  if (state_ == State::kProbing) {
    backoff_ = std::min(backoff_ * 2, options_.max_backoff);
    Open(now);
  } else if (state_ == State::kClosed &&
             failures_ >= options_.failures_to_open) {
    Open(now);
  }
}

auto Circuit::Open(MonotonicTime now) -> void {
  state_ = State::kOpen;
  const auto jitter = Duration(static_cast<Duration::rep>(
      random_() % static_cast<std::uint64_t>(backoff_.count() + 1)));
  open_until_ = now + backoff_ / 2 + jitter;
}

auto Circuit::TakeRecovered() -> bool {
  return std::exchange(recovered_, false);
}

}  // namespace kumquatgauge::store
