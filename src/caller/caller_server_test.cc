#include "kumquatgauge/caller/caller_server.h"

#include <catch2/catch.hpp>
#include <random>

#include "kumquatgauge/upstream/http_engine_client.h"
#include "testing/fake_engine/fake_engine.h"
#include "testing/support/fake_backend.h"
#include "testing/support/fake_tokens.h"
#include "testing/support/raw_client.h"
#include "testing/support/run_until.h"

namespace kumquatgauge::caller {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using testing::FakeBackend;
using testing::RawClient;
using testing::RunUntil;

constexpr std::uint64_t kRelayedTokens = 20'000;
constexpr int kGarbageRequests = 2'000;

const std::string kChat = "/v1/chat/completions";

auto Post(const std::string& target,
          const std::string& body,
          const std::string& headers = "") -> std::string {
  return "POST " + target + " HTTP/1.1\r\nHost: node\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto Get(const std::string& target) -> std::string {
  return "GET " + target + " HTTP/1.1\r\nHost: node\r\n\r\n";
}

auto ChatBody(bool stream = false) -> std::string {
  return json{
      {"model", "small"},
      {"stream", stream},
      {"messages", json::array({json{{"role", "user"}, {"content", "hello"}}})}}
      .dump();
}

auto Tokens(std::initializer_list<const char*> texts)
    -> std::vector<routing::Token> {
  std::vector<routing::Token> tokens;
  for (const auto* text : texts) {
    tokens.push_back({tokens.size(), text});
  }
  return tokens;
}

auto Completed(const std::string& finish_reason = "stop") -> CompletionEnd {
  CompletionEnd end;
  end.finish_reason = finish_reason;
  return end;
}

auto Ended(OutcomeKind kind, const std::string& reason) -> CompletionEnd {
  CompletionEnd end;
  end.outcome.kind = kind;
  end.outcome.reason = reason;
  return end;
}

struct Response {
  int status = 0;
  std::string head;
  std::string body;

  auto HasHeader(const std::string& line) const -> bool {
    return head.find("\r\n" + line + "\r\n") != std::string::npos;
  }
  auto Error() const -> json { return json::parse(body).at("error"); }
};

auto Split(const std::string& text) -> Response {
  Response response;
  const auto end = text.find("\r\n\r\n");
  if (text.size() < 12 || end == std::string::npos) {
    return response;
  }
  response.status = std::stoi(text.substr(9, 3));
  response.head = text.substr(0, end + 2);
  response.body = text.substr(end + 4);
  return response;
}

// Returns the data of the events of a chunked body, in order.
auto Events(const std::string& text) -> std::vector<std::string> {
  std::vector<std::string> events;
  std::size_t at = 0;
  while ((at = text.find("data: ", at)) != std::string::npos) {
    at += 6;
    events.push_back(text.substr(at, text.find("\n\n", at) - at));
  }
  return events;
}

struct Fixture {
  explicit Fixture(CallerSettings settings = {})
      : server(std::make_unique<CallerServer>(
            std::vector<asio::io_context*>{&context},
            "127.0.0.1:0",
            backend,
            std::move(settings))) {}

  // Sends a request with "Connection: close" and returns the response.
  auto SendRequest(std::string request) -> Response {
    const auto line_end = request.find("\r\n");
    if (line_end != std::string::npos) {
      request.insert(line_end + 2, "Connection: close\r\n");
    }
    RawClient client(context, server->address());
    client.Send(request);
    return Split(client.ReadToEnd());
  }
  auto SendChatRequest(bool stream = false) -> Response {
    return SendRequest(Post(kChat, ChatBody(stream)));
  }

