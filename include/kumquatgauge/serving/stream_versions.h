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
#include "kumquatgauge/store/object_store.h"

namespace kumquatgauge::node {
class PeerServer;
}

namespace kumquatgauge::serving {

// Dependencies of StreamVersions; all must outlive it.
struct StreamVersionsParts {
  boost::asio::any_io_executor executor;
  node::PeerClient& peers;
  store::ObjectStore& store;
  MetricsRegistry& metrics;
  Clock clock;
  // Goes on while the host is suspended.
  Clock boot_clock;
  RandomSource random;
  std::function<auto()->NodeId> self;
  // Returns the live members, including this node.
  std::function<auto()->std::vector<routing::NodeInfo>> live;
  std::function<
      auto(const std::string& address, const nlohmann::json& message)->void>
      send_datagram;
  // Sends a message to random nodes, each of which passes news on.
  std::function<auto(const nlohmann::json& message)->void> send_news;
  // Returns whether this node watches the store.
  std::function<auto()->bool> watches;
  // Called when Usable() may return other replicas.
  std::function<auto()->void> usable_changed;
};

// A stream of a caller.
struct CallerStream {
  StreamKey key = 0;
  ServiceName service;
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
  // Begins to store records.
  auto Start() -> void;
  auto SetReplicas(const std::vector<routing::Replica>& replicas) -> void;
  // Returns the replicas whose version is known to the store, or could not be
  // made known for long. Others may not begin a stream yet.
  auto Usable(const std::vector<routing::Replica>& replicas) const
      -> std::vector<routing::Replica>;
  // The versions that are known to be in the store, for other nodes.
  auto EncodeRegistered() const -> nlohmann::json;
  auto OnPeerRegistered(const nlohmann::json& versions) -> void;
  // Must be called before the first event of a stream is sent. Tells other
  // nodes and the store, unless the service has had one version only.
  auto OnBegan(const CallerStream& stream, const std::string& version) -> void;
  // Returns what began a stream that is taken up; nothing if it is not known.
  auto Find(CallerStream stream)
      -> boost::asio::awaitable<std::optional<StreamOrigin>>;
  // Takes the datagrams of both types.
  auto OnDatagram(const nlohmann::json& message) -> void;
  // Must be called about once a second.
  auto OnTick() -> void;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// The types of the datagrams between instances of StreamVersions.
inline constexpr auto kOriginDatagram = "origin";
inline constexpr auto kVersionsDatagram = "versions";

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_STREAM_VERSIONS_H_
