#ifndef TESTING_SCENARIO_FLEET_H_
#define TESTING_SCENARIO_FLEET_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "testing/scenario/child_process.h"
#include "testing/scenario/http_fetch.h"
#include "testing/support/reserved_ports.h"

namespace kumquatgauge::testing {

// Command-line options of a program, without the leading dashes.
using ProgramOptions = std::map<std::string, std::string>;

// The processes of one scenario: fakes and nodes on 127.0.0.1.
class Fleet {
 public:
  // `build` holds the programs; logs and settings go to `folder`.
  Fleet(std::string build, std::string folder);

  // Throws std::runtime_error when the fake does not start.
  auto StartFake(const std::string& name,
                 const std::string& program,
                 const ProgramOptions& options) -> void;
  auto StartNode(const std::string& name, const std::string& zone) -> void;
  // Restarts a node, which is killed if it still runs, with the same settings.
  auto RestartNode(const std::string& name) -> void;
  // Kills all these nodes and starts them again in this order.
  auto RestartNodes(const std::vector<std::string>& order) -> void;

  auto process(const std::string& name) -> ChildProcess&;
  // Address of a fake.
  auto address(const std::string& name) const -> const std::string&;
  auto caller_address(const std::string& node) const -> const std::string&;
  auto nodes() const -> std::vector<std::string>;
  auto names_with_prefix(const std::string& prefix) const
      -> std::vector<std::string>;
  auto record_file(const std::string& name) const -> std::string;
  auto log_file(const std::string& name) const -> std::string;

  // Runs one command of the operators' language. Returns the answer, which is
  // not an object if there was none.
  auto Operate(const std::string& node, const std::string& command) const
      -> nlohmann::json;

 private:
  struct NodeAddresses {
    std::string zone;
    std::string callers;
    std::string operators;
    std::string nodes;
  };

  auto Launch(const std::string& name) -> void;

  std::string build_;
  std::string folder_;
  std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
  std::map<std::string, std::string> fakes_;
  std::map<std::string, NodeAddresses> nodes_;
  ReservedPorts ports_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SCENARIO_FLEET_H_
