#ifndef KUMQUATGAUGE_SERVING_JOB_STATE_CHECK_H_
#define KUMQUATGAUGE_SERVING_JOB_STATE_CHECK_H_

#include <map>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"

namespace kumquatgauge::serving {

struct StateCheckSettings {
  // How often the state of an unfinished job is read. With the time that a read
  // takes, less than the time within which an ended job must stop (3 s).
  Duration interval = std::chrono::milliseconds(1'500);
  // Delay after a read that failed, so that an owner that was cut off from the
  // store learns what it missed as soon as the store answers it again.
  Duration retry_delay = std::chrono::milliseconds(300);
  // How long a job runs on while its owner hears from neither the store nor any
  // other node. Longer than the interval, and less than the time within which
  // an ended job must stop.
  Duration isolated_limit = std::chrono::milliseconds(2'000);

  auto operator==(const StateCheckSettings&) const -> bool = default;
};

// Decides when the owner of jobs reads their stored states again. Another node
// may end a job or take it over while this one is cut off from the store or
// from that node, so news from other nodes is not enough.
class StateCheckSchedule {
 public:
  explicit StateCheckSchedule(StateCheckSettings settings)
      : settings_(settings) {}

  // Adds an unfinished job whose state was stored at `known_at`.
  auto Add(const JobId& job, MonotonicTime known_at) -> void;
  auto Remove(const JobId& job) -> void;
  // Records that the state was the stored one at `known_at`.
  auto OnKnown(const JobId& job, MonotonicTime known_at) -> void;
  // Records a failed read. Returns whether it is the first one since the last
  // success.
  auto OnFailed(const JobId& job, MonotonicTime now) -> bool;
  // Returns the jobs whose state is to be read now. Each is returned again only
  // after OnKnown or OnFailed.
  auto TakeDue(MonotonicTime now) -> std::vector<JobId>;
  // Returns whether items of the job may run. An isolated node hears from no
  // other node. If the store does not answer it either, it cannot learn that a
  // job was ended or taken over.
  auto MayRun(const JobId& job, MonotonicTime now, bool isolated) const -> bool;

 private:
  struct Check {
    MonotonicTime known_at;
    MonotonicTime next;
    bool reading = false;
    bool failed = false;
  };

  StateCheckSettings settings_;
  std::map<JobId, Check> checks_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_JOB_STATE_CHECK_H_
