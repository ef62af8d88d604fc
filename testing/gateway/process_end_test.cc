// What ends a process, or keeps it from starting, though nobody asked for that.

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "testing/gateway/fleet.h"
#include "testing/scenario/child_process.h"
#include "testing/support/log_reader.h"

namespace kumquatgauge::testing {
namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using std::chrono::milliseconds;

constexpr const char* kPrograms[] = {KQG_GATEWAY, KQG_DISK_HOST};
// Far longer than a process takes to end on an error.
constexpr milliseconds kNoticeTime{1'000};
constexpr milliseconds kStopLimit{10'000};
constexpr std::chrono::microseconds kSignalPause{200};

auto PortOf(const std::string& address) -> std::uint16_t {
  return static_cast<std::uint16_t>(
      std::stoi(address.substr(address.find(':') + 1)));
}

auto TcpEndpoint(const std::string& address) -> tcp::endpoint {
  return {boost::asio::ip::address_v4::loopback(), PortOf(address)};
}

// Settings of a program whose addresses are free, in a fleet that goes on
// without it.
struct StoppedProcess {
  StoppedProcess() {
    auto& process = fleet.nodes.front()->process();
    process.Signal(SIGKILL);
    REQUIRE(process.WaitForExit(kLimit));
  }

  // Starts a program with its log in a file, and waits for the first line.
  auto StartWithLog(const char* program, const std::string& name = "log") const
      -> std::unique_ptr<ChildProcess> {
    const auto log = fleet.folder / name;
    auto process = Start(program, log.string());
    REQUIRE(Eventually([&] { return std::filesystem::file_size(log) > 0; }));
    return process;
  }

  auto Start(const char* program, const std::string& log) const
      -> std::unique_ptr<ChildProcess> {
    return std::make_unique<ChildProcess>(
        std::vector<std::string>{program, settings()}, log,
        (fleet.folder / "errors").string());
  }

  auto settings() const -> std::string {
    return (fleet.folder / "n0.toml").string();
  }

  Fleet fleet;
};

// Guards against a process that SIGPIPE ends when the collector of its log
// restarts.
TEST_CASE("Process.OutlivesTheReaderOfItsLog") {
  for (const auto* program : kPrograms) {
    const auto stopped = StoppedProcess();
    const auto pipe = (stopped.fleet.folder / "log.pipe").string();
    auto reader = LogReader(pipe);
    const auto process = stopped.Start(program, pipe);
    REQUIRE(Eventually([&] { return reader.HasData(); }));
    reader.Close();
    // Each writes a line.
    for (auto signal = 0; signal < 5; ++signal) {
      process->Signal(SIGHUP);
      std::this_thread::sleep_for(milliseconds(50));
    }
    CHECK_FALSE(process->WaitForExit(kNoticeTime));
    process->Signal(SIGTERM);
    CHECK(process->WaitForExit(kStopLimit) == 0);
  }
}

// Guards against a process that SIGXFSZ ends when the file that takes its log
// has reached the limit on the size of files.
TEST_CASE("Process.OutlivesTheSizeLimitOfItsLogFile") {
  for (const auto* program : kPrograms) {
    const auto stopped = StoppedProcess();
    const auto process = stopped.StartWithLog(program);
    const auto limit = rlimit{1, 1};
    REQUIRE(::prlimit(process->id(), RLIMIT_FSIZE, &limit, nullptr) == 0);
    for (auto signal = 0; signal < 5; ++signal) {
      process->Signal(SIGHUP);
      std::this_thread::sleep_for(milliseconds(50));
    }
    CHECK_FALSE(process->WaitForExit(kNoticeTime));
  }
}

// Guards against processes that a signal ends which log rotation or an operator
// may send and that is no request to stop.
TEST_CASE("Process.OutlivesSignalsThatAskForNothing") {
  for (const auto* program : kPrograms) {
    const auto stopped = StoppedProcess();
    const auto process = stopped.StartWithLog(program);
    for (const auto signal : {SIGUSR1, SIGUSR2, SIGPIPE}) {
      process->Signal(signal);
    }
    CHECK_FALSE(process->WaitForExit(kNoticeTime));
  }
}

// Guards against SIGINT, which ended a process with its requests unanswered.
TEST_CASE("Process.TakesSigintAsAPlannedStop") {
  auto fleet = Fleet();
  fleet.AwaitService();
  fleet.one->set_event_delay(milliseconds(300));
  fleet.two->set_event_delay(milliseconds(300));
  auto& node = *fleet.nodes.front();
  auto reply = FetchReply();
  auto caller =
      std::thread([&] { reply = node.Call("POST", "/stream/once/x", "q1"); });
  CHECK(Eventually([&] { return fleet.RunCount("q1") == 1; }));
  node.process().Signal(SIGINT);
  caller.join();
  CHECK(reply.complete);
  CHECK(node.process().WaitForExit(kStopLimit) == 0);
}

// Guards against a planned stop that ends by the signal when it is sent again,
// at any moment until the process is gone.
TEST_CASE("Process.EndsItsPlannedStopWhenSignalsComeAgain") {
  constexpr auto kStarts = 15;
  for (const auto* program : kPrograms) {
    const auto stopped = StoppedProcess();
    for (auto start = 0; start < kStarts; ++start) {
      const auto signal = start % 2 == 0 ? SIGTERM : SIGHUP;
      const auto process =
          stopped.StartWithLog(program, "log" + std::to_string(start));
      process->Signal(SIGTERM);
      auto exit = std::optional<int>();
      const auto last = std::chrono::steady_clock::now() + kStopLimit;
      while (!exit && std::chrono::steady_clock::now() < last) {
        process->Signal(signal);
        exit = process->WaitForExit(milliseconds(0));
        std::this_thread::sleep_for(kSignalPause);
      }
      CHECK(exit == 0);
    }
  }
}

// Guards against log lines in a client's answer or in a message between hosts:
// a process that is started without standard descriptors would otherwise get
// these numbers for its sockets.
TEST_CASE("Process.KeepsStandardDescriptorsFromItsSockets") {
  for (const auto* program : kPrograms) {
    const auto stopped = StoppedProcess();
    const auto process = ChildProcess({program, stopped.settings()}, "", "");
    std::this_thread::sleep_for(kNoticeTime);
    for (auto descriptor = 0; descriptor <= 2; ++descriptor) {
      auto error = std::error_code();
      const auto link = std::filesystem::read_symlink(
          "/proc/" + std::to_string(process.id()) + "/fd/" +
              std::to_string(descriptor),
          error);
      CHECK(link == "/dev/null");
    }
  }
}

// --- Listen addresses.

// What holds a listen address when a process starts; destroyed to free it.
using Holder = std::shared_ptr<void>;

struct HeldAddress {
  const char* key;  // In the settings.
  std::function<auto(boost::asio::io_context&, const std::string&)->Holder>
      hold;
};

// Keeps a socket from the processes that are started while it is open.
template <typename Socket>
auto SetCloseOnExec(Socket& socket) -> void {
  REQUIRE(::fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC) == 0);
}

auto HoldByListener(boost::asio::io_context& context,
                    const std::string& address) -> Holder {
  auto acceptor = std::make_shared<tcp::acceptor>(context);
  acceptor->open(tcp::v4());
  SetCloseOnExec(*acceptor);
  acceptor->set_option(tcp::acceptor::reuse_address(true));
  acceptor->bind(TcpEndpoint(address));
  acceptor->listen();
  return acceptor;
}

auto HoldByDatagramSocket(boost::asio::io_context& context,
                          const std::string& address) -> Holder {
  auto socket = std::make_shared<udp::socket>(
      context,
      udp::endpoint(boost::asio::ip::address_v4::loopback(), PortOf(address)));
  SetCloseOnExec(*socket);
  return socket;
}

// A connection of another program whose source is the listen address.
auto HoldByConnection(boost::asio::io_context& context,
                      const std::string& address) -> Holder {
  struct Connection {
    explicit Connection(boost::asio::io_context& io)
        : acceptor(io, {boost::asio::ip::address_v4::loopback(), 0}),
          socket(io),
          accepted(io) {}
    ~Connection() {
      // Leaves nothing in TIME_WAIT. The destructor of the socket would.
      socket.set_option(tcp::socket::linger(true, 0));
      socket.close();
    }
    Connection(const Connection&) = delete;
    auto operator=(const Connection&) -> Connection& = delete;
    tcp::acceptor acceptor;
    tcp::socket socket;
    tcp::socket accepted;
  };
  auto connection = std::make_shared<Connection>(context);
  connection->socket.open(tcp::v4());
  SetCloseOnExec(connection->socket);
  connection->socket.set_option(tcp::socket::reuse_address(true));
  connection->socket.bind(TcpEndpoint(address));
  // As with a port that the kernel has chosen.
  connection->socket.set_option(tcp::socket::reuse_address(false));
  connection->socket.connect(connection->acceptor.local_endpoint());
  connection->acceptor.accept(connection->accepted);
  return connection;
}

// Guards against a process that ends at each start for as long as one of its
// addresses is in use.
TEST_CASE("Process.StartsOnceItsListenAddressesAreFree") {
  const auto held = std::vector<HeldAddress>{
      {"callers", HoldByListener},     {"readiness", HoldByListener},
      {"directory", HoldByListener},   {"nodes", HoldByListener},
      {"nodes", HoldByDatagramSocket}, {"callers", HoldByConnection},
      {"readiness", HoldByConnection}, {"directory", HoldByConnection},
      {"nodes", HoldByConnection},
  };
  for (const auto& [key, hold] : held) {
    INFO(key);
    auto fleet = Fleet(2);
    fleet.AwaitService();
    auto& node = *fleet.nodes.front();
    node.process().Signal(SIGKILL);
    REQUIRE(node.process().WaitForExit(kLimit));
    const auto name = std::string(key);
    const auto& address = name == "callers"     ? node.callers()
                          : name == "readiness" ? node.readiness()
                          : name == "directory" ? node.directory()
                                                : node.nodes();
    auto context = boost::asio::io_context();
    auto holder = hold(context, address);
    node.Start();
    CHECK_FALSE(node.process().WaitForExit(kNoticeTime));
    CHECK_FALSE(node.Ready());
    // Callers are not sent to a host that cannot serve them.
    CHECK(Eventually(
        [&] { return fleet.nodes.back()->Addresses().size() == 1; }));
    const auto waiting = LinesOf(node.Log(), "event", "listen_waiting");
    // One line, and another one every 10 s.
    constexpr std::int64_t kRepeatMs = 10'000;
    auto next = std::int64_t{0};
    REQUIRE_FALSE(waiting.empty());
    for (const auto& line : waiting) {
      CHECK(line.value("address", "") == address);
      CHECK(line.at("time_ms") >= next);
      next = line.at("time_ms").get<std::int64_t>() + kRepeatMs;
    }
    holder.reset();
    INFO(node.Log());
    fleet.AwaitService();
    CHECK(LinesOf(node.Log(), "event", "listen_regained").size() == 1);
  }
}

// Guards against a process that does not stop while it waits for an address.
TEST_CASE("Process.StopsWhileItWaitsForAnAddress") {
  auto fleet = Fleet();
  auto& node = *fleet.nodes.front();
  node.process().Signal(SIGKILL);
  REQUIRE(node.process().WaitForExit(kLimit));
  auto context = boost::asio::io_context();
  const auto holder = HoldByListener(context, node.nodes());
  node.Start();
  REQUIRE_FALSE(node.process().WaitForExit(kNoticeTime));
  node.process().Signal(SIGHUP);
  node.process().Signal(SIGTERM);
  CHECK(node.process().WaitForExit(kStopLimit) == 0);
}

// The TCP connections of a process to one of the addresses, and how many of
// them set SO_REUSEADDR.
struct Connections {
  int all = 0;
  int reusing = 0;
};

auto ConnectionsTo(const ChildProcess& process,
                   const std::vector<std::string>& addresses) -> Connections {
  auto found = Connections();
  const auto handle =
      static_cast<int>(::syscall(SYS_pidfd_open, process.id(), 0));
  REQUIRE(handle >= 0);
  for (const auto& entry : std::filesystem::directory_iterator(
           "/proc/" + std::to_string(process.id()) + "/fd")) {
    const auto number = std::stoi(entry.path().filename().string());
    const auto descriptor =
        static_cast<int>(::syscall(SYS_pidfd_getfd, handle, number, 0));
    auto peer = sockaddr_in();
    auto size = socklen_t{sizeof(peer)};
    const auto is_peer = [&](const std::string& address) {
      return PortOf(address) == ntohs(peer.sin_port);
    };
    if (descriptor >= 0 &&
        ::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) ==
            0 &&
        std::any_of(addresses.begin(), addresses.end(), is_peer)) {
      auto reuse = 0;
      auto length = socklen_t{sizeof(reuse)};
      ::getsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, &length);
      ++found.all;
      found.reusing += reuse;
    }
    ::close(descriptor);
  }
  ::close(handle);
  return found;
}

