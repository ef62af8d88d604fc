#ifndef TESTING_SCENARIO_INTERPRETER_H_
#define TESTING_SCENARIO_INTERPRETER_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "kumquatgauge/operator/command.h"
#include "testing/scenario/fleet.h"
#include "testing/scenario/load.h"

namespace kumquatgauge::testing {

// Runs one script of the test language, which is the operators' grammar with
// verbs of its own; scenarios/README.md lists them. One object per script.
class Interpreter {
 public:
  Interpreter(std::string build, std::string folder, std::uint64_t seed);
  ~Interpreter();

  // Runs one line; empty lines and comments do nothing. Throws
  // std::runtime_error when it fails or an expectation does not hold.
  auto RunLine(const std::string& line) -> void;

 private:
  using Command = operators::Command;

  struct Job {
    std::string id;
    std::vector<std::string> custom_ids;
    std::vector<std::string> expected;  // Text per item; empty: must fail.
    std::int64_t cancelled_ms = 0;      // Wall time; 0: not cancelled.
  };

  auto Start(const Command& command) -> void;
  auto StartNodes(const Command& command) -> void;
  // Names of the nodes that this node shows as alive; empty if it does not
  // answer.
  auto LiveNodesSeenBy(const std::string& node) const -> std::set<std::string>;
  // Waits until all nodes see exactly each other. Throws std::runtime_error
  // with what each node sees after `limit`, or if a node has ended.
  auto WaitForFullMembership(std::chrono::milliseconds limit) -> void;
  auto DescribeMembershipViews() const -> std::string;
  // Kills all nodes and starts them again, several times.
  auto RestartFleet(const Command& command) -> void;
  auto Configure(const Command& command) -> void;
  auto Send(const Command& command) -> void;
  auto Submit(const Command& command) -> void;
  auto Cancel(const Command& command) -> void;
  auto Wait(const Command& command) -> void;
  auto WaitForJob(const Command& command) -> void;
  auto Fault(const Command& command) -> void;
  auto HostList(const std::string& name, const std::string& state) const
      -> nlohmann::json;
  auto Expect(const Command& command) -> void;
  auto ObservedRow(const Command& command) -> nlohmann::json;
  auto JobRow(const std::string& name) -> nlohmann::json;
  auto InvariantsRow() -> nlohmann::json;
  auto NodeRow(const std::string& name) -> nlohmann::json;
  auto SubmitBody(const std::string& name,
                  std::size_t items,
                  std::size_t bad,
                  Job& job) const -> std::string;
  auto Executions(const std::string& prefix) const
      -> std::vector<nlohmann::json>;
  auto WatchRevisions() -> void;
  auto LiveNode() -> std::string;
  auto CallerNodes() const -> std::vector<std::string>;

  std::string build_;
  std::mt19937_64 random_;
  std::unique_ptr<Fleet> fleet_;
  std::map<std::string, std::unique_ptr<Load>> loads_;
  std::map<std::string, Job> jobs_;
  std::set<std::string> unavailable_;
  nlohmann::json last_answer_;

  // Highest revision seen per node, read from its metrics in the background.
  std::mutex revisions_mutex_;
  std::map<std::string, double> revisions_;
  std::uint64_t revisions_back_ = 0;
  std::atomic<bool> watching_{false};
  std::thread watcher_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SCENARIO_INTERPRETER_H_
