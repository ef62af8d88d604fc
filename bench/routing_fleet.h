#ifndef BENCH_ROUTING_FLEET_H_
#define BENCH_ROUTING_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bench/routing_simulation.h"
#include "kumquatgauge/routing/assignment.h"
#include "kumquatgauge/routing/dispatcher.h"
#include "kumquatgauge/routing/load_publisher.h"
#include "kumquatgauge/routing/outlier.h"
#include "kumquatgauge/routing/retry_budget.h"
#include "kumquatgauge/routing/retry_policy.h"
#include "kumquatgauge/routing/router.h"

namespace kumquatgauge::bench {

enum class Choice {
  kRouter,
  kRandom,
  kRoundRobin,
  // Every node sends directly to the engines, by the router's rule with load
  // figures that are shared within the byte budget of a node.
  kDirect,
};

enum class Sharing { kNone, kPeriodic, kThreshold };

struct FleetOptions {
  std::uint64_t seed = 1;
  int nodes = 8;
  int model_replicas = 12;
  int plain_replicas = 3;
  int zones = 3;
  // Arrival rate as a share of the engines' capacity.
  double load = 0.8;
  double warmup_s = 20.0;
  double measured_s = 60.0;
  Choice choice = Choice::kRouter;
  Sharing sharing = Sharing::kThreshold;
  bool outlier = true;
  bool retry = true;
  bool retry_budget = true;
  // When off, the limit is the engine's capacity, whatever the latency.
  bool adaptive_limit = true;
  EngineModel engine = {};
  int slow_replica = -1;
  double slow_factor = 1.0;
  double mean_tokens = 100.0;
  double bytes_per_second = 1500.0;  // Budget of load sharing per node.
};

struct FleetResult {
  std::uint64_t arrived = 0;
  std::uint64_t attempts = 0;
  std::uint64_t refused = 0;
  // Of the whole run, warm-up included.
  std::uint64_t all_arrived = 0;
  std::uint64_t all_attempts = 0;
  double attempt_seconds = 0.0;  // From the start to the last attempt.
  std::uint64_t good = 0;        // Completed within both targets.
  std::vector<double> first_token_ms;
  std::vector<double> inter_token_ms;  // Mean of each request.
  std::vector<double> plain_ms;        // Responses of the plain service.
  double goodput = 0.0;                // Good completions per second.
  double shared_bytes_per_node_s = 0.0;
  double max_shared_bytes_per_node_s = 0.0;
  // Mean over time of the spread (standard deviation over replicas) of the
  // requests in flight per slot.
  double imbalance = 0.0;
};

// A fleet of nodes in front of batching engines. Each node is an entry for
// requests and the dispatcher of some replicas.
class Fleet {
 public:
  explicit Fleet(FleetOptions options)
      : options_(options), simulation_(options.seed) {
    MakeReplicas();
    MakeNodes();
    for (std::size_t index = 0; index < replicas_.size(); ++index) {
      Every(Milliseconds(50), [this, index] { Tick(index); });
    }
    Every(std::chrono::seconds(1), [this] { TickOutliers(); });
    Every(Milliseconds(100), [this] { TickSharing(); });
    Every(Milliseconds(100), [this] { SampleBalance(); });
  }

  // Highest rate of requests per second that the model engines can serve within
  // the targets.
  static auto CapacityPerSecond(const FleetOptions& options) -> double {
    constexpr double kInterTokenTargetMs = 55.0;
    double best = 0.0;
    for (std::uint32_t running = 1; running <= options.engine.capacity;
         ++running) {
      auto rate = options.engine.TokenRate(running, options.mean_tokens);
      if (1000.0 * running / rate <= kInterTokenTargetMs) {
        best = std::max(best, rate);
      }
    }
    return best / options.mean_tokens * options.model_replicas;
  }

