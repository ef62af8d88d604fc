#ifndef KUMQUATGAUGE_SERVING_JOB_STATE_CHECK_H_
#define KUMQUATGAUGE_SERVING_JOB_STATE_CHECK_H_

#include <map>
#include <optional>
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
  // How long a job runs on after its node was found isolated and its state was
  // last known. Longer than the interval; with the time until a node is found
  // isolated (1 s), less than the time within which an ended job must stop.
  Duration isolated_limit = std::chrono::milliseconds(1'750);

  auto operator==(const StateCheckSettings&) const -> bool = default;
};

struct StateRead {
  JobId job;
  // Whether the read must show the newest state. Other reads are cheap for the
  // store, and may show one that is seconds old.
  bool exact = false;

  auto operator==(const StateRead&) const -> bool = default;
};

// Decides when the owner of jobs reads their stored states again. Another node
// may end a job or take it over while this one is cut off from the store or
// from that node, so news from other nodes is not enough. Exact reads follow
// when there is reason to doubt what is known: calls to the store failed, or no
// other node is heard.
class StateCheckSchedule {
 public:
  explicit StateCheckSchedule(StateCheckSettings settings)
      : settings_(settings) {}

  // Adds an unfinished job whose state was stored at `known_at`.
  auto Add(const JobId& job, MonotonicTime known_at) -> void;
  auto Remove(const JobId& job) -> void;
  // Records that the state was the stored one at `known_at`.
  auto OnKnown(const JobId& job, MonotonicTime known_at) -> void;
  // Records a read that may have shown an old state.
  auto OnInexactRead(const JobId& job, MonotonicTime now) -> void;
  // Records a failed read. Returns whether it is the first one since the state
  // was known.
  auto OnFailed(const JobId& job, MonotonicTime now) -> bool;
  // Records that a call to the store failed: it may have turned this node away
  // while it served others.
  auto OnStoreFailed(MonotonicTime now) -> void;
  // An isolated node hears from no other node.
  auto SetIsolated(bool isolated, MonotonicTime now) -> void;
  // Returns the reads to start now. Each job is returned again only after the
  // outcome of its read was recorded.
  auto TakeDue(MonotonicTime now) -> std::vector<StateRead>;
  // Returns whether items of the job may run. If neither the store nor any
  // other node answers, this node cannot learn that the job was ended or taken
  // over.
  auto MayRun(const JobId& job, MonotonicTime now) const -> bool;

 private:
  struct Check {
    MonotonicTime known_at;
    MonotonicTime next;
    bool doubtful = false;  // Needs an exact read.
    bool reading = false;
    bool failed = false;
  };

  auto FindCheck(const JobId& job) -> Check*;

  StateCheckSettings settings_;
  std::map<JobId, Check> checks_;
  std::optional<MonotonicTime> isolated_since_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_JOB_STATE_CHECK_H_
