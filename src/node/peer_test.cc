#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <thread>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/node/address.h"
#include "kumquatgauge/node/peer_client.h"
#include "kumquatgauge/node/peer_server.h"

namespace kumquatgauge::node {
namespace {

using boost::asio::awaitable;
using boost::asio::ip::tcp;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kCallTimeout{10000};
constexpr std::chrono::seconds kTestLimit{20};
constexpr std::uint64_t kSeed = 31;

// Forwards connections to a server. After SilenceOpenConnections, the open ones
// stay open but no bytes are forwarded on them, while new ones work.
class SilencingProxy {
 public:
  SilencingProxy(boost::asio::io_context& context, const std::string& target)
      : context_(context),
        acceptor_(context, ParseTcpAddress("127.0.0.1:0")),
        target_(ParseTcpAddress(target)) {
    boost::asio::co_spawn(context, Accept(), boost::asio::detached);
  }

  auto address() const -> std::string {
    return FormatAddress(acceptor_.local_endpoint());
  }
  auto connections() const -> std::size_t { return sockets_.size() / 2; }
  auto SilenceOpenConnections() -> void { first_forwarded_ = sockets_.size(); }
  auto Close() -> void {
    acceptor_.close();
    for (auto& socket : sockets_) {
      socket->close();
    }
  }

 private:
  using Socket = std::shared_ptr<tcp::socket>;

  auto Accept() -> awaitable<void> {
    while (acceptor_.is_open()) {
      auto from = std::make_shared<tcp::socket>(context_);
      auto to = std::make_shared<tcp::socket>(context_);
      co_await acceptor_.async_accept(*from, boost::asio::use_awaitable);
      co_await to->async_connect(target_, boost::asio::use_awaitable);
      const auto number = sockets_.size();
      sockets_.push_back(from);
      sockets_.push_back(to);
      boost::asio::co_spawn(context_, Forward(from, to, number),
                            boost::asio::detached);
      boost::asio::co_spawn(context_, Forward(to, from, number),
                            boost::asio::detached);
    }
  }

  auto Forward(Socket from, Socket to, std::size_t number) -> awaitable<void> {
    std::array<char, 4096> buffer;
    for (;;) {
      const auto size = co_await from->async_read_some(
          boost::asio::buffer(buffer), boost::asio::use_awaitable);
      if (number >= first_forwarded_) {
        co_await boost::asio::async_write(
            *to, boost::asio::buffer(buffer, size), boost::asio::use_awaitable);
      }
    }
  }

  boost::asio::io_context& context_;
  tcp::acceptor acceptor_;
  tcp::endpoint target_;
  std::vector<Socket> sockets_;
  std::size_t first_forwarded_ = 0;
};

// A server and a client on one io_context, which the test runs.
class PeerFixture {
 public:
  PeerFixture()
      : server(std::make_unique<PeerServer>(
            context,
            std::vector<boost::asio::io_context*>{&context},
            PeerServerSettings{"127.0.0.1:0", "secret"})),
        client(MakePeerClient(context, {"secret"})) {
    server->Register("count", Count);
    server->Register("large", Large);
    server->Register(
        "fail", [](json, std::shared_ptr<Responder>) -> awaitable<void> {
          throw Error(ErrorKind::kConflict, "taken", "key", "use another");
          co_return;
        });
    server->Register("endless",
                     [this](const json&, std::shared_ptr<Responder> responder) {
                       return Endless(std::move(responder));
                     });
  }
  ~PeerFixture() {
    client.reset();
    server.reset();
    context.run_for(milliseconds(20));
  }
  PeerFixture(const PeerFixture&) = delete;
  auto operator=(const PeerFixture&) -> PeerFixture& = delete;

  // Sends the frames {"i": 0} to {"i": n-1}.
  static auto Count(json request, std::shared_ptr<Responder> responder)
      -> awaitable<void> {
    const auto end = request.at("n").get<int>();
    for (auto i = 0; i < end; ++i) {
      responder->Send({{"i", i}});
    }
    co_return;
  }

  // Sends more than the flow-control window without waiting.
  static auto Large(json, std::shared_ptr<Responder> responder)
      -> awaitable<void> {
    const std::string text(std::size_t{1} << 20, 'x');
    for (auto i = 0; i < 16; ++i) {
      responder->Send({{"text", text}});
    }
    co_return;
  }

