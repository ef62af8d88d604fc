#include "kumquatgauge/upstream/http_engine_client.h"

#include <catch2/catch.hpp>
#include <thread>

#include "kumquatgauge/base/error.h"
#include "testing/fake_engine/fake_engine.h"
#include "testing/support/fake_tokens.h"
#include "testing/support/http_server.h"
#include "testing/support/run_until.h"

namespace kumquatgauge::upstream {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using testing::FakeAnswer;
using testing::FakeEngine;
using testing::FakeEngineFaults;
using testing::FakeEngineSettings;
using testing::HttpExchange;
using testing::HttpRequest;
using testing::RunAwait;
using testing::RunUntil;
using Kind = StreamEnd::Kind;

constexpr std::uint64_t kTokens = 20;
constexpr std::uint64_t kLongAnswer = 5'000;

auto FastEngine() -> FakeEngineSettings {
  FakeEngineSettings settings;
  settings.first_token_time = std::chrono::microseconds(0);
  settings.token_time = std::chrono::microseconds(100);
  settings.prefill_time_per_kb = std::chrono::microseconds(0);
  settings.load_lag = std::chrono::milliseconds(0);
  return settings;
}

auto ShortLimits() -> EngineClientSettings {
  EngineClientSettings settings;
  settings.first_byte_timeout = std::chrono::milliseconds(200);
  settings.progress_timeout = std::chrono::milliseconds(100);
  settings.load_timeout = std::chrono::milliseconds(200);
  settings.order_timeout = std::chrono::milliseconds(200);
  return settings;
}

auto MakeRequest(const std::string& prompt, std::uint64_t tokens = kTokens)
    -> routing::CompletionRequest {
  routing::CompletionRequest request;
  request.id = RequestId("request-1");
  request.body =
      json{{"model", "small"}, {"prompt", prompt}, {"max_tokens", tokens}}
          .dump();
  return request;
}

// An engine and a client on one io_context.
struct Fixture {
  explicit Fixture(FakeEngineSettings settings = FastEngine())
      : engine(context, std::move(settings)),
        client(context.get_executor(), ShortLimits()) {}

  auto Start(const std::string& address, routing::CompletionRequest request)
      -> void {
    end.reset();
    text = request.resume_text;
    asio::co_spawn(context,
                   client.Stream(
                       address, std::move(request),
                       [this](std::shared_ptr<StreamHandle> started) {
                         handle = std::move(started);
                       },
                       [this](const routing::Token& token) {
                         text += token.text;
                         ++tokens;
                       }),
                   [this](const std::exception_ptr& error, StreamEnd result) {
                     failed = error != nullptr;
                     end = std::move(result);
                   });
  }
  auto Finish() -> StreamEnd {
    REQUIRE(RunUntil(context, [this] { return end.has_value(); }));
    REQUIRE_FALSE(failed);
    return end.value_or(StreamEnd{});
  }
  auto Run(const routing::CompletionRequest& request) -> StreamEnd {
    Start(engine.address(), request);
    return Finish();
  }
  auto WaitForOutcome(const std::string& outcome) -> bool {
    return RunUntil(context, [&] {
      const auto executions = engine.executions();
      return !executions.empty() &&
             executions.back().value("outcome", "") == outcome;
    });
  }

  asio::io_context context{1};
  FakeEngine engine;
  HttpEngineClient client;
  std::shared_ptr<StreamHandle> handle;
  std::string text;
  std::uint64_t tokens = 0;
  std::optional<StreamEnd> end;
  bool failed = false;
};

// An engine that sends fixed events.
struct ScriptedEngine {
  ScriptedEngine(asio::io_context& context, std::string events)
      : server(
            context,
            "127.0.0.1:0",
            [text = std::move(events)](const HttpRequest&,
                                       std::shared_ptr<HttpExchange> exchange) {
              return Answer(text, std::move(exchange));
            }) {}

  static auto Answer(std::string text, std::shared_ptr<HttpExchange> exchange)
      -> asio::awaitable<void> {
    co_await exchange->StartEvents();
    co_await exchange->Write(text);
    co_await exchange->FinishEvents();
  }

