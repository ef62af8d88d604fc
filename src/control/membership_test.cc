#include "kumquatgauge/control/membership.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20240611;
constexpr milliseconds kStep{10};
constexpr int kZones = 6;

// Nodes that exchange messages through a simulated network with a manual clock.
class Network {
 public:
  explicit Network(std::size_t size) : random_(kSeed) {
    INFO("seed " << kSeed);
    for (std::size_t i = 0; i < size; ++i) {
      hosts_.push_back(std::make_unique<Host>());
    }
    for (std::size_t i = 0; i < size; ++i) {
      Boot(i);
    }
  }

  static auto Address(std::size_t i) -> std::string {
    return "10.0.0.0:" + std::to_string(i);
  }
  static auto Id(std::size_t i) -> NodeId {
    return NodeId("node-" + std::to_string(i));
  }

  auto size() const -> std::size_t { return hosts_.size(); }
  auto at(std::size_t i) -> Membership& { return *hosts_[i]->membership; }
  auto restarts(std::size_t i) const -> int { return hosts_[i]->restarts; }

  // Starts node `i` as a fresh process that knows the first three nodes.
  auto Boot(std::size_t i) -> void {
    routing::NodeInfo self;
    self.id = Id(i);
    self.zone = ZoneName("zone-" + std::to_string(i % kZones));
    self.node_address = Address(i);
    self.caller_address = Address(i) + "0";
    hosts_[i]->membership = std::make_unique<Membership>(
        self,
        std::vector<std::string>{Address(0), Address(1 % size()),
                                 Address(2 % size())},
        clock_.AsHook(),
        [this] {
          return WallTime(std::chrono::duration_cast<WallTime::duration>(
              clock_.now().time_since_epoch()));
        },
        [this] { return random_(); });
    hosts_[i]->up = true;
    Run(i, at(i).Start());
  }

  auto Kill(std::size_t i) -> void { hosts_[i]->up = false; }
  auto Freeze(std::size_t i, bool frozen) -> void {
    hosts_[i]->frozen = frozen;
  }
  auto SetDelay(std::size_t i, milliseconds delay) -> void {
    hosts_[i]->delay = delay;
  }
  // Decides whether a message from one node to another is lost.
  auto set_loss(std::function<auto(std::size_t, std::size_t)->bool> loss)
      -> void {
    loss_ = std::move(loss);
  }

  auto Run(std::size_t i, const MembershipActions& actions) -> void {
    hosts_[i]->restarts += actions.restarted ? 1 : 0;
    for (const auto& [address, message] : actions.datagrams) {
      ++datagrams;
      records += message.records.size();
      Post(i, IndexOf(address), [this, i, message](std::size_t to) {
        Run(to, at(to).OnMessage(message, Address(i)));
      });
    }
    for (const auto& [address, request] : actions.syncs) {
      Call(i, address, request);
    }
  }

  // Advances the time until `done` or `limit`; returns the time taken, or
  // nothing if it was not reached.
  auto RunUntil(const std::function<auto()->bool>& done, milliseconds limit)
      -> std::optional<milliseconds> {
    for (auto time = milliseconds(0); time <= limit; time += kStep) {
      if (done()) {
        return time;
      }
      Step();
    }
    return std::nullopt;
  }
  auto RunFor(milliseconds time) -> void {
    RunUntil([] { return false; }, time);
  }

