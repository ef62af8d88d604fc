#ifndef BASE_SOCKET_OPTIONS_H_
#define BASE_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace kumquatgauge::detail {

// Disables Nagle's algorithm and makes the kernel break the connection when the
// other side is unreachable: after `user_timeout` with unacknowledged data, or
// after about 2 s without an answer to keep-alive probes when idle.
auto ConfigureTcpSocket(boost::asio::ip::tcp::socket& socket,
                        std::chrono::milliseconds user_timeout) -> void;

}  // namespace kumquatgauge::detail

#endif  // BASE_SOCKET_OPTIONS_H_
