#ifndef TESTING_SUPPORT_RESERVED_PORTS_H_
#define TESTING_SUPPORT_RESERVED_PORTS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

namespace kumquatgauge::testing {

// Ports of 127.0.0.1 for processes that are started later or again: no other
// user of this class takes one while no process listens on it.
class ReservedPorts {
 public:
  // Reserves a port that is free for TCP and UDP and returns its address.
  auto Add() -> std::string;

 private:
  boost::asio::io_context context_;
  // Bound, but not listening.
  std::vector<boost::asio::ip::tcp::acceptor> acceptors_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_RESERVED_PORTS_H_
