#include "kumquatgauge/caller/http_listener.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <sstream>
#include <unordered_set>
#include <utility>

#include "base/listen_address.h"
#include "base/read_limits.h"
#include "base/socket_options.h"
#include "caller/response_output.h"
#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/log.h"
#include "upstream/deadline_socket.h"
#include "upstream/endpoint.h"

namespace kumquatgauge::caller {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::ip::tcp;
using boost::system::error_code;
using detail::ResponseOutput;
using kumquatgauge::detail::MakeListenHooks;
using kumquatgauge::detail::OpenAcceptor;
using kumquatgauge::detail::OpenListenAddress;
using upstream::detail::DeadlineSocket;
using OnExpiry = DeadlineSocket::OnExpiry;
using RequestParser = http::request_parser<http::string_body>;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
// Delay before accepting again after a failure, for descriptors to be freed.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
// Value of TCP_USER_TIMEOUT. Callers abandon an attempt after about two seconds
// without data, so nobody waits for the response on a connection that has not
// acknowledged data for this long.
constexpr std::chrono::milliseconds kUserTimeout{3'000};
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kServiceUnavailable = 503;
// Retry-After, in seconds, of requests whose bodies do not fit in memory.
constexpr auto kNoMemoryRetry = "0.5";
// How long such a request is read on, so that its caller sees the response.
constexpr std::chrono::milliseconds kLingerTime{1'000};
constexpr std::size_t kLingerReadBytes = 16'384;

struct Shared {
  ListenerLimits limits;
  RequestHandler handler;
  HeldResponseHooks held_hooks;
  Logger logger{"listen"};
  bool draining = false;
  bool stopped = false;
  std::size_t active = 0;
  std::size_t body_bytes = 0;  // Of all requests, by their reservations.
};

// A part of the memory for bodies, held until a request is destroyed.
class BodyReservation {
 public:
  explicit BodyReservation(std::shared_ptr<Shared> shared)
      : shared_(std::move(shared)) {}
  ~BodyReservation() { shared_->body_bytes -= bytes_; }
  BodyReservation(const BodyReservation&) = delete;
  auto operator=(const BodyReservation&) -> BodyReservation& = delete;

  // Returns false if the memory is used up.
  auto GrowTo(std::size_t bytes) -> bool {
    if (bytes <= bytes_) {
      return true;
    }
    const auto others = shared_->body_bytes - bytes_;
    if (others + bytes > shared_->limits.max_total_body_bytes) {
      return false;
    }
    shared_->body_bytes = others + bytes;
    bytes_ = bytes;
    return true;
  }

 private:
  std::shared_ptr<Shared> shared_;
  std::size_t bytes_ = 0;
};

auto StatusOf(const error_code& error) -> int {
  if (error == http::error::body_limit) {
    return kPayloadTooLarge;
  }
  // A chunk extension or trailer fields can also be too long.
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return kHeaderTooLarge;
  }
  return kBadRequest;
}

// Returns whether a request has a transfer encoding other than chunked. The
// parser would treat such a request as one without a body.
auto HasUnknownEncoding(const http::fields& fields) -> bool {
  const auto encoding = fields.find(http::field::transfer_encoding);
  return encoding != fields.end() &&
         !beast::iequals(encoding->value(), "chunked");
}

template <typename Head>
auto HeadText(const Head& head) -> std::string {
  auto text = std::ostringstream();
  text << head;
  return text.str();
}

auto ChunkHeader(std::size_t size) -> std::string {
  constexpr auto kHexadecimal = 16;
  auto text = std::array<char, 2 * sizeof(size)>();
  const auto [end, error] =
      std::to_chars(text.data(), text.data() + text.size(), size, kHexadecimal);
  return std::string(text.data(), end) + "\r\n";
}

auto CopyHeaders(const http::fields& fields) -> HeaderList {
  auto headers = HeaderList();
  for (const auto& field : fields) {
    headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return headers;
}

// One connection of a caller, and the writer of the response to its current
// request.
class CallerConnection : public ResponseWriter,
                         public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(tcp::socket socket, std::shared_ptr<Shared> shared)
      : io_(std::make_shared<DeadlineSocket>(std::move(socket))),
        shared_(std::move(shared)),
        output_(std::make_shared<ResponseOutput>(io_, shared_->held_hooks)) {
    kumquatgauge::detail::ConfigureTcpSocket(io_->socket(), kUserTimeout);
    kumquatgauge::detail::LimitSendBuffer(io_->socket());
  }

  auto Serve() -> awaitable<void> {
    const auto self = shared_from_this();
    while (!shared_->stopped) {
      const auto request = co_await ReadRequest();
      if (!request) {
        break;
      }
      ++shared_->active;
      BeginResponse(request);
      co_await HandleRequest(request);
      // The events of a stream that has broken off are still of use.
      co_await output_->AwaitWritten();
      --shared_->active;
      if (!response_complete_ || !keep_alive_) {
        break;
      }
    }
    output_->Close();
    io_->Close();
  }

  auto Send(int status, HeaderList headers, std::string body)
      -> awaitable<bool> override {
    auto response = http::response<http::string_body>();
    FillHead(response, status, headers);
    response.body() = std::move(body);
    response.prepare_payload();
    if (!TakeHead()) {
      co_return false;
    }
    output_->Write(HeadText(response.base()));
    output_->Write(std::move(response.body()));
    response_complete_ = co_await output_->AwaitWritten();
    co_return response_complete_;
  }

  auto BeginStream(int status, HeaderList headers) -> awaitable<bool> override {
    auto response = http::response<http::empty_body>();
    FillHead(response, status, headers);
    response.chunked(true);
    if (!TakeHead()) {
      co_return false;
    }
    co_return output_->Write(HeadText(response.base()));
  }

  auto WriteChunk(std::string piece) -> awaitable<bool> override {
    if (disconnected_) {
      co_return false;
    }
    piece.insert(0, ChunkHeader(piece.size()));
    piece += "\r\n";
    output_->Write(std::move(piece));
    const auto& max_queued = shared_->held_hooks.max_queued_bytes;
    co_return co_await output_->AwaitRoom(max_queued ? max_queued() : 0);
  }

  auto FinishStream() -> awaitable<bool> override {
    if (disconnected_) {
      co_return false;
    }
    output_->Write("0\r\n\r\n");
    response_complete_ = co_await output_->AwaitWritten();
    co_return response_complete_;
  }

  auto disconnected() const -> bool override { return disconnected_; }

  auto OnDisconnect(std::function<auto()->void> hook) -> void override {
    disconnect_hook_ = std::move(hook);
  }

  auto idle() const -> bool { return idle_; }
  auto Close() -> void { io_->Close(); }

 private:
  // Returns null when the connection has ended or the request was rejected.
  auto ReadRequest() -> awaitable<std::shared_ptr<const IncomingRequest>> {
    idle_ = true;
    io_->ExpireAfter(shared_->limits.idle_timeout, OnExpiry::kClose);
    if (io_->buffer().size() == 0) {
      const auto [wait_error] = co_await io_->socket().async_wait(
          tcp::socket::wait_read, kAwaitTuple);
      if (wait_error || shared_->stopped) {
        co_return nullptr;
      }
    }
    idle_ = false;
    io_->ExpireAfter(shared_->limits.read_timeout, OnExpiry::kClose);
    auto parser = RequestParser();
    io_->buffer().max_size(std::max(
        io_->buffer().size(), shared_->limits.max_header_bytes +
                                  kumquatgauge::detail::kMaxUnparsedBytes));
    parser.header_limit(
        static_cast<std::uint32_t>(shared_->limits.max_header_bytes));
    parser.body_limit(shared_->limits.max_body_bytes);
    const auto [head_error, head_bytes] = co_await http::async_read_header(
        io_->socket(), io_->buffer(), parser, kAwaitTuple);
    if (head_error) {
      co_await RejectUnreadable(head_error);
      co_return nullptr;
    }
    if (HasUnknownEncoding(parser.get())) {
      co_await RejectUnreadable(
          make_error_code(http::error::bad_transfer_encoding));
      co_return nullptr;
    }
    // The parser appends the trailers of a body to the headers.
    auto headers = CopyHeaders(parser.get());
    auto reservation = std::make_shared<BodyReservation>(shared_);
    if (!reservation->GrowTo(DueBytes(parser))) {
      co_await RefuseForMemory();
      co_return nullptr;
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      co_await SendContinue();
    }
    parser.eager(true);
    while (!parser.is_done()) {
      const auto [body_error, body_bytes] = co_await http::async_read_some(
          io_->socket(), io_->buffer(), parser, kAwaitTuple);
      if (body_error) {
        co_await RejectUnreadable(body_error);
        co_return nullptr;
      }
      if (!reservation->GrowTo(DueBytes(parser))) {
        co_await RefuseForMemory();
        co_return nullptr;
      }
    }
    io_->Disarm();
    co_return MakeRequest(parser, std::move(headers), std::move(reservation));
  }

  // The size of a request's body, as far as it is known.
  static auto DueBytes(const RequestParser& parser) -> std::size_t {
    return std::max<std::size_t>(parser.content_length().value_or(0),
                                 parser.get().body().size());
  }

  auto RefuseForMemory() -> awaitable<void> {
    shared_->logger.Warning("no memory for another body; refusing a request",
                            {{"event", "body_refused"}});
    BeginLastResponse();
    auto headers = HeaderList{{"Retry-After", kNoMemoryRetry}};
    auto body = std::string("no memory for another body\n");
    co_await Send(kServiceUnavailable, std::move(headers), std::move(body));
    co_await Linger();
  }

  // Allows a response to a request that was not read, which ends the
  // connection.
  auto BeginLastResponse() -> void {
    output_->Begin({}, shared_->limits.write_timeout, nullptr);
    keep_alive_ = false;
    disconnected_ = false;
    head_sent_ = false;
  }

  // Discards what the caller still sends: closing a connection with unread
  // bytes resets it, and the caller would lose the response.
  auto Linger() -> awaitable<void> {
    auto error = error_code();
    io_->socket().shutdown(tcp::socket::shutdown_send, error);
    io_->ExpireAfter(kLingerTime, OnExpiry::kClose);
    auto discarded = std::array<char, kLingerReadBytes>();
    while (!error) {
      const auto [read_error, size] = co_await io_->socket().async_read_some(
          asio::buffer(discarded), kAwaitTuple);
      error = read_error;
    }
  }

  auto MakeRequest(RequestParser& parser,
                   HeaderList headers,
                   std::shared_ptr<BodyReservation> reservation)
      -> std::shared_ptr<const IncomingRequest> {
    auto& message = parser.get();
    keep_alive_ = message.keep_alive();
    version_ = message.version();
    auto request = std::shared_ptr<IncomingRequest>(
        new IncomingRequest(), [reservation = std::move(reservation)](
                                   IncomingRequest* ended) { delete ended; });
    request->method = std::string(message.method_string());
    request->target = std::string(message.target());
    request->headers = std::move(headers);
    request->body = std::move(message.body());
    request->arrived = std::chrono::steady_clock::now();
    return request;
  }

  auto SendContinue() -> awaitable<void> {
    constexpr auto kContinue =
        std::string_view("HTTP/1.1 100 Continue\r\n\r\n");
    // The next read reports a failure of this write.
    co_await asio::async_write(io_->socket(),
                               asio::buffer(kContinue.data(), kContinue.size()),
                               kAwaitTuple);
  }

  // Sends an error response to a request that cannot be parsed, unless the
  // connection has ended.
  auto RejectUnreadable(const error_code& error) -> awaitable<void> {
    const auto ended = error == http::error::end_of_stream ||
                       error == asio::error::eof ||
                       error == asio::error::connection_reset;
    if (ended || !io_->socket().is_open()) {
      co_return;
    }
    const auto malformed =
        error.category() == make_error_code(http::error::bad_method).category();
    if (!malformed) {
      co_return;
    }
    const auto status = io_->timed_out() ? kRequestTimeout : StatusOf(error);
    shared_->logger.Warning(
        "cannot read a request",
        {{"reason", error.message()}, {"status", std::to_string(status)}});
    BeginLastResponse();
    auto body = error.message() + "\n";
    co_await Send(status, {}, std::move(body));
  }

  auto BeginResponse(const std::shared_ptr<const IncomingRequest>& request)
      -> void {
    output_->Begin(request->target, shared_->limits.write_timeout,
                   [weak = weak_from_this()] {
                     if (const auto self = weak.lock()) {
                       self->MarkDisconnected();
                     }
                   });
    response_complete_ = false;
    disconnected_ = false;
    head_sent_ = false;
    disconnect_hook_ = nullptr;
    WatchForClose();
  }

  auto HandleRequest(std::shared_ptr<const IncomingRequest> request)
      -> awaitable<void> {
    auto writer = std::static_pointer_cast<ResponseWriter>(shared_from_this());
    try {
      co_await shared_->handler(request, writer);
    } catch (const std::exception& error) {
      shared_->logger.Error(
          "request handler failed; closing the connection",
          {{"target", request->target}, {"reason", error.what()}});
    }
    disconnect_hook_ = nullptr;
    ++watch_;
  }

  // Detects that the caller closes its connection before it has the response.
  // Bytes of a pipelined request end the watch, as the end of the stream cannot
  // be seen behind them.
  auto WatchForClose() -> void {
    const auto watch = ++watch_;
    io_->socket().async_wait(
        tcp::socket::wait_read,
        [weak = weak_from_this(), watch](const error_code& error) {
          const auto self = weak.lock();
          if (!self || watch != self->watch_ ||
              error == asio::error::operation_aborted) {
            return;
          }
          if (error || self->io_->PeerClosed()) {
            self->MarkDisconnected();
          }
        });
  }

  auto MarkDisconnected() -> void {
    if (disconnected_) {
      return;
    }
    disconnected_ = true;
    if (disconnect_hook_) {
      const auto hook = std::exchange(disconnect_hook_, nullptr);
      hook();
    }
  }

  // Whether a response head can be sent: a second one would become a part of
  // the first response's body.
  auto TakeHead() -> bool {
    return !disconnected_ && !std::exchange(head_sent_, true);
  }

  template <typename Response>
  auto FillHead(Response& response, int status, const HeaderList& headers)
      -> void {
    response.version(version_);
    response.result(static_cast<unsigned>(status));
    for (const auto& header : headers) {
      response.insert(header.name, header.value);
    }
    if (shared_->draining) {
      keep_alive_ = false;
    }
    response.keep_alive(keep_alive_);
  }

  std::shared_ptr<DeadlineSocket> io_;
  std::shared_ptr<Shared> shared_;
  std::shared_ptr<ResponseOutput> output_;
  bool idle_ = true;
  bool keep_alive_ = true;
  unsigned version_ = 11;
  bool head_sent_ = false;
  bool response_complete_ = false;
  bool disconnected_ = false;
  std::uint64_t watch_ = 0;
  std::function<auto()->void> disconnect_hook_;
};

}  // namespace

class HttpListener::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context,
       const std::string& address,
       ListenerLimits limits,
       RequestHandler handler,
       HeldResponseHooks held_hooks)
      : context_(context),
        address_(address),
        acceptor_(context),
        shared_(std::make_shared<Shared>()) {
    shared_->limits = limits;
    shared_->handler = std::move(handler);
    shared_->held_hooks = std::move(held_hooks);
  }

  auto Start() -> void {
    OpenListenAddress(context_.get_executor(), address_,
                      MakeListenHooks(weak_from_this()));
  }

  auto Open() -> error_code {
    if (!accepting_) {
      return asio::error::operation_aborted;
    }
    return OpenAcceptor(acceptor_, upstream::detail::ParseEndpoint(address_));
  }

  auto OnOpened() -> void {
    asio::co_spawn(context_, Accept(shared_from_this()), asio::detached);
  }

  auto listening() const -> bool { return acceptor_.is_open(); }

  auto StopAccepting() -> void {
    accepting_ = false;
    auto error = error_code();
    acceptor_.close(error);
  }

  auto Stop() -> void {
    shared_->stopped = true;
    StopAccepting();
    for (const auto& connection : connections_) {
      connection->Close();
    }
  }

  auto CloseIdle() -> void {
    for (const auto& connection : connections_) {
      if (connection->idle()) {
        connection->Close();
      }
    }
  }

  auto address() const -> std::string {
    const auto endpoint = acceptor_.local_endpoint();
    return endpoint.address().to_string() + ":" +
           std::to_string(endpoint.port());
  }

  auto shared() -> Shared& { return *shared_; }
  auto connections() const -> std::size_t { return connections_.size(); }

 private:
  static auto Accept(std::shared_ptr<Impl> self) -> awaitable<void> {
    while (self->accepting_) {
      auto [error, socket] = co_await self->acceptor_.async_accept(kAwaitTuple);
      if (!self->accepting_) {
        co_return;
      }
      if (error) {
        self->shared_->logger.Warning("cannot accept a connection",
                                      {{"reason", error.message()}});
        auto timer = asio::steady_timer(self->context_, kAcceptRetryDelay);
        co_await timer.async_wait(kAwaitTuple);
        continue;
      }
      if (self->connections_.size() >= self->shared_->limits.max_connections) {
        // Closing the connection before reading a request tells the caller that
        // it can safely send it elsewhere.
        self->shared_->logger.Warning("too many connections; closing a new one",
                                      {{"address", self->address_}});
        continue;
      }
      auto connection =
          std::make_shared<CallerConnection>(std::move(socket), self->shared_);
      self->connections_.insert(connection);
      asio::co_spawn(self->context_, Run(self, connection), asio::detached);
    }
  }

  static auto Run(std::shared_ptr<Impl> self,
                  std::shared_ptr<CallerConnection> connection)
      -> awaitable<void> {
    co_await connection->Serve();
    self->connections_.erase(connection);
  }

  asio::io_context& context_;
  std::string address_;
  tcp::acceptor acceptor_;
  std::shared_ptr<Shared> shared_;
  std::unordered_set<std::shared_ptr<CallerConnection>> connections_;
  bool accepting_ = true;
};

