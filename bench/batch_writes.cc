// Platform writes per chunk of a batch job, without a fault and with a takeover
// in the middle of the job.
#include <algorithm>
#include <map>
#include <set>

#include "bench/batch_report.h"
#include "kumquatgauge/batch/commit_policy.h"
#include "src/batch/test_cluster.h"

namespace kumquatgauge::batch {
namespace {

using testing::StoreFault;
using testing::TestCluster;

constexpr std::size_t kChunks = 40;

struct ChunkWrites {
  double mean = 0;     // All writes for chunks, the takeover included.
  double largest = 0;  // Of one chunk, without its share of the takeover.
};

// Counts the writes to the store. The store's hook receives only keys, so the
// parts that are listed in the state are compared after each step.
class WriteCounter {
 public:
  WriteCounter(TestCluster& cluster, JobId job) : job_(std::move(job)) {
    cluster.set_fault([this](const auto& call, const auto& key) {
      if (call == "write") {
        Count(key);
      }
      return StoreFault::kNone;
    });
  }

  auto Observe(const JobState& state) -> void {
    for (const auto& [chunk, parts] : state.chunks) {
      auto& known = parts_[chunk];
      if (known != parts.size()) {
        known = parts.size();
        ++writes_[chunk];
      }
    }
  }
  auto Result(std::size_t chunks) const -> ChunkWrites {
    auto result = ChunkWrites();
    for (const auto& [chunk, count] : writes_) {
      result.largest = std::max(result.largest, static_cast<double>(count));
    }
    // The state is created once and not for a chunk.
    result.mean = static_cast<double>(chunk_writes_ + state_writes_ - 1) /
                  static_cast<double>(chunks);
    return result;
  }

 private:
  auto Count(const std::string& key) -> void {
    for (const auto* kind : {"in/", "out/"}) {
      const auto prefix = JobPrefix(job_) + kind;
      if (key.starts_with(prefix)) {
        ++chunk_writes_;
        ++writes_[std::stoul(key.substr(prefix.size()))];
      }
    }
    state_writes_ += key == StateKey(job_) ? 1 : 0;
  }

  JobId job_;
  std::size_t chunk_writes_ = 0;
  std::size_t state_writes_ = 0;
  std::map<std::size_t, std::size_t> writes_;
  std::map<std::size_t, std::size_t> parts_;
};

auto Measure(Duration item_time, bool takeover) -> ChunkWrites {
  auto cluster = TestCluster();
  cluster.item_time = item_time;
  cluster.StartNode("a");
  cluster.StartNode("b");
  const auto job = cluster.MakeJob("j", kChunks * kChunkItems);
  auto counter = WriteCounter(cluster, job.id());
  cluster.Submit("a", job);
  auto killed = !takeover;
  while (!cluster.Finished(job)) {
    cluster.Advance(TestCluster::kStep);
    const auto state = cluster.State(job);
    counter.Observe(state);
    if (!killed && state.results() >= kChunks * kChunkItems / 2) {
      cluster.Kill(cluster.OwnerOf(job));
      killed = true;
    }
  }
  return counter.Result(kChunks);
}

}  // namespace
}  // namespace kumquatgauge::batch

auto main() -> int {
  using kumquatgauge::batch::kMaxWritesPerChunk;
  using kumquatgauge::batch::Measure;
  using std::chrono::milliseconds;
  auto report = kumquatgauge::bench::BatchReport();
  for (const auto item_ms : {500, 2'000, 10'000}) {
    for (const auto takeover : {false, true}) {
      const auto writes = Measure(milliseconds(item_ms), takeover);
      const auto name = "batch_writes_per_chunk_item_" +
                        std::to_string(item_ms) + "ms" +
                        (takeover ? "_takeover" : "");
      report.AtMost(name + "_mean", writes.mean, kMaxWritesPerChunk);
      report.AtMost(name + "_largest", writes.largest, kMaxWritesPerChunk);
    }
  }
  return report.exit_code();
}
