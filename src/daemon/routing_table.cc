#include "kumquatgauge/daemon/routing_table.h"

#include <algorithm>
#include <utility>

namespace kumquatgauge::daemon {

RoutingTable::RoutingTable(ZoneName zone,
                           const Clock& clock,
                           const RandomSource& random)
    : router_(std::move(zone), routing::RouterSettings(), clock, random),
      outlier_(routing::OutlierSettings(), clock),
      budget_(routing::RetryBudgetSettings(), clock),
      retry_policy_(routing::RetryPolicySettings(), budget_, random) {}

auto RoutingTable::SetReplicas(std::vector<routing::Replica> replicas) -> void {
  const auto lock = std::lock_guard(mutex_);
  router_.SetReplicas(replicas);
  outlier_.SetReplicas(replicas);
  replicas_.clear();
  for (auto& replica : replicas) {
    auto id = replica.id;
    replicas_.emplace(std::move(id), std::move(replica));
  }
  std::erase_if(ejection_reasons_, [this](const auto& entry) {
    return !replicas_.contains(entry.first);
  });
}

auto RoutingTable::SetNodes(std::vector<routing::NodeInfo> nodes) -> void {
  const auto lock = std::lock_guard(mutex_);
  assignment_ = routing::Assignment(nodes);
  budget_.set_nodes(nodes.size());
  nodes_ = std::move(nodes);
}

auto RoutingTable::Choose(const routing::RouteRequest& request,
                          routing::WorkClass work_class,
                          routing::RouteExplanation& explanation)
    -> std::optional<Route> {
  const auto lock = std::lock_guard(mutex_);
  auto choice = work_class == routing::WorkClass::kBatch
                    ? router_.ChooseForBatch(request)
                    : router_.Choose(request);
  explanation = choice.explanation;
  if (!choice.replica) {
    return std::nullopt;
  }
  auto dispatcher =
      assignment_.DispatcherOf(choice.replica->id, choice.replica->zone)
          .value_or(routing::NodeInfo());
  return Route{.replica = *std::move(choice.replica),
               .dispatcher = std::move(dispatcher),
               .explanation = std::move(choice.explanation)};
}

auto RoutingTable::OnLoad(const routing::ReplicaLoad& load) -> void {
  const auto lock = std::lock_guard(mutex_);
  router_.OnLoad(load);
}

auto RoutingTable::OnSuccess(const ReplicaId& replica, Duration latency)
    -> void {
  const auto lock = std::lock_guard(mutex_);
  ApplyEjections(outlier_.OnSuccess(replica, latency));
}

auto RoutingTable::OnFailure(const ReplicaId& replica) -> void {
  const auto lock = std::lock_guard(mutex_);
  ApplyEjections(outlier_.OnFailure(replica));
}

auto RoutingTable::OnTick() -> void {
  const auto lock = std::lock_guard(mutex_);
  ApplyEjections(outlier_.OnTick());
}

auto RoutingTable::ApplyEjections(
    const routing::OutlierDetector::Changes& changes) -> void {
  for (const auto& change : changes) {
    router_.SetEjection(change.replica, change.state);
    ejection_reasons_[change.replica] = change.reason;
  }
}

auto RoutingTable::OnRequest(const ServiceName& service) -> void {
  const auto lock = std::lock_guard(mutex_);
  budget_.OnRequest(service);
}

auto RoutingTable::DecideRetry(const routing::RetryState& state,
                               const routing::DispatchResult& result)
    -> routing::RetryDecision {
  const auto lock = std::lock_guard(mutex_);
  return retry_policy_.Decide(state, result);
}

auto RoutingTable::free_batch_slots(const ServiceName& service) const
    -> std::uint32_t {
  const auto lock = std::lock_guard(mutex_);
  return router_.free_batch_slots(service);
}

auto RoutingTable::replicas() const -> std::vector<routing::Replica> {
  const auto lock = std::lock_guard(mutex_);
  auto replicas = std::vector<routing::Replica>();
  for (const auto& [id, replica] : replicas_) {
    replicas.push_back(replica);
  }
  return replicas;
}

auto RoutingTable::FindReplica(const ReplicaId& id) const
    -> std::optional<routing::Replica> {
  const auto lock = std::lock_guard(mutex_);
  const auto found = replicas_.find(id);
  if (found == replicas_.end()) {
    return std::nullopt;
  }
  return found->second;
}

auto RoutingTable::nodes() const -> std::vector<routing::NodeInfo> {
  const auto lock = std::lock_guard(mutex_);
  return nodes_;
}

auto RoutingTable::FindNode(const NodeId& id) const
    -> std::optional<routing::NodeInfo> {
  const auto lock = std::lock_guard(mutex_);
  const auto found =
      std::find_if(nodes_.begin(), nodes_.end(),
                   [&id](const auto& node) { return node.id == id; });
  if (found == nodes_.end()) {
    return std::nullopt;
  }
  return *found;
}

auto RoutingTable::DispatcherOf(const routing::Replica& replica) const
    -> std::optional<routing::NodeInfo> {
  const auto lock = std::lock_guard(mutex_);
  return assignment_.DispatcherOf(replica.id, replica.zone);
}

auto RoutingTable::ejection(const ReplicaId& id) const
    -> routing::EjectionState {
  const auto lock = std::lock_guard(mutex_);
  return outlier_.state(id);
}

auto RoutingTable::FindCandidate(const ReplicaId& id) const
    -> std::optional<routing::RouteCandidate> {
  const auto lock = std::lock_guard(mutex_);
  return router_.Inspect(id);
}

auto RoutingTable::ejection_reason(const ReplicaId& id) const -> std::string {
  const auto lock = std::lock_guard(mutex_);
  const auto found = ejection_reasons_.find(id);
  return found == ejection_reasons_.end() ? std::string() : found->second;
}

}  // namespace kumquatgauge::daemon
