#ifndef KUMQUATGAUGE_SERVING_LOAD_BALANCER_H_
#define KUMQUATGAUGE_SERVING_LOAD_BALANCER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/completion.h"
#include "kumquatgauge/routing/outlier.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::serving {

struct LoadBalancerSettings {
  // A peer's counts are ignored when they are older. Several times the longest
  // interval at which peers send them.
  Duration peer_counts_expire = std::chrono::seconds(2);
  // A replica's own figure lags by tens of ms and is overtaken by later
  // arrivals; beyond this age the counts of the nodes are better.
  Duration report_expires = std::chrono::milliseconds(300);
  // Share of the latency target that a request may spend queued at a replica.
  // The rest covers reading the prompt and the way back.
  double queue_share = 0.4;
  // Difference of utilisation up to which a replica of this node's zone is
  // preferred; about one request on a replica of eight slots.
  double zone_margin = 0.05;
  // The same for the replica that probably holds the prompt's shared parts.
  double affinity_margin = 0.2;
  // Weight of the newest sample in the moving average of holding times.
  double hold_smoothing = 0.05;
  // Holding time of a slot before one was seen.
  Duration initial_hold = std::chrono::milliseconds(500);
  // Share of a service's slots that batch leaves free for arrivals.
  double batch_reserve = 0.1;
  // Share of a service's slots up to which batch items whose due time is near
  // take slots before online requests, so that neither kind starves the other.
  double urgent_batch_share = 0.5;
  // What another cell told of its room is used up to this age, twice the
  // interval at which cells tell it.
  Duration cell_capacity_expires = std::chrono::milliseconds(500);
};

// Requests in flight at one replica.
struct InFlight {
  std::uint32_t online = 0;
  std::uint32_t batch = 0;

  auto total() const -> std::uint32_t { return online + batch; }
  auto operator==(const InFlight&) const -> bool = default;
};

using InFlightCounts = std::map<ReplicaId, InFlight>;

struct ChoiceRequest {
  ServiceName service;
  routing::WorkClass work_class = routing::WorkClass::kOnline;
  Duration latency_target{0};
  // Hash of the shared part of the prompt; 0 when there is none.
  std::uint64_t affinity = 0;
  std::vector<ReplicaId> tried;
  // Takes a replica even when all are full, for a request whose answer has
  // begun and goes on elsewhere.
  bool even_if_full = false;
};

enum class Availability {
  kFree,       // A slot is free.
  kQueued,     // It waits briefly at the replica.
  kFull,       // Every usable replica has as many as may wait.
  kNoReplica,  // No usable replica is known.
};

struct Choice {
  Availability availability = Availability::kNoReplica;
  std::optional<routing::Replica> replica;
  // What was known of the replica when it was chosen, for the log.
  std::uint32_t in_flight = 0;
  std::uint32_t slots = 0;
  Duration report_age{0};  // Zero when the replica has not reported.
  // Usable replicas weighed.
  std::uint32_t candidates = 0;
};

// One node's picture of the room at all replicas, from exact counts of its own
// requests, the counts that its peers send, and the load that replicas report
// with their answers. Chooses replicas and says how much batch work fits.
//
// Answers this load: many nodes send to few replicas of a few slots each, in
// steps up to five times the quiet rate. Each node counts its own requests at
// once, so that a fresh report draws no herd, and fills free slots before any
// request queues.
class LoadBalancer {
 public:
  LoadBalancer(LoadBalancerSettings settings,
               ZoneName zone,
               Clock clock,
               RandomSource random);

  // Replaces the replicas; those that stay, by id and start, keep their
  // figures.
  auto SetReplicas(const std::vector<routing::Replica>& replicas) -> void;
  // Says which of the fleet's cells this node belongs to. The replicas of each
  // service are dealt out to the cells, and nodes of one cell tell each other
  // their counts, so that what a node sends and hears does not grow with the
  // fleet. A service with too few replicas belongs to all cells.
  auto SetCell(std::size_t index, std::size_t cells) -> void;
  // This node's part of the free slots of another cell. Requests that find the
  // own cell full may take them; the parts of all nodes together are no more
  // than is free, so that the other cell is not flooded.
  auto OnCellCapacity(std::size_t cell,
                      const ServiceName& service,
                      std::uint32_t free_slots,
                      std::size_t nodes_outside) -> void;
  // Free slots of this node's cell by service, for the other cells.
  auto free_cell_slots() const -> std::map<ServiceName, std::uint32_t>;
  // The address is served by another replica, or the replica said it is gone.
  auto MarkGone(const ReplicaId& replica) -> void;

