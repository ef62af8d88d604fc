#include "base/socket_options.h"

#include <netinet/tcp.h>
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
  SetIntegerOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
                   static_cast<int>(user_timeout.count()));
}

}  // namespace kumquatgauge::detail
