#ifndef CALLER_SESSION_H_
#define CALLER_SESSION_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

namespace kumquatgauge::caller::detail {

struct ServerCore;

// One connection of a caller. Runs on the io_context of its socket.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<ServerCore> core,
          boost::asio::ip::tcp::socket socket);
  Session(const Session&) = delete;
  auto operator=(const Session&) -> Session& = delete;
  ~Session();

  auto executor() const -> boost::asio::any_io_executor;
  auto Run() -> boost::asio::awaitable<void>;
  // Ends the connection after the request that is running or in transit.
  auto OnStop() -> void;
  // Closes the connection and cancels the running completion.
  auto Abort() -> void;

 private:
  struct Impl;
  std::shared_ptr<ServerCore> core_;
  std::shared_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::caller::detail

#endif  // CALLER_SESSION_H_
