#include "kumquatgauge/serving/pending_jobs.h"

#include <utility>

namespace kumquatgauge::serving {

PendingJobs::Operation::Operation(PendingJobs& jobs, JobId job, Kind kind)
    : jobs_(jobs), job_(std::move(job)), kind_(kind) {
  auto& pending = jobs_.jobs_[job_];
  if (kind_ == Kind::kTakeover) {
    pending.takeover = true;
  } else {
    ++pending.submissions;
  }
}

PendingJobs::Operation::~Operation() {
  const auto found = jobs_.jobs_.find(job_);
  auto& pending = found->second;
  if (kind_ == Kind::kTakeover) {
    pending.takeover = false;
  } else {
    --pending.submissions;
  }
  if (!pending.takeover && pending.submissions == 0) {
    jobs_.jobs_.erase(found);
  }
}

auto PendingJobs::Operation::newest() const
    -> const std::optional<StoredState>& {
  return jobs_.jobs_.at(job_).newest;
}

auto PendingJobs::BeginSubmission(const JobId& job) -> OperationPtr {
  return OperationPtr(new Operation(*this, job, Operation::Kind::kSubmission));
}

auto PendingJobs::BeginTakeover(const JobId& job) -> OperationPtr {
  if (takes_over(job)) {
    return nullptr;
  }
  return OperationPtr(new Operation(*this, job, Operation::Kind::kTakeover));
}

auto PendingJobs::OnState(const StoredState& stored) -> bool {
  const auto found = jobs_.find(stored.state.id);
  if (found == jobs_.end()) {
    return false;
  }
  auto& newest = found->second.newest;
  if (!newest || newest->version < stored.version) {
    newest = stored;
  }
  return true;
}

auto PendingJobs::submits(const JobId& job) const -> bool {
  const auto found = jobs_.find(job);
  return found != jobs_.end() && found->second.submissions > 0;
}

auto PendingJobs::takes_over(const JobId& job) const -> bool {
  const auto found = jobs_.find(job);
  return found != jobs_.end() && found->second.takeover;
}

}  // namespace kumquatgauge::serving