  auto Run() -> FleetResult {
    start_ = simulation_.now();
    constexpr double kPlainPerReplica = 80.0;
    ScheduleArrivals(kModel, options_.load * CapacityPerSecond(options_));
    if (options_.plain_replicas > 0) {
      ScheduleArrivals(kPlain, kPlainPerReplica * options_.plain_replicas);
    }
    measuring_from_ = simulation_.now() + Milliseconds(1e3 * options_.warmup_s);
    auto end = measuring_from_ + Milliseconds(1e3 * options_.measured_s);
    arrivals_end_ = end;
    simulation_.RunUntil(end);
    // Waits for all requests: leaving out slow ones would understate the tail
    // latency.
    while (!requests_.empty()) {
      simulation_.RunUntil(simulation_.now() + std::chrono::seconds(5));
    }
    result_.goodput = static_cast<double>(result_.good) / options_.measured_s;
    double total = 0.0;
    for (const auto& node : nodes_) {
      auto rate = static_cast<double>(node->shared_bytes) / options_.measured_s;
      total += rate;
      result_.max_shared_bytes_per_node_s =
          std::max(result_.max_shared_bytes_per_node_s, rate);
    }
    result_.shared_bytes_per_node_s = total / options_.nodes;
    result_.imbalance =
        balance_samples_ == 0 ? 0.0 : balance_sum_ / balance_samples_;
    return std::move(result_);
  }

 private:
  static constexpr int kModel = 0;
  static constexpr int kPlain = 1;
  static constexpr std::uint32_t kMessageBytes = 96;

  struct Node {
    routing::NodeInfo info;
    std::unique_ptr<routing::Router> router;
    std::unique_ptr<routing::OutlierDetector> outliers;
    std::unique_ptr<routing::RetryBudget> budget;
    std::unique_ptr<routing::RetryPolicy> policy;
    std::unique_ptr<routing::LoadPublisher> sharing;
    std::vector<std::size_t> replicas;  // Those that it dispatches to.
    std::array<std::size_t, 2> round_robin = {};
    std::uint64_t shared_bytes = 0;
  };
  struct Upstream {
    routing::Replica info;
    std::unique_ptr<Engine> engine;
    std::unique_ptr<routing::Dispatcher> dispatcher;
    std::size_t node = 0;
  };
  struct Request {
    int service = kModel;
    std::size_t entry = 0;
    std::size_t replica = 0;
    std::uint32_t tokens = 1;
    bool measured = false;
    MonotonicTime arrived;
    MonotonicTime started;
    MonotonicTime first_token;
    bool has_token = false;
    routing::RetryState retry;
    std::vector<ReplicaId> tried;
  };

  static auto Service(int service) -> ServiceName {
    return ServiceName(service == kModel ? "model" : "plain");
  }
  auto Every(Duration period, std::function<auto()->void> action) -> void {
    simulation_.After(period, [this, period, action] {
      action();
      Every(period, action);
    });
  }
  auto Hop(const ZoneName& from, const ZoneName& to) const -> Duration {
    return Milliseconds(from == to ? 0.2 : 0.5);
  }

