#ifndef UPSTREAM_ENDPOINT_H_
#define UPSTREAM_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace kumquatgauge::upstream::detail {

// Parses "IP:port" or "[IPv6]:port"; throws Error(kInvalidArgument).
auto ParseEndpoint(const std::string& address)
    -> boost::asio::ip::tcp::endpoint;

// Inverse of ParseEndpoint.
auto FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint)
    -> std::string;

}  // namespace kumquatgauge::upstream::detail

#endif  // UPSTREAM_ENDPOINT_H_
