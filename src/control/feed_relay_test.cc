#include "kumquatgauge/control/feed_relay.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <random>
#include <set>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::control {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 5;
constexpr std::size_t kNodes = 330;

// One relay with five peers.
struct Fixture {
  Fixture() {
    for (auto i = 0; i < 5; ++i) {
      routing::NodeInfo node;
      node.node_address = "peer-" + std::to_string(i);
      live.push_back(node);
    }
  }

  testing::ManualClock clock;
  std::mt19937_64 random{kSeed};
  std::vector<routing::NodeInfo> live;
  FeedRelay relay{{"config", "hosts"},
                  [this] { return live; },
                  clock.AsHook(),
                  [this] { return random(); }};
};

// Guards against a change that is not propagated from the node that applied it.
TEST_CASE("FeedRelay.NotifiesFourDistinctPeersOfHigherRevision") {
  Fixture node;
  const auto actions = node.relay.OnApplied("config", 7);
  std::set<std::string> told;
  for (const auto& notice : actions.notices) {
    CHECK(notice.revision == 7);
    told.insert(notice.address);
  }
  CHECK(told.size() == kFeedNoticeFanout);
}

// Guards against a node that has started and whose first revision the others
// hear of only by chance, since it knew none of them when it applied it.
TEST_CASE("FeedRelay.AnnouncesItsRevisionOnceItKnowsOtherNodes") {
  Fixture node;
  const auto peers = std::exchange(node.live, {});
  CHECK(node.relay.OnApplied("config", 7).notices.empty());
  CHECK(node.relay.OnMembersChanged().notices.empty());
  node.live = peers;
  const auto actions = node.relay.OnMembersChanged();
  REQUIRE(actions.notices.size() == kFeedNoticeFanout);
  CHECK(actions.notices.front().feed == "config");
  CHECK(actions.notices.front().revision == 7);
  CHECK(node.relay.OnMembersChanged().notices.empty());
}

// Guards against a configuration that reverts to a lower revision.
TEST_CASE("FeedRelay.NeverAcceptsLowerRevision") {
  Fixture node;
  node.relay.OnApplied("config", 7);
  CHECK(node.relay.OnApplied("config", 6).notices.empty());
  CHECK(node.relay.revisions().at("config") == 7);
  CHECK_FALSE(node.relay.Accepts("config", 7));
  CHECK_FALSE(node.relay.Accepts("config", 3));
  CHECK_FALSE(node.relay.Accepts("absent", 9));
  CHECK(node.relay.Accepts("config", 8));
  CHECK(node.relay.OnPeerRevisions("peer-1", {{"config", 7}, {"absent", 3}})
            .pulls.empty());
}

// Guards against starting one pull per notice.
TEST_CASE("FeedRelay.PullsOnceFromPeerWithHigherRevision") {
  Fixture node;
  const auto first = node.relay.OnPeerRevisions("peer-1", {{"hosts", 4}});
  REQUIRE(first.pulls.size() == 1);
  CHECK(first.pulls[0].address == "peer-1");
  CHECK(first.pulls[0].since == 0);
  CHECK(node.relay.OnPeerRevisions("peer-2", {{"hosts", 4}}).pulls.empty());
}

// Guards against a node that stays behind because the peer it pulled from died.
TEST_CASE("FeedRelay.PullsFromAnotherPeerAfterFailure") {
  Fixture node;
  const auto pull =
      node.relay.OnPeerRevisions("peer-1", {{"config", 4}}).pulls.at(0);
  node.relay.OnPeerRevisions("peer-2", {{"config", 4}});
  const auto next = node.relay.OnPullFailed("config", pull.id);
  REQUIRE(next.pulls.size() == 1);
  CHECK(next.pulls[0].address == "peer-2");
}

