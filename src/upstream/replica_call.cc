#include "kumquatgauge/upstream/replica_call.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <utility>

#include "base/http_status.h"
#include "kumquatgauge/base/error.h"
#include "upstream/connection_pool.h"

namespace kumquatgauge::upstream {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::awaitable;
using boost::system::error_code;
using detail::Connection;
using OnExpiry = detail::DeadlineSocket::OnExpiry;
using Parser = http::response_parser<http::buffer_body>;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
// Limit of a response head; replicas send a few short headers.
constexpr std::uint32_t kMaxHeadBytes = 32'768;
constexpr std::size_t kReadBytes = 16'384;
// Responses to earlier requests that are skipped on one connection.
constexpr int kMaxSkippedResponses = 2;
// Informational heads (1xx) before a final one.
constexpr int kMaxInformationalHeads = 16;
// A replica that sends without end always has data for the next read. Data that
// arrived in time is read within this time after a deadline.
constexpr std::chrono::milliseconds kLateReadTime{100};

// The body is not copied, and freed with the message.
struct RequestMessage {
  http::request<http::span_body<const char>> request;
  std::shared_ptr<const std::string> body;
};

auto ToMessage(ReplicaRequest& call) -> std::shared_ptr<RequestMessage> {
  auto owner = std::make_shared<RequestMessage>();
  auto* message = &owner->request;
  message->version(11);
  message->method_string(call.method);
  message->target(call.target);
  for (const auto& header : call.headers) {
    message->insert(header.name, header.value);
  }
  owner->body = std::move(call.body);
  if (owner->body) {
    message->body() = {owner->body->data(), owner->body->size()};
  }
  message->prepare_payload();
  return owner;
}

}  // namespace

auto CallEndName(CallEnd end) -> std::string_view {
  switch (end) {
    case CallEnd::kOpen:
      return "open";
    case CallEnd::kComplete:
      return "complete";
    case CallEnd::kNotSent:
      return "not_sent";
    case CallEnd::kBroken:
      return "broken";
    case CallEnd::kMalformed:
      return "malformed";
    case CallEnd::kSilent:
      return "silent";
    case CallEnd::kDeadline:
      return "deadline";
    case CallEnd::kNoMemory:
      return "no_memory";
    case CallEnd::kCancelled:
      break;
  }
  return "cancelled";
}

struct ReplicaCaller::Impl {
  Impl(const asio::any_io_executor& io_executor, ConnectionSettings settings)
      : executor(io_executor),
        pool(std::make_shared<detail::ConnectionPool>(io_executor, settings)) {}

  asio::any_io_executor executor;
  std::shared_ptr<detail::ConnectionPool> pool;
  std::uint64_t opened = 0;
};

namespace {

class HttpCall : public ReplicaCaller::Call {
 public:
  HttpCall(asio::any_io_executor executor,
           std::shared_ptr<detail::ConnectionPool> pool,
           std::function<auto()->void> on_opened,
           ReplicaRequest request,
           HeadFilter accept_head)
      : executor_(std::move(executor)),
        pool_(std::move(pool)),
        on_opened_(std::move(on_opened)),
        request_(std::move(request)),
        accept_head_(std::move(accept_head)),
        message_(ToMessage(request_)) {}

  ~HttpCall() override {
    // The pending write keeps the connection alive; closing it ends the write.
    if (connection_) {
      connection_->io().Close();
    }
  }

  auto Open() -> awaitable<CallEnd> override {
    const auto self = shared_from_this();
    auto reuse = request_.id.empty() ? detail::Reuse::kFreshOnly
                                     : detail::Reuse::kAllowed;
    while (true) {
      auto end = co_await Connect(reuse);
      if (end != CallEnd::kOpen) {
        co_return end;
      }
      if (request_.may_send && !request_.may_send()) {
        co_return Withhold();
      }
      end = co_await SendAndReadHead();
      const auto stale = end == CallEnd::kBroken && connection_->reused() &&
                         !response_begun_ && !cancelled_;
      if (!stale || sends_ >= request_.max_sends) {
        co_return end;
      }
      reuse = detail::Reuse::kFreshOnly;
      // The write may still be pending and keep the connection alive.
      connection_->io().Close();
      connection_ = nullptr;
    }
  }

  auto Read(std::string& bytes) -> awaitable<CallEnd> override {
    const auto self = shared_from_this();
    auto end = CallEnd::kOpen;
    const auto before = bytes.size();
    while (end == CallEnd::kOpen && bytes.size() == before) {
      end = co_await ReadSome(bytes, BodyDeadline());
    }
    if (end == CallEnd::kComplete) {
      Release();
    }
    co_return end;
  }

