#include "base/socket_options.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace kumquatgauge::detail {
namespace {

// In seconds. These are the smallest values that the kernel accepts, since an
// unresponsive connection must be replaced within the few seconds in which a
// configuration change must apply.
constexpr int kKeepAliveIdle = 1;
constexpr int kKeepAliveInterval = 1;
constexpr int kKeepAliveProbes = 2;

auto SetIntegerOption(int socket, int level, int name, int value) -> void {
  // Errors are ignored: if the kernel lacks the option, the callers' timeouts
  // still apply.
  ::setsockopt(socket, level, name, &value, sizeof(value));
}

}  // namespace

auto OpenForConnect(boost::asio::ip::tcp::socket& socket,
                    const boost::asio::ip::tcp::endpoint& endpoint) -> void {
  auto error = boost::system::error_code();
  socket.open(endpoint.protocol(), error);
  if (!error) {
    SetIntegerOption(socket.native_handle(), SOL_SOCKET, SO_REUSEADDR, 1);
  }
}

auto ConfigureTcpSocket(boost::asio::ip::tcp::socket& socket,
                        std::chrono::milliseconds user_timeout) -> void {
  const auto handle = socket.native_handle();
  SetIntegerOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  SetIntegerOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetIntegerOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdle);
  SetIntegerOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveInterval);
  SetIntegerOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetUserTimeout(socket, user_timeout);
}

auto SetUserTimeout(boost::asio::ip::tcp::socket& socket,
                    std::chrono::milliseconds user_timeout) -> void {
  SetIntegerOption(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                   static_cast<int>(user_timeout.count()));
}

auto LimitSendBuffer(boost::asio::ip::tcp::socket& socket) -> void {
  SetIntegerOption(socket.native_handle(), SOL_SOCKET, SO_SNDBUF,
                   kSocketBufferBytes);
}

auto LimitReceiveBuffer(boost::asio::ip::tcp::socket& socket) -> void {
  SetIntegerOption(socket.native_handle(), SOL_SOCKET, SO_RCVBUF,
                   kSocketBufferBytes);
}

auto UnacknowledgedBytes(boost::asio::ip::tcp::socket& socket) -> std::size_t {
  auto bytes = 0;
  const auto failed = ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0;
  return failed || bytes < 0 ? 0 : static_cast<std::size_t>(bytes);
}

auto ResetOnClose(boost::asio::ip::tcp::socket& socket) -> void {
  auto error = boost::system::error_code();
  socket.set_option(boost::asio::socket_base::linger(true, 0), error);
}

}  // namespace kumquatgauge::detail
