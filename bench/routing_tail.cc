// Compares the tail latency with one of 18 replicas ten times slower to that
// with all replicas healthy. The simplest rule is round robin with a fixed
// limit.

#include <string>

#include "bench/routing_fleet.h"

namespace {

using namespace kumquatgauge::bench;

constexpr double kTailBound = 1.3;
constexpr double kSlowFactor = 10.0;

auto Options(const Report& report) -> FleetOptions {
  FleetOptions options;
  options.seed = report.seed();
  options.model_replicas = 18;
  options.plain_replicas = 4;
  options.zones = 4;
  options.load = 0.6;
  options.warmup_s = 60.0;
  options.measured_s = 240.0;
  return options;
}

auto InterToken99(const FleetResult& result) -> double {
  return Quantile(result.inter_token_ms, 0.99);
}

}  // namespace

auto main(int argc, char** argv) -> int {
  Report report(argc, argv);
  auto healthy = Fleet(Options(report)).Run();
  auto slow = Options(report);
  slow.slow_replica = 5;
  slow.slow_factor = kSlowFactor;
  auto with_rules = Fleet(slow).Run();
  auto without_ejection = slow;
  without_ejection.outlier = false;
  auto not_ejected = Fleet(without_ejection).Run();
  auto simple = slow;
  simple.outlier = false;
  simple.choice = Choice::kRoundRobin;
  simple.adaptive_limit = false;
  auto round_robin = Fleet(simple).Run();
  auto no_limit = slow;
  no_limit.adaptive_limit = false;
  auto fixed_limit = Fleet(no_limit).Run();

  auto healthy_first = Quantile(healthy.first_token_ms, 0.99);
  report.Measured("tail_first_token_p99_ms_all_healthy", healthy_first);
  report.Measured("tail_first_token_p99_ratio_without_ejection",
                  Quantile(not_ejected.first_token_ms, 0.99) / healthy_first);
  report.Measured("tail_first_token_p99_ratio_round_robin",
                  Quantile(round_robin.first_token_ms, 0.99) / healthy_first);
  report.Measured("tail_inter_token_p99_ratio_without_ejection",
                  InterToken99(not_ejected) / InterToken99(healthy));
  report.Measured("tail_inter_token_p99_ratio_round_robin",
                  InterToken99(round_robin) / InterToken99(healthy));
  report.Measured("tail_first_token_p99_ratio_fixed_limit",
                  Quantile(fixed_limit.first_token_ms, 0.99) / healthy_first);
  report.Measured("tail_inter_token_p99_ratio_fixed_limit",
                  InterToken99(fixed_limit) / InterToken99(healthy));
  auto first999 = [](const FleetResult& result) {
    return Quantile(result.first_token_ms, 0.999);
  };
  report.Measured("tail_first_token_p999_ratio",
                  first999(with_rules) / first999(healthy));
  report.Measured("tail_first_token_p999_ratio_round_robin",
                  first999(round_robin) / first999(healthy));
  report.Measured("tail_refused_round_robin",
                  static_cast<double>(round_robin.refused));
  report.Measured("tail_refused_router",
                  static_cast<double>(with_rules.refused));
  report.AtMost("tail_first_token_p99_ratio",
                Quantile(with_rules.first_token_ms, 0.99) / healthy_first,
                kTailBound);
  report.AtMost("tail_inter_token_p99_ratio",
                InterToken99(with_rules) / InterToken99(healthy), kTailBound);
  return report.status();
}
