#include "kumquatgauge/node/peer_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <map>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/socket_options.h"
#include "kumquatgauge/base/error.h"
#include "kumquatgauge/node/address.h"
#include "kumquatgauge/node/message.h"
#include "node/frame_codec.h"
#include "node/http2_connection.h"

namespace kumquatgauge::node {
namespace {

using boost::asio::awaitable;
using boost::asio::io_context;
using boost::asio::steady_timer;
using boost::asio::ip::tcp;
using nlohmann::json;
using std::chrono::steady_clock;

constexpr int kStatusOk = 200;
// The client accepts no streams opened by the server.
constexpr std::uint32_t kMaxServerStreams = 0;

auto Unavailable(const std::string& address, std::string_view reason) -> Error {
  return Error(ErrorKind::kUnavailable,
               "cannot reach node (" + std::string(reason) + ")", address,
               "try another node");
}

// One request and the state of its response.
struct ClientStream {
  explicit ClientStream(io_context& context) : wake(context) {}

  auto Finish(std::exception_ptr result) -> void {
    if (!done) {
      done = true;
      error = std::move(result);
      sink = nullptr;
      wake.cancel();
    }
  }

  FrameSink sink;
  detail::SendBuffer body;
  detail::FrameReader frames;
  std::int32_t id = -1;
  int status = 0;
  bool sent = false;     // Part of the request may have been sent.
  bool refused = false;  // The server has not processed the request.
  bool done = false;
  std::exception_ptr error;
  steady_clock::time_point last_frame;
  steady_timer wake;  // Cancelled when done.
};

class ClientConnection : public detail::Http2Connection {
 public:
  enum class State { kConnecting, kOpen, kDraining, kClosed };

  ClientConnection(io_context& context, std::string address)
      : Http2Connection(tcp::socket(context), Side::kClient),
        context_(context),
        address_(std::move(address)),
        timer_(context) {}

  auto Connect(const tcp::endpoint& endpoint) -> void {
    timer_.expires_after(kConnectTimeout);
    timer_.async_wait([self = Self()](const boost::system::error_code& error) {
      if (!error && self->state_ == State::kConnecting) {
        self->Close("connect timeout");
      }
    });
    kumquatgauge::detail::OpenForConnect(socket(), endpoint);
    socket().async_connect(
        endpoint, [self = Self()](const boost::system::error_code& error) {
          if (self->closed()) {
            return;
          }
          if (error) {
            self->Close(error.message());
          } else {
            self->StartSession(kMaxServerStreams);
          }
        });
  }

  // Returns when the connection is open or has failed, or when `wake` expires
  // or is cancelled.
  auto WaitUntilConnected(std::shared_ptr<steady_timer> wake)
      -> awaitable<void> {
    while (state_ == State::kConnecting && wake->expiry() > Now()) {
      waiters_.push_back(wake);
      boost::system::error_code ignored;
      co_await wake->async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
      std::erase(waiters_, wake);
      if (ignored) {
        break;
      }
    }
  }

  auto Open(const std::shared_ptr<ClientStream>& stream,
            const std::string& path,
            const std::string& credential) -> bool {
    const auto id = SubmitRequest({{":method", "POST"},
                                   {":scheme", "http"},
                                   {":path", path},
                                   {":authority", address_},
                                   {"kqg-fleet", credential}},
                                  stream->body);
    if (id < 0) {
      return false;
    }
    stream->id = id;
    stream->last_frame = Now();
    streams_[id] = stream;
    StartPings();
    return true;
  }

  // Ends the stream without an error; later frames are dropped.
  auto Cancel(ClientStream& stream) -> void {
    if (!stream.done) {
      stream.Finish(nullptr);
      SubmitReset(stream.id, NGHTTP2_CANCEL);
    }
  }

  auto state() const -> State { return state_; }
  auto reason() const -> const std::string& { return reason_; }
  // Returns true if new calls may use this connection or wait for it.
  auto usable() const -> bool {
    return state_ == State::kConnecting ||
           (state_ == State::kOpen && unanswered_pings_ < 2);
  }

 private:
  static auto Now() -> steady_clock::time_point { return steady_clock::now(); }

