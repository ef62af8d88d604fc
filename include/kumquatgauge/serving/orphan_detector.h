#ifndef KUMQUATGAUGE_SERVING_ORPHAN_DETECTOR_H_
#define KUMQUATGAUGE_SERVING_ORPHAN_DETECTOR_H_

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/serving/job_archive.h"

namespace kumquatgauge::serving {

struct OrphanSettings {
  // How long an owner must stay unknown to a node that knows no other member:
  // the first node that it asks for the members may not answer for 2 s.
  Duration alone_wait = std::chrono::milliseconds(2'000);
  // The same once other members are known. They know every owner that runs, so
  // this only covers members that join at the same time.
  Duration unknown_wait = std::chrono::milliseconds(1'000);
  // How long an owner that leaves may take to hand its jobs over.
  Duration handover_time = std::chrono::milliseconds(2'000);
  // Delay of a scan after a change of the members. Deaths of one cause are
  // detected within one interval of heartbeats, 250 ms, and one scan serves
  // them all.
  Duration scan_delay = std::chrono::milliseconds(300);
  // Delay of a scan that repeats one which found lost owners.
  Duration repeat_delay = std::chrono::milliseconds(2'000);
  // Interval between scans while the members keep changing, as when a fleet
  // starts: each scan lists all jobs.
  Duration scan_interval = std::chrono::milliseconds(1'000);
};

// What a node knows about the owner of a job.
enum class OwnerPresence {
  kLive,
  kLeaving,
  kGone,     // Ended, or runs again under another incarnation.
  kUnknown,  // As all are to a node that has just started.
};

// Decides which unfinished jobs have lost their owner, and when to look for
// them.
class OrphanDetector {
 public:
  explicit OrphanDetector(OrphanSettings settings) : settings_(settings) {}

  // Returns whether an unfinished job is to be taken over. `alone` tells that
  // this node knows no other member.
  auto IsOrphan(const JobId& job,
                OwnerPresence owner,
                bool alone,
                MonotonicTime now) -> bool;
  // Returns how long the owner of a job has been known to be absent.
  auto AbsentFor(const JobId& job, MonotonicTime now) const -> Duration;
  // Forgets jobs that are not among the unfinished ones.
  auto Prune(const std::vector<StoredState>& states) -> void;
  // Whether some owners are absent and may soon be considered lost.
  auto awaits_owners() const -> bool { return !absences_.empty(); }

  // Requests a scan at a time; one that is requested for earlier stays. An
  // exact scan shows the newest states.
  auto RequestScan(MonotonicTime at, bool exact) -> void;
  auto OnMembersChanged(MonotonicTime now) -> void;
  // Requests the scan that follows one in which owners were absent: when the
  // first of them may be considered lost.
  auto RequestNextCheck(MonotonicTime now) -> void;
  auto next_scan() const -> std::optional<MonotonicTime> { return next_scan_; }
  // Begins the requested scan. Returns whether it is to be exact.
  auto BeginScan(MonotonicTime now) -> bool;

 private:
  struct Absence {
    MonotonicTime since;  // First found absent.
    MonotonicTime until;  // Considered lost from then on.
  };

  auto WaitFor(OwnerPresence owner, bool alone) const -> Duration;

  OrphanSettings settings_;
  // Of the owners of unfinished jobs.
  std::map<JobId, Absence> absences_;
  std::optional<MonotonicTime> next_scan_;
  std::optional<MonotonicTime> last_scan_;
  bool exact_ = false;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_ORPHAN_DETECTOR_H_
