#include "batch/owned_job.h"

#include <algorithm>

#include "kumquatgauge/batch/batch_service.h"

namespace kumquatgauge::batch::detail {
namespace {

// The newest item has a weight of 1/16 in the moving average of item times.
constexpr auto kItemTimeShare = 16;

auto MakeResult(const OwnedItem& item,
                const AttemptResult& result,
                const RetryDecision& decision) -> ItemResult {
  auto made = ItemResult{.custom_id = item.input.custom_id,
                         .line = item.input.line,
                         .outcome = OutcomeKind::kFailed,
                         .text = {},
                         .finish_reason = {},
                         .reason = decision.reason,
                         .attempts = item.retry.attempts()};
  if (decision.kind == RetryDecision::Kind::kCompleted) {
    made.outcome = OutcomeKind::kCompleted;
    made.text = result.text;
    made.finish_reason = result.dispatch.finish_reason;
  }
  return made;
}

}  // namespace

OwnedJob::OwnedJob(JobManifest manifest,
                   StoredState stored,
                   std::uint64_t token)
    : manifest_(std::move(manifest)),
      stored_(std::move(stored)),
      token_(token) {}

auto OwnedJob::IsComplete(std::size_t chunk) const -> bool {
  return stored_.state.ResultsOfChunk(chunk) >= manifest_.chunks[chunk].items;
}

auto OwnedJob::NextUnopened() -> std::optional<std::size_t> {
  const auto count = manifest_.chunks.size();
  while (complete_below_ < count && IsComplete(complete_below_)) {
    ++complete_below_;
  }
  for (auto chunk = complete_below_; chunk < count; ++chunk) {
    if (!open_.contains(chunk) && !IsComplete(chunk)) {
      return chunk;
    }
  }
  return std::nullopt;
}

auto OwnedJob::Open(std::size_t chunk,
                    std::vector<ItemInput> inputs,
                    const std::set<std::size_t>& committed_lines,
                    MonotonicTime now) -> void {
  auto& opened = open_[chunk];
  const auto parts = stored_.state.chunks.find(chunk);
  if (parts != stored_.state.chunks.end()) {
    opened.next_part = parts->second.size();
  }
  const auto& attempts = stored_.state.attempts;
  for (auto& input : inputs) {
    if (committed_lines.contains(input.line)) {
      continue;
    }
    const auto charged = attempts.find(input.line);
    opened.ready.push_back(opened.items.size());
    opened.input_bytes += input.body.size();
    opened.items.push_back(
        {.input = std::move(input),
         .retry = ItemRetry(charged == attempts.end() ? 0 : charged->second),
         .runs = 0,
         .request = {},
         .started = now,
         .ended = false});
  }
  opened.unended = opened.items.size();
  policy_.OnOpened(chunk, opened.next_part > 0, now);
}

auto OwnedJob::HasReady(MonotonicTime now) -> bool {
  auto any = false;
  for (auto& [number, chunk] : open_) {
    auto& delayed = chunk.delayed;
    while (!delayed.empty() && delayed.begin()->first <= now) {
      // Retried items go first because they delay the end of their chunk.
      chunk.ready.push_front(delayed.begin()->second);
      delayed.erase(delayed.begin());
    }
    any = any || !chunk.ready.empty();
  }
  return any;
}

auto OwnedJob::NextReadyLine() const -> std::size_t {
  for (const auto& [number, chunk] : open_) {
    if (!chunk.ready.empty()) {
      return chunk.items[chunk.ready.front()].input.line;
    }
  }
  return 0;
}

auto OwnedJob::Start(RequestId request, MonotonicTime now) -> ItemRef {
  const auto found = std::find_if(
      open_.begin(), open_.end(),
      [](const auto& entry) { return !entry.second.ready.empty(); });
  auto& chunk = found->second;
  const auto index = chunk.ready.front();
  chunk.ready.pop_front();
  auto& item = chunk.items[index];
  ++item.runs;
  item.request = std::move(request);
  item.started = now;
  ++in_flight_;
  return {.chunk = found->first, .index = index};
}

auto OwnedJob::OnAttemptEnded(ItemRef ref,
                              const AttemptResult& result,
                              MonotonicTime now) -> RetryDecision {
  auto& chunk = open_.at(ref.chunk);
  auto& item = chunk.items.at(ref.index);
  --in_flight_;
  item.request = RequestId();
  auto decision = item.retry.OnAttemptEnded(result, now);
  if (decision.kind == RetryDecision::Kind::kRetry) {
    chunk.delayed.emplace(decision.not_before, ref.index);
    return decision;
  }
  const auto took =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - item.started);
  item_time_ = measured_ ? item_time_ + (took - item_time_) / kItemTimeShare
                         : std::max(took, std::chrono::milliseconds(1));
  measured_ = true;
  AddResult(chunk, ref.chunk, item, MakeResult(item, result, decision), now);
  return decision;
}

auto OwnedJob::AddResult(OpenChunk& chunk,
                         std::size_t number,
                         OwnedItem& item,
                         ItemResult result,
                         MonotonicTime now) -> void {
  auto text = result.ToJson();
  if (text.size() >= kMaxPartBytes) {
    result.outcome = OutcomeKind::kFailed;
    result.reason =
        "response is longer than " + std::to_string(kMaxPartBytes) + " bytes";
    text = result.ToJson();
  }
  item.ended = true;
  --chunk.unended;
  chunk.input_bytes -= item.input.body.size();
  item.input.body = std::string();
  held_bytes_ += text.size() + 1;
  chunk.waiting.push_back({.number = item.input.line,
                           .text = std::move(text),
                           .failed = result.outcome == OutcomeKind::kFailed});
  policy_.OnResultsWaiting(number, chunk.waiting.size(), chunk.unended == 0,
                           now);
}

