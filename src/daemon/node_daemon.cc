#include "kumquatgauge/daemon/node_daemon.h"

#include <pthread.h>
#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <map>
#include <mutex>
#include <utility>

#include "base/process_hooks.h"
#include "base/process_signals.h"
#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/log.h"
#include "kumquatgauge/base/metrics.h"
#include "kumquatgauge/batch/batch_service.h"
#include "kumquatgauge/caller/caller_server.h"
#include "kumquatgauge/control/config_store.h"
#include "kumquatgauge/control/config_watcher.h"
#include "kumquatgauge/control/node_registry.h"
#include "kumquatgauge/control/orders.h"
#include "kumquatgauge/control/watcher_standby.h"
#include "kumquatgauge/daemon/batch_item_runner.h"
#include "kumquatgauge/daemon/completion_router.h"
#include "kumquatgauge/daemon/dispatch_service.h"
#include "kumquatgauge/daemon/node_caller_backend.h"
#include "kumquatgauge/daemon/node_operator_backend.h"
#include "kumquatgauge/daemon/once_service.h"
#include "kumquatgauge/daemon/request_traces.h"
#include "kumquatgauge/daemon/routing_table.h"
#include "kumquatgauge/daemon/service_directory.h"
#include "kumquatgauge/daemon/traffic_pool.h"
#include "kumquatgauge/node/gossip.h"
#include "kumquatgauge/node/message.h"
#include "kumquatgauge/node/peer_client.h"
#include "kumquatgauge/node/peer_server.h"
#include "kumquatgauge/node/registry_hooks.h"
#include "kumquatgauge/operator/command_executor.h"
#include "kumquatgauge/operator/operator_server.h"
#include "kumquatgauge/routing/load_publisher.h"
#include "kumquatgauge/store/http_host_list.h"
#include "kumquatgauge/store/http_object_store.h"
#include "kumquatgauge/store/platform_client.h"
#include "kumquatgauge/store/weight_store.h"
#include "kumquatgauge/upstream/http_engine_client.h"
#include "kumquatgauge/upstream/http_service_client.h"

namespace kumquatgauge::daemon {
namespace {

namespace asio = boost::asio;
using kumquatgauge::detail::DrawRandom;
using kumquatgauge::detail::Pause;
using kumquatgauge::detail::ResidentBytes;
using kumquatgauge::detail::SteadyNow;
using kumquatgauge::detail::WallNow;

// Number of nodes per zone that watch the platform on behalf of the others.
constexpr std::size_t kWatchersPerZone = 2;
// Silence of all watchers after which other nodes watch the platform. A watcher
// is answered every 3 s at the latest, and a change must apply within 9 s.
constexpr auto kWatcherSilenceLimit = std::chrono::seconds(4);
// Tells other nodes that the platform answers this one.
constexpr auto kPlatformDatagram = "platform";
// Prefix of the keys under which nodes register their addresses for each other.
constexpr auto kNodePrefix = "nodes/";
constexpr auto kHostPollInterval = std::chrono::seconds(1);
constexpr auto kBatchTickInterval = std::chrono::milliseconds(100);
constexpr auto kDispatchTickInterval = std::chrono::milliseconds(20);
constexpr auto kMaintenanceInterval = std::chrono::seconds(1);
constexpr auto kLoadPollInterval = std::chrono::milliseconds(500);
constexpr auto kLoadPublishInterval = std::chrono::milliseconds(200);
// Over three times the target for the first token. An engine that takes longer
// is treated as lost, and the request is sent to another.
constexpr auto kFirstByteTimeout = std::chrono::milliseconds(3000);
constexpr auto kWatcherIdleInterval = std::chrono::milliseconds(500);
constexpr auto kListenPollInterval = std::chrono::milliseconds(50);
constexpr auto kStopCheckInterval = std::chrono::milliseconds(50);
constexpr auto kPeerStopLimit = std::chrono::milliseconds(1000);
constexpr double kNanosecondsPerSecond = 1e9;

auto CpuSeconds(pthread_t thread) -> double {
  auto clock = clockid_t();
  auto time = timespec();
  if (pthread_getcpuclockid(thread, &clock) != 0 ||
      clock_gettime(clock, &time) != 0) {
    return 0.0;
  }
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / kNanosecondsPerSecond;
}

auto WatchRank(const NodeId& node) -> std::uint64_t {
  const auto& name = node.value();
  return XXH3_64bits(name.data(), name.size());
}

auto HostsToJson(const store::HostListSnapshot& hosts) -> nlohmann::json {
  auto rows = nlohmann::json::array();
  for (const auto& host : hosts.hosts) {
    rows.push_back({host.name, host.address, host.zone.value(),
                    host.state == store::HostState::kLeaving});
  }
  auto content = nlohmann::json();
  content["version"] = hosts.version;
  content["hosts"] = std::move(rows);
  return content;
}

auto HostsFromJson(const nlohmann::json& content) -> store::HostListSnapshot {
  auto hosts = store::HostListSnapshot();
  hosts.version = content.at("version").get<std::uint64_t>();
  for (const auto& row : content.at("hosts")) {
    hosts.hosts.push_back({.name = row.at(0).get<std::string>(),
                           .address = row.at(1).get<std::string>(),
                           .zone = ZoneName(row.at(2).get<std::string>()),
                           .state = row.at(3).get<bool>()
                                        ? store::HostState::kLeaving
                                        : store::HostState::kLive});
  }
  return hosts;
}

}  // namespace

class NodeDaemon::Impl {
 public:
  Impl(NodeSettings settings,
       std::string fleet_credential,
       OperatorCredentials operators);

