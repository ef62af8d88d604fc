// Measures whether the work of a gateway's load balancer for one request grows
// with the replicas of the fleet. A gateway uses only those of its cell, and a
// fleet of ten times the size has ten times the cells.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "bench/batch_report.h"
#include "kumquatgauge/serving/load_balancer.h"
#include "testing/support/manual_clock.h"

namespace {

using namespace kumquatgauge;
using namespace kumquatgauge::serving;

constexpr std::size_t kReplicasPerCell = 16;
constexpr std::size_t kSmallFleetCells = 4;
constexpr std::size_t kLargeFleetCells = 40;
constexpr int kRounds = 30;
constexpr int kRequestsPerRound = 200;
// A request in a fleet of ten times the size may cost half more: larger
// containers have slower look-ups.
constexpr double kBound = 1.5;
const ServiceName kService("chat");

auto MakeReplicas(std::size_t count) -> std::vector<routing::Replica> {
  auto replicas = std::vector<routing::Replica>();
  for (std::size_t index = 0; index < count; ++index) {
    auto replica = routing::Replica();
    replica.id = ReplicaId("replica-" + std::to_string(index));
    replica.service = kService;
    replica.address = "10.0.0.1:" + std::to_string(index);
    replica.zone = ZoneName("z" + std::to_string(index % 3));
    replica.capacity = 8;
    replicas.push_back(std::move(replica));
  }
  return replicas;
}

// One request with all that the gateway asks the balancer for: a choice, a
// completion, and the counts and reports for the other gateways of the cell.
auto ServeRequest(LoadBalancer& balancer, testing::ManualClock& clock) -> bool {
  auto request = ChoiceRequest();
  request.service = kService;
  request.latency_target = std::chrono::milliseconds(300);
  const auto choice = balancer.Choose(request);
  if (!choice.replica) {
    return false;
  }
  const auto id = choice.replica->id;
  const auto ticket = balancer.OnSent(id);
  balancer.OnStarted(id, routing::WorkClass::kOnline);
  balancer.own_counts();
  balancer.own_silence_reports();
  balancer.BatchCapacity(kService);
  balancer.YieldableBatch(kService);
  clock.Advance(std::chrono::milliseconds(40));
  balancer.silence_detector().OnFirstEvent(ticket);
  balancer.OnSuccess(id, std::chrono::milliseconds(40));
  balancer.OnEnded(id, routing::WorkClass::kOnline);
  balancer.OnCompleted(id, std::chrono::milliseconds(400));
  balancer.silence_detector().Check();
  return true;
}

// Returns the median over rounds of the mean time of a request in
// microseconds; the median ignores rounds disturbed by other load.
auto TimeWithCells(std::size_t cells) -> double {
  auto clock = testing::ManualClock();
  auto random = std::mt19937_64(1);
  auto balancer = LoadBalancer(LoadBalancerSettings(), ZoneName("z0"),
                               clock.AsHook(), [&random] { return random(); });
  balancer.SetReplicas(MakeReplicas(cells * kReplicasPerCell));
  balancer.SetCell(0, cells);
  auto rounds = std::vector<double>();
  for (auto round = 0; round < kRounds; ++round) {
    const auto start = std::chrono::steady_clock::now();
    for (auto index = 0; index < kRequestsPerRound; ++index) {
      if (!ServeRequest(balancer, clock)) {
        return -1.0;
      }
    }
    const auto taken = std::chrono::steady_clock::now() - start;
    rounds.push_back(std::chrono::duration<double, std::micro>(taken).count() /
                     kRequestsPerRound);
  }
  std::nth_element(rounds.begin(), rounds.begin() + kRounds / 2, rounds.end());
  return rounds[kRounds / 2];
}

}  // namespace

auto main() -> int {
  auto report = bench::BatchReport();
  const auto small = TimeWithCells(kSmallFleetCells);
  const auto large = TimeWithCells(kLargeFleetCells);
  std::printf("us a request: %.2f with %zu cells, %.2f with %zu\n", small,
              kSmallFleetCells, large, kLargeFleetCells);
  report.AtMost("balancer_fleet_size_640_over_64", large / small, kBound);
  return report.exit_code();
}
