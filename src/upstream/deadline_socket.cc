#include "upstream/deadline_socket.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace kumquatgauge::upstream::detail {
namespace {

constexpr std::chrono::milliseconds kLateReadGrace{100};

}  // namespace

DeadlineSocket::DeadlineSocket(boost::asio::ip::tcp::socket socket)
    : socket_(std::move(socket)), timer_(socket_.get_executor()) {}

auto DeadlineSocket::ExpireAfter(Duration limit, OnExpiry on_expiry) -> void {
  ExpireAt(std::chrono::steady_clock::now() + limit, on_expiry);
}

auto DeadlineSocket::ExpireAt(MonotonicTime deadline, OnExpiry on_expiry)
    -> void {
  timed_out_ = false;
  in_read_grace_ = false;
  deadline_ = deadline;
  on_expiry_ = on_expiry;
  if (deadline_ < armed_for_) {
    Arm();
  }
}

auto DeadlineSocket::Disarm() -> void {
  deadline_ = MonotonicTime::max();
}

auto DeadlineSocket::Close() -> void {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

auto DeadlineSocket::PeerClosed() -> bool {
  char byte = 0;
  const auto count =
      ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                        errno != EINTR);
}

auto DeadlineSocket::Readable() -> bool {
  char byte = 0;
  return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >=
             0 ||
         (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

auto DeadlineSocket::Arm() -> void {
  armed_for_ = deadline_;
  const auto generation = ++generation_;
  timer_.expires_at(deadline_);
  timer_.async_wait([weak = weak_from_this(),
                     generation](const boost::system::error_code& error) {
    auto self = weak.lock();
    if (!self || error || generation != self->generation_) {
      return;
    }
    self->armed_for_ = MonotonicTime::max();
    if (self->deadline_ == MonotonicTime::max()) {
      return;
    }
    if (std::chrono::steady_clock::now() < self->deadline_) {
      self->Arm();
      return;
    }
    self->Expire();
  });
}

// A composed read may be between two reads when the deadline passes, so
// cancelling the pending operation alone would not end it.
auto DeadlineSocket::Expire() -> void {
  // Data may be unread in the socket, or have been read while its handler is
  // still queued on this thread: the check after the grace period runs after
  // that handler.
  if (on_expiry_ == OnExpiry::kCloseIfNoData &&
      (!in_read_grace_ || (Readable() && !PeerClosed()))) {
    ExpireAfter(kLateReadGrace, on_expiry_);
    in_read_grace_ = true;
    return;
  }
  timed_out_ = true;
  deadline_ = MonotonicTime::max();
  if (on_expiry_ != OnExpiry::kStopReading) {
    Close();
    return;
  }
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_receive, ignored);
}

}  // namespace kumquatgauge::upstream::detail
