#include "caller/session.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <utility>

#include "caller/api_error.h"
#include "caller/completion_call.h"
#include "caller/request_head.h"
#include "caller/server_core.h"
#include "caller/stream_writer.h"
#include "upstream/deadline_socket.h"
#include "upstream/http_exchange.h"

namespace kumquatgauge::caller::detail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using asio::ip::tcp;
using nlohmann::json;
using upstream::detail::DeadlineSocket;
using HeaderParser = http::request_parser<http::empty_body>;
using OnExpiry = DeadlineSocket::OnExpiry;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kRequestTimeout = 408;
constexpr int kConflict = 409;
constexpr int kPayloadTooLarge = 413;
constexpr int kUnprocessable = 422;
constexpr int kTooManyHeaders = 431;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;
constexpr int kVersion10 = 10;
constexpr int kVersion11 = 11;

constexpr std::size_t kReadBytes = 16U << 10U;
constexpr std::size_t kUploadPieceBytes = 64U << 10U;
// Closing a socket with unread input resets the connection, and a caller that
// is still sending could lose an error response. Its input is therefore read
// and discarded, up to these limits, before the socket is closed.
constexpr std::size_t kLingerBytes = 4U << 20U;
constexpr std::chrono::milliseconds kLingerTime{1'000};

const std::string kJson = "application/json";
const std::string kJsonLines = "application/jsonl";
const std::string kEventStream = "text/event-stream";
const std::string kServicesPrefix = "/v1/services/";
const std::string kBatchesPrefix = "/v1/batches/";
const std::string kModelsPrefix = "/v1/models/";

struct Reply {
  int status = kOk;
  std::string content_type = kJson;
  std::string body;
  std::vector<upstream::HttpHeader> headers;
  OutcomeKind outcome = OutcomeKind::kCompleted;
};

auto NowS() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Random, so that ids are unique across nodes and restarts without
// coordination.
auto NewRequestId() -> std::string {
  thread_local std::mt19937_64 random{std::random_device{}()};
  std::array<char, 40> text{};
  const auto high = static_cast<unsigned long long>(random());
  const auto low = static_cast<unsigned long long>(random());
  const auto length = std::snprintf(text.data(), text.size(),
                                    "req-%016llx%08llx", high, low >> 32U);
  return {text.data(), static_cast<std::size_t>(length)};
}

auto JsonReply(const json& value) -> Reply {
  Reply reply;
  reply.body = value.dump(-1, ' ', false, json::error_handler_t::replace);
  return reply;
}

auto TextReply(int status, std::string body) -> Reply {
  Reply reply;
  reply.status = status;
  reply.content_type = "text/plain";
  reply.body = std::move(body);
  return reply;
}

auto ErrorReply(const ApiError& error) -> Reply {
  Reply reply;
  reply.status = error.status;
  reply.outcome = error.outcome;
  reply.body = ToJson(error);
  if (error.retry_after) {
    reply.headers.push_back(
        {"Retry-After", RetryAfterSeconds(*error.retry_after)});
  }
  if (!error.allow.empty()) {
    reply.headers.push_back({"Allow", error.allow});
  }
  // Client libraries of the completion API retry after 409 and every 5xx unless
  // this header forbids it.
  if (error.outcome == OutcomeKind::kUnknown || error.status == kConflict) {
    reply.headers.push_back({"X-Should-Retry", "false"});
  }
  return reply;
}

auto AddressesReply(const AddressList& list) -> Reply {
  return JsonReply({{"addresses", list.addresses},
                    {"ttl_s", list.ttl.count()},
                    {"ticket", list.ticket}});
}

auto ModelJson(const ModelInfo& model) -> json {
  return {{"id", model.id},
          {"object", "model"},
          {"created", model.created_s},
          {"owned_by", "kumquatgauge"}};
}

auto ModelsReply(const std::vector<ModelInfo>& models) -> Reply {
  auto list = json::array();
  for (const auto& model : models) {
    list.push_back(ModelJson(model));
  }
  return JsonReply({{"object", "list"}, {"data", std::move(list)}});
}

auto ModelReply(const std::vector<ModelInfo>& models, const std::string& id)
    -> Reply {
  const auto found =
      std::find_if(models.begin(), models.end(),
                   [&id](const ModelInfo& model) { return model.id == id; });
  if (found == models.end()) {
    throw ApiError(kNotFound, "model_not_found",
                   "no such model: " + id + "; see GET /v1/models", "model");
  }
  return JsonReply(ModelJson(*found));
}

auto ToHead(const HeaderParser& parser) -> RequestHead {
  RequestHead head;
  const auto& message = parser.get();
  head.method = std::string(message.method_string());
  head.target = std::string(message.target());
  for (const auto& field : message) {
    head.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return head;
}

// Returns the response to a failed read of a request; none if the caller has
// disconnected.
auto ReadError(const boost::system::error_code& error, bool timed_out)
    -> std::optional<ApiError> {
  if (timed_out) {
    return ApiError(kRequestTimeout, "sender_too_slow",
                    "the request did not arrive in time; send it faster");
  }
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return ApiError(kTooManyHeaders, "headers_too_large",
                    "the headers are too large; send fewer or shorter ones");
  }
  if (error == http::error::body_limit) {
    return ApiError(kPayloadTooLarge, "body_too_large",
                    "the body is too large; see docs/callers.md for limits");
  }
  if (error == http::error::end_of_stream ||
      error == http::error::partial_message ||
      error.category() != make_error_code(http::error::bad_method).category()) {
    return std::nullopt;
  }
  return ApiError(
      kBadRequest, "bad_http",
      "malformed HTTP request: " + error.message() + "; send HTTP/1.1");
}

auto MethodError(const std::string& allowed) -> ApiError {
  ApiError error(kMethodNotAllowed, "method_not_allowed",
                 "this path does not support the method; use " + allowed);
  error.allow = allowed;
  return error;
}

auto NotFoundError(const std::string& path) -> ApiError {
  return ApiError(kNotFound, "unknown_path",
                  "no such path: " + path + "; see docs/callers.md");
}

}  // namespace

