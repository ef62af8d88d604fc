#ifndef KUMQUATGAUGE_SERVING_PENDING_JOBS_H_
#define KUMQUATGAUGE_SERVING_PENDING_JOBS_H_

#include <cstddef>
#include <map>
#include <memory>
#include <optional>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/serving/job_archive.h"

namespace kumquatgauge::serving {

// The jobs that this node is about to run: their submissions and takeovers wait
// for the store. An answer of the store may be older than what other nodes, or
// other calls of this node, have said meanwhile, such as that the job was
// ended. A state that is stored before a submission or takeover asks the store
// is in the answer, so nothing needs to be remembered from before it, and
// nothing is forgotten until it is over.
class PendingJobs {
 public:
  // A submission or takeover that is under way, until it is destroyed. It must
  // begin before the store is asked, and must not outlive its PendingJobs.
  class Operation {
   public:
    ~Operation();
    Operation(const Operation&) = delete;
    auto operator=(const Operation&) -> Operation& = delete;

    // Returns the newest state of the job that was told since the first
    // operation that is still under way began.
    auto newest() const -> const std::optional<StoredState>&;

   private:
    friend class PendingJobs;
    enum class Kind { kSubmission, kTakeover };

    Operation(PendingJobs& jobs, JobId job, Kind kind);

    PendingJobs& jobs_;
    JobId job_;
    Kind kind_;
  };
  using OperationPtr = std::unique_ptr<const Operation>;

  // A job may be submitted several times at once.
  auto BeginSubmission(const JobId& job) -> OperationPtr;
  // Returns null while another takeover of the job is under way.
  auto BeginTakeover(const JobId& job) -> OperationPtr;

  // Records a stored state that this node was told or has written. Returns
  // whether the job is pending.
  auto OnState(const StoredState& stored) -> bool;

  auto contains(const JobId& job) const -> bool { return jobs_.contains(job); }
  auto submits(const JobId& job) const -> bool;
  auto takes_over(const JobId& job) const -> bool;

 private:
  struct Job {
    std::size_t submissions = 0;
    bool takeover = false;
    std::optional<StoredState> newest;
  };

  std::map<JobId, Job> jobs_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_PENDING_JOBS_H_
