#ifndef KUMQUATGAUGE_SERVING_JOB_ARCHIVE_H_
#define KUMQUATGAUGE_SERVING_JOB_ARCHIVE_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kumquatgauge/base/log.h"
#include "kumquatgauge/serving/job.h"
#include "kumquatgauge/store/object_store.h"

namespace kumquatgauge::serving {

// A job's state and the version of its stored object.
struct StoredState {
  JobState state;
  std::uint64_t version = 0;

  auto operator==(const StoredState&) const -> bool = default;
};

// Keeps batch jobs in the store. Every write is conditional, and a write whose
// answer was lost is resolved by reading back, so that repeating a call never
// changes what an earlier one has done. Errors of all calls: kUnavailable,
// kOverloaded and kTimeout had no effect; kUnknownOutcome may have had one.
class JobArchive {
 public:
  explicit JobArchive(store::ObjectStore& store) : store_(store) {}

  // Stores the record and then the state, each unless it exists. Returns the
  // stored state, which differs from `state` if the job was accepted before.
  auto Create(JobRecord record, JobState state)
      -> boost::asio::awaitable<StoredState>;
  auto LoadRecord(JobId id) -> boost::asio::awaitable<std::optional<JobRecord>>;
  // The state may be seconds old when `exact` is false.
  auto LoadState(JobId id, bool exact = true)
      -> boost::asio::awaitable<std::optional<StoredState>>;
  // Replaces the state if its version is `version`. Returns nothing when
  // another writer has replaced it first.
  auto ReplaceState(JobState state, std::uint64_t version)
      -> boost::asio::awaitable<std::optional<StoredState>>;
  // Returns the states of all jobs; they may be seconds old when `exact` is
  // false. Objects that cannot be decoded are left out and logged once.
  auto ListStates(bool exact)
      -> boost::asio::awaitable<std::vector<StoredState>>;

  // Appends results at a place. Returns the chunk stored there, which differs
  // from `chunk` when another writer was first.
  auto Append(ResultChunk chunk) -> boost::asio::awaitable<ResultChunk>;
  // Returns all results of a job with `total` items, of which `known` were read
  // before.
  auto LoadResults(JobId id, StoredResults known, std::uint64_t total)
      -> boost::asio::awaitable<StoredResults>;
  // The same, and closes the list to all former owners, whose writes may still
  // take effect, unless it is complete. Must be called by a new owner, with a
  // name that is unique for each call, before it tells anyone what is listed.
  auto CloseResults(JobId id, std::string writer, std::uint64_t total)
      -> boost::asio::awaitable<StoredResults>;

  // Removes all objects of a job.
  auto Remove(JobState state, std::uint64_t version)
      -> boost::asio::awaitable<void>;

 private:
  // Creates an object unless it exists. Returns the value and version of the
  // stored object, which may hold another value.
  struct Created {
    std::string value;
    std::uint64_t version = 0;
  };
  auto CreateIfAbsent(std::string key, std::string value, store::CallClass call)
      -> boost::asio::awaitable<Created>;
  auto LoadChunk(JobId id, ResultPlace place, bool exact)
      -> boost::asio::awaitable<std::optional<ResultChunk>>;
  // May miss the last seconds' results when `exact` is false.
  auto LoadResults(JobId id,
                   StoredResults known,
                   std::uint64_t total,
                   bool exact) -> boost::asio::awaitable<StoredResults>;

  store::ObjectStore& store_;
  Logger logger_{"archive"};
  std::set<std::string> unreadable_;  // Keys, of the last listing.
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_JOB_ARCHIVE_H_
