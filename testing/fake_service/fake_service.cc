#include "testing/fake_service/fake_service.h"

#include <boost/asio.hpp>
#include <utility>

namespace kumquatgauge::testing {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kFrozenPoll{5};

// JSON is built outside the coroutines: GCC 12 rejects initializer lists in
// them.
auto LoadBody(std::uint32_t running, std::uint32_t capacity) -> std::string {
  return json{{"running", running}, {"waiting", 0}, {"capacity", capacity},
              {"kv_used", 0.0},     {"age_ms", 0},  {"models", json::array()}}
      .dump();
}

auto ExecutionsBody(const json& executions) -> std::string {
  return json{{"executions", executions}}.dump(-1, ' ', false,
                                               json::error_handler_t::replace);
}

auto CallFields(const HttpRequest& request) -> json {
  return {{"kind", "call"},
          {"request_id", request.header("x-request-id")},
          {"idempotency_key", request.header("idempotency-key")},
          {"method", request.method},
          {"target", request.target},
          {"body", request.body}};
}

}  // namespace

FakeService::FakeService(asio::io_context& context,
                         FakeServiceSettings settings,
                         DieHook die)
    : context_(context),
      settings_(std::move(settings)),
      die_(std::move(die)),
      log_(settings_.record),
      server_(context,
              settings_.listen,
              [this](HttpRequest request, Exchange exchange) {
                return Handle(std::move(request), std::move(exchange));
              }) {}

auto FakeService::Die() -> void {
  dead_ = true;
  if (die_) {
    die_();
  }
  server_.Close();
}

auto FakeService::Handle(HttpRequest request, Exchange exchange)
    -> asio::awaitable<void> {
  const auto path = request.path();
  if (path == "/faults") {
    const auto body = json::parse(request.body, nullptr, false);
    const auto valid = body.is_object();
    if (valid) {
      ReadFaults(body);
    }
    co_await exchange->Respond(valid ? 200 : 400, "{}");
    co_return;
  }
  if (path == "/executions") {
    co_await exchange->Respond(200, ExecutionsBody(executions()));
    co_return;
  }
  co_await WaitWhileFrozen();
  if (path == "/load") {
    co_await exchange->Respond(200, LoadBody(running_, settings_.capacity));
    co_return;
  }
  if (faults_.refuse) {
    co_await exchange->Respond(503, R"({"error":{"message":"refused"}})");
    co_return;
  }
  ++running_;
  co_await Execute(std::move(request), exchange);
  --running_;
}

auto FakeService::Execute(HttpRequest request, Exchange exchange)
    -> asio::awaitable<void> {
  auto fields = CallFields(request);
  const auto seq = log_.Begin(fields);
  const auto time = settings_.work_time + faults_.slow;
  co_await Sleep(time);
  faults_.die_after -= faults_.die_after > 0 ? 1 : 0;
  if (faults_.die_after == 0) {
    log_.End(seq, "died", json::object());
    Die();
    co_return;
  }
  log_.End(seq, faults_.lose_answers ? "lost" : "completed", json::object());
  if (faults_.lose_answers) {
    exchange->Abort();
    co_return;
  }
  co_await WaitWhileFrozen();
  fields["execution"] = seq;
  fields["headers"] = request.headers;
  co_await exchange->Respond(
      200, fields.dump(-1, ' ', false, json::error_handler_t::replace));
}

auto FakeService::Sleep(milliseconds time) -> asio::awaitable<void> {
  if (time.count() > 0) {
    asio::steady_timer timer(context_, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

auto FakeService::WaitWhileFrozen() -> asio::awaitable<void> {
  while (faults_.freeze && !dead_) {
    co_await Sleep(kFrozenPoll);
  }
}

auto FakeService::ReadFaults(const json& body) -> void {
  FakeServiceFaults faults;
  faults.lose_answers = body.value("lose_answers", faults.lose_answers);
  faults.slow = milliseconds(body.value("slow_ms", 0));
  faults.freeze = body.value("freeze", faults.freeze);
  faults.refuse = body.value("refuse", faults.refuse);
  faults.die_after = body.value("die_after", faults.die_after);
  set_faults(faults);
}

}  // namespace kumquatgauge::testing
