#include "kumquatgauge/serving/configuration_freshness.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// As in deployments: a removed key must be refused after this time.
constexpr milliseconds kMaxAge{5'000};
constexpr milliseconds kAgeLimit = kMaxAge - kConfigurationAgeMargin;

auto MakeNode(const std::string& id) -> routing::NodeInfo {
  auto node = routing::NodeInfo();
  node.id = NodeId(id);
  node.zone = ZoneName("a");
  node.node_address = id;
  return node;
}

// One host that knows of one other one.
struct Host {
  explicit Host(std::uint64_t seed = 1) : random(seed) {}

  // Sends the queries that are due; returns the nonce of the last one.
  auto Query() -> std::uint64_t {
    const auto queries =
        freshness.TakeQueries({MakeNode("self"), MakeNode("peer")});
    REQUIRE(!queries.empty());
    return queries.back().nonce;
  }

  testing::ManualClock clock;
  std::mt19937_64 random;
  ConfigurationFreshness freshness{NodeId("self"), kMaxAge, clock.AsHook(),
                                   [this] { return random(); }};
};

// Guards against accepting keys before anything shows that the configuration
// is recent: a node that has started may have it from a node that is cut off.
TEST_CASE("ConfigurationFreshness.IsStaleAfterAStart") {
  auto host = Host();
  CHECK(!host.freshness.IsFresh());
  host.freshness.OnApplied(3);
  CHECK(!host.freshness.IsFresh());
  CHECK(host.freshness.statement() == std::nullopt);
  CHECK(host.freshness.OnStatement(3, host.clock.now()));
  CHECK(host.freshness.IsFresh());
}

// Guards against a removed key that is accepted after the limit.
TEST_CASE("ConfigurationFreshness.IsStaleAfterTheLimit") {
  auto host = Host();
  host.freshness.OnApplied(3);
  host.freshness.OnStatement(3, host.clock.now());
  host.clock.Advance(kAgeLimit);
  CHECK(host.freshness.IsFresh());
  host.clock.Advance(milliseconds(1));
  CHECK(!host.freshness.IsFresh());
  CHECK(host.freshness.age() == kAgeLimit + milliseconds(1));
}

// Guards against a slow read that counts from its end: a change may have been
// stored after the store had answered it.
TEST_CASE("ConfigurationFreshness.CountsAReadFromItsBeginning") {
  auto host = Host();
  host.freshness.OnApplied(3);
  const auto begun = host.clock.now();
  host.clock.Advance(seconds(4));
  CHECK(host.freshness.OnStatement(3, begun));
  CHECK(host.freshness.age() == seconds(4));
}

// Guards against a host that was suspended while an answer lay in its socket:
// the answer is as old as the suspension.
TEST_CASE("ConfigurationFreshness.CountsTheTimeOfASuspension") {
  auto host = Host();
  host.freshness.OnApplied(3);
  const auto nonce = host.Query();
  host.clock.Advance(seconds(30));
  CHECK(!host.freshness.IsFresh());
  host.freshness.OnAnswer(nonce, {3, milliseconds(0)});
  CHECK(!host.freshness.IsFresh());
  CHECK(host.freshness.age().value() >= seconds(30));
}

// Guards against the answer of a node that was suspended while the question lay
// in its socket: it adds that time to its age when it answers.
TEST_CASE("ConfigurationFreshness.AnswersWithTheTimeOfASuspension") {
  auto peer = Host();
  peer.freshness.OnApplied(3);
  peer.freshness.OnStatement(3, peer.clock.now());
  peer.clock.Advance(seconds(30));
  CHECK(peer.freshness.statement() == FreshnessStatement{3, seconds(30)});
}

// Guards against an answer that is younger for its delay, or counts again.
TEST_CASE("ConfigurationFreshness.CountsDelayedAndRepeatedAnswersOnce") {
  auto host = Host();
  host.freshness.OnApplied(3);
  const auto nonce = host.Query();
  host.clock.Advance(seconds(2));
  CHECK(host.freshness.OnAnswer(nonce, {3, milliseconds(500)}));
  CHECK(host.freshness.age() == milliseconds(2'500));
  host.clock.Advance(seconds(1));
  CHECK(!host.freshness.OnAnswer(nonce, {3, milliseconds(0)}));
  CHECK(host.freshness.age() == milliseconds(3'500));
}

// Guards against an older answer that arrives after a newer one.
TEST_CASE("ConfigurationFreshness.KeepsTheNewestStatement") {
  auto host = Host();
  host.freshness.OnApplied(3);
  const auto first = host.Query();
  host.clock.Advance(seconds(1));
  const auto second = host.Query();
  CHECK(host.freshness.OnAnswer(second, {3, milliseconds(100)}));
  host.freshness.OnAnswer(first, {3, milliseconds(0)});
  CHECK(host.freshness.age() == milliseconds(100));
}

// Guards against an answer to a query that a process sent before it was
// restarted, whose time this one does not know.
TEST_CASE("ConfigurationFreshness.IgnoresAnswersToAnEarlierStart") {
  auto before = Host(1);
  before.freshness.OnApplied(3);
  const auto nonce = before.Query();
  auto after = Host(2);
  after.freshness.OnApplied(3);
  after.Query();
  CHECK(!after.freshness.OnAnswer(nonce, {3, milliseconds(0)}));
  CHECK(!after.freshness.IsFresh());
}

// Guards against ages that make a statement lie in the future or overflow.
TEST_CASE("ConfigurationFreshness.IgnoresImplausibleAges") {
  auto host = Host();
  host.freshness.OnApplied(3);
  const auto nonce = host.Query();
  CHECK(!host.freshness.OnAnswer(nonce, {3, milliseconds(-1)}));
  CHECK(!host.freshness.OnAnswer(nonce, {3, Duration::max()}));
  CHECK(!host.freshness.IsFresh());
}

// Guards against a statement about a version that this node has not applied
// yet: it may be the one that removes a key.
TEST_CASE("ConfigurationFreshness.WaitsForTheVersionOfAStatement") {
  auto host = Host();
  host.freshness.OnApplied(3);
  CHECK(host.freshness.OnStatement(5, host.clock.now()));
  CHECK(!host.freshness.IsFresh());
  host.clock.Advance(seconds(1));
  host.freshness.OnApplied(4);
  CHECK(!host.freshness.IsFresh());
  host.freshness.OnApplied(6);
  CHECK(host.freshness.age() == seconds(1));
  CHECK(host.freshness.statement() == FreshnessStatement{5, seconds(1)});
}

// Guards against a store that goes back to an older configuration, which this
// node does not apply: what that one says of keys is not in force here.
TEST_CASE("ConfigurationFreshness.IgnoresAnOlderVersionAfterANewerOne") {
  auto host = Host();
  host.freshness.OnApplied(3);
  const auto before = host.clock.now();
  host.clock.Advance(milliseconds(10));
  host.freshness.OnApplied(5);
  // True when version 5 was not stored yet.
  CHECK(host.freshness.OnStatement(3, before));
  CHECK(host.freshness.age() == milliseconds(10));
  host.clock.Advance(milliseconds(10));
  CHECK(!host.freshness.OnStatement(3, host.clock.now()));
  CHECK(host.freshness.age() == milliseconds(20));
}

// Guards against memory that grows with statements of versions that never
// arrive, and against losing the next version among them.
TEST_CASE("ConfigurationFreshness.KeepsTheNextVersionAmongManyUnknownOnes") {
  auto host = Host();
  host.freshness.OnApplied(3);
  for (auto version = std::uint64_t{1'000}; version > 3; --version) {
    host.freshness.OnStatement(version, host.clock.now());
  }
  host.freshness.OnApplied(4);
  CHECK(host.freshness.IsFresh());
}

// --- Several hosts with a store and a network.

struct SimulationSettings {
  int hosts = 12;
  int zones = 3;
  Duration max_age = kMaxAge;
  std::uint64_t seed = 1;
};

// Hosts whose clocks differ by up to an hour. Datagrams and calls of the store
// take a short random time.
class Simulation {
 public:
  explicit Simulation(const SimulationSettings& settings)
      : settings_(settings), random_(settings.seed) {
    for (auto at = 0; at < settings.hosts; ++at) {
      auto node = MakeNode("n" + std::to_string(at));
      node.zone = ZoneName(std::to_string(at % settings.zones));
      live_.push_back(std::move(node));
      clock_offsets_.emplace_back(
          milliseconds(std::uniform_int_distribution(0, 3'600'000)(random_)));
      hosts_.emplace_back();
      Start(at);
    }
  }

  // Runs a host from its start, which knows the version of the configuration
  // from another one.
  auto Start(int at) -> void {
    auto& host = hosts_[at];
    ++host.starts;
    host.freshness = std::make_unique<ConfigurationFreshness>(
        live_[at].id, settings_.max_age,
        [this, at] { return now_ + clock_offsets_[at]; },
        [this] { return random_(); });
    host.applied = 0;
    Apply(at, version_);
  }

  auto Advance(Duration duration) -> void {
    const auto last = now_ + duration;
    while (now_ < last) {
      now_ += milliseconds(5);
      while (!events_.empty() && events_.begin()->first <= now_) {
        const auto event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
      }
      for (auto at = 0; at < settings_.hosts; ++at) {
        if (!hosts_[at].suspended) {
          Tick(at);
        }
      }
    }
  }

  // Stores a version, which the hosts that can be reached apply a little later.
  auto Store(bool spread = true) -> void {
    ++version_;
    stored_at_ = now_;
    for (auto at = 0; spread && at < settings_.hosts; ++at) {
      Deliver(at, [this, at, version = version_] { Apply(at, version); });
    }
  }

  auto Resume(int at) -> void {
    hosts_[at].suspended = false;
    for (const auto& event : std::exchange(hosts_[at].socket, {})) {
      event();
    }
  }

  // Whether a host accepts keys although it lacks a version that was stored
  // longer ago than allowed.
  auto BreaksLimit(int at) const -> bool {
    const auto& host = hosts_[at];
    return host.applied < version_ && now_ - stored_at_ > settings_.max_age &&
           host.freshness->IsFresh();
  }

  auto FreshCount() const -> int {
    return static_cast<int>(std::count_if(
        hosts_.begin(), hosts_.end(),
        [](const auto& host) { return host.freshness->IsFresh(); }));
  }

  auto OldestAge() const -> Duration {
    auto oldest = Duration::zero();
    for (const auto& host : hosts_) {
      oldest =
          std::max(oldest, host.freshness->age().value_or(Duration::max()));
    }
    return oldest;
  }

  auto IsFresh(int at) const -> bool { return hosts_[at].freshness->IsFresh(); }
  auto set_suspended(int at) -> void { hosts_[at].suspended = true; }
  auto set_store_down(bool down) -> void { store_down_ = down; }
  auto SetStoreDown(int at, bool down) -> void { hosts_[at].store_down = down; }
  auto SetCutOff(int at, bool cut_off) -> void { hosts_[at].cut_off = cut_off; }
  auto set_loss(double share) -> void { loss_ = share; }
  auto reads() const -> int { return reads_; }
  auto datagrams() const -> int { return datagrams_; }
  auto ResetCounts() -> void { reads_ = datagrams_ = 0; }

 private:
  struct SimulatedHost {
    std::unique_ptr<ConfigurationFreshness> freshness;
    std::uint64_t applied = 0;
    int starts = 0;
    bool suspended = false;
    bool store_down = false;
    bool cut_off = false;  // From all other hosts.
    MonotonicTime next_tick{};
    std::vector<std::function<auto()->void>> socket;
  };

  auto Apply(int at, std::uint64_t version) -> void {
    if (version > hosts_[at].applied) {
      hosts_[at].applied = version;
      hosts_[at].freshness->OnApplied(version);
    }
  }

  auto Tick(int at) -> void {
    auto& host = hosts_[at];
    if (now_ < host.next_tick) {
      return;
    }
    host.next_tick = now_ + host.freshness->tick();
    if (host.freshness->IsQueryDue()) {
      for (const auto& query : host.freshness->TakeQueries(live_)) {
        Ask(at, query);
      }
    }
    if (host.freshness->IsReadDue()) {
      host.freshness->OnReadBegun();
      Read(at);
    }
  }

  auto Ask(int from, const FreshnessQuery& query) -> void {
    const auto to = std::stoi(query.address.substr(1));
    const auto age = hosts_[from].freshness->age();
    Send(from, to, [this, from, to, age, nonce = query.nonce] {
      auto& freshness = *hosts_[to].freshness;
      const auto answer = freshness.statement();
      const auto back =
          age ? freshness.OnQuery("n" + std::to_string(from), *age)
              : std::nullopt;
      if (back) {
        Ask(to, *back);
      }
      if (answer) {
        Send(to, from, [this, from, nonce, answer = *answer] {
          hosts_[from].freshness->OnAnswer(nonce, answer);
        });
      }
    });
  }

  auto Send(int from, int to, std::function<auto()->void> receive) -> void {
    ++datagrams_;
    const auto lost = std::uniform_real_distribution<>(0, 1)(random_) < loss_;
    if (!lost && !hosts_[from].cut_off && !hosts_[to].cut_off) {
      Deliver(to, std::move(receive));
    }
  }

  auto Read(int at) -> void {
    ++reads_;
    auto& host = hosts_[at];
    const auto begun = now_ + clock_offsets_[at];
    const auto failed = store_down_ || host.store_down;
    const auto version = version_;
    Deliver(at, [this, at, begun, failed, version] {
      auto counted = false;
      if (!failed) {
        Apply(at, version);
        counted = hosts_[at].freshness->OnStatement(version, begun);
      }
      hosts_[at].freshness->OnReadEnded(counted);
    });
  }

  // Runs an event at a host, or keeps it in its socket while it is suspended.
  // A restarted host does not get it.
  auto Deliver(int at, std::function<auto()->void> event) -> void {
    const auto delay =
        milliseconds(std::uniform_int_distribution(1, 10)(random_));
    events_.emplace(now_ + delay, [this, at, starts = hosts_[at].starts,
                                   event = std::move(event)] {
      if (hosts_[at].starts != starts) {
        return;
      }
      if (hosts_[at].suspended) {
        hosts_[at].socket.push_back(event);
      } else {
        event();
      }
    });
  }

  SimulationSettings settings_;
  std::mt19937_64 random_;
  MonotonicTime now_{seconds(100)};
  std::multimap<MonotonicTime, std::function<auto()->void>> events_;
  std::vector<routing::NodeInfo> live_;
  std::vector<Duration> clock_offsets_;
  std::vector<SimulatedHost> hosts_;
  std::uint64_t version_ = 1;
  MonotonicTime stored_at_;
  double loss_ = 0;
  bool store_down_ = false;
  int reads_ = 0;
  int datagrams_ = 0;
};

// Guards against a load on the store that grows with the number of hosts, and
// against hosts that are stale without a fault.
TEST_CASE("ConfigurationFreshness.ReadsTheStoreRarelyInCalm") {
  const auto hosts = GENERATE(1, 2, 12, 88);
  const auto seed = GENERATE(1, 2, 3);
  auto simulation =
      Simulation({.hosts = hosts, .seed = static_cast<std::uint64_t>(seed)});
  simulation.Advance(seconds(5));
  CHECK(simulation.FreshCount() == hosts);
  simulation.ResetCounts();
  constexpr seconds kTime{60};
  auto oldest = Duration::zero();
  for (auto second = seconds(0); second < kTime; ++second) {
    simulation.Advance(seconds(1));
    oldest = std::max(oldest, simulation.OldestAge());
    CHECK(simulation.FreshCount() == hosts);
  }
  CAPTURE(hosts, seed, simulation.reads(), simulation.datagrams(),
          std::chrono::duration_cast<milliseconds>(oldest).count());
  // One read each 1.2 s; at most a quarter more.
  CHECK(simulation.reads() <= kTime / milliseconds(1'200) * 5 / 4);
}

// Prints the cost for docs/operators.md.
TEST_CASE("ConfigurationFreshness.CostByHosts", "[.cost]") {
  const auto hosts = GENERATE(88, 300, 1'000);
  auto simulation = Simulation({.hosts = hosts});
  simulation.Advance(seconds(5));
  simulation.ResetCounts();
  auto oldest = Duration::zero();
  for (auto part = 0; part < 400; ++part) {
    simulation.Advance(milliseconds(50));
    oldest = std::max(oldest, simulation.OldestAge());
  }
  WARN(hosts << " hosts: " << simulation.reads() / 20.0 << " reads/s, "
             << simulation.datagrams() / 20.0 << " datagrams/s, oldest age "
             << std::chrono::duration_cast<milliseconds>(oldest).count()
             << " ms");
}

// Guards against keys that are refused because some datagrams are lost.
TEST_CASE("ConfigurationFreshness.StaysFreshWhenDatagramsAreLost") {
  const auto seed = GENERATE(range(1, 6));
  auto simulation =
      Simulation({.hosts = 20, .seed = static_cast<std::uint64_t>(seed)});
  simulation.Advance(seconds(5));
  simulation.set_loss(0.3);
  for (auto second = 0; second < 30; ++second) {
    simulation.Advance(seconds(1));
    CHECK(simulation.FreshCount() == 20);
  }
}

// Guards against hosts that refuse keys although only their own way to the
// store is lost, whichever hosts that are.
TEST_CASE("ConfigurationFreshness.OthersKeepHostsWithoutTheStoreFresh") {
  const auto [hosts, reader] = GENERATE(table<int, int>(
      {{20, 0},  {20, 1},  {20, 2},  {20, 3},  {20, 4},  {20, 5},  {20, 6},
       {20, 7},  {20, 8},  {20, 9},  {20, 10}, {20, 11}, {20, 12}, {20, 13},
       {20, 14}, {20, 15}, {20, 16}, {20, 17}, {20, 18}, {20, 19}, {88, 0},
       {88, 11}, {88, 22}, {88, 33}, {88, 44}, {88, 55}, {88, 66}, {88, 77}}));
  auto simulation = Simulation({.hosts = hosts});
  simulation.Advance(seconds(5));
  for (auto at = 0; at < hosts; ++at) {
    simulation.SetStoreDown(at, at != reader);
  }
  for (auto second = 0; second < 30; ++second) {
    simulation.Advance(seconds(1));
    CAPTURE(hosts, reader, second);
    CHECK(simulation.FreshCount() == hosts);
  }
}

// Guards against a host that goes on with old keys, or refuses keys for long
// after the fault, when it is cut off from all others but not from the store.
TEST_CASE("ConfigurationFreshness.AHostWithoutOthersReadsTheStoreItself") {
  auto simulation = Simulation({});
  simulation.Advance(seconds(5));
  simulation.SetCutOff(4, true);
  for (auto second = 0; second < 30; ++second) {
    simulation.Advance(seconds(1));
    CHECK(simulation.FreshCount() == 12);
  }
}

// Guards against keys that are accepted while nobody can read the store, and
// against reads that flood the store when it is back.
TEST_CASE("ConfigurationFreshness.AllRefuseKeysWithoutTheStore") {
  constexpr auto kHosts = 88;
  auto simulation = Simulation({.hosts = kHosts});
  simulation.Advance(seconds(5));
  simulation.set_store_down(true);
  simulation.Advance(kMaxAge);
  CHECK(simulation.FreshCount() == 0);
  simulation.ResetCounts();
  simulation.Advance(seconds(10));
  CAPTURE(simulation.reads());
  CHECK(simulation.reads() <= 10 * 100);
  CHECK(simulation.FreshCount() == 0);
  simulation.set_store_down(false);
  simulation.Advance(seconds(3));
  CHECK(simulation.FreshCount() == kHosts);
}

// Guards against the use of a removed key after the limit by a host that is cut
// off, suspended and continued, restarted, or told by others of the age of a
// version that it lacks; at random, with clocks that differ.
TEST_CASE("ConfigurationFreshness.NoHostUsesARemovedKeyAfterTheLimit") {
  constexpr auto kHosts = 9;
  const auto seed = GENERATE(range(1, 41));
  const auto max_age = GENERATE(milliseconds(1'500), milliseconds(5'000));
  CAPTURE(seed, max_age.count());
  auto random = std::mt19937_64(static_cast<std::uint64_t>(seed));
  auto simulation = Simulation({.hosts = kHosts,
                                .max_age = max_age,
                                .seed = static_cast<std::uint64_t>(seed)});
  simulation.Advance(seconds(3));
  auto suspended = std::set<int>();
  auto broken = 0;
  for (auto step = 0; step < 200; ++step) {
    const auto at = static_cast<int>(random() % kHosts);
    switch (random() % 8) {
      case 0:
        simulation.SetStoreDown(at, random() % 2 == 0);
        break;
      case 1:
        simulation.SetCutOff(at, random() % 2 == 0);
        break;
      case 2:
        if (suspended.insert(at).second) {
          simulation.set_suspended(at);
        }
        break;
      case 3:
        for (const auto host : std::exchange(suspended, {})) {
          simulation.Resume(host);
        }
        break;
      case 4:
        simulation.set_store_down(random() % 4 == 0);
        break;
      case 5:
        if (!suspended.contains(at)) {
          simulation.Start(at);
        }
        break;
      default:
        // Some versions reach the hosts by their reads only.
        simulation.Store(random() % 2 == 0);
        simulation.set_loss(random() % 2 == 0 ? 0.2 : 0);
        break;
    }
    const auto steps = random() % 60;
    for (auto part = std::uint64_t{0}; part < steps; ++part) {
      simulation.Advance(milliseconds(25));
      for (auto host = 0; host < kHosts; ++host) {
        broken += simulation.BreaksLimit(host) ? 1 : 0;
      }
    }
  }
  CHECK(broken == 0);
}

// Guards against a host that accepts keys right after a suspension, before it
// has heard of the changes in between, with answers in its socket.
TEST_CASE("ConfigurationFreshness.AResumedHostIsStaleUntilItIsTold") {
  auto simulation = Simulation({});
  simulation.Advance(seconds(5));
  simulation.set_suspended(3);
  simulation.Advance(milliseconds(600));
  simulation.Store();
  simulation.Advance(seconds(20));
  CHECK(!simulation.IsFresh(3));
  simulation.Resume(3);
  CHECK(!simulation.BreaksLimit(3));
  simulation.Advance(seconds(1));
  CHECK(simulation.IsFresh(3));
  CHECK(!simulation.BreaksLimit(3));
}

}  // namespace
}  // namespace kumquatgauge::serving
