#include "kumquatgauge/upstream/http_engine_client.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "kumquatgauge/base/error.h"
#include "upstream/connection_pool.h"
#include "upstream/engine_event.h"
#include "upstream/http_exchange.h"
#include "upstream/json_body.h"
#include "upstream/sse_parser.h"

namespace kumquatgauge::upstream {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using detail::Connection;
using detail::ConnectionPool;
using detail::ExchangeLimits;
using detail::Reuse;
using nlohmann::json;
using Parser = http::response_parser<http::buffer_body>;
using Request = http::request<http::string_body>;
using Kind = StreamEnd::Kind;
using OnExpiry = detail::DeadlineSocket::OnExpiry;

constexpr std::size_t kReadBytes = 32U << 10U;
constexpr std::size_t kShownBytes = 200;  // Of an error body in messages.
constexpr std::size_t kMaxErrorBodyBytes = 64U << 10U;
constexpr std::size_t kMaxReplyBytes = 1U << 20U;
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusConflict = 409;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusInternalError = 500;
constexpr int kStatusUnavailable = 503;
// After [DONE] the end of the message usually follows in the same segment; a
// connection on which it has not arrived by then is closed instead of reused.
constexpr std::chrono::milliseconds kTailTimeout{20};

auto IsRefusal(int status) -> bool {
  return status == kStatusTooManyRequests || status == kStatusUnavailable;
}

auto Target(routing::CompletionEndpoint endpoint) -> std::string {
  return endpoint == routing::CompletionEndpoint::kCompletions
             ? "/v1/completions"
             : "/v1/chat/completions";
}

auto ToMessage(const std::string& address,
               const routing::CompletionRequest& request) -> Request {
  auto body = detail::ParseJsonObject(request.body);
  body["stream"] = true;
  body.erase("stream_options");
  body.erase("kqg_resume");
  if (request.resume_offset > 0) {
    body["kqg_resume"] = {{"offset", request.resume_offset},
                          {"text", request.resume_text}};
  }
  Request message(http::verb::post, Target(request.endpoint), 11);
  message.set(http::field::host, address);
  message.set(http::field::content_type, "application/json");
  message.set(http::field::accept, "text/event-stream");
  message.set("X-Request-Id", request.id.value());
  message.body() = body.dump(-1, ' ', false, json::error_handler_t::replace);
  message.prepare_payload();
  return message;
}

// Returns "message" of an error object, or the start of the body.
auto ErrorMessage(const std::string& body) -> std::string {
  const auto value = json::parse(body, nullptr, false);
  if (value.is_object() && value.contains("error")) {
    const auto& error = value["error"];
    if (error.is_object() && error.contains("message") &&
        error["message"].is_string()) {
      return error["message"].get<std::string>();
    }
  }
  return body.substr(0, kShownBytes);
}

// A stream from one engine, and the handle that cancels it.
class EngineStream : public StreamHandle {
 public:
  EngineStream(std::shared_ptr<ConnectionPool> pool,
               const EngineClientSettings& settings,
               std::string address,
               const routing::CompletionRequest& request,
               routing::TokenSink sink)
      : pool_(std::move(pool)),
        settings_(settings),
        address_(std::move(address)),
        request_id_(request.id.value()),
        sink_(std::move(sink)),
        first_byte_by_(std::chrono::steady_clock::now() +
                       FirstByteLimit(settings, request)) {
    end_.kind = Kind::kLost;  // Until another end is known.
    end_.next_offset = request.resume_offset;
  }

  auto Cancel() -> void override {
    if (ended_) {
      return;
    }
    cancelled_ = true;
    if (connection_) {
      connection_->io().Close();
    }
  }

  auto ReleaseSink() -> void { sink_ = nullptr; }

  auto Run(Request message) -> asio::awaitable<StreamEnd> {
    co_await Attempt(message, Reuse::kAllowed);
    if (stale_ && !cancelled_) {
      may_have_run_ = sent_;
      co_await Attempt(message, Reuse::kFreshOnly);
    }
    connection_ = nullptr;
    if (cancelled_ && end_.kind != Kind::kCompleted) {
      End(Kind::kCancelled, "cancelled");
      if (sent_) {
        co_await CancelAtEngine();
      }
    }
    ended_ = true;
    co_return end_;
  }

 private:
  static auto FirstByteLimit(const EngineClientSettings& settings,
                             const routing::CompletionRequest& request)
      -> std::chrono::milliseconds {
    return request.time_left.count() > 0
               ? std::min(settings.first_byte_timeout, request.time_left)
               : settings.first_byte_timeout;
  }

