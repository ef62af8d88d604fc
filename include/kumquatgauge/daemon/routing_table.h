#ifndef KUMQUATGAUGE_DAEMON_ROUTING_TABLE_H_
#define KUMQUATGAUGE_DAEMON_ROUTING_TABLE_H_

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/assignment.h"
#include "kumquatgauge/routing/completion.h"
#include "kumquatgauge/routing/outlier.h"
#include "kumquatgauge/routing/replica.h"
#include "kumquatgauge/routing/retry_budget.h"
#include "kumquatgauge/routing/retry_policy.h"
#include "kumquatgauge/routing/router.h"

namespace kumquatgauge::daemon {

// The replica and the dispatcher that an attempt is sent to.
struct Route {
  routing::Replica replica;
  // Empty id: no node can dispatch; the request is sent from here.
  routing::NodeInfo dispatcher;
  routing::RouteExplanation explanation;
};

// The routing state of this node, shared by the traffic threads: replicas,
// nodes, loads, ejections and the retry budget. Thread-safe; one mutex, held
// for microseconds.
class RoutingTable {
 public:
  RoutingTable(ZoneName zone, const Clock& clock, const RandomSource& random);

  auto SetReplicas(std::vector<routing::Replica> replicas) -> void;
  // The live nodes, this one included.
  auto SetNodes(std::vector<routing::NodeInfo> nodes) -> void;

  // Returns no value when no replica can take the request. Sets `explanation`
  // in either case.
  auto Choose(const routing::RouteRequest& request,
              routing::WorkClass work_class,
              routing::RouteExplanation& explanation) -> std::optional<Route>;
  auto OnLoad(const routing::ReplicaLoad& load) -> void;
  auto OnSuccess(const ReplicaId& replica, Duration latency) -> void;
  auto OnFailure(const ReplicaId& replica) -> void;
  auto OnTick() -> void;

  // Counts a new request for the retry budget of the service.
  auto OnRequest(const ServiceName& service) -> void;
  auto DecideRetry(const routing::RetryState& state,
                   const routing::DispatchResult& result)
      -> routing::RetryDecision;

  auto free_batch_slots(const ServiceName& service) const -> std::uint32_t;
  auto replicas() const -> std::vector<routing::Replica>;
  auto FindReplica(const ReplicaId& id) const
      -> std::optional<routing::Replica>;
  auto nodes() const -> std::vector<routing::NodeInfo>;
  auto FindNode(const NodeId& id) const -> std::optional<routing::NodeInfo>;
  auto DispatcherOf(const routing::Replica& replica) const
      -> std::optional<routing::NodeInfo>;
  auto ejection(const ReplicaId& id) const -> routing::EjectionState;
  // The load, limit and weight by which the router compares the replica with
  // others.
  auto FindCandidate(const ReplicaId& id) const
      -> std::optional<routing::RouteCandidate>;
  // Reason of the last change of the ejection state; empty when there was none.
  auto ejection_reason(const ReplicaId& id) const -> std::string;

 private:
  auto ApplyEjections(const routing::OutlierDetector::Changes& changes) -> void;

  mutable std::mutex mutex_;
  routing::Router router_;
  routing::OutlierDetector outlier_;
  routing::RetryBudget budget_;
  routing::RetryPolicy retry_policy_;
  routing::Assignment assignment_;
  std::map<ReplicaId, routing::Replica> replicas_;
  std::vector<routing::NodeInfo> nodes_;
  std::map<ReplicaId, std::string> ejection_reasons_;
};

}  // namespace kumquatgauge::daemon

#endif  // KUMQUATGAUGE_DAEMON_ROUTING_TABLE_H_
