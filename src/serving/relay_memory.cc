#include "kumquatgauge/serving/relay_memory.h"

#include <algorithm>
#include <utility>

namespace kumquatgauge::serving {
namespace {

// Streams that can grow at once without using up the free part of the budget.
constexpr std::size_t kGrowingStreams = 8;
// Share of the budget that only the answer that began first may use.
constexpr std::size_t kFirstDivisor = 4;

}  // namespace

RelayMemory::RelayMemory(RelayMemorySettings settings) : settings_(settings) {}

auto RelayMemory::Set(ResponseId response, const Use& use, MonotonicTime now)
    -> void {
  const auto [entry, added] =
      responses_.try_emplace(response, Response{Use(), now});
  auto& state = entry->second;
  held_ += use.bytes - state.use.bytes;
  if (state.use.read != use.read) {
    state.progress_at = now;
  }
  state.use = use;
}

auto RelayMemory::Remove(ResponseId response) -> void {
  const auto found = responses_.find(response);
  if (found != responses_.end()) {
    held_ -= found->second.use.bytes;
    responses_.erase(found);
  }
}

auto RelayMemory::Contains(ResponseId response) const -> bool {
  return responses_.contains(response);
}

auto RelayMemory::BeginAnswer() -> AnswerId {
  answers_.emplace(++last_answer_, 0);
  return last_answer_;
}

auto RelayMemory::SetAnswer(AnswerId answer, std::size_t bytes) -> void {
  auto& counted = answers_.at(answer);
  read_ += bytes - counted;
  counted = bytes;
}

auto RelayMemory::EndAnswer(AnswerId answer) -> void {
  SetAnswer(answer, 0);
  answers_.erase(answer);
}

auto RelayMemory::MayReadOn(AnswerId answer) const -> bool {
  const auto shared = settings_.budget - settings_.budget / kFirstDivisor;
  const auto is_long = [this](const auto& entry) {
    return entry.second > settings_.free_answer;
  };
  if (!is_long(*answers_.find(answer)) || bytes() <= shared) {
    return true;
  }
  const auto first = std::find_if(answers_.begin(), answers_.end(), is_long);
  return first->first == answer && held_ <= shared;
}

auto RelayMemory::TakeTerminations(MonotonicTime now)
    -> std::vector<Termination> {
  auto by_progress = std::vector<std::pair<MonotonicTime, ResponseId>>();
  for (const auto& [id, response] : responses_) {
    if (now - response.progress_at >= settings_.min_stall) {
      by_progress.emplace_back(response.progress_at, id);
    }
  }
  std::sort(by_progress.begin(), by_progress.end());
  auto terminations = std::vector<Termination>();
  for (const auto& [progress_at, id] : by_progress) {
    const auto stalled = now - progress_at;
    const auto use = responses_.at(id).use;
    const auto limit =
        use.source_waits ? settings_.stall_limit : settings_.idle_limit;
    const auto reason =
        stalled >= limit ? EndReason::kStalled : EndReason::kBudget;
    if (reason == EndReason::kBudget && !IsOverBudget()) {
      continue;
    }
    terminations.push_back({id, reason, use.bytes, stalled});
    Remove(id);
  }
  return terminations;
}

auto RelayMemory::MaxStreamBytes() const -> std::size_t {
  const auto free = settings_.budget - std::min(settings_.budget, bytes());
  return std::clamp(free / kGrowingStreams, settings_.min_stream,
                    settings_.max_stream);
}

}  // namespace kumquatgauge::serving