  testing::HttpServer server;
};

auto Event(std::uint64_t offset, const std::string& text) -> std::string {
  const json event{{"choices", json::array({json{{"text", text}}})},
                   {"kqg_offset", offset}};
  return "data: " + event.dump() + "\n\n";
}

// Guards against a truncated or altered answer.
TEST_CASE("HttpEngineClient.DeliversEveryTokenOnceInOrder") {
  Fixture fixture;
  const auto end = fixture.Run(MakeRequest("crossover"));
  CHECK(end.kind == Kind::kCompleted);
  CHECK(end.finish_reason == "length");
  CHECK(end.next_offset == kTokens);
  CHECK(fixture.text == FakeAnswer("crossover", kTokens));
}

// Guards against a client that reads on until its buffer is full: the caller
// then saw the first token only when the answer was complete.
TEST_CASE("HttpEngineClient.DeliversTokensAsTheyAreGenerated") {
  auto settings = FastEngine();
  settings.token_time = std::chrono::milliseconds(20);
  Fixture fixture(settings);
  fixture.Start(fixture.engine.address(), MakeRequest("slow answer"));
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.tokens > 0; }));
  CHECK(fixture.tokens < kTokens);
  CHECK(fixture.engine.running() == 1);
  CHECK(fixture.Finish().kind == Kind::kCompleted);
}

// Guards against chat bodies being sent to the completion endpoint.
TEST_CASE("HttpEngineClient.StreamsChatCompletions") {
  Fixture fixture;
  auto request = MakeRequest("");
  request.endpoint = routing::CompletionEndpoint::kChatCompletions;
  request.body = R"({"model":"m","max_tokens":3,
                     "messages":[{"role":"user","content":"hello"}]})";
  CHECK(fixture.Run(request).kind == Kind::kCompleted);
  CHECK(fixture.text == FakeAnswer("hello\n", 3));
}

// Guards against a resumed answer that repeats or skips tokens.
TEST_CASE("HttpEngineClient.ResumesAtTheOffsetReached") {
  Fixture fixture;
  auto request = MakeRequest("resume me");
  request.resume_offset = 7;
  request.resume_text = FakeAnswer("resume me", 7);
  const auto end = fixture.Run(request);
  CHECK(end.kind == Kind::kCompleted);
  CHECK(fixture.tokens == kTokens - 7);
  CHECK(fixture.text == FakeAnswer("resume me", kTokens));
}

// Guards against a new connection per request.
TEST_CASE("HttpEngineClient.ReusesConnections") {
  Fixture fixture;
  for (auto i = 0; i < 3; ++i) {
    CHECK(fixture.Run(MakeRequest("again")).kind == Kind::kCompleted);
  }
  CHECK(fixture.engine.server().accepted() == 1);
}

// Guards against a lost request when the engine has closed an idle connection.
TEST_CASE("HttpEngineClient.UsesFreshConnectionWhenIdleOneWasClosed") {
  Fixture fixture;
  fixture.Run(MakeRequest("first"));
  fixture.engine.server().CloseIdle();
  CHECK(fixture.Run(MakeRequest("second")).kind == Kind::kCompleted);
  CHECK(fixture.engine.executions().size() == 2);
}

// Guards against reporting a request as lost that certainly did not run.
TEST_CASE("HttpEngineClient.ReportsRefusedWhenNothingListens") {
  Fixture fixture;
  const auto address = fixture.engine.address();
  fixture.engine.server().Close();
  fixture.Start(address, MakeRequest("nobody"));
  CHECK(fixture.Finish().kind == Kind::kRefused);
}

TEST_CASE("HttpEngineClient.ReportsRefusedWhenEngineQueueIsFull") {
  auto settings = FastEngine();
  settings.capacity = 0;
  settings.max_waiting = 0;
  Fixture fixture(settings);
  CHECK(fixture.Run(MakeRequest("no room")).kind == Kind::kRefused);
  CHECK(fixture.engine.executions().empty());
}

