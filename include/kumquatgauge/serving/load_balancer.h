#ifndef KUMQUATGAUGE_SERVING_LOAD_BALANCER_H_
#define KUMQUATGAUGE_SERVING_LOAD_BALANCER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/completion.h"
#include "kumquatgauge/routing/outlier.h"
#include "kumquatgauge/routing/replica.h"
#include "kumquatgauge/serving/replica_speed.h"
#include "kumquatgauge/serving/silence_detector.h"
#include "kumquatgauge/serving/start_limiter.h"
#include "kumquatgauge/serving/zone_policy.h"

namespace kumquatgauge::serving {

struct LoadBalancerSettings {
  // Maximum age of a peer's counts; several times the longest interval at which
  // peers send them.
  Duration peer_counts_expire = std::chrono::seconds(2);
  // Maximum age of a replica's load report. Reports lag by tens of milliseconds
  // and miss later arrivals; beyond this age the counts of the nodes are more
  // accurate.
  Duration report_expires = std::chrono::milliseconds(300);
  // Share of the latency target that a request may spend queued at a replica.
  // The rest covers reading the prompt and returning the response.
  double queue_share = 0.4;
  // Difference in utilisation up to which a replica in this node's zone is
  // preferred; about one request on a replica with eight slots.
  double zone_margin = 0.05;
  // The same for the replica that probably has the shared prompt parts cached.
  double affinity_margin = 0.2;
  // Weight of the newest sample in the moving average of holding times.
  double hold_smoothing = 0.05;
  // Assumed holding time of a slot before any was measured.
  Duration initial_hold = std::chrono::milliseconds(500);
  // Share of a service's slots that batch leaves free for new online requests.
  double batch_reserve = 0.1;
  // Maximum share of a service's slots that urgent batch items may take ahead
  // of online requests, so that neither class starves the other.
  double urgent_batch_share = 0.5;
  // Share of the slots of a limited replica that batch items may take, so that
  // online requests find a slot for the starts saved up there.
  double limited_batch_share = 0.75;
  // How long items that are not urgent take no start of a limited replica after
  // an online request found none.
  Duration online_shortage_time = std::chrono::milliseconds(500);
  // Longest time until the next start that is told; replicas of other cells do
  // not tell theirs.
  Duration max_next_start = std::chrono::seconds(10);
  // How long a replica that took no connection is left out; doubles up to the
  // maximum until one succeeds.
  Duration unreachable_time = std::chrono::milliseconds(250);
  Duration max_unreachable_time = std::chrono::seconds(1);
  // Maximum age of another cell's capacity report; twice the interval at which
  // cells send it.
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
  // Hash of the shared prompt parts; 0 for none.
  std::uint64_t affinity = 0;
  // Set for a batch item that would otherwise miss its due time.
  bool urgent = false;
  std::vector<ReplicaId> tried;
  // Set for a stream or item that goes on: only replicas of this software
  // version can write the rest.
  std::optional<std::string> version;
  // Chooses a replica even if all are full, for a started response that resumes
  // at another replica.
  bool even_if_full = false;
  // Leaves out replicas that have named a limit.
  bool avoid_limited = false;
  // Whether the request may be sent again if its replica does not answer. Only
  // such a request may probe a replica that is suspected to be silent.
  bool may_repeat = false;
};

enum class Availability {
  kFree,       // A slot is free.
  kQueued,     // The request queues briefly at the replica.
  kFull,       // The queues of all usable replicas are full.
  kNoReplica,  // No usable replica is known.
};

struct Choice {
  Availability availability = Availability::kNoReplica;
  std::optional<routing::Replica> replica;
  // Load estimate of the replica when it was chosen, for the log.
  std::uint32_t in_flight = 0;
  std::uint32_t slots = 0;
  Duration report_age{0};  // Zero when the replica has not reported.
  // Number of usable replicas that were compared.
  std::uint32_t candidates = 0;
  bool limited = false;  // The replica has named a limit.
  // Number of replicas left out because they get as much as they take.
  std::uint32_t at_limit = 0;
  // Set if all replicas are at their limits: the time until one of them takes
  // another request.
  std::optional<Duration> next_start;
};

// Chooses replicas for the requests of one node and computes how much batch
// work fits. Estimates the load of each replica from exact counts of the node's
// own requests, counts received from peers, and load reports in the replicas'
// responses.
//
// Designed for many nodes that send to few replicas with a few slots each, in
// load steps of up to five times the base rate. Each node counts its own
// requests immediately, so that a fresh report causes no thundering herd, and
// fills free slots before any request queues.
class LoadBalancer {
 public:
  LoadBalancer(LoadBalancerSettings settings,
               ZoneName zone,
               Clock clock,
               RandomSource random);

