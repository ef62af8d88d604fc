#include "kumquatgauge/node/datagram_socket.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

#include "kumquatgauge/node/address.h"

namespace kumquatgauge::node {
namespace {

using boost::asio::ip::udp;
using nlohmann::json;
using std::chrono::steady_clock;

constexpr std::uint64_t kSeed = 4711;
constexpr int kGarbageDatagrams = 2000;
constexpr std::chrono::seconds kTestLimit{10};

struct Fixture {
  Fixture() {
    receiver.Start([this](const json& message, const std::string& from) {
      messages.push_back(message);
      last_from = from;
    });
  }

  auto RunUntil(const std::function<auto()->bool>& done) -> bool {
    const auto limit = steady_clock::now() + kTestLimit;
    while (!done() && steady_clock::now() < limit) {
      context.restart();
      context.run_one_for(std::chrono::milliseconds(50));
    }
    return done();
  }

  // Sends raw bytes from a plain UDP socket.
  auto SendRaw(const std::string& bytes) -> void {
    raw_socket.send_to(boost::asio::buffer(bytes),
                       ParseUdpAddress(receiver.address()));
  }

  boost::asio::io_context context;
  DatagramSocket receiver{context, "127.0.0.1:0", "secret"};
  DatagramSocket sender{context, "127.0.0.1:0", "secret"};
  udp::socket raw_socket{context, udp::endpoint(udp::v4(), 0)};
  std::vector<json> messages;
  std::string last_from;
};

// Guards against a message that is altered or attributed to another node.
TEST_CASE("DatagramSocket.DeliversMessageWithSender") {
  Fixture sockets;
  sockets.sender.Send(sockets.receiver.address(), {{"t", "h"}});
  REQUIRE(sockets.RunUntil([&] { return !sockets.messages.empty(); }));
  CHECK(sockets.messages.front() == json{{"t", "h"}});
  CHECK(sockets.last_from == sockets.sender.address());
  CHECK(sockets.receiver.counters().received_bytes ==
        sockets.sender.counters().sent_bytes);
}

// Guards against control messages from outside the fleet.
TEST_CASE("DatagramSocket.DropsOtherCredential") {
  Fixture sockets;
  DatagramSocket other(sockets.context, "127.0.0.1:0", "secreT");
  other.Send(sockets.receiver.address(), {{"t", "h"}});
  CHECK(sockets.RunUntil(
      [&] { return sockets.receiver.counters().wrong_mac == 1; }));
  CHECK(sockets.messages.empty());
}

// Guards against datagrams that IP would fragment.
TEST_CASE("DatagramSocket.CountsTooLongMessage") {
  Fixture sockets;
  sockets.sender.Send(sockets.receiver.address(),
                      {{"t", std::string(kMaxDatagramBytes, 'x')}});
  CHECK(sockets.sender.counters().unsent == 1);
  CHECK(sockets.sender.counters().sent == 0);
}

// Guards against a crash or a forged message; every datagram is counted once.
TEST_CASE("DatagramSocket.DropsAndCountsGarbage") {
  INFO("seed " << kSeed);
  Fixture sockets;
  std::mt19937_64 random(kSeed);
  for (auto i = 0; i < kGarbageDatagrams; ++i) {
    std::string bytes(random() % (kMaxDatagramBytes + 100), '\0');
    for (auto& byte : bytes) {
      byte = static_cast<char>(random());
    }
    if (!bytes.empty() && i % 2 == 0) {
      bytes[0] = 1;
    }
    sockets.SendRaw(bytes);
    sockets.context.restart();
    sockets.context.poll();
  }
  const auto dropped = [&] {
    const auto counters = sockets.receiver.counters();
    return counters.wrong_size + counters.wrong_version + counters.wrong_mac;
  };
  CHECK(sockets.RunUntil([&] { return dropped() == kGarbageDatagrams; }));
  CHECK(sockets.receiver.counters().wrong_size > 0);
  CHECK(sockets.receiver.counters().wrong_version > 0);
  CHECK(sockets.receiver.counters().wrong_mac > 0);
  CHECK(sockets.messages.empty());
  sockets.sender.Send(sockets.receiver.address(), {{"t", "h"}});
  CHECK(sockets.RunUntil([&] { return sockets.messages.size() == 1; }));
}

}  // namespace
}  // namespace kumquatgauge::node