  auto End(Kind kind, std::string reason) -> void {
    end_.kind = kind;
    end_.reason = std::move(reason);
  }

  // Reports the request as lost if it may have run, else as refused.
  auto EndWithoutResponse(std::string reason) -> void {
    End(sent_ ? Kind::kLost : Kind::kRefused, std::move(reason));
  }

  auto Attempt(Request& message, Reuse reuse) -> asio::awaitable<void> {
    stale_ = false;
    try {
      const auto left = first_byte_by_ - std::chrono::steady_clock::now();
      connection_ = co_await pool_->Acquire(address_, reuse, left);
    } catch (const Error& error) {
      EndWithoutResponse(error.what());
      co_return;
    }
    if (cancelled_) {
      co_return;
    }
    auto& io = connection_->io();
    boost::system::error_code error;
    io.ExpireAt(first_byte_by_, OnExpiry::kCloseIfNoData);
    const auto written = co_await http::async_write(
        io.socket(), message, asio::redirect_error(asio::use_awaitable, error));
    if (written > 0) {
      sent_ = true;
    }
    if (error && written == 0) {
      stale_ = connection_->reused() && !io.timed_out();
      EndWithoutResponse("request not sent: " + error.message());
      co_return;
    }
    co_await ReadResponse();
  }

  auto ReadResponse() -> asio::awaitable<void> {
    auto& io = connection_->io();
    boost::system::error_code error;
    Parser parser;
    parser.body_limit(boost::none);
    const auto bytes = co_await http::async_read_header(
        io.socket(), io.buffer(), parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      // No byte of a response arrived on a connection that was idle before: the
      // engine had most likely closed it before this request.
      stale_ = connection_->reused() && bytes == 0 && !io.timed_out();
      EndWithoutResponse(io.timed_out()
                             ? "no answer in time"
                             : "connection lost: " + error.message());
      co_return;
    }
    const auto status = static_cast<int>(parser.get().result_int());
    if (status != kStatusOk) {
      co_await ReadError(parser, status);
      co_return;
    }
    co_await ReadEvents(parser);
  }

  auto ReadError(Parser& parser, int status) -> asio::awaitable<void> {
    auto& io = connection_->io();
    std::string body(kMaxErrorBodyBytes, '\0');
    auto& target = parser.get().body();
    target.data = body.data();
    target.size = body.size();
    target.more = true;
    boost::system::error_code error;
    co_await http::async_read(io.socket(), io.buffer(), parser,
                              asio::redirect_error(asio::use_awaitable, error));
    body.resize(body.size() - target.size);
    const auto reason =
        "engine answered " + std::to_string(status) + ": " + ErrorMessage(body);
    if (IsRefusal(status)) {
      // A first attempt on a stale connection may have reached the engine.
      End(may_have_run_ ? Kind::kLost : Kind::kRefused, reason);
    } else if (status >= kStatusBadRequest && status < kStatusInternalError) {
      End(Kind::kRejected, reason);
    } else {
      End(Kind::kFailed, reason);
    }
    ReleaseIfDone(parser);
  }

  auto ReadEvents(Parser& parser) -> asio::awaitable<void> {
    auto& io = connection_->io();
    std::array<char, kReadBytes> bytes;
    auto begun = false;
    while (!finished_) {
      auto& target = parser.get().body();
      target.data = bytes.data();
      target.size = bytes.size();
      target.more = true;
      boost::system::error_code error;
      co_await http::async_read_some(
          io.socket(), io.buffer(), parser,
          asio::redirect_error(asio::use_awaitable, error));
      if (cancelled_) {
        co_return;
      }
      ParseBuffered(parser, error);
      const auto size = bytes.size() - target.size;
      if (size > 0) {
        begun = true;
        HandleBytes({bytes.data(), size});
      }
      if (finished_) {
        break;
      }
      if (error && error != http::error::need_buffer) {
        End(Kind::kLost,
            io.timed_out()
                ? (begun ? "no progress in time" : "no first token in time")
                : "connection lost: " + error.message());
        co_return;
      }
      if (parser.is_done()) {
        End(Kind::kLost, "stream ended early");
        co_return;
      }
      if (begun) {
        io.ExpireAfter(settings_.progress_timeout, OnExpiry::kCloseIfNoData);
      }
    }
    if (end_.kind == Kind::kCompleted) {
      ended_ = true;
      co_await ReadTail(parser);
    }
  }