// Guards against retrying an item that can never be completed.
TEST_CASE("HttpEngineClient.ReportsRejectedForBadRequest") {
  Fixture fixture;
  const auto end = fixture.Run(MakeRequest("a [[bad item]] here"));
  CHECK(end.kind == Kind::kRejected);
  CHECK(end.reason == "engine answered 400: the item is bad");
}

TEST_CASE("HttpEngineClient.ReportsFailedForEngineError") {
  Fixture fixture;
  CHECK(fixture.Run(MakeRequest("[[engine error]]")).kind == Kind::kFailed);
}

// Guards against a partial response taken for a complete one.
TEST_CASE("HttpEngineClient.ReportsLostWhenEngineDiesMidStream") {
  Fixture fixture;
  FakeEngineFaults faults;
  faults.die_after_tokens = 5;
  fixture.engine.set_faults(faults);
  const auto end = fixture.Run(MakeRequest("die"));
  CHECK(end.kind == Kind::kLost);
  CHECK(end.next_offset == 5);
  CHECK(fixture.text == FakeAnswer("die", 5));
}

// Guards against reporting a request as refused that an engine may have
// started.
TEST_CASE("HttpEngineClient.ReportsLostWhenKilledOnReusedConnection") {
  Fixture fixture;
  fixture.Run(MakeRequest("first"));
  const auto end = fixture.Run(MakeRequest("[[kill engine]]"));
  CHECK(end.kind == Kind::kLost);
  CHECK(fixture.engine.executions().size() == 2);
}

// Guards against waiting forever on a connection without data.
TEST_CASE("HttpEngineClient.ReportsLostWhenEngineFreezesBeforeFirstToken") {
  Fixture fixture;
  FakeEngineFaults faults;
  faults.freeze = true;
  fixture.engine.set_faults(faults);
  const auto end = fixture.Run(MakeRequest("frozen"));
  CHECK(end.kind == Kind::kLost);
  CHECK(end.reason == "no answer in time");
}

TEST_CASE("HttpEngineClient.ReportsLostWhenEngineFreezesMidStream") {
  Fixture fixture;
  fixture.Start(fixture.engine.address(), MakeRequest("freeze", 5'000));
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.tokens >= 3; }));
  FakeEngineFaults faults;
  faults.freeze = true;
  fixture.engine.set_faults(faults);
  const auto end = fixture.Finish();
  CHECK(end.kind == Kind::kLost);
  CHECK(end.reason == "no progress in time");
  CHECK(fixture.text == FakeAnswer("freeze", end.next_offset));
}

// Guards against a busy node aborting streams whose tokens are unread in the
// socket.
TEST_CASE("HttpEngineClient.KeepsAStreamWhenItsOwnThreadWasLate") {
  asio::io_context engine_context(1);
  FakeEngine engine(engine_context, FastEngine());
  std::thread engine_thread([&] { engine_context.run(); });
  asio::io_context context(1);
  HttpEngineClient client(context.get_executor(), ShortLimits());
  const auto sink = [](const routing::Token& token) {
    const auto until =
        std::chrono::steady_clock::now() + 2 * ShortLimits().progress_timeout;
    while (token.offset == 0 && std::chrono::steady_clock::now() < until) {
      std::this_thread::yield();
    }
  };
  const auto end = RunAwait(
      context, client.Stream(engine.address(), MakeRequest("late", kLongAnswer),
                             {}, sink));
  engine_context.stop();
  engine_thread.join();
  CHECK(end.kind == Kind::kCompleted);
  CHECK(end.reason.empty());
}

// Guards against reporting a refusal after the first tokens as not run.
TEST_CASE("HttpEngineClient.ReportsLostWhenEngineRefusesAfterTheStart") {
  Fixture fixture;
  FakeEngineFaults faults;
  faults.refuse_after_tokens = 4;
  fixture.engine.set_faults(faults);
  const auto end = fixture.Run(MakeRequest("begun"));
  CHECK(end.kind == Kind::kLost);
  CHECK(end.next_offset == 4);
}

TEST_CASE("HttpEngineClient.ReportsLostWhenAnswerIsDropped") {
  Fixture fixture;
  FakeEngineFaults faults;
  faults.drop_answers = true;
  fixture.engine.set_faults(faults);
  const auto end = fixture.Run(MakeRequest("dropped"));
  CHECK(end.kind == Kind::kLost);
  CHECK(fixture.WaitForOutcome("dropped"));
}

