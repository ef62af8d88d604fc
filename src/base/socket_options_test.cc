#include "base/socket_options.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "testing/support/reserved_ports.h"

namespace kumquatgauge::detail {
namespace {

using boost::asio::ip::tcp;

// Guards against a process that cannot listen, since its address is the source
// of a connection of another process, open or in TIME_WAIT.
TEST_CASE("SocketOptions.LetsOthersListenAtTheSourceOfAConnection") {
  auto context = boost::asio::io_context();
  auto ports = testing::ReservedPorts();
  const auto address = ports.Add();
  const auto source =
      tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                    static_cast<std::uint16_t>(
                        std::stoi(address.substr(address.find(':') + 1))));
  auto server =
      tcp::acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
  auto socket = tcp::socket(context);
  OpenForConnect(socket, server.local_endpoint());
  socket.bind(source);
  socket.connect(server.local_endpoint());
  const auto listen = [&] {
    auto error = boost::system::error_code();
    auto acceptor = tcp::acceptor(context);
    acceptor.open(tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(source, error);
    if (!error) {
      acceptor.listen(tcp::acceptor::max_listen_connections, error);
    }
    return error;
  };
  CHECK_FALSE(listen());
  auto accepted = server.accept();
  socket.shutdown(tcp::socket::shutdown_both);
  accepted.close();
  socket.close();
  CHECK_FALSE(listen());
}

}  // namespace
}  // namespace kumquatgauge::detail