  auto Self() -> std::shared_ptr<ClientConnection> {
    return std::static_pointer_cast<ClientConnection>(shared_from_this());
  }

  auto Find(std::int32_t id) -> std::shared_ptr<ClientStream> {
    const auto found = streams_.find(id);
    return found == streams_.end() || found->second->done ? nullptr
                                                          : found->second;
  }

  auto OnHeader(std::int32_t id, std::string_view name, std::string_view value)
      -> void override {
    const auto stream = Find(id);
    if (stream && name == ":status") {
      // nghttp2 has checked that the value has three digits.
      stream->status = std::stoi(std::string(value));
    }
  }

  auto OnHeadersEnd(std::int32_t id) -> void override {
    const auto stream = Find(id);
    if (!stream || stream->status == kStatusOk) {
      return;
    }
    stream->Finish(std::make_exception_ptr(StatusError(stream->status)));
  }

  auto OnData(std::int32_t id, std::string_view bytes) -> void override {
    const auto stream = Find(id);
    if (!stream) {
      return;
    }
    stream->last_frame = Now();
    try {
      stream->frames.Add(bytes, [&](std::string_view frame) {
        if (!stream->done) {
          DeliverFrame(*stream, DecodeMessage(frame));
        }
      });
    } catch (...) {
      stream->Finish(std::current_exception());
      SubmitReset(id, NGHTTP2_CANCEL);
    }
  }

  static auto DeliverFrame(ClientStream& stream, const json& frame) -> void {
    const auto error = frame.find(kErrorField);
    if (error != frame.end()) {
      throw ErrorFrom(*error);
    }
    // A copy, because the sink may end the stream, which releases its sink.
    const auto sink = stream.sink;
    if (sink) {
      sink(frame);
    }
  }

  auto OnStreamEnd(std::int32_t id) -> void override {
    if (const auto stream = Find(id)) {
      stream->Finish(nullptr);
    }
  }

  auto OnStreamClosed(std::int32_t id, std::uint32_t code) -> void override {
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
      return;
    }
    const auto stream = found->second;
    streams_.erase(found);
    ReleaseAfterCallback(stream);
    if (stream->done) {
      return;
    }
    stream->refused = code == NGHTTP2_REFUSED_STREAM;
    FailStream(*stream, "the server reset the stream");
  }

  auto OnHeadersSent(std::int32_t id) -> void override {
    if (const auto stream = Find(id)) {
      stream->sent = true;
    }
  }

  auto OnSettings() -> void override {
    if (state_ == State::kConnecting) {
      state_ = State::kOpen;
      timer_.cancel();
      NotifyWaiters();
    }
  }

  auto OnGoaway() -> void override {
    state_ = State::kDraining;
    NotifyWaiters();
  }

  auto OnPingAck() -> void override { unanswered_pings_ = 0; }

  auto OnClosed(std::string_view reason) -> void override {
    state_ = State::kClosed;
    reason_ = reason;
    timer_.cancel();
    NotifyWaiters();
    auto streams = std::exchange(streams_, {});
    for (auto& [id, stream] : streams) {
      closed_streams_.push_back(stream);
      FailStream(*stream, reason);
    }
  }

  // Ends a stream without a complete response.
  auto FailStream(ClientStream& stream, std::string_view reason) -> void {
    if (!stream.sent) {
      stream.refused = true;
      stream.Finish(std::make_exception_ptr(Unavailable(address_, reason)));
    } else if (stream.refused) {
      stream.Finish(std::make_exception_ptr(
          Error(ErrorKind::kOverloaded, "node refused the stream", address_,
                "try another node")));
    } else {
      stream.Finish(std::make_exception_ptr(Error(
          ErrorKind::kUnknownOutcome,
          "connection to node lost (" + std::string(reason) + ")", address_,
          "check whether the request ran before repeating it")));
    }
  }

  auto StatusError(int status) const -> Error {
    switch (status) {
      case 403:
        return Error(ErrorKind::kPermissionDenied,
                     "node refused the fleet credential", address_,
                     "use the same fleet credential on all nodes");
      case 404:
        return Error(ErrorKind::kNotFound, "node does not support the request",
                     address_, "check that both nodes run compatible releases");
      case 413:
      case 431:
        return Error(ErrorKind::kInvalidArgument, "request too long for node",
                     address_, "send a smaller request");
      default:
        return Error(ErrorKind::kInternal,
                     "node answered with status " + std::to_string(status),
                     address_, "check the log of that node");
    }
  }

