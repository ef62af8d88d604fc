// Limits of the requests of organisations over several gateway processes.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "testing/gateway/caller_threads.h"
#include "testing/gateway/fleet.h"

namespace kumquatgauge::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr double kHotRate = 20;
constexpr double kHotBurst = 20;
constexpr double kWindow = 5;  // Seconds.
constexpr double kAllowed = (kHotRate * kWindow + kHotBurst) * 1.1 + 20;

auto CallWithKey(const GatewayProcess& node,
                 const std::string& key,
                 const std::string& target,
                 const std::string& id) -> FetchReply {
  auto request = FetchRequest();
  request.address = node.callers();
  request.method = "POST";
  request.target = target;
  request.headers = {
      {"Host", kGatewayHost}, {"Request-Id", id}, {"X-Api-Key", key}};
  return Fetch(request);
}

// Three gateways with one organisation that is limited and one that sends less
// than its limit.
struct QuotaFleet : Fleet {
  QuotaFleet() : Fleet(3) {
    AwaitService();
    auto configuration = MakeConfiguration(4);
    configuration["tenants"] = {{{"name", "hot"},
                                 {"api_keys", {"hot-key"}},
                                 {"priority", 1},
                                 {"rate_per_s", kHotRate},
                                 {"burst", kHotBurst}},
                                {{"name", "calm"},
                                 {"api_keys", {"calm-key"}},
                                 {"priority", 1},
                                 {"rate_per_s", 100},
                                 {"burst", 100}}};
    store->Put("config/main", configuration);
    for (const auto& node : nodes) {
      REQUIRE(Eventually([&] {
        return CallWithKey(*node, "calm-key", "/plain/x", "warm").status == 200;
      }));
    }
    // The gateways answer for accounts from one second after their start.
    std::this_thread::sleep_for(seconds(1));
  }
};

// What callers of one organisation got.
struct Results {
  auto Add(const FetchReply& reply) -> void {
    const auto lock = std::lock_guard(mutex);
    if (reply.status == 200) {
      accepted.push_back(steady_clock::now());
    } else if (reply.status == 429) {
      ++refused;
      const auto header = reply.headers.find("retry-after");
      refused_without_time +=
          header == reply.headers.end() || std::stod(header->second) <= 0 ? 1
                                                                          : 0;
    } else {
      ++others;
    }
  }
  // Largest number in any window.
  auto MostInWindow() -> double {
    std::sort(accepted.begin(), accepted.end());
    auto most = std::size_t{0};
    auto first = std::size_t{0};
    for (std::size_t last = 0; last < accepted.size(); ++last) {
      while (accepted[last] - accepted[first] >= seconds(5)) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return static_cast<double>(most);
  }

  std::mutex mutex;
  std::vector<steady_clock::time_point> accepted;
  int refused = 0;
  int refused_without_time = 0;
  int others = 0;
};

// Guards against a limit that each gateway applies for itself, and against
// refusals of an organisation because of another one.
TEST_CASE("Gateway.LimitsAnOrganisationOverAllGateways") {
  constexpr auto kTime = seconds(7);
  auto fleet = QuotaFleet();
  auto hot = Results();
  auto calm = Results();
  auto call = [&](int caller, int number) {
    const auto& node =
        *fleet.nodes.at(static_cast<std::size_t>(caller) % fleet.nodes.size());
    const auto is_hot = caller < 6;
    const auto id = "q" + std::to_string(caller) + "-" + std::to_string(number);
    (is_hot ? hot : calm)
        .Add(
            CallWithKey(node, is_hot ? "hot-key" : "calm-key", "/plain/x", id));
    std::this_thread::sleep_for(milliseconds(is_hot ? 40 : 100));
  };
  {
    const auto callers = CallerThreads(9, call);
    std::this_thread::sleep_for(kTime);
  }
  const auto most = hot.MostInWindow();
  INFO("hot: " << hot.accepted.size() << " accepted, " << most
               << " in a window of " << kAllowed << ", " << hot.refused
               << " refused; calm: " << calm.accepted.size() << " accepted, "
               << calm.refused << " refused");
  CHECK(most <= kAllowed);
  CHECK(static_cast<double>(hot.accepted.size()) >=
        0.9 * kHotRate * static_cast<double>(kTime.count()));
  CHECK(hot.refused > 0);
  CHECK(hot.refused_without_time == 0);
  CHECK(hot.others == 0);
  CHECK(calm.accepted.size() > 100);
  CHECK(calm.refused == 0);
  CHECK(calm.others == 0);
  auto refusals = std::size_t{0};
  for (const auto& node : fleet.nodes) {
    for (const auto& line : LinesOf(node->Log(), "event", "quota_refused")) {
      refusals += line.value("organisation", "") == "hot" ? 1 : 0;
    }
  }
  CHECK(refusals >= 1);
  // Rate-limited: at most one line per gateway and organisation in 5 s.
  CHECK(refusals <= 2 * fleet.nodes.size());
}

// Guards against a limit that no longer holds when a gateway, which may be the
// keeper, is killed and started again.
TEST_CASE("Gateway.LimitsAnOrganisationWhileGatewaysAreKilled") {
  auto fleet = QuotaFleet();
  auto hot = Results();
  const auto call = [&](int caller, int number) {
    const auto& node =
        *fleet.nodes.at(static_cast<std::size_t>(caller) % fleet.nodes.size());
    const auto id = "q" + std::to_string(caller) + "-" + std::to_string(number);
    hot.Add(CallWithKey(node, "hot-key", "/plain/x", id));
    std::this_thread::sleep_for(milliseconds(40));
  };
  {
    const auto callers = CallerThreads(6, call);
    for (const auto& node : fleet.nodes) {
      std::this_thread::sleep_for(seconds(1));
      node->process().Signal(SIGKILL);
      static_cast<void>(node->process().WaitForExit(seconds(5)));
      std::this_thread::sleep_for(seconds(3));
      node->Start();
    }
    std::this_thread::sleep_for(seconds(2));
  }
  const auto most = hot.MostInWindow();
  INFO("hot: " << hot.accepted.size() << " accepted, " << most
               << " in a window of " << kAllowed << ", " << hot.refused
               << " refused");
  CHECK(most <= kAllowed);
  CHECK(hot.accepted.size() > 100);
  CHECK(hot.refused > 0);
}

}  // namespace
}  // namespace kumquatgauge::testing
