#include "kumquatgauge/node/peer_server.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <unordered_map>
#include <utility>

#include "base/listen_address.h"
#include "kumquatgauge/base/error.h"
#include "kumquatgauge/node/address.h"
#include "kumquatgauge/node/message.h"
#include "node/frame_codec.h"
#include "node/http2_connection.h"

namespace kumquatgauge::node {
namespace {

using boost::asio::awaitable;
using boost::asio::io_context;
using boost::asio::ip::tcp;
using nlohmann::json;
using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

constexpr std::string_view kPathPrefix = "/node/v1/";
constexpr std::string_view kCredentialHeader = "kqg-fleet";
// A connection that is new or has open streams is closed if nothing arrives for
// 4 s; clients send a PING every 500 ms while streams are open.
constexpr std::chrono::seconds kLivenessCheckInterval{1};
constexpr int kMissedChecksUntilClose = 4;
constexpr std::chrono::milliseconds kStopPollInterval{10};
// Delay between the shutdown notice and the final GOAWAY, so that requests
// already in transit are still accepted.
constexpr std::chrono::milliseconds kGoawayDelay{50};
// Delay after a failed accept, for example when out of file descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

// Credentials are compared by digest, because a constant-time comparison needs
// equal lengths.
auto ComputeDigest(std::string_view text) -> Digest {
  Digest digest;
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return digest;
}

// State shared by all connections of a server. Only the counters change after
// Start.
struct SharedState {
  std::unordered_map<std::string, Handler> handlers;
  Digest credential{};
  std::atomic<std::uint64_t> connections{0};
  std::atomic<std::uint64_t> streams{0};
  std::atomic<std::uint64_t> rejected{0};
};

class ServerConnection;

class ServerStream : public Responder {
 public:
  ServerStream(std::weak_ptr<ServerConnection> connection, std::int32_t id)
      : connection_(std::move(connection)), id_(id) {}

  auto Send(const json& frame) -> bool override;
  auto cancelled() const -> bool override { return cancelled_; }
  auto OnCancel(std::function<auto()->void> hook) -> void override {
    if (cancelled_) {
      hook();
    } else if (!ended_) {
      hook_ = std::move(hook);
    }
  }

  auto End() -> void;
  auto Cancel() -> void {
    hook_ = ended_ ? nullptr : std::move(hook_);
    cancelled_ = true;
    if (auto hook = std::exchange(hook_, nullptr)) {
      hook();
    }
  }

  auto id() const -> std::int32_t { return id_; }

  std::string method;
  std::string path;
  std::string credential;
  std::size_t header_bytes = 0;
  const Handler* handler = nullptr;  // Set when the request is accepted.
  std::string body;
  bool refused = false;
  bool responded = false;
  detail::SendBuffer out;

 private:
  std::weak_ptr<ServerConnection> connection_;
  std::int32_t id_;
  bool cancelled_ = false;
  bool ended_ = false;
  std::function<auto()->void> hook_;
};

class ServerConnection : public detail::Http2Connection {
 public:
  ServerConnection(tcp::socket socket, std::shared_ptr<SharedState> shared)
      : Http2Connection(std::move(socket), Side::kServer),
        shared_(std::move(shared)),
        timer_(executor()) {
    ++shared_->connections;
  }
  ~ServerConnection() override { --shared_->connections; }

  auto Start() -> void {
    StartSession(kMaxStreamsPerConnection);
    ScheduleLivenessCheck();
  }

  auto Shutdown() -> void {
    if (closed()) {
      return;
    }
    nghttp2_submit_shutdown_notice(session());
    ScheduleWrite();
    auto timer =
        std::make_shared<boost::asio::steady_timer>(executor(), kGoawayDelay);
    timer->async_wait([self = Self(), timer](boost::system::error_code) {
      if (!self->closed()) {
        nghttp2_submit_goaway(
            self->session(), NGHTTP2_FLAG_NONE,
            nghttp2_session_get_last_proc_stream_id(self->session()),
            NGHTTP2_NO_ERROR, nullptr, 0);
        self->ScheduleWrite();
      }
    });
  }