  // Parses the chunks that are already buffered. An eager parser would do so
  // too, but its async_read_some keeps reading until the body buffer is full.
  auto ParseBuffered(Parser& parser, boost::system::error_code& error) -> void {
    auto& buffer = connection_->io().buffer();
    while (!error && buffer.size() > 0 && !parser.is_done() &&
           parser.get().body().size > 0) {
      buffer.consume(parser.put(buffer.data(), error));
      if (error == http::error::need_more) {
        error = {};
        break;
      }
    }
  }

  auto HandleBytes(std::string_view bytes) -> void {
    const auto fits = events_.Feed(bytes, [this](std::string_view data) {
      HandleEvent(data);
      return !finished_ && !cancelled_;
    });
    if (!fits && !finished_) {
      Finish(Kind::kLost, "event too large");
    }
  }

  auto Finish(Kind kind, std::string reason) -> void {
    finished_ = true;
    End(kind, std::move(reason));
  }

  auto HandleEvent(std::string_view data) -> void {
    if (data == "[DONE]") {
      if (end_.finish_reason.empty()) {
        end_.finish_reason = "stop";
      }
      Finish(Kind::kCompleted, "");
      return;
    }
    detail::EngineEvent event;
    if (!detail::ParseEngineEvent(data, event)) {
      Finish(Kind::kLost, "malformed event");
      return;
    }
    if (event.error) {
      // After a refusal in mid-stream another engine may resume at this offset.
      const auto resumable = event.error_code == "429" ||
                             event.error_code == "503" ||
                             event.error_code == "overloaded";
      Finish(resumable ? Kind::kLost : Kind::kFailed,
             "engine error: " + event.error_message);
      return;
    }
    HandleToken(event);
    if (!event.finish_reason.empty()) {
      end_.finish_reason = std::move(event.finish_reason);
    }
  }

  auto HandleToken(detail::EngineEvent& event) -> void {
    if (!event.offset) {
      if (!event.text.empty()) {
        Finish(Kind::kLost, "token without kqg_offset");
      }
      return;
    }
    if (*event.offset != end_.next_offset) {
      Finish(Kind::kLost, "token offset " + std::to_string(*event.offset) +
                              " instead of " +
                              std::to_string(end_.next_offset));
      return;
    }
    const routing::Token token{*event.offset, std::move(event.text)};
    ++end_.next_offset;
    sink_(token);
  }

  auto ReadTail(Parser& parser) -> asio::awaitable<void> {
    auto& io = connection_->io();
    if (!parser.is_done()) {
      std::array<char, 256> rest;
      auto& target = parser.get().body();
      target.data = rest.data();
      target.size = rest.size();
      target.more = true;
      io.ExpireAfter(kTailTimeout, OnExpiry::kClose);
      boost::system::error_code error;
      co_await http::async_read(
          io.socket(), io.buffer(), parser,
          asio::redirect_error(asio::use_awaitable, error));
    }
    ReleaseIfDone(parser);
  }

  auto ReleaseIfDone(Parser& parser) -> void {
    if (parser.is_done() && parser.keep_alive() && !cancelled_ &&
        connection_->io().buffer().size() == 0) {
      connection_->Release();
      connection_ = nullptr;
    }
  }

  // Frees the engine's slot even if it does not notice the closed connection.
  // Failures do not matter: the connection is closed anyway.
  auto CancelAtEngine() -> asio::awaitable<void> {
    ServiceRequest request;
    request.method = "POST";
    request.target = "/cancel/" + request_id_;
    const ExchangeLimits limits{settings_.cancel_timeout, kMaxReplyBytes};
    try {
      co_await detail::Exchange(pool_, address_, request, true, limits);
    } catch (const Error&) {
      co_return;
    }
  }

  std::shared_ptr<ConnectionPool> pool_;
  EngineClientSettings settings_;
  std::string address_;
  std::string request_id_;
  routing::TokenSink sink_;
  MonotonicTime first_byte_by_;
  std::shared_ptr<Connection> connection_;
  detail::SseParser events_;
  StreamEnd end_;
  bool sent_ = false;          // A byte of the request may have been sent.
  bool may_have_run_ = false;  // In an attempt on a stale connection.
  bool stale_ = false;
  bool cancelled_ = false;
  bool finished_ = false;  // An event has ended the stream.
  bool ended_ = false;
};

// Releases the sink when the coroutine is destroyed, even if by the destruction
// of its io_context. A sink usually refers to a cancel hook that holds the
// stream's handle, which would be a reference cycle.
struct SinkGuard {
  explicit SinkGuard(std::shared_ptr<EngineStream> guarded)
      : stream(std::move(guarded)) {}
  SinkGuard(const SinkGuard&) = delete;
  auto operator=(const SinkGuard&) -> SinkGuard& = delete;
  ~SinkGuard() { stream->ReleaseSink(); }

