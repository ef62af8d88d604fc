#include "kumquatgauge/node/datagram_socket.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "base/listen_address.h"
#include "kumquatgauge/base/error.h"
#include "kumquatgauge/node/address.h"
#include "kumquatgauge/node/message.h"
#include "kumquatgauge/node/peer.h"

namespace kumquatgauge::node {
namespace {

using boost::asio::ip::udp;
using boost::system::error_code;
using nlohmann::json;
using Mac = std::array<unsigned char, kDatagramMacBytes>;

// One byte more than the limit, so that longer datagrams can be detected.
constexpr std::size_t kReceiveBufferBytes = kMaxDatagramBytes + 1;
constexpr int kSocketBufferBytes = 1 << 20;

// Computes the MACs of datagrams under one key. The context is prepared once:
// looking up the algorithm takes several times as long as a MAC of a datagram.
class Signer {
 public:
  explicit Signer(const std::string& key)
      : mac_(EVP_MAC_fetch(nullptr, "HMAC", nullptr)),
        context_(EVP_MAC_CTX_new(mac_.get())) {
    auto digest = std::string("SHA256");
    const OSSL_PARAM parameters[] = {
        OSSL_PARAM_construct_utf8_string("digest", digest.data(), 0),
        OSSL_PARAM_construct_end()};
    const auto ready =
        context_ &&
        EVP_MAC_init(context_.get(),
                     reinterpret_cast<const unsigned char*>(key.data()),
                     key.size(), parameters) == 1;
    if (!ready) {
      throw Error(ErrorKind::kInternal, "cannot compute a MAC", "HMAC-SHA256",
                  "install a build of OpenSSL that has it");
    }
  }

  // Returns the MAC of the version byte and `content`.
  auto Compute(char version, std::string_view content) -> Mac {
    auto full = std::array<unsigned char, EVP_MAX_MD_SIZE>();
    auto length = std::size_t{0};
    const auto bytes = [](const char* data) {
      return reinterpret_cast<const unsigned char*>(data);
    };
    // A null key keeps the key of the context.
    const auto computed =
        EVP_MAC_init(context_.get(), nullptr, 0, nullptr) == 1 &&
        EVP_MAC_update(context_.get(), bytes(&version), 1) == 1 &&
        EVP_MAC_update(context_.get(), bytes(content.data()), content.size()) ==
            1 &&
        EVP_MAC_final(context_.get(), full.data(), &length, full.size()) == 1;
    if (!computed) {
      throw Error(ErrorKind::kInternal, "cannot compute a MAC", "HMAC-SHA256",
                  "check the installation of OpenSSL");
    }
    auto mac = Mac();
    std::copy_n(full.begin(), mac.size(), mac.begin());
    return mac;
  }

 private:
  struct Free {
    auto operator()(EVP_MAC* mac) const -> void { EVP_MAC_free(mac); }
    auto operator()(EVP_MAC_CTX* context) const -> void {
      EVP_MAC_CTX_free(context);
    }
  };

  std::unique_ptr<EVP_MAC, Free> mac_;
  std::unique_ptr<EVP_MAC_CTX, Free> context_;
};

}  // namespace

class DatagramSocket::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& context,
       const std::string& listen,
       const std::string& key)
      : socket_(context),
        listen_(listen),
        endpoint_(ParseUdpAddress(listen)),
        signer_(key) {}

  auto Bind() -> void {
    kumquatgauge::detail::OpenListenAddress(
        socket_.get_executor(), listen_,
        kumquatgauge::detail::MakeListenHooks(weak_from_this()));
  }

  auto Open() -> error_code {
    auto error = error_code();
    if (closed_) {
      return boost::asio::error::operation_aborted;
    }
    socket_.open(endpoint_.protocol(), error);
    if (!error) {
      socket_.set_option(udp::socket::receive_buffer_size(kSocketBufferBytes),
                         error);
    }
    if (!error) {
      socket_.bind(endpoint_, error);
    }
    if (!error) {
      socket_.non_blocking(true, error);
    }
    if (error) {
      auto ignored = error_code();
      socket_.close(ignored);
    }
    return error;
  }

  auto OnOpened() -> void {
    if (receiver_) {
      Receive();
    }
  }

  auto Start(Receiver receiver) -> void {
    receiver_ = std::move(receiver);
    if (bound()) {
      Receive();
    }
  }

  auto bound() const -> bool { return socket_.is_open(); }

  auto Send(const std::vector<std::string>& addresses, const json& message)
      -> void {
    std::string content;
    json::to_msgpack(message, content);
    if (content.size() + kDatagramOverheadBytes > kMaxDatagramBytes) {
      counters_.unsent += addresses.size();
      return;
    }
    const auto version = static_cast<char>(kMessageVersion);
    const auto mac = signer_.Compute(version, content);
    std::string bytes(1, version);
    bytes.append(mac.begin(), mac.end());
    bytes.append(content);
    for (const auto& address : addresses) {
      SendBytes(address, bytes);
    }
  }

  auto Close() -> void {
    closed_ = true;
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
  auto SendBytes(const std::string& address, const std::string& bytes) -> void {
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
    const auto mac = signer_.Compute(bytes.front(), content);
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
  std::string listen_;
  udp::endpoint endpoint_;
  bool closed_ = false;
  Signer signer_;
  Receiver receiver_;
  std::array<char, kReceiveBufferBytes> receive_buffer_{};
  udp::endpoint from_;
  DatagramCounters counters_;
};

DatagramSocket::DatagramSocket(boost::asio::io_context& context,
                               const std::string& listen,
                               const std::string& fleet_credential)
    : impl_(std::make_shared<Impl>(context, listen, fleet_credential)) {
  impl_->Bind();
}

DatagramSocket::~DatagramSocket() {
  impl_->Close();
}

auto DatagramSocket::Start(Receiver receiver) -> void {
  impl_->Start(std::move(receiver));
}

auto DatagramSocket::Send(const std::string& address, const json& message)
    -> void {
  impl_->Send({address}, message);
}

auto DatagramSocket::Send(const std::vector<std::string>& addresses,
                          const json& message) -> void {
  impl_->Send(addresses, message);
}

auto DatagramSocket::bound() const -> bool {
  return impl_->bound();
}

auto DatagramSocket::address() const -> std::string {
  return impl_->address();
}

auto DatagramSocket::counters() const -> DatagramCounters {
  return impl_->counters();
}

}  // namespace kumquatgauge::node
