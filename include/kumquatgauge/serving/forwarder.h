#ifndef KUMQUATGAUGE_SERVING_FORWARDER_H_
#define KUMQUATGAUGE_SERVING_FORWARDER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "kumquatgauge/base/metrics.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/caller/http_listener.h"
#include "kumquatgauge/routing/retry_budget.h"
#include "kumquatgauge/serving/answer_report.h"
#include "kumquatgauge/serving/dialect.h"
#include "kumquatgauge/serving/load_balancer.h"
#include "kumquatgauge/serving/relay_monitor.h"
#include "kumquatgauge/serving/request_quarantine.h"
#include "kumquatgauge/serving/stream_versions.h"
#include "kumquatgauge/upstream/replica_call.h"

namespace kumquatgauge::serving {

// Dependencies of the forwarder; all must outlive it.
struct ForwarderParts {
  boost::asio::any_io_executor executor;
  const Dialect& dialect;
  LoadBalancer& load_balancer;
  upstream::ReplicaCaller& replicas;
  routing::RetryBudget& retry_budget;
  RequestQuarantine& quarantine;
  StreamVersions& streams;
  MetricsRegistry& metrics;
  Clock clock;
  RandomSource random;
  // Makes batch work of this node yield a slot of a service, of replicas of one
  // version if it is given, to an online request. Returns whether a slot was
  // freed.
  std::function<
      auto(const ServiceName&, const std::optional<std::string>& version)->bool>
      yield_batch_slot;
  const AnswerHooks& hooks;
  // Called when a request is refused that has not run.
  std::function<auto(const CallerRequest&)->void> not_run;
  RelayMonitor& relay;
};

// Forwards requests of callers to replicas and returns the answers, trying
// other replicas where the route allows it.
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
  // Retries waiting requests after capacity may have become free.
  auto OnCapacityFreed() -> void;
  // Sends requests without an event at replicas that are suspected to be silent
  // to others, if they may be repeated and the retry budget allows it.
  auto MoveSilent() -> void;
  // In a planned stop that ends at `end`: refuses requests that arrive after
  // `last_start`, and those that must not be repeated and whose time limit is
  // later than `end`.
  auto BeginStop(MonotonicTime last_start, MonotonicTime end) -> void;
  // Answers the requests that are still under way.
  auto EndAll() -> void;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// Answers a request with an error status and `reason` as its body.
// `retry_after` is sent as Retry-After unless it is zero.
auto Refuse(std::shared_ptr<caller::ResponseWriter> writer,
            int status,
            std::string reason,
            std::chrono::milliseconds retry_after)
    -> boost::asio::awaitable<void>;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_FORWARDER_H_
