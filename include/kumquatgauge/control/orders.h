#ifndef KUMQUATGAUGE_CONTROL_ORDERS_H_
#define KUMQUATGAUGE_CONTROL_ORDERS_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/control/configuration.h"
#include "kumquatgauge/control/lease.h"
#include "kumquatgauge/store/weight_store.h"
#include "kumquatgauge/upstream/engine_client.h"

namespace kumquatgauge::control {

struct OrderOptions {
  LeaseTiming lease;
  // Timeout of one order call. An order is sent only if the lease is held for
  // at least this long, so it must be less than term - renew_interval;
  // otherwise nothing is ever sent.
  Duration call_timeout = std::chrono::seconds(3);
  Duration observe_interval = std::chrono::seconds(2);
  // Interval between observations of an upstream that is in its desired state.
  Duration idle_observe_interval = std::chrono::seconds(10);
  // How long an acknowledged order may take to show in a load report before it
  // is repeated.
  Duration settle_timeout = std::chrono::seconds(60);
  Duration initial_retry_delay = std::chrono::seconds(1);
  Duration max_retry_delay = std::chrono::seconds(30);
  // The lease is released after the service has been in its desired state for
  // this long.
  Duration idle_release_delay = std::chrono::seconds(10);
};

struct OrderAction {
  enum class Kind { kObserve, kRequestWeights, kSend };

  Kind kind = Kind::kObserve;
  ReplicaId upstream;
  std::string address;
  std::string weights = {};          // kRequestWeights: "MODEL@VERSION"
  upstream::EngineOrder order = {};  // kSend

  auto operator==(const OrderAction&) const -> bool = default;
};

enum class OrderResult {
  kAccepted,
  kFenced,   // The engine has seen a higher fencing token.
  kUnknown,  // The response was lost.
  kFailed,   // The order had no effect.
};

// Difference between an upstream and its desired state, for show and explain.
struct OrderStatus {
  ReplicaId upstream;
  std::vector<std::string> missing;
  std::vector<std::string> surplus;
  std::string waiting_for;  // Empty: nothing.

  auto operator==(const OrderStatus&) const -> bool = default;
};

// Decides which orders bring the engines of one service to their desired models
// and role. Orders are sent only under the lease order/SERVICE, with its token
// as fencing token, one at a time per upstream. They are repeated until the
// engine reports the desired state. Models are loaded before others are
// unloaded, so that the service stays available. After a failed load, unloads
// come first, because the engine may lack memory. The models of an upstream
// without desired models are not changed.
class OrderController {
 public:
  OrderController(ServiceName service, OrderOptions options);

  auto SetDesired(const std::vector<UpstreamSpec>& upstreams) -> void;
  // Called when the lease was acquired or renewed. `took_over` is set if the
  // former holder did not release it and may still have a call in flight.
  auto OnLease(std::uint64_t token,
               MonotonicTime held_until,
               bool took_over,
               MonotonicTime now) -> void;
  auto OnLeaseLost() -> void;
  auto OnObserved(const ReplicaId& upstream,
                  const upstream::LoadReport& report,
                  MonotonicTime now) -> void;
  auto OnObserveFailed(const ReplicaId& upstream, MonotonicTime now) -> void;
  auto OnWeightsGranted(const ReplicaId& upstream) -> void;
  auto OnWeightsRefused(Duration retry_after, MonotonicTime now) -> void;
  // Called when the request failed for another reason. The upstream backs off
  // and the next one requests its weights.
  auto OnWeightsFailed(const ReplicaId& upstream, MonotonicTime now) -> void;
  // `operation` is the operation id of the order.
  auto OnOrderResult(const ReplicaId& upstream,
                     const std::string& operation,
                     OrderResult result,
                     MonotonicTime now) -> void;

  // Returns the actions that are due. Must be called after each event and every
  // observe interval.
  auto Tick(MonotonicTime now) -> std::vector<OrderAction>;

  // Returns whether any upstream is known to differ from its desired state.
  auto NeedsLease() const -> bool;
  // Returns whether an engine refused this holder's fencing token.
  auto fenced_out() const -> bool { return fenced_out_; }
  auto Status(MonotonicTime now) const -> std::vector<OrderStatus>;

