#ifndef KUMQUATGAUGE_NODE_PEER_SERVER_H_
#define KUMQUATGAUGE_NODE_PEER_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "kumquatgauge/node/peer.h"

namespace kumquatgauge::node {

// Limits per connection.
inline constexpr std::uint32_t kMaxStreamsPerConnection = 4096;
inline constexpr std::size_t kMaxRequestHeaderBytes = 8192;
// A stream with more unsent bytes than this, because its reader is slow, is
// reset.
inline constexpr std::size_t kMaxQueuedBytesPerStream = std::size_t{32} << 20;

struct PeerServerSettings {
  std::string listen;            // "IP:port"; port 0 picks a free port.
  std::string fleet_credential;  // Expected in header kqg-fleet.
};

struct PeerServerCounters {
  std::uint64_t connections = 0;  // Currently open.
  std::uint64_t streams = 0;      // Requests accepted since Start.
  std::uint64_t rejected = 0;     // Requests with a wrong credential.
};

// The HTTP/2 server for calls from other nodes. Accepts on `accept_context` and
// distributes connections round robin to `workers`, each of which is run by one
// thread. A handler runs on the io_context of its connection.
class PeerServer {
 public:
  PeerServer(boost::asio::io_context& accept_context,
             std::vector<boost::asio::io_context*> workers,
             PeerServerSettings settings);
  // Connections are closed on their io_contexts, which must outlive the server
  // or be stopped.
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  auto operator=(const PeerServer&) -> PeerServer& = delete;

  // Registers the handler of POST /node/v1/NAME; call before Start.
  auto Register(std::string name, Handler handler) -> void;

  // Starts to listen, as soon as nobody else uses the address. Throws
  // Error(kInvalidArgument) for a bad address and Error(kUnavailable) if it
  // cannot be bound for another reason.
  auto Start() -> void;
  auto listening() const -> bool;
  // The bound address with the actual port; empty until it is bound.
  auto address() const -> std::string;

  // Stops accepting, sends GOAWAY, waits for the open streams to end and closes
  // the remaining connections after `limit`. Await on `accept_context`.
  auto Stop(std::chrono::milliseconds limit) -> boost::asio::awaitable<void>;

  auto counters() const -> PeerServerCounters;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::node

#endif  // KUMQUATGAUGE_NODE_PEER_SERVER_H_
