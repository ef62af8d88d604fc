// Bytes without end, from replicas, callers and the store, to real gateway
// processes.

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "testing/gateway/caller_threads.h"
#include "testing/gateway/fleet.h"
#include "testing/gateway/raw_server.h"

namespace kumquatgauge::testing {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

// Far less than arrives in the time that is observed.
constexpr std::size_t kMaxGrowth = 60'000'000;
constexpr std::size_t kPieceBytes = 256'000;
constexpr milliseconds kObserved{3'000};

// A message that never ends: `begin`, then `repeated` again and again.
struct EndlessMessage {
  std::string name;
  std::string begin;
  std::string repeated;
};

auto Piece(const std::string& repeated) -> std::string {
  auto piece = std::string();
  while (piece.size() < kPieceBytes) {
    piece += repeated;
  }
  return piece;
}

// Messages that end at no part of the grammar of HTTP/1.1. `head` is a first
// line with header fields, each with its end.
auto EndlessMessages(const std::string& line, const std::string& fields)
    -> std::vector<EndlessMessage> {
  const auto chunked =
      line + "\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"first line", line, "x"},
      {"header field", line + "\r\n" + fields + "X-Long: ", "x"},
      {"header fields", line + "\r\n" + fields, "X-Field: value\r\n"},
      {"chunk size", chunked, "0"},
      {"chunk extension", chunked + "1;name=", "x"},
      {"quoted chunk extension", chunked + "1;name=\"", "\\\""},
      {"chunk extensions", chunked, "1;name=value\r\nx\r\n"},
      {"last chunk extension", chunked + "0;name=", "x"},
      {"trailer field", chunked + "0\r\nX-Long: ", "x"},
      {"trailer fields", chunked + "0\r\n", "X-Field: value\r\n"},
      {"chunks", chunked, "4\r\nabcd\r\n"},
      {"chunk", chunked + "fffffffffffffff\r\n", "x"},
  };
}

// Makes header fields from a request.
using Fields = std::function<auto(const std::string& request)->std::string>;

// A server that reads a little and answers with the message `number` of
// EndlessMessages, which never ends, until the other side closes.
auto MakeEndlessServer(std::size_t number, Fields fields)
    -> std::unique_ptr<RawServer> {
  return std::make_unique<RawServer>(
      [number, fields = std::move(fields)](tcp::socket& socket,
                                           const std::atomic<bool>& stopped) {
        const auto request = ReadRequestHead(socket);
        const auto message =
            EndlessMessages("HTTP/1.1 200 OK", fields(request))[number];
        const auto piece = Piece(message.repeated);
        auto error = boost::system::error_code();
        boost::asio::write(socket, boost::asio::buffer(message.begin), error);
        while (!error && !stopped) {
          boost::asio::write(socket, boost::asio::buffer(piece), error);
        }
      });
}

// The fields of an answer that belongs to the request.
auto AnswerFields(const std::string& request) -> std::string {
  return "Request-Id: " + HeaderIn(request, "Request-Id") +
         "\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n";
}

// Watches the memory of a process. Returns whether it stays below the limit.
auto StaysSmall(GatewayProcess& node,
                std::size_t before,
                milliseconds observed = kObserved) -> bool {
  const auto last = std::chrono::steady_clock::now() + observed;
  auto small = true;
  while (small && std::chrono::steady_clock::now() < last) {
    small = node.process().memory_bytes() <= before + kMaxGrowth;
    std::this_thread::sleep_for(milliseconds(20));
  }
  if (!small) {
    node.process().Signal(SIGKILL);  // Before it takes the machine's memory.
  }
  return small;
}

// Guards against a host that keeps all that a replica sends, without end, at a
// place of an answer where its reader looks for the end of a line, until the
// host's memory is used up.
TEST_CASE("Gateway.LimitsTheMemoryOfAnswersWithoutEnd") {
  const auto count = EndlessMessages("", "").size();
  for (std::size_t number = 0; number < count; ++number) {
    const auto name = EndlessMessages("", "")[number].name;
    INFO(name);
    auto fleet = Fleet();
    const auto server = MakeEndlessServer(number, AnswerFields);
    fleet.AwaitService();
    auto& node = *fleet.nodes.front();
    const auto before = node.process().memory_bytes();
    fleet.store->Put("servers/i-9", ServerEntry(server->address()));
    auto served = std::atomic<int>(0);
    const auto targets = std::vector<std::string>{"/stream/x", "/stream/once/x",
                                                  "/plain/x", "/plain/once/x"};
    auto callers = CallerThreads(
        static_cast<int>(targets.size()), [&](int caller, int at) {
          const auto& target = targets.at(static_cast<std::size_t>(caller));
          const auto id = target + std::to_string(at);
          served += node.Call("POST", target, id).status == 200 ? 1 : 0;
        });
    CHECK(node.Call("POST", "/jobs/1", "j1", JobBody({"a", "b", "c"})).status ==
          202);
    CHECK(StaysSmall(node, before));
    callers.Stop();
    // Other replicas serve meanwhile.
    CHECK(served > 0);
    CHECK(node.process().WaitForExit(milliseconds(0)) == std::nullopt);
  }
}

// Sends a message that never ends until the other side closes, or for
// kObserved at most.
auto SendEndlessly(const std::string& address, const EndlessMessage& message)
    -> void {
  auto context = boost::asio::io_context();
  auto socket = tcp::socket(context);
  auto error = boost::system::error_code();
  const auto colon = address.rfind(':');
  socket.connect(
      {boost::asio::ip::make_address(address.substr(0, colon)),
       static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))},
      error);
  const auto last = std::chrono::steady_clock::now() + kObserved;
  const auto piece = Piece(message.repeated);
  boost::asio::write(socket, boost::asio::buffer(message.begin), error);
  while (!error && std::chrono::steady_clock::now() < last) {
    boost::asio::write(socket, boost::asio::buffer(piece), error);
  }
}