HttpListener::HttpListener(asio::io_context& context,
                           const std::string& address,
                           ListenerLimits limits,
                           RequestHandler handler,
                           HeldResponseHooks held_hooks)
    : impl_(std::make_shared<Impl>(context,
                                   address,
                                   limits,
                                   std::move(handler),
                                   std::move(held_hooks))) {}

HttpListener::~HttpListener() {
  impl_->Stop();
}

auto HttpListener::Start() -> void {
  impl_->Start();
}

auto HttpListener::listening() const -> bool {
  return impl_->listening();
}

auto HttpListener::SetLimits(ListenerLimits limits) -> void {
  impl_->shared().limits = limits;
}

auto HttpListener::Drain() -> void {
  impl_->shared().draining = true;
}

auto HttpListener::StopAccepting() -> void {
  impl_->StopAccepting();
}

auto HttpListener::CloseIdle() -> void {
  impl_->CloseIdle();
}

auto HttpListener::Stop() -> void {
  impl_->Stop();
}

auto HttpListener::address() const -> std::string {
  return impl_->address();
}

auto HttpListener::connections() const -> std::size_t {
  return impl_->connections();
}

auto HttpListener::active_requests() const -> std::size_t {
  return impl_->shared().active;
}

}  // namespace kumquatgauge::caller
