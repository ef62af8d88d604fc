#include "kumquatgauge/node/datagram_socket.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/node/address.h"
#include "kumquatgauge/node/message.h"
#include "kumquatgauge/node/peer.h"

namespace kumquatgauge::node {
namespace {

using boost::asio::ip::udp;
using nlohmann::json;
using Mac = std::array<unsigned char, kDatagramMacBytes>;

// One byte more than the limit, so that longer datagrams can be detected.
constexpr std::size_t kReceiveBufferBytes = kMaxDatagramBytes + 1;
constexpr int kSocketBufferBytes = 1 << 20;

// Returns the MAC of the version byte and `content`.
auto ComputeMac(const std::string& key, char version, std::string_view content)
    -> Mac {
  std::string authenticated(1, version);
  authenticated.append(content);
  std::array<unsigned char, EVP_MAX_MD_SIZE> full{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(authenticated.data()),
       authenticated.size(), full.data(), &length);
  Mac mac;
  std::copy_n(full.begin(), mac.size(), mac.begin());
  return mac;
}

}  // namespace

class DatagramSocket::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& context,
       const std::string& listen,
       std::string key)
      : socket_(context), key_(std::move(key)) {
    const auto endpoint = ParseUdpAddress(listen);
    try {
      socket_.open(endpoint.protocol());
      socket_.set_option(udp::socket::receive_buffer_size(kSocketBufferBytes));
      socket_.bind(endpoint);
      socket_.non_blocking(true);
    } catch (const boost::system::system_error& error) {
      throw Error(ErrorKind::kUnavailable,
                  "cannot receive datagrams (" + error.code().message() + ")",
                  listen, "choose a free address in nodes.listen");
    }
  }

  auto Start(Receiver receiver) -> void {
    receiver_ = std::move(receiver);
    Receive();
  }

  auto Send(const std::string& address, const json& message) -> void {
    std::string content;
    json::to_msgpack(message, content);
    if (content.size() + kDatagramOverheadBytes > kMaxDatagramBytes) {
      ++counters_.unsent;
      return;
    }
    const auto version = static_cast<char>(kMessageVersion);
    const auto mac = ComputeMac(key_, version, content);
    std::string bytes(1, version);
    bytes.append(mac.begin(), mac.end());
    bytes.append(content);
    boost::system::error_code error;
    socket_.send_to(boost::asio::buffer(bytes), ParseUdpAddress(address), 0,
                    error);
    if (error) {
      ++counters_.unsent;
      return;
    }
    ++counters_.sent;
    counters_.sent_bytes += bytes.size();
  }

  auto Close() -> void {
    receiver_ = nullptr;
    boost::system::error_code ignored;
    socket_.close(ignored);
  }

  auto address() const -> std::string {
    boost::system::error_code ignored;
    return FormatAddress(socket_.local_endpoint(ignored));
  }
  auto counters() const -> const DatagramCounters& { return counters_; }

 private:
  auto Receive() -> void {
    socket_.async_receive_from(
        boost::asio::buffer(receive_buffer_), from_,
        [self = shared_from_this()](const boost::system::error_code& error,
                                    std::size_t size) {
          if (!self->socket_.is_open()) {
            return;
          }
          // Errors are ignored: they report that an earlier send was rejected.
          if (!error) {
            self->HandleDatagram({self->receive_buffer_.data(), size});
          }
          if (self->socket_.is_open()) {
            self->Receive();
          }
        });
  }

  auto HandleDatagram(std::string_view bytes) -> void {
    if (bytes.size() <= kDatagramOverheadBytes ||
        bytes.size() > kMaxDatagramBytes) {
      ++counters_.wrong_size;
      return;
    }
    if (bytes.front() != static_cast<char>(kMessageVersion)) {
      ++counters_.wrong_version;
      return;
    }
    const auto content = bytes.substr(kDatagramOverheadBytes);
    const auto mac = ComputeMac(key_, bytes.front(), content);
    if (CRYPTO_memcmp(mac.data(), bytes.data() + 1, mac.size()) != 0) {
      ++counters_.wrong_mac;
      return;
    }
    json message;
    try {
      message = DecodeContent(content);
    } catch (const Error&) {
      ++counters_.malformed;
      return;
    }
    ++counters_.received;
    counters_.received_bytes += bytes.size();
    if (receiver_) {
      // A copy, because the receiver may close this socket.
      const auto receiver = receiver_;
      receiver(message, FormatAddress(from_));
    }
  }

  udp::socket socket_;
  std::string key_;
  Receiver receiver_;
  std::array<char, kReceiveBufferBytes> receive_buffer_{};
  udp::endpoint from_;
  DatagramCounters counters_;
};

DatagramSocket::DatagramSocket(boost::asio::io_context& context,
                               const std::string& listen,
                               std::string fleet_credential)
    : impl_(std::make_shared<Impl>(context,
                                   listen,
                                   std::move(fleet_credential))) {}

DatagramSocket::~DatagramSocket() {
  impl_->Close();
}

auto DatagramSocket::Start(Receiver receiver) -> void {
  impl_->Start(std::move(receiver));
}

auto DatagramSocket::Send(const std::string& address, const json& message)
    -> void {
  impl_->Send(address, message);
}

auto DatagramSocket::address() const -> std::string {
  return impl_->address();
}

auto DatagramSocket::counters() const -> DatagramCounters {
  return impl_->counters();
}

}  // namespace kumquatgauge::node
