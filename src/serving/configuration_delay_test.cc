// Simulates how a configuration change reaches all nodes of a fleet after an
// outage of the store: the feeds of the watchers, their circuits, the scans for
// jobs that share these, and the relay between nodes, of which messages and
// pulls are lost.

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "kumquatgauge/control/feed_relay.h"
#include "kumquatgauge/control/membership.h"
#include "kumquatgauge/serving/feed_retry.h"
#include "kumquatgauge/serving/store_feed.h"
#include "kumquatgauge/serving/watcher_choice.h"
#include "kumquatgauge/store/circuit.h"
#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using control::FeedActions;
using control::FeedRelay;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kFeed = "config";
constexpr std::size_t kNodes = 8;
constexpr std::array kZones{"a", "b", "c"};
constexpr auto kSeeds = 400U;
constexpr milliseconds kStep{2};
constexpr milliseconds kCallTimeout{1'000};
constexpr milliseconds kAnswerTime{4};
constexpr milliseconds kMessageTime{2};
constexpr milliseconds kPullTime{6};
// Of 100 datagrams and pulls.
constexpr auto kLostMessages = 10U;
constexpr auto kLostPulls = 3U;
constexpr milliseconds kScanInterval{10'000};
constexpr milliseconds kScanJitter{2'000};
constexpr milliseconds kScanRetry{1'000};
constexpr milliseconds kOutageStart{15'000};
constexpr milliseconds kOutageTime{4'600};
// A change must be in force within this time of its acknowledgement, and within
// kReturnTime of the end of an outage.
constexpr milliseconds kApplyTime{2'000};
constexpr milliseconds kReturnTime{3'000};

enum class Outage { kReset, kBusy, kSilent };

// Whether a feed asks for an immediate answer after a failed call. Without, it
// repeats its watch, which an open circuit lets through never.
enum class AfterFailure { kProbe, kWatch };

// Which calls to the store close a node's circuit. Without jobs to scan for,
// only its feeds do.
enum class Calls { kFeeds, kFeedsAndScans };

class Simulation {
 public:
  Simulation(unsigned seed,
             Outage outage,
             Calls calls,
             AfterFailure after_failure)
      : random_(seed),
        outage_(outage),
        calls_(calls),
        after_failure_(after_failure) {
    for (std::size_t at = 0; at < kNodes; ++at) {
      auto info = routing::NodeInfo();
      info.id = NodeId("n" + std::to_string(at));
      info.zone = ZoneName(kZones[at % kZones.size()]);
      info.node_address = std::to_string(at);
      members_.push_back(info);
    }
    const auto watchers = ChooseWatchers(members_);
    for (std::size_t at = 0; at < kNodes; ++at) {
      nodes_.push_back(std::make_unique<Node>(*this, at));
      const auto place =
          std::find(watchers.begin(), watchers.end(), members_[at].id);
      if (place != watchers.end()) {
        nodes_.back()->turn = place - watchers.begin();
      }
    }
    watchers_ = watchers.size();
    const auto end = kOutageStart + kOutageTime;
    // The first is sent in the outage and repeated after it.
    for (const auto after : {40, 80, 115, 1'380, 2'680}) {
      changes_.push_back(Start() + end + milliseconds(after));
    }
  }

  // Returns how many nodes lack a change at a moment at which it must be in
  // force.
  auto LateNodes() -> std::size_t {
    auto late = std::set<std::size_t>();
    const auto last = changes_.back() + kApplyTime + kStep;
    while (clock_.now() < last) {
      Deliver();
      for (std::size_t at = 0; at < kNodes; ++at) {
        Advance(at);
        if (nodes_[at]->version < VersionInForce()) {
          late.insert(at);
        }
      }
      clock_.Advance(kStep);
    }
    return late.size();
  }

 private:
  struct Call {
    MonotonicTime end;
    bool answered = false;
  };
  struct Feed {
    explicit Feed(Simulation& fleet)
        : retry(StoreFeedSettings().initial_backoff,
                StoreFeedSettings().max_backoff,
                [&fleet] { return fleet.random_(); }) {}

    FeedRetry retry;
    MonotonicTime next;
    std::optional<Call> call;
  };
  struct Node {
    Node(Simulation& fleet, std::size_t at)
        : circuit(store::CircuitOptions(),
                  [&fleet] { return fleet.random_(); }),
          feeds{Feed(fleet), Feed(fleet)},
          relay(
              {kFeed},
              [&fleet, at] { return fleet.Others(at); },
              fleet.clock_.AsHook(),
              [&fleet] { return fleet.random_(); }),
          next_scan(fleet.Start() + fleet.Draw(kScanInterval)),
          next_heartbeat(fleet.Start() +
                         fleet.Draw(control::kHeartbeatInterval)) {}

    std::optional<std::ptrdiff_t> turn;  // Of a watcher.
    store::Circuit circuit;
    std::array<Feed, 2> feeds;  // The configuration and the replicas.
    FeedRelay relay;
    std::uint64_t version = 0;
    std::optional<Call> scan;
    MonotonicTime next_scan;
    MonotonicTime next_heartbeat;
  };
  struct Message {
    std::size_t to = 0;
    std::function<auto()->void> deliver;
  };

  static auto Start() -> MonotonicTime { return testing::ManualClock().now(); }

  auto Draw(milliseconds most) -> milliseconds {
    return milliseconds(random_() % static_cast<std::uint64_t>(most.count()));
  }

  auto Others(std::size_t at) const -> std::vector<routing::NodeInfo> {
    auto others = members_;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(at));
    return others;
  }

  auto IsOut(MonotonicTime at) const -> bool {
    return at >= Start() + kOutageStart &&
           at < Start() + kOutageStart + kOutageTime;
  }

  auto VersionAt(MonotonicTime at) const -> std::uint64_t {
    return static_cast<std::uint64_t>(
        std::count_if(changes_.begin(), changes_.end(),
                      [&](auto acked) { return acked <= at; }));
  }

  auto VersionInForce() const -> std::uint64_t {
    const auto returned = Start() + kOutageStart + kOutageTime + kReturnTime;
    return clock_.now() < returned ? 0 : VersionAt(clock_.now() - kApplyTime);
  }

  auto Send(MonotonicTime at, Message message) -> void {
    messages_.emplace(at, std::move(message));
  }

  auto Deliver() -> void {
    while (!messages_.empty() && messages_.begin()->first <= clock_.now()) {
      const auto message = messages_.begin()->second;
      messages_.erase(messages_.begin());
      message.deliver();
    }
  }

  auto Announce(std::size_t from, std::size_t to) -> void {
    if (random_() % 100 >= kLostMessages) {
      const auto revisions = nodes_[from]->relay.revisions();
      Send(clock_.now() + kMessageTime,
           {to, [this, from, to, revisions] {
              Execute(to, nodes_[to]->relay.OnPeerRevisions(
                              std::to_string(from), revisions));
            }});
    }
  }

  auto Execute(std::size_t at, const FeedActions& actions) -> void {
    for (const auto& notice : actions.notices) {
      Announce(at, std::stoul(notice.address));
    }
    for (const auto& pull : actions.pulls) {
      const auto lost = random_() % 100 < kLostPulls;
      if (!lost) {
        Send(clock_.now() + kPullTime,
             {at, [this, at, pull] { EndPull(at, pull); }});
      }
    }
  }

  auto EndPull(std::size_t at, const FeedActions::Pull& pull) -> void {
    Apply(at, nodes_[std::stoul(pull.address)]->version);
    Execute(at, nodes_[at]->relay.OnPulled(pull.feed, pull.id));
  }

  auto Apply(std::size_t at, std::uint64_t version) -> void {
    auto& node = *nodes_[at];
    node.version = std::max(node.version, version);
    Execute(at, node.relay.OnApplied(kFeed, node.version));
  }

  auto Advance(std::size_t at) -> void {
    auto& node = *nodes_[at];
    const auto now = clock_.now();
    if (now >= node.next_heartbeat) {
      node.next_heartbeat = now + control::kHeartbeatInterval;
      for (std::size_t monitor = 1; monitor <= control::kMonitorsPerNode;
           ++monitor) {
        Announce(at, (at + monitor) % kNodes);
      }
    }
    Execute(at, node.relay.OnTick());
    if (calls_ == Calls::kFeedsAndScans) {
      AdvanceScan(node);
    }
    if (node.turn) {
      for (std::size_t feed = 0; feed < node.feeds.size(); ++feed) {
        AdvanceFeed(at, node, feed);
      }
    }
  }

  // A call that is answered after `time`, unless an outage ends it.
  auto MakeCall(Duration time) -> Call {
    const auto now = clock_.now();
    const auto cut = std::max(now, Start() + kOutageStart);
    if (!IsOut(now) && !IsOut(now + time)) {
      return {now + time, true};
    }
    switch (outage_) {
      case Outage::kReset:
        return {cut + kStep, false};
      case Outage::kBusy:
        return {cut + kAnswerTime, false};
      case Outage::kSilent:
        break;
    }
    return {now + time + kCallTimeout, false};
  }

  auto EndCall(Node& node, const Call& call) -> void {
    if (call.answered) {
      node.circuit.OnSuccess();
    } else {
      node.circuit.OnFailure(clock_.now());
    }
  }

  auto AdvanceScan(Node& node) -> void {
    const auto now = clock_.now();
    if (node.scan && now >= node.scan->end) {
      EndCall(node, *node.scan);
      node.next_scan =
          now + (node.scan->answered ? kScanInterval + Draw(kScanJitter)
                                     : kScanRetry);
      node.scan.reset();
    }
    if (node.scan || now < node.next_scan) {
      return;
    }
    if (node.circuit.AllowCall(now, true).allowed) {
      node.scan = MakeCall(kAnswerTime);
    } else {
      node.next_scan = now + kScanRetry;
    }
  }

  auto AdvanceFeed(std::size_t at, Node& node, std::size_t index) -> void {
    auto& feed = node.feeds[index];
    const auto now = clock_.now();
    const auto news = index == 0 && VersionAt(now) > node.version;
    if (feed.call && feed.call->answered && news) {
      feed.call->end = std::min(feed.call->end, now);
    }
    if (feed.call && now >= feed.call->end) {
      EndCall(node, *feed.call);
      if (feed.call->answered) {
        feed.retry.OnSuccess();
      } else {
        feed.next = now + feed.retry.OnFailure();
      }
      const auto answered = feed.call->answered;
      feed.call.reset();
      if (answered && news) {
        Apply(at, VersionAt(now));
      }
    }
    if (feed.call || now < feed.next) {
      return;
    }
    const auto probes =
        feed.retry.failed() && after_failure_ == AfterFailure::kProbe;
    const auto decision = node.circuit.AllowCall(now, probes);
    if (!decision.allowed) {
      feed.next = now + feed.retry.OnRefused(decision.retry_after);
      return;
    }
    const auto time_of_day =
        std::chrono::duration_cast<milliseconds>(now - Start());
    const auto watch =
        probes ? store::kMaxProbeWait
               : WatchTime(static_cast<std::size_t>(node.turn.value_or(0)),
                           watchers_, time_of_day);
    feed.call = MakeCall(watch + kAnswerTime);
  }

  testing::ManualClock clock_;
  std::mt19937_64 random_;
  Outage outage_;
  Calls calls_;
  AfterFailure after_failure_;
  std::vector<routing::NodeInfo> members_;
  std::size_t watchers_ = 0;
  std::vector<MonotonicTime> changes_;  // When each was acknowledged.
  std::vector<std::unique_ptr<Node>> nodes_;
  std::multimap<MonotonicTime, Message> messages_;
};

// Returns the number of seeds by the number of late nodes.
auto CountLate(Outage outage, Calls calls, AfterFailure after_failure)
    -> std::map<std::size_t, unsigned> {
  auto late = std::map<std::size_t, unsigned>();
  for (auto seed = 1U; seed <= kSeeds; ++seed) {
    ++late[Simulation(seed, outage, calls, after_failure).LateNodes()];
  }
  return late;
}

// Guards against requests that nodes refuse for a route that was acknowledged
// long before: a node whose feed does not return, or that waits too long for a
// node which does not answer.
TEST_CASE("ConfigurationDelay.AllNodesKnowAChangeInTimeAfterAnOutage") {
  const auto outage = GENERATE(Outage::kReset, Outage::kBusy, Outage::kSilent);
  const auto calls = GENERATE(Calls::kFeeds, Calls::kFeedsAndScans);
  INFO("seeds 1 to " << kSeeds);
  const auto late = CountLate(outage, calls, AfterFailure::kProbe);
  CHECK(late.at(0) == kSeeds);
}

// Guards against a simulation that cannot show late nodes.
TEST_CASE("ConfigurationDelay.ShowsLateNodesIfFeedsRepeatTheirWatch") {
  const auto late =
      CountLate(Outage::kReset, Calls::kFeeds, AfterFailure::kWatch);
  CHECK(late.at(kNodes) == kSeeds);
}

}  // namespace
}  // namespace kumquatgauge::serving