  std::shared_ptr<EngineStream> stream;
};

auto ToLoadReport(const std::string& body) -> LoadReport {
  const auto value = json::parse(body);
  LoadReport report;
  report.running = value.value("running", report.running);
  report.waiting = value.value("waiting", report.waiting);
  report.capacity = std::max(1U, value.value("capacity", report.capacity));
  report.kv_used = value.value("kv_used", report.kv_used);
  report.age = std::chrono::milliseconds(value.value("age_ms", 0));
  report.models = value.value("models", report.models);
  return report;
}

}  // namespace

HttpEngineClient::HttpEngineClient(const asio::any_io_executor& executor,
                                   EngineClientSettings settings)
    : settings_(settings),
      pool_(std::make_shared<ConnectionPool>(executor, settings.connections)) {}

HttpEngineClient::~HttpEngineClient() {
  pool_->Close();
}

auto HttpEngineClient::Stream(
    std::string address,
    routing::CompletionRequest request,
    std::function<auto(std::shared_ptr<StreamHandle>)->void> on_start,
    routing::TokenSink sink) -> asio::awaitable<StreamEnd> {
  Request message;
  try {
    message = ToMessage(address, request);
  } catch (const Error& error) {
    co_return StreamEnd{Kind::kRejected, error.what(), "",
                        request.resume_offset};
  }
  auto stream = std::make_shared<EngineStream>(pool_, settings_, address,
                                               request, std::move(sink));
  const SinkGuard guard(stream);
  if (on_start) {
    on_start(stream);
  }
  co_return co_await stream->Run(std::move(message));
}

auto HttpEngineClient::Load(std::string address)
    -> asio::awaitable<LoadReport> {
  ServiceRequest request;
  request.method = "GET";
  request.target = "/load";
  const ExchangeLimits limits{settings_.load_timeout, kMaxReplyBytes};
  ServiceResponse response;
  try {
    response = co_await detail::Exchange(pool_, address, request, true, limits);
  } catch (const Error& error) {
    // Reading the load has no effect, so a lost response leaves no unknown
    // outcome.
    throw Error(error.kind() == ErrorKind::kUnknownOutcome ? ErrorKind::kTimeout
                                                           : error.kind(),
                "no load report", address, "wait for the next report");
  }
  if (response.status != kStatusOk) {
    throw Error(
        ErrorKind::kUnavailable,
        "load report returned status " + std::to_string(response.status),
        address, "check the upstream");
  }
  try {
    co_return ToLoadReport(response.body);
  } catch (const json::exception&) {
    throw Error(ErrorKind::kUnavailable, "malformed load report", address,
                "check the upstream");
  }
}

auto HttpEngineClient::SendOrder(std::string address, EngineOrder order)
    -> asio::awaitable<void> {
  ServiceRequest request;
  request.method = "POST";
  request.target = "/orders";
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = json{{"fence", order.fence},
                      {"operation", order.operation},
                      {"action", order.action},
                      {"model", order.model},
                      {"version", order.version}}
                     .dump();
  const ExchangeLimits limits{settings_.order_timeout, kMaxReplyBytes};
  const auto response =
      co_await detail::Exchange(pool_, address, request, false, limits);
  if (response.status == kStatusOk) {
    co_return;
  }
  const auto what = "order returned status " + std::to_string(response.status) +
                    ": " + ErrorMessage(response.body);
  if (response.status == kStatusConflict) {
    throw Error(ErrorKind::kConflict, "fencing token is outdated", address,
                "stop: another holder of the lease has taken over");
  }
  if (IsRefusal(response.status)) {
    throw Error(ErrorKind::kUnavailable, what, address, "retry later");
  }
  if (response.status >= kStatusBadRequest &&
      response.status < kStatusInternalError) {
    throw Error(ErrorKind::kInvalidArgument, what, address,
                "correct the order");
  }
  throw Error(ErrorKind::kUnknownOutcome, what, address,
              "read what is loaded before repeating the order");
}

}  // namespace kumquatgauge::upstream
