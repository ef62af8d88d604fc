#ifndef KUMQUATGAUGE_DAEMON_COMPLETION_ROUTER_H_
#define KUMQUATGAUGE_DAEMON_COMPLETION_ROUTER_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/metrics.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/batch/item_runner.h"
#include "kumquatgauge/daemon/dispatch_service.h"
#include "kumquatgauge/daemon/request_traces.h"
#include "kumquatgauge/daemon/routing_table.h"
#include "kumquatgauge/daemon/traffic_pool.h"
#include "kumquatgauge/node/peer.h"
#include "kumquatgauge/routing/completion.h"

namespace kumquatgauge::daemon {

// How a completion ended for the caller.
struct CompletionEnd {
  Outcome outcome;
  std::string finish_reason;  // routing::kFinishRejected: a bad request.

  auto operator==(const CompletionEnd&) const -> bool = default;
};

// Routes the completions that this node receives: chooses a replica, sends the
// request to the dispatcher of the replica, which runs on this or another node,
// and retries where that is safe.
// Thread-safe; coroutines run on traffic threads.
class CompletionRouter {
 public:
  CompletionRouter(NodeId self,
                   TrafficPool& pool,
                   RoutingTable& table,
                   DispatchService& dispatch,
                   RequestTraces& traces,
                   Clock clock,
                   MetricsRegistry& metrics);

  // Passes each token once and in order to `sink`. Does not throw.
  auto Complete(routing::CompletionRequest request,
                routing::TokenSink sink,
                std::shared_ptr<node::StreamCancel> cancel)
      -> boost::asio::awaitable<CompletionEnd>;

  // Makes one attempt at a batch item. `cancel` may be null.
  auto RunBatchItem(routing::CompletionRequest request,
                    ReplicaId avoid,
                    std::shared_ptr<node::StreamCancel> cancel)
      -> boost::asio::awaitable<batch::AttemptResult>;

  // Handles the message "dispatch" of other nodes.
  auto HandleDispatch(nlohmann::json request,
                      std::shared_ptr<node::Responder> responder)
      -> boost::asio::awaitable<void>;

 private:
  // The part of the answer that all attempts together have delivered.
  struct Progress {
    std::uint64_t next_offset = 0;
    std::string text;
    std::optional<MonotonicTime> first_token;
  };
  struct AttemptEnd {
    routing::DispatchResult result;
    // The dispatching node could not be reached or was lost.
    bool dispatcher_lost = false;
  };

  struct OnlineRun;

  // Makes one attempt. Returns the end of the request if no retry follows.
  auto RunAttempt(OnlineRun& run)
      -> boost::asio::awaitable<std::optional<CompletionEnd>>;
  static auto MustBypassDispatcher(const OnlineRun& run, const Route& route)
      -> bool;
  static auto PrepareRequest(OnlineRun& run, MonotonicTime now) -> void;
  auto Deliver(OnlineRun& run, const routing::Token& token) -> void;
  static auto NoteTried(OnlineRun& run,
                        const Route& route,
                        const AttemptEnd& attempt) -> void;
  auto DecideNext(OnlineRun& run, bool routed, const AttemptEnd& attempt)
      -> routing::RetryDecision;
  static auto EndOf(const OnlineRun& run,
                    const AttemptEnd& attempt,
                    const routing::RetryDecision& decision) -> CompletionEnd;
  auto CountRetry(OnlineRun& run, const AttemptEnd& attempt) -> void;

  auto Attempt(const routing::CompletionRequest& request,
               const Route& route,
               bool direct,
               routing::TokenSink sink,
               std::shared_ptr<node::StreamCancel> cancel)
      -> boost::asio::awaitable<AttemptEnd>;
  auto AttemptOnPeer(const routing::CompletionRequest& request,
                     const Route& route,
                     routing::TokenSink sink,
                     std::shared_ptr<node::StreamCancel> cancel)
      -> boost::asio::awaitable<AttemptEnd>;
  // Records the load of the replica, and whether it failed, in the routing
  // table.
  auto RecordAttempt(const Route& route,
                     const AttemptEnd& attempt,
                     MonotonicTime start,
                     const Progress& progress) -> void;
  auto Finish(RequestTrace trace, const CompletionEnd& end, MonotonicTime start)
      -> void;

  NodeId self_;
  TrafficPool& pool_;
  RoutingTable& table_;
  DispatchService& dispatch_;
  RequestTraces& traces_;
  Clock clock_;
  MetricsRegistry& metrics_;
  LatencyHistogram& online_first_token_;
  LatencyHistogram& online_total_;
  Counter& retries_;
};

}  // namespace kumquatgauge::daemon

#endif  // KUMQUATGAUGE_DAEMON_COMPLETION_ROUTER_H_