  auto NotifyWaiters() -> void {
    for (const auto& wake : std::exchange(waiters_, {})) {
      wake->cancel();
    }
  }

  auto StartPings() -> void {
    if (pinging_) {
      return;
    }
    pinging_ = true;
    timer_.cancel();
    SendPing();
  }

  auto SendPing() -> void {
    nghttp2_submit_ping(session(), NGHTTP2_FLAG_NONE, nullptr);
    ++unanswered_pings_;
    ScheduleWrite();
    timer_.expires_after(kPingInterval);
    timer_.async_wait([self = Self()](const boost::system::error_code& error) {
      if (error || self->closed()) {
        return;
      }
      if (self->unanswered_pings_ >= kPingIntervalsUntilDead) {
        self->Close("no response to PING");
      } else if (self->streams_.empty() && self->unanswered_pings_ == 0) {
        self->pinging_ = false;
        self->CloseWhenIdle();
      } else {
        self->SendPing();
      }
    });
  }

  auto CloseWhenIdle() -> void {
    timer_.expires_after(kIdleTimeout);
    timer_.async_wait([self = Self()](const boost::system::error_code& error) {
      if (!error && !self->pinging_ && !self->closed()) {
        self->Close("idle timeout");
      }
    });
  }

  auto ReleaseAfterCallback(std::shared_ptr<ClientStream> stream) -> void {
    // nghttp2 may use the body until this callback returns.
    closed_streams_.push_back(std::move(stream));
    boost::asio::post(context_,
                      [self = Self()] { self->closed_streams_.clear(); });
  }

  io_context& context_;
  std::string address_;
  State state_ = State::kConnecting;
  std::string reason_;
  std::vector<std::shared_ptr<steady_timer>> waiters_;
  std::unordered_map<std::int32_t, std::shared_ptr<ClientStream>> streams_;
  std::vector<std::shared_ptr<ClientStream>> closed_streams_;
  steady_timer timer_;  // For the connect timeout, PINGs and the idle timeout.
  int unanswered_pings_ = 0;  // PINGs sent since the last ACK.
  bool pinging_ = false;
};

// Cancels the stream if the call ends early, and removes the cancel hook.
class CallGuard {
 public:
  CallGuard(std::shared_ptr<ClientConnection> connection,
            std::shared_ptr<ClientStream> stream,
            std::shared_ptr<StreamCancel> cancel)
      : connection_(std::move(connection)),
        stream_(std::move(stream)),
        cancel_(std::move(cancel)) {
    if (cancel_) {
      cancel_->set_hook([connection = connection_, stream = stream_] {
        connection->Cancel(*stream);
      });
    }
  }
  CallGuard(const CallGuard&) = delete;
  auto operator=(const CallGuard&) -> CallGuard& = delete;
  ~CallGuard() {
    if (cancel_) {
      cancel_->set_hook(nullptr);
    }
    connection_->Cancel(*stream_);
  }

 private:
  std::shared_ptr<ClientConnection> connection_;
  std::shared_ptr<ClientStream> stream_;
  std::shared_ptr<StreamCancel> cancel_;
};

class Http2PeerClient : public PeerClient {
 public:
  Http2PeerClient(io_context& context, PeerClientSettings settings)
      : context_(context), settings_(std::move(settings)) {}

  ~Http2PeerClient() override {
    for (auto& [key, link] : links_) {
      for (const auto& connection : {link.current, link.suspect}) {
        if (connection) {
          connection->Close("the client was destroyed");
        }
      }
    }
  }
  Http2PeerClient(const Http2PeerClient&) = delete;
  auto operator=(const Http2PeerClient&) -> Http2PeerClient& = delete;

