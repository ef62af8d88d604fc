#ifndef KUMQUATGAUGE_DAEMON_NODE_DAEMON_H_
#define KUMQUATGAUGE_DAEMON_NODE_DAEMON_H_

#include <memory>
#include <string>

#include "kumquatgauge/base/credential.h"
#include "kumquatgauge/base/settings.h"

namespace kumquatgauge::daemon {

// One node: all parts of the system in one process.
class NodeDaemon {
 public:
  // Binds the listen addresses. Throws Error with the address that is in use.
  NodeDaemon(NodeSettings settings,
             std::string fleet_credential,
             OperatorCredentials operators);
  ~NodeDaemon();
  NodeDaemon(const NodeDaemon&) = delete;
  auto operator=(const NodeDaemon&) -> NodeDaemon& = delete;

  // Runs the control thread until a planned stop (SIGTERM, SIGINT or a drain
  // command) has ended.
  auto Run() -> void;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::daemon

#endif  // KUMQUATGAUGE_DAEMON_NODE_DAEMON_H_