  auto Endless(std::shared_ptr<Responder> responder) -> awaitable<void> {
    responder->OnCancel([this] { ++cancels; });
    boost::asio::steady_timer timer(context);
    while (responder->Send({{"x", 1}})) {
      timer.expires_after(milliseconds(1));
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    ++ended_handlers;
  }

  // Runs the context until done() is true or the limit expires; returns done().
  auto RunUntil(const std::function<auto()->bool>& done) -> bool {
    const auto limit = steady_clock::now() + kTestLimit;
    while (!done() && steady_clock::now() < limit) {
      context.restart();
      context.run_one_for(milliseconds(50));
    }
    return done();
  }

  struct Result {
    std::vector<json> frames;
    std::optional<ErrorKind> error;
    bool done = false;
  };

  auto Spawn(PeerClient& caller,
             std::string address,
             std::string name,
             json request,
             milliseconds timeout = kCallTimeout,
             std::shared_ptr<StreamCancel> cancel = nullptr)
      -> std::shared_ptr<Result> {
    auto result = std::make_shared<Result>();
    boost::asio::co_spawn(
        context,
        caller.Call(
            std::move(address), Channel::kOnline, std::move(name),
            std::move(request),
            [result](const json& frame) { result->frames.push_back(frame); },
            timeout, std::move(cancel)),
        [result](const std::exception_ptr& thrown) {
          result->done = true;
          try {
            if (thrown) {
              std::rethrow_exception(thrown);
            }
          } catch (const Error& error) {
            result->error = error.kind();
          }
        });
    return result;
  }

  auto Call(std::string name, json request) -> std::shared_ptr<Result> {
    auto result =
        Spawn(*client, server->address(), std::move(name), std::move(request));
    RunUntil([&] { return result->done; });
    return result;
  }

  boost::asio::io_context context;
  std::unique_ptr<PeerServer> server;
  std::unique_ptr<PeerClient> client;
  int cancels = 0;
  int ended_handlers = 0;
};

// Guards against lost, repeated or reordered frames.
TEST_CASE("Peer.DeliversFramesInOrder") {
  PeerFixture peers;
  peers.server->Start();
  const auto result = peers.Call("count", {{"n", 50000}});
  REQUIRE(result->done);
  CHECK_FALSE(result->error);
  REQUIRE(result->frames.size() == 50000);
  for (auto i = 0; i < 50000; ++i) {
    REQUIRE(result->frames[i].at("i") == i);
  }
}

// Guards against an error that is reported as another kind or as success.
TEST_CASE("Peer.RethrowsErrorOfHandler") {
  PeerFixture peers;
  peers.server->Start();
  CHECK(peers.Call("fail", json::object())->error == ErrorKind::kConflict);
  CHECK(peers.Call("absent", json::object())->error == ErrorKind::kNotFound);
}

// Guards against serving a node of another fleet.
TEST_CASE("Peer.RefusesWrongCredential") {
  PeerFixture peers;
  peers.server->Start();
  const auto other_fleet_client = MakePeerClient(peers.context, {"secreT"});
  const auto result = peers.Spawn(*other_fleet_client, peers.server->address(),
                                  "count", {{"n", 1}});
  REQUIRE(peers.RunUntil([&] { return result->done; }));
  CHECK(result->error == ErrorKind::kPermissionDenied);
  CHECK(result->frames.empty());
  CHECK(peers.server->counters().rejected == 1);
}

// Guards against a handler that continues after its request was cancelled.
TEST_CASE("Peer.StopsHandlerWhenCallIsCancelled") {
  PeerFixture peers;
  peers.server->Start();
  auto cancel = std::make_shared<StreamCancel>();
  const auto result =
      peers.Spawn(*peers.client, peers.server->address(), "endless",
                  json::object(), kCallTimeout, cancel);
  REQUIRE(peers.RunUntil([&] { return result->frames.size() > 3; }));
  cancel->Cancel();
  cancel->Cancel();
  CHECK(peers.RunUntil([&] { return result->done; }));
  CHECK_FALSE(result->error);
  CHECK(peers.RunUntil([&] { return peers.ended_handlers == 1; }));
  CHECK(peers.cancels == 1);
  CHECK_FALSE(peers.Call("count", {{"n", 3}})->error);
}

// Guards against kUnknownOutcome for a request that was never sent.
TEST_CASE("Peer.IsUnavailableWhenNothingListens") {
  PeerFixture peers;
  peers.server->Start();
  const auto address = peers.server->address();
  peers.server.reset();
  peers.context.run_for(milliseconds(20));
  const auto result = peers.Spawn(*peers.client, address, "count", {{"n", 1}});
  REQUIRE(peers.RunUntil([&] { return result->done; }));
  CHECK(result->error == ErrorKind::kUnavailable);
}

// Guards against waiting forever for a host that accepts connections but never
// responds.
TEST_CASE("Peer.IsUnavailableWhenHostAcceptsAndIsSilent") {
  PeerFixture peers;
  tcp::acceptor acceptor(peers.context, ParseTcpAddress("127.0.0.1:0"));
  const auto start = steady_clock::now();
  const auto result =
      peers.Spawn(*peers.client, FormatAddress(acceptor.local_endpoint()),
                  "count", {{"n", 1}});
  REQUIRE(peers.RunUntil([&] { return result->done; }));
  CHECK(result->error == ErrorKind::kUnavailable);
  CHECK(steady_clock::now() - start < std::chrono::seconds(2));
}

// Guards against a stream that hangs on an unresponsive connection, and against
// new calls that wait until that connection is closed.
TEST_CASE("Peer.ClosesSilentConnectionAndUsesNewOneMeanwhile") {
  PeerFixture peers;
  peers.server->Start();
  SilencingProxy proxy(peers.context, peers.server->address());
  const auto stuck =
      peers.Spawn(*peers.client, proxy.address(), "endless", json::object());
  REQUIRE(peers.RunUntil([&] { return stuck->frames.size() > 3; }));
  proxy.SilenceOpenConnections();
  const auto start = steady_clock::now();
  peers.RunUntil(
      [&] { return steady_clock::now() - start > milliseconds(1100); });
  const auto fresh =
      peers.Spawn(*peers.client, proxy.address(), "count", {{"n", 2}});
  REQUIRE(peers.RunUntil([&] { return fresh->done; }));
  CHECK_FALSE(fresh->error);
  CHECK_FALSE(stuck->done);
  CHECK(proxy.connections() == 2);
  REQUIRE(peers.RunUntil([&] { return stuck->done; }));
  CHECK(stuck->error == ErrorKind::kUnknownOutcome);
  // 1.5 s after the first unanswered PING, which is sent within 0.5 s.
  CHECK(steady_clock::now() - start < milliseconds(2300));
  // The server also detects that the connection is dead.
  CHECK(peers.RunUntil([&] { return peers.ended_handlers == 1; }));
  proxy.Close();
}

// Guards against a planned stop that interrupts a running stream.
TEST_CASE("Peer.FinishesStreamsWhenServerStops") {
  PeerFixture peers;
  peers.server->Start();
  auto cancel = std::make_shared<StreamCancel>();
  const auto address = peers.server->address();
  const auto running = peers.Spawn(*peers.client, address, "endless",
                                   json::object(), kCallTimeout, cancel);
  REQUIRE(peers.RunUntil([&] { return running->frames.size() > 3; }));
  auto stopped = false;
  boost::asio::co_spawn(peers.context,
                        peers.server->Stop(std::chrono::seconds(10)),
                        [&](const std::exception_ptr&) { stopped = true; });
  const auto start = steady_clock::now();
  peers.RunUntil(
      [&] { return steady_clock::now() - start > milliseconds(300); });
  const auto seen = running->frames.size();
  CHECK(peers.RunUntil([&] { return running->frames.size() > seen; }));
  CHECK_FALSE(stopped);
  const auto late = peers.Spawn(*peers.client, address, "count", {{"n", 1}});
  CHECK(peers.RunUntil([&] { return late->done; }));
  CHECK(late->error == ErrorKind::kUnavailable);
  cancel->Cancel();
  CHECK(peers.RunUntil([&] { return stopped; }));
  CHECK_FALSE(running->error);
}

// Guards against a call that waits forever for a handler that hangs.
TEST_CASE("Peer.TimesOutWithoutFrame") {
  PeerFixture peers;
  peers.server->Register(
      "stuck", [&](json, const std::shared_ptr<Responder>&) -> awaitable<void> {
        boost::asio::steady_timer timer(peers.context, std::chrono::hours(1));
        co_await timer.async_wait(boost::asio::use_awaitable);
      });
  peers.server->Start();
  const auto result = peers.Spawn(*peers.client, peers.server->address(),
                                  "stuck", json::object(), milliseconds(100));
  CHECK(peers.RunUntil([&] { return result->done; }));
  CHECK(result->error == ErrorKind::kTimeout);
}

// Guards against small frames that are delayed by the large frames of another
// stream.
TEST_CASE("Peer.SendsTokensBesideLargeStream") {
  PeerFixture peers;
  peers.server->Start();
  const auto large = peers.Spawn(*peers.client, peers.server->address(),
                                 "large", json::object());
  const auto tokens = peers.Spawn(*peers.client, peers.server->address(),
                                  "count", {{"n", 100}});
  REQUIRE(peers.RunUntil([&] { return tokens->done; }));
  CHECK(tokens->frames.size() == 100);
  CHECK(large->frames.size() < 8);
  REQUIRE(peers.RunUntil([&] { return large->done; }));
  CHECK_FALSE(large->error);
  CHECK(large->frames.size() == 16);
}

// Guards against a server that crashes or stops serving after invalid input.
TEST_CASE("Peer.ServesOnAfterGarbage") {
  INFO("seed " << kSeed);
  std::mt19937_64 random(kSeed);
  PeerFixture peers;
  peers.server->Start();
  for (auto i = 0; i < 300; ++i) {
    tcp::socket socket(peers.context);
    socket.connect(ParseTcpAddress(peers.server->address()));
    // Half start with the HTTP/2 preface, followed by random frames.
    std::string bytes = i % 2 == 0 ? "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" : "";
    for (auto left = random() % 400; left > 0; --left) {
      bytes.push_back(static_cast<char>(random() % (left % 9 < 3 ? 2 : 256)));
    }
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    peers.context.restart();
    peers.context.poll();
  }
  const auto result = peers.Call("count", {{"n", 3}});
  CHECK_FALSE(result->error);
  CHECK(result->frames.size() == 3);
}

// Guards against serving all connections on one thread.
TEST_CASE("Peer.HandsConnectionsToWorkersInTurn") {
  boost::asio::io_context context;
  std::array<boost::asio::io_context, 2> workers;
  std::array<std::atomic<int>, 2> served = {0, 0};
  PeerServer server(context, {&workers[0], &workers[1]},
                    {"127.0.0.1:0", "secret"});
  server.Register(
      "who",
      [&](json,
          const std::shared_ptr<Responder>& responder) -> awaitable<void> {
        const auto executor = co_await boost::asio::this_coro::executor;
        ++served[executor == workers[0].get_executor() ? 0 : 1];
        responder->Send(json::object());
      });
  server.Start();
  std::vector<std::thread> threads;
  threads.reserve(workers.size());
  for (auto& worker : workers) {
    threads.emplace_back([&worker] {
      const auto guard = boost::asio::make_work_guard(worker);
      worker.run();
    });
  }
  std::vector<std::unique_ptr<PeerClient>> clients;
  clients.reserve(4);
  auto open = 4;
  for (auto i = 0; i < 4; ++i) {
    clients.push_back(MakePeerClient(context, {"secret"}));
    boost::asio::co_spawn(
        context,
        clients.back()->Call(server.address(), Channel::kBatch, "who",
                             json::object(), nullptr, kCallTimeout, nullptr),
        [&](const std::exception_ptr& error) {
          CHECK_FALSE(error);
          --open;
        });
  }
  const auto limit = steady_clock::now() + kTestLimit;
  while (open > 0 && steady_clock::now() < limit) {
    context.run_one_for(milliseconds(50));
  }
  CHECK(served[0] == 2);
  CHECK(served[1] == 2);
  clients.clear();
  for (auto& worker : workers) {
    worker.stop();
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

}  // namespace
}  // namespace kumquatgauge::node
