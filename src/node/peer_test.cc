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

// A server and a client on one io_context that is run by the test.
class PeerFixture {
 public:
  PeerFixture()
      : server(std::make_unique<PeerServer>(
            context,
            std::vector<boost::asio::io_context*>{&context},
            PeerServerSettings{"127.0.0.1:0", "secret"})),
        client(MakePeerClient(context, {"secret"})) {
    server->Register("count", Count);
    server->Register(
        "fail", [](json, std::shared_ptr<Responder>) -> awaitable<void> {
          throw Error(ErrorKind::kConflict, "taken", "key", "use another");
          co_return;
        });
    server->Register("endless",
                     [this](json, std::shared_ptr<Responder> responder) {
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

  // Sends {"i": 0} to {"i": n-1}.
  static auto Count(json request, std::shared_ptr<Responder> responder)
      -> awaitable<void> {
    const auto end = request.at("n").get<int>();
    for (auto i = 0; i < end; ++i) {
      responder->Send({{"i", i}});
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

  // Runs the context until `done` or the limit; returns done().
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
        [result](std::exception_ptr thrown) {
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

// Guards against an error that arrives as another kind or as success.
TEST_CASE("Peer.RethrowsErrorOfHandler") {
  PeerFixture peers;
  peers.server->Start();
  CHECK(peers.Call("fail", json::object())->error == ErrorKind::kConflict);
  CHECK(peers.Call("absent", json::object())->error == ErrorKind::kNotFound);
}

// Guards against a node of another fleet being served.
TEST_CASE("Peer.RefusesWrongCredential") {
  PeerFixture peers;
  peers.server->Start();
  const auto stranger = MakePeerClient(peers.context, {"secreT"});
  const auto result =
      peers.Spawn(*stranger, peers.server->address(), "count", {{"n", 1}});
  REQUIRE(peers.RunUntil([&] { return result->done; }));
  CHECK(result->error == ErrorKind::kPermissionDenied);
  CHECK(result->frames.empty());
  CHECK(peers.server->counters().rejected == 1);
}

// Guards against work that goes on for a request that nobody reads.
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

// Guards against "may have run" for a request that never left this node.
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

// Guards against waiting for ever on a host that accepts and never answers.
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

}  // namespace
}  // namespace kumquatgauge::node
