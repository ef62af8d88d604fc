// Compares load sharing between nodes on changes beyond a threshold with
// periodic sending within the same byte budget, by bytes sent and balance
// reached.

#include <string>
#include <vector>

#include "bench/routing_fleet.h"

namespace {

using namespace kumquatgauge::bench;

// For all control traffic of a node.
constexpr double kBytesBound = 3000.0;

struct Size {
  int nodes;
  int model_replicas;
  int plain_replicas;
  int zones;
  double measured_s;
};

auto Run(const Report& report, const Size& size, Sharing sharing)
    -> FleetResult {
  FleetOptions options;
  options.seed = report.seed();
  options.nodes = size.nodes;
  options.model_replicas = size.model_replicas;
  options.plain_replicas = size.plain_replicas;
  options.zones = size.zones;
  options.measured_s = size.measured_s;
  options.sharing = sharing;
  return Fleet(options).Run();
}

auto Print(Report& report, const std::string& prefix, const FleetResult& result)
    -> void {
  report.Measured(prefix + "_bytes_per_node_s", result.shared_bytes_per_node_s);
  report.Measured(prefix + "_imbalance", result.imbalance);
  report.Measured(prefix + "_first_token_p99_ms",
                  Quantile(result.first_token_ms, 0.99));
}

}  // namespace

auto main(int argc, char** argv) -> int {
  Report report(argc, argv);
  const std::vector<Size> sizes = {{8, 12, 3, 3, 120.0},
                                   {8, 18, 4, 4, 120.0},
                                   {40, 100, 0, 6, 40.0},
                                   {330, 810, 0, 6, 10.0}};
  for (const auto& size : sizes) {
    auto prefix = "sharing_" + std::to_string(size.nodes) + "x" +
                  std::to_string(size.model_replicas) + "+" +
                  std::to_string(size.plain_replicas);
    auto none = Run(report, size, Sharing::kNone);
    auto periodic = Run(report, size, Sharing::kPeriodic);
    auto threshold = Run(report, size, Sharing::kThreshold);
    Print(report, prefix + "_none", none);
    Print(report, prefix + "_periodic", periodic);
    Print(report, prefix + "_threshold", threshold);
    report.AtMost(prefix + "_most_bytes_per_node_s",
                  threshold.max_shared_bytes_per_node_s, kBytesBound);
    report.AtMost(prefix + "_imbalance_vs_periodic", threshold.imbalance,
                  periodic.imbalance);
    report.AtMost(prefix + "_bytes_vs_periodic",
                  threshold.shared_bytes_per_node_s,
                  periodic.shared_bytes_per_node_s);
  }
  return report.status();
}