 private:
  struct Pending {
    upstream::EngineOrder order;
    bool sending = false;
    std::optional<MonotonicTime> accepted;  // When the engine acknowledged it.
  };
  struct State {
    UpstreamSpec spec;
    std::optional<std::set<std::string>> observed;
    MonotonicTime observed_at;  // Time of the observed state.
    bool observing = false;
    MonotonicTime next_observe;
    std::optional<Pending> pending;
    MonotonicTime not_before;  // Backoff after a failure.
    std::uint32_t failures = 0;
    std::string granted_weights;  // Weights that may be loaded now.
    std::string role_ordered;     // Role that the engine has acknowledged.
  };

  auto MissingModels(const State& state) const -> std::vector<std::string>;
  auto SurplusModels(const State& state) const -> std::vector<std::string>;
  auto DiffersFromDesired(const State& state) const -> bool;
  auto ObserveIfDue(State& state,
                    MonotonicTime now,
                    std::vector<OrderAction>& actions) -> void;
  auto MayAct(MonotonicTime now) const -> bool;
  // Returns whether the observation is recent enough to act on.
  auto IsFresh(const State& state) const -> bool;
  auto NextOrder(const State& state) const
      -> std::optional<upstream::EngineOrder>;
  auto SettlePending(State& state, MonotonicTime now) -> void;
  auto HasTakenEffect(const State& state,
                      const upstream::EngineOrder& order) const -> bool;
  auto Advance(State& state,
               MonotonicTime now,
               std::vector<OrderAction>& actions) -> void;
  auto RequestWeights(MonotonicTime now, std::vector<OrderAction>& actions)
      -> void;
  auto WeightsToRequest(const State& state, MonotonicTime now) const
      -> std::string;
  auto BackOff(State& state, MonotonicTime now) -> void;
  auto WaitingFor(const State& state, MonotonicTime now) const -> std::string;

  ServiceName service_;
  OrderOptions options_;
  std::map<ReplicaId, State> states_;
  std::uint64_t token_ = 0;  // 0: the lease is not held.
  MonotonicTime held_until_;
  MonotonicTime acquired_;
  // Time until which a call of the former holder may still reach an engine that
  // ignores fencing tokens.
  MonotonicTime former_holder_until_;
  std::uint64_t last_operation_ = 0;
  bool fenced_out_ = false;
  // Only one request to the weight store is in flight, round robin over
  // upstreams.
  bool weights_requested_ = false;
  MonotonicTime weights_not_before_;
  ReplicaId last_served_;
};

// Runs the orders of one service: holds the lease while orders are needed,
// observes the engines and executes the controller's actions. Must outlive Run.
class OrderDriver {
 public:
  struct Environment {
    store::ObjectStore& store;
    store::WeightStore& weights;
    upstream::EngineClient& engines;
    NodeId node;
    Incarnation incarnation;
    Clock clock;
    RandomSource random;
    std::function<auto()->Configuration> configuration;
    // Returns whether this node should run the service's orders. This only
    // saves calls; the lease ensures safety.
    std::function<auto()->bool> responsible;
  };

  OrderDriver(ServiceName service,
              Environment environment,
              OrderOptions options);

  // Runs until Stop and returns after the last call in flight has ended.
  auto Run() -> boost::asio::awaitable<void>;
  auto Stop() -> void;

  auto controller() const -> const OrderController& { return controller_; }
  auto lease() const -> const LeaseKeeper& { return keeper_; }

 private:
  auto RefreshDesired() -> void;
  auto MaintainLease() -> boost::asio::awaitable<void>;
  auto RenewOrLose() -> boost::asio::awaitable<void>;
  auto ReacquireAboveFence() -> boost::asio::awaitable<void>;
  auto Start(OrderAction action) -> void;
  auto Execute(OrderAction action) -> boost::asio::awaitable<void>;
  auto Observe(const OrderAction& action) -> boost::asio::awaitable<void>;
  auto RequestWeights(const OrderAction& action)
      -> boost::asio::awaitable<void>;
  auto Send(const OrderAction& action) -> boost::asio::awaitable<void>;

  ServiceName service_;
  Environment environment_;
  OrderOptions options_;
  OrderController controller_;
  LeaseKeeper keeper_;
  bool stopped_ = false;
  std::size_t running_ = 0;  // Calls in flight.
  std::optional<boost::asio::any_io_executor> executor_;
  std::optional<boost::asio::steady_timer> wake_timer_;
  MonotonicTime next_lease_step_;
  std::optional<MonotonicTime> idle_since_;
  std::optional<std::uint64_t> desired_revision_;
};

}  // namespace kumquatgauge::control

#endif  // KUMQUATGAUGE_CONTROL_ORDERS_H_
