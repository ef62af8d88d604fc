#ifndef KUMQUATGAUGE_SERVING_STREAM_VERSIONS_H_
#define KUMQUATGAUGE_SERVING_STREAM_VERSIONS_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/metrics.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/node/peer.h"
#include "kumquatgauge/routing/replica.h"
#include "kumquatgauge/serving/stream_origins.h"

namespace kumquatgauge::node {
class PeerServer;
}

namespace kumquatgauge::serving {

// Dependencies of StreamVersions; all must outlive it.
struct StreamVersionsParts {
  boost::asio::any_io_executor executor;
  node::PeerClient& peers;
  MetricsRegistry& metrics;
  Clock clock;
  std::function<auto()->NodeId> self;
  // Returns the live members, including this node.
  std::function<auto()->std::vector<routing::NodeInfo>> live;
  std::function<
      auto(const std::string& address, const nlohmann::json& message)->void>
      send_datagram;
  // Returns how long ago this node has read the entries of the replicas from
  // the store; nothing if it does not watch the store.
  std::function<auto()->std::optional<Duration>> entries_age;
};

// A stream of a caller.
struct CallerStream {
  StreamKey key = 0;
  ServiceName service;
  // The longest time in which the caller may take it up.
  Duration life{0};
};

// Lets streams go on at the software version that began them, at any node: what
// two versions write does not fit together (docs/platform.md, "Streams and
// software versions").
class StreamVersions {
 public:
  explicit StreamVersions(StreamVersionsParts parts);
  ~StreamVersions();
  StreamVersions(const StreamVersions&) = delete;
  auto operator=(const StreamVersions&) -> StreamVersions& = delete;

  auto RegisterHandlers(node::PeerServer& server) -> void;
  auto SetReplicas(const std::vector<routing::Replica>& replicas) -> void;
  // Must be called before the first event of a stream is sent. Tells other
  // nodes, unless the service has had one version only.
  auto OnBegan(const CallerStream& stream, const std::string& version) -> void;
  // Returns what began a stream that is taken up; nothing if it is not known.
  auto Find(CallerStream stream)
      -> boost::asio::awaitable<std::optional<StreamOrigin>>;
  auto OnDatagram(const nlohmann::json& message) -> void;
  // Must be called about once a second.
  auto OnTick() -> void;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// The type of the datagrams between instances of StreamVersions.
inline constexpr auto kOriginDatagram = "origin";

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_STREAM_VERSIONS_H_
