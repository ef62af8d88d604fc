#ifndef KUMQUATGAUGE_ROUTING_ROUTER_H_
#define KUMQUATGAUGE_ROUTING_ROUTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/completion.h"
#include "kumquatgauge/routing/outlier.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::routing {

struct RouterSettings {
  // Another zone is used when the local replica's utilisation is higher than
  // that of the other zone's replica by more than this. A larger margin leaves
  // replicas of other zones idle while requests queue here, which costs more
  // than the extra 0.5 ms.
  double zone_margin = 0.1;
  // A replica preferred by prefix affinity is used while its load is at most
  // this many times the mean.
  double affinity_bound = 1.25;
  Duration slow_start = std::chrono::seconds(10);
  // Weight of a new replica at the start of its slow start.
  double slow_start_floor = 0.1;
  // Weight of a batch item in the utilisation that applies to online requests.
  // Batch is preempted for online requests, but a preemption takes up to 100
  // ms.
  double batch_weight = 0.25;
  // Age above which a report is ignored. The replica is then assumed to have
  // the mean load, so that a stale high load cannot exclude it indefinitely,
  // and one batch item may be sent to it to find out whether it has free batch
  // slots.
  Duration stale_after = std::chrono::seconds(5);
  // Time in which the weight of a report against the mean falls by a factor of
  // e. Nodes that all trust a report several seconds old send too much to the
  // replicas that were least loaded then.
  Duration report_decay = std::chrono::seconds(2);
  // In a zone with more replicas, the random candidates are drawn from a subset
  // of this size, which differs between nodes. Reports are returned with a
  // node's own requests, so a small subset keeps its reports fresh.
  std::size_t subset_size = 16;
};

struct RouteRequest {
  ServiceName service;
  std::uint64_t affinity = 0;  // 0: no preference.
  std::vector<ReplicaId> tried;
  // Whether this request may be the probe of an ejected replica; false for
  // requests that must not fail over, such as at-most-once requests.
  bool may_probe = true;
  // Batch only: needs a replica without other batch items.
  bool exclusive = false;
};

enum class RouteReason {
  kNoCandidate,
  kOnlyCandidate,
  kAffinity,    // Prefix affinity, within the load bound.
  kLessLoaded,  // The better of two random candidates of the local zone.
  kOtherZone,   // As above; the local zone was busier by the margin or empty.
  kProbe,       // Probes a replica that had been ejected.
  kBatchRoom,   // The one of two random candidates with more free slots.
};

// Stable lower-case name such as "less_loaded".
auto RouteReasonName(RouteReason reason) -> std::string_view;

// One replica that was compared, with the values that were used.
struct RouteCandidate {
  ReplicaId replica;
  ZoneName zone;
  std::uint32_t known_in_flight = 0;  // As last reported, queue included.
  std::uint32_t sent_since = 0;       // Sent by this node since that report.
  std::uint32_t limit = 1;
  std::uint32_t free_batch_slots = 0;
  double weight = 1.0;       // Below 1 during slow start.
  double utilisation = 0.0;  // The value that was compared.
  Duration report_age{0};

  auto operator==(const RouteCandidate&) const -> bool = default;
};

// Why a replica was chosen, for `explain request`.
struct RouteExplanation {
  RouteReason reason = RouteReason::kNoCandidate;
  std::vector<RouteCandidate> compared;
  std::uint32_t candidates = 0;  // After the exclusions below.
  std::uint32_t excluded_leaving = 0;
  std::uint32_t excluded_ejected = 0;
  std::uint32_t excluded_tried = 0;
  std::uint32_t excluded_full = 0;  // Batch only: no free slots.
  double mean_utilisation = 0.0;    // Over the candidates.

  auto operator==(const RouteExplanation&) const -> bool = default;
};

struct RouteChoice {
  std::optional<Replica> replica;
  RouteExplanation explanation;

  auto operator==(const RouteChoice&) const -> bool = default;
};

// Chooses the replica for each request at the entry node. Not thread-safe.
class Router {
 public:
  Router(ZoneName zone,
         RouterSettings settings,
         Clock clock,
         RandomSource random);

