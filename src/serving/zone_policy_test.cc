#include "kumquatgauge/serving/zone_policy.h"

#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <vector>

#include "kumquatgauge/base/metrics.h"
#include "kumquatgauge/serving/zone_report.h"
#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;

const ServiceName kService("chat");
constexpr double kSlots = 40.0;
constexpr ZoneCosts kCosts{1.4, 20.0};

// Five replicas with eight slots each.
auto Load(double in_flight, double slots = kSlots) -> ZoneLoad {
  constexpr double kSlotsPerReplica = 8.0;
  return {slots, in_flight, slots / kSlotsPerReplica, milliseconds(440)};
}

// Two other zones.
auto Elsewhere(double utilisation) -> ZoneLoad {
  return Load(2 * kSlots * utilisation, 2 * kSlots);
}

struct Fixture {
  explicit Fixture(ZoneCosts costs = kCosts)
      : policy(ZonePolicySettings(), costs, clock.AsHook(), [this] {
          return random();
        }) {}

  // Returns the share that may leave at these loads.
  auto ShareAt(const ZoneLoad& own, const ZoneLoad& others) -> double {
    policy.MayLeave(kService, own, others);
    return policy.share(kService);
  }

  testing::ManualClock clock;
  std::mt19937_64 random{7};
  ZonePolicy policy;
};

// Load: the own zone has room, the others are idle. Guards against traffic that
// leaves although it need not, even where that costs nothing.
TEST_CASE("ZonePolicy.NothingLeavesWhileTheZoneHasRoom") {
  auto fixture = Fixture(ZoneCosts());
  for (auto in_flight = 0.0; in_flight < 0.75 * kSlots; in_flight += 1.0) {
    INFO(in_flight);
    CHECK(fixture.ShareAt(Load(in_flight), Elsewhere(0.0)) == 0.0);
  }
}

// Load: no slot of the own zone is free, or requests already queue there.
TEST_CASE("ZonePolicy.AllMayLeaveAFullZone") {
  auto fixture = Fixture();
  CHECK(fixture.ShareAt(Load(kSlots), Elsewhere(0.5)) == 1.0);
  CHECK(fixture.ShareAt(Load(1.5 * kSlots), Elsewhere(0.5)) == 1.0);
}

// Load: all zones are equally full. Guards against requests that cross to wait
// just as long there.
TEST_CASE("ZonePolicy.NothingLeavesForAnEquallyFullZone") {
  auto fixture = Fixture();
  CHECK(fixture.ShareAt(Load(kSlots), Elsewhere(1.0)) == 0.0);
  CHECK(fixture.ShareAt(Load(0.9 * kSlots), Elsewhere(0.95)) == 0.0);
}

// Load: the zone fills slowly. Guards against a threshold at which all requests
// leave at once.
TEST_CASE("ZonePolicy.TheShareRisesSteadilyWithTheLoad") {
  auto fixture = Fixture();
  auto before = 0.0;
  constexpr double kStep = 0.1;
  for (auto in_flight = 0.75 * kSlots; in_flight < kSlots; in_flight += kStep) {
    const auto share = fixture.ShareAt(Load(in_flight), Elsewhere(0.4));
    CHECK(share >= before);
    CHECK(share <= before + 0.1);
    before = share;
  }
  CHECK(before > 0.9);
}

// Load: one zone loses half of its replicas while 24 requests run on the rest.
TEST_CASE("ZonePolicy.LeavesAtOnceWhenTheZoneLosesHalfOfItsReplicas") {
  auto fixture = Fixture();
  CHECK(fixture.ShareAt(Load(24.0), Elsewhere(0.6)) == 0.0);
  CHECK(fixture.ShareAt(Load(24.0, kSlots / 2), Elsewhere(0.6)) == 1.0);
  CHECK(fixture.ShareAt(Load(24.0), Elsewhere(0.6)) == 0.0);
}

