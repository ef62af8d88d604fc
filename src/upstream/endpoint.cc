#include "upstream/endpoint.h"

#include <charconv>
#include <cstdint>
#include <sstream>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::upstream::detail {

auto ParseEndpoint(const std::string& address)
    -> boost::asio::ip::tcp::endpoint {
  const Error bad(ErrorKind::kInvalidArgument, "malformed address", address,
                  "use IP:port");
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) {
    throw bad;
  }
  auto host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(host, error);
  std::uint16_t port = 0;
  const auto* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    throw bad;
  }
  return {ip, port};
}

auto FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint)
    -> std::string {
  std::ostringstream out;
  out << endpoint;
  return out.str();
}

}  // namespace kumquatgauge::upstream::detail
