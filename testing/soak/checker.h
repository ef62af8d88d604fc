#ifndef TESTING_SOAK_CHECKER_H_
#define TESTING_SOAK_CHECKER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "testing/scenario/http_fetch.h"

namespace kumquatgauge::testing {

// What a route promises of its requests.
struct RequestPromise {
  int max_runs = 1;
  bool stream = false;
  std::string whole_body;  // Of an answer with success.
};

// Compares what callers were told with what back ends saw, and collects every
// broken promise. Thread-safe.
class SoakChecker {
 public:
  // How often a request or item has begun to run at a back end.
  using CountRuns = std::function<auto(const std::string& id)->int>;

  explicit SoakChecker(CountRuns count_runs)
      : count_runs_(std::move(count_runs)) {}

  // A caller's request has ended as `reply` says.
  auto OnReply(const std::string& id,
               const RequestPromise& promise,
               const FetchReply& reply) -> void;
  // The answer to a submission of a job.
  auto OnSubmitted(const std::string& job,
                   const std::vector<std::string>& items,
                   const FetchReply& reply) -> void;
  // A node has shown a result of a job at a position.
  auto OnListed(const std::string& job,
                std::size_t position,
                const std::string& item,
                const std::string& state,
                const std::string& text) -> void;
  // A node, in one run of its process, has served by a configuration version.
  auto OnServedBy(const std::string& node, int start, int version) -> void;
  // A process that was to stop as planned has ended, or not, within its time.
  auto OnPlannedStop(const std::string& node, std::optional<int> exit_status)
      -> void;
  // A condition that must hold once all faults have ended.
  auto Expect(bool holds, const std::string& what) -> void;
  // Checks what only shows at the end: counts of runs, and that each accepted
  // job is listed whole.
  auto Finish() -> void;

  auto violations() const -> std::vector<std::string>;
  // Accepted jobs with results still to be listed.
  auto unfinished_jobs() const -> std::vector<std::string>;
  auto accepted_jobs() const -> std::vector<std::string>;
  auto replies() const -> std::map<std::string, int>;

 private:
  struct Sent {
    int max_runs = 1;
    bool said_not_run = false;
  };
  struct Job {
    std::vector<std::string> items;
    bool accepted = false;
    std::map<std::size_t, std::string> listed;  // Item and text by position.
    std::map<std::string, std::size_t> places;  // Position by item.
  };

  auto Add(const std::string& violation) -> void;

  CountRuns count_runs_;
  mutable std::mutex mutex_;
  std::map<std::string, Sent> sent_;
  std::map<std::string, Job> jobs_;
  std::map<std::pair<std::string, int>, int> served_by_;
  std::map<std::string, int> replies_;  // Count by outcome.
  std::vector<std::string> violations_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SOAK_CHECKER_H_
