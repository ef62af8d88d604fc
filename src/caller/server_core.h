#ifndef CALLER_SERVER_CORE_H_
#define CALLER_SERVER_CORE_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "kumquatgauge/caller/caller_server.h"

namespace kumquatgauge::caller::detail {

class Session;

// State that the server shares with its sessions.
struct ServerCore : std::enable_shared_from_this<ServerCore> {
  ServerCore(std::vector<boost::asio::io_context*> io_contexts,
             CallerBackend& caller_backend,
             CallerSettings caller_settings);

  // Opens the listening socket.
  auto Open() -> boost::system::error_code;
  auto OnOpened() -> void;
  auto Accept() -> void;
  // Accepts the connections in the kernel's backlog, which would be reset
  // otherwise, then closes the listening socket.
  auto StopAccepting() -> void;
  auto Start(boost::asio::ip::tcp::socket socket) -> void;
  auto NextContext() -> boost::asio::io_context&;
  auto Add(const std::shared_ptr<Session>& session) -> void;
  auto Remove(Session* session) -> void;
  auto Sessions() -> std::vector<std::shared_ptr<Session>>;

  const std::vector<boost::asio::io_context*> contexts;
  CallerBackend& backend;
  const CallerSettings settings;
  std::string address;
  std::atomic<bool> listening{false};
  std::atomic<bool> stopping{false};
  std::atomic<std::size_t> connections{0};

 private:
  friend class caller::CallerServer;

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint endpoint_;
  boost::asio::steady_timer retry_timer_;
  std::size_t next_context_ = 0;
  std::mutex mutex_;
  std::map<Session*, std::weak_ptr<Session>> sessions_;
};

}  // namespace kumquatgauge::caller::detail

#endif  // CALLER_SERVER_CORE_H_
