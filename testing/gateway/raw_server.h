#ifndef TESTING_GATEWAY_RAW_SERVER_H_
#define TESTING_GATEWAY_RAW_SERVER_H_

#include <sys/socket.h>

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kumquatgauge::testing {

// Accepts connections on 127.0.0.1 and serves each on a thread of its own, by
// plain bytes.
class RawServer {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  // Returns when the connection has ended; `stopped` becomes true before that.
  using Serve = std::function<
      auto(Socket& socket, const std::atomic<bool>& stopped)->void>;

  explicit RawServer(Serve serve)
      : serve_(std::move(serve)),
        acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}),
        thread_([this] { Accept(); }) {}

  ~RawServer() {
    stopped_ = true;
    // Ends the pending accept.
    auto error = boost::system::error_code();
    auto socket = Socket(context_);
    socket.connect(acceptor_.local_endpoint(), error);
    thread_.join();
    for (const auto& connection : sockets_) {
      ::shutdown(connection->native_handle(), SHUT_RDWR);
    }
    for (auto& connection : connections_) {
      connection.join();
    }
  }

  RawServer(const RawServer&) = delete;
  auto operator=(const RawServer&) -> RawServer& = delete;

  auto address() const -> std::string {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  auto Accept() -> void {
    while (!stopped_) {
      auto error = boost::system::error_code();
      auto socket = std::make_shared<Socket>(context_);
      acceptor_.accept(*socket, error);
      if (!error && !stopped_) {
        sockets_.push_back(socket);
        connections_.emplace_back(
            [this, socket] { serve_(*socket, stopped_); });
      }
    }
  }

  Serve serve_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stopped_ = false;
  std::vector<std::shared_ptr<Socket>> sockets_;
  std::vector<std::thread> connections_;
  std::thread thread_;
};

// Reads up to the end of a request's head. Returns what was read, without the
// end if the connection ended.
inline auto ReadRequestHead(RawServer::Socket& socket) -> std::string {
  auto request = std::string();
  auto bytes = std::array<char, 4'096>();
  auto error = boost::system::error_code();
  while (!error && request.find("\r\n\r\n") == std::string::npos) {
    const auto size = socket.read_some(boost::asio::buffer(bytes), error);
    request.append(bytes.data(), size);
  }
  return request;
}

// Returns the value of a header of a request head; empty if there is none.
inline auto HeaderIn(const std::string& head, const std::string& name)
    -> std::string {
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + name.size() + 4;
  return head.substr(begin, head.find('\r', begin) - begin);
}

}  // namespace kumquatgauge::testing

#endif  // TESTING_GATEWAY_RAW_SERVER_H_