  auto MakeReplicas() -> void {
    auto count = options_.model_replicas + options_.plain_replicas;
    for (int index = 0; index < count; ++index) {
      Upstream upstream;
      auto plain = index >= options_.model_replicas;
      upstream.info.id = ReplicaId("replica-" + std::to_string(index));
      upstream.info.service = Service(plain ? kPlain : kModel);
      upstream.info.zone =
          ZoneName("z" + std::to_string(index % options_.zones));
      auto model = options_.engine;
      if (plain) {
        model = {.capacity = 8,
                 .step_ms = 15.0,
                 .step_per_request_ms = 1.0,
                 .prefill_ms = 0.0};
      }
      if (index == options_.slow_replica) {
        model.slow_factor = options_.slow_factor;
      }
      upstream.info.capacity = model.capacity;
      upstream.engine = std::make_unique<Engine>(
          simulation_, model,
          [this](std::uint64_t id, std::uint32_t tokens, bool last) {
            OnToken(id, tokens, last);
          });
      routing::DispatcherSettings settings;
      if (!options_.adaptive_limit) {
        settings.limit.min = model.capacity;
      }
      upstream.dispatcher = std::make_unique<routing::Dispatcher>(
          upstream.info, settings, simulation_.AsHook());
      replicas_.push_back(std::move(upstream));
    }
  }
  auto MakeNodes() -> void {
    std::vector<routing::NodeInfo> infos;
    for (int index = 0; index < options_.nodes; ++index) {
      routing::NodeInfo info;
      info.id = NodeId("node-" + std::to_string(index));
      info.zone = ZoneName("z" + std::to_string(index % options_.zones));
      infos.push_back(info);
    }
    std::vector<routing::Replica> infos_of_replicas;
    for (const auto& upstream : replicas_) {
      infos_of_replicas.push_back(upstream.info);
    }
    auto random = [this] { return simulation_.random()(); };
    for (const auto& info : infos) {
      auto node = std::make_unique<Node>();
      node->info = info;
      // Round robin starts at a random place on every node.
      node->round_robin = {simulation_.random()(), simulation_.random()()};
      node->router = std::make_unique<routing::Router>(
          info.zone, routing::RouterSettings(), simulation_.AsHook(), random);
      node->router->SetReplicas(infos_of_replicas);
      node->outliers = std::make_unique<routing::OutlierDetector>(
          routing::OutlierSettings(), simulation_.AsHook());
      node->outliers->SetReplicas(infos_of_replicas);
      routing::RetryBudgetSettings budget;
      if (!options_.retry_budget) {
        budget.per_second = 1e9;
      }
      node->budget =
          std::make_unique<routing::RetryBudget>(budget, simulation_.AsHook());
      node->budget->set_nodes(infos.size());
      node->policy = std::make_unique<routing::RetryPolicy>(
          routing::RetryPolicySettings(), *node->budget, random);
      routing::LoadPublisherSettings sharing;
      sharing.bytes_per_second = options_.bytes_per_second;
      sharing.bytes_per_message = kMessageBytes;
      node->sharing = std::make_unique<routing::LoadPublisher>(
          sharing, simulation_.AsHook());
      node->sharing->set_peers(
          static_cast<std::uint32_t>(PeersOf(infos, info.zone)));
      nodes_.push_back(std::move(node));
    }
    routing::Assignment assignment(infos);
    for (std::size_t index = 0; index < replicas_.size(); ++index) {
      const auto& info = replicas_[index].info;
      auto owner = assignment.DispatcherOf(info.id, info.zone);
      for (std::size_t node = 0; node < nodes_.size(); ++node) {
        if (nodes_[node]->info.id == owner->id) {
          replicas_[index].node = node;
          nodes_[node]->replicas.push_back(index);
        }
      }
      index_of_[info.id] = index;
    }
  }
  auto IsPeer(const ZoneName& left, const ZoneName& right) const -> bool {
    return left == right || static_cast<std::size_t>(options_.nodes) <=
                                routing::kMaxBroadcastNodes;
  }
  auto PeersOf(const std::vector<routing::NodeInfo>& infos,
               const ZoneName& zone) const -> std::size_t {
    std::size_t peers = 0;
    for (const auto& info : infos) {
      peers += IsPeer(info.zone, zone) ? 1 : 0;
    }
    return peers - 1;
  }