  asio::io_context context{1};
  FakeBackend backend;
  std::unique_ptr<CallerServer> server;
};

TEST_CASE("CallerServer.AnswersHealthReadinessAndMetrics") {
  Fixture fixture;
  CHECK(fixture.SendRequest(Get("/healthz")).status == 200);
  CHECK(fixture.SendRequest(Get("/readyz")).status == 200);
  CHECK(fixture.SendRequest(Get("/metrics")).body == "kqg_up 1\n");
  fixture.backend.is_ready = false;
  CHECK(fixture.SendRequest(Get("/readyz")).status == 503);
}

TEST_CASE("CallerServer.ListsAddressesWithTtlAndTicket") {
  Fixture fixture;
  const auto body = json::parse(fixture.SendRequest(Get("/v1/addresses")).body);
  CHECK(body["addresses"] == json({"127.0.0.1:1", "127.0.0.1:2"}));
  CHECK(body["ttl_s"] == 30);
  CHECK(body["ticket"] == "n.1.2");
}

TEST_CASE("CallerServer.ListsModelsAndFindsOneWithASlash") {
  Fixture fixture;
  const auto list = json::parse(fixture.SendRequest(Get("/v1/models")).body);
  CHECK(list["object"] == "list");
  CHECK(list["data"][0]["id"] == "small");
  CHECK(fixture.SendRequest(Get("/v1/models/org/large")).status == 200);
  CHECK(fixture.SendRequest(Get("/v1/models/none")).status == 404);
}

// Guards against a response that client libraries cannot read.
TEST_CASE("CallerServer.AnswersAChatCompletionAsOneObject") {
  Fixture fixture;
  fixture.backend.completion = {Tokens({"Hel", "lo"}), Completed(), false, {}};
  const auto response = fixture.SendChatRequest();
  CHECK(response.status == 200);
  CHECK(response.HasHeader("KQG-Outcome: completed"));
  const auto body = json::parse(response.body);
  CHECK(body["object"] == "chat.completion");
  CHECK(body["model"] == "small");
  CHECK(body["choices"][0]["message"]["content"] == "Hello");
  CHECK(body["choices"][0]["message"]["role"] == "assistant");
  CHECK(body["choices"][0]["finish_reason"] == "stop");
  CHECK(body["usage"]["completion_tokens"] == 2);
}

TEST_CASE("CallerServer.AnswersATextCompletionAsOneObject") {
  Fixture fixture;
  fixture.backend.completion = {
      Tokens({"a", "b"}), Completed("length"), false, {}};
  const auto body =
      json::parse(fixture
                      .SendRequest(Post("/v1/completions",
                                        R"({"model":"small","prompt":"x"})"))
                      .body);
  CHECK(body["object"] == "text_completion");
  CHECK(body["choices"][0]["text"] == "ab");
  CHECK(body["choices"][0]["finish_reason"] == "length");
}

TEST_CASE("CallerServer.StreamsChatChunksThenDone") {
  Fixture fixture;
  fixture.backend.completion = {
      Tokens({"\"q\"\n", "\xc3\xa9"}), Completed(), false, {}};
  const auto response = fixture.SendChatRequest(true);
  CHECK(response.HasHeader("Content-Type: text/event-stream"));
  CHECK(response.HasHeader("Trailer: KQG-Outcome"));
  const auto events = Events(response.body);
  REQUIRE(events.size() == 5);
  const auto delta = [&](std::size_t i) {
    return json::parse(events[i])["choices"][0]["delta"];
  };
  CHECK(delta(0)["role"] == "assistant");
  CHECK(delta(1)["content"] == "\"q\"\n");
  CHECK(delta(2)["content"] == "\xc3\xa9");
  CHECK(json::parse(events[3])["choices"][0]["finish_reason"] == "stop");
  CHECK(json::parse(events[1])["object"] == "chat.completion.chunk");
  CHECK(events[4] == "[DONE]");
  CHECK(response.body.find("KQG-Outcome: completed\r\n\r\n") !=
        std::string::npos);
}

TEST_CASE("CallerServer.StreamsUsageWhenAsked") {
  Fixture fixture;
  fixture.backend.completion = {Tokens({"a"}), Completed(), false, {}};
  const auto response = fixture.SendRequest(
      Post("/v1/completions", R"({"model":"small","prompt":"x","stream":true,
                              "stream_options":{"include_usage":true}})"));
  const auto events = Events(response.body);
  REQUIRE(events.size() == 4);
  const auto usage = json::parse(events[2]);
  CHECK(usage["choices"].empty());
  CHECK(usage["usage"]["completion_tokens"] == 1);
}

// Guards against a truncated stream that a caller takes for a complete one.
TEST_CASE("CallerServer.StreamThatEndsEarlyHasAnErrorEventAndNoDone") {
  const auto [kind, code] = GENERATE(table<OutcomeKind, std::string>({
      {OutcomeKind::kUnknown, "unknown_outcome"},
      {OutcomeKind::kFailed, "failed"},
      {OutcomeKind::kNotRun, "not_run"},
  }));
  Fixture fixture;
  fixture.backend.completion = {Tokens({"a"}), Ended(kind, "lost"), false, {}};
  const auto response = fixture.SendChatRequest(true);
  const auto events = Events(response.body);
  REQUIRE(events.size() == 3);
  CHECK(json::parse(events[2])["error"]["code"] == code);
  CHECK(response.body.find("[DONE]") == std::string::npos);
  CHECK(response.body.find("KQG-Outcome: completed") == std::string::npos);
  CHECK(response.body.find("KQG-Outcome: not_run") == std::string::npos);
}

// Guards against a stream that continues after a missing token.
TEST_CASE("CallerServer.GapInTheTokensEndsTheStreamWithAnError") {
  Fixture fixture;
  fixture.backend.completion = {{{0, "a"}, {2, "c"}}, Completed(), false, {}};
  const auto stream = GENERATE(true, false);
  const auto response = fixture.SendChatRequest(stream);
  CHECK(response.status == (stream ? 200 : 502));
  CHECK(response.body.find("tokens of the answer were lost") !=
        std::string::npos);
  CHECK(response.body.find("[DONE]") == std::string::npos);
}

// Guards against callers that retry a request which may have run, or do not
// retry one which has not.
TEST_CASE("CallerServer.MapsOutcomesToStatusAndHeaders") {
  struct Row {
    OutcomeKind kind;
    int http_status;
    int status;
    std::string code;
    bool retry_after;
  };
  const auto row = GENERATE(values<Row>({
      {OutcomeKind::kNotRun, 0, 503, "not_run", true},
      {OutcomeKind::kNotRun, 429, 429, "not_run", true},
      {OutcomeKind::kUnknown, 0, 504, "unknown_outcome", false},
      {OutcomeKind::kFailed, 0, 502, "failed", false},
      {OutcomeKind::kFailed, 400, 400, "failed", false},
      {OutcomeKind::kCancelled, 0, 499, "cancelled", false},
  }));
  const auto stream = GENERATE(true, false);
  Fixture fixture;
  auto end = Ended(row.kind, "because");
  end.http_status = row.http_status;
  end.outcome.retry_after = std::chrono::milliseconds(1'200);
  fixture.backend.completion.end = end;
  const auto response = fixture.SendChatRequest(stream);
  CHECK(response.status == row.status);
  CHECK(response.Error()["code"] == row.code);
  CHECK(response.Error()["message"] == "because");
  CHECK(response.HasHeader("Retry-After: 2") == row.retry_after);
  CHECK(response.HasHeader("KQG-Outcome: " +
                           std::string(OutcomeKindName(row.kind))));
}

TEST_CASE("CallerServer.MapsErrorsOfTheBackendToStatus") {
  const auto [kind, status] = GENERATE(table<ErrorKind, int>({
      {ErrorKind::kInvalidArgument, 400},
      {ErrorKind::kPermissionDenied, 403},
      {ErrorKind::kNotFound, 404},
      {ErrorKind::kConflict, 409},
      {ErrorKind::kOverloaded, 429},
      {ErrorKind::kInternal, 500},
      {ErrorKind::kUnavailable, 503},
      {ErrorKind::kTimeout, 503},
      {ErrorKind::kUnknownOutcome, 504},
  }));
  Fixture fixture;
  fixture.backend.completion.error = Error(kind, "what", "object", "remedy");
  const auto response = fixture.SendChatRequest();
  CHECK(response.status == status);
  CHECK(response.Error()["code"] == std::string(ErrorKindName(kind)));
}

// Guards against completions that keep running after the caller disconnects.
TEST_CASE("CallerServer.CancelsTheCompletionWhenTheCallerDisconnects") {
  const auto stream = GENERATE(true, false);
  Fixture fixture;
  fixture.backend.completion = {Tokens({"a"}), {}, true, {}};
  RawClient client(fixture.context, fixture.server->address());
  client.Send(Post(kChat, ChatBody(stream)));
  REQUIRE(RunUntil(fixture.context,
                   [&] { return !fixture.backend.completions.empty(); }));
  client.Close();
  CHECK(RunUntil(fixture.context,
                 [&] { return fixture.backend.cancelled == 1; }));
  CHECK(RunUntil(fixture.context,
                 [&] { return fixture.server->connections() == 0; }));
}

// Guards against unbounded memory use when a caller does not read its response.
TEST_CASE("CallerServer.CancelsTheCompletionWhenTheCallerDoesNotRead") {
  CallerSettings settings;
  settings.max_unsent_bytes = 100'000;
  Fixture fixture(settings);
  fixture.backend.completion.until_cancelled = true;
  for (std::uint64_t i = 0; i < 20'000; ++i) {
    fixture.backend.completion.tokens.push_back({i, std::string(1'000, 'x')});
  }
  RawClient client(fixture.context, fixture.server->address());
  client.Send(Post(kChat, ChatBody(true)));
  CHECK(RunUntil(fixture.context,
                 [&] { return fixture.backend.cancelled == 1; }));
}

TEST_CASE("CallerServer.PassesTheHeadersOfTheCallOn") {
  Fixture fixture;
  fixture.backend.completion.end = Completed();
  const auto response = fixture.SendRequest(
      Post(kChat, ChatBody(),
           "KQG-Organisation: bar-7\r\nKQG-Deadline-Ms: 1500\r\n"
           "X-Request-Id: id-9\r\n"));
  CHECK(response.HasHeader("X-Request-Id: id-9"));
  REQUIRE(fixture.backend.completions.size() == 1);
  const auto& request = fixture.backend.completions[0];
  CHECK(request.id.value() == "id-9");
  CHECK(request.organisation.value() == "bar-7");
  CHECK(request.service.value() == "small");
  CHECK(request.time_left == std::chrono::milliseconds(1'500));
  CHECK(request.body == ChatBody());
}

// Guards against spreading the requests of one conversation over replicas.
TEST_CASE("CallerServer.AffinityDependsOnTheFirst1024BytesOfThePrompt") {
  Fixture fixture;
  fixture.backend.completion.end = Completed();
  const auto affinity = [&](const std::string& prompt) {
    fixture.SendRequest(Post("/v1/completions",
                             json{{"model", "m"}, {"prompt", prompt}}.dump()));
    return fixture.backend.completions.back().affinity;
  };
  const std::string prefix(1'024, 'p');
  CHECK(affinity(prefix + "one") == affinity(prefix + "two"));
  CHECK(affinity("one" + prefix) != affinity("two" + prefix));
}

TEST_CASE("CallerServer.KeepsTheConnectionForFurtherRequests") {
  Fixture fixture;
  fixture.backend.completion = {Tokens({"a"}), Completed(), false, {}};
  RawClient client(fixture.context, fixture.server->address());
  for (auto i = 0; i < 3; ++i) {
    client.Send(Post(kChat, ChatBody(true)));
    CHECK(Split(client.ReadUntil("KQG-Outcome: completed\r\n")).status == 200);
    client.Clear();
  }
  CHECK(fixture.server->connections() == 1);
}

TEST_CASE("CallerServer.AnswersPipelinedRequestsInOrder") {
  Fixture fixture;
  RawClient client(fixture.context, fixture.server->address());
  client.Send(Get("/healthz") + Get("/v1/models") + Get("/metrics"));
  const auto& text = client.ReadUntil("kqg_up 1\n");
  CHECK(text.find("ok\n") < text.find("\"list\""));
  CHECK(text.find("\"list\"") < text.find("kqg_up"));
}

// Guards against requests interrupted by a planned stop.
TEST_CASE("CallerServer.StopFinishesWhatRunsAndClosesAfterwards") {
  CallerSettings settings;
  settings.stop_grace = std::chrono::milliseconds(100);
  Fixture fixture(settings);
  std::shared_ptr<asio::steady_timer> gate;
  fixture.backend.on_complete = [&](const routing::CompletionRequest&,
                                    const routing::TokenSink& sink,
                                    const std::shared_ptr<node::StreamCancel>&)
      -> asio::awaitable<CompletionEnd> {
    gate = std::make_shared<asio::steady_timer>(
        fixture.context, std::chrono::steady_clock::time_point::max());
    sink({0, "a"});
    boost::system::error_code ignored;
    co_await gate->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    sink({1, "b"});
    co_return Completed();
  };
  RawClient running(fixture.context, fixture.server->address());
  RawClient idle(fixture.context, fixture.server->address());
  running.Send(Post(kChat, ChatBody(true)));
  running.ReadUntil("\"a\"");
  REQUIRE(RunUntil(fixture.context,
                   [&] { return fixture.server->connections() == 2; }));
  fixture.server->Stop();
  // A request on an idle connection is still answered; then it is closed.
  idle.Send(Get("/healthz"));
  CHECK(Split(idle.ReadToEnd()).HasHeader("Connection: close"));
  gate->cancel();
  const auto& text = running.ReadToEnd();
  CHECK(text.find("[DONE]") != std::string::npos);
  CHECK(RunUntil(fixture.context,
                 [&] { return fixture.server->connections() == 0; }));
  CHECK_THROWS(RawClient(fixture.context, fixture.server->address()));
}

// Guards against connections that stay open forever.
TEST_CASE("CallerServer.ClosesIdleConnections") {
  CallerSettings settings;
  settings.idle_timeout = std::chrono::milliseconds(50);
  Fixture fixture(settings);
  RawClient client(fixture.context, fixture.server->address());
  CHECK(client.ReadToEnd().empty());
  CHECK(client.closed());
}

TEST_CASE("CallerServer.RejectsSlowSenders") {
  CallerSettings settings;
  settings.read_timeout = std::chrono::milliseconds(50);
  Fixture fixture(settings);
  const std::string part = GENERATE(
      "POST /v1/chat/comp", "POST /v1/completions HTTP/1.1\r\nHost: x\r\n",
      "POST /v1/completions HTTP/1.1\r\nContent-Length: 10\r\n\r\n{",
      "POST /v1/batches?model=m HTTP/1.1\r\nIdempotency-Key: k\r\n"
      "Content-Length: 10\r\n\r\n{}");
  RawClient client(fixture.context, fixture.server->address());
  client.Send(part);
  CHECK(Split(client.ReadToEnd()).status == 408);
  CHECK(fixture.backend.completions.empty());
  for (const auto& upload : fixture.backend.uploads) {
    CHECK(upload->abandoned);
  }
}

// Guards against invalid requests that reach the backend or are rejected
// without a reason.
TEST_CASE("CallerServer.RejectsBadCompletions") {
  struct Row {
    std::string body;
    std::string param;
  };
  const auto row = GENERATE(values<Row>({
      {"{", ""},
      {"[]", ""},
      {"", ""},
      {std::string(100'000, '['), ""},
      {R"({"messages":[{"role":"user","content":"x"}]})", "model"},
      {R"({"model":7,"messages":[{"role":"user","content":"x"}]})", "model"},
      {R"({"model":"m"})", "messages"},
      {R"({"model":"m","messages":[]})", "messages"},
      {R"({"model":"m","messages":"x"})", "messages"},
      {R"({"model":"m","messages":[{"content":"x"}]})", "messages"},
      {R"({"model":"m","messages":[{"role":"user","content":7}]})", "messages"},
      {R"({"model":"m","stream":"yes","messages":[{"role":"u"}]})", "stream"},
      {R"({"model":"m","n":2,"messages":[{"role":"u"}]})", "n"},
      {R"({"model":"m","max_tokens":-1,"messages":[{"role":"u"}]})",
       "max_tokens"},
  }));
  Fixture fixture;
  const auto response = fixture.SendRequest(Post(kChat, row.body));
  INFO(row.body.substr(0, 80));
  CHECK(response.status == 400);
  CHECK(response.Error()["type"] == "invalid_request_error");
  CHECK(response.Error()["param"] ==
        (row.param.empty() ? json() : json(row.param)));
  CHECK(response.HasHeader("KQG-Outcome: not_run"));
  CHECK(fixture.backend.completions.empty());
}

TEST_CASE("CallerServer.RejectsBadHeaderValues") {
  const std::string header =
      GENERATE("KQG-Organisation: a b", "KQG-Deadline-Ms: soon",
               "KQG-Deadline-Ms: 0", "KQG-Deadline-Ms: 99999999999999999999",
               "X-Request-Id: a/b", "KQG-Ticket: {}", "Idempotency-Key: \xc3",
               "KQG-Ticket: a\r\nKQG-Ticket: b", "Idempotency-Key:");
  Fixture fixture;
  const auto response =
      fixture.SendRequest(Post(kChat, ChatBody(), header + "\r\n"));
  INFO(header);
  CHECK(response.status == 400);
  CHECK(fixture.backend.completions.empty());
}

TEST_CASE("CallerServer.RejectsUnknownPathsAndWrongMethods") {
  Fixture fixture;
  CHECK(fixture.SendRequest(Get("/nothing")).status == 404);
  CHECK(fixture.SendRequest(Get("/v1/batches/a/b")).status == 404);
  CHECK(fixture.SendRequest(Get("/v1/services/")).status == 404);
  const auto response = fixture.SendRequest(Get(kChat));
  CHECK(response.status == 405);
  CHECK(response.HasHeader("Allow: POST"));
  CHECK(fixture.SendRequest(Post("/healthz", "")).status == 405);
  CHECK(fixture.SendRequest(Get("/v1/batches/a/cancel")).status == 405);
}

TEST_CASE("CallerServer.RejectsOversizedRequests") {
  CallerSettings settings;
  settings.max_body_bytes = 1'000;
  settings.max_headers = 10;
  settings.max_header_bytes = 2'000;
  Fixture fixture(settings);
  CHECK(fixture.SendRequest(Post(kChat, std::string(1'001, ' '))).status ==
        413);
  CHECK(fixture
            .SendRequest(
                "POST " + kChat +
                " HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" +
                std::string(2'000, ' ') + "\r\n0\r\n\r\n")
            .status == 413);
  std::string many;
  for (auto i = 0; i < 11; ++i) {
    many += "X-" + std::to_string(i) + ": 1\r\n";
  }
  CHECK(fixture.SendRequest(Post(kChat, ChatBody(), many)).status == 431);
  CHECK(fixture
            .SendRequest(Post(kChat, ChatBody(),
                              "X-Long: " + std::string(3'000, 'x') + "\r\n"))
            .status == 431);
  CHECK(fixture.backend.completions.empty());
}

// Guards against clients that hang because they wait for the interim response
// before they send the body.
TEST_CASE("CallerServer.SendsContinueWhenExpected") {
  Fixture fixture;
  fixture.backend.completion.end = Completed();
  RawClient client(fixture.context, fixture.server->address());
  const auto request = Post(kChat, ChatBody(), "Expect: 100-continue\r\n");
  const auto border = request.find("\r\n\r\n") + 4;
  client.Send(request.substr(0, border));
  CHECK(client.ReadUntil("100 Continue\r\n\r\n").find("100") == 9);
  client.Clear();
  client.Send(request.substr(border));
  CHECK(Split(client.ReadUntil("usage")).status == 200);
}

TEST_CASE("CallerServer.PassesServiceCallsThrough") {
  Fixture fixture;
  fixture.backend.service_end.response =
      upstream::ServiceResponse{201, {{"X-Bar", "7"}}, "done"};
  const auto response = fixture.SendRequest(
      "PUT /v1/services/pay/confirm/4?x=%20 HTTP/1.1\r\nHost: n\r\n"
      "Idempotency-Key: k1\r\nKQG-Ticket: n.1.2\r\nX-Own: v\r\n"
      "Content-Length: 2\r\n\r\nhi");
  CHECK(response.status == 201);
  CHECK(response.body == "done");
  CHECK(response.HasHeader("X-Bar: 7"));
  CHECK(response.HasHeader("KQG-Outcome: completed"));
  const auto& request = fixture.backend.service_request;
  CHECK(fixture.backend.called_service.value() == "pay");
  CHECK(request.method == "PUT");
  CHECK(request.target == "/confirm/4?x=%20");
  CHECK(request.body == "hi");
  const auto has = [&](const upstream::HttpHeader& header) {
    return std::count(request.headers.begin(), request.headers.end(), header);
  };
  CHECK(has({"X-Own", "v"}) == 1);
  CHECK(has({"Idempotency-Key", "k1"}) == 1);
  CHECK(has({"KQG-Ticket", "n.1.2"}) == 0);
  CHECK(fixture.backend.service_options.idempotency_key == "k1");
  CHECK(fixture.backend.service_options.ticket == "n.1.2");
}

// Guards against client libraries that retry a payment automatically.
TEST_CASE("CallerServer.UnknownServiceOutcomeForbidsRetries") {
  Fixture fixture;
  fixture.backend.service_end.outcome.kind = OutcomeKind::kUnknown;
  const auto response =
      fixture.SendRequest(Post("/v1/services/pay/confirm", "{}"));
  CHECK(response.status == 504);
  CHECK(response.Error()["code"] == "unknown_outcome");
  CHECK(response.HasHeader("X-Should-Retry: false"));
  CHECK(response.head.find("Retry-After") == std::string::npos);
}

TEST_CASE("CallerServer.ReusedKeyWithAnotherBodyIsUnprocessable") {
  Fixture fixture;
  fixture.backend.service_error = Error(
      ErrorKind::kConflict, "key has another body", "k1", "use a new key");
  CHECK(fixture.SendRequest(Post("/v1/services/pay/confirm", "{}")).status ==
        422);
}

auto Batch(const std::string& body, const std::string& query = "?model=small")
    -> std::string {
  return Post("/v1/batches" + query, body, "Idempotency-Key: job-key\r\n");
}

TEST_CASE("CallerServer.UploadsABatchInPieces") {
  Fixture fixture;
  std::string body;
  for (auto i = 0; i < 5'000; ++i) {
    body += R"({"custom_id":")" + std::to_string(i) + R"(","body":{}})" + "\n";
  }
  const auto response =
      fixture.SendRequest(Batch(body, "?model=small&due_in_s=60"));
  CHECK(response.status == 200);
  CHECK(json::parse(response.body)["id"] == "job-1");
  REQUIRE(fixture.backend.uploads.size() == 1);
  CHECK(fixture.backend.uploads[0]->body == body);
  CHECK(fixture.backend.uploads[0]->finished);
  CHECK(fixture.backend.batch_options.service.value() == "small");
  CHECK(fixture.backend.batch_options.idempotency_key == "job-key");
}

TEST_CASE("CallerServer.RejectsBadBatches") {
  CallerSettings settings;
  settings.max_batch_items = 3;
  settings.max_batch_bytes = 100;
  Fixture fixture(settings);
  CHECK(fixture.SendRequest(Batch("{}\n", "")).status == 400);
  CHECK(fixture.SendRequest(Batch("{}\n", "?model=a&service=b")).status == 400);
  CHECK(fixture.SendRequest(Batch("{}\n", "?model=a&model=b")).status == 400);
  CHECK(fixture.SendRequest(Batch("{}\n", "?model=%zz")).status == 400);
  CHECK(fixture.SendRequest(Batch("{}\n", "?model=a&due_in_s=-1")).status ==
        400);
  CHECK(fixture.SendRequest(Batch("{}\n", "?model=a&colour=red")).status ==
        400);
  CHECK(fixture.SendRequest(Post("/v1/batches?model=a", "{}\n")).status == 400);
  CHECK(fixture.SendRequest(Batch("\n\r\n")).status == 400);
  CHECK(fixture.SendRequest(Batch("{}\n{}\n{}\n{}\n")).status == 413);
  CHECK(fixture.SendRequest(Batch(std::string(101, ' '))).status == 413);
  for (const auto& upload : fixture.backend.uploads) {
    CHECK(upload->abandoned);
  }
}

// Guards against accepting a job whose upload was incomplete.
TEST_CASE("CallerServer.AbandonsTheUploadWhenTheCallerDisconnects") {
  Fixture fixture;
  RawClient client(fixture.context, fixture.server->address());
  const auto request = Batch("{}\n{}\n");
  client.Send(request.substr(0, request.size() - 2));
  REQUIRE(RunUntil(fixture.context,
                   [&] { return !fixture.backend.uploads.empty(); }));
  client.Close();
  CHECK(RunUntil(fixture.context,
                 [&] { return fixture.backend.uploads[0]->abandoned; }));
}

TEST_CASE("CallerServer.ChangedBatchBodyIsAConflict") {
  Fixture fixture;
  fixture.backend.finish_error =
      Error(ErrorKind::kConflict, "job has another body", "job-1", "new key");
  CHECK(fixture.SendRequest(Batch("{}\n")).status == 409);
}

TEST_CASE("CallerServer.AnswersStatusAndCancelOfABatch") {
  Fixture fixture;
  const auto status = fixture.SendRequest(Get("/v1/batches/job-1"));
  CHECK(json::parse(status.body)["status"] == "running");
  const auto cancel = fixture.SendRequest(Post("/v1/batches/job-1/cancel", ""));
  CHECK(json::parse(cancel.body)["status"] == "cancelled");
  CHECK(fixture.SendRequest(Get("/v1/batches/none")).status == 404);
}

TEST_CASE("CallerServer.StreamsBatchResults") {
  Fixture fixture;
  fixture.backend.result_pieces = {"{\"a\":1}\n", "{\"b\":2}\n"};
  const auto response =
      fixture.SendRequest(Get("/v1/batches/job-1/results?custom_id=a%2Fb"));
  CHECK(response.status == 200);
  CHECK(response.body.find("{\"b\":2}\n") != std::string::npos);
  CHECK(response.body.find("0\r\n\r\n") != std::string::npos);
  CHECK(fixture.backend.result_custom_id == "a/b");
  CHECK(fixture.SendRequest(Get("/v1/batches/none/results")).status == 404);
}

// Guards against buffering all results in memory for a slow reader.
TEST_CASE("CallerServer.ReadsResultsNoFasterThanTheCallerTakesThem") {
  Fixture fixture;
  fixture.backend.result_pieces =
      std::vector<std::string>(200, std::string(1U << 20U, 'r'));
  RawClient client(fixture.context, fixture.server->address());
  client.Send(Get("/v1/batches/job-1/results"));
  // The socket buffers of the kernel hold some pieces, but far from all.
  RunUntil(
      fixture.context, [] { return false; }, std::chrono::milliseconds(300));
  CHECK(fixture.backend.pieces_read < 100);
}

// Guards against truncated results that a caller takes for complete ones.
TEST_CASE("CallerServer.BreaksTheBodyWhenResultsEndEarly") {
  Fixture fixture;
  fixture.backend.result_pieces = {"{\"a\":1}\n"};
  fixture.backend.fail_results = true;
  const auto response = fixture.SendRequest(Get("/v1/batches/job-1/results"));
  CHECK(response.body.find("0\r\n\r\n") == std::string::npos);
}

// Returns a completion handler that forwards requests to a fake engine.
auto RelayTo(upstream::HttpEngineClient& client, const std::string& address) {
  return [&client, address](routing::CompletionRequest request,
                            routing::TokenSink sink,
                            std::shared_ptr<node::StreamCancel> cancel)
             -> asio::awaitable<CompletionEnd> {
    const auto on_start =
        [cancel](const std::shared_ptr<upstream::StreamHandle>& handle) {
          cancel->set_hook([handle] { handle->Cancel(); });
        };
    auto end = co_await client.Stream(address, std::move(request), on_start,
                                      std::move(sink));
    cancel->set_hook({});
    if (end.kind == upstream::StreamEnd::Kind::kCompleted) {
      co_return Completed(end.finish_reason);
    }
    co_return Ended(OutcomeKind::kFailed, end.reason);
  };
}

// Guards against bytes that are lost or altered between engine and caller.
TEST_CASE("CallerServer.RelaysTheWholeAnswerOfAnEngine") {
  Fixture fixture;
  testing::FakeEngineSettings settings;
  settings.first_token_time = std::chrono::microseconds(0);
  settings.token_time = std::chrono::microseconds(0);
  testing::FakeEngine engine(fixture.context, settings);
  upstream::HttpEngineClient client(fixture.context.get_executor());
  fixture.backend.on_complete = RelayTo(client, engine.address());
  const json body{{"model", "small"},
                  {"prompt", "relay"},
                  {"max_tokens", kRelayedTokens},
                  {"stream", true}};
  const auto response =
      fixture.SendRequest(Post("/v1/completions", body.dump()));
  std::string text;
  for (const auto& event : Events(response.body)) {
    if (event != "[DONE]") {
      // A chunk may end only at the end of an event.
      text += json::parse(event)["choices"][0]["text"].get<std::string>();
    }
  }
  CHECK(text == testing::FakeAnswer("relay", kRelayedTokens));
}

// Guards against engines that keep generating after the caller disconnects.
TEST_CASE("CallerServer.DisconnectStopsTheEngine") {
  Fixture fixture;
  testing::FakeEngine engine(fixture.context, {});
  upstream::HttpEngineClient client(fixture.context.get_executor());
  fixture.backend.on_complete = RelayTo(client, engine.address());
  RawClient caller(fixture.context, fixture.server->address());
  caller.Send(Post("/v1/completions",
                   R"({"model":"m","prompt":"p","max_tokens":100000})"));
  REQUIRE(RunUntil(fixture.context, [&] { return engine.running() == 1; }));
  caller.Close();
  CHECK(RunUntil(fixture.context, [&] { return engine.running() == 0; }));
}

const std::vector<std::string> kParts = {"GET ",
                                         "POST ",
                                         "/v1/completions",
                                         "/v1/batches?model=%",
                                         " HTTP/1.1",
                                         "\r\n",
                                         "\r\n\r\n",
                                         "Content-Length: ",
                                         "99999999999999999999",
                                         "-1",
                                         "Transfer-Encoding: chunked\r\n",
                                         "0\r\n\r\n",
                                         "fffffffffffffff\r\n",
                                         "{\"model\":",
                                         "[[[[",
                                         "\"\\u0000\"",
                                         "\xff\xfe",
                                         "Host: a\r\n",
                                         ":",
                                         " ",
                                         "Expect: 100-continue\r\n",
                                         "KQG-Deadline-Ms: 1\r\n",
                                         "?custom_id=%2",
                                         "/v1/batches/x/results",
                                         "Connection: close\r\n",
                                         "HTTP/9.9",
                                         "\t",
                                         "}"};

auto Garbage(std::mt19937_64& random) -> std::string {
  std::string text;
  const auto parts = 1 + random() % 20;
  for (std::uint64_t i = 0; i < parts; ++i) {
    if (random() % 4 == 0) {
      text += static_cast<char>(random() % 256);
    } else {
      text += kParts[random() % kParts.size()];
    }
  }
  return text;
}

// Guards against input that crashes the listener or leaks a connection.
TEST_CASE("CallerServer.SurvivesGarbage") {
  const auto seed = std::random_device{}();
  WARN("seed " << seed);
  std::mt19937_64 random(seed);
  CallerSettings settings;
  settings.read_timeout = std::chrono::milliseconds(5);
  settings.idle_timeout = std::chrono::milliseconds(5);
  Fixture fixture(settings);
  fixture.backend.completion.end = Completed();
  for (auto i = 0; i < kGarbageRequests; ++i) {
    const auto garbage = Garbage(random);
    RawClient client(fixture.context, fixture.server->address());
    client.Send(garbage);
    if (random() % 2 == 0) {
      const auto response = Split(client.ReadToEnd());
      INFO("request " << i << ": " << garbage);
      CHECK((response.status < 500));
    }
  }
  CHECK(RunUntil(fixture.context,
                 [&] { return fixture.server->connections() == 0; }));
  CHECK(fixture.SendRequest(Get("/healthz")).status == 200);
}

}  // namespace
}  // namespace kumquatgauge::caller