  auto Run() -> void;

 private:
  auto Begin() -> asio::awaitable<void>;
  auto MakeClientFactory() const -> ClientFactory;
  auto MakeGossipSettings() const -> node::GossipSettings;
  auto MakeGossipHooks() -> node::GossipHooks;
  auto MakeRegistryHooks() -> control::NodeRegistryHooks;
  auto RemoveFromRegistry() -> asio::awaitable<void>;
  auto MakeBatchService() -> std::shared_ptr<batch::BatchService>;
  auto MakeCallerDependencies() -> NodeCallerBackend::Dependencies;
  auto MakeOperatorDependencies() -> NodeOperatorBackend::Dependencies;
  auto RegisterHandlers() -> void;
  auto HandleQuery(nlohmann::json request,
                   std::shared_ptr<node::Responder> responder)
      -> asio::awaitable<void>;
  auto AnswerOnControl(nlohmann::json query) -> asio::awaitable<nlohmann::json>;
  auto RegisterMetrics() -> void;

  auto OnMembersChanged(const std::vector<routing::NodeInfo>& nodes) -> void;
  auto OnRestarted(Incarnation incarnation) -> void;
  auto ReadFeed(const std::string& feed, std::uint64_t since) const
      -> nlohmann::json;
  auto ApplyFeed(const std::string& feed,
                 std::uint64_t revision,
                 const nlohmann::json& content) -> std::uint64_t;
  auto OnDatagram(const nlohmann::json& message) -> void;
  auto ApplyConfiguration(const control::Configuration& configuration) -> void;
  auto ApplyHosts(store::HostListSnapshot hosts) -> void;
  auto RebuildReplicas() -> void;
  auto UpdateOrderDrivers() -> void;
  // Returns the nodes that watch the platform on behalf of the others.
  auto Watchers() const -> std::vector<NodeId>;
  // Whether this node is one of them, or must stand in for them.
  auto WatchesPlatform() -> bool;
  auto TellPlatformAnswered() -> void;
  auto OwnsOrders(const ServiceName& service) const -> bool;
  auto OnLocalLoad(const routing::ReplicaLoad& load) -> void;
  auto PublishLoads() -> void;
  // Whether loads of this node are sent to `node` in a fleet of `fleet_size`.
  auto ReceivesLoads(const routing::NodeInfo& node,
                     std::size_t fleet_size) const -> bool;

  auto WatchConfiguration() -> asio::awaitable<void>;
  auto PollHosts() -> asio::awaitable<void>;
  auto TickBatch() -> asio::awaitable<void>;
  auto RunMaintenance() -> asio::awaitable<void>;
  auto TickDispatch() -> asio::awaitable<void>;
  auto PollLoads() -> asio::awaitable<void>;
  auto PollLoad(routing::Replica replica) -> asio::awaitable<void>;
  auto PublishLoadsLoop() -> asio::awaitable<void>;
  auto AwaitSignals() -> void;
  auto BeginStop() -> void;
  auto StopGracefully() -> asio::awaitable<void>;
  auto TrafficIdle() const -> bool;

  NodeSettings settings_;
  std::string fleet_credential_;
  Logger log_{"node"};
  MetricsRegistry metrics_;
  asio::io_context control_{1};
  kumquatgauge::detail::ProcessSignals signals_;
  std::atomic<bool> stopping_{false};
  pthread_t control_thread_ = pthread_self();

  TrafficPool traffic_;
  RoutingTable table_;
  ServiceDirectory directory_;
  RequestTraces traces_;
  DispatchService dispatch_;
  CompletionRouter router_;
  BatchItemRunner item_runner_;

