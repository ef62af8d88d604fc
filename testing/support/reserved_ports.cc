#include "testing/support/reserved_ports.h"

#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <random>
#include <utility>

namespace kumquatgauge::testing {
namespace {

namespace ip = boost::asio::ip;

// Below the ports that the system gives to outgoing connections, which could
// take the port of a process while it is down.
constexpr std::uint32_t kFirstPort = 12'000;
constexpr std::uint32_t kPorts = 20'000;

}  // namespace

auto ReservedPorts::Add() -> std::string {
  auto random = std::random_device();
  while (true) {
    const auto port =
        static_cast<std::uint16_t>(kFirstPort + random() % kPorts);
    auto acceptor = ip::tcp::acceptor(context_);
    auto error = boost::system::error_code();
    acceptor.open(ip::tcp::v4());
    acceptor.bind({ip::address_v4::loopback(), port}, error);
    auto socket = ip::udp::socket(context_);
    socket.open(ip::udp::v4());
    if (!error) {
      socket.bind({ip::address_v4::loopback(), port}, error);
    }
    if (!error) {
      // Lets a process listen on the port, while Add finds it in use.
      acceptor.set_option(ip::tcp::acceptor::reuse_address(true));
      acceptors_.push_back(std::move(acceptor));
      return "127.0.0.1:" + std::to_string(port);
    }
  }
}

}  // namespace kumquatgauge::testing