  // Replaces the list of replicas; those that remain keep their state. A
  // replica added to a service that already had some gets a slow start.
  auto SetReplicas(const std::vector<Replica>& replicas) -> void;
  auto SetEjection(const ReplicaId& replica, EjectionState state) -> void;
  auto OnLoad(const ReplicaLoad& load) -> void;

  // Picks a replica and counts the request as sent to it.
  auto Choose(const RouteRequest& request) -> RouteChoice;
  // Does the same for a batch item, among replicas with free batch slots.
  auto ChooseForBatch(const RouteRequest& request) -> RouteChoice;

  // Returns how many batch items would be admitted now, as known to this node.
  auto free_batch_slots(const ServiceName& service) const -> std::uint32_t;
  // Returns the known state of one replica, for `show`; nullopt when it is not
  // known.
  auto Inspect(const ReplicaId& replica) const -> std::optional<RouteCandidate>;

 private:
  struct State {
    Replica replica;
    std::uint64_t hash = 0;
    bool local = false;
    // Whether it belongs to the subset of its service that this node prefers.
    bool preferred = true;
    EjectionState ejection = EjectionState::kInUse;
    bool probe_due = false;
    bool reported = false;
    double in_flight = 0.0;  // As reported, batch at its weight.
    std::uint32_t known_in_flight = 0;
    std::uint32_t batch_in_flight = 0;
    std::uint32_t limit = 1;
    std::uint32_t free_batch_slots = 0;
    std::uint32_t sent_since = 0;
    std::uint32_t batch_sent_since = 0;
    MonotonicTime reported_at;
    std::optional<MonotonicTime> slow_start_from;
  };
  // Result of one scan over a service's replicas.
  struct Scan;

  auto Find(const ReplicaId& replica) -> State*;
  auto Find(const ReplicaId& replica) const -> const State*;
  auto MarkPreferred(std::vector<State>& states) const -> void;
  auto IsStale(const State& state, MonotonicTime now) const -> bool;
  auto Weight(const State& state, MonotonicTime now) const -> double;
  // Estimate of the requests in flight now.
  auto InFlight(const State& state, MonotonicTime now, double mean) const
      -> double;
  // Utilisation if one more request were sent.
  auto Utilisation(const State& state, MonotonicTime now, double mean) const
      -> double;
  auto FreeBatchSlots(const State& state, MonotonicTime now) const
      -> std::uint32_t;
  auto Describe(const State& state, MonotonicTime now, double mean) const
      -> RouteCandidate;
  auto ScanService(const std::vector<State>& states,
                   const RouteRequest& request,
                   bool batch,
                   MonotonicTime now,
                   RouteExplanation& explanation) -> Scan;
  auto PickByAffinity(const std::vector<State>& states,
                      const Scan& scan,
                      std::uint64_t affinity,
                      MonotonicTime now,
                      RouteExplanation& explanation)
      -> std::optional<std::uint32_t>;
  auto PickLessLoaded(const std::vector<State>& states,
                      const std::vector<std::uint32_t>& candidates,
                      const Scan& scan,
                      MonotonicTime now,
                      RouteExplanation& explanation) -> std::uint32_t;
  auto PickTwo(std::size_t count) -> std::pair<std::size_t, std::size_t>;
  auto PickByFreeBatchSlots(const std::vector<State>& states,
                            const std::vector<std::uint32_t>& candidates,
                            const Scan& scan,
                            MonotonicTime now,
                            RouteExplanation& explanation) -> std::uint32_t;
  auto RecordSend(State& state,
                  bool batch,
                  double mean,
                  RouteReason reason,
                  RouteChoice& choice) -> void;

  ZoneName zone_;
  RouterSettings settings_;
  Clock clock_;
  RandomSource random_;
  // Makes the subsets of different entries differ.
  std::uint64_t subset_seed_;
  std::unordered_map<ServiceName, std::vector<State>> services_;
  // Position of a replica in its service's vector.
  std::unordered_map<ReplicaId, std::pair<ServiceName, std::uint32_t>>
      positions_;
  // Kept between calls to avoid allocations.
  std::vector<std::uint32_t> local_;
  std::vector<std::uint32_t> preferred_;  // Those of local_ in the subset.
  std::vector<std::uint32_t> remote_;
};

}  // namespace kumquatgauge::routing

#endif  // KUMQUATGAUGE_ROUTING_ROUTER_H_
