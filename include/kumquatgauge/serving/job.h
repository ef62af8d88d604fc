#ifndef KUMQUATGAUGE_SERVING_JOB_H_
#define KUMQUATGAUGE_SERVING_JOB_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/http_header.h"
#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/serving/prompt_parts.h"

namespace kumquatgauge::serving {

// One request of a batch job.
struct JobItem {
  std::string id;
  std::string path;
  HeaderList headers;
  std::string body;
  std::uint32_t tokens = 0;  // Prompt plus maximum output.
  PromptParts shared_parts;
  bool names_weights = false;  // As in CallerRequest.

  auto operator==(const JobItem&) const -> bool = default;
};

struct ItemResult {
  std::string item;
  bool completed = false;  // Otherwise it ended in an error.
  std::string text;        // Data of all events, one per line.

  auto operator==(const ItemResult&) const -> bool = default;
};

// An accepted job as stored; it never changes.
struct JobRecord {
  JobId id;
  std::string host;
  std::string path;
  std::uint64_t accepted_ms = 0;  // Since the Unix epoch.
  std::string submission;         // The caller's body as received.
  // As in Delivery::organisation.
  std::optional<OrganisationName> organisation = {};

  auto operator==(const JobRecord&) const -> bool = default;
};

// The owner of a job and whether the job is over. Stored next to the record and
// changed by conditional writes only.
struct JobState {
  JobId id;
  NodeId owner;
  std::uint64_t incarnation = 0;  // Of the owner.
  std::uint64_t accepted_ms = 0;
  std::uint64_t total = 0;  // Number of items.
  bool ended = false;       // Stopped on request.
  bool done = false;        // Every item has a result.
  // Who accepted the job and answers for its tokens until it is over; does not
  // change once the job is accepted. The tokens are those of all items.
  std::string account = {};  // See AccountNameOf.
  NodeId acceptor = {};
  Incarnation acceptor_incarnation = 0;
  std::uint64_t tokens = 0;
  // Version of the configuration that had the job's route when it was accepted.
  // An older one says nothing about the route.
  std::uint64_t configuration_version = 0;
  // When the job was marked as ended or done, since the Unix epoch; 0 before.
  std::uint64_t over_ms = 0;

  auto operator==(const JobState&) const -> bool = default;
};

// Returns whether a job can be removed: it is over, and has been for longer
// than `retention`.
auto IsExpired(const JobState& state,
               std::uint64_t now_ms,
               std::chrono::milliseconds retention) -> bool;

// Where the next results of a job are stored.
struct ResultPlace {
  std::uint64_t position = 0;  // In the job's list of results.
  // Number of closing chunks before it.
  std::uint64_t closings = 0;

  auto operator==(const ResultPlace&) const -> bool = default;
};

// Failed runs of unfinished items, by item.
using FailedRuns = std::map<std::string, std::uint32_t>;

// Results that were stored together, from a place on. The stored object is
// named after that place and created only if absent, so that no position is
// assigned twice. A chunk without results closes its place: a new owner stores
// one, so that writes of a former owner that are still under way fail, and its
// results follow under the next number of closings. An owner that hands its job
// over stores one that holds the failed runs.
struct ResultChunk {
  JobId id;
  ResultPlace place;
  std::string writer;  // Unique for each attempt to write.
  std::vector<ItemResult> results;
  FailedRuns failures = {};  // All that the writer knows.

  auto operator==(const ResultChunk&) const -> bool = default;
};

// The results of a job that are known to be stored, from the first one on.
struct StoredResults {
  std::vector<ItemResult> results;
  std::uint64_t closings = 0;
  FailedRuns failures = {};

  // Returns where the next chunk is stored.
  auto end() const -> ResultPlace { return {results.size(), closings}; }
  // Appends the chunk that is stored at end().
  auto Append(const ResultChunk& chunk) -> void;

  auto operator==(const StoredResults&) const -> bool = default;
};

// Returns the id under which a job of an organisation is kept. Callers of
// different organisations cannot name each other's jobs, even by equal ids.
auto ScopedJobId(const JobId& id,
                 const std::optional<OrganisationName>& organisation) -> JobId;

auto RecordKey(const JobId& id) -> std::string;
auto StateKey(const JobId& id) -> std::string;
auto ChunkKey(const JobId& id, const ResultPlace& place) -> std::string;
inline constexpr auto kStatePrefix = "job-states/";

// Values are JSON text. The decoders throw Error(kInvalidArgument) for text
// that was not written by the encoders.
auto EncodeState(const JobState& state) -> std::string;
auto DecodeState(const JobId& id, const std::string& value) -> JobState;
auto EncodeChunk(const ResultChunk& chunk) -> std::string;
auto DecodeChunk(const JobId& id, const std::string& value) -> ResultChunk;
// Splits a record into one or more values; the first holds the number of the
// others.
auto EncodeRecord(const JobRecord& record) -> std::vector<std::string>;
auto RecordPartKey(const JobId& id, std::size_t part) -> std::string;
// Returns the number of further values that follow the first one.
auto RecordPartCount(const JobId& id, const std::string& first) -> std::size_t;
auto DecodeRecord(const JobId& id, const std::vector<std::string>& values)
    -> JobRecord;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_JOB_H_