  auto OnProgress() -> void override {
    progress_at_ = std::chrono::steady_clock::now();
  }

  auto Cancel() -> void override {
    cancelled_ = true;
    if (connection_) {
      connection_->io().Close();
    }
  }

  auto head() const -> const ReplicaHead& override { return head_; }
  auto bytes_sent() const -> bool override { return sends_ > 0; }
  auto sends() const -> std::uint32_t override { return sends_; }
  auto reason() const -> const std::string& override { return reason_; }

 private:
  auto Connect(detail::Reuse reuse) -> awaitable<CallEnd> {
    const auto left = request_.deadline - std::chrono::steady_clock::now();
    if (cancelled_ || left <= Duration::zero()) {
      co_return cancelled_ ? CallEnd::kCancelled : CallEnd::kDeadline;
    }
    try {
      connection_ =
          co_await pool_->Acquire(request_.address, reuse, left, request_.id);
    } catch (const Error& error) {
      reason_ = error.what();
      co_return CallEnd::kNotSent;
    }
    if (!connection_->reused()) {
      on_opened_();
    }
    co_return cancelled_ ? CallEnd::kCancelled : CallEnd::kOpen;
  }

  // Ends the call without sending the request, or without sending it again.
  auto Withhold() -> CallEnd {
    reason_ = "the replica takes no requests any more";
    connection_->Release();
    connection_ = nullptr;
    return sends_ > 0 ? CallEnd::kBroken : CallEnd::kNotSent;
  }

  auto SendAndReadHead() -> awaitable<CallEnd> {
    // Replicas may respond before they have read the whole request, so the
    // response is awaited while the request is written.
    write_done_ = std::make_shared<bool>(false);
    auto writing =
        Write(connection_, message_, write_done_,
              std::static_pointer_cast<HttpCall>(shared_from_this()));
    asio::co_spawn(executor_, std::move(writing), asio::detached);
    head_deadline_ = std::chrono::steady_clock::now() + request_.head_timeout;
    for (auto skipped = 0; skipped <= kMaxSkippedResponses; ++skipped) {
      const auto end = co_await ReadHead();
      if (end != CallEnd::kOpen) {
        co_return end;
      }
      if (accept_head_(head_)) {
        OnProgress();
        co_return CallEnd::kOpen;
      }
      const auto skip_end = co_await SkipBody();
      if (skip_end != CallEnd::kComplete) {
        co_return skip_end;
      }
    }
    reason_ = "responses to other requests";
    co_return CallEnd::kMalformed;
  }

  // Counts the send before the first byte is written, because a failed write
  // may have sent a part.
  static auto Write(std::shared_ptr<Connection> connection,
                    std::shared_ptr<RequestMessage> message,
                    std::shared_ptr<bool> done,
                    std::weak_ptr<HttpCall> call) -> awaitable<void> {
    if (const auto self = call.lock()) {
      ++self->sends_;
    }
    auto serializer =
        http::request_serializer<http::span_body<const char>>(message->request);
    const auto [error, written] = co_await http::async_write(
        connection->io().socket(), serializer, kAwaitTuple);
    *done = !error;
  }

  auto ReadHead() -> awaitable<CallEnd> {
    for (auto heads = 0; heads <= kMaxInformationalHeads; ++heads) {
      parser_ = std::make_unique<Parser>();
      parser_->header_limit(kMaxHeadBytes);
      parser_->body_limit(boost::none);
      auto& io = connection_->io();
      io.ExpireAt(std::min(request_.deadline, head_deadline_),
                  OnExpiry::kCloseIfNoData);
      const auto [error, read] = co_await http::async_read_header(
          io.socket(), io.buffer(), *parser_, kAwaitTuple);
      response_begun_ = response_begun_ || read > 0;
      if (error) {
        co_return ToCallEnd(error);
      }
      const auto status = parser_->get().result_int();
      if (!kumquatgauge::detail::IsHttpStatus(status)) {
        reason_ = "no HTTP status: " + std::to_string(status);
        co_return CallEnd::kMalformed;
      }
      if (status >= kumquatgauge::detail::kFirstFinalHttpStatus) {
        StoreHead();
        co_return CallEnd::kOpen;
      }
    }
    reason_ = "informational responses without end";
    co_return CallEnd::kMalformed;
  }

  auto StoreHead() -> void {
    head_ = ReplicaHead();
    head_.first_on_connection = !connection_->reused();
    head_.status = static_cast<int>(parser_->get().result_int());
    for (const auto& field : parser_->get()) {
      head_.headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    }
  }

