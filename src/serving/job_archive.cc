#include "kumquatgauge/serving/job_archive.h"

#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::serving {
namespace {

using boost::asio::awaitable;
using store::CallClass;

constexpr std::size_t kPageSize = 500;

}  // namespace

auto JobArchive::CreateIfAbsent(std::string key,
                                std::string value,
                                CallClass call_class) -> awaitable<Created> {
  auto read_back = false;
  try {
    const auto version =
        co_await store_.Write(key, value, std::nullopt, call_class);
    co_return Created{std::move(value), version};
  } catch (const Error& error) {
    read_back = error.kind() == ErrorKind::kConflict ||
                error.kind() == ErrorKind::kUnknownOutcome;
    if (!read_back) {
      throw;
    }
  }
  auto stored = std::optional<store::StoredObject>();
  auto reason = std::string("the object does not exist yet");
  try {
    stored = co_await store_.Read(key, call_class);
  } catch (const Error& error) {
    reason = error.what();
  }
  if (!stored) {
    // The write with the unknown outcome may still take effect.
    throw Error(ErrorKind::kUnknownOutcome,
                "the outcome of a write is not known (" + reason + ")", key,
                "repeat the call; it changes nothing twice");
  }
  co_return Created{std::move(stored->value), stored->version};
}

auto JobArchive::Create(JobRecord record, JobState state)
    -> awaitable<StoredState> {
  const auto id = record.id;
  const auto values = EncodeRecord(record);
  for (auto part = values.size() - 1; part > 0; --part) {
    co_await CreateIfAbsent(RecordPartKey(id, part), values[part],
                            CallClass::kClaim);
  }
  co_await CreateIfAbsent(RecordKey(id), values.front(), CallClass::kClaim);
  auto text = EncodeState(state);
  const auto created =
      co_await CreateIfAbsent(StateKey(id), std::move(text), CallClass::kClaim);
  co_return StoredState{DecodeState(id, created.value), created.version};
}

auto JobArchive::LoadRecord(JobId id) -> awaitable<std::optional<JobRecord>> {
  auto first = co_await store_.Read(RecordKey(id), CallClass::kResult);
  if (!first) {
    co_return std::nullopt;
  }
  const auto parts = RecordPartCount(id, first->value);
  auto values = std::vector<std::string>{std::move(first->value)};
  for (std::size_t part = 1; part <= parts; ++part) {
    auto next =
        co_await store_.Read(RecordPartKey(id, part), CallClass::kResult);
    if (!next) {
      co_return std::nullopt;
    }
    values.push_back(std::move(next->value));
  }
  co_return DecodeRecord(id, values);
}

auto JobArchive::LoadState(JobId id, bool exact)
    -> awaitable<std::optional<StoredState>> {
  const auto stored = co_await store_.Read(
      StateKey(id), exact ? CallClass::kResult : CallClass::kStatus);
  if (!stored) {
    co_return std::nullopt;
  }
  co_return StoredState{DecodeState(id, stored->value), stored->version};
}

auto JobArchive::ReplaceState(JobState state, std::uint64_t version)
    -> awaitable<std::optional<StoredState>> {
  auto text = EncodeState(state);
  auto read_back = false;
  try {
    const auto written = co_await store_.Write(StateKey(state.id), text,
                                               version, CallClass::kClaim);
    co_return StoredState{state, written};
  } catch (const Error& error) {
    if (error.kind() == ErrorKind::kConflict) {
      co_return std::nullopt;
    }
    read_back = error.kind() == ErrorKind::kUnknownOutcome;
    if (!read_back) {
      throw;
    }
  }
  const auto stored = co_await LoadState(state.id);
  if (stored && stored->state == state) {
    co_return stored;
  }
  if (stored && stored->version == version) {
    throw Error(ErrorKind::kUnknownOutcome,
                "the outcome of a write is not known", StateKey(state.id),
                "repeat the call");
  }
  co_return std::nullopt;
}

