#include "kumquatgauge/serving/start_limiter.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using routing::WorkClass;
using std::chrono::milliseconds;
using std::chrono::seconds;

const ReplicaId kReplica("r1");
constexpr auto kContactTime = seconds(3);
constexpr auto kWindow = seconds(4);
// How long a report takes: the interval at which nodes send them and the way.
constexpr auto kReportDelay = milliseconds(20);

auto MakeReplica(std::uint64_t started_ms = 1) -> routing::Replica {
  auto replica = routing::Replica();
  replica.id = kReplica;
  replica.started_ms = started_ms;
  return replica;
}

// Nodes that all want to send to one replica that names a limit, and exchange
// reports with a delay.
class Nodes {
 public:
  Nodes(std::size_t count, double limit, std::uint64_t seed)
      : random_(seed), limit_(limit) {
    for (std::size_t at = 0; at < count; ++at) {
      ids_.push_back(NodeId("n" + std::to_string(at)));
    }
    for (std::size_t at = 0; at < count; ++at) {
      nodes_.push_back(MakeNode(at));
    }
  }

  auto MakeNode(std::size_t at) -> std::unique_ptr<StartLimiter> {
    auto node =
        std::make_unique<StartLimiter>(StartLimiterSettings(), clock_.AsHook());
    node->SetReplicas({MakeReplica()});
    node->SetNodes(ids_, at);
    return node;
  }

  // Each node has a request with this probability in each millisecond.
  auto Run(Duration time, double demand) -> void {
    const auto end = clock_.now() + time;
    auto draw = std::uniform_real_distribution<double>(0.0, 1.0);
    while (clock_.now() < end) {
      for (std::size_t at = 0; at < nodes_.size(); ++at) {
        if (draw(random_) < demand &&
            nodes_[at]->MayStart(kReplica, WorkClass::kOnline, false)) {
          nodes_[at]->OnStarted(kReplica);
          nodes_[at]->OnAnswer(kReplica, limit_);
          starts_.push_back(clock_.now());
        }
      }
      clock_.Advance(milliseconds(1));
      Exchange();
    }
  }

  // Loses this share of the reports.
  auto set_lost(double share) -> void { lost_ = share; }
  auto Restart(std::size_t at) -> void {
    nodes_[at] = MakeNode(at);
    ++runs_[at];
  }

  auto MostInWindow(MonotonicTime from) const -> std::size_t {
    auto most = std::size_t{0};
    for (auto first = starts_.begin(); first != starts_.end(); ++first) {
      if (*first >= from) {
        const auto last =
            std::upper_bound(first, starts_.end(), *first + kWindow);
        most = std::max<std::size_t>(most, std::distance(first, last));
      }
    }
    return most;
  }
  auto StartsSince(MonotonicTime from) const -> std::size_t {
    return static_cast<std::size_t>(std::distance(
        std::lower_bound(starts_.begin(), starts_.end(), from), starts_.end()));
  }
  auto now() const -> MonotonicTime { return clock_.now(); }

 private:
  struct Message {
    std::size_t from = 0;
    std::uint64_t run = 0;
    MonotonicTime arrives;
    std::vector<StartReport> reports;
  };

  auto Exchange() -> void {
    const auto refresh = clock_.now() >= next_refresh_;
    if (refresh) {
      next_refresh_ = clock_.now() + milliseconds(500);
    }
    for (std::size_t at = 0; at < nodes_.size(); ++at) {
      auto reports = nodes_[at]->TakeReports(refresh);
      if (!reports.empty()) {
        messages_.push_back(
            {at, runs_[at], clock_.now() + kReportDelay, std::move(reports)});
      }
    }
    auto draw = std::uniform_real_distribution<double>(0.0, 1.0);
    std::erase_if(messages_, [&](const Message& message) {
      if (message.arrives > clock_.now()) {
        return false;
      }
      for (std::size_t at = 0; at < nodes_.size(); ++at) {
        if (at != message.from && draw(random_) >= lost_) {
          nodes_[at]->OnReports(ids_[message.from], message.run,
                                message.reports);
        }
      }
      return true;
    });
  }

  testing::ManualClock clock_;
  std::mt19937_64 random_;
  double limit_;
  double lost_ = 0;
  std::vector<NodeId> ids_;
  std::vector<std::unique_ptr<StartLimiter>> nodes_;
  std::map<std::size_t, std::uint64_t> runs_;
  std::vector<Message> messages_;
  std::vector<MonotonicTime> starts_;
  MonotonicTime next_refresh_;
};

auto Bound(double limit) -> double {
  return 1.5 * limit * kWindow.count() + 5;
}