  auto SkipBody() -> awaitable<CallEnd> {
    auto end = CallEnd::kOpen;
    auto ignored = std::string();
    while (end == CallEnd::kOpen) {
      end = co_await ReadSome(ignored,
                              std::min(request_.deadline, head_deadline_));
      ignored.clear();
    }
    co_return end;
  }

  auto BodyDeadline() const -> MonotonicTime {
    return request_.progress_timeout == Duration::zero()
               ? request_.deadline
               : std::min(request_.deadline,
                          progress_at_ + request_.progress_timeout);
  }

  auto ReadSome(std::string& bytes, MonotonicTime last) -> awaitable<CallEnd> {
    if (parser_->is_done()) {
      co_return CallEnd::kComplete;
    }
    auto& io = connection_->io();
    const auto now = std::chrono::steady_clock::now();
    if (now >= last + kLateReadTime) {
      io.Close();
      reason_ = "the response goes on after its time limit";
      co_return now >= request_.deadline ? CallEnd::kDeadline
                                         : CallEnd::kSilent;
    }
    auto& body = parser_->get().body();
    body.data = read_buffer_.data();
    body.size = read_buffer_.size();
    io.ExpireAt(std::min(last, now + request_.body_idle_timeout),
                OnExpiry::kCloseIfNoData);
    const auto [error, read] = co_await http::async_read_some(
        io.socket(), io.buffer(), *parser_, kAwaitTuple);
    bytes.append(read_buffer_.data(), read_buffer_.size() - body.size);
    if (error && error != http::error::need_buffer) {
      co_return ToCallEnd(error);
    }
    if (parser_->is_done() && parser_->need_eof() && !*write_done_) {
      // A socket reports a reset once. If the pending write gets it, the read
      // ends as if the replica had closed the connection after a whole body.
      reason_ = "the connection ended before the request was written";
      co_return CallEnd::kBroken;
    }
    co_return parser_->is_done() ? CallEnd::kComplete : CallEnd::kOpen;
  }

  auto ToCallEnd(const error_code& error) -> CallEnd {
    reason_ = error.message();
    if (cancelled_) {
      return CallEnd::kCancelled;
    }
    if (connection_->io().timed_out()) {
      const auto late = std::chrono::steady_clock::now() >= request_.deadline;
      return late ? CallEnd::kDeadline : CallEnd::kSilent;
    }
    const auto from_parser =
        error.category() == make_error_code(http::error::bad_method).category();
    const auto ended = error == http::error::end_of_stream ||
                       error == http::error::partial_message;
    return from_parser && !ended ? CallEnd::kMalformed : CallEnd::kBroken;
  }

  // Returns the connection to the pool if the exchange on it is complete.
  auto Release() -> void {
    const auto clean = *write_done_ && parser_->get().keep_alive() &&
                       connection_->io().buffer().size() == 0 && !cancelled_;
    if (clean) {
      connection_->Release();
    } else {
      // A write to a replica that does not read the rest of the request would
      // keep the connection and the body.
      connection_->io().Close();
    }
    connection_ = nullptr;
  }

  asio::any_io_executor executor_;
  std::shared_ptr<detail::ConnectionPool> pool_;
  std::function<auto()->void> on_opened_;
  ReplicaRequest request_;
  HeadFilter accept_head_;
  std::shared_ptr<RequestMessage> message_;
  std::shared_ptr<Connection> connection_;
  std::shared_ptr<bool> write_done_;
  std::unique_ptr<Parser> parser_;
  ReplicaHead head_;
  std::array<char, kReadBytes> read_buffer_{};
  MonotonicTime head_deadline_;
  MonotonicTime progress_at_;
  std::string reason_;
  std::uint32_t sends_ = 0;
  bool response_begun_ = false;
  bool cancelled_ = false;
};

}  // namespace

ReplicaCaller::ReplicaCaller(const asio::any_io_executor& executor,
                             ConnectionSettings settings)
    : impl_(std::make_shared<Impl>(executor, settings)) {}

ReplicaCaller::~ReplicaCaller() {
  impl_->pool->Close();
}

auto ReplicaCaller::Start(ReplicaRequest request, HeadFilter accept_head)
    -> std::shared_ptr<Call> {
  auto count = [weak = std::weak_ptr<Impl>(impl_)] {
    if (const auto impl = weak.lock()) {
      ++impl->opened;
    }
  };
  return std::make_shared<HttpCall>(impl_->executor, impl_->pool,
                                    std::move(count), std::move(request),
                                    std::move(accept_head));
}

auto ReplicaCaller::opened() const -> std::uint64_t {
  return impl_->opened;
}

}  // namespace kumquatgauge::upstream