auto JobArchive::ListStates(bool exact) -> awaitable<std::vector<StoredState>> {
  auto states = std::vector<StoredState>();
  auto unreadable = std::set<std::string>();
  auto after = std::string();
  while (true) {
    const auto page =
        co_await store_.List(kStatePrefix, after, kPageSize,
                             exact ? CallClass::kResult : CallClass::kStatus);
    for (const auto& entry : page.entries) {
      const auto id =
          JobId(entry.key.substr(std::string_view(kStatePrefix).size()));
      if (!entry.value) {
        continue;
      }
      try {
        states.push_back({DecodeState(id, *entry.value), entry.version});
      } catch (const Error& error) {
        unreadable.insert(entry.key);
        if (!unreadable_.contains(entry.key)) {
          logger_.Warning("the state of a job cannot be decoded",
                          {{"event", "object_ignored"},
                           {"object", entry.key},
                           {"reason", error.what()}});
        }
      }
    }
    if (!page.more || page.entries.empty()) {
      break;
    }
    after = page.entries.back().key;
  }
  unreadable_ = std::move(unreadable);
  co_return states;
}

auto JobArchive::Append(ResultChunk chunk) -> awaitable<ResultChunk> {
  auto text = EncodeChunk(chunk);
  const auto key = ChunkKey(chunk.id, chunk.place);
  const auto created =
      co_await CreateIfAbsent(key, std::move(text), CallClass::kResult);
  co_return DecodeChunk(chunk.id, created.value);
}

auto JobArchive::LoadChunk(JobId id, ResultPlace place, bool exact)
    -> awaitable<std::optional<ResultChunk>> {
  const auto stored = co_await store_.Read(
      ChunkKey(id, place), exact ? CallClass::kResult : CallClass::kStatus);
  if (!stored) {
    co_return std::nullopt;
  }
  co_return DecodeChunk(id, stored->value);
}

auto JobArchive::LoadResults(JobId id, StoredResults known, std::uint64_t total)
    -> awaitable<StoredResults> {
  return LoadResults(std::move(id), std::move(known), total, true);
}

auto JobArchive::LoadResults(JobId id,
                             StoredResults known,
                             std::uint64_t total,
                             bool exact) -> awaitable<StoredResults> {
  while (known.results.size() < total) {
    // A chunk never changes, so one that an inexact read shows counts. Such
    // reads cost less.
    auto chunk = co_await LoadChunk(id, known.end(), false);
    if (!chunk && exact) {
      chunk = co_await LoadChunk(id, known.end(), true);
    }
    if (!chunk) {
      break;
    }
    known.Append(*chunk);
  }
  co_return known;
}

auto JobArchive::CloseResults(JobId id, std::string writer, std::uint64_t total)
    -> awaitable<StoredResults> {
  auto known = StoredResults();
  auto closed = false;
  while (!closed) {
    // A chunk that these reads do not show yet is found by the write of the
    // closing, which fails.
    known = co_await LoadResults(id, std::move(known), total, false);
    if (known.results.size() >= total) {
      break;
    }
    const auto closing = ResultChunk{id, known.end(), writer, {}};
    const auto stored = co_await Append(closing);
    closed = stored == closing;
    known.Append(stored);
  }
  co_return known;
}

auto JobArchive::Remove(JobState state, std::uint64_t version)
    -> awaitable<void> {
  const auto id = state.id;
  auto known = StoredResults();
  while (true) {
    const auto key = ChunkKey(id, known.end());
    const auto stored = co_await store_.Read(key, CallClass::kStatus);
    if (!stored) {
      break;
    }
    known.Append(DecodeChunk(id, stored->value));
    co_await store_.Remove(key, stored->version, CallClass::kStatus);
  }
  const auto record = co_await store_.Read(RecordKey(id), CallClass::kStatus);
  if (record) {
    const auto parts = RecordPartCount(id, record->value);
    for (std::size_t part = 1; part <= parts; ++part) {
      const auto key = RecordPartKey(id, part);
      const auto stored = co_await store_.Read(key, CallClass::kStatus);
      if (stored) {
        co_await store_.Remove(key, stored->version, CallClass::kStatus);
      }
    }
    co_await store_.Remove(RecordKey(id), record->version, CallClass::kStatus);
  }
  co_await store_.Remove(StateKey(id), version, CallClass::kStatus);
}

}  // namespace kumquatgauge::serving