  // Schedules sending of the bytes in the buffer of `stream`, with the response
  // headers first.
  auto SendQueued(ServerStream& stream) -> void {
    if (stream.responded) {
      ResumeStream(stream.id(), stream.out);
      return;
    }
    stream.responded = true;
    if (SubmitResponse(stream.id(), {{":status", "200"}}, &stream.out) != 0) {
      stream.Cancel();
    }
  }

  auto Reset(std::int32_t id, std::uint32_t code) -> void {
    SubmitReset(id, code);
  }

 private:
  auto Self() -> std::shared_ptr<ServerConnection> {
    return std::static_pointer_cast<ServerConnection>(shared_from_this());
  }

  auto Find(std::int32_t id) -> std::shared_ptr<ServerStream> {
    const auto found = streams_.find(id);
    return found == streams_.end() ? nullptr : found->second;
  }

  auto OnHeader(std::int32_t id, std::string_view name, std::string_view value)
      -> void override {
    auto& stream = streams_[id];
    if (!stream) {
      stream = std::make_shared<ServerStream>(Self(), id);
      ScheduleLivenessCheck();
    }
    stream->header_bytes += name.size() + value.size();
    if (stream->header_bytes > kMaxRequestHeaderBytes) {
      Refuse(*stream, "431");
    } else if (name == ":method") {
      stream->method = value;
    } else if (name == ":path") {
      stream->path = value;
    } else if (name == kCredentialHeader) {
      stream->credential = value;
    }
  }

  auto OnHeadersEnd(std::int32_t id) -> void override {
    auto stream = Find(id);
    if (!stream || stream->refused || stream->handler != nullptr) {
      return;
    }
    const auto digest = ComputeDigest(stream->credential);
    if (CRYPTO_memcmp(digest.data(), shared_->credential.data(),
                      digest.size()) != 0) {
      ++shared_->rejected;
      Refuse(*stream, "403");
      return;
    }
    if (stream->method != "POST" || !stream->path.starts_with(kPathPrefix)) {
      Refuse(*stream, "404");
      return;
    }
    const auto handler =
        shared_->handlers.find(stream->path.substr(kPathPrefix.size()));
    if (handler == shared_->handlers.end()) {
      Refuse(*stream, "404");
      return;
    }
    ++shared_->streams;
    stream->handler = &handler->second;
  }

  auto OnData(std::int32_t id, std::string_view bytes) -> void override {
    auto stream = Find(id);
    if (!stream || stream->handler == nullptr || stream->refused) {
      return;
    }
    if (stream->body.size() + bytes.size() > kMaxRequestBytes) {
      Refuse(*stream, "413");
      return;
    }
    stream->body.append(bytes);
  }

  auto OnStreamEnd(std::int32_t id) -> void override {
    auto stream = Find(id);
    if (stream && stream->handler != nullptr && !stream->refused) {
      // A handler may send and end the stream immediately, which nghttp2 does
      // not support inside a callback, so it is started from the event loop.
      boost::asio::post(executor(), [self = Self(), stream] {
        boost::asio::co_spawn(self->executor(), Serve(self, stream),
                              boost::asio::detached);
      });
    }
  }

  auto OnHeadersSent(std::int32_t id) -> void override {
    const auto stream = Find(id);
    if (stream && stream->refused) {
      SubmitReset(id, NGHTTP2_NO_ERROR);
    }
  }

  auto OnStreamClosed(std::int32_t id, std::uint32_t) -> void override {
    const auto found = streams_.find(id);
    if (found != streams_.end()) {
      const auto stream = found->second;
      streams_.erase(found);
      closed_streams_.push_back(stream);
      stream->Cancel();
      // nghttp2 may use the buffer until this callback returns.
      boost::asio::post(executor(),
                        [self = Self()] { self->closed_streams_.clear(); });
    }
  }

  auto OnClosed(std::string_view) -> void override {
    timer_.cancel();
    auto streams = std::exchange(streams_, {});
    for (auto& [id, stream] : streams) {
      stream->Cancel();
      // nghttp2 may use the buffers until the session is deleted.
      closed_streams_.push_back(stream);
    }
  }

