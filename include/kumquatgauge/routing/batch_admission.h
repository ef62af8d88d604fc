#ifndef KUMQUATGAUGE_ROUTING_BATCH_ADMISSION_H_
#define KUMQUATGAUGE_ROUTING_BATCH_ADMISSION_H_

#include <cstdint>
#include <deque>

#include "kumquatgauge/base/time.h"

namespace kumquatgauge::routing {

enum class BatchRule {
  kFixedShare,  // Batch gets a fixed share of the slots.
  kIdleOnly,    // Batch gets free slots beyond a reserve for online.
  kFeedback,    // As kIdleOnly, up to a level set by online latency.
};

struct BatchAdmissionSettings {
  BatchRule rule = BatchRule::kFeedback;
  // 0 favours the tail latency of online requests, 1 batch throughput.
  double lean = 0.5;
  // kFixedShare: share of the limit.
  double share = 0.5;
  // kFeedback: latency at which the level is lowered.
  Duration first_token_target = std::chrono::milliseconds(890);
  Duration inter_token_target = std::chrono::milliseconds(55);
  // After this time without online requests, batch may fill the replica.
  Duration online_idle_time = std::chrono::seconds(30);
};

// Decides how many batch items may run on a replica alongside online requests.
//
// An engine's step time grows with the number of running requests, whatever
// their class. Online tail latency is determined by the moments with the most
// online requests. At lean 0 the feedback rule therefore fills the replica only
// up to half the number of running requests that online traffic reaches by
// itself at busy moments; at lean 1 it fills the limit; between them the level
// is interpolated. Late online tokens lower the level, on-time ones restore it.
// When a burst exceeds the level, running batch is preempted at once at lean 0;
// the higher lean is, the longer it keeps running, and at lean 0.5 or above it
// runs until its slots are needed.
class BatchAdmission {
 public:
  BatchAdmission(BatchAdmissionSettings settings, Clock clock);

  auto SetSettings(const BatchAdmissionSettings& settings) -> void;
  // Sets the number of online requests that run or wait; call on every change.
  auto OnOnlineRequests(std::uint32_t online) -> void;
  auto OnFirstToken(Duration latency) -> void;
  auto OnInterToken(Duration gap) -> void;

  // Returns the total number of batch items that may run, given the concurrency
  // limit and the number of online requests that run or wait.
  auto AdmissionLimit(std::uint32_t limit, std::uint32_t online) const
      -> std::uint32_t;
  // Returns the number of batch items that may keep running when online
  // requests have arrived since they started; the rest is preempted. At least
  // AdmissionLimit.
  auto PreemptionLimit(std::uint32_t limit, std::uint32_t online) const
      -> std::uint32_t;

 private:
  // Highest number of online requests in one interval.
  struct Peak {
    MonotonicTime start;
    std::uint32_t online = 0;
  };

  auto OnLatency(double latency_ratio) -> void;
  auto BusyLevel() const -> double;
  auto FeedbackLevel(std::uint32_t limit) const -> double;

  BatchAdmissionSettings settings_;
  Clock clock_;
  std::deque<Peak> peaks_;
  std::uint32_t online_ = 0;
  MonotonicTime last_online_;
  double level_factor_ = 1.0;  // Lowered by late tokens.
  MonotonicTime decreased_at_;
};

}  // namespace kumquatgauge::routing

#endif  // KUMQUATGAUGE_ROUTING_BATCH_ADMISSION_H_
