#ifndef KUMQUATGAUGE_ROUTING_LOAD_PUBLISHER_H_
#define KUMQUATGAUGE_ROUTING_LOAD_PUBLISHER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/completion.h"

namespace kumquatgauge::routing {

struct LoadPublisherSettings {
  // Minimum change of utilisation, or of free batch slots as a share of the
  // limit, that is sent.
  double threshold = 0.2;
  // The budget for control traffic is 3 KB/s per node; loads get half of it.
  double bytes_per_second = 1500.0;
  double burst_seconds = 1.0;
  // Size of a datagram with one load, including headers.
  std::uint32_t bytes_per_message = 96;
  // An unchanged load is sent again after this time, since datagrams can be
  // lost.
  Duration refresh = std::chrono::seconds(10);
};

// In a fleet of at most this many nodes, loads are sent to all nodes; in a
// larger one, only to those in the same zone. Entry nodes of a small fleet send
// many requests to other zones, and the byte budget covers the loads of those
// replicas.
inline constexpr std::size_t kMaxBroadcastNodes = 16;

// Decides when the loads of this node's replicas are sent to other nodes: the
// largest change first, within a byte budget.
class LoadPublisher {
 public:
  LoadPublisher(LoadPublisherSettings settings, Clock clock);

  // Number of nodes that each load is sent to.
  auto set_peers(std::uint32_t peers) -> void;
  // Records a load, and returns the loads to send now.
  auto OnLoad(const ReplicaLoad& load) -> std::vector<ReplicaLoad>;
  // Returns the loads to send now; call a few times a second.
  auto OnTick() -> std::vector<ReplicaLoad>;
  auto Remove(const ReplicaId& replica) -> void;

 private:
  struct Entry {
    ReplicaLoad current;
    ReplicaLoad sent;
    bool ever_sent = false;
    MonotonicTime sent_at;
  };

  auto ChangeSinceSent(const Entry& entry) const -> double;
  auto Refill() -> void;
  auto TrySend(Entry& entry, std::vector<ReplicaLoad>& loads) -> bool;

  LoadPublisherSettings settings_;
  Clock clock_;
  std::uint32_t peers_ = 0;
  double budget_bytes_ = 0.0;
  MonotonicTime refilled_at_;
  std::map<ReplicaId, Entry> entries_;
};

}  // namespace kumquatgauge::routing

#endif  // KUMQUATGAUGE_ROUTING_LOAD_PUBLISHER_H_