  // Whether every node that is up sees exactly these nodes as live, and their
  // present incarnations.
  auto AllSee(const std::set<std::size_t>& live) -> bool {
    std::vector<routing::NodeInfo> expected;
    for (auto i : live) {
      expected.push_back(at(i).self());
    }
    std::sort(expected.begin(), expected.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    return std::all_of(live.begin(), live.end(),
                       [&](auto i) { return at(i).live() == expected; });
  }
  auto All() const -> std::set<std::size_t> {
    std::set<std::size_t> all;
    for (std::size_t i = 0; i < size(); ++i) {
      all.insert(i);
    }
    return all;
  }
  auto Restarts() const -> int {
    auto total = 0;
    for (const auto& host : hosts_) {
      total += host->restarts;
    }
    return total;
  }
  auto Random() -> std::uint64_t { return random_(); }

  std::uint64_t datagrams = 0;
  std::uint64_t records = 0;

 private:
  struct Host {
    std::unique_ptr<Membership> membership;
    bool up = false;
    bool frozen = false;
    milliseconds delay{0};
    int restarts = 0;
    std::vector<std::function<auto()->void>> held;  // While frozen.
  };
  struct Event {
    MonotonicTime time;
    std::uint64_t order;
    std::size_t to;
    std::function<auto(std::size_t)->void> deliver;
    auto operator>(const Event& other) const -> bool {
      return std::pair(time, order) > std::pair(other.time, other.order);
    }
  };

  static auto IndexOf(const std::string& address) -> std::size_t {
    return std::stoul(address.substr(address.find(':') + 1));
  }

  auto Post(std::size_t from,
            std::size_t to,
            std::function<auto(std::size_t)->void> deliver) -> void {
    if (loss_ && loss_(from, to)) {
      return;
    }
    const auto latency = milliseconds(1 + random_() % 3) + hosts_[from]->delay;
    events_.push({clock_.now() + latency, order_++, to, std::move(deliver)});
  }

  // One exchange over a stream; fails after a second without an answer.
  auto Call(std::size_t from, const std::string& address, SyncRequest request)
      -> void {
    const auto to = IndexOf(address);
    auto answered = std::make_shared<bool>(false);
    const auto* caller = hosts_[from]->membership.get();
    Post(from, to, [=, this](std::size_t) {
      SyncResponse response;
      Run(to, at(to).OnSyncRequest(request, response));
      Post(to, from, [=, this](std::size_t) {
        if (!*answered && caller == &at(from)) {
          *answered = true;
          Run(from, at(from).OnSyncResponse(address, response));
        }
      });
    });
    events_.push(
        {clock_.now() + seconds(1), order_++, from, [=, this](std::size_t) {
           if (!*answered && caller == &at(from)) {
             *answered = true;
             Run(from, at(from).OnSyncFailed(address));
           }
         }});
  }

  auto Step() -> void {
    clock_.Advance(kStep);
    while (!events_.empty() && events_.top().time <= clock_.now()) {
      const auto event = events_.top();
      events_.pop();
      auto& host = *hosts_[event.to];
      if (host.frozen) {
        host.held.push_back([event] { event.deliver(event.to); });
      } else if (host.up) {
        event.deliver(event.to);
      }
    }
    for (std::size_t i = 0; i < size(); ++i) {
      auto& host = *hosts_[i];
      if (!host.up || host.frozen) {
        continue;
      }
      for (const auto& deliver : std::exchange(host.held, {})) {
        deliver();
      }
      if ((clock_.now().time_since_epoch() / kStep + i) %
              static_cast<std::size_t>(kMembershipTick / kStep) ==
          0) {
        Run(i, at(i).OnTick());
      }
    }
  }

  testing::ManualClock clock_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::function<auto(std::size_t, std::size_t)->bool> loss_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0;
};

auto Without(std::set<std::size_t> all, std::size_t i)
    -> std::set<std::size_t> {
  all.erase(i);
  return all;
}

// Guards against nodes that miss each other when a fleet starts as a whole, and
// against a death that some node learns of late.
TEST_CASE("Membership.KnowsDeathWithinThreeSecondsAfterStartOfAll") {
  const auto size = GENERATE(std::size_t{8}, std::size_t{32}, std::size_t{330});
  Network network(size);
  const auto joined = network.RunUntil(
      [&] { return network.AllSee(network.All()); }, seconds(30));
  REQUIRE(joined);
  network.RunFor(seconds(12));
  CHECK(network.AllSee(network.All()));
  const auto datagrams = network.datagrams;
  network.RunFor(seconds(10));
  std::cout << size << " nodes: all joined in " << joined->count() << " ms, "
            << (network.datagrams - datagrams) / 10 / size
            << " datagrams/s per node";
  const auto victim = size / 2;
  network.Kill(victim);
  const auto rest = Without(network.All(), victim);
  const auto dead =
      network.RunUntil([&] { return network.AllSee(rest); }, seconds(10));
  REQUIRE(dead);
  std::cout << ", death known in " << dead->count() << " ms (seed " << kSeed
            << ")\n";
  CHECK(*dead <= seconds(3));
  CHECK(network.Restarts() == 0);
  const auto why = network.at(0).Explain(Network::Id(victim));
  INFO(why);
  CHECK(why.find("is dead: declared by node-") != std::string::npos);
}

}  // namespace
}  // namespace kumquatgauge::control
