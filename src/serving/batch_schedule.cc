#include "kumquatgauge/serving/batch_schedule.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

namespace kumquatgauge::serving {
namespace {

constexpr std::uint32_t kMaxBackoffDoublings = 4;

auto Smooth(double& average, double sample, double weight) -> void {
  average = average == 0 ? sample : average + weight * (sample - average);
}

}  // namespace

auto BatchSchedule::Add(const ScheduledJob& job,
                        const std::vector<std::size_t>& finished,
                        const Failures& failures) -> void {
  const auto done = std::set<std::size_t>(finished.begin(), finished.end());
  auto entry = Job{job, {}};
  for (std::size_t index = 0; index < job.items; ++index) {
    if (!done.contains(index)) {
      auto item = Item();
      const auto failed = failures.find(index);
      item.failures = failed == failures.end() ? 0 : failed->second;
      entry.items.emplace(index, item);
    }
  }
  jobs_.insert_or_assign(job.id, std::move(entry));
}

auto BatchSchedule::Remove(const JobId& job) -> void {
  jobs_.erase(job);
}

auto BatchSchedule::Update(const ScheduledJob& job) -> void {
  const auto found = jobs_.find(job.id);
  if (found != jobs_.end()) {
    found->second.job = job;
  }
}

auto BatchSchedule::FindItem(const ItemRef& ref) -> Item* {
  const auto job = jobs_.find(ref.job);
  if (job == jobs_.end()) {
    return nullptr;
  }
  const auto item = job->second.items.find(ref.item);
  return item == job->second.items.end() ? nullptr : &item->second;
}

auto BatchSchedule::ExpectedTime(const Item& item) const -> Duration {
  if (events_per_item_ <= 0 || seconds_per_event_ <= 0) {
    return settings_.initial_run_time;
  }
  const auto remaining =
      std::max(0.0, events_per_item_ - static_cast<double>(item.events));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(remaining * seconds_per_event_));
}

auto BatchSchedule::PriorityOf(const Job& job,
                               const Item& item,
                               MonotonicTime now) const -> Priority {
  const auto until_due = job.job.due - now;
  const auto expected = ExpectedTime(item);
  return {until_due < std::chrono::duration_cast<Duration>(
                          expected * settings_.unreachable_share),
          until_due - expected};
}

auto BatchSchedule::IsUrgent(const Priority& priority) const -> bool {
  return !priority.due_unreachable && priority.slack < settings_.urgent_slack;
}

auto BatchSchedule::EndsWithin(const Item& item, Duration wait) const -> bool {
  if (events_per_item_ <= 0 || seconds_per_event_ <= 0) {
    return false;
  }
  // An item that is longer than the average may be much longer, so the time
  // until its end is taken to grow by what it exceeds the average.
  const auto events =
      std::abs(events_per_item_ - static_cast<double>(item.events));
  return events * seconds_per_event_ <
         std::chrono::duration<double>(wait).count();
}

auto BatchSchedule::StartOrder(const Job& job,
                               const Item& item,
                               MonotonicTime now) const
    -> std::tuple<bool, std::int64_t, bool, Duration> {
  const auto priority = PriorityOf(job, item, now);
  const auto expected = std::chrono::duration_cast<Duration>(
      ExpectedTime(item) * std::max(1.0, stretch_));
  const auto slack = job.job.due - now - expected;
  return {priority.due_unreachable, slack / settings_.slack_step,
          item.interruptions < settings_.many_interruptions, slack};
}

