#ifndef KUMQUATGAUGE_CONTROL_NODE_REGISTRY_H_
#define KUMQUATGAUGE_CONTROL_NODE_REGISTRY_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/control/membership.h"
#include "kumquatgauge/store/object_store.h"

namespace kumquatgauge::control {

// What a node registry needs from its owner; all are called on its thread.
struct NodeRegistryHooks {
  std::function<auto(Duration)->boost::asio::awaitable<void>> pause;
  RandomSource random;
  // Whether this node is already in contact with that one.
  std::function<auto(const NodeId&)->bool> is_member;
  // Addresses under which other nodes are registered.
  std::function<auto(std::vector<std::string>)->void> found;
  // A try that failed, with the reason. It is repeated.
  std::function<auto(const std::string&)->void> failed;
};

// Registers this node in the object store under a key of its own, and finds
// other nodes there. The configured seeds of a node may all be down or
// replaced, and a node without seeds knows of others only by the registry.
class NodeRegistry {
 public:
  // All keys of a fleet are `prefix` with the name of a node.
  NodeRegistry(store::ObjectStore& store,
               std::string prefix,
               const NodeId& name,
               const std::string& address,
               NodeRegistryHooks hooks);

  // Registers this node and then lists the others. Of two nodes that register
  // at the same time, at least one finds the other, since each lists after its
  // own entry is stored. Lists a second time if it has met no node of the first
  // list. Repeats calls that failed. Returns when that is done or Stop has been
  // called.
  auto Run() -> boost::asio::awaitable<void>;
  auto Stop() -> void { stopped_ = true; }
  // Whether the store has shown, after this node was registered there, that
  // there is no other node.
  auto alone() const -> bool { return alone_; }
  // Lists the names of all registered nodes. Throws Error.
  auto Names() -> boost::asio::awaitable<std::vector<NodeId>>;
  // Removes the entry of this node, for a planned stop. Throws Error.
  auto Remove() -> boost::asio::awaitable<void>;

 private:
  auto HasMetListed() const -> bool;
  // Throws Error.
  auto Register() -> boost::asio::awaitable<void>;
  auto CreateEntry() -> boost::asio::awaitable<void>;
  auto ExtractOwnEntry(std::vector<store::ListEntry>& entries) const
      -> std::optional<store::ListEntry>;
  // Throws Error.
  auto IsUpToDate(store::ListEntry own) -> boost::asio::awaitable<bool>;
  auto ReadAddresses(std::vector<store::ListEntry> entries)
      -> boost::asio::awaitable<std::vector<std::string>>;

  store::ObjectStore& store_;
  std::string prefix_;
  std::string key_;
  std::string value_;
  NodeRegistryHooks hooks_;
  std::vector<NodeId> listed_;  // Other nodes in the last list.
  // Version of the own entry; empty if this node has not stored or found it.
  std::optional<std::uint64_t> version_;
  bool stopped_ = false;
  bool alone_ = false;
};

// Returns the nodes that are known to exist but of which there is no record:
// registered names and addresses of seeds.
auto NodesNotHeardOf(const std::vector<MemberRecord>& records,
                     const std::vector<std::string>& seeds,
                     const std::vector<NodeId>& registered)
    -> std::vector<std::string>;

}  // namespace kumquatgauge::control

#endif  // KUMQUATGAUGE_CONTROL_NODE_REGISTRY_H_
