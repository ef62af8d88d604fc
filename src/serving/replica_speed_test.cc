#include "kumquatgauge/serving/replica_speed.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <map>
#include <random>
#include <string>

#include "kumquatgauge/serving/load_balancer.h"
#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using routing::Replica;
using routing::WorkClass;
using std::chrono::milliseconds;

const ServiceName kService("chat");
const ReplicaId kFast("fast");
const ReplicaId kMedium("medium");
const ReplicaId kSlow("slow");
const std::map<ReplicaId, double> kSpeeds{{kFast, 0.6},
                                          {kMedium, 1.0},
                                          {kSlow, 1.6}};
constexpr std::uint32_t kSlots = 8;

auto MakeReplica(const ReplicaId& id, std::uint64_t started_ms = 1) -> Replica {
  auto replica = Replica();
  replica.id = id;
  replica.service = kService;
  replica.address = "10.0.0.1:" + std::to_string(1000 + id.value().size());
  replica.zone = ZoneName("a");
  replica.capacity = kSlots;
  replica.started_ms = started_ms;
  return replica;
}

auto MakeReplicas() -> std::vector<Replica> {
  return {MakeReplica(kFast), MakeReplica(kMedium), MakeReplica(kSlow)};
}

// Completes requests of random length on all replicas.
template <typename Learner>
auto Learn(Learner& learner,
           const std::map<ReplicaId, double>& speeds,
           std::uint32_t requests,
           std::uint64_t seed = 7) -> void {
  auto random = std::mt19937_64(seed);
  for (auto request = 0U; request < requests; ++request) {
    for (const auto& [id, speed] : speeds) {
      const auto length_ms = static_cast<double>(100 + random() % 600);
      learner.OnCompleted(
          id,
          std::chrono::duration_cast<Duration>(
              std::chrono::duration<double, std::milli>(length_ms * speed)));
    }
  }
}

struct Fixture {
  Fixture() { speed.SetReplicas(MakeReplicas()); }

  testing::ManualClock clock;
  ReplicaSpeed speed{ReplicaSpeedSettings(), clock.AsHook()};
};

// Load: speeds 0.6, 1.0 and 1.6, requests of random length.
TEST_CASE("ReplicaSpeed.LearnsSpeedsFromHoldingTimes") {
  auto fixture = Fixture();
  CHECK(fixture.speed.speed(kSlow) == 1.0);
  CHECK_FALSE(fixture.speed.IsUsed(kService));
  Learn(fixture.speed, kSpeeds, 400);
  CHECK(fixture.speed.IsUsed(kService));
  // The average of the three is 1.067.
  const auto mean = (0.6 + 1.0 + 1.6) / 3.0;
  for (const auto& [id, speed] : kSpeeds) {
    CHECK(fixture.speed.speed(id) == Approx(speed / mean).epsilon(0.1));
  }
}

// Load: equal replicas, or ones that differ by 10 %, requests of random length.
// Guards against differences by chance that change the choice.
TEST_CASE("ReplicaSpeed.IsNotUsedForReplicasThatHardlyDiffer") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    INFO(seed);
    auto equal = Fixture();
    auto similar = Fixture();
    for (auto round = 0U; round < 20; ++round) {
      Learn(equal.speed, {{kFast, 1.0}, {kMedium, 1.0}, {kSlow, 1.0}}, 20,
            100 * seed + round);
      Learn(similar.speed, {{kFast, 1.0}, {kMedium, 1.05}, {kSlow, 1.1}}, 20,
            100 * seed + round);
      CHECK_FALSE(equal.speed.IsUsed(kService));
      CHECK_FALSE(similar.speed.IsUsed(kService));
    }
  }
}

// Load: a host's load steps from 100 to 160 to 60 percent, then its reports
// stop. Guards against old reports that are taken for the present state.
TEST_CASE("ReplicaSpeed.FollowsReportsWhileTheyAreFresh") {
  auto fixture = Fixture();
  fixture.speed.OnHostLoad(kMedium, 1.0);
  CHECK(fixture.speed.IsUsed(kService));
  CHECK(fixture.speed.speed(kMedium) == 1.0);
  fixture.speed.OnHostLoad(kMedium, 1.6);
  CHECK(fixture.speed.speed(kMedium) == Approx(1.6));
  fixture.clock.Advance(milliseconds(100));
  fixture.speed.OnHostLoad(kMedium, 0.6);
  CHECK(fixture.speed.speed(kMedium) == Approx(0.6));
  fixture.clock.Advance(milliseconds(299));
  CHECK(fixture.speed.speed(kMedium) == Approx(0.6));
  fixture.clock.Advance(milliseconds(1));
  CHECK(fixture.speed.speed(kMedium) == 1.0);
  CHECK(fixture.speed.IsUsed(kService));
}

