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
  // Change of utilisation, or of batch room as a share of the limit, that is
  // worth a message.
  double threshold = 0.2;
  // The fleet's control traffic may be 3 KB/s per node; load gets half of it.
  double bytes_per_second = 1500.0;
  double burst_seconds = 1.0;
  // Datagram with one load, headers included.
  std::uint32_t bytes_per_message = 96;
  // A load that has not changed is repeated after this time, since datagrams
  // can be lost.
  Duration refresh = std::chrono::seconds(10);
};

// In a fleet of at most this many nodes loads go to all of them, beyond it to
// those of the own zone. Entries of a small fleet send much to other zones, and
// the byte budget allows them to know those replicas too.
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
