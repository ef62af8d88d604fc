#ifndef KUMQUATGAUGE_SERVING_JOB_MEMORY_H_
#define KUMQUATGAUGE_SERVING_JOB_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/serving/job.h"

namespace kumquatgauge::serving {

// Returns about how much memory the items of an owned job use, with their
// progress and their places in the schedule, but without their results.
auto MemoryOf(const std::vector<JobItem>& items) -> std::size_t;
auto MemoryOf(const std::vector<ItemResult>& results) -> std::size_t;

// Limits the memory of the batch jobs that a node owns. Callers may submit jobs
// faster than replicas run their items, and each job stays in memory until its
// last item has a result.
class JobMemory {
 public:
  struct Use {
    std::size_t items = 0;       // Bytes.
    std::size_t results = 0;     // Bytes.
    std::size_t unfinished = 0;  // Number of items without a result.
    std::uint64_t accepted_ms = 0;
    bool over = false;  // Its results can be read from the store.

    auto operator==(const Use&) const -> bool = default;
  };

  // `process_bytes` is the memory limit of the whole process.
  explicit JobMemory(std::size_t process_bytes);

  // Sets what an owned job uses.
  auto Set(const JobId& job, const Use& use) -> void;
  // Learns how long items are.
  auto OnJob(std::size_t items, std::size_t bytes) -> void;
  auto Remove(const JobId& job) -> void;
  // Counts a job that is being accepted or taken over.
  auto Reserve(std::size_t bytes) -> void { reserved_ += bytes; }
  auto Release(std::size_t bytes) -> void { reserved_ -= bytes; }
  // Learns how long results are.
  auto OnResult(std::size_t bytes) -> void;

  // Whether another job may be accepted, with regard to the results that the
  // items of all jobs will have. The limit may be exceeded by one job, so that
  // a large one is accepted once there is any room.
  auto MayAccept() const -> bool;
  // Whether a job of a lost node may be taken over. Its callers have been told
  // that it runs, so that it may use more memory than a new one.
  auto MayTakeOver() const -> bool;
  // Returns the jobs that are over and have to be dropped to make room, oldest
  // first.
  auto Evictions() const -> std::vector<JobId>;

  // Returns the memory of results that so many items are expected to have.
  auto ExpectedResults(std::size_t items) const -> std::size_t;
  // The same of a whole job, by the jobs that were seen so far.
  auto ExpectedJob(std::size_t items) const -> std::size_t;

  auto used_bytes() const -> std::size_t { return used_ + reserved_; }

 private:
  // Returns the memory of the unfinished jobs once they are finished.
  auto ExpectedBytes() const -> std::size_t;

  std::size_t process_bytes_;
  std::size_t reserved_ = 0;
  std::size_t used_ = 0;  // By owned jobs.
  std::size_t over_ = 0;  // By those that are over.
  std::size_t unfinished_ = 0;
  // Moving averages.
  double result_bytes_;
  double item_bytes_;
  std::map<JobId, Use> jobs_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_JOB_MEMORY_H_
