#ifndef KUMQUATGAUGE_NODE_DATAGRAM_SOCKET_H_
#define KUMQUATGAUGE_NODE_DATAGRAM_SOCKET_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace kumquatgauge::node {

// Larger datagrams are not sent, because IP would fragment them.
inline constexpr std::size_t kMaxDatagramBytes = 1400;
// Length of the truncated HMAC-SHA-256 in each datagram.
inline constexpr std::size_t kDatagramMacBytes = 16;
// A datagram consists of a version byte, the MAC of version and content, and
// the content.
inline constexpr std::size_t kDatagramOverheadBytes = 1 + kDatagramMacBytes;

struct DatagramCounters {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;  // Accepted datagrams only.
  std::uint64_t received_bytes = 0;
  // Received datagrams that were dropped, by the first failed check.
  std::uint64_t wrong_size = 0;
  std::uint64_t wrong_version = 0;
  std::uint64_t wrong_mac = 0;
  std::uint64_t malformed = 0;
  std::uint64_t unsent = 0;  // Too long, or rejected by the operating system.
};

// Sends and receives MessagePack maps over UDP, authenticated with the fleet
// credential. Used on `context` only, which is run by one thread.
class DatagramSocket {
 public:
  // Called with the message and the sender's "IP:port".
  using Receiver = std::function<
      auto(const nlohmann::json& message, const std::string& from)->void>;

  // Binds `listen`, "IP:port", as soon as nobody else uses it. Throws
  // Error(kInvalidArgument) for a bad address and Error(kUnavailable) if it
  // cannot be bound for another reason.
  DatagramSocket(boost::asio::io_context& context,
                 const std::string& listen,
                 const std::string& fleet_credential);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  auto operator=(const DatagramSocket&) -> DatagramSocket& = delete;

  // Starts to deliver messages to `receiver`.
  auto Start(Receiver receiver) -> void;
  // Sends without blocking. A datagram that is too long or that the operating
  // system does not accept is counted in `unsent` and dropped. Throws
  // Error(kInvalidArgument) for a bad address.
  auto Send(const std::string& address, const nlohmann::json& message) -> void;
  // The same to several addresses; encodes and signs the message once.
  auto Send(const std::vector<std::string>& addresses,
            const nlohmann::json& message) -> void;

  auto bound() const -> bool;
  auto address() const -> std::string;
  auto counters() const -> DatagramCounters;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::node

#endif  // KUMQUATGAUGE_NODE_DATAGRAM_SOCKET_H_
