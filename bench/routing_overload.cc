// Measures goodput at twice the capacity and offered load, with and without the
// retry budget, and compares the adaptive limit with fixed ones.

#include <string>

#include "bench/routing_fleet.h"

namespace {

using namespace kumquatgauge::bench;

constexpr double kGoodputBound = 0.9;
constexpr double kRetryShare = 0.1;
constexpr double kRetriesPerSecond = 3.0;

auto Options(const Report& report, double load) -> FleetOptions {
  FleetOptions options;
  options.seed = report.seed();
  options.load = load;
  options.measured_s = 120.0;
  return options;
}

auto RunWithBudget(const Report& report, double load, bool budget)
    -> FleetResult {
  auto options = Options(report, load);
  options.retry_budget = budget;
  return Fleet(options).Run();
}

// Engines that run more concurrent requests than the targets allow.
auto RunWithLimit(const Report& report, double load, bool adaptive)
    -> FleetResult {
  auto options = Options(report, load);
  options.engine.capacity = 48;
  options.adaptive_limit = adaptive;
  return Fleet(options).Run();
}

}  // namespace

auto main(int argc, char** argv) -> int {
  Report report(argc, argv);
  auto at_capacity = RunWithBudget(report, 1.0, true);
  auto overload = RunWithBudget(report, 2.0, true);
  auto unbounded = RunWithBudget(report, 2.0, false);
  report.Measured("goodput_at_capacity_per_s", at_capacity.goodput);
  report.AtLeast("goodput_at_2x", overload.goodput,
                 kGoodputBound * at_capacity.goodput);
  report.Measured("goodput_at_2x_without_retry_budget", unbounded.goodput);

  auto amplification = [](const FleetResult& result) {
    return static_cast<double>(result.all_attempts) /
           static_cast<double>(result.all_arrived);
  };
  report.Measured("offered_load_without_retry_budget",
                  amplification(unbounded));
  // The budget starts with the retries of one second.
  auto max_retries = kRetryShare * static_cast<double>(overload.all_arrived) +
                     kRetriesPerSecond * (overload.attempt_seconds + 1.0);
  report.AtMost("offered_load_with_retry_budget", amplification(overload),
                1.0 + max_retries / static_cast<double>(overload.all_arrived));

  for (auto load : {1.0, 2.0}) {
    auto adaptive = RunWithLimit(report, load, true);
    auto fixed = RunWithLimit(report, load, false);
    auto suffix = load == 1.0 ? "_at_capacity" : "_at_2x";
    report.AtLeast(std::string("goodput_adaptive_vs_fixed") + suffix,
                   adaptive.goodput, fixed.goodput);
    report.Measured(std::string("inter_token_p95_ms_adaptive") + suffix,
                    Quantile(adaptive.inter_token_ms, 0.95));
    report.Measured(std::string("inter_token_p95_ms_fixed") + suffix,
                    Quantile(fixed.inter_token_ms, 0.95));
  }
  return report.status();
}