  // Replaces the set of replicas. Replicas with the same id and start time keep
  // their statistics.
  auto SetReplicas(const std::vector<routing::Replica>& replicas) -> void;
  // Sets the cell of this node. The replicas of each service are partitioned
  // among the cells, and only nodes of one cell exchange counts, so that the
  // traffic of a node does not grow with the fleet. A service with too few
  // replicas is shared by all cells.
  auto SetCell(std::size_t index, std::size_t cells) -> void;
  // Sets the share of the fleet's nodes that this node can reach. Nodes that
  // are cut off from each other keep limits together, each by its share.
  auto SetReachableShare(double share) -> void;
  // Records this node's share of the free slots of another cell, for requests
  // that find their own cell full. The shares of all nodes add up to no more
  // than the free slots, so that the other cell is not overloaded.
  auto OnCellCapacity(std::size_t cell,
                      const ServiceName& service,
                      std::uint32_t free_slots,
                      std::size_t nodes_outside) -> void;
  // Returns the free slots of this node's cell by service, to report to other
  // cells.
  auto free_cell_slots() const -> std::map<ServiceName, std::uint32_t>;
  // Sets the price of leaving the zone. Without one, replicas of other zones
  // are used as soon as those of this zone are busier by `zone_margin`.
  auto SetZoneCosts(std::optional<ZoneCosts> costs) -> void;
  auto replica_speed() -> ReplicaSpeed& { return replica_speed_; }
  // Null without a price.
  auto zone_policy() -> ZonePolicy* {
    return zone_policy_ ? &*zone_policy_ : nullptr;
  }
  // Marks a replica as gone: another replica uses its address, or it reported
  // that it is gone.
  auto MarkGone(const ReplicaId& replica) -> void;

  // Whether requests may be sent to the replica: false for one that leaves or
  // is gone. It may have changed since the replica was chosen.
  auto TakesRequests(const ReplicaId& replica) const -> bool;
  auto Choose(const ChoiceRequest& request) -> Choice;
  auto OnStarted(const ReplicaId& replica, routing::WorkClass work_class)
      -> void;
  auto OnEnded(const ReplicaId& replica, routing::WorkClass work_class) -> void;
  // Records that a request was sent again on another connection.
  auto OnSentAgain(const ReplicaId& replica, std::uint32_t times) -> void;
  // Records how long a completed online request held its slot.
  auto OnHoldingTime(const ServiceName& service, Duration held) -> void;
  // The same, and learns from it how fast the replica is.
  auto OnCompleted(const ReplicaId& replica, Duration held) -> void;
  // Records the bytes of a request's prompt and answer.
  auto OnBytes(const ReplicaId& replica, std::uint64_t bytes) -> void;
  // Records a complete response; `first` is the time to its head or first
  // event.
  auto OnSuccess(const ReplicaId& replica, Duration first) -> void;
  // Records a broken, missing or malformed response.
  auto OnFailure(const ReplicaId& replica) -> void;
  // Records that no connection to the replica could be opened. Its slots do not
  // count until it may be tried again: it has no requests in flight and would
  // otherwise be preferred to all others.
  auto OnUnreachable(const ReplicaId& replica) -> void;
  // Records that the replica refused a request for lack of capacity.
  auto OnRefused(const ReplicaId& replica) -> void;
  auto OnReport(const ReplicaId& replica,
                std::uint32_t running,
                std::uint32_t waiting,
                std::optional<double> host_load = std::nullopt) -> void;
  // Records the limit that an answer of the replica named; nothing if it named
  // none.
  auto OnStartLimit(const ReplicaId& replica, std::optional<double> limit)
      -> void;
  auto start_limiter() -> StartLimiter& { return start_limiter_; }
  auto start_limiter() const -> const StartLimiter& { return start_limiter_; }
  auto silence_detector() -> SilenceDetector& { return silence_; }
  auto silence_detector() const -> const SilenceDetector& { return silence_; }
  // Records a request that is sent, for the detection of silent replicas; call
  // before OnStarted.
  auto OnSent(const ReplicaId& replica) -> SilenceDetector::Ticket;
  // Whether a replica that is not suspected could take the request.
  auto CanMove(const ChoiceRequest& request) const -> bool;
  auto OnPeerCounts(const NodeId& peer,
                    InFlightCounts counts,
                    const SilenceReports& reports = {}) -> void;
  auto ForgetPeer(const NodeId& peer) -> void;
  // Must be called about once a second.
  auto OnTick() -> routing::OutlierDetector::Changes;

