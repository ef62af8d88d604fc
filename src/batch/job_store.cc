#include "kumquatgauge/batch/job_store.h"

#include <algorithm>
#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::batch {

using boost::asio::awaitable;
using store::CallClass;

namespace {

// Number of conflicting updates after which a call gives up. Each conflict
// means that another writer made progress.
constexpr auto kMaxUpdateAttempts = 16;
// Number of objects removed per listing.
constexpr std::size_t kSweepPage = 500;

auto NoSuchJob(const JobId& job) -> Error {
  return {ErrorKind::kNotFound, "no such batch job", job.value(),
          "check the id; results are kept for 7 days"};
}

auto Contended(const std::string& key) -> Error {
  return {ErrorKind::kUnavailable, "object has too many concurrent writers",
          key, "retry later"};
}

}  // namespace

JobStore::JobStore(store::ObjectStore& store, RandomSource random)
    : store_(store), random_(std::move(random)) {}

auto JobStore::ReadObject(std::string key)
    -> awaitable<std::optional<store::StoredObject>> {
  co_return co_await store_.Read(std::move(key), CallClass::kResult);
}

auto JobStore::ReadManifest(JobId job)
    -> awaitable<std::optional<StoredManifest>> {
  const auto object = co_await ReadObject(ManifestKey(job));
  if (!object) {
    co_return std::nullopt;
  }
  co_return StoredManifest{.manifest = JobManifest::FromJson(object->value),
                           .version = object->version};
}

auto JobStore::ReadState(JobId job) -> awaitable<std::optional<StoredState>> {
  const auto object = co_await ReadObject(StateKey(job));
  if (!object) {
    co_return std::nullopt;
  }
  co_return StoredState{.state = JobState::FromJson(object->value),
                        .version = object->version};
}

auto JobStore::ReadInput(JobId job, std::size_t chunk, std::string hash)
    -> awaitable<std::vector<ItemInput>> {
  const auto key = InputKey(job, chunk, hash);
  const auto object = co_await ReadObject(key);
  if (!object) {
    throw Error(ErrorKind::kInternal, "input chunk is missing", key,
                "report the job to the maintainers");
  }
  co_return ParseInputChunk(object->value);
}

auto JobStore::ReadPart(JobId job, std::size_t chunk, PartInfo part)
    -> awaitable<std::vector<ItemResult>> {
  const auto key = OutputKey(job, chunk, part.part, part.token);
  const auto object = co_await ReadObject(key);
  if (!object) {
    throw Error(ErrorKind::kInternal, "output part is missing", key,
                "report the job to the maintainers");
  }
  co_return ParseOutputPart(object->value);
}

auto JobStore::Update(JobId job, StoredState base, Change change)
    -> awaitable<UpdateResult> {
  const auto operation = HashText(std::to_string(random_()));
  const auto key = StateKey(job);
  // After a lost response, no later failure proves that the write had no
  // effect: it may still be in flight.
  auto ambiguous = false;
  try {
    for (auto attempt = 0; attempt < kMaxUpdateAttempts; ++attempt) {
      auto next = base.state;
      const auto verdict = change(next);
      if (verdict != UpdateVerdict::kApplied || next == base.state) {
        co_return UpdateResult{.verdict = verdict, .stored = std::move(base)};
      }
      next.operation = operation;
      const auto version = co_await TryWriteState(job, next, base.version);
      if (version) {
        co_return UpdateResult{
            .verdict = UpdateVerdict::kApplied,
            .stored = {.state = std::move(next), .version = *version}};
      }
      ambiguous = true;
      auto found = co_await ReadState(job);
      if (!found) {
        throw NoSuchJob(job);
      }
      base = std::move(*found);
      if (base.state.operation == operation) {
        co_return UpdateResult{.verdict = UpdateVerdict::kApplied,
                               .stored = std::move(base)};
      }
    }
    throw Contended(key);
  } catch (const Error& error) {
    if (!ambiguous || error.kind() == ErrorKind::kNotFound) {
      throw;
    }
  }
  throw Error(ErrorKind::kUnknownOutcome, "the job may have been changed",
              job.value(), "repeat the call; it takes effect once");
}