struct Session::Impl : std::enable_shared_from_this<Session::Impl> {
  Impl(std::shared_ptr<ServerCore> server_core, tcp::socket socket)
      : core(std::move(server_core)),
        settings(core->settings),
        io(std::make_shared<DeadlineSocket>(std::move(socket))) {}

  auto Run() -> asio::awaitable<void>;
  auto OnStop() -> void;
  auto Abort() -> void;

  // One request being handled.
  struct Call {
    RequestHead head;
    CallOptions options;
    std::shared_ptr<HeaderParser> parser;
  };

  auto WaitForRequest() -> asio::awaitable<bool>;
  auto ReadHeader(std::shared_ptr<HeaderParser> parser)
      -> asio::awaitable<bool>;
  auto Handle(std::shared_ptr<Call> call) -> asio::awaitable<void>;
  auto Route(std::shared_ptr<Call> call) -> asio::awaitable<void>;
  auto RouteBatch(std::shared_ptr<Call> call) -> asio::awaitable<void>;
  auto SimpleReply(const Call& call) -> std::optional<Reply>;

  auto Complete(std::shared_ptr<Call> call,
                routing::CompletionEndpoint endpoint) -> asio::awaitable<void>;
  auto RunNonStreaming(std::shared_ptr<Call> call,
                       std::shared_ptr<CompletionWriter> writer,
                       routing::CompletionRequest request)
      -> asio::awaitable<void>;
  auto RunStreaming(std::shared_ptr<Call> call,
                    std::shared_ptr<CompletionWriter> writer,
                    routing::CompletionRequest request)
      -> asio::awaitable<void>;
  // Runs the completion on the backend. It is cancelled when the caller
  // disconnects.
  auto RunCompletion(routing::CompletionRequest request,
                     routing::TokenSink sink,
                     std::shared_ptr<node::StreamCancel> cancel)
      -> asio::awaitable<CompletionEnd>;
  auto CallService(std::shared_ptr<Call> call) -> asio::awaitable<void>;
  auto SubmitBatch(std::shared_ptr<Call> call) -> asio::awaitable<void>;
  auto ReadResults(std::shared_ptr<Call> call, JobId id)
      -> asio::awaitable<void>;

  auto ReadBody(std::shared_ptr<Call> call) -> asio::awaitable<std::string>;
  auto CheckLength(const Call& call, std::size_t max_bytes) -> void;
  auto SendContinue(std::shared_ptr<Call> call) -> asio::awaitable<void>;
  auto Send(std::shared_ptr<Call> call, Reply reply) -> asio::awaitable<void>;
  auto StreamHead(const Call& call,
                  const std::string& content_type,
                  bool trailer) const -> std::string;
  auto Linger() -> asio::awaitable<void>;
  auto WatchForDisconnect() -> void;
  auto Chunked(const Call& call) const -> bool;