// Guards against an engine that keeps running a cancelled request.
TEST_CASE("HttpEngineClient.CancelStopsTheRunningRequestAtTheEngine") {
  Fixture fixture;
  fixture.Start(fixture.engine.address(), MakeRequest("cancel", 100'000));
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.tokens >= 3; }));
  fixture.handle->Cancel();
  const auto end = fixture.Finish();
  CHECK(end.kind == Kind::kCancelled);
  CHECK(end.next_offset == fixture.tokens);
  CHECK(
      RunUntil(fixture.context, [&] { return fixture.engine.running() == 0; }));
}

TEST_CASE("HttpEngineClient.CancelRemovesTheRequestFromTheEngineQueue") {
  auto settings = FastEngine();
  settings.capacity = 1;
  Fixture fixture(settings);
  fixture.Start(fixture.engine.address(), MakeRequest("running", 100'000));
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.tokens > 0; }));
  auto running = fixture.handle;
  auto queued = MakeRequest("queued");
  queued.id = RequestId("request-2");
  std::optional<StreamEnd> queued_end;
  std::shared_ptr<StreamHandle> queued_handle;
  asio::co_spawn(fixture.context,
                 fixture.client.Stream(
                     fixture.engine.address(), queued,
                     [&](std::shared_ptr<StreamHandle> started) {
                       queued_handle = std::move(started);
                     },
                     [](const routing::Token&) {}),
                 [&](const std::exception_ptr&, StreamEnd result) {
                   queued_end = std::move(result);
                 });
  REQUIRE(
      RunUntil(fixture.context, [&] { return fixture.engine.waiting() == 1; }));
  queued_handle->Cancel();
  CHECK(RunUntil(fixture.context, [&] { return queued_end.has_value(); }));
  CHECK(queued_end.value_or(StreamEnd{}).kind == Kind::kCancelled);
  CHECK(fixture.engine.waiting() == 0);
  CHECK(fixture.engine.running() == 1);
  running->Cancel();
  CHECK(fixture.Finish().kind == Kind::kCancelled);
}

// Guards against a request that is sent although it was cancelled before.
TEST_CASE("HttpEngineClient.CancelBeforeTheStartSendsNothing") {
  Fixture fixture;
  const auto end = RunAwait(
      fixture.context, fixture.client.Stream(
                           fixture.engine.address(), MakeRequest("early"),
                           [](const std::shared_ptr<StreamHandle>& started) {
                             started->Cancel();
                           },
                           [](const routing::Token&) {}));
  CHECK(end.kind == Kind::kCancelled);
  CHECK(fixture.engine.executions().empty());
}

// Guards against corrupt answers after an engine skipped or repeated a token.
TEST_CASE("HttpEngineClient.NeverPassesOnAGapOrARepeat") {
  const auto bad = GENERATE(
      Event(0, "a") + Event(2, "c") + "data: [DONE]\n\n",
      Event(0, "a") + Event(0, "a") + "data: [DONE]\n\n",
      Event(0, "a") + "data: {\"choices\":[{\"text\":\"b\"}]}\n\n",
      Event(0, "a") + "data: {broken\n\n",
      Event(0, "a") + "data: {\"kqg_offset\":\"1\"}\n\n", Event(0, "a"));
  Fixture fixture;
  ScriptedEngine engine(fixture.context, bad);
  fixture.Start(engine.server.address(), MakeRequest("gap"));
  const auto end = fixture.Finish();
  INFO("events: " << bad);
  CHECK(end.kind == Kind::kLost);
  CHECK(end.next_offset == 1);
  CHECK(fixture.text == "a");
}

