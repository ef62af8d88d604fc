#ifndef KUMQUATGAUGE_SERVING_RESULT_WRITE_POLICY_H_
#define KUMQUATGAUGE_SERVING_RESULT_WRITE_POLICY_H_

#include <chrono>
#include <optional>

#include "kumquatgauge/base/time.h"

namespace kumquatgauge::serving {

struct ResultWriteSettings {
  // Longest time that a result waits for others of its job. A result that waits
  // is lost with its node, or held up while the store does not answer, and its
  // item runs again. With 4 s, a loss of all nodes or of their links cost 4 to
  // 7 % of the results on time.
  Duration max_delay = std::chrono::seconds(1);
  // Also while results that wait use memory that further items need to start.
  Duration min_delay = std::chrono::milliseconds(100);
  // A result waits for at most this part of the time until its job is due, as a
  // divisor. The rest is left for retries while the store is unavailable.
  int due_divisor = 3;

  auto operator==(const ResultWriteSettings&) const -> bool = default;
};

// A job with finished results that are not stored yet.
struct WaitingResults {
  MonotonicTime since;               // When the first of them was finished.
  std::optional<MonotonicTime> due;  // Of the job.
  bool complete = false;             // No item of the job is open.
  bool failed = false;               // One of them is a failure.
  // The earliest time from now at which another item of the job may finish.
  std::optional<Duration> next_end;
  // Results of all jobs that wait use much of the memory for them.
  bool low_memory = false;

  auto operator==(const WaitingResults&) const -> bool = default;
};

// Decides when the results of a job are stored. Calls to the store are
// expensive and the items of a job end at different times, so results wait for
// others to be stored by the same call, as long as they are readable well
// before the job is due.
class ResultWritePolicy {
 public:
  explicit ResultWritePolicy(ResultWriteSettings settings)
      : settings_(settings) {}

  // Returns when to store the results if nothing changes; `now` or earlier to
  // store them now.
  auto WriteTime(const WaitingResults& results, MonotonicTime now) const
      -> MonotonicTime;

 private:
  auto LongestDelay(const WaitingResults& results) const -> Duration;

  ResultWriteSettings settings_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_RESULT_WRITE_POLICY_H_
