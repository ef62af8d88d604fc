#ifndef KUMQUATGAUGE_BATCH_JOB_STORE_H_
#define KUMQUATGAUGE_BATCH_JOB_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/batch/job.h"
#include "kumquatgauge/store/object_store.h"

namespace kumquatgauge::batch {

// Finished jobs are kept for 7 days and incomplete uploads for one.
inline constexpr std::chrono::hours kResultRetention{24 * 7};
inline constexpr std::chrono::hours kUploadRetention{24};

struct StoredState {
  JobState state;
  std::uint64_t version = 0;

  auto operator==(const StoredState&) const -> bool = default;
};

struct StoredManifest {
  JobManifest manifest;
  std::uint64_t version = 0;

  auto operator==(const StoredManifest&) const -> bool = default;
};

// A written output part to be listed in the job's state.
struct PartCommit {
  std::size_t chunk = 0;
  PartInfo part;

  auto operator==(const PartCommit&) const -> bool = default;
};

// Outcome of an update of a job's state.
enum class UpdateVerdict {
  kApplied,
  kFenced,  // A later owner has taken over the job.
  kEnded,   // The job had already ended.
};

struct UpdateResult {
  UpdateVerdict verdict = UpdateVerdict::kApplied;
  StoredState stored;  // The current state.

  auto operator==(const UpdateResult&) const -> bool = default;
};

// Reads and writes the objects of jobs. Stateless apart from the hooks; calls
// may run concurrently. Unless noted otherwise, a call throws the store's Error
// if the platform does not respond and can then be repeated with the same
// arguments: an update that took effect is recognised by its operation id, or
// by its content if another writer has written since. Throws kUnknownOutcome if
// it cannot determine whether a write with a lost response took effect.
class JobStore {
 public:
  using IndexChange = std::function<auto(ShardIndex&)->void>;

  JobStore(store::ObjectStore& store, RandomSource random);

  auto ReadManifest(JobId job)
      -> boost::asio::awaitable<std::optional<StoredManifest>>;
  auto ReadState(JobId job)
      -> boost::asio::awaitable<std::optional<StoredState>>;
  auto ReadInput(JobId job, std::size_t chunk, std::string hash)
      -> boost::asio::awaitable<std::vector<ItemInput>>;
  auto ReadPart(JobId job, std::size_t chunk, PartInfo part)
      -> boost::asio::awaitable<std::vector<ItemResult>>;

  // Writes the owner's token into the state, so that every conditional write of
  // an earlier owner fails.
  auto TakeOver(JobId job, StoredState base, std::uint64_t token)
      -> boost::asio::awaitable<UpdateResult>;
  // Writes one output part. The content under one key must always be the same.
  auto WritePart(JobId job, PartCommit part, std::string content)
      -> boost::asio::awaitable<void>;
  // Adds written parts of any chunks to the state in one update. `completed_at`
  // is set if these parts complete the job.
  auto Commit(JobId job,
              StoredState base,
              std::uint64_t token,
              std::vector<PartCommit> parts,
              std::map<std::size_t, std::size_t> attempts,
              std::optional<WallMillis> completed_at)
      -> boost::asio::awaitable<UpdateResult>;
  // Cancels the job. The cancellation takes effect with the conditional update;
  // kEnded means that the job had already completed or been cancelled. Throws
  // Error(kNotFound) if there is no such job.
  auto Cancel(JobId job, WallMillis now)
      -> boost::asio::awaitable<UpdateResult>;

  // `key` is IndexKey or FinishedKey of a shard.
  auto ReadIndex(std::string key) -> boost::asio::awaitable<ShardIndex>;
  // Applies `change`, which must be idempotent, to an index.
  auto UpdateIndex(std::string key, IndexChange change)
      -> boost::asio::awaitable<ShardIndex>;

  // Removes the objects of a job that ended more than kResultRetention ago, or
  // of an upload without a manifest that began more than kUploadRetention ago.
  // Returns true if the objects were removed.
  auto Sweep(JobId job, WallMillis began_or_ended, WallMillis now)
      -> boost::asio::awaitable<bool>;

 private:
  // Modifies the state to be written. The state is written only if the result
  // is kApplied.
  using Change = std::function<auto(JobState&)->UpdateVerdict>;

  auto Update(JobId job, StoredState base, Change change)
      -> boost::asio::awaitable<UpdateResult>;
  // Returns nullopt if the write was refused or its response was lost.
  auto TryWriteState(JobId job, JobState state, std::uint64_t expected_version)
      -> boost::asio::awaitable<std::optional<std::uint64_t>>;
  auto ReadObject(std::string key)
      -> boost::asio::awaitable<std::optional<store::StoredObject>>;
  auto CreateTombstone(JobId job) -> boost::asio::awaitable<bool>;
  auto RemoveAll(std::string prefix) -> boost::asio::awaitable<void>;
  auto RemoveObject(std::string key, std::uint64_t version)
      -> boost::asio::awaitable<void>;

  store::ObjectStore& store_;
  RandomSource random_;
};

// Streams the results of a job in input order, one chunk at a time, so that
// memory use is bounded by the parts of one chunk.
class ResultReader {
 public:
  ResultReader(JobStore& store, JobId job);

  // Returns the committed results of the next chunk that has any, in line
  // order, or an empty vector at the end. Throws Error(kNotFound) if there is
  // no such job.
  auto NextChunk() -> boost::asio::awaitable<std::vector<ItemResult>>;

 private:
  JobStore& store_;
  JobId job_;
  std::optional<StoredState> state_;
  std::size_t next_chunk_ = 0;
};

// Finds a result by custom_id. Returns nullopt if none has been committed.
// Throws Error(kNotFound) if there is no such job.
auto FindResult(JobStore& store, JobId job, std::string custom_id)
    -> boost::asio::awaitable<std::optional<ItemResult>>;

}  // namespace kumquatgauge::batch

#endif  // KUMQUATGAUGE_BATCH_JOB_STORE_H_