// Guards against a host whose memory anyone can use up who reaches one of its
// addresses.
TEST_CASE("Gateway.LimitsTheMemoryOfRequestsWithoutEnd") {
  auto fleet = Fleet();
  fleet.AwaitService();
  auto& node = *fleet.nodes.front();
  const auto before = node.process().memory_bytes();
  const auto fields =
      std::string("Host: ") + kGatewayHost + "\r\nRequest-Id: q\r\n";
  auto senders = std::vector<std::thread>();
  for (const auto& address :
       {node.callers(), node.readiness(), node.directory(), node.nodes()}) {
    for (const auto& message :
         EndlessMessages("POST /plain/x HTTP/1.1", fields)) {
      senders.emplace_back(
          [address, message] { SendEndlessly(address, message); });
    }
  }
  CHECK(StaysSmall(node, before));
  for (auto& sender : senders) {
    sender.join();
  }
  CHECK(node.process().WaitForExit(milliseconds(0)) == std::nullopt);
  CHECK(Eventually(
      [&] { return node.Call("POST", "/plain/x", "after").status == 200; }));
}

// Guards against a host that runs out of memory and ends, since it reads the
// bodies of any number of requests at once.
TEST_CASE("Gateway.LimitsTheMemoryOfTheBodiesOfAllRequests") {
  constexpr auto kCallers = 40;
  constexpr std::size_t kBodyBytes = 4'000'000;
  constexpr std::uint32_t kMegabytes = 110;
  auto fleet = Fleet(1, kMegabytes);
  fleet.AwaitService();
  auto& node = *fleet.nodes.front();
  const auto before = node.process().memory_bytes();
  const auto body = std::string(kBodyBytes, 'x');
  auto served = std::atomic<int>(0);
  auto refused = std::atomic<int>(0);
  auto wrong = std::atomic<int>(0);  // Refused as not run, though they ran.
  auto callers = CallerThreads(kCallers, [&](int caller, int at) {
    const auto id = "b" + std::to_string(caller) + "-" + std::to_string(at);
    const auto status = node.Call("POST", "/plain/once/x", id, body).status;
    served += status == 200 ? 1 : 0;
    refused += status == 503 ? 1 : 0;
    wrong += status == 503 && fleet.RunCount(id) > 0 ? 1 : 0;
  });
  CHECK(StaysSmall(node, before));
  // Small requests are served meanwhile.
  CHECK(Eventually(
      [&] { return node.Call("POST", "/plain/x", "small").status == 200; }));
  callers.Stop();
  CHECK(served > 0);
  CHECK(refused > 0);
  CHECK(wrong == 0);
  CHECK(node.process().WaitForExit(milliseconds(0)) == std::nullopt);
  CHECK(node.Call("POST", "/plain/x", "after", body).status == 200);
}

