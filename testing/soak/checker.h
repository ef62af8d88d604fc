#ifndef TESTING_SOAK_CHECKER_H_
#define TESTING_SOAK_CHECKER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "testing/scenario/http_fetch.h"

namespace kumquatgauge::testing {

// What is expected of a request and its answer.
struct RequestExpectation {
  int max_runs = 1;
  bool stream = false;
  std::string full_body;  // Of a successful answer.
};

// Compares the answers to callers with the runs at the back ends and collects
// every violation. Thread-safe.
class SoakChecker {
 public:
  // How often a request or item has begun to run at a back end.
  using CountRuns = std::function<auto(const std::string& id)->int>;
  using Time = std::chrono::steady_clock::time_point;

  // Items of a job may start for this long after its end was acknowledged.
  static constexpr std::chrono::milliseconds kMaxEndDelay{3'000};
  // A component is reachable once this has passed without a disruption of it.
  static constexpr std::chrono::milliseconds kRecoveryTime{3'000};
  static constexpr auto kNoTokenLimit =
      std::numeric_limits<std::uint64_t>::max();

  // At most `token_limit` tokens of accepted items may wait, and a tenth more.
  explicit SoakChecker(CountRuns count_runs,
                       std::uint64_t token_limit = kNoTokenLimit)
      : count_runs_(std::move(count_runs)), token_limit_(token_limit) {}

  // Requests that a caller sends later than this after a node passed on an
  // answer which says that its replica leaves do not reach that replica.
  static constexpr std::chrono::milliseconds kDrainTime{2'000};

  // A caller is about to send a request to a node; `start` is the number of the
  // start of its process.
  auto OnSent(const std::string& id,
              const std::string& node,
              int start,
              Time at) -> void;
  // The node has passed on an answer.
  auto OnPassedOn(const std::string& node,
                  int start,
                  const FetchReply& reply,
                  Time at) -> void;
  // A request has begun to run at a replica.
  auto OnStarted(const std::string& id, const std::string& replica, Time at)
      -> void;
  // A node was paused, which excuses it from what it had passed on.
  auto OnPaused(const std::string& node) -> void;
  // A caller's request has ended with `reply`.
  auto OnReply(const std::string& id,
               const RequestExpectation& expected,
               const FetchReply& reply) -> void;
  // A caller is about to send a request once more, under the same id, because
  // it was refused as not run.
  auto OnRepeat(const std::string& id) -> void;
  // The answer to a submission of a job. Its tokens count toward the limit if
  // `limited`.
  auto OnSubmitted(const std::string& job,
                   const std::vector<std::string>& items,
                   const FetchReply& reply,
                   bool limited = true) -> void;
  // A node has shown a result of a job at a position.
  auto OnListed(const std::string& job,
                std::size_t position,
                const std::string& item,
                const std::string& state,
                const std::string& text) -> void;
  // A caller is about to ask for the end of a job, which may take effect even
  // if it is never acknowledged.
  auto OnEndRequested(const std::string& job) -> void;
  auto OnEndAnswered(const std::string& job, const FetchReply& reply, Time at)
      -> void;
  // A node is stopped, paused or cut off, or a replica's link is disrupted. The
  // disruptions of a component may overlap.
  auto OnDisrupted(const std::string& component) -> void;
  auto OnDisruptionEnded(const std::string& component, Time at) -> void;
  // An item has begun to run at a replica while the store named this owner of
  // its job.
  auto OnItemStarted(const std::string& job,
                     const std::string& item,
                     const std::string& owner,
                     const std::string& replica,
                     Time at) -> void;
  // How long after the store has acknowledged a configuration version a node in
  // touch may serve by an older one: the users' config_apply_ms and, since
  // other nodes are disrupted, outer_bound_ms.
  static constexpr std::chrono::milliseconds kMaxApplyTime{7'000};
  // The store, for all nodes, and its link to one of them, as components.
  static constexpr auto kStore = "store";
  static auto StoreOf(const std::string& node) -> std::string {
    return kStore + (" of " + node);
  }
  // The store has acknowledged a configuration version.
  auto OnVersionStored(int version, Time at) -> void;
  // The newest version that nodes in touch may not serve by any more; 0 if
  // there is none.
  auto NewestReplaced(Time at) const -> int;
  // A node has served a request by a configuration version; `start` is the
  // number of the start of its process.
  auto OnVersionServed(const std::string& node,
                       int start,
                       int version,
                       Time sent) -> void;
  // Streams that are taken up are compared with new ones of the same window;
  // the users' rule asks for so many of them.
  static constexpr std::chrono::milliseconds kStreamWindow{5'000};
  static constexpr int kMinTakeUps = 12;
  // A stream was begun, or was taken up again after it had begun, at a node;
  // `goes_on` if the node answered with events.
  auto OnStream(const std::string& node, bool taken_up, bool goes_on, Time sent)
      -> void;
  // A process in a planned stop has ended in time; no status if it has not.
  auto OnGracefulStop(const std::string& node, std::optional<int> exit_status)
      -> void;
  // A condition that must hold once all faults have ended.
  auto Expect(bool holds, const std::string& what) -> void;
  // Checks what is known only at the end: the numbers of runs, and that the
  // results of each accepted job are complete.
  auto Finish() -> void;

  auto violations() const -> std::vector<std::string>;
  // Accepted jobs with incomplete results whose end was not requested.
  auto unfinished_jobs() const -> std::vector<std::string>;
  auto accepted_jobs() const -> std::vector<std::string>;
  auto replies() const -> std::map<std::string, int>;

 private:
  struct SentRequest {
    int max_runs = 1;
    bool refused_as_not_run = false;
  };
  // The node that a request was sent to.
  struct Entry {
    std::string node;
    int start = 0;
    Time at;
  };
  struct Job {
    std::vector<std::string> items;
    bool accepted = false;
    bool limited = true;
    std::map<std::size_t, std::string> listed;     // Item and text by position.
    std::map<std::string, std::size_t> positions;  // Position by item.
    std::set<std::string> owners;                  // All so far.
    bool end_requested = false;
    std::optional<Time> ended;  // When a caller first got 200 for its end.
    int late_starts = 0;
    std::string last_late_start;
  };
  struct StreamCounts {
    int count = 0;
    int going_on = 0;
  };
  struct Disruptions {
    int open = 0;
    Time reachable_after = Time::min();
  };

  auto Add(const std::string& violation) -> void;
  // Tokens of accepted items that no replica has begun, of jobs whose end was
  // not requested.
  auto WaitingTokens() const -> std::uint64_t;
  // Whether a component was reachable at a time and has not been disrupted
  // since.
  auto IsReachable(const std::string& component, Time at) const -> bool;
  auto CheckStreams() -> void;

  CountRuns count_runs_;
  std::uint64_t token_limit_;
  mutable std::mutex mutex_;
  std::map<std::string, SentRequest> sent_;
  std::map<std::string, Entry> entries_;  // By request.
  // When a node first passed on that a replica leaves, by node and start.
  std::map<std::pair<std::string, int>, std::map<std::string, Time>> leaving_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, Disruptions> disruptions_;  // By component.
  std::map<std::pair<std::string, int>, int> newest_served_;
  std::map<int, Time> stored_;  // By configuration version.
  // By the number of the window, then by whether they were taken up.
  std::map<std::int64_t, std::map<bool, StreamCounts>> streams_;
  std::map<std::string, int> replies_;  // Count by outcome.
  std::vector<std::string> violations_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SOAK_CHECKER_H_
