#ifndef KUMQUATGAUGE_DAEMON_ONCE_SERVICE_H_
#define KUMQUATGAUGE_DAEMON_ONCE_SERVICE_H_

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/metrics.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/caller/caller_backend.h"
#include "kumquatgauge/daemon/request_traces.h"
#include "kumquatgauge/daemon/routing_table.h"
#include "kumquatgauge/daemon/traffic_pool.h"
#include "kumquatgauge/node/peer.h"
#include "kumquatgauge/routing/once_registry.h"
#include "kumquatgauge/store/object_store.h"

namespace kumquatgauge::daemon {

// Properties of a plain service, from the configuration.
struct PlainServiceTraits {
  bool repeatable = true;

  auto operator==(const PlainServiceTraits&) const -> bool = default;
};

// Calls to plain services. Requests that may not be repeated, or that carry an
// Idempotency-Key, run at most once; docs/design.md, section 8, has the rules.
// Thread-safe; coroutines run on traffic threads.
class OnceService {
 public:
  using TraitsOf = std::function<
      auto(const ServiceName&)->std::optional<PlainServiceTraits>>;

  // `store` is used on `control` only.
  OnceService(NodeId self,
              Incarnation incarnation,
              TrafficPool& pool,
              RoutingTable& table,
              store::ObjectStore& store,
              boost::asio::io_context& control,
              RequestTraces& traces,
              TraitsOf traits_of,
              Clock clock,
              MetricsRegistry& metrics);

  auto IssueTicket() const -> std::string;

  auto Call(ServiceName service,
            upstream::ServiceRequest request,
            caller::ServiceCallOptions options)
      -> boost::asio::awaitable<caller::ServiceCallEnd>;

  // Handles the message "once" of other nodes.
  auto HandleOnce(nlohmann::json request,
                  std::shared_ptr<node::Responder> responder)
      -> boost::asio::awaitable<void>;

  // Continues under a new incarnation. Requests that the old one accepted and
  // has not finished are forgotten, so that resends of them get "unknown".
  auto Restart(Incarnation incarnation) -> void;
  // Call about once a second.
  auto OnTick() -> void;
  // Requests that run at a plain service now.
  auto in_flight() const -> std::size_t;

 private:
  // A call with everything that is needed to run or forward it.
  struct ServiceCall {
    ServiceName service;
    upstream::ServiceRequest request;
    caller::ServiceCallOptions options;
    routing::OnceKey key;
    std::uint64_t body_hash = 0;
    MonotonicTime deadline;
    bool repeatable = false;
    bool forwarded = false;
    // The registry of the incarnation that accepted the request.
    std::shared_ptr<routing::OnceRegistry> registry;
  };
  struct Waiter;

  auto CallOnce(ServiceCall call)
      -> boost::asio::awaitable<caller::ServiceCallEnd>;
  auto CarryOut(const ServiceCall& call, routing::OnceDecision decision)
      -> boost::asio::awaitable<caller::ServiceCallEnd>;
  auto Decide(const ServiceCall& call) -> routing::OnceDecision;
  auto RunOnce(const ServiceCall& call)
      -> boost::asio::awaitable<caller::ServiceCallEnd>;
  auto RunAtReplicas(const ServiceCall& call)
      -> boost::asio::awaitable<caller::ServiceCallEnd>;
  auto Forward(const ServiceCall& call, const routing::OnceDecision& decision)
      -> boost::asio::awaitable<caller::ServiceCallEnd>;
  auto Claim(const routing::OnceKey& key)
      -> boost::asio::awaitable<routing::ClaimResult>;
  auto ReadClaim(const routing::OnceKey& key)
      -> boost::asio::awaitable<routing::ClaimResult>;
  auto MakeRegistry() -> std::shared_ptr<routing::OnceRegistry>;
  auto ClaimOnControl(routing::OnceKey key)
      -> boost::asio::awaitable<routing::ClaimResult>;
  auto ReadClaimOnControl(routing::OnceKey key, std::string operation)
      -> boost::asio::awaitable<routing::ClaimResult>;
  auto ReleaseClaimOnControl(routing::OnceKey key)
      -> boost::asio::awaitable<void>;
  auto WaitForChange(const routing::OnceKey& key)
      -> boost::asio::awaitable<void>;
  auto WakeWaiters(const routing::OnceKey& key) -> void;
  auto BeginCall(const ReplicaId& replica) -> void;
  auto EndCall(const routing::Replica& replica) -> void;

  NodeId self_;
  std::atomic<Incarnation> incarnation_;
  TrafficPool& pool_;
  RoutingTable& table_;
  store::ObjectStore& store_;
  boost::asio::io_context& control_;
  RequestTraces& traces_;
  TraitsOf traits_of_;
  Clock clock_;
  MetricsRegistry& metrics_;

  mutable std::mutex mutex_;
  std::shared_ptr<routing::OnceRegistry> registry_;
  std::multimap<routing::OnceKey, std::shared_ptr<Waiter>> waiters_;
  std::map<ReplicaId, std::uint32_t> in_flight_;
};

}  // namespace kumquatgauge::daemon

#endif  // KUMQUATGAUGE_DAEMON_ONCE_SERVICE_H_
