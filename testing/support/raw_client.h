#ifndef TESTING_SUPPORT_RAW_CLIENT_H_
#define TESTING_SUPPORT_RAW_CLIENT_H_

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>

#include "testing/support/run_until.h"

namespace kumquatgauge::testing {

// A TCP connection that sends and receives plain bytes; its calls run the
// io_context until they are done.
class RawClient {
 public:
  RawClient(boost::asio::io_context& context, const std::string& address)
      : context_(context), socket_(context) {
    const auto colon = address.rfind(':');
    socket_.connect(
        {boost::asio::ip::make_address(address.substr(0, colon)),
         static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))});
    socket_.non_blocking(true);
  }

  auto Send(const std::string& bytes) -> bool {
    auto done = false;
    boost::system::error_code error;
    boost::asio::async_write(socket_, boost::asio::buffer(bytes),
                             [&](const auto& result, std::size_t) {
                               done = true;
                               error = result;
                             });
    return RunUntil(context_, [&] { return done; }) && !error;
  }

  // Reads until the bytes received contain `text` or the other side closes.
  auto ReadUntil(const std::string& text) -> const std::string& {
    RunUntil(context_, [&] {
      Poll();
      return closed_ || received_.find(text) != std::string::npos;
    });
    return received_;
  }

  auto ReadToEnd() -> const std::string& {
    RunUntil(context_, [&] {
      Poll();
      return closed_;
    });
    return received_;
  }

  // Discards the bytes received so far.
  auto Clear() -> void { received_.clear(); }
  auto closed() const -> bool { return closed_; }
  auto Close() -> void { socket_.close(); }

 private:
  auto Poll() -> void {
    char bytes[4096];
    boost::system::error_code error;
    const auto size =
        socket_.read_some(boost::asio::buffer(bytes, sizeof(bytes)), error);
    received_.append(bytes, size);
    closed_ = closed_ || (error && error != boost::asio::error::would_block);
  }

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::socket socket_;
  std::string received_;
  bool closed_ = false;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_RAW_CLIENT_H_
