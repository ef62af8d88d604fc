#ifndef KUMQUATGAUGE_NODE_ADDRESS_H_
#define KUMQUATGAUGE_NODE_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>
#include <string_view>

namespace kumquatgauge::node {

// Parse "IP:port", with an IPv6 address in brackets. Host names are not
// resolved. Throw Error(kInvalidArgument) for any other text.
auto ParseTcpAddress(std::string_view address)
    -> boost::asio::ip::tcp::endpoint;
auto ParseUdpAddress(std::string_view address)
    -> boost::asio::ip::udp::endpoint;

auto FormatAddress(const boost::asio::ip::tcp::endpoint& endpoint)
    -> std::string;
auto FormatAddress(const boost::asio::ip::udp::endpoint& endpoint)
    -> std::string;

}  // namespace kumquatgauge::node

#endif  // KUMQUATGAUGE_NODE_ADDRESS_H_
