#ifndef UPSTREAM_DEADLINE_SOCKET_H_
#define UPSTREAM_DEADLINE_SOCKET_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>

#include "base/read_limits.h"
#include "kumquatgauge/base/time.h"

namespace kumquatgauge::upstream::detail {

// A TCP socket with a read buffer and a deadline that may be changed while an
// operation runs. Postponing it needs no timer operation.
class DeadlineSocket : public std::enable_shared_from_this<DeadlineSocket> {
 public:
  enum class OnExpiry {
    kStopReading,  // Reads end as at end of stream; writing stays possible.
    kClose,
    // Closes only if there is no unread data. Otherwise this thread was late,
    // not the peer, and gets a grace period to read: a busy node must not abort
    // streams that make progress.
    kCloseIfNoData,
  };

  explicit DeadlineSocket(boost::asio::ip::tcp::socket socket);

  auto socket() -> boost::asio::ip::tcp::socket& { return socket_; }
  auto buffer() -> boost::beast::flat_buffer& { return buffer_; }
  auto timed_out() const -> bool { return timed_out_; }

  auto ExpireAfter(Duration limit, OnExpiry on_expiry) -> void;
  auto ExpireAt(MonotonicTime deadline, OnExpiry on_expiry) -> void;
  auto Disarm() -> void;
  auto Close() -> void;
  // Whether the peer has closed the connection. Does not block.
  auto PeerClosed() -> bool;
  // Whether unread data or an end of stream is pending. Does not block.
  auto Readable() -> bool;

 private:
  auto Arm() -> void;
  auto Expire() -> void;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_{kumquatgauge::detail::kMaxUnparsedBytes};
  MonotonicTime deadline_ = MonotonicTime::max();
  MonotonicTime armed_for_ = MonotonicTime::max();
  std::uint64_t generation_ = 0;
  OnExpiry on_expiry_ = OnExpiry::kClose;
  bool timed_out_ = false;
  bool in_read_grace_ = false;  // The deadline has passed once.
};

}  // namespace kumquatgauge::upstream::detail

#endif  // UPSTREAM_DEADLINE_SOCKET_H_