auto OwnedJob::InFlight() const -> std::vector<RequestId> {
  auto requests = std::vector<RequestId>();
  for (const auto& [number, chunk] : open_) {
    for (const auto& item : chunk.items) {
      if (!item.request.empty()) {
        requests.push_back(item.request);
      }
    }
  }
  return requests;
}

auto OwnedJob::HasFrozen() const -> bool {
  return std::any_of(open_.begin(), open_.end(), [](const auto& entry) {
    return !entry.second.frozen.empty();
  });
}

auto OwnedJob::CommitIsDue(MonotonicTime now, bool force) -> bool {
  return HasFrozen() || (force && !policy_.ChunksWaiting().empty()) ||
         !policy_.ChunksDue(now).empty();
}

auto OwnedJob::FreezeDue(MonotonicTime now, bool force) -> void {
  // Forcing more parts has no use while frozen parts wait for the platform.
  const auto all = force && !HasFrozen();
  for (const auto number :
       all ? policy_.ChunksWaiting() : policy_.ChunksDue(now)) {
    Freeze(number, open_.at(number));
  }
}

auto OwnedJob::Freeze(std::size_t number, OpenChunk& chunk) -> void {
  std::sort(chunk.waiting.begin(), chunk.waiting.end(),
            [](const auto& a, const auto& b) { return a.number < b.number; });
  auto part = FrozenPart();
  for (auto& line : chunk.waiting) {
    if (part.content.size() + line.text.size() + 1 > kMaxPartBytes) {
      FreezePart(number, chunk, std::exchange(part, FrozenPart()));
    }
    part.content += line.text;
    part.content += '\n';
    ++part.commit.part.count;
    part.commit.part.failed += line.failed ? 1 : 0;
  }
  chunk.waiting.clear();
  if (!part.content.empty()) {
    FreezePart(number, chunk, std::move(part));
  }
  policy_.OnCommitted(number);
}

auto OwnedJob::FreezePart(std::size_t number, OpenChunk& chunk, FrozenPart part)
    -> void {
  part.commit.chunk = number;
  part.commit.part.part = chunk.next_part++;
  part.commit.part.token = token_;
  chunk.frozen.push_back(std::move(part));
}

auto OwnedJob::UnwrittenParts() -> std::vector<FrozenPart*> {
  auto parts = std::vector<FrozenPart*>();
  for (auto& [number, chunk] : open_) {
    for (auto& part : chunk.frozen) {
      if (!part.written) {
        parts.push_back(&part);
      }
    }
  }
  return parts;
}

auto OwnedJob::FrozenCommits() const -> std::vector<PartCommit> {
  auto commits = std::vector<PartCommit>();
  for (const auto& [number, chunk] : open_) {
    for (const auto& part : chunk.frozen) {
      commits.push_back(part.commit);
    }
  }
  return commits;
}

auto OwnedJob::Attempts() const -> std::map<std::size_t, std::size_t> {
  auto attempts = std::map<std::size_t, std::size_t>();
  for (const auto& [number, chunk] : open_) {
    for (const auto& item : chunk.items) {
      if (!item.ended && item.retry.attempts() > 0) {
        attempts[item.input.line] = item.retry.attempts();
      }
    }
  }
  return attempts;
}

auto OwnedJob::WouldComplete() const -> bool {
  auto results = stored_.state.results();
  for (const auto& commit : FrozenCommits()) {
    if (!stored_.state.HasPart(commit.chunk, commit.part)) {
      results += commit.part.count;
    }
  }
  return results == manifest_.items;
}

auto OwnedJob::OnCommitted(const std::vector<PartCommit>& parts,
                           MonotonicTime now) -> void {
  for (const auto& commit : parts) {
    const auto found = open_.find(commit.chunk);
    if (found == open_.end()) {
      continue;
    }
    auto& chunk = found->second;
    std::erase_if(chunk.frozen, [this, &commit](const FrozenPart& part) {
      const auto same = part.commit == commit;
      held_bytes_ -= same ? part.content.size() : 0;
      return same;
    });
    const auto closed =
        chunk.unended == 0 && chunk.waiting.empty() && chunk.frozen.empty();
    if (closed) {
      policy_.OnClosed(commit.chunk);
      open_.erase(found);
    } else if (!chunk.waiting.empty()) {
      policy_.OnResultsWaiting(commit.chunk, chunk.waiting.size(),
                               chunk.unended == 0, now);
    }
  }
}

auto OwnedJob::input_bytes() const -> std::size_t {
  auto sum = std::size_t{0};
  for (const auto& [number, chunk] : open_) {
    sum += chunk.input_bytes;
  }
  return sum;
}

auto OwnedJob::waiting_results() const -> std::size_t {
  auto sum = std::size_t{0};
  for (const auto& [number, chunk] : open_) {
    sum += chunk.waiting.size();
    for (const auto& part : chunk.frozen) {
      sum += part.commit.part.count;
    }
  }
  return sum;
}

auto OwnedJob::Work(std::size_t parallel) const -> JobWork {
  const auto known = stored_.state.results() + waiting_results();
  return {.id = manifest_.id,
          .organisation = manifest_.organisation,
          .due = WallTime(std::chrono::milliseconds(manifest_.due)),
          .remaining = manifest_.items - std::min(known, manifest_.items),
          .item_time = item_time_,
          .parallel = std::max(parallel, in_flight_)};
}

}  // namespace kumquatgauge::batch::detail
