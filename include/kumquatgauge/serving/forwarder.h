#ifndef KUMQUATGAUGE_SERVING_FORWARDER_H_
#define KUMQUATGAUGE_SERVING_FORWARDER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

#include "kumquatgauge/base/metrics.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/caller/http_listener.h"
#include "kumquatgauge/routing/retry_budget.h"
#include "kumquatgauge/serving/dialect.h"
#include "kumquatgauge/serving/load_balancer.h"
#include "kumquatgauge/upstream/replica_call.h"

namespace kumquatgauge::serving {

// Everything that forwarding depends on; all must outlive the forwarder.
struct ForwarderParts {
  boost::asio::any_io_executor executor;
  const Dialect& dialect;
  LoadBalancer& load_estimate;
  upstream::ReplicaCaller& replicas;
  routing::RetryBudget& retry_budget;
  MetricsRegistry& metrics;
  Clock clock;
  RandomSource random;
  // Asks batch work of this node to leave a slot of a service to an online
  // request; returns whether one was freed.
  std::function<auto(const ServiceName&)->bool> yield_batch_slot;
  // This node's in-flight counts have changed.
  std::function<auto()->void> counts_changed;
};

// Takes a request of a caller to a replica and its answer back, trying other
// replicas where the route allows it.
class Forwarder {
 public:
  explicit Forwarder(ForwarderParts parts);
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  auto operator=(const Forwarder&) -> Forwarder& = delete;

  auto Handle(std::shared_ptr<const caller::IncomingRequest> incoming,
              CallerRequest request,
              std::shared_ptr<const Configuration> configuration,
              const Route* route,
              std::shared_ptr<caller::ResponseWriter> writer)
      -> boost::asio::awaitable<void>;
  // Room may have become free; requests that wait are tried again.
  auto OnCapacityFreed() -> void;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// Refuses a request that has not run and will not; `retry_after` says when it
// is worth coming back.
auto Refuse(std::shared_ptr<caller::ResponseWriter> writer,
            int status,
            std::string reason,
            std::chrono::milliseconds retry_after)
    -> boost::asio::awaitable<void>;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_FORWARDER_H_
