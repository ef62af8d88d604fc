// Compares the router's choice of a replica at growing fleet sizes with random
// and round-robin choice, and one dispatcher per replica with direct sending by
// stale shared load.

#include <string>
#include <vector>

#include "bench/routing_fleet.h"

namespace {

using namespace kumquatgauge::bench;

constexpr double kFirstTokenTargetMs = 890.0;
constexpr double kInterTokenTargetMs = 55.0;

struct Size {
  int nodes;
  int model_replicas;
  int plain_replicas;
  int zones;
  double measured_s;
};

auto Name(const Size& size) -> std::string {
  return std::to_string(size.nodes) + "x" +
         std::to_string(size.model_replicas) + "+" +
         std::to_string(size.plain_replicas);
}

auto Measure(Report& report,
             const Size& size,
             Choice choice,
             const std::string& rule) -> FleetResult {
  FleetOptions options;
  options.seed = report.seed();
  options.nodes = size.nodes;
  options.model_replicas = size.model_replicas;
  options.plain_replicas = size.plain_replicas;
  options.zones = size.zones;
  options.measured_s = size.measured_s;
  options.choice = choice;
  auto result = Fleet(options).Run();
  auto prefix = Name(size) + "_" + rule;
  report.Measured(prefix + "_first_token_p50_ms",
                  Quantile(result.first_token_ms, 0.5));
  report.Measured(prefix + "_first_token_p95_ms",
                  Quantile(result.first_token_ms, 0.95));
  report.Measured(prefix + "_first_token_p99_ms",
                  Quantile(result.first_token_ms, 0.99));
  report.Measured(prefix + "_plain_p99_ms", Quantile(result.plain_ms, 0.99));
  report.Measured(prefix + "_imbalance", result.imbalance);
  report.Measured(prefix + "_refused_share",
                  static_cast<double>(result.refused) /
                      static_cast<double>(result.arrived));
  return result;
}

// Requests of the measured time that completed within both targets.
auto GoodShare(const FleetResult& result) -> double {
  return static_cast<double>(result.good) / static_cast<double>(result.arrived);
}

}  // namespace

auto main(int argc, char** argv) -> int {
  Report report(argc, argv);
  const std::vector<Size> sizes = {{8, 12, 3, 3, 120.0},
                                   {8, 18, 4, 4, 120.0},
                                   {40, 100, 0, 6, 40.0},
                                   {120, 300, 0, 6, 20.0},
                                   {330, 810, 0, 6, 10.0}};
  for (const auto& size : sizes) {
    auto router = Measure(report, size, Choice::kRouter, "router");
    auto random = Measure(report, size, Choice::kRandom, "random");
    auto robin = Measure(report, size, Choice::kRoundRobin, "round_robin");
    auto direct = Measure(report, size, Choice::kDirect, "direct");
    auto name = Name(size);
    report.AtMost(name + "_first_token_p95_ms",
                  Quantile(router.first_token_ms, 0.95), kFirstTokenTargetMs);
    report.AtMost(name + "_inter_token_p95_ms",
                  Quantile(router.inter_token_ms, 0.95), kInterTokenTargetMs);
    report.AtLeast(name + "_good_share_vs_random", GoodShare(router),
                   GoodShare(random));
    report.AtLeast(name + "_good_share_vs_round_robin", GoodShare(router),
                   GoodShare(robin));
    report.AtLeast(name + "_good_share_vs_direct", GoodShare(router),
                   GoodShare(direct));
    report.AtMost(name + "_first_token_p99_ms_vs_random",
                  Quantile(router.first_token_ms, 0.99),
                  Quantile(random.first_token_ms, 0.99));
    report.AtMost(name + "_first_token_p99_ms_vs_direct",
                  Quantile(router.first_token_ms, 0.99),
                  Quantile(direct.first_token_ms, 0.99));
  }
  return report.status();
}
