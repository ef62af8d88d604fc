#ifndef SERVING_OWNED_JOB_H_
#define SERVING_OWNED_JOB_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kumquatgauge/base/time.h"
#include "kumquatgauge/serving/dialect.h"
#include "kumquatgauge/serving/job.h"
#include "kumquatgauge/upstream/replica_call.h"

namespace kumquatgauge::serving::detail {

// The output of one item so far.
struct ItemProgress {
  std::string text;
  std::uint64_t last_event = 0;
  std::shared_ptr<upstream::ReplicaCaller::Call> call;  // While it runs.
  bool answered = false;  // The replica has begun to answer the call.
  bool withheld = false;  // Since replicas crash on a part of its prompt.
  ReplicaId replica;      // That runs it, or ran it last.
  // Of the software of that replica; all of the text is of this version.
  std::string version;
};

// A job that this node owns and runs.
struct OwnedJob {
  JobState state;
  std::uint64_t version = 0;  // Version of the state object.
  // When `state` was last known to be the stored one.
  MonotonicTime state_known_at;
  JobRecord record;  // Without the submission.
  std::vector<JobItem> items;
  std::size_t item_bytes = 0;                // Memory of the items.
  std::map<std::string, std::size_t> index;  // By item id.
  StoredResults stored;
  std::size_t stored_bytes = 0;  // Memory of the stored results.
  std::set<std::size_t> listed;
  std::set<std::size_t> finished;  // Listed or waiting to be stored.
  std::vector<ItemResult> unstored;
  MonotonicTime unstored_since;  // When the first of them was finished.
  std::map<std::size_t, ItemProgress> progress;
  bool storing = false;
  // While finished results wait for others, to be stored by one call.
  std::shared_ptr<boost::asio::steady_timer> store_delay;
  bool dropped = false;  // No longer owned here.
  // Every item has a result, and its state was marked as done or could not be.
  bool completed = false;
  // Set while no item runs because this node was cut off and the job may have
  // been ended.
  std::optional<MonotonicTime> suspended_at;
  // Set while the configuration has no route for the job.
  std::optional<MonotonicTime> unrouted_since;
  // Timers of the callers that wait for the next result.
  std::vector<std::weak_ptr<boost::asio::steady_timer>> readers;

  // Records results that are stored and listed. Returns the indices of the
  // items that they finish.
  auto AppendStored(const StoredResults& listed_results)
      -> std::vector<std::size_t>;
  auto AppendStored(const ResultChunk& chunk) -> std::vector<std::size_t>;
  // Returns the first unstored results, as many as fit in one stored value, but
  // at least one.
  auto NextChunk() const -> std::vector<ItemResult>;
  auto WakeReaders() -> void;
  // Stores the results that wait without further delay.
  auto EndStoreDelay() -> void;
  // Whether it runs no more items. Callers can read it from the store.
  auto IsOver() const -> bool { return state.done || state.ended || completed; }

 private:
  auto Finish(const std::vector<ItemResult>& results)
      -> std::vector<std::size_t>;
};

// Returns a page of results from position `after`, of limited size.
auto MakePage(const std::vector<ItemResult>& results,
              std::size_t total,
              std::size_t after) -> Page;

}  // namespace kumquatgauge::serving::detail

#endif  // SERVING_OWNED_JOB_H_