  std::shared_ptr<ServerCore> core;
  const CallerSettings& settings;

  std::shared_ptr<DeadlineSocket> io;

  std::shared_ptr<node::StreamCancel> running;  // Null between completions.
  bool idle = false;
  bool keep_alive = true;
  // For the current request: whether the response has begun, and whether the
  // body has been read to its end.
  bool response_started = false;
  bool body_read = false;
  bool watching_for_disconnect = false;
};

auto Session::Impl::Run() -> asio::awaitable<void> {
  while (keep_alive) {
    const auto arrived = co_await WaitForRequest();
    if (!arrived) {
      break;
    }
    auto call = std::make_shared<Call>();
    call->parser = std::make_shared<HeaderParser>();
    keep_alive = true;
    response_started = false;
    body_read = false;
    co_await Handle(call);
  }
  co_await Linger();
}

auto Session::Impl::WaitForRequest() -> asio::awaitable<bool> {
  if (io->buffer().size() > 0) {
    co_return true;
  }
  idle = true;
  io->ExpireAfter(core->stopping ? settings.stop_grace : settings.idle_timeout,
                  OnExpiry::kStopReading);
  boost::system::error_code error;
  const auto bytes = co_await io->socket().async_read_some(
      io->buffer().prepare(kReadBytes),
      asio::redirect_error(asio::use_awaitable, error));
  idle = false;
  io->Disarm();
  io->buffer().commit(bytes);
  co_return !error && bytes > 0;
}

auto Session::Impl::ReadHeader(std::shared_ptr<HeaderParser> parser)
    -> asio::awaitable<bool> {
  parser->header_limit(static_cast<std::uint32_t>(settings.max_header_bytes));
  // Checked per endpoint once the path is known.
  parser->body_limit(boost::none);
  io->ExpireAfter(settings.read_timeout, OnExpiry::kStopReading);
  boost::system::error_code error;
  co_await http::async_read_header(
      io->socket(), io->buffer(), *parser,
      asio::redirect_error(asio::use_awaitable, error));
  io->Disarm();
  if (!error) {
    const auto& fields = parser->get();
    const auto count = std::distance(fields.begin(), fields.end());
    if (static_cast<std::size_t>(count) > settings.max_headers) {
      throw ApiError(kTooManyHeaders, "too_many_headers",
                     "more than " + std::to_string(settings.max_headers) +
                         " headers; send fewer");
    }
    co_return true;
  }
  if (auto bad = ReadError(error, io->timed_out())) {
    throw std::move(*bad);
  }
  co_return false;
}

auto Session::Impl::Handle(std::shared_ptr<Call> call)
    -> asio::awaitable<void> {
  std::optional<ApiError> failure;
  auto header_read = false;
  try {
    header_read = co_await ReadHeader(call->parser);
    if (!header_read) {
      keep_alive = false;
      co_return;
    }
    keep_alive = call->parser->keep_alive() && !core->stopping;
    call->head = ToHead(*call->parser);
    call->options = ReadCallOptions(call->head, settings, NewRequestId());
    co_await Route(call);
  } catch (const ApiError& error) {
    failure = error;
  } catch (const Error& error) {
    const auto service = call->head.target.compare(0, kServicesPrefix.size(),
                                                   kServicesPrefix) == 0;
    failure = FromError(error, service ? kUnprocessable : kConflict);
  } catch (const std::exception& error) {
    failure = FromError(Error(ErrorKind::kInternal, "internal error",
                              error.what(), "report it as a bug"),
                        kConflict);
  }
  if (!failure) {
    co_return;
  }
  if (response_started) {
    // The status line has been sent; only an incomplete body can show the
    // caller that the request failed.
    io->Close();
    keep_alive = false;
    co_return;
  }
  // An unread body would be parsed as the next request.
  keep_alive =
      keep_alive && header_read && (body_read || call->parser->is_done());
  auto reply = ErrorReply(*failure);
  co_await Send(call, std::move(reply));
}

