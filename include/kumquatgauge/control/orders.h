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
  // Longest time of one order call; an order is sent only when the lease lasts
  // that long. Less than term - renew_interval, otherwise nothing is ever sent.
  Duration call_timeout = std::chrono::seconds(3);
  Duration observe_interval = std::chrono::seconds(2);
  // Between observations of an upstream that is as desired.
  Duration idle_observe_interval = std::chrono::seconds(10);
  // How long an acknowledged order may take to show before it is repeated.
  Duration settle_timeout = std::chrono::seconds(60);
  Duration initial_retry_delay = std::chrono::seconds(1);
  Duration max_retry_delay = std::chrono::seconds(30);
  // The lease is released after the service has been as desired for so long.
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
  kFenced,   // The engine has seen a higher fencing number.
  kUnknown,  // The answer was lost.
  kFailed,   // Certainly without effect.
};

// How far an upstream is from its desired state, for show and explain.
struct OrderStatus {
  ReplicaId upstream;
  std::vector<std::string> missing;
  std::vector<std::string> surplus;
  std::string waiting_for;  // Empty: nothing.

  auto operator==(const OrderStatus&) const -> bool = default;
};

// Decides which orders bring the engines of one service to their desired
// models and role. Orders go out only under the lease order/SERVICE with its
// token as fencing number, one at a time per upstream, and are repeated until
// what the engine reports equals what is desired. Loads come before unloads, so
// that the service goes on meanwhile, unless a load has failed for want of
// room. An upstream without desired models is left alone.
class OrderController {
 public:
  OrderController(ServiceName service, OrderOptions options);

  auto SetDesired(const std::vector<UpstreamSpec>& upstreams) -> void;
  // The lease was acquired or renewed. `took_over`: the former holder did not
  // release it and may still have a call under way.
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
  // The request failed otherwise; the upstream waits and the next one asks.
  auto OnWeightsFailed(const ReplicaId& upstream, MonotonicTime now) -> void;
  // `operation` is the operation id of the order that was answered.
  auto OnOrderResult(const ReplicaId& upstream,
                     const std::string& operation,
                     OrderResult result,
                     MonotonicTime now) -> void;

  // What to do now. Call it again after each event and every observe interval.
  auto Tick(MonotonicTime now) -> std::vector<OrderAction>;

  // Some upstream is known to differ from its desired state.
  auto NeedsLease() const -> bool;
  // An engine refused this holder's fencing number.
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
    MonotonicTime observed_at;  // When the observed state was true.
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
  // Whether the observation may be acted on.
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
  // Until then a call of the former holder may still reach an engine that
  // ignores fencing numbers.
  MonotonicTime former_holder_until_;
  std::uint64_t last_operation_ = 0;
  bool fenced_out_ = false;
  // One request to the weight store at a time, round robin over upstreams.
  bool weights_requested_ = false;
  MonotonicTime weights_not_before_;
  ReplicaId last_served_;
};

// Runs the orders of one service: keeps the lease while there is something to
// do, observes the engines and carries out the controller's actions. Must
// outlive Run.
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
    // Whether this node is the one that should run the service's orders. Only
    // saves calls; the lease makes it safe.
    std::function<auto()->bool> responsible;
  };

  OrderDriver(ServiceName service,
              Environment environment,
              OrderOptions options);

  // Runs until Stop and ends when its last call has ended.
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
  std::size_t running_ = 0;  // Calls under way.
  std::optional<boost::asio::any_io_executor> executor_;
  std::optional<boost::asio::steady_timer> wake_timer_;
  MonotonicTime next_lease_step_;
  std::optional<MonotonicTime> idle_since_;
  std::optional<std::uint64_t> desired_revision_;
};

}  // namespace kumquatgauge::control

#endif  // KUMQUATGAUGE_CONTROL_ORDERS_H_