// A zone without replicas, on either side, leaves no choice.
TEST_CASE("ZonePolicy.FollowsTheOnlyZoneThatHasReplicas") {
  auto fixture = Fixture();
  CHECK(fixture.ShareAt(ZoneLoad(), Elsewhere(0.9)) == 1.0);
  CHECK(fixture.ShareAt(Load(2 * kSlots), ZoneLoad()) == 0.0);
  CHECK(fixture.ShareAt(ZoneLoad(), ZoneLoad()) == 0.0);
}

// Load: steps from 0.38 to 1.87 of the mean and back. Guards against an average
// that lags behind steps of some seconds.
TEST_CASE("ZonePolicy.FollowsStepsWithoutDelay") {
  auto fixture = Fixture();
  constexpr double kMean = 0.6 * kSlots;
  for (auto step = 0; step < 4; ++step) {
    CHECK(fixture.ShareAt(Load(0.38 * kMean), Elsewhere(0.5)) == 0.0);
    CHECK(fixture.ShareAt(Load(1.87 * kMean), Elsewhere(0.5)) == 1.0);
  }
}

// Load: the gain lies between the cost and 1.25 times the cost. Guards against
// a service that begins and ends leaving with every request.
TEST_CASE("ZonePolicy.KeepsItsDecisionBetweenTheTwoThresholds") {
  const auto gain =
      detail::ExpectedWaitMs(Load(36.0), ZonePolicySettings().look_ahead);
  const auto leaves = [](ZonePolicy& policy) {
    policy.MayLeave(kService, Load(36.0), Elsewhere(0.0));
    return policy.share(kService) > 0.0;
  };
  const auto cost_of = [gain](double ratio) {
    return ZoneCosts{gain / ratio / 2.0, 0.0};
  };
  auto fixture = Fixture(cost_of(1.2));
  CHECK_FALSE(leaves(fixture.policy));
  fixture.policy.SetCosts(cost_of(1.3));
  CHECK(leaves(fixture.policy));
  fixture.policy.SetCosts(cost_of(1.05));
  CHECK(leaves(fixture.policy));
  fixture.policy.SetCosts(cost_of(0.95));
  CHECK_FALSE(leaves(fixture.policy));
  fixture.policy.SetCosts(cost_of(1.2));
  CHECK_FALSE(leaves(fixture.policy));
}

