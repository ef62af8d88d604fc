#ifndef BASE_SOCKET_OPTIONS_H_
#define BASE_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace kumquatgauge::detail {

// Opens a socket for a connection to `endpoint`, with SO_REUSEADDR: a process
// that is down may have its listen address chosen by the kernel as the source
// of a connection, and could otherwise not listen there again until some time
// after that connection has ended. A failure is left to async_connect, which
// opens the socket if it is closed.
auto OpenForConnect(boost::asio::ip::tcp::socket& socket,
                    const boost::asio::ip::tcp::endpoint& endpoint) -> void;

// Disables Nagle's algorithm and makes the kernel close the connection if the
// peer is unreachable: after `user_timeout` with unacknowledged data, or after
// about 2 s without a response to keep-alive probes if idle.
auto ConfigureTcpSocket(boost::asio::ip::tcp::socket& socket,
                        std::chrono::milliseconds user_timeout) -> void;

}  // namespace kumquatgauge::detail

#endif  // BASE_SOCKET_OPTIONS_H_
