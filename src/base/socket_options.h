#ifndef BASE_SOCKET_OPTIONS_H_
#define BASE_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace kumquatgauge::detail {

// Disables Nagle's algorithm and makes the kernel close the connection if the
// peer is unreachable: after `user_timeout` with unacknowledged data, or after
// about 2 s without a response to keep-alive probes if idle.
auto ConfigureTcpSocket(boost::asio::ip::tcp::socket& socket,
                        std::chrono::milliseconds user_timeout) -> void;

}  // namespace kumquatgauge::detail

#endif  // BASE_SOCKET_OPTIONS_H_
