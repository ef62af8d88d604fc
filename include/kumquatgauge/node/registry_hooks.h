#ifndef KUMQUATGAUGE_NODE_REGISTRY_HOOKS_H_
#define KUMQUATGAUGE_NODE_REGISTRY_HOOKS_H_

#include <functional>
#include <string>
#include <vector>

#include "kumquatgauge/control/node_registry.h"

namespace kumquatgauge::node {

class Gossip;

// Makes the hooks of a node registry that passes what it finds to `gossip`:
// the configured seeds and the registered addresses become its seeds. `gossip`
// must outlive the registry.
auto MakeRegistryHooks(Gossip& gossip,
                       std::function<auto()->std::vector<std::string>> seeds,
                       std::function<auto(const std::string&)->void> failed)
    -> control::NodeRegistryHooks;

}  // namespace kumquatgauge::node

#endif  // KUMQUATGAUGE_NODE_REGISTRY_HOOKS_H_
