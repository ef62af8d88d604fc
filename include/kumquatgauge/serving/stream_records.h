#ifndef KUMQUATGAUGE_SERVING_STREAM_RECORDS_H_
#define KUMQUATGAUGE_SERVING_STREAM_RECORDS_H_

#include <cstddef>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "kumquatgauge/base/time.h"
#include "kumquatgauge/serving/stream_origins.h"

namespace kumquatgauge::serving {

struct StreamRecord {
  StreamKey stream = 0;
  StreamOrigin origin;

  auto operator==(const StreamRecord&) const -> bool = default;
};

// How long a record stays in the store: several times the longest time limit of
// a route, within which callers take up a stream.
inline constexpr std::chrono::seconds kStoredRecordTime{20};
// Maximum number of records in the object of one node, which keeps it well
// below the size limit of a stored value.
inline constexpr std::size_t kMaxStoredRecords = 20'000;

// The streams that this node began lately and those that other nodes handed
// over to it, as they are stored in the object of this node: the last source of
// what began a stream when all nodes have ended.
class StreamRecords {
 public:
  explicit StreamRecords(Clock clock) : clock_(std::move(clock)) {}

  auto Add(const StreamRecord& record) -> void;
  // Adds the records that an earlier start of this node has stored.
  auto AddStored(const std::vector<StreamRecord>& records) -> void;
  auto RemoveExpired() -> void;
  // Returns all records, to be stored here. Nothing has to be stored again
  // until the next Add().
  auto Take() -> std::vector<StreamRecord>;
  // Returns the records since the last Take() or TakeNew(), to be handed over
  // to a node that stores them.
  auto TakeNew() -> std::vector<StreamRecord>;
  // What was taken could not be stored or handed over.
  auto OnFailed() -> void { changed_ = true; }
  auto changed() const -> bool { return changed_; }

 private:
  Clock clock_;
  std::deque<std::pair<MonotonicTime, StreamRecord>> records_;
  std::size_t new_records_ = 0;  // The last ones.
  bool changed_ = false;
};

// The prefix and the key of the objects with the records of nodes.
inline constexpr auto kRecordsPrefix = "stream-origins/";
auto RecordsKey(const NodeId& node) -> std::string;

// Values are JSON text. The decoder throws Error(kInvalidArgument) for text
// that was not written by the encoder.
auto EncodeRecords(const std::vector<StreamRecord>& records) -> std::string;
auto DecodeRecords(const std::string& key, const std::string& value)
    -> std::vector<StreamRecord>;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_STREAM_RECORDS_H_