// Load: the slow replica's host always has a load of 160 percent. Guards
// against a load that counts twice, in the learned speed and in the report.
TEST_CASE("ReplicaSpeed.CountsALastingLoadOnce") {
  auto fixture = Fixture();
  for (auto round = 0U; round < 400; ++round) {
    fixture.speed.OnHostLoad(kSlow, 1.6);
    Learn(fixture.speed, kSpeeds, 1, round);
  }
  const auto mean = (0.6 + 1.0 + 1.6) / 3.0;
  CHECK(fixture.speed.speed(kSlow) == Approx(1.6 / mean).epsilon(0.1));
  // Without work of others, its speed is that of the medium one.
  fixture.speed.OnHostLoad(kSlow, 1.0);
  CHECK(fixture.speed.speed(kSlow) == Approx(1.0 / mean).epsilon(0.1));
  fixture.clock.Advance(milliseconds(300));
  CHECK(fixture.speed.speed(kSlow) == Approx(1.6 / mean).epsilon(0.1));
}

// Guards against a restarted replica that keeps the speed of its last host, or
// its last report.
TEST_CASE("ReplicaSpeed.ForgetsARestartedReplica") {
  auto fixture = Fixture();
  Learn(fixture.speed, kSpeeds, 400);
  fixture.speed.OnHostLoad(kSlow, 2.0);
  auto replicas = MakeReplicas();
  fixture.speed.SetReplicas(replicas);
  CHECK(fixture.speed.speed(kSlow) > 2.0);
  replicas.back() = MakeReplica(kSlow, 2);
  fixture.speed.SetReplicas(replicas);
  CHECK(fixture.speed.speed(kSlow) == 1.0);
  CHECK(fixture.speed.speed(kFast) < 0.7);
  CHECK(fixture.speed.IsUsed(kService));
}

TEST_CASE("ReplicaSpeed.IgnoresValuesThatAreNoLoads") {
  auto fixture = Fixture();
  for (const auto load :
       {0.0, -1.0, std::nan(""), std::numeric_limits<double>::infinity()}) {
    fixture.speed.OnHostLoad(kSlow, load);
  }
  fixture.speed.OnHostLoad(ReplicaId("unknown"), 1.6);
  fixture.speed.OnCompleted(ReplicaId("unknown"), milliseconds(1));
  fixture.speed.OnCompleted(kSlow, milliseconds(0));
  CHECK_FALSE(fixture.speed.IsUsed(kService));
  CHECK(fixture.speed.speed(kSlow) == 1.0);
  fixture.speed.OnHostLoad(kSlow, 1e9);
  CHECK(fixture.speed.speed(kSlow) == ReplicaSpeedSettings().slowest);
}

// Guards against a queue at a fast replica while a slow one has a free slot,
// and against margins that mean something else for equal replicas.
TEST_CASE("ReplicaSpeed.ScoresFreeSlotsBelowEveryQueue") {
  constexpr double kStep = 0.125;
  for (const auto speed : {0.1, 0.6, 1.0, 1.6, 10.0}) {
    auto before = -1.0;
    for (auto utilisation = 0.0; utilisation < 1.0; utilisation += kStep) {
      const auto score = detail::FreeSlotScore(speed, utilisation);
      CHECK(score > before);
      CHECK(score < 1.0);
      before = score;
    }
  }
  CHECK(detail::FreeSlotScore(1.0, 0.0) == 0.0);
  CHECK(detail::FreeSlotScore(1.0, 0.5) == 0.5);
}

// Guards against a log line for every request.
TEST_CASE("ReplicaSpeed.TellsOnceThatSpeedsAreUsed") {
  auto fixture = Fixture();
  CHECK(fixture.speed.TakeChanges().empty());
  Learn(fixture.speed, kSpeeds, 400);
  const auto changes = fixture.speed.TakeChanges();
  REQUIRE(changes.size() == 1);
  CHECK(changes.front().service == kService);
  CHECK(changes.front().used);
  CHECK_FALSE(changes.front().reports);
  CHECK(changes.front().fastest == fixture.speed.speed(kFast));
  CHECK(changes.front().slowest == fixture.speed.speed(kSlow));
  CHECK(fixture.speed.used_services() == 1);
  fixture.speed.SetReplicas(MakeReplicas());
  CHECK(fixture.speed.TakeChanges().empty());
  // Only replicas that start now are left.
  fixture.speed.SetReplicas({MakeReplica(kFast, 2), MakeReplica(kSlow, 2)});
  const auto ended = fixture.speed.TakeChanges();
  REQUIRE(ended.size() == 1);
  CHECK_FALSE(ended.front().used);
}