  // Responds with a status only. The stream is reset after the headers are
  // sent, because nghttp2 sends no more frames of a stream once a reset is
  // submitted.
  auto Refuse(ServerStream& stream, std::string_view status) -> void {
    if (stream.refused) {
      return;
    }
    stream.refused = true;
    stream.body = {};
    stream.responded = true;
    SubmitResponse(stream.id(), {{":status", status}}, nullptr);
  }

  // `connection` is kept alive until the handler returns.
  static auto Serve(
      [[maybe_unused]] std::shared_ptr<ServerConnection> connection,
      std::shared_ptr<ServerStream> stream) -> awaitable<void> {
    std::optional<Error> error;
    try {
      auto request = DecodeMessage(stream->body);
      stream->body = {};
      co_await (*stream->handler)(std::move(request), stream);
    } catch (const Error& thrown) {
      error = thrown;
    } catch (const std::exception& thrown) {
      error = Error(ErrorKind::kInternal, "request handler failed",
                    stream->path, thrown.what());
    }
    if (error) {
      stream->Send({{std::string(kErrorField), ToMessage(*error)}});
    }
    stream->End();
  }

  auto ScheduleLivenessCheck() -> void {
    if (liveness_check_scheduled_) {
      return;
    }
    liveness_check_scheduled_ = true;
    last_bytes_received_ = bytes_received();
    timer_.expires_after(kLivenessCheckInterval);
    timer_.async_wait([self = Self()](const boost::system::error_code& error) {
      if (error || self->closed()) {
        return;
      }
      self->liveness_check_scheduled_ = false;
      const auto expects_bytes =
          !self->streams_.empty() || self->bytes_received() == 0;
      if (!expects_bytes) {
        self->missed_checks_ = 0;
        return;
      }
      self->missed_checks_ =
          self->bytes_received() == self->last_bytes_received_
              ? self->missed_checks_ + 1
              : 0;
      if (self->missed_checks_ >= kMissedChecksUntilClose) {
        self->Close("no data received from the client");
        return;
      }
      self->ScheduleLivenessCheck();
    });
  }

  std::shared_ptr<SharedState> shared_;
  std::unordered_map<std::int32_t, std::shared_ptr<ServerStream>> streams_;
  std::vector<std::shared_ptr<ServerStream>> closed_streams_;
  boost::asio::steady_timer timer_;
  std::uint64_t last_bytes_received_ = 0;
  int missed_checks_ = 0;
  bool liveness_check_scheduled_ = false;
};

auto ServerStream::Send(const json& frame) -> bool {
  const auto connection = connection_.lock();
  if (cancelled_ || ended_ || !connection) {
    return false;
  }
  const auto payload = EncodeMessage(frame);
  if (payload.size() > kMaxFrameBytes) {
    throw Error(ErrorKind::kInvalidArgument, "frame too long", path,
                "send smaller frames");
  }
  if (out.queued() + payload.size() > kMaxQueuedBytesPerStream) {
    connection->Reset(id_, NGHTTP2_ENHANCE_YOUR_CALM);
    Cancel();
    return false;
  }
  detail::AppendFrame(payload, out.bytes);
  connection->SendQueued(*this);
  return !cancelled_;
}

auto ServerStream::End() -> void {
  const auto connection = connection_.lock();
  hook_ = nullptr;
  if (cancelled_ || ended_ || !connection) {
    return;
  }
  ended_ = true;
  out.ended = true;
  connection->SendQueued(*this);
}

}  // namespace

class PeerServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(io_context& accept_context,
       std::vector<io_context*> workers,
       PeerServerSettings settings)
      : context_(accept_context),
        workers_(std::move(workers)),
        settings_(std::move(settings)),
        acceptor_(context_),
        shared_(std::make_shared<SharedState>()) {
    if (workers_.empty()) {
      workers_.push_back(&context_);
    }
    shared_->credential = ComputeDigest(settings_.fleet_credential);
  }

  auto Start() -> void {
    kumquatgauge::detail::OpenListenAddress(
        context_.get_executor(), settings_.listen,
        kumquatgauge::detail::MakeListenHooks(weak_from_this()));
  }