struct Fixture {
  Fixture() { limiter.SetReplicas({MakeReplica()}); }

  auto MayStart() const -> bool {
    return limiter.MayStart(kReplica, WorkClass::kOnline, false);
  }
  // Starts whatever the replica takes for a time.
  auto StartFor(Duration time) -> int {
    auto starts = 0;
    for (const auto end = clock.now() + time; clock.now() < end;) {
      if (MayStart()) {
        limiter.OnStarted(kReplica);
        ++starts;
      }
      clock.Advance(milliseconds(10));
    }
    return starts;
  }

  testing::ManualClock clock;
  StartLimiter limiter{StartLimiterSettings(), clock.AsHook()};
};

// Guards against limits below one start per node and second that each node
// keeps by itself, while all together exceed them.
TEST_CASE("StartLimiter.KeepsTheLimitOverAllNodesUnderConstantDemand") {
  for (const auto count : {1, 8, 16}) {
    for (const auto limit : {0.0, 0.5, 2.3, 20.0}) {
      INFO(count << " nodes, limit " << limit);
      auto nodes = Nodes(count, limit, 11);
      const auto began = nodes.now();
      nodes.Run(seconds(40), 0.05);
      CHECK(nodes.MostInWindow(began + kContactTime) <= Bound(limit));
      // Over a long time the limit itself holds, but for what was saved up.
      const auto started =
          static_cast<double>(nodes.StartsSince(began + seconds(8)));
      CHECK(started <= std::max(limit, 0.2) * 32 + 0.25 * limit + 8);
      CHECK(started >= 0.8 * limit * 32 - 4);
    }
  }
}

// Load pattern: seconds without demand, then a burst on all nodes at once.
TEST_CASE("StartLimiter.KeepsTheLimitInABurstOnAllNodes") {
  for (const auto limit : {0.5, 2.3, 20.0}) {
    INFO("limit " << limit);
    auto nodes = Nodes(16, limit, 22);
    nodes.Run(seconds(4), 0.05);
    for (auto burst = 0; burst < 5; ++burst) {
      nodes.Run(seconds(4), 0.0);
      const auto began = nodes.now();
      nodes.Run(seconds(4), 0.5);
      CHECK(nodes.MostInWindow(began) <= Bound(limit));
    }
  }
}

// Guards against counts that are lost with a datagram or with the node that
// reported them.
TEST_CASE("StartLimiter.KeepsTheLimitWhenReportsAreLostAndNodesRestart") {
  auto nodes = Nodes(8, 2.3, 33);
  nodes.set_lost(0.2);
  nodes.Run(seconds(8), 0.05);
  const auto began = nodes.now();
  for (std::size_t at = 0; at < 8; ++at) {
    nodes.Restart(at);
    nodes.Run(seconds(3), 0.05);
  }
  CHECK(nodes.MostInWindow(began) <= Bound(2.3));
}

// Guards against a limit that an old answer restores or ends, since answers and
// reports overtake each other.
TEST_CASE("StartLimiter.FollowsTheLatestAnswerOfAnyNode") {
  auto fixture = Fixture();
  const auto report = [](std::optional<double> limit, Duration age) {
    return std::vector{
        StartReport{kReplica, 0, StartReport::Named{limit, age}}};
  };
  fixture.clock.Advance(seconds(10));
  fixture.limiter.OnAnswer(kReplica, 2.0);
  fixture.clock.Advance(seconds(1));
  fixture.limiter.OnReports(NodeId("n2"), 1, report(std::nullopt, seconds(2)));
  CHECK(fixture.limiter.IsLimited(kReplica));
  fixture.limiter.OnReports(NodeId("n2"), 1,
                            report(std::nullopt, milliseconds(500)));
  CHECK_FALSE(fixture.limiter.IsLimited(kReplica));
  fixture.limiter.OnReports(NodeId("n3"), 1, report(3.0, milliseconds(900)));
  CHECK_FALSE(fixture.limiter.IsLimited(kReplica));
  fixture.limiter.OnReports(NodeId("n3"), 1, report(3.0, milliseconds(100)));
  CHECK(fixture.limiter.IsLimited(kReplica));
}

// Guards against a replica that never gets anything again, since without a
// request it cannot say that its need is over.
TEST_CASE("StartLimiter.AsksNowAndThenWhetherALimitOfZeroStillHolds") {
  auto fixture = Fixture();
  fixture.limiter.OnAnswer(kReplica, 0.0);
  CHECK(fixture.StartFor(kWindow) <= 1);
  CHECK(fixture.StartFor(seconds(60)) >= 10);
  fixture.limiter.OnAnswer(kReplica, std::nullopt);
  CHECK(fixture.MayStart());
}