auto BatchSchedule::TakeStarts(const ServiceName& service,
                               const StartLimits& limits,
                               MonotonicTime now) -> std::vector<ItemRef> {
  if (limits.free + limits.urgent == 0) {
    return {};
  }
  using Order = decltype(StartOrder(Job(), Item(), now));
  auto candidates = std::vector<std::pair<Order, ItemRef>>();
  for (const auto& [id, job] : jobs_) {
    if (job.job.service != service) {
      continue;
    }
    for (const auto& [index, item] : job.items) {
      if (!item.running && item.not_before <= now) {
        candidates.emplace_back(StartOrder(job, item, now), ItemRef{id, index});
      }
    }
  }
  std::sort(candidates.begin(), candidates.end());
  auto starts = std::vector<ItemRef>();
  auto lasting = std::size_t{0};
  const auto patient_slack =
      settings_.urgent_slack +
      std::chrono::duration_cast<Duration>(run_time() * settings_.patient_runs);
  for (const auto& [order, ref] : candidates) {
    auto& item = *FindItem(ref);
    const auto urgent = IsUrgent(ref, now);
    if (starts.size() >= limits.free + (urgent ? limits.urgent : 0)) {
      continue;  // An urgent item may follow.
    }
    const auto useful = std::chrono::duration_cast<Duration>(
        ExpectedTime(item) * settings_.useful_share);
    if (useful > limits.until_rise) {
      if (lasting >= limits.lasting && !urgent &&
          std::get<Duration>(order) > patient_slack) {
        continue;
      }
      ++lasting;
    }
    if (item.first_started == MonotonicTime()) {
      item.first_started = now;
    }
    item.running = true;
    item.yielding = false;
    item.started = now;
    item.events_at_start = item.events;
    starts.push_back(ref);
  }
  return starts;
}

auto BatchSchedule::TakeYields(const ServiceName& service,
                               std::size_t count,
                               MonotonicTime now,
                               const Filter& may_yield,
                               const Filter& preferred,
                               Duration wait) -> std::vector<ItemRef> {
  if (count == 0) {
    return {};
  }
  struct Candidate {
    bool on_time = false;
    bool other = false;  // It is not preferred.
    std::uint32_t interruptions = 0;
    std::int64_t slack_steps = 0;  // Negative.
    std::uint64_t events = 0;
    ItemRef ref;

    auto operator<=>(const Candidate&) const = default;
  };
  auto candidates = std::vector<Candidate>();
  for (const auto& [id, job] : jobs_) {
    if (job.job.service != service) {
      continue;
    }
    for (const auto& [index, item] : job.items) {
      if (!item.running || item.yielding || EndsWithin(item, wait)) {
        continue;
      }
      const auto priority = PriorityOf(job, item, now);
      const auto ref = ItemRef{id, index};
      if (!IsUrgent(priority) && (!may_yield || may_yield(ref))) {
        candidates.push_back(
            {!priority.due_unreachable, preferred && !preferred(ref),
             std::min(item.interruptions, settings_.many_interruptions),
             -((job.job.due - now) / settings_.slack_step), item.events, ref});
      }
    }
  }
  std::sort(candidates.begin(), candidates.end());
  auto yields = std::vector<ItemRef>();
  for (const auto& candidate : candidates) {
    if (yields.size() >= count) {
      break;
    }
    auto& item = *FindItem(candidate.ref);
    item.yielding = true;
    repeated_yields_ += item.interruptions > 0 ? 1 : 0;
    ++item.interruptions;
    yields.push_back(candidate.ref);
  }
  return yields;
}

auto BatchSchedule::OnProgress(const ItemRef& ref, std::uint64_t events)
    -> void {
  if (auto* item = FindItem(ref)) {
    item->events = events;
    // Fewer if the item runs from the start again.
    item->events_at_start = std::min(item->events_at_start, events);
  }
}

auto BatchSchedule::UpdateEventTime(const Item& item, MonotonicTime now)
    -> void {
  const auto events = static_cast<double>(item.events - item.events_at_start);
  const auto seconds =
      std::chrono::duration<double>(now - item.started).count();
  if (events >= 1) {
    Smooth(seconds_per_event_, seconds / events, settings_.smoothing);
  }
}

