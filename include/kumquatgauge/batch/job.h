#ifndef KUMQUATGAUGE_BATCH_JOB_H_
#define KUMQUATGAUGE_BATCH_JOB_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/outcome.h"
#include "kumquatgauge/routing/completion.h"

namespace kumquatgauge::batch {

inline constexpr std::size_t kShardCount = 64;
// A chunk is closed at the first limit that it reaches. 700 KB leaves space for
// one more line below the platform's limit of 1 MB.
inline constexpr std::size_t kChunkItems = 256;
inline constexpr std::size_t kChunkBytes = 700'000;
inline constexpr std::size_t kMaxItemsPerJob = 110'000;
// Keeps the manifest and the state object well below the platform's 1 MB.
inline constexpr std::size_t kMaxChunksPerJob = 4'096;

// Wall time in milliseconds since the epoch, as stored in JSON.
using WallMillis = std::int64_t;

// Returns the id of the job that `organisation` submits under `client_key`. It
// is deterministic, so that a repeated submission finds the existing job.
auto MakeJobId(const OrganisationName& organisation,
               std::string_view client_key) -> JobId;
// Returns the shard of a job, 0 to kShardCount - 1.
auto ShardOfJob(const JobId& job) -> std::size_t;
// Returns the 128-bit xxhash of `bytes` as 32 hexadecimal digits.
auto HashText(std::string_view bytes) -> std::string;

// Keys of the objects of a job and of its shard.
auto JobPrefix(const JobId& job) -> std::string;
auto ManifestKey(const JobId& job) -> std::string;
auto StateKey(const JobId& job) -> std::string;
auto InputKey(const JobId& job, std::size_t chunk, const std::string& hash)
    -> std::string;
auto OutputKey(const JobId& job,
               std::size_t chunk,
               std::size_t part,
               std::uint64_t token) -> std::string;
auto IndexKey(std::size_t shard) -> std::string;
auto FinishedKey(std::size_t shard) -> std::string;
auto ShardLeaseKey(std::size_t shard) -> std::string;

// A line of a submission that was rejected, and the reason.
struct RejectedLine {
  std::size_t line = 0;  // Counted from 1.
  std::string reason;

  auto operator==(const RejectedLine&) const -> bool = default;
};

// One input chunk. Its object is named by the hash of its content, so uploads
// of different bodies under one key never overwrite each other's chunks.
struct ChunkInfo {
  std::string hash;
  std::size_t items = 0;

  auto operator==(const ChunkInfo&) const -> bool = default;
};

// Immutable description of an accepted job. Creating it accepts the job.
struct JobManifest {
  JobId id;
  OrganisationName organisation;
  std::string client_key;
  ServiceName service;
  routing::CompletionEndpoint endpoint =
      routing::CompletionEndpoint::kCompletions;
  std::string body_hash;
  std::size_t items = 0;
  std::size_t rejected_count = 0;
  // The first kMaxListedRejections rejected lines.
  std::vector<RejectedLine> rejected;
  std::vector<ChunkInfo> chunks;
  WallMillis due = 0;
  WallMillis created = 0;
  // Marks an incomplete upload that is being removed; never an accepted job.
  bool expired = false;

  auto operator==(const JobManifest&) const -> bool = default;

  auto ToJson() const -> std::string;
  // Throws Error(kInternal) on text that is not a manifest.
  static auto FromJson(const std::string& text) -> JobManifest;
};

enum class JobStatus { kRunning, kCompleted, kCancelled };

auto JobStatusName(JobStatus status) -> std::string_view;

// A committed output part. `failed` of its `count` results are errors.
struct PartInfo {
  std::size_t part = 0;
  std::uint64_t token = 0;
  std::size_t count = 0;
  std::size_t failed = 0;

  auto operator==(const PartInfo&) const -> bool = default;
};

// The mutable state of a job. All changes are conditional updates, which
// serialise commits, takeovers and cancellation.
struct JobState {
  JobStatus status = JobStatus::kRunning;
  std::uint64_t token = 0;
  std::string operation;  // Operation id of the last update.
  WallMillis ended = 0;
  std::map<std::size_t, std::vector<PartInfo>> chunks;  // By chunk number.
  // Attempts charged to items that have no result yet, by line number.
  std::map<std::size_t, std::size_t> attempts;

  auto operator==(const JobState&) const -> bool = default;

  auto terminal() const -> bool { return status != JobStatus::kRunning; }
  auto results() const -> std::size_t;
  auto failed() const -> std::size_t;
  auto ResultsOfChunk(std::size_t chunk) const -> std::size_t;
  auto HasPart(std::size_t chunk, const PartInfo& part) const -> bool;

  auto ToJson() const -> std::string;
  // Throws Error(kInternal) on text that is not a state.
  static auto FromJson(const std::string& text) -> JobState;
};

struct ItemInput {
  std::string custom_id;
  std::size_t line = 0;  // Line of the submission, from 1.
  std::string body;      // JSON text exactly as it was submitted.

  auto operator==(const ItemInput&) const -> bool = default;

  // One line of an input chunk, without the newline.
  auto ToJson() const -> std::string;
  // Throws Error(kInternal) on text that is not an item.
  static auto FromJson(std::string_view text) -> ItemInput;
};

struct ItemResult {
  std::string custom_id;
  std::size_t line = 0;
  OutcomeKind outcome = OutcomeKind::kCompleted;  // kCompleted or kFailed.
  std::string text;                               // Response when completed.
  std::string finish_reason;  // "stop" or "length" when completed.
  std::string reason;         // Error when failed.
  std::size_t attempts = 0;   // Attempts that ran, including the last one.

  auto operator==(const ItemResult&) const -> bool = default;

  // One line of an output part, without the newline.
  auto ToJson() const -> std::string;
  // Throws Error(kInternal) on text that is not a result.
  static auto FromJson(std::string_view text) -> ItemResult;
};

// Parse the lines of an input chunk or an output part.
auto ParseInputChunk(const std::string& text) -> std::vector<ItemInput>;
auto ParseOutputPart(const std::string& text) -> std::vector<ItemResult>;

// Maps jobs of a shard to times. index/SHARD holds unfinished jobs with the
// start of their upload, finished/SHARD ended jobs with their end time. They
// are separate because the owner reads index/SHARD every second.
struct ShardIndex {
  std::map<JobId, WallMillis> jobs;

  auto operator==(const ShardIndex&) const -> bool = default;

  auto ToJson() const -> std::string;
  static auto FromJson(const std::string& text) -> ShardIndex;
};

namespace detail {
// Returns the raw text of member `name` of the JSON object `text`, which must
// be valid JSON, or an empty view if there is none. The last of several members
// with the same name is used, as in the JSON parser.
auto RawMember(std::string_view text, std::string_view name)
    -> std::string_view;
}  // namespace detail

}  // namespace kumquatgauge::batch

#endif  // KUMQUATGAUGE_BATCH_JOB_H_
