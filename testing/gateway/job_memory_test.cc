// The memory that batch jobs take at real gateway processes.

#include <algorithm>
#include <atomic>
#include <boost/asio/error.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <limits>
#include <sstream>
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

constexpr std::uint32_t kMegabytes = 110;
constexpr std::size_t kMaxBytes = kMegabytes * std::size_t{1'000'000};
constexpr milliseconds kPoll{10};
constexpr milliseconds kSlowEvent{500};
constexpr int kSlots = 64;

auto Items(int count) -> std::vector<std::string> {
  auto items = std::vector<std::string>();
  for (auto item = 0; item < count; ++item) {
    items.push_back("i" + std::to_string(item));
  }
  return items;
}

// A job of one item, whose body has so many bytes in Base64.
auto LongJob(std::size_t bytes) -> std::string {
  return JobBody({"i"}, std::string(bytes, 'A'));
}

// Reads a request with its body; returns its head.
auto ReadWholeRequest(tcp::socket& socket, boost::system::error_code& error)
    -> std::string {
  auto request = ReadRequestHead(socket);
  const auto end = request.find("\r\n\r\n");
  const auto length = HeaderIn(request, "Content-Length");
  if (end == std::string::npos || length.empty()) {
    error = end == std::string::npos ? boost::asio::error::eof : error;
    return request;
  }
  const auto received = request.size() - end - 4;
  auto rest = std::string(std::stoul(length) - received, '\0');
  boost::asio::read(socket, boost::asio::buffer(rest), error);
  return request;
}

// Returns the most memory that a process has had within a time.
auto MostMemory(GatewayProcess& node, milliseconds time) -> std::size_t {
  const auto last = std::chrono::steady_clock::now() + time;
  auto most = std::size_t{0};
  while (std::chrono::steady_clock::now() < last) {
    most = std::max(most, node.process().memory_bytes());
    std::this_thread::sleep_for(kPoll);
  }
  return most;
}

// A fleet whose only replica sends events of `bytes` bytes each, `count` for a
// request.
struct LongEventFleet : Fleet {
  LongEventFleet(int gateways, std::size_t bytes, int count)
      : Fleet(gateways, kMegabytes),
        server([bytes, count](tcp::socket& socket,
                              const std::atomic<bool>& stopped) {
          SendEvents(socket, stopped, bytes, count);
        }) {
    AwaitService();
    store->Put("servers/i-9", ServerEntry(server.address(), "", kSlots));
    store->Remove("servers/i-1");
    store->Remove("servers/i-2");
    // The gateways learn it before the first job.
    std::this_thread::sleep_for(std::chrono::seconds(2));
  }

  ~LongEventFleet() { nodes.clear(); }

  static auto SendEvents(tcp::socket& socket,
                         const std::atomic<bool>& stopped,
                         std::size_t bytes,
                         int count) -> void {
    auto error = boost::system::error_code();
    while (!error && !stopped) {
      const auto request = ReadWholeRequest(socket, error);
      const auto head =
          "HTTP/1.1 200 OK\r\nRequest-Id: " + HeaderIn(request, "Request-Id") +
          "\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n";
      boost::asio::write(socket, boost::asio::buffer(head), error);
      for (auto at = 1; at <= count && !error && !stopped; ++at) {
        const auto event = "id: " + std::to_string(at) +
                           "\ndata: " + std::string(bytes, 'x') + "\n\n";
        auto length = std::ostringstream();
        length << std::hex << event.size() << "\r\n";
        boost::asio::write(
            socket, boost::asio::buffer(length.str() + event + "\r\n"), error);
      }
      boost::asio::write(socket, boost::asio::buffer("0\r\n\r\n", 5), error);
    }
  }

  RawServer server;
};