// Guards against outgoing connections of one process that keep another one from
// starting whose listen address is their source. SocketOptions tests that the
// option is enough; here the kernel may give a port to other programs, too.
TEST_CASE("Process.LetsOthersListenAtTheSourcesOfItsConnections") {
  auto fleet = Fleet(2);
  fleet.AwaitService();
  // The gateways ask each other for the job's results.
  REQUIRE(
      fleet.nodes[0]->Call("POST", "/jobs/1", "j1", JobBody({"a"})).status ==
      202);
  const auto peers = std::vector<std::vector<std::string>>{
      fleet.store_addresses,
      {fleet.one->address(), fleet.two->address()},
      {fleet.nodes[0]->nodes(), fleet.nodes[1]->nodes()},
  };
  for (const auto& addresses : peers) {
    INFO(addresses.front());
    auto found = Connections();
    REQUIRE(Eventually([&] {
      for (const auto& gateway : fleet.nodes) {
        static_cast<void>(gateway->ReadJob("j1"));
        const auto some = ConnectionsTo(gateway->process(), addresses);
        found.all += some.all;
        found.reusing += some.reusing;
      }
      return found.all > 0;
    }));
    CHECK(found.reusing == found.all);
  }
}

}  // namespace
}  // namespace kumquatgauge::testing