// Guards against a pull that never ends.
TEST_CASE("FeedRelay.PullsFromAnotherPeerAfterTimeout") {
  Fixture node;
  const auto pull =
      node.relay.OnPeerRevisions("peer-1", {{"config", 4}}).pulls.at(0);
  node.relay.OnPeerRevisions("peer-2", {{"config", 4}});
  node.clock.Advance(kFeedPullTimeout - milliseconds(1));
  CHECK(node.relay.OnTick().pulls.empty());
  node.clock.Advance(milliseconds(1));
  const auto next = node.relay.OnTick();
  REQUIRE(next.pulls.size() == 1);
  CHECK(next.pulls[0].address == "peer-2");
  // The late completion of the first pull does not start a third one.
  CHECK(node.relay.OnPullFailed("config", pull.id).pulls.empty());
}

// Guards against giving up when no other node has announced the revision, and
// against a retry storm.
TEST_CASE("FeedRelay.RetriesAtRandomPeersWithGrowingDelay") {
  Fixture node;
  auto pull = node.relay.OnPeerRevisions("gone", {{"config", 4}}).pulls.at(0);
  auto pulls = 0;
  for (auto elapsed = milliseconds(0); elapsed < std::chrono::seconds(20);
       elapsed += milliseconds(50)) {
    for (const auto& action : node.relay.OnTick().pulls) {
      pull = action;
      ++pulls;
    }
    node.relay.OnPullFailed("config", pull.id);
    node.clock.Advance(milliseconds(50));
  }
  CHECK(pulls >= 4);
  CHECK(pulls <= 10);
  CHECK(node.relay.Explain("config").find("revision 4 is known of") !=
        std::string::npos);
}

// Guards against giving up when a pull returns a lower revision than announced.
TEST_CASE("FeedRelay.ContinuesWhenPullReturnsOldRevision") {
  Fixture node;
  const auto pull =
      node.relay.OnPeerRevisions("peer-1", {{"config", 9}}).pulls.at(0);
  node.relay.OnPeerRevisions("peer-2", {{"config", 8}});
  node.relay.OnApplied("config", 7);
  const auto next = node.relay.OnPulled("config", pull.id);
  REQUIRE(next.pulls.size() == 1);
  CHECK(next.pulls[0].address == "peer-2");
  CHECK(next.pulls[0].since == 7);
}

// Guards against nodes that a change does not reach. Notices alone, without the
// revisions in heartbeats, must reach nearly all nodes.
TEST_CASE("FeedRelay.ReachesFleetByNotices") {
  testing::ManualClock clock;
  std::mt19937_64 random(kSeed);
  INFO("seed " << kSeed);
  std::vector<routing::NodeInfo> live(kNodes);
  std::vector<std::unique_ptr<FeedRelay>> relays;
  for (std::size_t i = 0; i < kNodes; ++i) {
    live[i].node_address = std::to_string(i);
    relays.push_back(std::make_unique<FeedRelay>(
        std::vector<std::string>{"config"}, [&live] { return live; },
        clock.AsHook(), [&random] { return random(); }));
  }
  std::deque<FeedActions::Notice> queue;
  std::size_t notices = 0;
  const auto apply = [&](FeedRelay& relay) {
    for (auto& notice : relay.OnApplied("config", 1).notices) {
      queue.push_back(std::move(notice));
      ++notices;
    }
  };
  apply(*relays[0]);
  while (!queue.empty()) {
    auto& relay = *relays[std::stoul(queue.front().address)];
    queue.pop_front();
    for (const auto& pull :
         relay.OnPeerRevisions("any", {{"config", 1}}).pulls) {
      apply(relay);
      relay.OnPulled("config", pull.id);
    }
  }
  const auto reached = std::count_if(
      relays.begin(), relays.end(),
      [](const auto& relay) { return relay->revisions().at("config") == 1; });
  CHECK(reached > static_cast<std::ptrdiff_t>(kNodes * 95 / 100));
  CHECK(notices <= kNodes * kFeedNoticeFanout);
}

}  // namespace
}  // namespace kumquatgauge::control