auto JobStore::TryWriteState(JobId job,
                             JobState state,
                             std::uint64_t expected_version)
    -> awaitable<std::optional<std::uint64_t>> {
  try {
    auto key = StateKey(job);
    auto value = state.ToJson();
    co_return co_await store_.Write(std::move(key), std::move(value),
                                    expected_version, CallClass::kResult);
  } catch (const Error& error) {
    if (error.kind() != ErrorKind::kConflict &&
        error.kind() != ErrorKind::kUnknownOutcome) {
      throw;
    }
  }
  co_return std::nullopt;
}

auto JobStore::TakeOver(JobId job, StoredState base, std::uint64_t token)
    -> awaitable<UpdateResult> {
  auto change = Change([token](JobState& state) {
    if (state.terminal()) {
      return UpdateVerdict::kEnded;
    }
    if (state.token > token) {
      return UpdateVerdict::kFenced;
    }
    state.token = token;
    return UpdateVerdict::kApplied;
  });
  co_return co_await Update(std::move(job), std::move(base), std::move(change));
}

auto JobStore::WritePart(JobId job, PartCommit part, std::string content)
    -> awaitable<void> {
  const auto key = OutputKey(job, part.chunk, part.part.part, part.part.token);
  try {
    auto target = key;
    co_await store_.Write(std::move(target), std::move(content), std::nullopt,
                          CallClass::kResult);
    co_return;
  } catch (const Error& error) {
    if (error.kind() == ErrorKind::kConflict) {
      co_return;  // Written by an earlier call whose response was lost.
    }
    if (error.kind() != ErrorKind::kUnknownOutcome) {
      throw;
    }
  }
  if (!co_await ReadObject(key)) {
    throw Error(ErrorKind::kUnavailable, "output part was not written", key,
                "write it again");
  }
}

auto JobStore::Commit(JobId job,
                      StoredState base,
                      std::uint64_t token,
                      std::vector<PartCommit> parts,
                      std::map<std::size_t, std::size_t> attempts,
                      std::optional<WallMillis> completed_at)
    -> awaitable<UpdateResult> {
  auto change =
      Change([token, parts = std::move(parts), attempts = std::move(attempts),
              completed_at](JobState& state) {
        const auto named = std::all_of(
            parts.begin(), parts.end(), [&state](const PartCommit& commit) {
              return state.HasPart(commit.chunk, commit.part);
            });
        if (!parts.empty() && named) {
          return UpdateVerdict::kApplied;  // Took effect in an earlier call.
        }
        if (state.terminal()) {
          return UpdateVerdict::kEnded;
        }
        if (state.token != token) {
          return UpdateVerdict::kFenced;
        }
        for (const auto& commit : parts) {
          // An earlier call whose response was lost may have added some parts.
          if (!state.HasPart(commit.chunk, commit.part)) {
            state.chunks[commit.chunk].push_back(commit.part);
          }
        }
        state.attempts = attempts;
        if (completed_at) {
          state.status = JobStatus::kCompleted;
          state.ended = *completed_at;
          state.attempts.clear();
        }
        return UpdateVerdict::kApplied;
      });
  co_return co_await Update(std::move(job), std::move(base), std::move(change));
}

auto JobStore::Cancel(JobId job, WallMillis now) -> awaitable<UpdateResult> {
  const auto manifest = co_await ReadManifest(job);
  auto base = co_await ReadState(job);
  if (!manifest || manifest->manifest.expired || !base) {
    throw NoSuchJob(job);
  }
  auto change = Change([now](JobState& state) {
    if (state.terminal()) {
      return UpdateVerdict::kEnded;
    }
    state.status = JobStatus::kCancelled;
    state.ended = now;
    return UpdateVerdict::kApplied;
  });
  co_return co_await Update(std::move(job), std::move(*base),
                            std::move(change));
}

auto JobStore::ReadIndex(std::string key) -> awaitable<ShardIndex> {
  const auto object = co_await ReadObject(std::move(key));
  co_return object ? ShardIndex::FromJson(object->value) : ShardIndex();
}

auto JobStore::UpdateIndex(std::string key, IndexChange change)
    -> awaitable<ShardIndex> {
  for (auto attempt = 0; attempt < kMaxUpdateAttempts; ++attempt) {
    const auto object = co_await ReadObject(key);
    const auto before =
        object ? ShardIndex::FromJson(object->value) : ShardIndex();
    auto index = before;
    change(index);
    if (index == before) {
      co_return index;  // A write whose response was lost took effect.
    }
    const auto expected =
        object ? std::optional(object->version) : std::nullopt;
    try {
      auto target = key;
      auto value = index.ToJson();
      co_await store_.Write(std::move(target), std::move(value), expected,
                            CallClass::kResult);
      co_return index;
    } catch (const Error& error) {
      if (error.kind() != ErrorKind::kConflict &&
          error.kind() != ErrorKind::kUnknownOutcome) {
        throw;
      }
    }
  }
  throw Contended(key);
}

