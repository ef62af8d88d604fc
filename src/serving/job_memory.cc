#include "kumquatgauge/serving/job_memory.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace kumquatgauge::serving {
namespace {

// Fractions of the process's memory, as divisors. The rest is for connections,
// requests, results that are not stored yet and the process itself.
constexpr std::size_t kAcceptDivisor = 4;
constexpr std::size_t kOverDivisor = 8;
// Up to which jobs of lost nodes are taken over: a fifth more, as one of a
// small fleet adds to the others.
constexpr std::size_t kTakeOverNumerator = 3;
constexpr std::size_t kTakeOverDivisor = 10;
// Assumed size of a result before any is known, about a page of text.
constexpr double kInitialResultBytes = 4'000;
constexpr double kInitialItemBytes = 4'000;
// Weights of the newest result and of the newest job in the moving averages.
constexpr double kSmoothing = 0.02;
constexpr double kJobSmoothing = 0.2;
// While a job is read from the store: its encoding, its text and its items.
constexpr double kReadCopies = 3;
// Of an item: nodes of the trees that hold its index, its place in the
// schedule, its progress and the state of its result.
constexpr std::size_t kItemOverheadBytes = 600;
// Of a string in its own allocation.
constexpr std::size_t kAllocationBytes = 16;

auto MemoryOf(const std::string& text) -> std::size_t {
  return text.size() + kAllocationBytes;
}

auto MemoryOf(const JobItem& item) -> std::size_t {
  auto bytes = sizeof(JobItem) + kItemOverheadBytes + 2 * MemoryOf(item.id) +
               MemoryOf(item.path) + MemoryOf(item.body);
  for (const auto& [name, value] : item.headers) {
    bytes += 2 * sizeof(std::string) + MemoryOf(name) + MemoryOf(value);
  }
  return bytes;
}

}  // namespace

auto MemoryOf(const std::vector<JobItem>& items) -> std::size_t {
  return std::accumulate(items.begin(), items.end(), std::size_t{0},
                         [](std::size_t bytes, const JobItem& item) {
                           return bytes + MemoryOf(item);
                         });
}

auto MemoryOf(const std::vector<ItemResult>& results) -> std::size_t {
  return std::accumulate(results.begin(), results.end(), std::size_t{0},
                         [](std::size_t bytes, const ItemResult& result) {
                           return bytes + sizeof(ItemResult) +
                                  MemoryOf(result.item) + MemoryOf(result.text);
                         });
}

JobMemory::JobMemory(std::size_t process_bytes)
    : process_bytes_(process_bytes),
      result_bytes_(kInitialResultBytes),
      item_bytes_(kInitialItemBytes) {}

auto JobMemory::Set(const JobId& job, const Use& use) -> void {
  Remove(job);
  jobs_.emplace(job, use);
  const auto bytes = use.items + use.results;
  used_ += bytes;
  over_ += use.over ? bytes : 0;
  unfinished_ += use.over ? 0 : use.unfinished;
}

auto JobMemory::Remove(const JobId& job) -> void {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) {
    return;
  }
  const auto bytes = found->second.items + found->second.results;
  used_ -= bytes;
  over_ -= found->second.over ? bytes : 0;
  unfinished_ -= found->second.over ? 0 : found->second.unfinished;
  jobs_.erase(found);
}

auto JobMemory::OnResult(std::size_t bytes) -> void {
  result_bytes_ += kSmoothing * (static_cast<double>(bytes) - result_bytes_);
}

auto JobMemory::OnJob(std::size_t items, std::size_t bytes) -> void {
  if (items > 0) {
    const auto mean = static_cast<double>(bytes) / static_cast<double>(items);
    item_bytes_ += kJobSmoothing * (mean - item_bytes_);
  }
}

auto JobMemory::ExpectedResults(std::size_t items) const -> std::size_t {
  return static_cast<std::size_t>(result_bytes_ * static_cast<double>(items));
}

auto JobMemory::ExpectedJob(std::size_t items) const -> std::size_t {
  return static_cast<std::size_t>(kReadCopies * item_bytes_ *
                                  static_cast<double>(items)) +
         ExpectedResults(items);
}

auto JobMemory::ExpectedBytes() const -> std::size_t {
  // Jobs that are over make room for others.
  return used_bytes() - over_ + ExpectedResults(unfinished_);
}

auto JobMemory::MayAccept() const -> bool {
  return ExpectedBytes() < process_bytes_ / kAcceptDivisor;
}

auto JobMemory::MayTakeOver() const -> bool {
  return ExpectedBytes() <
         process_bytes_ / kTakeOverDivisor * kTakeOverNumerator;
}

auto JobMemory::Evictions() const -> std::vector<JobId> {
  const auto max_over = process_bytes_ / kOverDivisor;
  const auto max_used = process_bytes_ / kAcceptDivisor;
  auto used = used_bytes();
  auto over = over_;
  auto evicted = std::vector<JobId>();
  if (over == 0 || (over <= max_over && used <= max_used)) {
    return evicted;
  }
  auto candidates = std::vector<std::pair<std::uint64_t, JobId>>();
  for (const auto& [job, use] : jobs_) {
    if (use.over) {
      candidates.emplace_back(use.accepted_ms, job);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  for (const auto& [accepted_ms, job] : candidates) {
    if (over <= max_over && used <= max_used) {
      break;
    }
    const auto& use = jobs_.at(job);
    over -= use.items + use.results;
    used -= use.items + use.results;
    evicted.push_back(job);
  }
  return evicted;
}

}  // namespace kumquatgauge::serving