// Guards against a host that keeps all events of an item, whose replica goes on
// sending valid ones without end.
TEST_CASE("Gateway.LimitsTheMemoryOfAnItemWithoutEnd") {
  auto fleet = LongEventFleet(1, 100'000, std::numeric_limits<int>::max());
  auto& node = *fleet.nodes.front();
  REQUIRE(node.Call("POST", "/jobs/1", "j", JobBody(Items(3))).status == 202);
  CHECK(MostMemory(node, milliseconds(5'000)) < kMaxBytes);
  CHECK(node.process().WaitForExit(milliseconds(0)) == std::nullopt);
  // Each of its attempts counts as a failure.
  CHECK(Eventually([&] {
    const auto page = node.ReadJob("j");
    return page.is_object() && page.at("results").size() == 3;
  }));
}

// Guards against a host that holds the results of a job once for each caller
// that reads them from the store.
TEST_CASE("Gateway.LimitsTheMemoryOfReadsOfAJob") {
  constexpr auto kItems = 200;
  constexpr auto kReaders = 60;
  auto fleet = LongEventFleet(2, 30'000, 1);
  auto& owner = *fleet.nodes.front();
  auto& node = *fleet.nodes.back();
  REQUIRE(owner.Call("POST", "/jobs/1", "j", JobBody(Items(kItems))).status ==
          202);
  REQUIRE(Eventually([&] {
    const auto page = owner.ReadJob("j", kItems - 1);
    return page.is_object() && page.at("results").size() == 1;
  }));
  std::this_thread::sleep_for(std::chrono::seconds(1));
  owner.process().Signal(SIGKILL);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  auto answered = std::atomic<int>(0);
  auto readers = std::vector<std::thread>();
  for (auto reader = 0; reader < kReaders; ++reader) {
    readers.emplace_back([&] {
      answered += Eventually(
          [&] { return node.ReadJob("j", kItems - 50).is_object(); });
    });
  }
  CHECK(MostMemory(node, milliseconds(4'000)) < kMaxBytes);
  for (auto& reader : readers) {
    reader.join();
  }
  CHECK(node.process().WaitForExit(milliseconds(0)) == std::nullopt);
  CHECK(answered == kReaders);
}

// Guards against a host that takes all jobs of a stopping one over at once.
TEST_CASE("Gateway.LimitsTheMemoryOfJobsThatAreHandedOver") {
  constexpr auto kJobs = 40;
  constexpr std::size_t kBodyBytes = 1'000'000;
  auto fleet = Fleet(2, kMegabytes);
  fleet.one->set_event_delay(kSlowEvent);
  fleet.two->set_event_delay(kSlowEvent);
  fleet.AwaitService();
  const auto body = LongJob(kBodyBytes);
  auto accepted = 0;
  for (const auto& node : fleet.nodes) {
    for (auto job = 0; job < kJobs; ++job) {
      const auto id = "j" + std::to_string(job) + "-" + node->callers();
      const auto status = node->Call("POST", "/jobs/1", id, body).status;
      accepted += status == 202 ? 1 : 0;
    }
  }
  CHECK(accepted > 0);
  auto& node = *fleet.nodes.front();
  fleet.nodes.back()->process().Signal(SIGTERM);
  CHECK(MostMemory(node, milliseconds(8'000)) < kMaxBytes);
  CHECK(node.process().WaitForExit(milliseconds(0)) == std::nullopt);
}

// Guards against the copies of submissions and of running items, which count
// for little if items are short.
TEST_CASE("Gateway.LimitsTheMemoryOfJobsOfLongItems") {
  constexpr auto kCallers = 16;
  const auto bytes = GENERATE(std::size_t{300'000}, std::size_t{1'000'000});
  auto fleet = Fleet(1, kMegabytes);
  fleet.one->set_event_delay(kSlowEvent);
  fleet.two->set_event_delay(kSlowEvent);
  fleet.AwaitService();
  auto& node = *fleet.nodes.front();
  const auto body = LongJob(bytes);
  auto accepted = std::atomic<int>(0);
  auto callers = CallerThreads(kCallers, [&](int caller, int at) {
    const auto id = "j" + std::to_string(caller) + "-" + std::to_string(at);
    const auto status = node.Call("POST", "/jobs/1", id, body).status;
    accepted += status == 202 ? 1 : 0;
  });
  CHECK(MostMemory(node, milliseconds(6'000)) < kMaxBytes);
  callers.Stop();
  CHECK(accepted > 0);
  CHECK(node.process().WaitForExit(milliseconds(0)) == std::nullopt);
}

}  // namespace
}  // namespace kumquatgauge::testing
