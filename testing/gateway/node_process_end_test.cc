// What ends a node, or keeps it from starting, though nobody asked for that.
// The platform is absent in all tests; a node starts without it.

#include <fcntl.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "testing/gateway/fleet.h"
#include "testing/scenario/child_process.h"
#include "testing/scenario/http_fetch.h"
#include "testing/support/held_address.h"
#include "testing/support/log_reader.h"
#include "testing/support/reserved_ports.h"

namespace kumquatgauge::testing {
namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;

// Far longer than a process takes to end on an error.
constexpr milliseconds kNoticeTime{1'000};
// Includes the lifetime of address answers, which a planned stop waits for.
constexpr milliseconds kStopLimit{10'000};
constexpr milliseconds kLinePause{50};
constexpr std::chrono::microseconds kSignalPause{200};
constexpr auto kToken = "operator-token-for-node-tests";

auto CountOf(const std::string& text, const std::string& part) -> int {
  auto count = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

// A folder that is removed when destroyed.
class TestFolder {
 public:
  TestFolder()
      : path_(std::filesystem::temp_directory_path() /
              ("kqg-node-test-" + std::to_string(std::random_device{}()))) {
    std::filesystem::create_directories(path_);
    Write("fleet.txt", "fleet-credential-for-node-tests\n");
    Write("operators.txt", std::string("test change ") + kToken + "\n");
  }
  ~TestFolder() { std::filesystem::remove_all(path_); }
  TestFolder(const TestFolder&) = delete;
  auto operator=(const TestFolder&) -> TestFolder& = delete;

  auto Write(const std::string& name, const std::string& text) const -> void {
    std::ofstream(File(name)) << text;
  }
  auto File(const std::string& name) const -> std::string {
    return (path_ / name).string();
  }

 private:
  std::filesystem::path path_;
};

// A real node on 127.0.0.1, whose addresses stay the same when it is restarted.
class NodeProcess {
 public:
  // `seed` is empty or the address of another node. Does not start the node.
  NodeProcess(const TestFolder& folder,
              std::string name,
              const std::string& seed = "")
      : folder_(folder), name_(std::move(name)) {
    folder_.Write(
        name_ + ".toml",
        "[node]\nname = \"" + name_ +
            "\"\nzone = \"a\"\n[callers]\nlisten = " + Quoted(callers_) +
            "\nanswer_ttl_s = 1\n[operators]\nlisten = " + Quoted(operators_) +
            "\ncredentials_file = " + Quoted(folder_.File("operators.txt")) +
            "\n[nodes]\nlisten = " + Quoted(nodes_) +
            "\nfleet_credential_file = " + Quoted(folder_.File("fleet.txt")) +
            "\nseeds = [" + (seed.empty() ? "" : Quoted(seed)) +
            "]\n[platform]\naddress = " + Quoted(platform_) + "\n");
  }

  // Starts the node, also after it has ended, with a log file of its own.
  auto Start() -> void {
    ++starts_;
    StartWithLog(LogFile());
  }
  auto StartWithLog(const std::string& log) -> void {
    process_.reset();
    process_ = std::make_unique<ChildProcess>(
        std::vector<std::string>{KQG_NODE, folder_.File(name_ + ".toml")},
        folder_.File(name_ + ".out"), log);
  }
  auto AwaitStart() const -> bool {
    return Eventually([this] { return CountOf(Log(), "Node started.") == 1; });
  }
  auto Log() const -> std::string {
    auto file = std::ifstream(LogFile());
    return {std::istreambuf_iterator<char>(file), {}};
  }

  auto ServesCallers() const -> bool {
    return Fetch({callers_, "GET", "/healthz", {}, ""}).status == 200;
  }
  // Whether operators are served and find `count` living nodes.
  auto ShowsNodes(std::size_t count) const -> bool {
    const auto body = nlohmann::json{{"command", "show nodes"}}.dump();
    const auto reply =
        Fetch({operators_,
               "POST",
               "/v1/command",
               {{"Authorization", std::string("Bearer ") + kToken}},
               body});
    const auto answer = nlohmann::json::parse(reply.body, nullptr, false);
    if (reply.status != 200 || !answer.is_object()) {
      return false;
    }
    auto alive = std::size_t{0};
    for (const auto& row : answer.value("rows", nlohmann::json::array())) {
      alive += row.value("state", "") == "alive" ? 1 : 0;
    }
    return alive == count;
  }

  auto process() -> ChildProcess& { return *process_; }
  auto callers() const -> const std::string& { return callers_; }
  auto operators() const -> const std::string& { return operators_; }
  // Its address for other nodes.
  auto nodes() const -> const std::string& { return nodes_; }

 private:
  static auto Quoted(const std::string& text) -> std::string {
    return "\"" + text + "\"";
  }
  auto LogFile() const -> std::string {
    return folder_.File(name_ + "." + std::to_string(starts_) + ".log");
  }

  const TestFolder& folder_;
  std::string name_;
  ReservedPorts ports_;
  std::string callers_ = ports_.Add();
  std::string operators_ = ports_.Add();
  std::string nodes_ = ports_.Add();
  std::string platform_ = ports_.Add();  // Nothing listens there.
  int starts_ = 0;
  std::unique_ptr<ChildProcess> process_;
};

// Whether a process still runs after the time in which it would have ended.
auto RunsOn(ChildProcess& process) -> bool {
  return !process.WaitForExit(kNoticeTime);
}

// Whether a process ends with status 0 after SIGTERM.
auto Stops(ChildProcess& process) -> bool {
  process.Signal(SIGTERM);
  return process.WaitForExit(kStopLimit) == 0;
}

// Sends a signal again and again until the process has ended. Returns whether
// it ended with status 0.
auto EndsWellUnderSignals(ChildProcess& process, int signal) -> bool {
  const auto last = std::chrono::steady_clock::now() + kStopLimit;
  while (std::chrono::steady_clock::now() < last) {
    process.Signal(signal);
    if (process.WaitForExit(milliseconds(0))) {
      break;
    }
    std::this_thread::sleep_for(kSignalPause);
  }
  return process.WaitForExit(milliseconds(0)) == 0;
}

// Guards against a node that SIGPIPE ends when the collector of its log
// restarts, and against one that fails on the lines that it cannot write.
TEST_CASE("NodeProcess.OutlivesTheReaderOfItsLog") {
  const auto folder = TestFolder();
  auto node = NodeProcess(folder, "n0");
  const auto pipe = folder.File("log.pipe");
  auto reader = LogReader(pipe);
  node.StartWithLog(pipe);
  REQUIRE(Eventually([&] { return reader.HasData(); }));
  REQUIRE(Eventually([&] { return node.ServesCallers(); }));
  reader.Close();
  // Each writes a line.
  for (auto signal = 0; signal < 5; ++signal) {
    node.process().Signal(SIGHUP);
    std::this_thread::sleep_for(kLinePause);
  }
  CHECK(RunsOn(node.process()));
  CHECK(node.ServesCallers());
  CHECK(Stops(node.process()));
}

// Guards against a node that is ended by a signal that log rotation or an
// operator may send and that is no request to stop.
TEST_CASE("NodeProcess.OutlivesSignalsThatAskForNothing") {
  const auto folder = TestFolder();
  auto node = NodeProcess(folder, "n0");
  for (const auto signal : {SIGUSR1, SIGUSR2, SIGPIPE, SIGHUP}) {
    INFO(signal);
    node.Start();
    REQUIRE(node.AwaitStart());
    node.process().Signal(signal);
    CHECK(RunsOn(node.process()));
    CHECK(node.ServesCallers());
  }
}

// Guards against a planned stop that ends by the signal when it is sent again,
// at any moment until the node is gone.
TEST_CASE("NodeProcess.EndsItsPlannedStopWhenSignalsComeAgain") {
  constexpr auto kStarts = 12;
  constexpr int kSignals[] = {SIGTERM, SIGINT, SIGHUP};
  const auto folder = TestFolder();
  auto node = NodeProcess(folder, "n0");
  for (auto start = 0; start < kStarts; ++start) {
    const auto first = start % 2 == 0 ? SIGTERM : SIGINT;
    const auto again = kSignals[start % std::size(kSignals)];
    INFO("first " << first << ", again " << again);
    node.Start();
    REQUIRE(node.AwaitStart());
    node.process().Signal(first);
    const auto ended = EndsWellUnderSignals(node.process(), again);
    INFO(node.Log());
    CHECK(ended);
    CHECK(CountOf(node.Log(), "Planned stop ended.") == 1);
  }
}

// Guards against a node that ends at each start for as long as one of its
// addresses is in use, or that does not serve there once it is free.
TEST_CASE("NodeProcess.StartsOnceItsListenAddressesAreFree") {
  const auto folder = TestFolder();
  auto other = NodeProcess(folder, "n1");
  other.Start();
  REQUIRE(other.AwaitStart());
  auto node = NodeProcess(folder, "n0", other.nodes());
  enum Address { kCallers, kOperators, kNodes, kNodeDatagrams };
  for (const auto held : {kCallers, kOperators, kNodes, kNodeDatagrams}) {
    INFO("address " << held);
    const auto& address = held == kCallers     ? node.callers()
                          : held == kOperators ? node.operators()
                                               : node.nodes();
    auto context = boost::asio::io_context();
    auto datagrams = udp::socket(context);
    auto holder = std::unique_ptr<HeldAddress>();
    if (held == kNodeDatagrams) {
      datagrams.open(udp::v4());
      REQUIRE(::fcntl(datagrams.native_handle(), F_SETFD, FD_CLOEXEC) == 0);
      const auto port = std::stoi(address.substr(address.find(':') + 1));
      datagrams.bind({boost::asio::ip::address_v4::loopback(),
                      static_cast<std::uint16_t>(port)});
    } else {
      holder = std::make_unique<HeldAddress>(address);
    }
    node.Start();
    REQUIRE(node.AwaitStart());
    CHECK(RunsOn(node.process()));
    CHECK(node.ServesCallers() == (held != kCallers));
    // Other nodes do not count on one that they or callers cannot reach.
    if (held == kOperators) {
      CHECK(Eventually([&] { return other.ShowsNodes(2); }));
    } else {
      CHECK(other.ShowsNodes(1));
    }
    CHECK(CountOf(node.Log(), "event=listen_waiting address=" + address) == 1);
    CHECK(CountOf(node.Log(), "event=listen_waiting") == 1);
    CHECK(CountOf(node.Log(), "event=listen_regained") == 0);
    holder.reset();
    datagrams.close();
    CHECK(Eventually([&] {
      return node.ServesCallers() && node.ShowsNodes(2) && other.ShowsNodes(2);
    }));
    INFO(node.Log());
    CHECK(CountOf(node.Log(), "event=listen_regained address=" + address) == 1);
    CHECK(Stops(node.process()));
    REQUIRE(Eventually([&] { return other.ShowsNodes(1); }));
  }
}

// Guards against a node that does not stop while it waits for an address.
TEST_CASE("NodeProcess.StopsWhileItWaitsForAnAddress") {
  const auto folder = TestFolder();
  auto node = NodeProcess(folder, "n0");
  for (const auto& address : {node.callers(), node.operators(), node.nodes()}) {
    INFO(address);
    const auto holder = HeldAddress(address);
    node.Start();
    REQUIRE(node.AwaitStart());
    REQUIRE(RunsOn(node.process()));
    CHECK(CountOf(node.Log(), "event=listen_waiting address=" + address) == 1);
    node.process().Signal(SIGHUP);
    CHECK(Stops(node.process()));
  }
}

}  // namespace
}  // namespace kumquatgauge::testing
