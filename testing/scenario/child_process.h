#ifndef TESTING_SCENARIO_CHILD_PROCESS_H_
#define TESTING_SCENARIO_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace kumquatgauge::testing {

// One process under test. Killed, by its id, when destroyed.
class ChildProcess {
 public:
  // Standard output goes to `out_file`, standard error is appended to
  // `err_file`. Without both, the process has no standard descriptors.
  ChildProcess(const std::vector<std::string>& arguments,
               const std::string& out_file,
               const std::string& err_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  auto operator=(const ChildProcess&) -> ChildProcess& = delete;

  auto Signal(int signal) -> void;
  auto id() const -> pid_t { return pid_; }
  // Resident memory of the running process.
  auto memory_bytes() const -> std::size_t;
  // Whether the running process ignores or catches a signal.
  auto Handles(int signal) const -> bool;
  // Exit status, 128 + signal for a killed process; nothing while it runs
  // after `limit`.
  auto WaitForExit(std::chrono::milliseconds limit) -> std::optional<int>;

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_status_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SCENARIO_CHILD_PROCESS_H_
