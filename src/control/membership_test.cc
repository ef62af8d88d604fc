#include "kumquatgauge/control/membership.h"

#include <catch2/catch.hpp>
#include <cstdlib>
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

// Environment variable KQG_SEED overrides the seed.
auto Seed() -> std::uint64_t {
  const auto* text = std::getenv("KQG_SEED");
  return text == nullptr ? 20240611 : std::stoull(text);
}

const std::uint64_t kSeed = Seed();
constexpr milliseconds kStep{10};
constexpr int kZones = 6;
// Time from the last start, or from the end of a partition, within which nodes
// that reach each other form one fleet (docs/design.md, section 10).
constexpr seconds kFormationLimit{3};

// Nodes that exchange messages through a simulated network with a manual clock.
class Network {
 public:
  explicit Network(std::size_t size) : Network(size, kSeed) {
    for (std::size_t i = 0; i < size; ++i) {
      Boot(i);
    }
  }
  // A network whose nodes are not started yet.
  Network(std::size_t size, std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < size; ++i) {
      hosts_.push_back(std::make_unique<Host>());
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

  // Starts node `i` as a new process with the first three nodes as seeds.
  auto Boot(std::size_t i) -> void {
    Boot(i, {Address(0), Address(1 % size()), Address(2 % size())});
  }
  auto Boot(std::size_t i, std::vector<std::string> seeds) -> void {
    routing::NodeInfo self;
    self.id = Id(i);
    self.zone = ZoneName("zone-" + std::to_string(i % kZones));
    self.node_address = Address(i);
    self.caller_address = Address(i) + "0";
    hosts_[i]->membership = std::make_unique<Membership>(
        self, std::move(seeds), clock_.AsHook(),
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

  // Decides whether an exchange over a stream ends without any result.
  auto set_hang(std::function<auto()->bool> hang) -> void {
    hang_ = std::move(hang);
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

  // Advances the clock until `done` returns true. Returns the time taken, or
  // nullopt if `limit` was exceeded.
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

  // Returns whether each of these nodes sees exactly these nodes as live, with
  // their current incarnations.
  auto AllSee(const std::set<std::size_t>& live) -> bool {
    std::vector<routing::NodeInfo> expected;
    expected.reserve(live.size());
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
  // Returns whether node `i` has node `j` recorded in `state`.
  auto Sees(std::size_t i, std::size_t j, MemberState state) -> bool {
    const auto record = at(i).Find(Id(j));
    return record && record->state == state;
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

  // Simulates one exchange over a stream. Fails at once if nothing listens at
  // the address, and after a second without a response.
  auto Call(std::size_t from,
            const std::string& address,
            const SyncRequest& request) -> void {
    if (hang_ && hang_()) {
      return;
    }
    const auto to = IndexOf(address);
    auto answered = std::make_shared<bool>(false);
    const auto* caller = hosts_[from]->membership.get();
    const auto limit =
        hosts_[to]->membership ? milliseconds(seconds(1)) : milliseconds(1);
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
    events_.push({clock_.now() + limit, order_++, from, [=, this](std::size_t) {
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
  std::function<auto()->bool> hang_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0;
};

auto Without(std::set<std::size_t> all, std::size_t i)
    -> std::set<std::size_t> {
  all.erase(i);
  return all;
}

// Guards against nodes that do not find each other when the whole fleet starts
// at once, and against a death that some node learns of too late.
TEST_CASE("Membership.DetectsDeathWithinThreeSecondsAfterFleetStart") {
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

// Returns a fleet in which all nodes know each other.
auto Formed(std::size_t size) -> std::unique_ptr<Network> {
  auto network = std::make_unique<Network>(size);
  REQUIRE(network->RunUntil([&] { return network->AllSee(network->All()); },
                            seconds(30)));
  network->RunFor(seconds(5));
  return network;
}

// Guards against healthy nodes being declared dead because their messages are
// delayed or some datagrams are lost.
TEST_CASE("Membership.KeepsSlowMembersUnderLoss") {
  const auto network = Formed(32);
  network->set_loss(
      [&](std::size_t, std::size_t) { return network->Random() % 100 < 5; });
  for (std::size_t i = 0; i < 8; ++i) {
    network->SetDelay(i * 4, milliseconds(400));
  }
  network->RunFor(seconds(120));
  CHECK(network->Restarts() == 0);
  CHECK(network->AllSee(network->All()));
}

// Guards against a death declared by the only monitor that receives no
// heartbeats.
TEST_CASE("Membership.KeepsMemberUnderOneWayLossToItsMonitors") {
  const auto network = Formed(8);
  const auto monitors = network->at(3).MonitorsOf(Network::Id(3));
  REQUIRE(monitors.size() == kMonitorsPerNode);
  network->set_loss([&](std::size_t from, std::size_t to) {
    return from == 3 && Network::Id(to) == monitors[0];
  });
  network->RunFor(seconds(30));
  CHECK(network->Restarts() == 0);
  CHECK(network->AllSee(network->All()));
  for (std::size_t i = 0; i < network->size(); ++i) {
    if (Network::Id(i) == monitors[0]) {
      const auto why = network->at(i).Explain(Network::Id(3));
      INFO(why);
      CHECK(why.find("slow") != std::string::npos);
    }
  }
}

// Guards against a node that cannot send but continues to act as a member.
TEST_CASE("Membership.TellsMemberThatCannotSendOfItsDeath") {
  const auto network = Formed(8);
  network->set_loss([](std::size_t from, std::size_t) { return from == 5; });
  const auto rest = Without(network->All(), 5);
  REQUIRE(network->RunUntil(
      [&] { return network->Sees(0, 5, MemberState::kDead); }, seconds(5)));
  CHECK(
      network->RunUntil([&] { return network->restarts(5) > 0; }, seconds(2)));
  network->set_loss(nullptr);
  CHECK(network->RunUntil([&] { return network->AllSee(network->All()); },
                          seconds(20)));
}

// Guards against two sides of a partition that never find each other again, and
// against a node that keeps an incarnation that the other side declared dead.
TEST_CASE("Membership.HealsAfterPartition") {
  const auto size = GENERATE(std::size_t{8}, std::size_t{32});
  const auto network = Formed(size);
  const auto side = [&](std::size_t i) { return i < size / 4; };
  std::set<std::size_t> left;
  std::set<std::size_t> right;
  std::vector<Incarnation> before;
  for (std::size_t i = 0; i < size; ++i) {
    (side(i) ? left : right).insert(i);
    before.push_back(network->at(i).self().incarnation);
  }
  network->set_loss(
      [&](std::size_t from, std::size_t to) { return side(from) != side(to); });
  CHECK(network->RunUntil(
      [&] { return network->AllSee(left) && network->AllSee(right); },
      seconds(60)));
  CHECK(network->Restarts() == 0);
  network->RunFor(seconds(60));
  network->set_loss(nullptr);
  const auto healed = network->RunUntil(
      [&] { return network->AllSee(network->All()); }, seconds(60));
  REQUIRE(healed);
  std::cout << size << " nodes: partition healed in " << healed->count()
            << " ms, " << network->Restarts() << " restarts (seed " << kSeed
            << ")\n";
  for (std::size_t i = 0; i < size; ++i) {
    CHECK(network->at(i).self().incarnation > before[i]);
  }
  const auto restarts = network->Restarts();
  network->RunFor(seconds(30));
  CHECK(network->AllSee(network->All()));
  CHECK(network->Restarts() == restarts);
}

// Guards against a node that was cut off and makes healthy nodes restart when
// it returns.
TEST_CASE("Membership.RestartsOnlyTheNodeThatWasCutOff") {
  const auto network = Formed(32);
  network->set_loss(
      [](std::size_t from, std::size_t to) { return from == 9 || to == 9; });
  network->RunFor(seconds(20));
  network->set_loss(nullptr);
  const auto healed = network->RunUntil(
      [&] { return network->AllSee(network->All()); }, seconds(30));
  REQUIRE(healed);
  const auto healed_ms = healed.value_or(milliseconds(0)).count();
  network->RunFor(seconds(15));
  CHECK(network->AllSee(network->All()));
  CHECK(network->restarts(9) >= 1);
  CHECK(network->Restarts() == network->restarts(9));
  std::cout << "one node cut off: healed in " << healed_ms << " ms, "
            << network->Restarts() << " restarts (seed " << kSeed << ")\n";
}

// Guards against a resumed node that acts under an incarnation declared dead.
TEST_CASE("Membership.RejoinsUnderNewIncarnationAfterFreeze") {
  const auto network = Formed(8);
  const auto before = network->at(2).self().incarnation;
  network->Freeze(2, true);
  const auto rest = Without(network->All(), 2);
  CHECK(network->RunUntil(
      [&] { return network->Sees(0, 2, MemberState::kDead); }, seconds(4)));
  network->Freeze(2, false);
  network->RunFor(kMembershipTick);
  CHECK(network->at(2).self().incarnation > before);
  CHECK_FALSE(network->at(0).IsLive(Network::Id(2), before));
  CHECK(network->RunUntil([&] { return network->AllSee(network->All()); },
                          seconds(5)));
  CHECK(network->Restarts() == network->restarts(2));
}

// Guards against a restarted process that is not seen because the record of its
// predecessor persists.
TEST_CASE("Membership.ReplacesRestartedProcess") {
  const auto network = Formed(8);
  network->Kill(6);
  network->RunFor(milliseconds(300));
  network->Boot(6);
  CHECK(network->RunUntil([&] { return network->AllSee(network->All()); },
                          seconds(5)));
}

// Guards against a planned stop that is treated as a crash.
TEST_CASE("Membership.ShowsLeavingAndThenLeft") {
  const auto network = Formed(8);
  network->Run(4, network->at(4).Leave());
  network->RunFor(seconds(1));
  for (std::size_t i = 0; i < network->size(); ++i) {
    CHECK(network->Sees(i, 4, MemberState::kLeaving));
  }
  network->Run(4, network->at(4).Stop());
  network->Kill(4);
  network->RunFor(seconds(1));
  for (const auto i : Without(network->All(), 4)) {
    CHECK(network->Sees(i, 4, MemberState::kLeft));
  }
}

// Guards against treating the last member as cut off after the others have
// stopped as planned.
TEST_CASE("Membership.IsNotIsolatedWhenTheOthersHaveLeft") {
  const auto network = Formed(2);
  network->Run(1, network->at(1).Stop());
  network->RunFor(milliseconds(100));
  network->Kill(1);
  network->RunFor(seconds(2));
  CHECK(network->Sees(0, 1, MemberState::kLeft));
  CHECK_FALSE(network->at(0).isolated());
}

TEST_CASE("Membership.IsIsolatedWhileCutOff") {
  const auto network = Formed(2);
  network->RunFor(seconds(2));
  CHECK_FALSE(network->at(0).isolated());
  network->set_loss([](auto, auto) { return true; });
  network->RunFor(seconds(5));
  CHECK(network->at(0).isolated());
}

// Guards against not detecting the loss of a zone whose members monitor only
// each other.
TEST_CASE("Membership.DetectsZoneLossWithinThreeSeconds") {
  const auto network = Formed(60);
  std::set<std::size_t> rest;
  for (std::size_t i = 0; i < network->size(); ++i) {
    if (i % kZones == 3) {
      network->Kill(i);
    } else {
      rest.insert(i);
    }
  }
  const auto known =
      network->RunUntil([&] { return network->AllSee(rest); }, seconds(10));
  REQUIRE(known);
  CHECK(*known <= seconds(3));
  CHECK(network->Restarts() == 0);
}

// Starts four nodes in a random order within three seconds. Each has as seeds
// either all nodes or those that were started before it. Returns the time from
// the last start until all nodes know each other.
auto TimeToForm(Network& network, milliseconds limit)
    -> std::optional<milliseconds> {
  constexpr std::uint64_t kSpreadMs = 3'000;
  const auto all_seeds = network.Random() % 2 == 0;
  const auto spread = network.Random() % kSpreadMs + 1;
  std::vector<milliseconds> starts;
  for (std::size_t i = 0; i < network.size(); ++i) {
    starts.emplace_back(network.Random() % spread);
  }
  std::vector<std::pair<milliseconds, std::size_t>> order;
  for (std::size_t i = 0; i < network.size(); ++i) {
    order.emplace_back(starts[i], i);
  }
  std::sort(order.begin(), order.end());
  auto now = milliseconds(0);
  for (const auto& [start, node] : order) {
    network.RunFor(std::max(milliseconds(0), start - now));
    now = start;
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < (all_seeds ? network.size() : node); ++i) {
      seeds.push_back(Network::Address(i));
    }
    network.Boot(node, std::move(seeds));
  }
  return network.RunUntil([&] { return network.AllSee(network.All()); }, limit);
}

constexpr std::uint64_t kFormations = 1'000;
constexpr std::size_t kFormingNodes = 4;

// Guards against nodes that start together, find none of their seeds listening
// yet and stay apart.
TEST_CASE("Membership.FormsOneFleetWhateverTheOrderOfStarts") {
  for (std::uint64_t seed = 0; seed < kFormations; ++seed) {
    INFO("seed " << seed);
    Network network(kFormingNodes, seed);
    REQUIRE(TimeToForm(network, kFormationLimit));
    CHECK(network.Restarts() == 0);
  }
}

// Guards against a split that lasts because the datagrams or the exchanges that
// would end it are lost.
TEST_CASE("Membership.FormsOneFleetUnderLoss") {
  for (std::uint64_t seed = 0; seed < kFormations; ++seed) {
    INFO("seed " << seed);
    Network network(kFormingNodes, seed);
    network.set_loss(
        [&](std::size_t, std::size_t) { return network.Random() % 5 == 0; });
    REQUIRE(TimeToForm(network, kFormationLimit * 2));
  }
}

// Guards against a node that waits forever for the first exchange with a seed
// and neither sends nor finds anything meanwhile.
TEST_CASE("Membership.FormsOneFleetIfExchangesNeverEnd") {
  for (std::uint64_t seed = 0; seed < kFormations; ++seed) {
    INFO("seed " << seed);
    Network network(kFormingNodes, seed);
    network.set_hang([&] { return network.Random() % 2 == 0; });
    REQUIRE(TimeToForm(network, kFormationLimit * 2));
  }
}

// Guards against two halves that are cut off from each other while they start
// and stay apart afterwards.
TEST_CASE("Membership.FormsOneFleetAfterPartitionAtStart") {
  for (std::uint64_t seed = 0; seed < kFormations; ++seed) {
    INFO("seed " << seed);
    Network network(kFormingNodes, seed);
    network.set_loss(
        [](std::size_t from, std::size_t to) { return from / 2 != to / 2; });
    REQUIRE_FALSE(TimeToForm(network, seconds(5)));
    network.set_loss(nullptr);
    REQUIRE(network.RunUntil([&] { return network.AllSee(network.All()); },
                             kFormationLimit));
  }
}

// Guards against a fleet that splits when several nodes restart at once and
// each joins another that does not know any member yet.
TEST_CASE("Membership.ProbesEverySeedNotKnownToBeLive") {
  testing::ManualClock clock;
  routing::NodeInfo self;
  self.id = NodeId("n0");
  self.node_address = "10.0.0.0:0";
  Membership member(
      self, {}, clock.AsHook(), [&] { return WallTime(std::chrono::hours(1)); },
      [] { return 0U; });
  member.Start();
  REQUIRE(member.joined());
  member.SetSeeds({"10.0.0.0:0", "10.0.0.0:1", "10.0.0.0:2"});
  const auto probed = [&] {
    std::vector<std::string> addresses;
    for (const auto& datagram : member.OnTick().datagrams) {
      if (datagram.message.type == MembershipMessageType::kProbe) {
        addresses.push_back(datagram.address);
      }
    }
    return addresses;
  };
  CHECK(probed() == std::vector<std::string>{"10.0.0.0:1", "10.0.0.0:2"});
  MemberRecord record;
  record.info.id = NodeId("n1");
  record.info.incarnation = 5;
  record.info.node_address = "10.0.0.0:1";
  MembershipMessage notice;
  notice.from = record.info.id;
  notice.incarnation = 5;
  notice.records = {record};
  member.OnMessage(notice, "10.0.0.0:1");
  clock.Advance(milliseconds(200));
  CHECK(probed() == std::vector<std::string>{"10.0.0.0:2"});
}

}  // namespace
}  // namespace kumquatgauge::control
