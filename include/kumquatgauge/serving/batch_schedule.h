#ifndef KUMQUATGAUGE_SERVING_BATCH_SCHEDULE_H_
#define KUMQUATGAUGE_SERVING_BATCH_SCHEDULE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"

namespace kumquatgauge::serving {

struct BatchScheduleSettings {
  // An item whose slack falls below this goes before online requests get
  // further slots; covers a queue at the replica and one broken attempt.
  Duration urgent_slack = std::chrono::milliseconds(2'500);
  // Running time of an item before one was seen.
  Duration initial_run_time = std::chrono::seconds(6);
  // An item with less than this part of its expected running time until it is
  // due is late whatever is done; runs seldom take half of the average.
  double unreachable_share = 0.5;
  // Weight of the newest sample in the moving averages.
  double smoothing = 0.1;
  // Pause before an item that failed is tried again, doubling each time.
  Duration retry_backoff = std::chrono::milliseconds(200);
};

struct ItemRef {
  JobId job;
  std::size_t item = 0;  // Index in the job's submission.

  auto operator<=>(const ItemRef&) const = default;
};

struct ScheduledJob {
  JobId id;
  ServiceName service;
  MonotonicTime due;
  MonotonicTime give_up;
  std::uint32_t max_attempts = 1;
  std::size_t items = 0;
};

enum class ItemEnd {
  kFinished,   // Whole, or can never be done; leaves the schedule.
  kStopped,    // Stopped or broken off; goes on after what it has.
  kFailed,     // The replica ran it and failed.
  kNotPlaced,  // It found no replica.
};

// Decides which items of the jobs of one node run. Answers a fleet whose online
// load comes in steps: batch fills the slots that online leaves in the troughs,
// the job that is due first goes first, and at a step up those items stop that
// lose least. An item without slack left no longer yields, since it would miss
// its due time and is worth as much as the online requests it delays. One that
// is late in any case goes last, in free slots only: after an outage whole jobs
// are, and would otherwise displace what can still be on time.
class BatchSchedule {
 public:
  explicit BatchSchedule(BatchScheduleSettings settings)
      : settings_(settings) {}

  // `finished` are the items that already have a result.
  auto Add(const ScheduledJob& job, const std::vector<std::size_t>& finished)
      -> void;
  auto Remove(const JobId& job) -> void;
  // Replaces what a new configuration says of a job; its items stay as they
  // are. Does nothing for a job that is not scheduled.
  auto Update(const ScheduledJob& job) -> void;

  // Up to `free_slots` items of a service to start, those with the least slack
  // first, and beyond it up to `urgent_slots` that are urgent. They count as
  // running from now on.
  auto TakeStarts(const ServiceName& service,
                  std::size_t free_slots,
                  std::size_t urgent_slots,
                  MonotonicTime now) -> std::vector<ItemRef>;
  // Running items that are to stop, at most `count`: first those
  // that are late in any case, then those without urgency that have come least
  // far, so that little is read again.
  auto TakeYields(const ServiceName& service,
                  std::size_t count,
                  MonotonicTime now) -> std::vector<ItemRef>;
  // An item has produced events; `events` counts from its start.
  auto OnProgress(const ItemRef& ref, std::uint64_t events) -> void;
  // Returns true when the item has failed as often as allowed and leaves the
  // schedule as an error.
  auto OnEnded(const ItemRef& ref, ItemEnd end, MonotonicTime now) -> bool;
  // Items past the time at which they may be given up; they leave the schedule.
  auto TakeGivenUp(MonotonicTime now) -> std::vector<ItemRef>;

  auto IsUrgent(const ItemRef& ref, MonotonicTime now) const -> bool;
  auto running(const ServiceName& service) const -> std::size_t;
  auto services() const -> std::vector<ServiceName>;
  auto unfinished(const JobId& job) const -> std::size_t;

 private:
  struct Item {
    bool running = false;
    bool yielding = false;
    std::uint64_t events = 0;
    std::uint32_t failures = 0;
    MonotonicTime started;
    std::uint64_t events_at_start = 0;
    MonotonicTime not_before;
  };
  struct Job {
    ScheduledJob job;
    std::map<std::size_t, Item> items;  // Unfinished ones.
  };

  auto FindItem(const ItemRef& ref) -> Item*;
  // Ordered as items start: those that can be on time, then the rest.
  struct Priority {
    bool due_unreachable = false;
    Duration slack{0};

    auto operator<=>(const Priority&) const = default;
  };

  auto ExpectedTime(const Item& item) const -> Duration;
  auto PriorityOf(const Job& job, const Item& item, MonotonicTime now) const
      -> Priority;
  auto IsUrgent(const Priority& priority) const -> bool;
  auto UpdateEventTime(const Item& item, MonotonicTime now) -> void;

  BatchScheduleSettings settings_;
  std::map<JobId, Job> jobs_;
  double events_per_item_ = 0;
  double seconds_per_event_ = 0;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_BATCH_SCHEDULE_H_
