#include "kumquatgauge/store/platform_client.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <unordered_map>
#include <utility>

#include "kumquatgauge/base/error.h"
#include "store/http_client.h"

namespace kumquatgauge::store {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto kTooManyRequests = 429;
constexpr auto kServerError = 500;
constexpr auto kServiceUnavailable = 503;

auto InMilliseconds(Duration duration) -> std::string {
  return std::to_string(
             std::chrono::ceil<std::chrono::milliseconds>(duration).count()) +
         " ms";
}

}  // namespace

struct PlatformClient::Impl : std::enable_shared_from_this<Impl> {
  enum class Admission { kWaiting, kAdmitted, kExpired };

  struct Waiter {
    explicit Waiter(const asio::any_io_executor& executor) : signal(executor) {
      signal.expires_at(asio::steady_timer::time_point::max());
    }

    Admission admission = Admission::kWaiting;
    asio::steady_timer signal;
  };

  Impl(const asio::any_io_executor& io_executor,
       PlatformOptions client_options,
       Clock clock_hook,
       RandomSource random,
       std::function<auto(Circuit::State)->void> circuit_changed_hook)
      : executor(io_executor),
        options(std::move(client_options)),
        clock(std::move(clock_hook)),
        limiter(options.limits),
        circuit(options.circuit, std::move(random)),
        client(executor, options.address, options.idle_limit),
        pump_timer(executor),
        circuit_changed(std::move(circuit_changed_hook)) {}

  // Applies the limiter's decisions and sets the timer for the next ones.
  auto Pump() -> void {
    const auto actions = limiter.Tick(clock());
    for (const auto ticket : actions.admitted) {
      Wake(ticket, Admission::kAdmitted);
    }
    for (const auto ticket : actions.expired) {
      Wake(ticket, Admission::kExpired);
    }
    if (!actions.next) {
      return;
    }
    pump_timer.expires_after(*actions.next - clock());
    pump_timer.async_wait(
        [weak = weak_from_this()](boost::system::error_code error) {
          const auto self = weak.lock();
          if (self && !error) {
            self->Pump();
          }
        });
  }

  auto Wake(RateLimiter::Ticket ticket, Admission admission) -> void {
    const auto found = waiters.find(ticket);
    if (found == waiters.end()) {
      return;
    }
    found->second->admission = admission;
    found->second->signal.cancel();
    waiters.erase(found);
  }

  auto CheckCircuit(const PlatformCall& call) -> void {
    const auto decision = circuit.AllowCall(
        clock(), !call.watch || call.extra_timeout <= kMaxProbeWait);
    ReportCircuit();
    if (!decision.allowed) {
      RefuseByCircuit(call, decision.retry_after);
    }
  }

  auto RefuseByCircuit(const PlatformCall& call, Duration wait) -> void {
    ++counts.refused_by_circuit;
    retry_after = wait;
    throw CircuitOpenError(call.object, wait);
  }

  auto Admit(const PlatformCall& call, CallKind kind) -> awaitable<void> {
    const auto ticket = limiter.Enqueue(kind, call.call_class,
                                        clock() + options.admission_timeout);
    const auto waiter = std::make_shared<Waiter>(executor);
    waiters.emplace(ticket, waiter);
    Pump();
    if (waiter->admission == Admission::kAdmitted) {
      co_return;
    }
    while (waiter->admission == Admission::kWaiting) {
      co_await waiter->signal.async_wait(kAwaitTuple);
    }
    if (waiter->admission == Admission::kExpired) {
      ++counts.refused_by_limiter;
      retry_after = options.admission_timeout;
      throw Error(ErrorKind::kOverloaded,
                  "this node's share of the platform's rate is used up",
                  call.object, "retry in " + InMilliseconds(retry_after));
    }
    if (circuit.state() == Circuit::State::kOpen) {
      RefuseByCircuit(call, options.circuit.initial_backoff);
    }
  }

  auto Count(const PlatformCall& call, CallKind kind) -> void {
    auto& by_class = kind == CallKind::kWrite ? counts.writes : counts.reads;
    ++by_class.at(static_cast<std::size_t>(call.call_class));
    if (call.watch) {
      ++counts.watches;
    }
    ++calls_by_kind[KindOf(call)];
  }

  // Returns the response; without one, throws the error that matches the call.
  auto TakeResponse(const PlatformCall& call,
                    CallKind kind,
                    detail::HttpResult& result) -> detail::HttpResponse {
    if (result.response) {
      return std::move(*result.response);
    }
    ++counts.failures;
    if (kind == CallKind::kWrite && result.may_have_been_sent) {
      ThrowUnknown(call, result.reason);
    }
    throw Error(
        result.timed_out ? ErrorKind::kTimeout : ErrorKind::kUnavailable,
        "the platform does not respond (" + result.reason + ")", call.object,
        "retry later or check [platform] address " + options.address);
  }

