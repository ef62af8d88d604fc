#ifndef KUMQUATGAUGE_OPERATOR_OPERATOR_BACKEND_H_
#define KUMQUATGAUGE_OPERATOR_OPERATOR_BACKEND_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"

namespace kumquatgauge::operators {

// A change of one configuration key, with the facts for the audit trail.
struct ConfigurationChange {
  std::string operation_id;  // Repeating an operation has no further effect.
  std::string operator_name;
  std::string source_address;  // Address that sent the command.
  std::string command;         // The command line as sent.
  std::string key;             // "KIND/NAME"
  nlohmann::json fields = nlohmann::json::object();
  // kCreate: the key must not exist; kSet: `fields` replace those of the key;
  // kRemove: the key is deleted.
  enum class Mode { kCreate, kSet, kRemove } mode = Mode::kSet;
  std::optional<std::uint64_t> expected_revision;

  auto operator==(const ConfigurationChange&) const -> bool = default;
};

struct ChangeResult {
  std::uint64_t revision_before = 0;
  std::uint64_t revision = 0;
  nlohmann::json before;  // null if the key did not exist.
  nlohmann::json after;   // null if the key was deleted.

  auto operator==(const ChangeResult&) const -> bool = default;
};

// The configuration revision that a node reports as in force.
struct NodeRevision {
  NodeId node;
  std::optional<std::uint64_t> revision;  // Empty if the node did not respond.

  auto operator==(const NodeRevision&) const -> bool = default;
};

// The operations that commands need from the daemon, which implements them.
// Called on the control thread. Every call may throw Error.
class OperatorBackend {
 public:
  virtual ~OperatorBackend() = default;

  // Returns the kinds that `show` accepts, in the plural: "jobs", "nodes", ...
  virtual auto kinds() const -> std::vector<std::string> = 0;
  // Returns the rows of a kind, each an object. The backend may leave out rows
  // other than those of `names` where that saves work.
  virtual auto Rows(const std::string& kind, std::vector<std::string> names)
      -> boost::asio::awaitable<nlohmann::json> = 0;
  // Returns the result of `explain KIND NAMES`: an object with the reasons
  // behind the state of what is named.
  virtual auto Explain(std::string kind, std::vector<std::string> names)
      -> boost::asio::awaitable<nlohmann::json> = 0;
  // Returns what the change would do, without applying it.
  virtual auto Preview(ConfigurationChange change)
      -> boost::asio::awaitable<ChangeResult> = 0;
  virtual auto Change(ConfigurationChange change)
      -> boost::asio::awaitable<ChangeResult> = 0;
  virtual auto CancelJob(std::string job, std::string operator_name)
      -> boost::asio::awaitable<nlohmann::json> = 0;
  // Asks a node to stop gracefully.
  virtual auto DrainNode(std::string node)
      -> boost::asio::awaitable<nlohmann::json> = 0;
  virtual auto RevisionsInForce()
      -> boost::asio::awaitable<std::vector<NodeRevision>> = 0;
  // Returns the names under which nodes are registered with the platform.
  virtual auto RegisteredNodes()
      -> boost::asio::awaitable<std::vector<NodeId>> = 0;
  // Returns the names or addresses of nodes that are listed in the registry or
  // the settings but are not yet members in the view of this node.
  virtual auto NodesNotHeardOf(const std::vector<NodeId>& registered) const
      -> std::vector<std::string> = 0;
  // Sets the log level of this node.
  virtual auto SetLogLevel(const std::string& level) -> void = 0;
};

}  // namespace kumquatgauge::operators

#endif  // KUMQUATGAUGE_OPERATOR_OPERATOR_BACKEND_H_
