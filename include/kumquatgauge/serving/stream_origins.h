#ifndef KUMQUATGAUGE_SERVING_STREAM_ORIGINS_H_
#define KUMQUATGAUGE_SERVING_STREAM_ORIGINS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::serving {

// Digest of a caller's request, by which nodes know the stream that it began.
using StreamKey = std::uint64_t;

// Includes the host, so that a caller cannot name a stream of another one.
auto StreamKeyOf(const std::string& host, const RequestId& request)
    -> StreamKey;

// What began a stream.
struct StreamOrigin {
  ServiceName service;
  std::string version;  // Of the software of the replica.

  auto operator==(const StreamOrigin&) const -> bool = default;
};

// How long records of streams are kept; several times the time in which a
// caller may take up a stream.
inline constexpr std::chrono::seconds kOriginRetention{60};
// Maximum number of records; the oldest are removed first.
inline constexpr std::size_t kMaxOrigins = 65'536;
// Number of nodes that hold the record of a stream, besides the node that began
// it. One is enough to go on, so that several may be lost at once.
inline constexpr std::size_t kOriginHolders = 4;

// Records what began each stream, for some time.
class StreamOrigins {
 public:
  explicit StreamOrigins(Clock clock) : clock_(std::move(clock)) {}

  // Keeps the first record of a stream.
  auto Add(StreamKey stream, const StreamOrigin& origin) -> void;
  auto Find(StreamKey stream) const -> std::optional<StreamOrigin>;
  auto RemoveExpired() -> void;
  auto size() const -> std::size_t { return origins_.size(); }

 private:
  auto RemoveOldest() -> void;

  Clock clock_;
  std::unordered_map<StreamKey, StreamOrigin> origins_;
  std::deque<std::pair<MonotonicTime, StreamKey>> order_;  // The oldest first.
};

// Returns the nodes that hold the record of a stream, chosen by its key and
// spread over the availability zones. All nodes that know the same members
// choose mostly the same; one does not choose itself.
auto ChooseOriginHolders(StreamKey stream,
                         const std::vector<routing::NodeInfo>& live,
                         const NodeId& self) -> std::vector<routing::NodeInfo>;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_STREAM_ORIGINS_H_
