#ifndef TESTING_SUPPORT_HELD_ADDRESS_H_
#define TESTING_SUPPORT_HELD_ADDRESS_H_

#include <fcntl.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace kumquatgauge::testing {

// Keeps a TCP address in use, as a connection of another program does whose
// source it is: nobody can listen there, and connections to it are refused.
class HeldAddress {
 public:
  explicit HeldAddress(const std::string& address) : acceptor_(context_) {
    const auto colon = address.rfind(':');
    auto error = boost::system::error_code();
    acceptor_.open(boost::asio::ip::tcp::v4());
    // Else processes that are started meanwhile would inherit it.
    ::fcntl(acceptor_.native_handle(), F_SETFD, FD_CLOEXEC);
    acceptor_.set_option(Reuse(true));
    acceptor_.bind(
        {boost::asio::ip::make_address(address.substr(0, colon)),
         static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))},
        error);
    acceptor_.set_option(Reuse(false));
  }

 private:
  using Reuse = boost::asio::ip::tcp::acceptor::reuse_address;

  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_HELD_ADDRESS_H_