// Guards against arithmetic that fails for a limit from outside.
TEST_CASE("StartLimiter.TakesAHugeLimitAsNone") {
  auto fixture = Fixture();
  fixture.limiter.OnAnswer(kReplica, 1e300);
  fixture.clock.Advance(milliseconds(1));
  CHECK(fixture.StartFor(seconds(1)) == 100);
  CHECK(fixture.limiter.available(kReplica) > 0);
}

// Guards against parts of a fleet that are cut off from each other and each use
// the whole limit.
TEST_CASE("StartLimiter.UsesOnlyItsShareOfALimit") {
  auto fixture = Fixture();
  fixture.limiter.SetShare(kReplica, 0.25);
  fixture.limiter.OnAnswer(kReplica, 8.0);
  fixture.StartFor(seconds(10));
  const auto started = fixture.StartFor(seconds(10));
  CHECK(started >= 19);
  CHECK(started <= 21);
}

// Guards against a restarted replica that is limited by what it was before.
TEST_CASE("StartLimiter.ForgetsTheLimitOfAReplicaThatStartedAgain") {
  auto fixture = Fixture();
  fixture.limiter.OnAnswer(kReplica, 0.0);
  fixture.limiter.SetReplicas({MakeReplica()});
  CHECK(fixture.limiter.IsLimited(kReplica));
  fixture.limiter.SetReplicas({MakeReplica(2)});
  CHECK_FALSE(fixture.limiter.IsLimited(kReplica));
}

// Guards against batch items that use up what online requests of the next burst
// need, and against items that never start.
TEST_CASE("StartLimiter.LeavesSavedStartsToOnlineRequests") {
  auto fixture = Fixture();
  fixture.limiter.OnAnswer(kReplica, 2.0);
  const auto batch = [&](bool urgent) {
    return fixture.limiter.MayStart(kReplica, WorkClass::kBatch, urgent);
  };
  fixture.clock.Advance(milliseconds(600));
  CHECK(fixture.MayStart());
  CHECK_FALSE(batch(false));
  CHECK(batch(true));
  fixture.clock.Advance(seconds(2));
  CHECK(batch(false));
}

// Guards against a node that learns of limits only from its own requests, and
// against news that other nodes pass on with an age that lacks their way.
TEST_CASE("StartLimiter.ReportsOnlyTheLimitsThatItWasToldItself") {
  auto fixture = Fixture();
  fixture.limiter.OnLimits(
      {StartReport{kReplica, 0, StartReport::Named{2.0, seconds(0)}}});
  const auto heard = fixture.limiter.TakeReports(true);
  REQUIRE(heard.size() == 1);
  CHECK_FALSE(heard.front().named);
  fixture.limiter.OnAnswer(kReplica, 3.0);
  CHECK(fixture.limiter.has_news());
  const auto told = fixture.limiter.TakeReports(false);
  REQUIRE(told.size() == 1);
  CHECK(told.front().named == StartReport::Named{3.0, Duration::zero()});
  CHECK(fixture.limiter.TakeReports(false).empty());
  CHECK(fixture.limiter.limits().size() == 1);
}

// Guards against reports of replicas that this node does not know, which would
// be kept without bound.
TEST_CASE("StartLimiter.KeepsNothingOfUnknownReplicas") {
  auto fixture = Fixture();
  const auto unknown = ReplicaId("r2");
  fixture.limiter.OnLimits(
      {StartReport{unknown, 5, StartReport::Named{1.0, seconds(0)}}});
  fixture.limiter.OnAnswer(unknown, 1.0);
  CHECK(fixture.limiter.limited() == 0);
  CHECK(fixture.limiter.MayStart(unknown, WorkClass::kOnline, false));
}

TEST_CASE("StartLimiter.TellsEachChangeOnce") {
  auto fixture = Fixture();
  fixture.limiter.OnAnswer(kReplica, 2.0);
  fixture.limiter.OnAnswer(kReplica, 2.0);
  fixture.clock.Advance(milliseconds(100));
  const auto changes = fixture.limiter.TakeChanges();
  REQUIRE(changes.size() == 1);
  CHECK(changes.front() ==
        StartLimitChange{kReplica, std::nullopt, 2.0, milliseconds(100)});
  CHECK(fixture.limiter.TakeChanges().empty());
  fixture.limiter.OnAnswer(kReplica, std::nullopt);
  REQUIRE(fixture.limiter.TakeChanges().size() == 1);
}

}  // namespace
}  // namespace kumquatgauge::serving
