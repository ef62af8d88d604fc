#include "caller/response_output.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "base/socket_options.h"

namespace kumquatgauge::caller::detail {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using OnExpiry = upstream::detail::DeadlineSocket::OnExpiry;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
// Bytes after which a response that the socket takes at once is reported, since
// the socket's buffer may hold them for long.
constexpr std::uint64_t kReportBytes = 16'384;
// Value of TCP_USER_TIMEOUT once the hooks decide how long a response may wait.
// The kernel applies it also to a caller whose window is closed, which may be
// for 3 s if it reads slowly.
constexpr std::chrono::milliseconds kHeldUserTimeout{10'000};

}  // namespace

ResponseOutput::ResponseOutput(
    std::shared_ptr<upstream::detail::DeadlineSocket> io,
    HeldResponseHooks hooks)
    : io_(std::move(io)),
      hooks_(std::move(hooks)),
      dequeued_(io_->socket().get_executor()) {}

auto ResponseOutput::Begin(std::string target,
                           std::chrono::milliseconds write_timeout,
                           std::function<auto()->void> on_failure) -> void {
  target_ = std::move(target);
  write_timeout_ = write_timeout;
  on_failure_ = std::move(on_failure);
}

auto ResponseOutput::Write(std::string bytes) -> bool {
  if (failed_) {
    return false;
  }
  if (!bytes.empty()) {
    queued_bytes_ += bytes.size();
    queue_.push_back(std::move(bytes));
  }
  if (!draining_) {
    WriteAtOnce();
  }
  if (queued_bytes_ > 0 && !draining_ && !failed_) {
    draining_ = true;
    asio::co_spawn(io_->socket().get_executor(), Drain(shared_from_this()),
                   asio::detached);
  }
  if (queued_bytes_ > 0 || written_bytes_ - reported_at_ >= kReportBytes) {
    Report();
  }
  return !failed_;
}

auto ResponseOutput::AwaitRoom(std::size_t max_bytes) -> awaitable<bool> {
  const auto self = shared_from_this();
  source_waits_ = queued_bytes_ > max_bytes;
  co_await AwaitQueuedBytes(max_bytes);
  source_waits_ = false;
  co_return !failed_;
}

auto ResponseOutput::AwaitWritten() -> awaitable<bool> {
  const auto self = shared_from_this();
  co_await AwaitQueuedBytes(0);
  co_return !failed_;
}

auto ResponseOutput::AwaitQueuedBytes(std::size_t max_bytes)
    -> awaitable<void> {
  while (!failed_ && queued_bytes_ > max_bytes) {
    dequeued_.expires_at(asio::steady_timer::time_point::max());
    co_await dequeued_.async_wait(kAwaitTuple);
  }
}

auto ResponseOutput::Close() -> void {
  Fail();
  if (std::exchange(held_, false)) {
    hooks_.closed(*this);
  }
}

auto ResponseOutput::held_bytes() const -> std::size_t {
  return queued_bytes_ +
         kumquatgauge::detail::UnacknowledgedBytes(io_->socket()) +
         (source_waits_ ? kumquatgauge::detail::kSocketBufferBytes : 0);
}

auto ResponseOutput::acknowledged_bytes() const -> std::uint64_t {
  const auto waiting = kumquatgauge::detail::UnacknowledgedBytes(io_->socket());
  return written_bytes_ - std::min<std::uint64_t>(waiting, written_bytes_);
}

auto ResponseOutput::Reset() -> void {
  kumquatgauge::detail::ResetOnClose(io_->socket());
  held_ = false;
  Fail();
  io_->Close();
}

auto ResponseOutput::Drain(std::shared_ptr<ResponseOutput> self)
    -> awaitable<void> {
  auto& io = *self->io_;
  while (!self->failed_ && self->queued_bytes_ > 0) {
    if (!self->hooks_.held) {
      io.ExpireAfter(self->write_timeout_, OnExpiry::kClose);
    }
    const auto [error] = co_await io.socket().async_wait(
        asio::ip::tcp::socket::wait_write, kAwaitTuple);
    if (error) {
      self->Fail();
      break;
    }
    self->WriteAtOnce();
  }
  self->draining_ = false;
  if (!self->hooks_.held) {
    io.Disarm();
  }
}

auto ResponseOutput::WriteAtOnce() -> void {
  auto error = boost::system::error_code();
  io_->socket().non_blocking(true, error);
  while (!error && !queue_.empty()) {
    const auto& front = queue_.front();
    const auto written =
        io_->socket().write_some(asio::buffer(front.data() + front_written_,
                                              front.size() - front_written_),
                                 error);
    OnWritten(written);
  }
  if (error && error != asio::error::would_block) {
    Fail();
  }
}

auto ResponseOutput::OnWritten(std::size_t bytes) -> void {
  if (bytes == 0) {
    return;
  }
  written_bytes_ += bytes;
  queued_bytes_ -= bytes;
  front_written_ += bytes;
  if (front_written_ == queue_.front().size()) {
    queue_.pop_front();
    front_written_ = 0;
  }
  dequeued_.cancel();
}

auto ResponseOutput::Fail() -> void {
  if (std::exchange(failed_, true)) {
    return;
  }
  queue_.clear();
  queued_bytes_ = 0;
  front_written_ = 0;
  dequeued_.cancel();
  if (const auto on_failure = std::exchange(on_failure_, nullptr)) {
    on_failure();
  }
}

auto ResponseOutput::Report() -> void {
  reported_at_ = written_bytes_;
  if (hooks_.held && !failed_) {
    if (!std::exchange(held_, true)) {
      kumquatgauge::detail::SetUserTimeout(io_->socket(), kHeldUserTimeout);
    }
    hooks_.held(shared_from_this());
  }
}

}  // namespace kumquatgauge::caller::detail