auto Session::Impl::SimpleReply(const Call& call) -> std::optional<Reply> {
  const auto path = call.head.path();
  const auto models = path.compare(0, kModelsPrefix.size(), kModelsPrefix) == 0;
  const auto known = models || path == "/healthz" || path == "/readyz" ||
                     path == "/metrics" || path == "/v1/addresses" ||
                     path == "/v1/models";
  if (!known) {
    return std::nullopt;
  }
  if (call.head.method != "GET") {
    throw MethodError("GET");
  }
  if (path == "/healthz") {
    return TextReply(kOk, "ok\n");
  }
  if (path == "/readyz") {
    const auto ready = core->backend.ready() && !core->stopping;
    return ready ? TextReply(kOk, "ready\n")
                 : TextReply(kUnavailable, "not ready\n");
  }
  if (path == "/metrics") {
    return TextReply(kOk, core->backend.metrics());
  }
  if (path == "/v1/addresses") {
    return AddressesReply(core->backend.addresses());
  }
  return models ? ModelReply(core->backend.Models(),
                             path.substr(kModelsPrefix.size()))
                : ModelsReply(core->backend.Models());
}

auto Session::Impl::Route(std::shared_ptr<Call> call) -> asio::awaitable<void> {
  const auto path = call->head.path();
  if (path == "/v1/chat/completions") {
    co_await Complete(call, routing::CompletionEndpoint::kChatCompletions);
    co_return;
  }
  if (path == "/v1/completions") {
    co_await Complete(call, routing::CompletionEndpoint::kCompletions);
    co_return;
  }
  if (path.compare(0, kServicesPrefix.size(), kServicesPrefix) == 0) {
    co_await CallService(call);
    co_return;
  }
  if (path == "/v1/batches" ||
      path.compare(0, kBatchesPrefix.size(), kBatchesPrefix) == 0) {
    co_await RouteBatch(call);
    co_return;
  }
  auto reply = SimpleReply(*call);
  if (!reply) {
    throw NotFoundError(path);
  }
  co_await ReadBody(call);
  co_await Send(call, std::move(*reply));
}

auto Session::Impl::RouteBatch(std::shared_ptr<Call> call)
    -> asio::awaitable<void> {
  const auto path = call->head.path();
  const auto& method = call->head.method;
  if (path == "/v1/batches") {
    if (method != "POST") {
      throw MethodError("POST");
    }
    co_await SubmitBatch(call);
    co_return;
  }
  const auto rest = path.substr(kBatchesPrefix.size());
  const auto slash = std::min(rest.find('/'), rest.size());
  const JobId id(rest.substr(0, slash));
  const auto action = rest.substr(slash);
  if (!IsValidName(id.value()) ||
      (!action.empty() && action != "/cancel" && action != "/results")) {
    throw NotFoundError(path);
  }
  const auto post = action == "/cancel";
  if (method != (post ? "POST" : "GET")) {
    throw MethodError(post ? "POST" : "GET");
  }
  co_await ReadBody(call);
  if (action == "/results") {
    co_await ReadResults(call, id);
    co_return;
  }
  json status;
  if (post) {
    status = co_await core->backend.CancelBatch(id);
  } else {
    status = co_await core->backend.BatchStatus(id);
  }
  co_await Send(call, JsonReply(status));
}

auto Session::Impl::Complete(std::shared_ptr<Call> call,
                             routing::CompletionEndpoint endpoint)
    -> asio::awaitable<void> {
  if (call->head.method != "POST") {
    throw MethodError("POST");
  }
  auto body = co_await ReadBody(call);
  const auto parsed = ParseCompletionCall(body, endpoint);
  routing::CompletionRequest request;
  request.id = call->options.request_id;
  request.organisation = call->options.organisation;
  request.service = ServiceName(parsed.model);
  request.endpoint = endpoint;
  request.body = std::move(body);
  request.affinity = parsed.affinity;
  request.max_tokens = parsed.max_tokens;
  request.time_left = call->options.time_left;
  auto writer =
      std::make_shared<CompletionWriter>(parsed, request.id.value(), NowS());
  if (parsed.stream) {
    co_await RunStreaming(call, writer, std::move(request));
  } else {
    co_await RunNonStreaming(call, writer, std::move(request));
  }
}

auto Session::Impl::RunCompletion(routing::CompletionRequest request,
                                  routing::TokenSink sink,
                                  std::shared_ptr<node::StreamCancel> cancel)
    -> asio::awaitable<CompletionEnd> {
  running = cancel;
  WatchForDisconnect();
  CompletionEnd end;
  try {
    end = co_await core->backend.Complete(std::move(request), std::move(sink),
                                          cancel);
  } catch (...) {
    running = nullptr;
    throw;
  }
  running = nullptr;
  co_return end;
}

