#ifndef KUMQUATGAUGE_DAEMON_DISPATCH_SERVICE_H_
#define KUMQUATGAUGE_DAEMON_DISPATCH_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/metrics.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/daemon/traffic_pool.h"
#include "kumquatgauge/routing/completion.h"
#include "kumquatgauge/routing/dispatcher.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::daemon {

// Dispatches requests to replicas: one Dispatcher per replica that requests
// were sent to from this node, and the streams that it has admitted.
// Thread-safe.
class DispatchService {
 public:
  // Batch rule and lean of a service, from the configuration.
  using BatchSettingsOf =
      std::function<auto(const ServiceName&)->routing::BatchAdmissionSettings>;
  using LoadHook = std::function<auto(const routing::ReplicaLoad&)->void>;

  DispatchService(TrafficPool& pool,
                  Clock clock,
                  routing::DispatcherSettings settings,
                  routing::Dispatcher::OrganisationWeight weight,
                  BatchSettingsOf batch_settings,
                  LoadHook on_load,
                  MetricsRegistry& metrics);

  // Replaces the known replicas. Nothing more is started on a replica that is
  // removed or leaving.
  auto SetReplicas(const std::vector<routing::Replica>& replicas) -> void;

  // Runs the request on `replica` when its dispatcher admits it. Runs on a
  // traffic thread. `cancel` may be null. Does not throw.
  auto Run(routing::CompletionRequest request,
           ReplicaId replica,
           routing::TokenSink sink,
           std::shared_ptr<node::StreamCancel> cancel)
      -> boost::asio::awaitable<routing::DispatchResult>;

  auto OnLoadReport(const ReplicaId& replica,
                    const upstream::LoadReport& report) -> void;
  // The replica did not answer a request for its load.
  auto OnLoadReportFailed(const ReplicaId& replica) -> void;
  // Call about every 20 ms. Ends waits whose time has run out.
  auto OnTick() -> void;

  auto loads() const -> std::vector<routing::ReplicaLoad>;
  // Streams and waiting requests, over all replicas.
  auto in_flight() const -> std::size_t;

 private:
  class ReplicaDispatcher;
  struct Waiter;

  auto FindDispatcher(const ReplicaId& replica)
      -> std::shared_ptr<ReplicaDispatcher>;
  auto AllDispatchers() const
      -> std::vector<std::shared_ptr<ReplicaDispatcher>>;
  auto MakeDispatcher(const routing::Replica& replica) const
      -> std::shared_ptr<ReplicaDispatcher>;
  auto WaitForAction(std::shared_ptr<Waiter> waiter)
      -> boost::asio::awaitable<void>;
  auto StreamFromEngine(std::shared_ptr<ReplicaDispatcher> replica_dispatcher,
                        std::shared_ptr<Waiter> waiter,
                        routing::CompletionRequest request,
                        routing::TokenSink sink)
      -> boost::asio::awaitable<routing::DispatchResult>;

  TrafficPool& pool_;
  Clock clock_;
  routing::DispatcherSettings settings_;
  routing::Dispatcher::OrganisationWeight weight_;
  BatchSettingsOf batch_settings_;
  LoadHook on_load_;
  LatencyHistogram& first_token_;
  LatencyHistogram& inter_token_;
  Counter& tokens_;
  Counter& refusals_;
  Counter& preemptions_;

  mutable std::shared_mutex mutex_;
  std::map<ReplicaId, routing::Replica> replicas_;
  std::map<ReplicaId, std::shared_ptr<ReplicaDispatcher>> dispatchers_;
};

}  // namespace kumquatgauge::daemon

#endif  // KUMQUATGAUGE_DAEMON_DISPATCH_SERVICE_H_
