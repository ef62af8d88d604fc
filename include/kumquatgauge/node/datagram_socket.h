#ifndef KUMQUATGAUGE_NODE_DATAGRAM_SOCKET_H_
#define KUMQUATGAUGE_NODE_DATAGRAM_SOCKET_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace kumquatgauge::node {

// Larger messages are not sent: they would be split into IP fragments.
inline constexpr std::size_t kMaxDatagramBytes = 1400;
// Bytes of HMAC-SHA-256 that are sent.
inline constexpr std::size_t kDatagramMacBytes = 16;
// A datagram is one version byte, the MAC of version and content, and the
// content.
inline constexpr std::size_t kDatagramOverheadBytes = 1 + kDatagramMacBytes;

struct DatagramCounters {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;  // Accepted ones.
  std::uint64_t received_bytes = 0;
  // Dropped ones, by the first fault found.
  std::uint64_t wrong_size = 0;
  std::uint64_t wrong_version = 0;
  std::uint64_t wrong_mac = 0;
  std::uint64_t malformed = 0;
  std::uint64_t unsent = 0;  // Too long, or refused by the system.
};

// Sends and receives MessagePack maps over UDP, authenticated with the fleet
// credential. Used on `context` only, which is run by one thread.
class DatagramSocket {
 public:
  // Gets the message and the sender's "IP:port".
  using Receiver = std::function<
      auto(const nlohmann::json& message, const std::string& from)->void>;

  // Binds `listen`, "IP:port". Throws Error(kInvalidArgument) for a bad address
  // and Error(kUnavailable) when it cannot be bound.
  DatagramSocket(boost::asio::io_context& context,
                 const std::string& listen,
                 std::string fleet_credential);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  auto operator=(const DatagramSocket&) -> DatagramSocket& = delete;

  // Starts to pass messages to `receiver`.
  auto Start(Receiver receiver) -> void;
  // Sends without waiting; a datagram that the system does not take is counted
  // and dropped.
  auto Send(const std::string& address, const nlohmann::json& message) -> void;

  auto address() const -> std::string;
  auto counters() const -> DatagramCounters;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::node

#endif  // KUMQUATGAUGE_NODE_DATAGRAM_SOCKET_H_