namespace {

// Counts the tokens of one answer and rejects all tokens after a gap.
struct TokenCounter {
  std::uint64_t next = 0;
  bool gap = false;

  auto Accept(const routing::Token& token) -> bool {
    gap = gap || token.offset != next;
    next += gap ? 0 : 1;
    return !gap;
  }
};

auto GapOutcome() -> Outcome {
  Outcome outcome;
  outcome.kind = OutcomeKind::kFailed;
  outcome.reason = "tokens of the answer were lost in transit";
  return outcome;
}

}  // namespace

auto Session::Impl::RunNonStreaming(std::shared_ptr<Call> call,
                                    std::shared_ptr<CompletionWriter> writer,
                                    routing::CompletionRequest request)
    -> asio::awaitable<void> {
  auto cancel = std::make_shared<node::StreamCancel>();
  auto text = std::make_shared<std::string>();
  auto counter = std::make_shared<TokenCounter>();
  const routing::TokenSink sink = [text, counter,
                                   cancel](const routing::Token& token) {
    if (counter->Accept(token)) {
      *text += token.text;
    } else if (!cancel->cancelled()) {
      cancel->Cancel();
    }
  };
  auto end = co_await RunCompletion(std::move(request), sink, cancel);
  if (counter->gap) {
    end.outcome = GapOutcome();
  }
  if (end.outcome.kind != OutcomeKind::kCompleted) {
    throw FromOutcome(end.outcome, end.http_status);
  }
  Reply reply;
  reply.body = writer->FullResponse(*text, end.finish_reason, counter->next);
  co_await Send(call, std::move(reply));
}

auto Session::Impl::RunStreaming(std::shared_ptr<Call> call,
                                 std::shared_ptr<CompletionWriter> writer,
                                 routing::CompletionRequest request)
    -> asio::awaitable<void> {
  auto cancel = std::make_shared<node::StreamCancel>();
  auto counter = std::make_shared<TokenCounter>();
  auto out = std::make_shared<StreamWriter>(io, settings, Chunked(*call));
  out->set_on_failure([cancel] { cancel->Cancel(); });
  const auto start = [this, call, out] {
    if (!response_started) {
      response_started = true;
      keep_alive = keep_alive && Chunked(*call) && !core->stopping;
      out->set_head(StreamHead(*call, kEventStream, true));
    }
  };
  const routing::TokenSink sink = [writer, counter, out, cancel,
                                   start](const routing::Token& token) {
    if (cancel->cancelled()) {
      return;
    }
    if (!counter->Accept(token)) {
      cancel->Cancel();
      return;
    }
    start();
    writer->AppendToken(token.text, out->pending());
    out->ScheduleFlush();
  };
  std::optional<ApiError> failure;
  CompletionEnd end;
  try {
    end = co_await RunCompletion(std::move(request), sink, cancel);
    if (counter->gap) {
      end.outcome = GapOutcome();
    }
    if (end.outcome.kind != OutcomeKind::kCompleted) {
      failure = FromOutcome(end.outcome, end.http_status);
    }
  } catch (const Error& error) {
    failure = FromError(error, kConflict);
  }
  out->set_on_failure(nullptr);
  if (failure && !response_started) {
    throw std::move(*failure);
  }
  start();
  // Tokens were sent, so the request was run: never report it as not run.
  auto kind = OutcomeKind::kCompleted;
  if (failure) {
    kind = failure->outcome == OutcomeKind::kNotRun ? OutcomeKind::kFailed
                                                    : failure->outcome;
    failure->outcome = kind;
    out->pending() += "data: " + ToJson(*failure) + "\n\n";
  } else {
    out->pending() += writer->EndEvents(end.finish_reason, counter->next);
  }
  out->Finish("KQG-Outcome: " + std::string(OutcomeKindName(kind)) + "\r\n");
  const auto written = co_await out->WaitUntilDrained();
  keep_alive = keep_alive && written;
}

