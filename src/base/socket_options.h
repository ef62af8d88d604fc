#ifndef BASE_SOCKET_OPTIONS_H_
#define BASE_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>

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

// Changes the timeout of ConfigureTcpSocket.
auto SetUserTimeout(boost::asio::ip::tcp::socket& socket,
                    std::chrono::milliseconds user_timeout) -> void;

// Bytes for which LimitSendBuffer and LimitReceiveBuffer make room; the kernel
// reserves twice as much. Enough for 64 MB/s at a round trip of 1 ms. Without a
// limit the kernel lets the buffers of a slow connection grow to some MB, which
// count as memory of the process.
inline constexpr int kSocketBufferBytes = 65'536;

auto LimitSendBuffer(boost::asio::ip::tcp::socket& socket) -> void;
// Must be called before the socket is connected.
auto LimitReceiveBuffer(boost::asio::ip::tcp::socket& socket) -> void;

// Returns the bytes of the socket's send buffer that the other side has not
// acknowledged.
auto UnacknowledgedBytes(boost::asio::ip::tcp::socket& socket) -> std::size_t;

// Makes closing the socket reset the connection and drop its buffers.
auto ResetOnClose(boost::asio::ip::tcp::socket& socket) -> void;

}  // namespace kumquatgauge::detail

#endif  // BASE_SOCKET_OPTIONS_H_