auto BatchSchedule::OnEnded(const ItemRef& ref, ItemEnd end, MonotonicTime now)
    -> bool {
  auto* item = FindItem(ref);
  if (item == nullptr) {
    return false;
  }
  if (end != ItemEnd::kNotPlaced && end != ItemEnd::kWithheld) {
    UpdateEventTime(*item, now);
    item->ran += now - item->started;
  }
  item->running = false;
  item->yielding = false;
  switch (end) {
    case ItemEnd::kFinished:
      if (item->events > 0) {
        Smooth(events_per_item_, static_cast<double>(item->events),
               settings_.smoothing);
      }
      if (item->ran > Duration::zero()) {
        const auto elapsed =
            std::chrono::duration<double>(now - item->first_started);
        Smooth(stretch_, elapsed / item->ran, settings_.smoothing);
      }
      jobs_.at(ref.job).items.erase(ref.item);
      return false;
    case ItemEnd::kStopped:
      return false;
    case ItemEnd::kNotPlaced:
      item->not_before = now + settings_.retry_backoff;
      return false;
    case ItemEnd::kWithheld:
      item->not_before = now + settings_.withheld_backoff;
      return false;
    case ItemEnd::kFailed:
      break;
  }
  ++item->failures;
  if (item->failures >= jobs_.at(ref.job).job.max_attempts) {
    jobs_.at(ref.job).items.erase(ref.item);
    return true;
  }
  const auto doublings = std::min(item->failures - 1, kMaxBackoffDoublings);
  item->not_before = now + settings_.retry_backoff * (1U << doublings);
  return false;
}

auto BatchSchedule::TakeGivenUp(MonotonicTime now) -> std::vector<ItemRef> {
  auto given_up = std::vector<ItemRef>();
  for (auto& [id, job] : jobs_) {
    const auto all = job.job.give_up <= now;
    if (!all && job.job.withdrawal > now) {
      continue;
    }
    for (const auto& [index, item] : job.items) {
      if (all || !item.running) {
        given_up.push_back({id, index});
      }
    }
    std::erase_if(job.items, [&](const auto& entry) {
      return all || !entry.second.running;
    });
  }
  return given_up;
}

auto BatchSchedule::IsUrgent(const ItemRef& ref, MonotonicTime now) const
    -> bool {
  const auto job = jobs_.find(ref.job);
  if (job == jobs_.end()) {
    return false;
  }
  const auto item = job->second.items.find(ref.item);
  return item != job->second.items.end() &&
         IsUrgent(PriorityOf(job->second, item->second, now));
}

auto BatchSchedule::NextEnd(const JobId& job) const -> std::optional<Duration> {
  auto next = std::optional<Duration>();
  const auto found = jobs_.find(job);
  if (found != jobs_.end()) {
    for (const auto& [index, item] : found->second.items) {
      const auto end = std::chrono::duration_cast<Duration>(
          ExpectedTime(item) * settings_.unreachable_share);
      next = next ? std::min(*next, end) : end;
    }
  }
  return next;
}

auto BatchSchedule::running(const ServiceName& service) const -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& [id, job] : jobs_) {
    if (job.job.service == service) {
      count += static_cast<std::size_t>(
          std::count_if(job.items.begin(), job.items.end(),
                        [](const auto& item) { return item.second.running; }));
    }
  }
  return count;
}

auto BatchSchedule::waiting(const ServiceName& service, MonotonicTime now) const
    -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& [id, job] : jobs_) {
    if (job.job.service == service) {
      count += static_cast<std::size_t>(std::count_if(
          job.items.begin(), job.items.end(), [&](const auto& item) {
            return !item.second.running && item.second.not_before <= now;
          }));
    }
  }
  return count;
}

auto BatchSchedule::services() const -> std::vector<ServiceName> {
  auto names = std::set<ServiceName>();
  for (const auto& [id, job] : jobs_) {
    names.insert(job.job.service);
  }
  return {names.begin(), names.end()};
}

auto BatchSchedule::unfinished(const JobId& job) const -> std::size_t {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? 0 : found->second.items.size();
}

auto BatchSchedule::failures(const JobId& job) const -> Failures {
  auto failures = Failures();
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) {
    return failures;
  }
  for (const auto& [index, item] : found->second.items) {
    if (item.failures > 0) {
      failures.emplace(index, item.failures);
    }
  }
  return failures;
}

}  // namespace kumquatgauge::serving