auto JobStore::RemoveObject(std::string key, std::uint64_t version)
    -> awaitable<void> {
  try {
    co_await store_.Remove(std::move(key), version, CallClass::kStatus);
  } catch (const Error& error) {
    if (error.kind() != ErrorKind::kNotFound) {
      throw;
    }
  }
}

auto JobStore::RemoveAll(std::string prefix) -> awaitable<void> {
  while (true) {
    auto target = prefix;
    const auto page = co_await store_.List(std::move(target), "", kSweepPage,
                                           CallClass::kStatus);
    for (const auto& entry : page.entries) {
      co_await RemoveObject(entry.key, entry.version);
    }
    if (page.entries.size() < kSweepPage) {
      co_return;
    }
  }
}

auto JobStore::CreateTombstone(JobId job) -> awaitable<bool> {
  auto tombstone = JobManifest();
  tombstone.id = job;
  tombstone.expired = true;
  try {
    auto key = ManifestKey(job);
    auto value = tombstone.ToJson();
    co_await store_.Write(std::move(key), std::move(value), std::nullopt,
                          CallClass::kStatus);
    co_return true;
  } catch (const Error& error) {
    if (error.kind() == ErrorKind::kConflict) {
      co_return false;  // The upload was accepted just now.
    }
    throw;
  }
}

auto JobStore::Sweep(JobId job, WallMillis began_or_ended, WallMillis now)
    -> awaitable<bool> {
  using std::chrono::milliseconds;
  const auto age = milliseconds(now - began_or_ended);
  const auto manifest = co_await ReadManifest(job);
  const auto state = co_await ReadState(job);
  const auto accepted = manifest && !manifest->manifest.expired;
  if (accepted) {
    const auto ended =
        state && state->state.terminal() ? state->state.ended : WallMillis{now};
    if (milliseconds(now - ended) < kResultRetention) {
      co_return false;
    }
  } else if (age < kUploadRetention) {
    co_return false;
  } else if (!manifest && !(state && state->state.terminal())) {
    // The tombstone prevents a submitter that was paused for a day from
    // creating the manifest while the chunks are being removed.
    if (!co_await CreateTombstone(job)) {
      co_return false;
    }
  }
  co_await RemoveAll(JobPrefix(job) + "out/");
  co_await RemoveAll(JobPrefix(job) + "in/");
  // The manifest is removed before the state: a terminal state without a
  // manifest makes a new submission under the same key wait until the removal
  // is complete.
  co_await RemoveAll(ManifestKey(job));
  co_await RemoveAll(StateKey(job));
  co_return true;
}

ResultReader::ResultReader(JobStore& store, JobId job)
    : store_(store), job_(std::move(job)) {}

auto ResultReader::NextChunk() -> awaitable<std::vector<ItemResult>> {
  if (!state_) {
    const auto manifest = co_await store_.ReadManifest(job_);
    state_ = co_await store_.ReadState(job_);
    if (!manifest || manifest->manifest.expired || !state_) {
      state_.reset();
      throw NoSuchJob(job_);
    }
  }
  const auto& chunks = state_->state.chunks;
  const auto found = chunks.lower_bound(next_chunk_);
  auto results = std::vector<ItemResult>();
  if (found == chunks.end()) {
    co_return results;
  }
  for (const auto& part : found->second) {
    auto read = co_await store_.ReadPart(job_, found->first, part);
    std::move(read.begin(), read.end(), std::back_inserter(results));
  }
  std::sort(
      results.begin(), results.end(),
      [](const ItemResult& a, const ItemResult& b) { return a.line < b.line; });
  next_chunk_ = found->first + 1;
  co_return results;
}

auto FindResult(JobStore& store, JobId job, std::string custom_id)
    -> awaitable<std::optional<ItemResult>> {
  auto reader = ResultReader(store, std::move(job));
  while (true) {
    auto results = co_await reader.NextChunk();
    if (results.empty()) {
      co_return std::nullopt;
    }
    for (auto& result : results) {
      if (result.custom_id == custom_id) {
        co_return std::move(result);
      }
    }
  }
}

}  // namespace kumquatgauge::batch