auto Session::Impl::CallService(std::shared_ptr<Call> call)
    -> asio::awaitable<void> {
  const auto rest = call->head.target.substr(kServicesPrefix.size());
  const auto end = std::min(rest.find_first_of("/?"), rest.size());
  const ServiceName service(rest.substr(0, end));
  if (!IsValidName(service.value())) {
    throw ApiError(kNotFound, "unknown_path",
                   "invalid service name; use /v1/services/SERVICE/PATH");
  }
  upstream::ServiceRequest request;
  request.method = call->head.method;
  request.target = rest.substr(end);
  if (request.target.empty() || request.target.front() != '/') {
    request.target.insert(0, "/");
  }
  for (const auto& header : call->head.headers) {
    const auto not_forwarded = beast::iequals(header.name, "Host") ||
                               beast::iequals(header.name, "Content-Length") ||
                               beast::iequals(header.name, "Expect") ||
                               beast::iequals(header.name, "X-Request-Id") ||
                               beast::iequals(header.name.substr(0, 4), "KQG-");
    if (!not_forwarded && !IsHopByHop(header.name)) {
      request.headers.push_back(header);
    }
  }
  upstream::HttpHeader id;
  id.name = "X-Request-Id";
  id.value = call->options.request_id.value();
  request.headers.push_back(std::move(id));
  request.body = co_await ReadBody(call);
  ServiceCallOptions options;
  options.organisation = call->options.organisation;
  options.idempotency_key = call->options.idempotency_key;
  options.ticket = call->options.ticket;
  options.request_id = call->options.request_id;
  options.time_left = call->options.time_left;
  auto result = co_await core->backend.CallService(service, std::move(request),
                                                   std::move(options));
  if (!result.response) {
    if (result.outcome.kind == OutcomeKind::kCompleted) {
      throw ApiError(kInternalError, "internal",
                     "the service returned no response");
    }
    throw FromOutcome(result.outcome, result.http_status);
  }
  Reply reply;
  reply.status = result.response->status;
  reply.content_type.clear();
  reply.headers = std::move(result.response->headers);
  reply.body = std::move(result.response->body);
  reply.outcome = result.outcome.kind;
  co_await Send(call, std::move(reply));
}

namespace {

auto ReadBatchOptions(const CallOptions& call,
                      const std::string& query,
                      const CallerSettings& settings) -> BatchOptions {
  const auto values = ParseQuery(query);
  for (const auto& [name, value] : values) {
    if (name != "model" && name != "service" && name != "due" &&
        name != "due_in_s") {
      throw ApiError(
          kBadRequest, "invalid_value",
          "unknown parameter " + name + "; use model, service, due or due_in_s",
          name);
    }
  }
  const auto model = values.find("model");
  const auto service = values.find("service");
  if ((model == values.end()) == (service == values.end())) {
    throw ApiError(kBadRequest, "invalid_value",
                   "give either the model or the service that runs the items, "
                   "as ?model=NAME or ?service=NAME",
                   "model");
  }
  BatchOptions options;
  options.service =
      ServiceName(model == values.end() ? service->second : model->second);
  if (options.service.empty()) {
    throw ApiError(kBadRequest, "invalid_value", "model is empty", "model");
  }
  if (call.idempotency_key.empty()) {
    throw ApiError(kBadRequest, "invalid_value",
                   "Idempotency-Key is missing; choose one per job, so that a "
                   "repeated upload finds the same job",
                   "Idempotency-Key");
  }
  options.organisation = call.organisation;
  options.idempotency_key = call.idempotency_key;
  options.due = ReadDue(values, settings, std::chrono::system_clock::now());
  return options;
}

// Counts the non-empty lines of an upload.
class LineCounter {
 public:
  auto Add(std::string_view bytes) -> void {
    for (const auto c : bytes) {
      if (c == '\n') {
        in_line_ = false;
      } else if (!in_line_ && c != '\r') {
        in_line_ = true;
        ++lines_;
      }
    }
  }
  auto lines() const -> std::size_t { return lines_; }

 private:
  std::size_t lines_ = 0;
  bool in_line_ = false;
};

}  // namespace

