#include "kumquatgauge/control/watcher_standby.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The shortest time within which the users want a change to apply.
constexpr milliseconds kApplyTime{2'000};
constexpr milliseconds kStep{50};
// Interval at which the store answers some watcher.
constexpr milliseconds kAnswerInterval{800};

auto Settings() -> WatcherStandbySettings {
  auto settings = WatcherStandbySettings{};
  settings.silence_limit = kAnswerInterval * 3 / 2;
  return settings;
}

// A fleet whose first two nodes watch the store.
struct Fixture {
  explicit Fixture(std::size_t count) {
    for (std::size_t at = 0; at < count; ++at) {
      auto node = routing::NodeInfo();
      node.id = NodeId("n" + std::to_string(at));
      live.push_back(node);
    }
    watchers = {live[0].id, live[1].id};
    for (const auto& node : live) {
      nodes.push_back(std::make_unique<WatcherStandby>(node.id, Settings(),
                                                       clock.AsHook()));
    }
  }

  // The store answers a node, which tells the others.
  auto Answer(const NodeId& node) -> void {
    for (const auto& each : nodes) {
      each->OnStoreAnswered(node, watchers);
    }
  }

  auto Watching() -> std::vector<NodeId> {
    auto watching = std::vector<NodeId>();
    for (std::size_t at = 0; at < nodes.size(); ++at) {
      const auto chosen = std::find(watchers.begin(), watchers.end(),
                                    live[at].id) != watchers.end();
      if (!chosen && nodes[at]->MustWatch(live, watchers)) {
        watching.push_back(live[at].id);
      }
    }
    return watching;
  }

  testing::ManualClock clock;
  std::vector<routing::NodeInfo> live;
  std::vector<NodeId> watchers;
  std::vector<std::unique_ptr<WatcherStandby>> nodes;
};

// Guards against calls to the store by nodes that others watch it for.
TEST_CASE("WatcherStandby.LeavesTheStoreAloneWhileWatchersAreAnswered") {
  auto fixture = Fixture(8);
  for (auto round = 0; round < 20; ++round) {
    fixture.Answer(fixture.watchers[round % 2]);
    for (auto passed = milliseconds(0); passed < kAnswerInterval;
         passed += kStep) {
      fixture.clock.Advance(kStep);
      CHECK(fixture.Watching().empty());
    }
  }
}

// Guards against a fleet that stays on an old configuration because the store
// turns away all nodes that watch it for the others.
TEST_CASE("WatcherStandby.ReplacesWatchersBeforeAChangeMustApply") {
  for (const std::size_t count : {3, 6, 12, 62, 250}) {
    CAPTURE(count);
    auto fixture = Fixture(count);
    fixture.Answer(fixture.watchers.front());
    auto silent = milliseconds(0);
    // The store turns the first ones that try away, too.
    const auto needed = std::min<std::size_t>(count - 2, 4);
    while (fixture.Watching().size() < needed) {
      fixture.clock.Advance(kStep);
      silent += kStep;
      REQUIRE(silent < kApplyTime - milliseconds(400));
    }
  }
}

// Guards against a whole large fleet that calls a store that answers nobody.
TEST_CASE("WatcherStandby.LimitsTheNodesThatCallASilentStore") {
  auto fixture = Fixture(250);
  fixture.clock.Advance(seconds(60));
  const auto watching = fixture.Watching();
  CHECK(watching.size() == Settings().max_nodes);
  fixture.clock.Advance(seconds(60));
  CHECK(fixture.Watching() == watching);
}

// Guards against nodes that stop as soon as one of them is answered, so that
// changes wait for the next silence, and against nodes that never stop.
TEST_CASE("WatcherStandby.WatchesUntilAWatcherIsAnswered") {
  auto fixture = Fixture(8);
  fixture.clock.Advance(Settings().silence_limit + kStep);
  const auto watching = fixture.Watching();
  REQUIRE(watching.size() == Settings().first_nodes);
  for (auto round = 0; round < 20; ++round) {
    fixture.Answer(watching.front());
    fixture.clock.Advance(kAnswerInterval);
    CHECK(fixture.Watching() == watching);
  }
  fixture.Answer(fixture.watchers.back());
  CHECK(fixture.Watching().empty());
}

}  // namespace
}  // namespace kumquatgauge::control
