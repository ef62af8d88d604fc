// Measures token frames per second over loopback: one thread serves, another
// receives, and each frame is one small token on one of many streams.

#include <boost/asio.hpp>
#include <chrono>
#include <ctime>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "kumquatgauge/node/message.h"
#include "kumquatgauge/node/peer_client.h"
#include "kumquatgauge/node/peer_server.h"

namespace {

using boost::asio::awaitable;
using nlohmann::json;
using std::chrono::steady_clock;

constexpr int kStreams = 400;
constexpr int kFramesPerStream = 2500;
constexpr std::chrono::seconds kTimeout{60};

// Processor time of the calling thread in seconds.
auto ThreadSeconds() -> double {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

// Sends one token per round, as an engine does for each of its streams.
auto SendTokens(json, std::shared_ptr<kumquatgauge::node::Responder> responder)
    -> awaitable<void> {
  const auto executor = co_await boost::asio::this_coro::executor;
  kumquatgauge::routing::Token token{0, " word"};
  for (auto i = 0; i < kFramesPerStream; ++i) {
    token.offset = static_cast<std::uint64_t>(i);
    if (!responder->Send(kumquatgauge::node::ToMessage(token))) {
      co_return;
    }
    co_await boost::asio::post(executor, boost::asio::use_awaitable);
  }
}

}  // namespace

auto main() -> int {
  boost::asio::io_context serving;
  boost::asio::io_context receiving;
  kumquatgauge::node::PeerServer server(serving, {&serving},
                                        {"127.0.0.1:0", "secret"});
  server.Register("tokens", SendTokens);
  server.Start();
  auto server_seconds = 0.0;
  std::thread thread([&] {
    serving.run();
    server_seconds = ThreadSeconds();
  });
  const auto client = kumquatgauge::node::MakePeerClient(receiving, {"secret"});
  std::uint64_t received = 0;
  auto open = kStreams;
  const auto start = steady_clock::now();
  for (auto i = 0; i < kStreams; ++i) {
    boost::asio::co_spawn(
        receiving,
        client->Call(
            server.address(), kumquatgauge::node::Channel::kOnline, "tokens",
            json::object(),
            [&](const json& frame) {
              received +=
                  kumquatgauge::node::TokenFrom(frame).text.empty() ? 0U : 1U;
            },
            kTimeout, nullptr),
        [&](const std::exception_ptr& error) {
          if (error) {
            std::rethrow_exception(error);
          }
          if (--open == 0) {
            receiving.stop();
          }
        });
  }
  receiving.run();
  const auto elapsed =
      std::chrono::duration<double>(steady_clock::now() - start).count();
  const auto client_seconds = ThreadSeconds();
  serving.stop();
  thread.join();
  const auto frames = static_cast<double>(received);
  std::cout << received << " frames in " << elapsed
            << " s: " << frames / elapsed << "/s; per core of the server "
            << frames / server_seconds << "/s, of the client "
            << frames / client_seconds << "/s\n";
  return received == std::uint64_t{kStreams} * kFramesPerStream ? 0 : 1;
}