auto Session::Impl::SubmitBatch(std::shared_ptr<Call> call)
    -> asio::awaitable<void> {
  auto options = ReadBatchOptions(call->options, call->head.query(), settings);
  CheckLength(*call, settings.max_batch_bytes);
  auto upload = co_await core->backend.StartBatch(std::move(options));
  co_await SendContinue(call);
  http::request_parser<http::buffer_body> parser(std::move(*call->parser));
  parser.body_limit(settings.max_batch_bytes);
  LineCounter counter;
  while (!parser.is_done()) {
    std::string piece(kUploadPieceBytes, '\0');
    auto& target = parser.get().body();
    target.data = piece.data();
    target.size = piece.size();
    target.more = true;
    io->ExpireAfter(settings.read_timeout, OnExpiry::kStopReading);
    boost::system::error_code error;
    co_await http::async_read(io->socket(), io->buffer(), parser,
                              asio::redirect_error(asio::use_awaitable, error));
    io->Disarm();
    if (error && error != http::error::need_buffer) {
      keep_alive = false;
      if (auto bad = ReadError(error, io->timed_out())) {
        throw std::move(*bad);
      }
      io->Close();
      co_return;
    }
    piece.resize(piece.size() - target.size);
    counter.Add(piece);
    if (counter.lines() > settings.max_batch_items) {
      throw ApiError(kPayloadTooLarge, "too_many_items",
                     "more than " + std::to_string(settings.max_batch_items) +
                         " items; split the job");
    }
    co_await upload->Append(std::move(piece));
  }
  body_read = true;
  if (counter.lines() == 0) {
    throw ApiError(kBadRequest, "empty_batch",
                   "the body contains no items; send JSON Lines");
  }
  const auto status = co_await upload->Finish();
  co_await Send(call, JsonReply(status));
}

auto Session::Impl::ReadResults(std::shared_ptr<Call> call, JobId id)
    -> asio::awaitable<void> {
  const auto query = ParseQuery(call->head.query());
  std::optional<std::string> custom_id;
  if (const auto found = query.find("custom_id"); found != query.end()) {
    custom_id = found->second;
  }
  auto out = std::make_shared<StreamWriter>(io, settings, Chunked(*call));
  const auto start = [this, call, out] {
    if (!response_started) {
      response_started = true;
      keep_alive = keep_alive && Chunked(*call) && !core->stopping;
      out->set_head(StreamHead(*call, kJsonLines, false));
    }
  };
  // Waits until each piece has been written, so that at most one is in memory.
  const auto send = [out, start](std::string bytes) -> asio::awaitable<void> {
    start();
    out->pending() += bytes;
    out->ScheduleFlush();
    const auto written = co_await out->WaitUntilDrained();
    if (!written) {
      throw Error(ErrorKind::kUnavailable, "the caller has disconnected",
                  "batch results", "read them again");
    }
  };
  const ByteSink sink = send;
  co_await core->backend.ReadResults(std::move(id), std::move(custom_id), sink);
  start();
  out->Finish("");
  const auto written = co_await out->WaitUntilDrained();
  keep_alive = keep_alive && written;
}

auto Session::Impl::CheckLength(const Call& call, std::size_t max_bytes)
    -> void {
  const auto length = call.parser->content_length();
  if (length && *length > max_bytes) {
    throw ApiError(kPayloadTooLarge, "body_too_large",
                   "the body has more than " + std::to_string(max_bytes) +
                       " bytes; send less");
  }
}

auto Session::Impl::SendContinue(std::shared_ptr<Call> call)
    -> asio::awaitable<void> {
  const auto expected =
      beast::iequals(call->parser->get()[http::field::expect], "100-continue");
  if (!expected) {
    co_return;
  }
  const std::string line = "HTTP/1.1 100 Continue\r\n\r\n";
  boost::system::error_code ignored;
  co_await asio::async_write(
      io->socket(), asio::buffer(line),
      asio::redirect_error(asio::use_awaitable, ignored));
}

auto Session::Impl::ReadBody(std::shared_ptr<Call> call)
    -> asio::awaitable<std::string> {
  CheckLength(*call, settings.max_body_bytes);
  co_await SendContinue(call);
  http::request_parser<http::string_body> parser(std::move(*call->parser));
  parser.body_limit(settings.max_body_bytes);
  io->ExpireAfter(settings.read_timeout, OnExpiry::kStopReading);
  boost::system::error_code error;
  if (!parser.is_done()) {
    co_await http::async_read(io->socket(), io->buffer(), parser,
                              asio::redirect_error(asio::use_awaitable, error));
  }
  io->Disarm();
  if (!error) {
    body_read = true;
    co_return std::move(parser.get().body());
  }
  keep_alive = false;
  if (auto bad = ReadError(error, io->timed_out())) {
    throw std::move(*bad);
  }
  throw ApiError(kBadRequest, "caller_gone",
                 "the connection was closed before the end of the body");
}