  auto ScheduleArrivals(int service, double per_second) -> void {
    simulation_.After(simulation_.Poisson(per_second),
                      [this, service, per_second] {
                        if (simulation_.now() >= arrivals_end_) {
                          return;
                        }
                        Arrive(service);
                        ScheduleArrivals(service, per_second);
                      });
  }
  auto Arrive(int service) -> void {
    auto id = next_request_++;
    auto& request = requests_[id];
    request.service = service;
    request.entry = simulation_.random()() % nodes_.size();
    request.arrived = simulation_.now();
    request.measured = request.arrived >= measuring_from_;
    if (service == kModel) {
      std::exponential_distribution<double> length(1.0 / options_.mean_tokens);
      constexpr double kMaxTokens = 400.0;
      auto drawn = std::min(length(simulation_.random()), kMaxTokens);
      request.tokens = 1 + static_cast<std::uint32_t>(drawn);
      result_.arrived += request.measured ? 1 : 0;
      ++result_.all_arrived;
    }
    request.retry.service = Service(service);
    nodes_[request.entry]->budget->OnRequest(request.retry.service);
    Attempt(id);
  }
  auto Choose(Request& request) -> std::optional<std::size_t> {
    auto& node = *nodes_[request.entry];
    if (options_.choice == Choice::kRouter ||
        options_.choice == Choice::kDirect) {
      routing::RouteRequest route;
      route.service = request.retry.service;
      route.tried = request.tried;
      auto choice = node.router->Choose(route);
      if (!choice.replica) {
        return std::nullopt;
      }
      return index_of_.at(choice.replica->id);
    }
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < replicas_.size(); ++index) {
      const auto& info = replicas_[index].info;
      if (info.service == request.retry.service &&
          std::find(request.tried.begin(), request.tried.end(), info.id) ==
              request.tried.end()) {
        candidates.push_back(index);
      }
    }
    if (candidates.empty()) {
      return std::nullopt;
    }
    auto& turn = node.round_robin.at(static_cast<std::size_t>(request.service));
    auto pick = options_.choice == Choice::kRandom
                    ? static_cast<std::size_t>(simulation_.random()())
                    : turn++;
    return candidates[pick % candidates.size()];
  }
  auto Attempt(std::uint64_t id) -> void {
    auto& request = requests_.at(id);
    auto picked = Choose(request);
    if (!picked) {
      return OnRefused(id);
    }
    request.replica = *picked;
    if (request.service == kModel) {
      ++result_.all_attempts;
      result_.attempt_seconds =
          InMilliseconds(simulation_.now() - start_) / 1e3;
    }
    if (request.measured && request.service == kModel) {
      ++result_.attempts;
    }
    const auto& upstream = replicas_[*picked];
    const auto& entry = nodes_[request.entry]->info.zone;
    if (options_.choice == Choice::kDirect) {
      simulation_.After(Hop(entry, upstream.info.zone),
                        [this, id] { Submit(id); });
      return;
    }
    simulation_.After(Hop(entry, nodes_[upstream.node]->info.zone), [this, id] {
      auto& arrived = requests_.at(id);
      routing::DispatchItem item;
      item.id = RequestId(std::to_string(id));
      item.time_left = std::chrono::seconds(10);
      auto replica = arrived.replica;
      Apply(replica, replicas_[replica].dispatcher->Arrive(item));
    });
  }
  auto Submit(std::uint64_t id) -> void {
    auto& request = requests_.at(id);
    request.started = simulation_.now();
    replicas_[request.replica].engine->Submit(id, request.tokens);
  }
  auto Apply(std::size_t replica, const routing::Dispatcher::Actions& actions)
      -> void {
    using Kind = routing::DispatchAction::Kind;
    for (const auto& action : actions) {
      auto id = std::stoull(action.id.value());
      if (action.kind == Kind::kStart) {
        Submit(id);
        continue;
      }
      auto load = replicas_[replica].dispatcher->load();
      auto outcome = action.outcome;
      simulation_.After(Milliseconds(0.3), [this, id, load, outcome] {
        OnBusy(id, load, outcome);
      });
    }
    Share(replica);
  }
  auto OnBusy(std::uint64_t id,
              const routing::ReplicaLoad& load,
              const Outcome& outcome) -> void {
    auto& request = requests_.at(id);
    auto& node = *nodes_[request.entry];
    node.router->OnLoad(load);
    request.tried.push_back(load.replica);
    request.retry.time_left = std::chrono::seconds(10);
    routing::DispatchResult result;
    result.kind = routing::DispatchResult::Kind::kBusy;
    result.outcome = outcome;
    auto decision = options_.retry ? node.policy->Decide(request.retry, result)
                                   : routing::RetryDecision();
    if (!decision.retry) {
      return OnRefused(id);
    }
    ++request.retry.busy_retries;
    Attempt(id);
  }
  auto OnRefused(std::uint64_t id) -> void {
    const auto& request = requests_.at(id);
    if (request.measured && request.service == kModel) {
      ++result_.refused;
    }
    requests_.erase(id);
  }
  auto OnToken(std::uint64_t id, std::uint32_t tokens, bool last) -> void {
    auto& request = requests_.at(id);
    auto replica = request.replica;
    auto& upstream = replicas_[replica];
    RequestId name(std::to_string(id));
    constexpr std::uint32_t kProgressEvery = 5;
    if (!request.has_token) {
      request.has_token = true;
      request.first_token = simulation_.now();
      auto latency = request.first_token - request.started;
      if (options_.choice != Choice::kDirect) {
        Apply(replica, upstream.dispatcher->FirstToken(name));
        nodes_[request.entry]->router->OnLoad(upstream.dispatcher->load());
      }
      if (options_.outlier) {
        ApplyEjections(*nodes_[request.entry],
                       nodes_[request.entry]->outliers->OnSuccess(
                           upstream.info.id, latency));
      }
    } else if (tokens % kProgressEvery == 0 &&
               options_.choice != Choice::kDirect) {
      Apply(replica, upstream.dispatcher->TokenProgress(name, tokens));
    }
    if (last) {
      Complete(id);
    }
  }
  auto Complete(std::uint64_t id) -> void {
    auto request = requests_.at(id);
    requests_.erase(id);
    auto& upstream = replicas_[request.replica];
    if (options_.choice != Choice::kDirect) {
      Apply(request.replica,
            upstream.dispatcher->Finished(RequestId(std::to_string(id)),
                                          routing::UpstreamEnd::kCompleted));
      nodes_[request.entry]->router->OnLoad(upstream.dispatcher->load());
    }
    if (!request.measured) {
      return;
    }
    auto hops = InMilliseconds(
        Hop(nodes_[request.entry]->info.zone, upstream.info.zone));
    auto first = InMilliseconds(request.first_token - request.arrived) + hops;
    if (request.service == kPlain) {
      result_.plain_ms.push_back(first);
      return;
    }
    auto gap = request.tokens < 2
                   ? 0.0
                   : InMilliseconds(simulation_.now() - request.first_token) /
                         (request.tokens - 1);
    result_.first_token_ms.push_back(first);
    result_.inter_token_ms.push_back(gap);
    result_.good += first <= 890.0 && gap <= 55.0 ? 1 : 0;
  }

