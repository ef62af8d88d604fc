// Platform calls of batch work, extrapolated to the target scale from the
// slopes between three sizes.
#include <cstdio>
#include <vector>

#include "bench/batch_report.h"
#include "src/batch/test_cluster.h"

namespace kumquatgauge::batch {
namespace {

using testing::StoreFault;
using testing::TestCluster;

constexpr auto kItemsPerDay = 69'000'000.0;
constexpr auto kJobsPerDay = 2'600.0;
constexpr auto kSecondsPerDay = 86'400.0;
constexpr auto kWriteBound = 300.0;  // Per second, for the whole fleet.
constexpr auto kReadBound = 2'000.0;
// Each owner's share of 800 items/s over 64 shards, with items of 5 s.
constexpr std::size_t kSlots = 62;
constexpr auto kItemTime = std::chrono::seconds(5);

struct Calls {
  double items = 0;
  double job_writes = 0;  // Other than leases.
  double lease_writes = 0;
  double shard_reads = 0;  // Indexes and leases; of all shards.
  double job_reads = 0;    // While one job is active.
  double seconds = 0;
};

auto Measure(std::size_t jobs, std::size_t items) -> Calls {
  auto cluster = TestCluster();
  cluster.slots = kSlots;
  cluster.item_time = kItemTime;
  auto calls = Calls();
  cluster.set_fault([&](const auto& call, const auto& key) {
    const auto job = key.starts_with("job/");
    if (call == "read") {
      (job ? calls.job_reads : calls.shard_reads) += 1;
    } else {
      (key.starts_with("shard/") ? calls.lease_writes : calls.job_writes) += 1;
    }
    return StoreFault::kNone;
  });
  cluster.StartNode("a");
  cluster.StartNode("b");
  const auto start = cluster.clock.now();
  for (std::size_t i = 0; i < jobs; ++i) {
    const auto job = cluster.MakeJob("j" + std::to_string(i), items);
    cluster.Submit("a", job);
    cluster.AdvanceUntil(std::chrono::hours(24),
                         [&] { return cluster.Finished(job); });
  }
  calls.items = static_cast<double>(jobs * items);
  calls.seconds =
      std::chrono::duration<double>(cluster.clock.now() - start).count();
  return calls;
}

}  // namespace
}  // namespace kumquatgauge::batch

auto main() -> int {
  using kumquatgauge::batch::Calls;
  using kumquatgauge::batch::kItemsPerDay;
  using kumquatgauge::batch::kJobsPerDay;
  using kumquatgauge::batch::kReadBound;
  using kumquatgauge::batch::kSecondsPerDay;
  using kumquatgauge::batch::kShardCount;
  using kumquatgauge::batch::kWriteBound;
  using kumquatgauge::batch::Measure;
  auto report = kumquatgauge::bench::BatchReport();
  // Slope by items at two jobs, then slope by jobs of the middle size.
  const auto small = Measure(2, 2'560);
  const auto middle = Measure(2, 5'120);
  const auto large = Measure(2, 10'240);
  const auto more = Measure(6, 5'120);
  const auto per_item =
      (large.job_writes - small.job_writes) / (large.items - small.items);
  const auto first_half =
      (middle.job_writes - small.job_writes) / (middle.items - small.items);
  const auto per_job = (more.job_writes - middle.job_writes -
                        per_item * (more.items - middle.items)) /
                       4.0;
  std::printf("writes per item: %.5f (lower half %.5f), per job: %.2f\n",
              per_item, first_half, per_job);
  const auto items_per_second = kItemsPerDay / kSecondsPerDay;
  const auto jobs_per_second = kJobsPerDay / kSecondsPerDay;
  const auto job_writes =
      per_item * items_per_second + per_job * jobs_per_second;
  // One shard is leased and one job active nearly all the time here. At the
  // target all 64 shards are leased, each with one active job; the two nodes
  // here poll all shards already.
  const auto lease_writes = large.lease_writes / large.seconds * kShardCount;
  const auto shard_reads = large.shard_reads / large.seconds;
  const auto job_reads = large.job_reads / large.seconds * kShardCount;
  const auto reads = shard_reads + job_reads;
  std::printf("job writes/s: %.1f, lease writes/s: %.1f\n", job_writes,
              lease_writes);
  std::printf("shard reads/s: %.1f, job reads/s: %.1f\n", shard_reads,
              job_reads);
  report.AtMost("batch_platform_writes_per_s_at_target",
                job_writes + lease_writes, kWriteBound);
  report.AtMost("batch_platform_reads_per_s_at_target", reads, kReadBound);
  return report.exit_code();
}
