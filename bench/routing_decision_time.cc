// Measures the time of one choice of a replica, with all 810 replicas in one
// service.

#include <chrono>
#include <random>
#include <string>

#include "bench/routing_simulation.h"
#include "kumquatgauge/routing/router.h"

namespace {

using namespace kumquatgauge;
using namespace kumquatgauge::routing;

constexpr int kReplicas = 810;
constexpr int kZones = 6;
constexpr double kBoundUs = 20.0;
constexpr int kRounds = 20;
constexpr int kChoicesPerRound = 1000;
const ServiceName kService("chat");

auto MakeRouter(testing::ManualClock& clock, std::mt19937_64& random)
    -> Router {
  Router router(ZoneName("z0"), {}, clock.AsHook(),
                [&random] { return random(); });
  std::vector<Replica> replicas;
  for (int index = 0; index < kReplicas; ++index) {
    Replica replica;
    replica.id =
        ReplicaId("upstream-with-a-long-name-" + std::to_string(index));
    replica.service = kService;
    replica.zone = ZoneName("z" + std::to_string(index % kZones));
    replica.capacity = 16;
    replicas.push_back(replica);
  }
  router.SetReplicas(replicas);
  for (const auto& replica : replicas) {
    ReplicaLoad load;
    load.replica = replica.id;
    load.online_in_flight = static_cast<std::uint32_t>(random() % 16);
    load.limit = 16;
    load.free_batch_slots = static_cast<std::uint32_t>(random() % 1000);
    router.OnLoad(load);
  }
  return router;
}

enum class Variant { kOnline, kAffinity, kTried, kBatch };

// Median over rounds of the mean time of a choice in microseconds; the median
// ignores rounds disturbed by other load on the machine.
auto TimeOf(Variant variant, std::uint64_t seed) -> double {
  testing::ManualClock clock;
  std::mt19937_64 random(seed);
  auto router = MakeRouter(clock, random);
  std::vector<double> rounds;
  for (int round = 0; round < kRounds; ++round) {
    auto start = std::chrono::steady_clock::now();
    for (int index = 0; index < kChoicesPerRound; ++index) {
      RouteRequest request;
      request.service = kService;
      request.affinity = variant == Variant::kAffinity ? random() | 1U : 0;
      if (variant == Variant::kTried) {
        request.tried = {ReplicaId("upstream-with-a-long-name-1"),
                         ReplicaId("upstream-with-a-long-name-2")};
      }
      auto choice = variant == Variant::kBatch ? router.ChooseForBatch(request)
                                               : router.Choose(request);
      if (!choice.replica) {
        return -1.0;
      }
    }
    auto taken = std::chrono::steady_clock::now() - start;
    rounds.push_back(std::chrono::duration<double, std::micro>(taken).count() /
                     (kChoicesPerRound));
  }
  return bench::Quantile(rounds, 0.5);
}

}  // namespace

auto main(int argc, char** argv) -> int {
  bench::Report report(argc, argv);
  auto seed = report.seed();
  report.AtMost("decision_us_online_810", TimeOf(Variant::kOnline, seed),
                kBoundUs);
  report.AtMost("decision_us_affinity_810", TimeOf(Variant::kAffinity, seed),
                kBoundUs);
  report.AtMost("decision_us_two_tried_810", TimeOf(Variant::kTried, seed),
                kBoundUs);
  report.AtMost("decision_us_batch_810", TimeOf(Variant::kBatch, seed),
                kBoundUs);
  return report.status();
}
