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

// A change of one configuration key, with what the audit trail needs.
struct ConfigurationChange {
  std::string operation_id;  // A repeated one has no new effect.
  std::string who;
  std::string from;     // Address that the command came from.
  std::string command;  // The line as sent.
  std::string key;      // "KIND/NAME"
  nlohmann::json fields = nlohmann::json::object();
  // create: the key must not exist; set: `fields` replace those of the key;
  // remove: the key goes.
  enum class Mode { kCreate, kSet, kRemove } mode = Mode::kSet;
  std::optional<std::uint64_t> expected_revision;

  auto operator==(const ConfigurationChange&) const -> bool = default;
};

struct ChangeResult {
  std::uint64_t revision_before = 0;
  std::uint64_t revision = 0;
  nlohmann::json before;  // null: the key did not exist.
  nlohmann::json after;   // null: the key is gone.

  auto operator==(const ChangeResult&) const -> bool = default;
};

// The configuration revision that a node says is in force on it.
struct NodeRevision {
  NodeId node;
  std::optional<std::uint64_t> revision;  // Empty: it did not answer.

  auto operator==(const NodeRevision&) const -> bool = default;
};

// What commands act on; implemented by the daemon. Runs on the control thread.
// All calls throw Error.
class OperatorBackend {
 public:
  virtual ~OperatorBackend() = default;

  // The kinds that `show` knows, in the plural: "jobs", "nodes", ...
  virtual auto kinds() const -> std::vector<std::string> = 0;
  // All rows of a kind, each an object. `names` narrows where that saves work.
  virtual auto Rows(const std::string& kind, std::vector<std::string> names)
      -> boost::asio::awaitable<nlohmann::json> = 0;
  // An object that tells why, for explain KIND NAMES.
  virtual auto Explain(std::string kind, std::vector<std::string> names)
      -> boost::asio::awaitable<nlohmann::json> = 0;
  // What the change would do, without doing it.
  virtual auto Preview(ConfigurationChange change)
      -> boost::asio::awaitable<ChangeResult> = 0;
  virtual auto Change(ConfigurationChange change)
      -> boost::asio::awaitable<ChangeResult> = 0;
  virtual auto CancelJob(std::string job, std::string who)
      -> boost::asio::awaitable<nlohmann::json> = 0;
  // Asks a node for a planned stop.
  virtual auto DrainNode(std::string node)
      -> boost::asio::awaitable<nlohmann::json> = 0;
  virtual auto RevisionsInForce()
      -> boost::asio::awaitable<std::vector<NodeRevision>> = 0;
  // Lists the names under which nodes are registered with the platform.
  virtual auto RegisteredNodes()
      -> boost::asio::awaitable<std::vector<NodeId>> = 0;
  // Names or addresses of nodes that exist according to the registry or the
  // settings, but of which this node has not heard yet.
  virtual auto NodesNotHeardOf(const std::vector<NodeId>& registered) const
      -> std::vector<std::string> = 0;
  // Changes the log level of this node.
  virtual auto SetLogLevel(const std::string& level) -> void = 0;
};

}  // namespace kumquatgauge::operators

#endif  // KUMQUATGAUGE_OPERATOR_OPERATOR_BACKEND_H_