  auto Tick(std::size_t replica) -> void {
    if (options_.choice == Choice::kDirect) {
      return;
    }
    auto& upstream = replicas_[replica];
    Apply(replica, upstream.dispatcher->Tick());
  }
  auto TickOutliers() -> void {
    for (auto& node : nodes_) {
      if (options_.outlier) {
        ApplyEjections(*node, node->outliers->OnTick());
      }
    }
  }
  static auto ApplyEjections(Node& node,
                             const routing::OutlierDetector::Changes& changes)
      -> void {
    for (const auto& change : changes) {
      node.router->SetEjection(change.replica, change.state);
    }
  }

  auto Share(std::size_t replica) -> void {
    auto& upstream = replicas_[replica];
    if (options_.sharing == Sharing::kThreshold) {
      Broadcast(upstream.node, nodes_[upstream.node]->sharing->OnLoad(
                                   upstream.dispatcher->load()));
    }
  }
  auto TickSharing() -> void {
    if (options_.choice == Choice::kDirect) {
      return ShareDirect();
    }
    if (options_.sharing == Sharing::kThreshold) {
      for (std::size_t node = 0; node < nodes_.size(); ++node) {
        Broadcast(node, nodes_[node]->sharing->OnTick());
      }
    }
    if (options_.sharing == Sharing::kPeriodic) {
      SharePeriodically();
    }
  }
  // Each node sends the loads of all its replicas as often as the budget
  // allows.
  auto SharePeriodically() -> void {
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
      auto& node = *nodes_[index];
      auto round = static_cast<double>(kMessageBytes) *
                   static_cast<double>(Peers(index)) *
                   static_cast<double>(node.replicas.size());
      auto period = Milliseconds(1e3 * round / options_.bytes_per_second);
      auto& due = next_round_[index];
      if (round == 0.0 || simulation_.now() < due) {
        continue;
      }
      due = simulation_.now() + period;
      std::vector<routing::ReplicaLoad> loads;
      for (auto replica : node.replicas) {
        loads.push_back(replicas_[replica].dispatcher->load());
      }
      Broadcast(index, loads);
    }
  }
  auto Peers(std::size_t node) const -> std::size_t {
    std::size_t peers = 0;
    for (const auto& other : nodes_) {
      peers += IsPeer(other->info.zone, nodes_[node]->info.zone) ? 1 : 0;
    }
    return peers - 1;
  }
  auto Broadcast(std::size_t node,
                 const std::vector<routing::ReplicaLoad>& loads) -> void {
    if (loads.empty()) {
      return;
    }
    auto bytes = kMessageBytes * Peers(node) * loads.size();
    if (simulation_.now() >= measuring_from_ &&
        simulation_.now() < arrivals_end_) {
      nodes_[node]->shared_bytes += bytes;
    }
    simulation_.After(Milliseconds(0.2), [this, node, loads] {
      for (auto& other : nodes_) {
        if (IsPeer(other->info.zone, nodes_[node]->info.zone)) {
          for (const auto& load : loads) {
            other->router->OnLoad(load);
          }
        }
      }
    });
  }
  // With direct sending, every node receives every engine's figures as often as
  // its 3 KB/s allow.
  auto ShareDirect() -> void {
    constexpr double kBudget = 3000.0;
    if (simulation_.now() < next_direct_) {
      return;
    }
    auto period = static_cast<double>(kMessageBytes) *
                  static_cast<double>(replicas_.size()) / kBudget;
    next_direct_ = simulation_.now() + Milliseconds(1e3 * period);
    for (const auto& upstream : replicas_) {
      routing::ReplicaLoad load;
      load.replica = upstream.info.id;
      load.online_in_flight = upstream.engine->in_flight();
      load.limit = upstream.info.capacity;
      for (auto& node : nodes_) {
        node->router->OnLoad(load);
      }
    }
  }
  auto SampleBalance() -> void {
    if (simulation_.now() < measuring_from_ ||
        simulation_.now() >= arrivals_end_) {
      return;
    }
    double sum = 0.0;
    double squares = 0.0;
    for (int index = 0; index < options_.model_replicas; ++index) {
      const auto& upstream = replicas_[static_cast<std::size_t>(index)];
      auto queued = options_.choice == Choice::kDirect
                        ? 0U
                        : upstream.dispatcher->load().queued;
      auto load = static_cast<double>(upstream.engine->in_flight() + queued) /
                  options_.engine.capacity;
      sum += load;
      squares += load * load;
    }
    auto mean = sum / options_.model_replicas;
    auto variance = squares / options_.model_replicas - mean * mean;
    balance_sum_ += std::sqrt(std::max(variance, 0.0));
    ++balance_samples_;
  }

  FleetOptions options_;
  Simulation simulation_;
  std::vector<Upstream> replicas_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::unordered_map<ReplicaId, std::size_t> index_of_;
  std::unordered_map<std::uint64_t, Request> requests_;
  std::uint64_t next_request_ = 0;
  MonotonicTime start_;
  MonotonicTime measuring_from_;
  MonotonicTime arrivals_end_;
  MonotonicTime next_direct_;
  std::map<std::size_t, MonotonicTime> next_round_;
  double balance_sum_ = 0.0;
  int balance_samples_ = 0;
  FleetResult result_;
};

}  // namespace kumquatgauge::bench

#endif  // BENCH_ROUTING_FLEET_H_