  // Room at the replicas of a service in this cell.
  struct Room {
    // Of replicas without a limit.
    std::uint32_t slots = 0;
    std::uint32_t in_flight = 0;
    // Items that limited replicas take now. Running ones need not yield there
    // for the sake of a reserve.
    std::uint32_t batch_starts = 0;

    // Returns the slots that batch may use more if the share `reserve` stays
    // free; negative if it uses too many.
    auto Free(double reserve) const -> std::int64_t {
      const auto usable = static_cast<std::int64_t>(slots * (1.0 - reserve));
      return usable - static_cast<std::int64_t>(in_flight) +
             static_cast<std::int64_t>(batch_starts);
    }
  };
  auto RoomOf(const ServiceName& service) const -> Room;
  // Returns the number of batch items that may start now in this node's cell. A
  // negative number says how many must yield to online requests.
  auto BatchCapacity(const ServiceName& service) const -> std::int64_t;
  // The same for urgent items, regardless of the number of online requests.
  auto UrgentBatchCapacity(const ServiceName& service) const -> std::uint32_t;
  // Returns the in-flight requests of this node and its peers at a service's
  // replicas in this cell, by class.
  auto Total(const ServiceName& service) const -> InFlight;
  // Batch items at replicas without a limit.
  struct BatchCounts {
    std::uint32_t own = 0;
    std::uint32_t fleet = 0;  // Of this node and its peers, in this cell.

    auto operator==(const BatchCounts&) const -> bool = default;
  };
  auto YieldableBatch(const ServiceName& service) const -> BatchCounts;
  // Whether every slot of the replica is in use.
  auto IsFull(const ReplicaId& replica) const -> bool;
  auto batch_reserve() const -> double { return settings_.batch_reserve; }
  // Returns this node's in-flight requests by replica, to send to peers.
  auto own_counts() const -> InFlightCounts;
  // Returns what this node knows about silent replicas, to send with them.
  auto own_silence_reports() const -> SilenceReports;
  auto slots(const ServiceName& service) const -> std::uint32_t;
  // Returns the average time that a request holds a slot.
  auto mean_hold(const ServiceName& service) const -> Duration;

 private:
  struct Report {
    std::uint32_t total = 0;
    std::uint32_t own_then = 0;  // Own requests when the report arrived.
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
    MonotonicTime full_until;  // Set when it refused a request as full.
    MonotonicTime unreachable_until;
    Duration unreachable_time{0};  // Zero after a successful contact.
  };
  // The replicas of a service. Most decisions compare those of this node's cell
  // only, so that their cost does not grow with the fleet.
  struct ServiceReplicas {
    std::vector<State*> all;
    std::vector<State*> in_cell;
  };
  struct PeerCounts {
    InFlightCounts counts;
    MonotonicTime at;
  };
  struct CellCapacity {
    std::uint32_t slots = 0;  // Slots that this node may use.
    MonotonicTime at;
  };

  // What a comparison of replicas has found.
  struct Comparison {
    const State* best = nullptr;
    const State* ejected = nullptr;
    const State* silent = nullptr;
    Duration next_start = Duration::max();
  };