  auto Call(std::string address,
            Channel channel,
            std::string name,
            json request,
            FrameSink sink,
            std::chrono::milliseconds timeout,
            std::shared_ptr<StreamCancel> cancel) -> awaitable<void> override {
    const auto body = EncodeMessage(request);
    if (body.size() > kMaxRequestBytes) {
      throw Error(ErrorKind::kInvalidArgument, "request too long", name,
                  "send a smaller request");
    }
    const auto path = "/node/v1/" + name;
    // A refused stream was not processed, so HTTP/2 allows a retry on a new
    // connection.
    for (auto attempt = 0;; ++attempt) {
      const auto connection =
          co_await Connect(address, channel, timeout, cancel);
      if (cancel && cancel->cancelled()) {
        co_return;
      }
      const auto stream = std::make_shared<ClientStream>(context_);
      stream->sink = sink;
      stream->body.bytes = body;
      stream->body.ended = true;
      if (!connection->Open(stream, path, settings_.fleet_credential)) {
        throw Unavailable(address, "no stream could be opened");
      }
      const CallGuard guard(connection, stream, cancel);
      co_await WaitForEnd(*stream, timeout, address);
      if (stream->refused && attempt == 0) {
        continue;
      }
      if (stream->error) {
        std::rethrow_exception(stream->error);
      }
      co_return;
    }
  }

 private:
  // The connection for new calls, and the one that it replaced, which is used
  // again if it recovers.
  struct Link {
    std::shared_ptr<ClientConnection> current;
    std::shared_ptr<ClientConnection> suspect;

    auto closed() const -> bool {
      return (!current || current->closed()) && (!suspect || suspect->closed());
    }
  };

  static auto WaitForEnd(ClientStream& stream,
                         std::chrono::milliseconds timeout,
                         const std::string& address) -> awaitable<void> {
    while (!stream.done) {
      const auto deadline = stream.last_frame + timeout;
      if (deadline <= steady_clock::now()) {
        throw Error(
            ErrorKind::kTimeout,
            "no frame within " + std::to_string(timeout.count()) + " ms",
            address, "allow more time or try another node");
      }
      stream.wake.expires_at(deadline);
      boost::system::error_code ignored;
      co_await stream.wake.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
  }

  auto SelectConnection(const std::string& address, Channel channel)
      -> std::shared_ptr<ClientConnection> {
    const std::pair key(address, channel);
    const auto known = links_.find(key);
    if (known != links_.end() && known->second.current->usable()) {
      return known->second.current;
    }
    const auto endpoint = ParseTcpAddress(address);
    std::erase_if(links_,
                  [](const auto& item) { return item.second.closed(); });
    auto& link = links_[key];
    if (link.suspect &&
        link.suspect->state() == ClientConnection::State::kOpen &&
        link.suspect->usable()) {
      link.current = std::move(link.suspect);
      return link.current;
    }
    link.suspect = std::move(link.current);
    link.current = std::make_shared<ClientConnection>(context_, address);
    link.current->Connect(endpoint);
    return link.current;
  }

  // Returns an open connection. Throws Error(kUnavailable) if there is none in
  // time.
  auto Connect(const std::string& address,
               Channel channel,
               std::chrono::milliseconds timeout,
               const std::shared_ptr<StreamCancel>& cancel)
      -> awaitable<std::shared_ptr<ClientConnection>> {
    auto connection = SelectConnection(address, channel);
    if (connection->state() == ClientConnection::State::kConnecting) {
      const auto wake = std::make_shared<steady_timer>(context_, timeout);
      if (cancel) {
        cancel->set_hook([wake] { wake->cancel(); });
      }
      co_await connection->WaitUntilConnected(wake);
      if (cancel) {
        cancel->set_hook(nullptr);
      }
    }
    if (connection->state() == ClientConnection::State::kConnecting) {
      throw Unavailable(address, "no connection in time");
    }
    if (connection->state() != ClientConnection::State::kOpen) {
      throw Unavailable(address, connection->reason());
    }
    co_return connection;
  }

  io_context& context_;
  PeerClientSettings settings_;
  std::map<std::pair<std::string, Channel>, Link> links_;
};

}  // namespace

auto MakePeerClient(io_context& context, PeerClientSettings settings)
    -> std::unique_ptr<PeerClient> {
  return std::make_unique<Http2PeerClient>(context, std::move(settings));
}

}  // namespace kumquatgauge::node