// Returns the replica of a choice, which must have one.
auto IdOf(const Choice& choice) -> ReplicaId {
  REQUIRE(choice.replica.has_value());
  return choice.replica.value_or(Replica()).id;
}

struct BalancerFixture {
  BalancerFixture() { balancer.SetReplicas(MakeReplicas()); }

  auto SendMany(std::uint32_t requests) -> std::map<ReplicaId, std::uint32_t> {
    auto sent = std::map<ReplicaId, std::uint32_t>();
    for (auto request = 0U; request < requests; ++request) {
      auto wanted = ChoiceRequest();
      wanted.service = kService;
      wanted.latency_target = milliseconds(300);
      const auto choice = balancer.Choose(wanted);
      const auto id = IdOf(choice);
      balancer.OnStarted(id, WorkClass::kOnline);
      ++sent[id];
    }
    return sent;
  }

  testing::ManualClock clock;
  std::mt19937_64 random{7};
  LoadBalancer balancer{LoadBalancerSettings(), ZoneName("a"), clock.AsHook(),
                        [this] { return random(); }};
};

// Load: half of the slots, then all of them.
TEST_CASE("LoadBalancerSpeed.FillsASlowReplicaLess") {
  auto fixture = BalancerFixture();
  Learn(fixture.balancer, kSpeeds, 400);
  auto sent = fixture.SendMany(3 * kSlots / 2);
  CHECK(sent[kFast] > sent[kMedium]);
  CHECK(sent[kMedium] > sent[kSlow]);
  for (const auto& [id, requests] : fixture.SendMany(3 * kSlots / 2)) {
    sent[id] += requests;
  }
  CHECK(sent[kFast] == kSlots);
  CHECK(sent[kSlow] == kSlots);
}

// Guards against a changed choice where replicas are equal and don't report.
TEST_CASE("LoadBalancerSpeed.FillsEqualReplicasEvenly") {
  auto fixture = BalancerFixture();
  Learn(fixture.balancer, {{kFast, 1.0}, {kMedium, 1.0}, {kSlow, 1.0}}, 400);
  for (const auto& [id, requests] : fixture.SendMany(12)) {
    CHECK(requests == 4);
  }
}

// Load: one host reports 160 percent.
TEST_CASE("LoadBalancerSpeed.FillsAReplicaOnALoadedHostLess") {
  auto fixture = BalancerFixture();
  fixture.balancer.OnReport(kSlow, 0, 0, 1.6);
  auto loaded = fixture.SendMany(12);
  CHECK(loaded[kSlow] < 4);
  CHECK(loaded[kFast] > 4);
  auto old = BalancerFixture();
  old.balancer.OnReport(kSlow, 0, 0, 1.6);
  old.clock.Advance(milliseconds(300));
  CHECK(old.SendMany(12)[kSlow] == 4);
}

// Load: all slots are in use, and requests queue until no replica takes more.
// Guards against refusals because the queue of the fastest replica is full
// while that of a slower one is not.
TEST_CASE("LoadBalancerSpeed.FillsAllQueuesBeforeItIsFull") {
  auto fixture = BalancerFixture();
  Learn(fixture.balancer, kSpeeds, 400);
  auto wanted = ChoiceRequest();
  wanted.service = kService;
  wanted.latency_target = milliseconds(1'000);
  auto sent = std::map<ReplicaId, std::uint32_t>();
  while (true) {
    const auto choice = fixture.balancer.Choose(wanted);
    if (choice.availability == Availability::kFull) {
      break;
    }
    const auto id = IdOf(choice);
    fixture.balancer.OnStarted(id, WorkClass::kOnline);
    ++sent[id];
  }
  const auto hold_ms = std::chrono::duration<double, std::milli>(
                           fixture.balancer.mean_hold(kService))
                           .count();
  // 0.4 of the target, at the mean speed.
  const auto queue = static_cast<std::uint32_t>(400.0 * kSlots / hold_ms);
  CHECK(sent[kFast] > kSlots + queue);
  CHECK(sent[kMedium] >= kSlots + queue);
  CHECK(sent[kSlow] == kSlots + queue);
}

}  // namespace
}  // namespace kumquatgauge::serving