auto Session::Impl::Send(std::shared_ptr<Call> call, Reply reply)
    -> asio::awaitable<void> {
  response_started = true;
  keep_alive = keep_alive && !core->stopping;
  http::response<http::string_body> message;
  message.version(call->head.method.empty()
                      ? kVersion11
                      : static_cast<int>(call->parser->get().version()));
  message.result(static_cast<unsigned>(reply.status));
  for (const auto& header : reply.headers) {
    message.insert(header.name, header.value);
  }
  if (!reply.content_type.empty()) {
    message.set(http::field::content_type, reply.content_type);
  }
  message.set("KQG-Outcome", std::string(OutcomeKindName(reply.outcome)));
  if (!call->options.request_id.empty()) {
    message.set("X-Request-Id", call->options.request_id.value());
  }
  message.keep_alive(keep_alive);
  message.body() = std::move(reply.body);
  message.prepare_payload();
  io->ExpireAfter(settings.write_timeout, OnExpiry::kClose);
  boost::system::error_code error;
  http::response_serializer<http::string_body> serializer(message);
  if (call->head.method == "HEAD") {
    co_await http::async_write_header(
        io->socket(), serializer,
        asio::redirect_error(asio::use_awaitable, error));
  } else {
    co_await http::async_write(
        io->socket(), serializer,
        asio::redirect_error(asio::use_awaitable, error));
  }
  io->Disarm();
  keep_alive = keep_alive && !error;
}

auto Session::Impl::StreamHead(const Call& call,
                               const std::string& content_type,
                               bool trailer) const -> std::string {
  http::response<http::empty_body> message;
  message.version(Chunked(call) ? kVersion11 : kVersion10);
  message.result(kOk);
  message.set(http::field::content_type, content_type);
  message.set(http::field::cache_control, "no-cache");
  // The outcome of a stream is known only at its end; a trailer carries it.
  message.set("KQG-Outcome", trailer ? "pending" : "completed");
  message.set("X-Request-Id", call.options.request_id.value());
  if (Chunked(call)) {
    message.chunked(true);
    if (trailer) {
      message.set(http::field::trailer, "KQG-Outcome");
    }
  }
  message.keep_alive(keep_alive);
  std::ostringstream text;
  text << message.base();
  return text.str();
}

auto Session::Impl::Chunked(const Call& call) const -> bool {
  return call.parser->get().version() >= kVersion11;
}

auto Session::Impl::Linger() -> asio::awaitable<void> {
  if (!io->socket().is_open()) {
    co_return;
  }
  boost::system::error_code error;
  io->socket().shutdown(tcp::socket::shutdown_send, error);
  io->ExpireAfter(kLingerTime, OnExpiry::kClose);
  std::size_t total = 0;
  std::array<char, kReadBytes> rest;
  while (!error && total < kLingerBytes) {
    total += co_await io->socket().async_read_some(
        asio::buffer(rest), asio::redirect_error(asio::use_awaitable, error));
  }
  io->Close();
}

// Cancels the running completion when the caller disconnects. The wait may
// outlast the request; its handler then finds no running completion.
auto Session::Impl::WatchForDisconnect() -> void {
  if (watching_for_disconnect) {
    return;
  }
  watching_for_disconnect = true;
  io->socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const boost::system::error_code& error) {
        self->watching_for_disconnect = false;
        if (!self->running) {
          return;
        }
        if (error || self->io->PeerClosed()) {
          self->running->Cancel();
        } else if (!self->io->Readable()) {
          self->WatchForDisconnect();
        }
      });
}

auto Session::Impl::OnStop() -> void {
  if (idle) {
    io->ExpireAfter(settings.stop_grace, OnExpiry::kStopReading);
  }
}

auto Session::Impl::Abort() -> void {
  keep_alive = false;
  if (running) {
    running->Cancel();
  }
  io->Close();
}

Session::Session(std::shared_ptr<ServerCore> core, tcp::socket socket)
    : core_(std::move(core)),
      impl_(std::make_shared<Impl>(core_, std::move(socket))) {}

Session::~Session() {
  core_->Remove(this);
}

auto Session::executor() const -> asio::any_io_executor {
  return impl_->io->socket().get_executor();
}

auto Session::Run() -> asio::awaitable<void> {
  auto self = shared_from_this();
  co_await impl_->Run();
}

auto Session::OnStop() -> void {
  impl_->OnStop();
}

auto Session::Abort() -> void {
  impl_->Abort();
}

}  // namespace kumquatgauge::caller::detail
