#include "base/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace kumquatgauge::detail {
namespace {

// Seconds; the smallest that the kernel takes, since a silent connection must
// be replaced within the few seconds that a change may take to apply.
constexpr int kKeepAliveIdle = 1;
constexpr int kKeepAliveInterval = 1;
constexpr int kKeepAliveProbes = 2;

auto SetIntegerOption(int socket, int level, int name, int value) -> void {
  // A kernel without the option leaves the timeouts of the callers as guard.
  ::setsockopt(socket, level, name, &value, sizeof(value));
}

}  // namespace

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