// Guards against a host that runs out of memory and ends, since it accepts
// batch jobs faster than replicas run their items.
TEST_CASE("Gateway.LimitsTheMemoryOfBatchJobs") {
  constexpr auto kCallers = 60;
  constexpr auto kItems = 200;
  constexpr std::uint32_t kMegabytes = 110;
  constexpr milliseconds kSubmitting{10'000};
  auto fleet = Fleet(1, kMegabytes);
  fleet.one->set_event_delay(milliseconds(20));
  fleet.two->set_event_delay(milliseconds(20));
  fleet.AwaitService();
  auto& node = *fleet.nodes.front();
  auto items = std::vector<std::string>();
  for (auto item = 0; item < kItems; ++item) {
    items.push_back("i" + std::to_string(item));
  }
  const auto body = JobBody(items);
  auto refused = std::atomic<int>(0);
  auto mutex = std::mutex();
  auto accepted = std::vector<std::string>();
  auto callers = CallerThreads(kCallers, [&](int caller, int at) {
    const auto id = "j" + std::to_string(caller) + "-" + std::to_string(at);
    const auto status = node.Call("POST", "/jobs/1", id, body).status;
    refused += status == 503 ? 1 : 0;
    if (status == 202) {
      const auto lock = std::lock_guard(mutex);
      accepted.push_back(id);
    }
  });
  CHECK(StaysSmall(node, node.process().memory_bytes(), kSubmitting));
  callers.Stop();
  CHECK(node.process().WaitForExit(milliseconds(0)) == std::nullopt);
  CHECK(refused > 0);
  // Items of accepted jobs still run.
  REQUIRE(!accepted.empty());
  CHECK(Eventually([&] {
    const auto page = node.ReadJob(accepted.front(), 0);
    return page.is_object() && page.at("total") == kItems &&
           page.at("results").size() == kItems;
  }));
  // The memory of ended jobs is used for new ones.
  for (const auto& job : accepted) {
    REQUIRE(Eventually([&] {
      return node.Call("DELETE", "/api/lots/" + job, "").status == 200;
    }));
  }
  CHECK(Eventually([&] {
    return node.Call("POST", "/jobs/1", "after", body).status == 202;
  }));
}

// Guards against the same from what should be the store.
TEST_CASE("Gateway.LimitsTheMemoryOfAnswersOfTheStoreWithoutEnd") {
  const auto count = EndlessMessages("", "").size();
  for (std::size_t number = 0; number < count; ++number) {
    INFO(EndlessMessages("", "")[number].name);
    const auto server =
        MakeEndlessServer(number, [](const std::string& /*request*/) {
          return std::string("Content-Type: application/json\r\n");
        });
    const auto folder =
        std::filesystem::temp_directory_path() /
        ("kqg-store-test-" + std::to_string(std::random_device{}()));
    std::filesystem::create_directories(folder);
    {
      auto node = GatewayProcess(KQG_GATEWAY, "n0", server->address(),
                                 folder.string(), kGatewayMegabytes);
      REQUIRE(
          Eventually([&] { return node.Call("GET", "/x/", "q").connected; }));
      CHECK(StaysSmall(node, node.process().memory_bytes()));
      CHECK(node.process().WaitForExit(milliseconds(0)) == std::nullopt);
    }
    std::filesystem::remove_all(folder);
  }
}

}  // namespace
}  // namespace kumquatgauge::testing