  auto ChooseFrom(const ChoiceRequest& request, bool own_zone_only) -> Choice;
  // Compares the replicas of this node's cell.
  auto CompareCell(const ServiceReplicas& replicas,
                   const ChoiceRequest& request,
                   bool own_zone_only,
                   Choice& choice) -> Comparison;
  // Returns a random usable replica of another cell. This node does not receive
  // the counts of the other nodes that send to it.
  auto AnyOfOtherCells(const ServiceReplicas& replicas,
                       const ChoiceRequest& request,
                       Choice& choice,
                       Comparison& comparison) -> const State*;
  // Whether the replica is ejected, or cannot be tried now.
  auto IsOutOfUse(const State& state) const -> bool;
  // Whether the request may use replicas of other zones from the start.
  auto MayLeaveZone(const ChoiceRequest& request) -> bool;
  auto IsUsable(const State& state, const ChoiceRequest& request) const -> bool;
  // Whether the replica's limit leaves a start for the request. Only nodes of
  // its cell know how many starts others make.
  auto MayStart(const State& state, const ChoiceRequest& request) const -> bool;
  auto IsOnlineShort(const ServiceName& service) const -> bool;
  // Returns how many batch items may start at a limited replica.
  auto BatchStarts(const State& state) const -> std::uint32_t;
  // Returns the slots that requests use or may use now: at a limited replica
  // those in use and the starts that it takes.
  auto UsableSlots(const State& state) const -> std::uint32_t;
  // Whether the replica belongs to this cell and takes work.
  auto TakesWork(const State& state) const -> bool;
  static auto IsGoneOrLeaving(const State& state) -> bool {
    return state.gone || state.replica.leaving;
  }
  auto IsUnreachable(const State& state) const -> bool {
    return clock_() < state.unreachable_until;
  }
  auto Estimate(const State& state) const -> std::uint32_t;
  auto Score(const State& state, routing::WorkClass work_class) const -> double;
  // The score for one request. Keeps requests that must not be repeated away
  // from a replica that may have fallen silent while others have a free slot.
  auto ScoreFor(const State& state, const ChoiceRequest& request) const
      -> double;
  // Whether the replica is left out because it is suspected to be silent and
  // the request is no probe.
  auto IsSilenced(const State& state, const ChoiceRequest& request) const
      -> bool;
  auto MayProbe(const State& state, const ChoiceRequest& request) const -> bool;
  // Returns the utilisation, or a number that orders replicas of different
  // speeds by what one more request costs there.
  auto LoadScore(const State& state) const -> double;
  // Returns how many requests may queue at a replica and still be on time.
  auto QueueLimit(const State& state, Duration latency_target) const
      -> std::uint32_t;
  // Returns a random replica of another cell in which this node has a share of
  // the free slots, and uses up one of them.
  auto TakeFromOtherCell(const ChoiceRequest& request) -> const State*;
  auto AssignReplicasToCells() -> void;
  // Returns the replicas of the service in this node's cell.
  auto CellReplicas(const ServiceName& service) const
      -> const std::vector<State*>&;
  auto RebuildPeers() -> void;
  // Adds the counts of one peer to the replicas' totals, or subtracts them.
  auto Apply(const InFlightCounts& counts, bool add) -> void;
  auto ExpirePeers() -> void;

  LoadBalancerSettings settings_;
  ZoneName zone_;
  Clock clock_;
  RandomSource random_;
  routing::OutlierDetector outliers_;
  StartLimiter start_limiter_;
  SilenceDetector silence_;
  ReplicaSpeed replica_speed_;
  std::optional<ZonePolicy> zone_policy_;
  std::map<ReplicaId, State> states_;
  std::map<ServiceName, ServiceReplicas> services_;
  // Replicas at which this node has requests in flight.
  std::set<ReplicaId> busy_;
  std::map<NodeId, PeerCounts> peers_;
  std::map<ServiceName, double> hold_s_;
  // When an online request last found the replicas full or at their limits.
  std::map<ServiceName, MonotonicTime> online_short_at_;
  std::map<ServiceName, std::map<std::size_t, CellCapacity>> cell_capacities_;
  std::size_t cell_ = 0;
  std::size_t cells_ = 1;
  double reachable_share_ = 1.0;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_LOAD_BALANCER_H_