// The costs are raised and lowered while the load stays.
TEST_CASE("ZonePolicy.LessLeavesAtAHigherCost") {
  auto fixture = Fixture();
  fixture.policy.OnBytes(kService, 100'000, false);
  const auto cheap = fixture.ShareAt(Load(38.0), Elsewhere(0.4));
  CHECK(cheap > 0.0);
  fixture.policy.SetCosts({1.4, 100.0});
  const auto dear = fixture.ShareAt(Load(38.0), Elsewhere(0.4));
  CHECK(dear < cheap);
  fixture.policy.SetCosts({1.4, 10'000.0});
  CHECK(fixture.ShareAt(Load(38.0), Elsewhere(0.4)) == 0.0);
  fixture.policy.SetCosts(kCosts);
  CHECK(fixture.ShareAt(Load(38.0), Elsewhere(0.4)) == cheap);
}

// Guards against a service with long answers that pays the price of another
// one.
TEST_CASE("ZonePolicy.MeasuresBytesByService") {
  auto fixture = Fixture({0.0, 100.0});
  const auto large = ServiceName("images");
  constexpr std::uint64_t kLarge = 1'000'000;
  for (auto request = 0; request < 200; ++request) {
    fixture.policy.OnBytes(kService, 1'000, false);
    fixture.policy.OnBytes(large, kLarge, false);
  }
  CHECK(fixture.policy.mean_bytes(large) == Approx(kLarge));
  CHECK(fixture.ShareAt(Load(38.0), Elsewhere(0.4)) > 0.0);
  fixture.policy.MayLeave(large, Load(38.0), Elsewhere(0.4));
  CHECK(fixture.policy.share(large) == 0.0);
  for (auto request = 0; request < 400; ++request) {
    fixture.policy.OnBytes(large, 1'000, true);
  }
  CHECK(fixture.policy.mean_bytes(large) == Approx(1'000).epsilon(0.01));
}

// Load: 16 gateways see the same load at the same time. Guards against all of
// them leaving or staying together.
TEST_CASE("ZonePolicy.GatewaysThatSeeTheSameLoadDecideApart") {
  constexpr auto kGateways = 16U;
  auto fixtures = std::vector<std::unique_ptr<Fixture>>();
  for (auto gateway = 0U; gateway < kGateways; ++gateway) {
    fixtures.push_back(std::make_unique<Fixture>());
    fixtures.back()->random.seed(gateway);
  }
  auto leaving_rounds = 0U;
  auto all = 0U;
  constexpr auto kRounds = 200U;
  for (auto round = 0U; round < kRounds; ++round) {
    auto leaving = 0U;
    for (auto& fixture : fixtures) {
      leaving += fixture->policy.MayLeave(kService, Load(37.5), Elsewhere(0.4))
                     ? 1
                     : 0;
    }
    leaving_rounds += leaving > 0 && leaving < kGateways ? 1 : 0;
    all += leaving;
  }
  CHECK(leaving_rounds > 0.95 * kRounds);
  CHECK(static_cast<double>(all) / (kRounds * kGateways) ==
        Approx(fixtures.front()->policy.share(kService)).margin(0.05));
}

// Guards against a log line for every request of a service at the threshold.
TEST_CASE("ZonePolicy.ReportsTheBeginAndTheEndOfLeavingOnce") {
  auto fixture = Fixture();
  auto& policy = fixture.policy;
  policy.OnSent(kService, false);
  CHECK(policy.TakeChanges().empty());
  fixture.ShareAt(Load(kSlots), Elsewhere(0.4));
  policy.OnSent(kService, true);
  const auto begun = policy.TakeChanges();
  REQUIRE(begun.size() == 1);
  CHECK(begun.front().service == kService);
  CHECK(begun.front().leaving);
  CHECK(begun.front().share == 1.0);
  CHECK(begun.front().utilisation == 1.0);
  for (auto pause = 0; pause < 5; ++pause) {
    fixture.clock.Advance(milliseconds(900));
    CHECK(policy.TakeChanges().empty());
    policy.OnSent(kService, true);
  }
  fixture.clock.Advance(milliseconds(1'000));
  const auto ended = policy.TakeChanges();
  REQUIRE(ended.size() == 1);
  CHECK_FALSE(ended.front().leaving);
  CHECK(policy.TakeChanges().empty());
}

TEST_CASE("ZoneReport.CountsRequestsAndBytesByService") {
  auto fixture = Fixture();
  auto metrics = MetricsRegistry();
  const auto logger = Logger("test");
  ReportZones(nullptr, metrics, logger);
  CHECK(metrics.Text().find("kqg_zone") == std::string::npos);
  fixture.policy.OnSent(kService, true);
  fixture.policy.OnSent(kService, false);
  fixture.policy.OnSent(kService, false);
  fixture.policy.OnBytes(kService, 700, true);
  fixture.policy.OnBytes(kService, 300, false);
  ReportZones(&fixture.policy, metrics, logger);
  ReportZones(&fixture.policy, metrics, logger);
  const auto value = [&metrics](const std::string& name,
                                const std::string& zone) {
    return metrics.counter(name + "{service=\"chat\",zone=\"" + zone + "\"}")
        .value();
  };
  CHECK(value("kqg_zone_requests_total", "own") == 2);
  CHECK(value("kqg_zone_requests_total", "other") == 1);
  CHECK(value("kqg_zone_bytes_total", "own") == 300);
  CHECK(value("kqg_zone_bytes_total", "other") == 700);
}

}  // namespace
}  // namespace kumquatgauge::serving
