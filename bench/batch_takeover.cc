// Measures the time from the death of an owner to the first item that its
// successor starts, on a manual clock, for deaths at different moments of the
// renewal interval.
#include <algorithm>
#include <iostream>

#include "bench/batch_report.h"
#include "kumquatgauge/control/lease.h"
#include "src/batch/test_cluster.h"

namespace kumquatgauge::batch {
namespace {

using std::chrono::milliseconds;
using testing::TestCluster;

// Deaths at intervals of 100 ms over one renewal interval.
constexpr auto kPhases = 20;

auto InSeconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

// `known_after`: time until the other nodes know of the death.
auto Measure(int phase, Duration known_after, Duration call_time) -> double {
  auto cluster = TestCluster(static_cast<std::uint64_t>(phase));
  cluster.death_detection_delay = known_after;
  cluster.resolution = milliseconds(1);
  for (const auto* name : {"a", "b", "c", "d"}) {
    cluster.StartNode(name);
  }
  const auto job = cluster.MakeJob("j", 4'000);
  cluster.Submit("a", job);
  cluster.store_delay = call_time;
  cluster.AdvanceUntil(std::chrono::minutes(1),
                       [&] { return cluster.State(job).results() >= 500; });
  cluster.Advance(TestCluster::kStep * phase);
  const auto owner = cluster.OwnerOf(job);
  cluster.Kill(owner);
  const auto death = cluster.clock.now();
  cluster.AdvanceUntil(std::chrono::minutes(1), [&] {
    return std::any_of(
        cluster.nodes.begin(), cluster.nodes.end(), [&](const auto& node) {
          return node.first != owner && !node.second.runner->starts.empty();
        });
  });
  return InSeconds(cluster.clock.now() - death);
}

}  // namespace
}  // namespace kumquatgauge::batch

auto main() -> int {
  using kumquatgauge::batch::InSeconds;
  using kumquatgauge::batch::kPhases;
  using kumquatgauge::batch::Measure;
  using std::chrono::milliseconds;
  const auto term = InSeconds(kumquatgauge::control::LeaseTiming().term);
  auto report = kumquatgauge::bench::BatchReport();
  for (const auto call_ms : {0, 5}) {
    auto worst = 0.0;
    auto sum = 0.0;
    for (auto phase = 0; phase < kPhases; ++phase) {
      // 3 s is the design's bound for a death to be known everywhere.
      const auto delay =
          Measure(phase, std::chrono::seconds(3), milliseconds(call_ms));
      worst = std::max(worst, delay);
      sum += delay;
    }
    const auto name = "batch_takeover_calls_" + std::to_string(call_ms) + "ms";
    report.AtMost(name + "_worst_s", worst, term + 2);
    report.AtMost(name + "_mean_s", sum / kPhases, term + 2);
  }
  return report.exit_code();
}
