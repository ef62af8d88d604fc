// Callers and replicas that read slowly or not at all, at real gateway
// processes with a small memory limit.

#include <algorithm>
#include <atomic>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <mutex>
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
using std::chrono::steady_clock;

constexpr std::uint32_t kMegabytes = 120;
constexpr std::size_t kMaxBytes = kMegabytes * std::size_t{1'000'000};
constexpr int kSlots = 200;
constexpr std::size_t kEventBytes = 20'000;
// A replica cuts a response off that stays unread for longer.
constexpr milliseconds kReplicaPatience{4'000};

auto EndpointOf(const std::string& address) -> tcp::endpoint {
  const auto colon = address.rfind(':');
  return {boost::asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

// Returns the bytes in the socket buffers of connections from one port or to
// another: not yet acknowledged by the other side, or not yet read.
auto KernelBytes(std::uint16_t from, std::uint16_t to) -> std::size_t {
  const auto suffix = [](std::uint16_t port) {
    auto text = std::ostringstream();
    text << ':' << std::uppercase << std::hex << std::setw(4)
         << std::setfill('0') << port;
    return text.str();
  };
  auto table = std::ifstream("/proc/net/tcp");
  auto bytes = std::size_t{0};
  for (std::string line; std::getline(table, line);) {
    auto fields = std::istringstream(line);
    auto number = std::string();
    auto local = std::string();
    auto remote = std::string();
    auto state = std::string();
    auto queues = std::string();
    fields >> number >> local >> remote >> state >> queues;
    const auto colon = queues.find(':');
    if (colon != std::string::npos &&
        (local.ends_with(suffix(from)) || remote.ends_with(suffix(to))) &&
        state != "0A") {  // A listening socket counts connections.
      bytes += std::stoul(queues.substr(0, colon), nullptr, 16) +
               std::stoul(queues.substr(colon + 1), nullptr, 16);
    }
  }
  return bytes;
}

// A fleet whose only replica answers each request with so many bytes, as a
// stream of events or as a whole, at once.
struct LongAnswerFleet : Fleet {
  explicit LongAnswerFleet(std::size_t bytes, bool reads_bodies = true)
      : Fleet(1, kMegabytes),
        server([this, bytes, reads_bodies](tcp::socket& socket,
                                           const std::atomic<bool>& stopped) {
          Serve(socket, stopped, bytes, reads_bodies);
        }) {
    AwaitService();
    store->Put("servers/i-9", ServerEntry(server.address(), "", kSlots));
    store->Remove("servers/i-1");
    store->Remove("servers/i-2");
    // The gateway learns it before the first request.
    std::this_thread::sleep_for(std::chrono::seconds(2));
  }

  ~LongAnswerFleet() { nodes.clear(); }

  auto Serve(tcp::socket& socket,
             const std::atomic<bool>& stopped,
             std::size_t bytes,
             bool reads_bodies) -> void {
    auto error = boost::system::error_code();
    socket.set_option(tcp::socket::receive_buffer_size(16'384), error);
    while (!error && !stopped) {
      const auto request = ReadRequestHead(socket);
      const auto end = request.find("\r\n\r\n");
      const auto length = HeaderIn(request, "Content-Length");
      if (end == std::string::npos) {
        return;
      }
      auto rest = std::string(
          length.empty() ? 0 : std::stoul(length) - (request.size() - end - 4),
          '\0');
      if (reads_bodies) {
        boost::asio::read(socket, boost::asio::buffer(rest), error);
      }
      // Short requests get short answers, so that they show the service.
      const auto is_short = request.find("/small") != std::string::npos;
      const auto total = is_short ? kEventBytes : bytes;
      const auto streams = request.starts_with("POST /stream/");
      auto head =
          "HTTP/1.1 200 OK\r\nRequest-Id: " + HeaderIn(request, "Request-Id") +
          "\r\nResponse-Signature: s\r\n";
      head += streams ? "Content-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n"
                      : "Content-Length: " + std::to_string(total) + "\r\n\r\n";
      boost::asio::write(socket, boost::asio::buffer(head), error);
      for (std::size_t at = 0; at * kEventBytes < total && !error; ++at) {
        auto piece = std::string(kEventBytes, 'x');
        if (streams) {
          const auto event =
              "id: " + std::to_string(at + 1) + "\ndata: " + piece + "\n\n";
          auto size = std::ostringstream();
          size << std::hex << event.size() << "\r\n";
          piece = size.str() + event + "\r\n";
        }
        const auto began = steady_clock::now();
        boost::asio::write(socket, boost::asio::buffer(piece), error);
        unread += steady_clock::now() - began > kReplicaPatience ? 1 : 0;
      }
      if (streams) {
        boost::asio::write(socket, boost::asio::buffer("0\r\n\r\n", 5), error);
      }
      ended += error ? 0 : 1;
      while (!reads_bodies && !rest.empty() && !error && !stopped) {
        std::this_thread::sleep_for(milliseconds(10));
      }
    }
  }

  std::atomic<int> unread = 0;  // Pieces that waited longer than is allowed.
  std::atomic<int> ended = 0;   // Answers that were written to their end.
  RawServer server;
};

// A caller that reads `step` bytes each 50 ms; none if it is zero.
struct SlowCaller {
  SlowCaller(const std::string& address,
             const std::string& target,
             const std::string& id,
             std::size_t step,
             bool small_buffer = true)
      : thread([=, this] {
          auto socket = tcp::socket(context);
          auto error = boost::system::error_code();
          socket.open(tcp::v4());
          if (small_buffer) {
            socket.set_option(tcp::socket::receive_buffer_size(16'384));
          }
          socket.connect(EndpointOf(address), error);
          const auto request =
              "POST " + target + " HTTP/1.1\r\nHost: " + kGatewayHost +
              "\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
          boost::asio::write(socket, boost::asio::buffer(request), error);
          socket.non_blocking(true);
          auto bytes = std::string(std::max<std::size_t>(step, 1), '\0');
          auto closed = false;
          while (!stopped && !closed && !complete) {
            std::this_thread::sleep_for(milliseconds(50));
            error.clear();
            if (step > 0) {
              const auto size =
                  socket.read_some(boost::asio::buffer(bytes), error);
              received.append(bytes, 0, size);
              closed = error && error != boost::asio::error::would_block;
            }
            complete = IsComplete();
          }
          // What is left shows whether the response looks complete.
          const auto last = steady_clock::now() + milliseconds(500);
          while (!closed && !complete && steady_clock::now() < last) {
            error.clear();
            auto rest = std::string(65'536, '\0');
            const auto size =
                socket.read_some(boost::asio::buffer(rest), error);
            received.append(rest, 0, size);
            closed = error && error != boost::asio::error::would_block;
            complete = IsComplete();
          }
          cut_off = closed && !complete;
        }) {}

  ~SlowCaller() { Join(); }

  auto Join() -> void {
    stopped = true;
    if (thread.joinable()) {
      thread.join();
    }
  }

  auto IsComplete() const -> bool {
    const auto end = received.find("\r\n\r\n");
    if (end == std::string::npos) {
      return false;
    }
    const auto length = HeaderIn(received, "Content-Length");
    return length.empty() ? received.ends_with("\r\n0\r\n\r\n")
                          : received.size() >= end + 4 + std::stoul(length);
  }

  boost::asio::io_context context;
  std::string received;
  std::atomic<bool> stopped = false;
  std::atomic<bool> complete = false;
  std::atomic<bool> cut_off = false;
  std::thread thread;
};

using SlowCallers = std::vector<std::unique_ptr<SlowCaller>>;

auto StartCallers(GatewayProcess& node,
                  int count,
                  const std::string& target,
                  std::size_t step,
                  bool small_buffer = true) -> SlowCallers {
  auto callers = SlowCallers();
  for (auto at = 0; at < count; ++at) {
    callers.push_back(std::make_unique<SlowCaller>(node.callers(), target,
                                                   target + std::to_string(at),
                                                   step, small_buffer));
  }
  return callers;
}

struct Observation {
  std::size_t resident = 0;  // The most.
  std::size_t kernel = 0;    // The most in socket buffers.
  std::size_t both = 0;
  int served = 0;  // Other calls.
  int failed = 0;
};

// Watches a gateway for a time, while other callers call it.
auto Observe(LongAnswerFleet& fleet, milliseconds time) -> Observation {
  auto& node = *fleet.nodes.front();
  auto seen = Observation();
  auto served = std::atomic<int>(0);
  auto failed = std::atomic<int>(0);
  auto others = CallerThreads(2, [&](int caller, int at) {
    const auto target = caller == 0 ? "/plain/small" : "/stream/small";
    const auto id = target + std::string("-") + std::to_string(at);
    (node.Call("POST", target, id).status == 200 ? served : failed) += 1;
    std::this_thread::sleep_for(milliseconds(20));
  });
  const auto from = EndpointOf(node.callers()).port();
  const auto to = EndpointOf(fleet.server.address()).port();
  const auto last = steady_clock::now() + time;
  while (steady_clock::now() < last) {
    const auto resident = node.process().memory_bytes();
    const auto kernel = KernelBytes(from, to);
    seen.resident = std::max(seen.resident, resident);
    seen.kernel = std::max(seen.kernel, kernel);
    seen.both = std::max(seen.both, resident + kernel);
    std::this_thread::sleep_for(milliseconds(20));
  }
  others.Stop();
  seen.served = served;
  seen.failed = failed;
  std::cout << Catch::getResultCapture().getCurrentTestName() << ": resident "
            << seen.resident << ", socket buffers " << seen.kernel << ", both "
            << seen.both << ", served " << seen.served << ", failed "
            << seen.failed << "\n";
  return seen;
}

template <typename Predicate>
auto CountOf(const SlowCallers& callers, Predicate predicate) -> int {
  return static_cast<int>(
      std::count_if(callers.begin(), callers.end(), predicate));
}

auto JoinAll(const SlowCallers& callers) -> void {
  for (const auto& caller : callers) {
    caller->stopped = true;
  }
  for (const auto& caller : callers) {
    caller->Join();
  }
}

// Guards against a host that keeps whole answers of any number of callers that
// do not read them, and against a cut answer that looks complete.
TEST_CASE("Gateway.LimitsTheMemoryOfAnswersThatAreNotRead") {
  constexpr auto kCallers = 80;
  auto fleet = LongAnswerFleet(2'000'000);
  auto& node = *fleet.nodes.front();
  const auto callers = StartCallers(node, kCallers, "/plain/x", 0);
  // The last answers begin after the time limit of the route, 5 s, and are
  // terminated after another 5 s.
  const auto seen = Observe(fleet, milliseconds(11'000));
  JoinAll(callers);
  CHECK(seen.both < kMaxBytes);
  CHECK(seen.served > 10);
  CHECK(seen.failed == 0);
  // The others are told that there is no answer.
  CHECK(CountOf(callers, [](const auto& at) { return at->cut_off.load(); }) >
        kCallers / 4);
  CHECK(CountOf(callers, [](const auto& at) {
          return at->complete && at->received.starts_with("HTTP/1.1 200");
        }) == 0);
  CHECK(node.process().WaitForExit(milliseconds(0)) == std::nullopt);
}

// Guards against streams that stay unread so long that their replica cuts them
// off, and against socket buffers that grow without limit.
TEST_CASE("Gateway.DisconnectsCallersThatReadNothingOfAStream") {
  constexpr auto kCallers = 60;
  auto fleet = LongAnswerFleet(8'000'000);
  auto& node = *fleet.nodes.front();
  const auto callers = StartCallers(node, kCallers, "/stream/x", 0);
  const auto seen = Observe(fleet, milliseconds(6'000));
  JoinAll(callers);
  CHECK(seen.both < kMaxBytes);
  CHECK(seen.served > 10);
  CHECK(seen.failed == 0);
  CHECK(fleet.unread == 0);
  CHECK(CountOf(callers, [](const auto& at) { return at->cut_off.load(); }) ==
        kCallers);
}

// Guards against callers that are cut off although they read all the time.
TEST_CASE("Gateway.ServesCallersThatReadSlowlyAndSteadily") {
  constexpr auto kCallers = 3;  // Of each kind; all answers fit in the budget.
  // Whole answers take 7.5 s, longer than the time limit of one write. Streams
  // take half of that, as they have to end within the time limit of the route.
  constexpr std::size_t kStep = 8'000;
  auto fleet = LongAnswerFleet(1'200'000);
  auto& node = *fleet.nodes.front();
  const auto whole = StartCallers(node, kCallers, "/plain/x", kStep);
  const auto streams = StartCallers(node, kCallers, "/stream/x", 2 * kStep);
  // 40 KB/s. On a loopback device the windows of such callers open about every
  // 2 s only.
  const auto slowest = StartCallers(node, kCallers, "/plain/y", 2'000, false);
  const auto is_complete = [](const auto& at) { return at->complete.load(); };
  CHECK(Eventually([&] {
    return CountOf(whole, is_complete) + CountOf(streams, is_complete) ==
           2 * kCallers;
  }));
  JoinAll(slowest);
  auto terminated = std::string();
  for (const auto& line : LinesOf(node.Log(), "part", "relay")) {
    terminated += line.dump() + "\n";
  }
  INFO(terminated);
  CHECK(CountOf(slowest, [](const auto& at) { return at->cut_off.load(); }) ==
        0);
  CHECK(CountOf(whole, is_complete) == kCallers);
  CHECK(CountOf(streams, is_complete) == kCallers);
  CHECK(fleet.unread == 0);
}

// Guards against bodies of requests that are kept, uncounted, for replicas that
// answer but do not read the request.
TEST_CASE("Gateway.LimitsTheMemoryOfRequestsThatReplicasDoNotRead") {
  constexpr auto kCallers = 12;
  auto fleet = LongAnswerFleet(kEventBytes, false);
  auto& node = *fleet.nodes.front();
  const auto body = std::string(4'000'000, 'x');
  auto answered = std::atomic<int>(0);
  auto callers = CallerThreads(kCallers, [&](int caller, int at) {
    const auto id = "b" + std::to_string(caller) + "-" + std::to_string(at);
    const auto status = node.Call("POST", "/plain/once/x", id, body).status;
    answered += status == 200 ? 1 : 0;
    if (status != 200) {
      std::this_thread::sleep_for(milliseconds(500));  // As it is told to.
    }
  });
  const auto seen = Observe(fleet, milliseconds(6'000));
  callers.Stop();
  std::cout << "long requests answered: " << answered << "\n";
  CHECK(seen.both < kMaxBytes);
  CHECK(seen.served > 10);
  // The bodies are freed once their requests are answered.
  CHECK(answered > 3 * kCallers);
  CHECK(node.process().WaitForExit(milliseconds(0)) == std::nullopt);
}

}  // namespace
}  // namespace kumquatgauge::testing
