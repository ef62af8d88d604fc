#ifndef KUMQUATGAUGE_DAEMON_NODE_OPERATOR_BACKEND_H_
#define KUMQUATGAUGE_DAEMON_NODE_OPERATOR_BACKEND_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "kumquatgauge/base/time.h"
#include "kumquatgauge/batch/batch_service.h"
#include "kumquatgauge/control/config_store.h"
#include "kumquatgauge/control/node_registry.h"
#include "kumquatgauge/control/orders.h"
#include "kumquatgauge/daemon/dispatch_service.h"
#include "kumquatgauge/daemon/request_traces.h"
#include "kumquatgauge/daemon/routing_table.h"
#include "kumquatgauge/node/gossip.h"
#include "kumquatgauge/node/peer.h"
#include "kumquatgauge/operator/operator_backend.h"
#include "kumquatgauge/store/platform_client.h"

namespace kumquatgauge::daemon {

// Executes operators' commands on the control thread. Fetches what only another
// node knows from that node with the message "query".
class NodeOperatorBackend : public operators::OperatorBackend {
 public:
  struct Dependencies {
    NodeId self;
    control::ConfigStore& config_store;
    node::Gossip& gossip;
    node::PeerClient& peers;
    RoutingTable& table;
    DispatchService& dispatch;
    RequestTraces& traces;
    store::PlatformClient& platform;
    control::NodeRegistry& registry;
    std::vector<std::string> seeds;  // From the settings.
    std::function<auto()->std::shared_ptr<batch::BatchService>> batch;
    // The configuration in force here.
    std::function<auto()->control::Configuration> configuration;
    // Applies what this node has just written to the platform.
    std::function<auto(const control::Configuration&)->void> apply;
    // Starts a planned stop of this node.
    std::function<auto()->void> drain;
    // For the operation ids of changes that come without one.
    RandomSource random;
    // Differences between the desired and the observed state of upstreams.
    std::function<auto()->std::vector<control::OrderStatus>> orders;
  };

  explicit NodeOperatorBackend(Dependencies dependencies);

  auto kinds() const -> std::vector<std::string> override;
  auto Rows(const std::string& kind, std::vector<std::string> names)
      -> boost::asio::awaitable<nlohmann::json> override;
  auto Explain(std::string kind, std::vector<std::string> names)
      -> boost::asio::awaitable<nlohmann::json> override;
  auto Preview(operators::ConfigurationChange change)
      -> boost::asio::awaitable<operators::ChangeResult> override;
  auto Change(operators::ConfigurationChange change)
      -> boost::asio::awaitable<operators::ChangeResult> override;
  auto CancelJob(std::string job, std::string who)
      -> boost::asio::awaitable<nlohmann::json> override;
  auto DrainNode(std::string node)
      -> boost::asio::awaitable<nlohmann::json> override;
  auto RevisionsInForce()
      -> boost::asio::awaitable<std::vector<operators::NodeRevision>> override;
  auto RegisteredNodes()
      -> boost::asio::awaitable<std::vector<NodeId>> override;
  auto NodesNotHeardOf(const std::vector<NodeId>& registered) const
      -> std::vector<std::string> override;
  auto SetLogLevel(const std::string& level) -> void override;

  // Answers the message "query" of another node; on the control thread.
  auto AnswerQuery(const nlohmann::json& query) -> nlohmann::json;

 private:
  // The answer of one live node.
  struct NodeAnswer {
    NodeId node;
    nlohmann::json answer;  // Null when there was none in time.
  };

  auto AskAll(nlohmann::json query)
      -> boost::asio::awaitable<std::vector<NodeAnswer>>;
  auto Ask(routing::NodeInfo node, nlohmann::json query)
      -> boost::asio::awaitable<nlohmann::json>;
  auto CollectRows(const std::string& kind)
      -> boost::asio::awaitable<nlohmann::json>;
  auto ConfigRows(const std::string& kind) const -> nlohmann::json;
  auto UpstreamRows() const -> nlohmann::json;
  auto NodeRows() const -> nlohmann::json;
  auto LocalRows(const std::string& kind) const -> nlohmann::json;
  auto AuditRows() -> boost::asio::awaitable<nlohmann::json>;
  auto ExplainRequest(const std::string& id)
      -> boost::asio::awaitable<nlohmann::json>;
  auto ExplainJob(const std::string& id)
      -> boost::asio::awaitable<nlohmann::json>;
  auto ExplainItem(const std::string& job, const std::string& custom_id)
      -> boost::asio::awaitable<nlohmann::json>;
  auto ExplainNode(const std::string& name) const -> nlohmann::json;
  auto ExplainUpstream(const std::string& name) const -> nlohmann::json;
  auto ExplainConfiguration(const std::string& key)
      -> boost::asio::awaitable<nlohmann::json>;

  Dependencies dependencies_;
};

}  // namespace kumquatgauge::daemon

#endif  // KUMQUATGAUGE_DAEMON_NODE_OPERATOR_BACKEND_H_