  auto ThrowUnknown(const PlatformCall& call, const std::string& reason)
      -> void {
    ++counts.unknown_outcomes;
    throw Error(ErrorKind::kUnknownOutcome,
                "the platform's response was lost (" + reason + ")",
                call.object, "read the object back");
  }

  auto ThrowOnErrorStatus(const PlatformCall& call,
                          CallKind kind,
                          const detail::HttpResponse& response) -> void {
    if (response.status == kTooManyRequests && !call.own_rate_limit) {
      ++counts.rate_exceeded;
      limiter.OnRateExceeded(kind, clock());
      retry_after = response.retry_after.value_or(std::chrono::seconds(1));
      throw Error(ErrorKind::kOverloaded, "the platform's rate is exceeded",
                  call.object, "retry in " + InMilliseconds(retry_after));
    }
    if (response.status < kServerError) {
      return;
    }
    ++counts.failures;
    const auto status = "status " + std::to_string(response.status);
    if (kind == CallKind::kWrite && response.status != kServiceUnavailable) {
      ThrowUnknown(call, status);
    }
    throw Error(ErrorKind::kUnavailable,
                "the platform is unavailable (" + status + ")", call.object,
                "retry later");
  }

  // Reports the result of a call to the circuit. A 429 is no failure.
  auto Report(const detail::HttpResult& result) -> void {
    if (!result.response || result.response->status >= kServerError) {
      circuit.OnFailure(clock());
    } else {
      circuit.OnSuccess();
    }
    ReportCircuit();
    if (circuit.TakeRecovered()) {
      limiter.DrainBurst(clock());
    }
  }

  auto ReportCircuit() -> void {
    const auto state = circuit.state();
    if (std::exchange(reported_state, state) != state && circuit_changed) {
      circuit_changed(state);
    }
  }

  asio::any_io_executor executor;
  PlatformOptions options;
  Clock clock;
  RateLimiter limiter;
  Circuit circuit;
  detail::HttpClient client;
  asio::steady_timer pump_timer;
  std::function<auto(Circuit::State)->void> circuit_changed;
  Circuit::State reported_state = Circuit::State::kClosed;
  std::unordered_map<RateLimiter::Ticket, std::shared_ptr<Waiter>> waiters;
  CallCounts counts;
  CallTally calls_by_kind;
  Duration retry_after{0};
};

PlatformClient::PlatformClient(
    const asio::any_io_executor& executor,
    PlatformOptions options,
    Clock clock,
    RandomSource random,
    std::function<auto(Circuit::State)->void> circuit_changed)
    : impl_(std::make_shared<Impl>(executor,
                                   std::move(options),
                                   std::move(clock),
                                   std::move(random),
                                   std::move(circuit_changed))) {}

auto PlatformClient::Call(PlatformCall call) -> awaitable<PlatformResponse> {
  const auto impl = impl_;
  const auto kind = call.method == "GET" ? CallKind::kRead : CallKind::kWrite;
  impl->CheckCircuit(call);
  co_await impl->Admit(call, kind);
  impl->Count(call, kind);
  auto request = detail::HttpRequest{.method = call.method,
                                     .target = call.target,
                                     .headers = call.headers,
                                     .body = std::move(call.body)};
  const auto timeout = impl->options.call_timeout + call.extra_timeout;
  const auto watches = std::uint32_t{call.watch ? 1U : 0U};
  impl->counts.watches_waiting += watches;
  auto result = co_await impl->client.Call(std::move(request),
                                           kind == CallKind::kRead, timeout);
  impl->counts.watches_waiting -= watches;
  impl->Report(result);
  auto response = impl->TakeResponse(call, kind, result);
  impl->ThrowOnErrorStatus(call, kind, response);
  auto answer = PlatformResponse();
  answer.status = response.status;
  answer.version = response.version;
  answer.retry_after = response.retry_after;
  answer.body = std::move(response.body);
  co_return answer;
}

auto PlatformClient::SetFleetSize(std::uint32_t nodes) -> void {
  impl_->limiter.SetFleetSize(nodes);
}

auto PlatformClient::counts() const -> const CallCounts& {
  return impl_->counts;
}

auto PlatformClient::calls_by_kind() const -> const CallTally& {
  return impl_->calls_by_kind;
}

auto PlatformClient::circuit_state() const -> Circuit::State {
  return impl_->circuit.state();
}

auto PlatformClient::limiter() const -> const RateLimiter& {
  return impl_->limiter;
}

auto PlatformClient::last_retry_after() const -> Duration {
  return impl_->retry_after;
}

}  // namespace kumquatgauge::store