  auto Choose(const ChoiceRequest& request) -> Choice;
  auto OnStarted(const ReplicaId& replica, routing::WorkClass work_class)
      -> void;
  auto OnEnded(const ReplicaId& replica, routing::WorkClass work_class) -> void;
  // How long a completed online request held its slot.
  auto OnHoldingTime(const ServiceName& service, Duration held) -> void;
  // A whole answer; `first` is the time to its head or first event.
  auto OnSuccess(const ReplicaId& replica, Duration first) -> void;
  // A broken, silent or malformed answer.
  auto OnFailure(const ReplicaId& replica) -> void;
  // The replica refused for lack of room.
  auto OnRefused(const ReplicaId& replica) -> void;
  auto OnReport(const ReplicaId& replica,
                std::uint32_t running,
                std::uint32_t waiting) -> void;
  auto OnPeerCounts(const NodeId& peer, InFlightCounts counts) -> void;
  auto ForgetPeer(const NodeId& peer) -> void;
  // Call about once a second.
  auto OnTick() -> routing::OutlierDetector::Changes;

  // Batch items that may be started now in this node's cell; negative when more
  // run than fit, so that some must yield to online requests.
  auto BatchCapacity(const ServiceName& service) const -> std::int64_t;
  // The same for items whose due time is near, whatever online requests leave.
  auto UrgentBatchCapacity(const ServiceName& service) const -> std::uint32_t;
  // Requests in flight at a service's replicas of this cell by class, own and
  // peers'.
  auto Total(const ServiceName& service) const -> InFlight;
  auto OwnBatch(const ServiceName& service) const -> std::uint32_t;
  // This node's requests by replica, for peers.
  auto own_counts() const -> InFlightCounts;
  auto slots(const ServiceName& service) const -> std::uint32_t;
  // How long a slot is held on average.
  auto mean_hold(const ServiceName& service) const -> Duration;

 private:
  struct Report {
    std::uint32_t total = 0;
    std::uint32_t own_then = 0;  // Own requests when it came.
    MonotonicTime at;
  };
  struct State {
    routing::Replica replica;
    std::uint64_t hash = 0;
    InFlight own;
    InFlight peers;
    std::optional<Report> report;
    bool gone = false;
    std::size_t cell = 0;
    bool in_cell = true;
    MonotonicTime full_until;  // Refused for lack of room.
  };
  struct PeerCounts {
    InFlightCounts counts;
    MonotonicTime at;
  };
  struct CellCapacity {
    std::uint32_t slots = 0;  // That this node may take.
    MonotonicTime at;
  };

  auto IsUsable(const State& state, const ChoiceRequest& request) const -> bool;
  auto Estimate(const State& state) const -> std::uint32_t;
  auto Score(const State& state) const -> double;
  // Requests that may wait at a replica and still be on time.
  auto QueueLimit(const State& state, Duration latency_target) const
      -> std::uint32_t;
  // A replica, drawn, of another cell that told of room for this node.
  auto TakeFromOtherCell(const ChoiceRequest& request) -> const State*;
  auto AssignReplicasToCells() -> void;
  auto RebuildPeers() -> void;
  // Adds the counts of one peer to the replicas', or takes them off.
  auto Apply(const InFlightCounts& counts, bool add) -> void;
  auto ExpirePeers() -> void;

  LoadBalancerSettings settings_;
  ZoneName zone_;
  Clock clock_;
  RandomSource random_;
  routing::OutlierDetector outliers_;
  std::map<ReplicaId, State> states_;
  std::map<ServiceName, std::vector<ReplicaId>> services_;
  std::map<NodeId, PeerCounts> peers_;
  std::map<ServiceName, double> hold_s_;
  std::map<ServiceName, std::map<std::size_t, CellCapacity>> cell_capacities_;
  std::size_t cell_ = 0;
  std::size_t cells_ = 1;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_LOAD_BALANCER_H_