  store::PlatformClient platform_;
  store::HttpObjectStore store_;
  store::HttpHostList host_list_;
  store::HttpWeightStore weights_;
  control::ConfigStore config_store_;
  control::Configuration configuration_;
  store::HostListSnapshot hosts_;

  std::unique_ptr<node::PeerClient> control_peers_;
  upstream::HttpEngineClient control_engines_;
  node::PeerServer peer_server_;
  node::Gossip gossip_;
  control::WatcherStandby standby_;
  control::NodeRegistry registry_;
  OnceService once_;
  std::shared_ptr<batch::BatchService> batch_;
  std::mutex batch_mutex_;
  std::map<ServiceName, std::unique_ptr<control::OrderDriver>> order_drivers_;

  NodeCallerBackend caller_backend_;
  NodeOperatorBackend operator_backend_;
  operators::CommandExecutor executor_;
  operators::OperatorServer operator_server_;
  std::unique_ptr<caller::CallerServer> caller_server_;

  std::mutex loads_mutex_;
  std::map<ReplicaId, routing::ReplicaLoad> changed_loads_;
  routing::LoadPublisher load_publisher_;
  std::atomic<std::uint64_t> control_bytes_sent_{0};
  std::atomic<std::uint64_t> control_bytes_received_{0};
  std::atomic<std::uint64_t> platform_calls_{0};
  std::atomic<std::size_t> live_members_{0};
};

NodeDaemon::Impl::Impl(NodeSettings settings,
                       std::string fleet_credential,
                       OperatorCredentials operators)
    : settings_(std::move(settings)),
      fleet_credential_(std::move(fleet_credential)),
      signals_(control_),
      traffic_(settings_.traffic_threads, MakeClientFactory()),
      table_(settings_.zone, SteadyNow, DrawRandom),
      dispatch_(
          traffic_,
          SteadyNow,
          [this] {
            auto settings = routing::DispatcherSettings();
            settings.online_queue = settings_.limits.queue;
            return settings;
          }(),
          [this](const OrganisationName& name) {
            return directory_.view()->OrganisationWeight(name);
          },
          [this](const ServiceName& service) {
            return directory_.BatchSettingsOf(service);
          },
          [this](const routing::ReplicaLoad& load) { OnLocalLoad(load); },
          metrics_),
      router_(settings_.name,
              traffic_,
              table_,
              dispatch_,
              traces_,
              SteadyNow,
              metrics_),
      item_runner_(traffic_, router_, table_),
      platform_(
          control_.get_executor(),
          [this] {
            auto options = store::PlatformOptions();
            options.address = settings_.platform_address;
            return options;
          }(),
          SteadyNow,
          DrawRandom),
      store_(platform_),
      host_list_(platform_),
      weights_(platform_),
      config_store_(store_, WallNow, DrawRandom),
      control_peers_(
          node::MakePeerClient(control_,
                               {.fleet_credential = fleet_credential_})),
      control_engines_(control_.get_executor()),
      peer_server_(control_,
                   traffic_.contexts(),
                   {.listen = settings_.nodes.listen,
                    .fleet_credential = fleet_credential_}),
      gossip_(control_,
              MakeGossipSettings(),
              *control_peers_,
              MakeGossipHooks(),
              SteadyNow,
              WallNow,
              DrawRandom),
      standby_(settings_.name,
               {.silence_limit = kWatcherSilenceLimit},
               SteadyNow),
      registry_(store_,
                kNodePrefix,
                settings_.name,
                settings_.nodes.listen,
                MakeRegistryHooks()),
      once_(
          settings_.name,
          gossip_.membership().self().incarnation,
          traffic_,
          table_,
          store_,
          control_,
          traces_,
          [this](const ServiceName& name) -> std::optional<PlainServiceTraits> {
            const auto spec = directory_.view()->FindService(name);
            if (!spec || spec->kind != control::ServiceKind::kPlain) {
              return std::nullopt;
            }
            return PlainServiceTraits{.repeatable = spec->repeatable};
          },
          SteadyNow,
          metrics_),
      batch_(MakeBatchService()),
      caller_backend_(MakeCallerDependencies()),
      operator_backend_(MakeOperatorDependencies()),
      executor_(operator_backend_,
                SteadyNow,
                [](Duration duration) { return Pause(duration); }),
      operator_server_(control_,
                       settings_.operators.listen,
                       std::move(operators),
                       executor_),
      load_publisher_(routing::LoadPublisherSettings(), SteadyNow) {
  RegisterHandlers();
  RegisterMetrics();
  peer_server_.Start();
  auto caller_settings = caller::CallerSettings();
  caller_settings.max_body_bytes = settings_.limits.max_body_bytes;
  caller_settings.max_headers = settings_.limits.max_headers;
  caller_settings.default_deadline = settings_.limits.default_deadline;
  caller_server_ = std::make_unique<caller::CallerServer>(
      traffic_.contexts(), settings_.callers.listen, caller_backend_,
      caller_settings);
}

auto NodeDaemon::Impl::MakeClientFactory() const -> ClientFactory {
  return {.engine =
              [](asio::io_context& context) {
                auto settings = upstream::EngineClientSettings();
                settings.first_byte_timeout = kFirstByteTimeout;
                return std::make_unique<upstream::HttpEngineClient>(
                    context.get_executor(), settings);
              },
          .service =
              [](asio::io_context& context) {
                return std::make_unique<upstream::HttpServiceClient>(
                    context.get_executor());
              },
          .peer =
              [credential = fleet_credential_](asio::io_context& context) {
                return node::MakePeerClient(context,
                                            {.fleet_credential = credential});
              }};
}

auto NodeDaemon::Impl::MakeGossipSettings() const -> node::GossipSettings {
  auto settings = node::GossipSettings();
  settings.self.id = settings_.name;
  settings.self.zone = settings_.zone;
  settings.self.node_address = settings_.nodes.listen;
  settings.self.caller_address = settings_.callers.advertise;
  settings.listen = settings_.nodes.listen;
  settings.fleet_credential = fleet_credential_;
  settings.seeds = settings_.nodes.seeds;
  return settings;
}

auto NodeDaemon::Impl::MakeRegistryHooks() -> control::NodeRegistryHooks {
  return node::MakeRegistryHooks(
      gossip_, [this] { return settings_.nodes.seeds; },
      [this](const std::string& reason) {
        log_.Warning("Cannot register with the platform yet.",
                     {{"error", reason}});
      });
}

auto NodeDaemon::Impl::RemoveFromRegistry() -> asio::awaitable<void> {
  try {
    co_await registry_.Remove();
  } catch (const Error& error) {
    log_.Warning("Cannot remove this node from the registry.",
                 {{"error", error.what()}});
  }
}

auto NodeDaemon::Impl::MakeGossipHooks() -> node::GossipHooks {
  return {
      .members_changed =
          [this](const std::vector<routing::NodeInfo>& nodes) {
            OnMembersChanged(nodes);
          },
      .restarted =
          [this](Incarnation incarnation) { OnRestarted(incarnation); },
      .read_feed = [this](
                       const std::string& feed,
                       std::uint64_t since) { return ReadFeed(feed, since); },
      .apply_feed =
          [this](const std::string& feed, std::uint64_t revision,
                 const nlohmann::json& content) {
            return ApplyFeed(feed, revision, content);
          },
      .datagram = [this](const nlohmann::json& message,
                         const std::string& /*from*/) { OnDatagram(message); }};
}

auto NodeDaemon::Impl::MakeBatchService()
    -> std::shared_ptr<batch::BatchService> {
  auto hooks = batch::BatchServiceHooks();
  hooks.clock = SteadyNow;
  hooks.wall_clock = WallNow;
  hooks.random = DrawRandom;
  hooks.live_nodes = [this] {
    auto nodes = std::vector<NodeId>();
    for (const auto& node : gossip_.membership().live()) {
      if (!node.leaving) {
        nodes.push_back(node.id);
      }
    }
    return nodes;
  };
  hooks.isolated = [this] { return gossip_.membership().isolated(); };
  hooks.send_job_notice = [this](const NodeId& node,
                                 const batch::JobNotice& notice) {
    const auto record = gossip_.membership().Find(node);
    if (!record) {
      return;
    }
    gossip_.SendDatagram(record->info.node_address, batch::ToMessage(notice));
  };
  hooks.log = [log = Logger("batch")](const std::string& line) {
    log.Info(line);
  };
  return std::make_shared<batch::BatchService>(
      store_, item_runner_, settings_.name,
      gossip_.membership().self().incarnation, std::move(hooks));
}

auto NodeDaemon::Impl::MakeCallerDependencies()
    -> NodeCallerBackend::Dependencies {
  return {.self = settings_.name,
          .answer_ttl = settings_.callers.answer_ttl,
          .table = table_,
          .directory = directory_,
          .router = router_,
          .once = once_,
          .batch =
              [this] {
                const auto lock = std::lock_guard(batch_mutex_);
                return batch_;
              },
          .control = control_,
          .metrics = metrics_,
          .random = DrawRandom};
}

auto NodeDaemon::Impl::MakeOperatorDependencies()
    -> NodeOperatorBackend::Dependencies {
  return {.self = settings_.name,
          .config_store = config_store_,
          .gossip = gossip_,
          .peers = *control_peers_,
          .table = table_,
          .dispatch = dispatch_,
          .traces = traces_,
          .platform = platform_,
          .registry = registry_,
          .seeds = settings_.nodes.seeds,
          .batch = [this] { return batch_; },
          .configuration = [this] { return configuration_; },
          .apply =
              [this](const control::Configuration& configuration) {
                ApplyConfiguration(configuration);
              },
          .drain = [this] { BeginStop(); },
          .random = DrawRandom,
          .orders =
              [this] {
                auto all = std::vector<control::OrderStatus>();
                for (const auto& [service, driver] : order_drivers_) {
                  const auto some = driver->controller().Status(SteadyNow());
                  all.insert(all.end(), some.begin(), some.end());
                }
                return all;
              }};
}

auto NodeDaemon::Impl::RegisterHandlers() -> void {
  gossip_.RegisterHandlers(peer_server_);
  peer_server_.Register(
      "dispatch", [this](nlohmann::json request,
                         std::shared_ptr<node::Responder> responder) {
        return router_.HandleDispatch(std::move(request), std::move(responder));
      });
  peer_server_.Register(
      "once", [this](nlohmann::json request,
                     std::shared_ptr<node::Responder> responder) {
        return once_.HandleOnce(std::move(request), std::move(responder));
      });
  peer_server_.Register(
      "query",
      [this](nlohmann::json request, std::shared_ptr<node::Responder> responder)
          -> asio::awaitable<void> {
        return HandleQuery(std::move(request), std::move(responder));
      });
}

auto NodeDaemon::Impl::HandleQuery(nlohmann::json request,
                                   std::shared_ptr<node::Responder> responder)
    -> asio::awaitable<void> {
  auto frame = nlohmann::json();
  frame["answer"] = co_await asio::co_spawn(
      control_, AnswerOnControl(std::move(request)), asio::use_awaitable);
  responder->Send(frame);
}

auto NodeDaemon::Impl::AnswerOnControl(nlohmann::json query)
    -> asio::awaitable<nlohmann::json> {
  co_return operator_backend_.AnswerQuery(query);
}

auto NodeDaemon::Impl::RegisterMetrics() -> void {
  metrics_.AddGauge("kqg_control_cpu_seconds",
                    [this] { return CpuSeconds(control_thread_); });
  metrics_.AddGauge("kqg_process_resident_bytes", ResidentBytes);
  metrics_.AddGauge("kqg_control_sent_bytes", [this] {
    return static_cast<double>(control_bytes_sent_);
  });
  metrics_.AddGauge("kqg_control_received_bytes", [this] {
    return static_cast<double>(control_bytes_received_);
  });
  metrics_.AddGauge("kqg_platform_calls",
                    [this] { return static_cast<double>(platform_calls_); });
  metrics_.AddGauge("kqg_members",
                    [this] { return static_cast<double>(live_members_); });
  metrics_.AddGauge("kqg_configuration_revision", [this] {
    return static_cast<double>(directory_.view()->revision());
  });
  metrics_.AddGauge("kqg_dispatch_in_flight", [this] {
    return static_cast<double>(dispatch_.in_flight());
  });
}

auto NodeDaemon::Impl::OnMembersChanged(
    const std::vector<routing::NodeInfo>& nodes) -> void {
  table_.SetNodes(nodes);
  live_members_ = nodes.size();
  platform_.SetFleetSize(static_cast<std::uint32_t>(nodes.size()));
  const auto peers = std::count_if(
      nodes.begin(), nodes.end(),
      [&](const auto& node) { return ReceivesLoads(node, nodes.size()); });
  load_publisher_.set_peers(static_cast<std::uint32_t>(peers));
}

auto NodeDaemon::Impl::OnRestarted(Incarnation incarnation) -> void {
  log_.Warning("Restarted under a new incarnation.",
               {{"incarnation", std::to_string(incarnation)}});
  once_.Restart(incarnation);
  auto service = MakeBatchService();
  const auto lock = std::lock_guard(batch_mutex_);
  batch_ = std::move(service);
}

auto NodeDaemon::Impl::ReadFeed(const std::string& feed,
                                std::uint64_t since) const -> nlohmann::json {
  if (feed == "config") {
    return control::ToJson(configuration_.ChangesSince(since));
  }
  return HostsToJson(hosts_);
}

auto NodeDaemon::Impl::ApplyFeed(const std::string& feed,
                                 std::uint64_t /*revision*/,
                                 const nlohmann::json& content)
    -> std::uint64_t {
  if (feed == "config") {
    const auto next = configuration_.Apply(control::ParseConfigDelta(content));
    config_store_.Advance(next);
    ApplyConfiguration(next);
    return configuration_.revision();
  }
  ApplyHosts(HostsFromJson(content));
  return hosts_.version;
}

auto NodeDaemon::Impl::OnDatagram(const nlohmann::json& message) -> void {
  const auto type = message.value("t", "");
  if (type == "load") {
    table_.OnLoad(node::ReplicaLoadFrom(message.at("load")));
  } else if (type == kPlatformDatagram) {
    standby_.OnStoreAnswered(NodeId(message.at("n").get<std::string>()),
                             Watchers());
  } else if (const auto notice = batch::JobNoticeFrom(message)) {
    batch_->OnJobNotice(*notice);
  }
}

auto NodeDaemon::Impl::ApplyConfiguration(
    const control::Configuration& configuration) -> void {
  if (configuration.revision() <= configuration_.revision()) {
    return;
  }
  configuration_ = configuration;
  directory_.Set(std::make_shared<const ServiceView>(configuration_));
  RebuildReplicas();
  UpdateOrderDrivers();
  caller_backend_.set_ready(true);
  gossip_.OnFeedApplied("config", configuration_.revision());
  log_.Info("Configuration in force.",
            {{"revision", std::to_string(configuration_.revision())}});
}

auto NodeDaemon::Impl::ApplyHosts(store::HostListSnapshot hosts) -> void {
  if (hosts.version <= hosts_.version) {
    return;
  }
  hosts_ = std::move(hosts);
  RebuildReplicas();
  gossip_.OnFeedApplied("hosts", hosts_.version);
}

auto NodeDaemon::Impl::RebuildReplicas() -> void {
  auto replicas = BuildReplicas(configuration_, hosts_);
  dispatch_.SetReplicas(replicas);
  table_.SetReplicas(std::move(replicas));
}

auto NodeDaemon::Impl::OwnsOrders(const ServiceName& service) const -> bool {
  auto best = std::optional<std::pair<std::uint64_t, NodeId>>();
  for (const auto& node : gossip_.membership().live()) {
    if (!node.leaving) {
      const auto text = service.value() + "/" + node.id.value();
      const auto rank =
          std::pair(XXH3_64bits(text.data(), text.size()), node.id);
      best = best ? std::max(*best, rank) : rank;
    }
  }
  return best && best->second == settings_.name;
}

auto NodeDaemon::Impl::UpdateOrderDrivers() -> void {
  for (const auto& spec : configuration_.Services()) {
    if (spec.kind != control::ServiceKind::kModel ||
        order_drivers_.contains(spec.name)) {
      continue;
    }
    auto environment = control::OrderDriver::Environment{
        .store = store_,
        .weights = weights_,
        .engines = control_engines_,
        .node = settings_.name,
        .incarnation = gossip_.membership().self().incarnation,
        .clock = SteadyNow,
        .random = DrawRandom,
        .configuration = [this] { return configuration_; },
        .responsible = [this, name = spec.name] { return OwnsOrders(name); }};
    auto driver = std::make_unique<control::OrderDriver>(
        spec.name, std::move(environment), control::OrderOptions());
    asio::co_spawn(control_, driver->Run(), asio::detached);
    order_drivers_.emplace(spec.name, std::move(driver));
  }
}

auto NodeDaemon::Impl::Watchers() const -> std::vector<NodeId> {
  auto zones = std::map<ZoneName, std::map<std::uint64_t, NodeId>>();
  for (const auto& node : gossip_.membership().live()) {
    zones[node.zone].emplace(WatchRank(node.id), node.id);
  }
  auto watchers = std::vector<NodeId>();
  for (const auto& [zone, nodes] : zones) {
    auto node = nodes.begin();
    for (auto rank = std::size_t{0};
         rank < kWatchersPerZone && node != nodes.end(); ++rank, ++node) {
      watchers.push_back(node->second);
    }
  }
  return watchers;
}

auto NodeDaemon::Impl::WatchesPlatform() -> bool {
  const auto watchers = Watchers();
  return std::find(watchers.begin(), watchers.end(), settings_.name) !=
             watchers.end() ||
         standby_.MustWatch(gossip_.membership().live(), watchers);
}

auto NodeDaemon::Impl::TellPlatformAnswered() -> void {
  standby_.OnStoreAnswered(settings_.name, Watchers());
  const auto message =
      nlohmann::json{{"t", kPlatformDatagram}, {"n", settings_.name.value()}};
  for (const auto& node : gossip_.membership().live()) {
    if (node.id != settings_.name) {
      gossip_.SendDatagram(node.node_address, message);
    }
  }
}

auto NodeDaemon::Impl::OnLocalLoad(const routing::ReplicaLoad& load) -> void {
  table_.OnLoad(load);
  const auto lock = std::lock_guard(loads_mutex_);
  changed_loads_[load.replica] = load;
}

auto NodeDaemon::Impl::ReceivesLoads(const routing::NodeInfo& node,
                                     std::size_t fleet_size) const -> bool {
  return node.id != settings_.name &&
         (fleet_size <= routing::kMaxBroadcastNodes ||
          node.zone == settings_.zone);
}

auto NodeDaemon::Impl::PublishLoads() -> void {
  auto changed = std::map<ReplicaId, routing::ReplicaLoad>();
  {
    const auto lock = std::lock_guard(loads_mutex_);
    changed.swap(changed_loads_);
  }
  auto due = load_publisher_.OnTick();
  for (const auto& [replica, load] : changed) {
    const auto more = load_publisher_.OnLoad(load);
    due.insert(due.end(), more.begin(), more.end());
  }
  if (due.empty()) {
    return;
  }
  const auto nodes = gossip_.membership().live();
  for (const auto& node : nodes) {
    if (!ReceivesLoads(node, nodes.size())) {
      continue;
    }
    for (const auto& load : due) {
      auto message = nlohmann::json();
      message["t"] = "load";
      message["load"] = node::ToMessage(load);
      gossip_.SendDatagram(node.node_address, message);
    }
  }
}

auto NodeDaemon::Impl::PublishLoadsLoop() -> asio::awaitable<void> {
  while (true) {
    co_await Pause(kLoadPublishInterval);
    PublishLoads();
  }
}

auto NodeDaemon::Impl::WatchConfiguration() -> asio::awaitable<void> {
  auto watcher = control::ConfigWatcher(
      store_, config_store_, SteadyNow, DrawRandom,
      [this](const control::ConfigDelta& delta) {
        try {
          ApplyConfiguration(configuration_.Apply(delta));
        } catch (const Error&) {
          // Changes before the delta are missing here, as nodes apply revisions
          // at different times. The store has the complete configuration.
          ApplyConfiguration(config_store_.latest());
        }
      });
  while (true) {
    if (!WatchesPlatform() && configuration_.revision() > 0) {
      co_await Pause(kWatcherIdleInterval);
      continue;
    }
    auto failed = false;
    try {
      co_await watcher.Step();
      TellPlatformAnswered();
      ApplyConfiguration(config_store_.latest());
    } catch (const Error& error) {
      failed = true;
      log_.Debug("Cannot read the configuration.", {{"error", error.what()}});
    }
    if (failed) {
      co_await Pause(kWatcherIdleInterval);
    }
  }
}

auto NodeDaemon::Impl::PollHosts() -> asio::awaitable<void> {
  // Every node reads the list once itself; later versions reach it from the
  // watchers.
  auto fetched = false;
  while (true) {
    if (WatchesPlatform() || !fetched) {
      try {
        auto hosts = co_await host_list_.Fetch();
        fetched = true;
        ApplyHosts(std::move(hosts));
      } catch (const Error& error) {
        log_.Debug("Cannot read the host list.", {{"error", error.what()}});
      }
    }
    co_await Pause(kHostPollInterval);
  }
}

auto NodeDaemon::Impl::TickBatch() -> asio::awaitable<void> {
  while (true) {
    co_await Pause(kBatchTickInterval);
    const auto service = batch_;
    co_await service->Tick();
  }
}

auto NodeDaemon::Impl::RunMaintenance() -> asio::awaitable<void> {
  while (true) {
    co_await Pause(kMaintenanceInterval);
    table_.OnTick();
    once_.OnTick();
    const auto counters = gossip_.counters();
    control_bytes_sent_ = counters.sent_bytes;
    control_bytes_received_ = counters.received_bytes;
    const auto& calls = platform_.counts();
    auto total = calls.watches;
    for (auto index = std::size_t{0}; index < store::kCallClasses; ++index) {
      total += calls.reads.at(index) + calls.writes.at(index);
    }
    platform_calls_ = total;
  }
}

auto NodeDaemon::Impl::TickDispatch() -> asio::awaitable<void> {
  while (true) {
    co_await Pause(kDispatchTickInterval);
    dispatch_.OnTick();
  }
}

auto NodeDaemon::Impl::PollLoads() -> asio::awaitable<void> {
  const auto executor = co_await asio::this_coro::executor;
  while (true) {
    for (auto& replica : table_.replicas()) {
      const auto dispatcher = table_.DispatcherOf(replica);
      if (replica.kind == routing::UpstreamKind::kModelEngine && dispatcher &&
          dispatcher->id == settings_.name) {
        asio::co_spawn(executor, PollLoad(std::move(replica)), asio::detached);
      }
    }
    co_await Pause(kLoadPollInterval);
  }
}

auto NodeDaemon::Impl::PollLoad(routing::Replica replica)
    -> asio::awaitable<void> {
  try {
    const auto report =
        co_await traffic_.current().engine().Load(replica.address);
    dispatch_.OnLoadReport(replica.id, report);
    co_return;
  } catch (const Error&) {
    // Handled below.
  }
  dispatch_.OnLoadReportFailed(replica.id);
}

auto NodeDaemon::Impl::AwaitSignals() -> void {
  signals_.Start([this](int signal) {
    if (signal == SIGHUP) {
      log_.Info("SIGHUP ignored; the configuration is in the store.");
      return true;
    }
    BeginStop();
    return false;
  });
}

auto NodeDaemon::Impl::BeginStop() -> void {
  if (stopping_.exchange(true)) {
    return;
  }
  asio::co_spawn(control_, StopGracefully(), asio::detached);
}

auto NodeDaemon::Impl::TrafficIdle() const -> bool {
  return caller_server_->connections() == 0 && dispatch_.in_flight() == 0 &&
         once_.in_flight() == 0 && batch_->drained();
}

auto NodeDaemon::Impl::StopGracefully() -> asio::awaitable<void> {
  log_.Info("Planned stop begins.");
  const auto begin = SteadyNow();
  const auto limit = begin + settings_.limits.stop;
  gossip_.Leave();
  batch_->BeginDrain();
  // Callers may use this node's address until the address lists that they have
  // received expire.
  co_await Pause(
      std::min<Duration>(settings_.callers.answer_ttl, settings_.limits.stop));
  caller_server_->Stop();
  while (!TrafficIdle() && SteadyNow() < limit) {
    co_await Pause(kStopCheckInterval);
  }
  const auto clean = TrafficIdle();
  registry_.Stop();
  co_await RemoveFromRegistry();
  gossip_.Stop();
  co_await peer_server_.Stop(kPeerStopLimit);
  if (clean) {
    log_.Info("Planned stop ended.");
  } else {
    log_.Warning("Planned stop reached its limit with work in flight.");
  }
  operator_server_.Stop();
  control_.stop();
}

// Starts all work once other nodes and callers can reach this node: one that
// knows no others would take over their work.
auto NodeDaemon::Impl::Begin() -> asio::awaitable<void> {
  while (!caller_server_->listening() || !peer_server_.listening() ||
         !gossip_.bound()) {
    co_await Pause(kListenPollInterval);
    if (stopping_) {
      co_return;
    }
  }
  gossip_.Start();
  OnMembersChanged(gossip_.membership().live());
  asio::co_spawn(control_, registry_.Run(), asio::detached);
  asio::co_spawn(control_, WatchConfiguration(), asio::detached);
  asio::co_spawn(control_, PollHosts(), asio::detached);
  asio::co_spawn(control_, TickBatch(), asio::detached);
  asio::co_spawn(control_, RunMaintenance(), asio::detached);
  asio::co_spawn(control_, PublishLoadsLoop(), asio::detached);
  asio::co_spawn(*traffic_.contexts().front(), TickDispatch(), asio::detached);
  asio::co_spawn(*traffic_.contexts().front(), PollLoads(), asio::detached);
}

auto NodeDaemon::Impl::Run() -> void {
  control_thread_ = pthread_self();
  traffic_.Start();
  AwaitSignals();
  asio::co_spawn(control_, Begin(), asio::detached);
  log_.Info("Node started.", {{"name", settings_.name.value()},
                              {"zone", settings_.zone.value()},
                              {"callers", settings_.callers.listen},
                              {"operators", settings_.operators.listen},
                              {"nodes", settings_.nodes.listen}});
  control_.run();
  traffic_.Stop();
}

NodeDaemon::NodeDaemon(NodeSettings settings,
                       std::string fleet_credential,
                       OperatorCredentials operators)
    : impl_(std::make_unique<Impl>(std::move(settings),
                                   std::move(fleet_credential),
                                   std::move(operators))) {}

NodeDaemon::~NodeDaemon() = default;

auto NodeDaemon::Run() -> void {
  impl_->Run();
}

}  // namespace kumquatgauge::daemon