// Guards against line ends or event boundaries being taken for data.
TEST_CASE("HttpEngineClient.ReadsEventsWithCarriageReturnsAndComments") {
  Fixture fixture;
  ScriptedEngine engine(
      fixture.context,
      ": comment\r\n\r\nevent: token\r\ndata: {\"kqg_offset\":0,\r\n"
      "data: \"choices\":[{\"text\":\"a\\nb\"}]}\r\n\r\ndata:[DONE]\r\n\r\n");
  fixture.Start(engine.server.address(), MakeRequest("crlf"));
  CHECK(fixture.Finish().kind == Kind::kCompleted);
  CHECK(fixture.text == "a\nb");
}

// Guards against opening more than max_connections to an engine.
TEST_CASE("HttpEngineClient.RefusesAboveTheConnectionCap") {
  Fixture fixture;
  auto settings = ShortLimits();
  settings.connections.max_connections = 1;
  HttpEngineClient client(fixture.context.get_executor(), settings);
  std::optional<StreamEnd> first;
  std::shared_ptr<StreamHandle> handle;
  asio::co_spawn(
      fixture.context,
      client.Stream(
          fixture.engine.address(), MakeRequest("long", 100'000),
          [&](std::shared_ptr<StreamHandle> started) {
            handle = std::move(started);
          },
          [](const routing::Token&) {}),
      [&](const std::exception_ptr&, const StreamEnd& end) { first = end; });
  REQUIRE(
      RunUntil(fixture.context, [&] { return fixture.engine.running() == 1; }));
  const auto second =
      RunAwait(fixture.context,
               client.Stream(fixture.engine.address(), MakeRequest("second"),
                             {}, [](const routing::Token&) {}));
  CHECK(second.kind == Kind::kRefused);
  handle->Cancel();
  CHECK(RunUntil(fixture.context, [&] { return first.has_value(); }));
}

TEST_CASE("HttpEngineClient.ReadsTheLoadReport") {
  Fixture fixture;
  const auto load =
      RunAwait(fixture.context, fixture.client.Load(fixture.engine.address()));
  CHECK(load.capacity == 16);
  CHECK(load.models == std::vector<std::string>{"small@1"});
}

// Guards against reporting an unknown outcome for a read, which has no effect.
TEST_CASE("HttpEngineClient.LoadTimesOutWhenEngineIsFrozen") {
  Fixture fixture;
  FakeEngineFaults faults;
  faults.freeze = true;
  fixture.engine.set_faults(faults);
  try {
    RunAwait(fixture.context, fixture.client.Load(fixture.engine.address()));
    FAIL("a frozen engine answered");
  } catch (const Error& error) {
    CHECK(error.kind() == ErrorKind::kTimeout);
  }
}

auto OrderError(Fixture& fixture, const EngineOrder& order)
    -> std::optional<ErrorKind> {
  try {
    RunAwait(fixture.context,
             fixture.client.SendOrder(fixture.engine.address(), order));
  } catch (const Error& error) {
    return error.kind();
  }
  return std::nullopt;
}

auto MakeOrder(std::uint64_t fence, const std::string& operation)
    -> EngineOrder {
  return {fence, operation, "load", "large", "2"};
}

// Guards against a paused former lease holder changing an engine.
TEST_CASE("HttpEngineClient.OrderWithOldFenceIsAConflict") {
  auto settings = FastEngine();
  settings.checks_fencing = true;
  Fixture fixture(settings);
  CHECK_FALSE(OrderError(fixture, MakeOrder(5, "a")));
  CHECK(OrderError(fixture, MakeOrder(4, "b")) == ErrorKind::kConflict);
}

TEST_CASE("HttpEngineClient.OrderWithOldFenceRunsWhenEngineIgnoresFences") {
  Fixture fixture;
  CHECK_FALSE(OrderError(fixture, MakeOrder(5, "a")));
  CHECK_FALSE(OrderError(fixture, MakeOrder(4, "b")));
}

// Guards against taking an order whose response was lost as not executed.
TEST_CASE("HttpEngineClient.OrderWithLostAnswerIsUnknown") {
  Fixture fixture;
  FakeEngineFaults faults;
  faults.drop_answers = true;
  fixture.engine.set_faults(faults);
  CHECK(OrderError(fixture, MakeOrder(1, "a")) == ErrorKind::kUnknownOutcome);
}

}  // namespace
}  // namespace kumquatgauge::upstream
