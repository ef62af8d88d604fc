#include "kumquatgauge/node/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::node {
namespace {

auto Parse(std::string_view text)
    -> std::pair<boost::asio::ip::address, std::uint16_t> {
  const auto fail = [&] {
    return Error(ErrorKind::kInvalidArgument, "not an address",
                 std::string(text),
                 "write IP:port, for example 127.0.0.1:7000");
  };
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    throw fail();
  }
  auto host = text.substr(0, colon);
  const auto digits = text.substr(colon + 1);
  const auto bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const auto* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, port);
  boost::system::error_code error;
  auto ip = boost::asio::ip::make_address(std::string(host), error);
  if (error || parsed.ec != std::errc() || parsed.ptr != end ||
      ip.is_v6() != bracketed) {
    throw fail();
  }
  return {ip, port};
}

template <typename Endpoint>
auto Format(const Endpoint& endpoint) -> std::string {
  const auto ip = endpoint.address().to_string();
  const auto port = std::to_string(endpoint.port());
  return endpoint.address().is_v6() ? "[" + ip + "]:" + port : ip + ":" + port;
}

}  // namespace

auto ParseTcpAddress(std::string_view address)
    -> boost::asio::ip::tcp::endpoint {
  const auto [ip, port] = Parse(address);
  return {ip, port};
}

auto ParseUdpAddress(std::string_view address)
    -> boost::asio::ip::udp::endpoint {
  const auto [ip, port] = Parse(address);
  return {ip, port};
}

auto FormatAddress(const boost::asio::ip::tcp::endpoint& endpoint)
    -> std::string {
  return Format(endpoint);
}

auto FormatAddress(const boost::asio::ip::udp::endpoint& endpoint)
    -> std::string {
  return Format(endpoint);
}

}  // namespace kumquatgauge::node
