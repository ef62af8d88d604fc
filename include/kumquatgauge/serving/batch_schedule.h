#ifndef KUMQUATGAUGE_SERVING_BATCH_SCHEDULE_H_
#define KUMQUATGAUGE_SERVING_BATCH_SCHEDULE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"

namespace kumquatgauge::serving {

struct BatchScheduleSettings {
  // Items with less slack than this take slots before online requests. Covers
  // queueing at the replica and one failed attempt.
  Duration urgent_slack = std::chrono::milliseconds(2'500);
  // Assumed running time of an item before any was measured.
  Duration initial_run_time = std::chrono::seconds(6);
  // An item cannot meet its due time when less than this share of its expected
  // running time remains; runs rarely take less than half of the average.
  double unreachable_share = 0.5;
  // Weight of the newest sample in the moving averages.
  double smoothing = 0.1;
  // Backoff before a failed item is retried; doubles with each failure.
  Duration retry_backoff = std::chrono::milliseconds(200);
  // Time after which a withheld item is considered again.
  Duration withheld_backoff = std::chrono::seconds(1);
  // An item that will be interrupted is started only if this share of its
  // remaining run fits before. Each interruption costs another reading of the
  // prompt and another start.
  double useful_share = 0.3;
  // An item with less slack than this many runs, beyond the slack of urgent
  // ones, does not wait for a slot that lasts: it could be interrupted once
  // more and still be on time. With one run, more items became urgent, and
  // online requests waited longer.
  double patient_runs = 2;
  // Slacks within one such interval are equal when items that were interrupted
  // often take precedence; the time of one interruption.
  Duration slack_step = std::chrono::milliseconds(2'500);
  // Interruptions from which on an item takes precedence over others.
  std::uint32_t many_interruptions = 2;
};

// How many items may start.
struct StartLimits {
  std::size_t free = 0;    // In free slots.
  std::size_t urgent = 0;  // Further urgent ones.
  // Of those in free slots, how many may still run after the next rise of the
  // online load.
  std::size_t lasting = 0;
  // Earliest time until that rise.
  Duration until_rise = Duration::max();
};

struct ItemRef {
  JobId job;
  std::size_t item = 0;  // Index within the submitted job.

  auto operator<=>(const ItemRef&) const = default;
};

struct ScheduledJob {
  JobId id;
  ServiceName service;
  MonotonicTime due;
  MonotonicTime give_up;
  std::uint32_t max_attempts = 1;
  std::size_t items = 0;
  // When items that do not run are given up, because the job's route is gone.
  MonotonicTime withdrawal = MonotonicTime::max();
};

enum class ItemEnd {
  kFinished,   // Done or permanently failed; removed.
  kStopped,    // Interrupted; resumes where it stopped.
  kFailed,     // The replica ran the item and failed.
  kNotPlaced,  // No replica was available.
  kWithheld,   // Not sent, since replicas crash on its prompt.
};

// Decides which batch items of one node's jobs run. Designed for online load
// that comes in steps: batch fills the slots that online requests leave idle,
// the job with the earliest due time runs first, and when online load rises the
// items that lose the least progress stop. An item without slack no longer
// yields: it would miss its due time, and it is worth as much as the online
// requests it delays. An item that cannot meet its due time runs last and only
// in free slots. After an outage whole jobs are in this state and would
// otherwise displace items that can still be on time.
class BatchSchedule {
 public:
  explicit BatchSchedule(BatchScheduleSettings settings)
      : settings_(settings) {}

  // Failed runs by item.
  using Failures = std::map<std::size_t, std::uint32_t>;

  // Adds a job. `finished` lists the items that already have a result;
  // `failures` counts the failed runs of the others.
  auto Add(const ScheduledJob& job,
           const std::vector<std::size_t>& finished,
           const Failures& failures = {}) -> void;
  auto Remove(const JobId& job) -> void;
  // Updates a job after a configuration change and keeps the state of its
  // items. Does nothing for a job that is not scheduled.
  auto Update(const ScheduledJob& job) -> void;

  // Returns the items of a service to start and marks them as running: those
  // with the least slack first, and among similar ones those that were
  // interrupted often. Items with much slack that would be interrupted before
  // they progress usefully are left out.
  auto TakeStarts(const ServiceName& service,
                  const StartLimits& limits,
                  MonotonicTime now) -> std::vector<ItemRef>;
  // Returns at most `count` running items to stop: first those that cannot meet
  // their due time, then non-urgent ones that are `preferred`, that were
  // interrupted least often, that have the most slack and the least progress,
  // so that little has to be read again. Items that end within `wait`, the time
  // that an online request can wait, go on.
  // Items that `may_yield` rejects go on; an empty function accepts all.
  using Filter = std::function<auto(const ItemRef&)->bool>;
  auto TakeYields(const ServiceName& service,
                  std::size_t count,
                  MonotonicTime now,
                  const Filter& may_yield = nullptr,
                  const Filter& preferred = nullptr,
                  Duration wait = Duration::zero()) -> std::vector<ItemRef>;
  // Records that an item has produced `events` events in total.
  auto OnProgress(const ItemRef& ref, std::uint64_t events) -> void;
  // Returns true when the item has used up its attempts and is removed from the
  // schedule as failed.
  auto OnEnded(const ItemRef& ref, ItemEnd end, MonotonicTime now) -> bool;
  // Removes and returns the items whose give-up time has passed, and those that
  // do not run of jobs whose withdrawal time has passed.
  auto TakeGivenUp(MonotonicTime now) -> std::vector<ItemRef>;

  auto IsUrgent(const ItemRef& ref, MonotonicTime now) const -> bool;
  // Returns the earliest time from now at which an unfinished item of the job
  // may finish; nothing if there is none. Runs rarely take less than a share of
  // the average, as in BatchScheduleSettings::unreachable_share.
  auto NextEnd(const JobId& job) const -> std::optional<Duration>;
  auto running(const ServiceName& service) const -> std::size_t;
  // Returns the number of items that could start now.
  auto waiting(const ServiceName& service, MonotonicTime now) const
      -> std::size_t;
  // Returns the expected time of a run without interruption.
  auto run_time() const -> Duration { return ExpectedTime(Item()); }
  auto services() const -> std::vector<ServiceName>;
  auto unfinished(const JobId& job) const -> std::size_t;
  // Returns how often an item had to stop that had stopped before.
  auto repeated_yields() const -> std::uint64_t { return repeated_yields_; }
  // Returns the unfinished items that have failed.
  auto failures(const JobId& job) const -> Failures;

 private:
  struct Item {
    bool running = false;
    bool yielding = false;
    std::uint64_t events = 0;
    std::uint32_t failures = 0;
    MonotonicTime started;
    MonotonicTime first_started;
    Duration ran{0};  // In ended runs.
    std::uint32_t interruptions = 0;
    std::uint64_t events_at_start = 0;
    MonotonicTime not_before;
  };
  struct Job {
    ScheduledJob job;
    std::map<std::size_t, Item> items;  // Unfinished items.
  };

  auto FindItem(const ItemRef& ref) -> Item*;
  // Start order of items: those that can meet their due time come first.
  struct Priority {
    bool due_unreachable = false;
    Duration slack{0};

    auto operator<=>(const Priority&) const = default;
  };

  // Returns the expected time until the item is done if it runs on.
  auto ExpectedTime(const Item& item) const -> Duration;
  // Whether a running item is expected to end within `wait`.
  auto EndsWithin(const Item& item, Duration wait) const -> bool;
  // Start order among items that are not late: expected slack including
  // interruptions, in steps.
  auto StartOrder(const Job& job, const Item& item, MonotonicTime now) const
      -> std::tuple<bool, std::int64_t, bool, Duration>;
  auto PriorityOf(const Job& job, const Item& item, MonotonicTime now) const
      -> Priority;
  auto IsUrgent(const Priority& priority) const -> bool;
  auto UpdateEventTime(const Item& item, MonotonicTime now) -> void;

  BatchScheduleSettings settings_;
  std::map<JobId, Job> jobs_;
  double events_per_item_ = 0;
  double seconds_per_event_ = 0;
  // Time from the first start of an item to its end, relative to its runs.
  double stretch_ = 0;
  std::uint64_t repeated_yields_ = 0;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_BATCH_SCHEDULE_H_