  auto Open() -> boost::system::error_code {
    if (closed_) {
      return boost::asio::error::operation_aborted;
    }
    return kumquatgauge::detail::OpenAcceptor(
        acceptor_, ParseTcpAddress(settings_.listen));
  }

  auto OnOpened() -> void {
    address_ = FormatAddress(acceptor_.local_endpoint());
    boost::asio::co_spawn(context_, Accept(shared_from_this()),
                          boost::asio::detached);
  }

  auto Stop(std::chrono::milliseconds limit) -> awaitable<void> {
    CloseAcceptor();
    ForEachConnection(
        [](ServerConnection& connection) { connection.Shutdown(); });
    const auto deadline = std::chrono::steady_clock::now() + limit;
    boost::asio::steady_timer timer(context_);
    while (shared_->connections > 0 &&
           std::chrono::steady_clock::now() < deadline) {
      timer.expires_after(kStopPollInterval);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    CloseAll();
  }

  auto CloseAcceptor() -> void {
    closed_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  }

  auto CloseAll() -> void {
    ForEachConnection([](ServerConnection& connection) {
      connection.Close("the server stopped");
    });
  }

  auto Register(std::string name, Handler handler) -> void {
    shared_->handlers[std::move(name)] = std::move(handler);
  }

  auto listening() const -> bool { return acceptor_.is_open(); }
  auto address() const -> const std::string& { return address_; }

  auto counters() const -> PeerServerCounters {
    return {shared_->connections, shared_->streams, shared_->rejected};
  }

 private:
  static auto Accept(std::shared_ptr<Impl> self) -> awaitable<void> {
    std::size_t next = 0;
    boost::asio::steady_timer retry(self->context_);
    while (self->acceptor_.is_open()) {
      auto& worker = *self->workers_[next++ % self->workers_.size()];
      tcp::socket socket(worker);
      boost::system::error_code error;
      co_await self->acceptor_.async_accept(
          socket,
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (!self->acceptor_.is_open()) {
        co_return;
      }
      if (error) {
        retry.expires_after(kAcceptRetryDelay);
        co_await retry.async_wait(boost::asio::use_awaitable);
        continue;
      }
      auto connection =
          std::make_shared<ServerConnection>(std::move(socket), self->shared_);
      self->TrackConnection(connection);
      boost::asio::post(worker, [connection] { connection->Start(); });
    }
  }

  auto TrackConnection(const std::shared_ptr<ServerConnection>& connection)
      -> void {
    const std::lock_guard lock(mutex_);
    std::erase_if(connections_,
                  [](const auto& known) { return known.expired(); });
    connections_.push_back(connection);
  }

  template <typename Function>
  auto ForEachConnection(Function function) -> void {
    const std::lock_guard lock(mutex_);
    for (const auto& known : connections_) {
      if (auto connection = known.lock()) {
        boost::asio::post(connection->executor(),
                          [connection, function] { function(*connection); });
      }
    }
  }

  io_context& context_;
  std::vector<io_context*> workers_;
  PeerServerSettings settings_;
  tcp::acceptor acceptor_;
  bool closed_ = false;
  std::shared_ptr<SharedState> shared_;
  std::string address_;
  std::mutex mutex_;
  std::vector<std::weak_ptr<ServerConnection>> connections_;
};

PeerServer::PeerServer(io_context& accept_context,
                       std::vector<io_context*> workers,
                       PeerServerSettings settings)
    : impl_(std::make_shared<Impl>(accept_context,
                                   std::move(workers),
                                   std::move(settings))) {}

PeerServer::~PeerServer() {
  impl_->CloseAcceptor();
  impl_->CloseAll();
}

auto PeerServer::Register(std::string name, Handler handler) -> void {
  impl_->Register(std::move(name), std::move(handler));
}

auto PeerServer::Start() -> void {
  impl_->Start();
}

auto PeerServer::listening() const -> bool {
  return impl_->listening();
}

auto PeerServer::address() const -> std::string {
  return impl_->address();
}

auto PeerServer::Stop(std::chrono::milliseconds limit) -> awaitable<void> {
  const auto impl = impl_;
  co_await impl->Stop(limit);
}

auto PeerServer::counters() const -> PeerServerCounters {
  return impl_->counters();
}

}  // namespace kumquatgauge::node
