#ifndef KUMQUATGAUGE_SERVING_START_LIMITER_H_
#define KUMQUATGAUGE_SERVING_START_LIMITER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/completion.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::serving {

struct StartLimiterSettings {
  // Starts that a replica without demand saves up for a burst: this number, and
  // those of `burst_time` at its limit.
  double burst_starts = 2.0;
  Duration burst_time = std::chrono::milliseconds(1'500);
  // Starts that must be saved up for an online request or urgent item.
  double online_threshold = 1.0;
  // Length of a node's turn; the nodes hear of a start well within it.
  Duration turn_time = std::chrono::milliseconds(40);
  // Share of the most that is saved up which other batch items leave to online
  // requests.
  double batch_threshold_share = 0.1;
  // Starts a second of a replica whose limit is lower. Its answers tell when it
  // takes more again.
  double min_rate = 0.2;
  // The account is overdrawn by no more than these starts and those of
  // `max_debt_time` at the limit, so that a wrong count does not keep a replica
  // idle for long.
  double max_debt_starts = 4.0;
  Duration max_debt_time = std::chrono::seconds(4);
  // How long this node reports that a limit has ended.
  Duration ended_time = std::chrono::seconds(10);

  auto operator==(const StartLimiterSettings&) const -> bool = default;
};

// A replica named another limit, or none any more.
struct StartLimitChange {
  ReplicaId replica;
  std::optional<double> before;  // Starts a second, by all nodes together.
  std::optional<double> limit;
  Duration age{0};  // Since the answer that named it.

  auto operator==(const StartLimitChange&) const -> bool = default;
};

// What one node tells another about a replica.
struct StartReport {
  // What an answer named; no limit if it named none.
  struct Named {
    std::optional<double> limit;
    Duration age{0};  // Of the answer, when the report is sent.

    auto operator==(const Named&) const -> bool = default;
  };

  ReplicaId replica;
  // Starts by the reporting node since it first knew a limit of the replica.
  std::uint64_t starts = 0;
  std::optional<Named> named;

  auto operator==(const StartReport&) const -> bool = default;
};

// Keeps the starts of all nodes at a replica below the limit that it names.
//
// For limits below one start per node and second there is no useful share of
// one node. Instead each node keeps an account of the starts of all nodes: it
// grows at the named limit, its own starts count at once, and those of the
// others when they report their totals. Reports may be lost, repeated or
// reordered. Of several limits the one of the latest answer holds, wherever it
// was received.
//
// So that not all nodes use the same saved starts before they hear of each
// other, they take turns: the node after the one that started last comes first,
// and the turn passes on after a fixed time without a start. As many nodes have
// it as starts are saved up. Nodes that disagree for a moment may overdraw the
// account, and nothing starts until it has recovered.
class StartLimiter {
 public:
  StartLimiter(StartLimiterSettings settings, Clock clock)
      : settings_(settings), clock_(std::move(clock)) {}

  // Forgets what replicas named that are gone or have started again.
  auto SetReplicas(const std::vector<routing::Replica>& replicas) -> void;
  // Sets the nodes that exchange reports, in the same order at each of them,
  // with the position of this node.
  auto SetNodes(std::vector<NodeId> nodes, std::size_t self) -> void;
  // Returns the number of nodes of the cell, this one included.
  auto nodes() const -> std::size_t { return nodes_.size(); }
  // Sets the part of a replica's limit that is for the nodes which exchange
  // reports with this one.
  auto SetShare(const ReplicaId& replica, double share) -> void;

  // Records what an answer of a replica to this node named; nothing if it named
  // no limit.
  auto OnAnswer(const ReplicaId& replica, std::optional<double> limit) -> void;
  // Records that this node sent the replica a request or an item.
  auto OnStarted(const ReplicaId& replica, std::uint32_t starts = 1) -> void;

  // Whether the replica takes another start now.
  auto MayStart(const ReplicaId& replica,
                routing::WorkClass work_class,
                bool urgent) const -> bool;
  // Time until an online request may start, if no node starts another one.
  auto NextStart(const ReplicaId& replica) const -> Duration;
  // Starts saved up at a limited replica.
  auto available(const ReplicaId& replica) const -> std::uint32_t;
  auto IsLimited(const ReplicaId& replica) const -> bool;
  auto limited() const -> std::size_t;

  // Returns what to report to the nodes of this node's cell: what has changed
  // since the last call, or everything.
  auto TakeReports(bool everything) -> std::vector<StartReport>;
  // Whether something has changed since.
  auto has_news() const -> bool;
  // Returns the limits alone, also those heard from other nodes, for nodes that
  // do not send to these replicas.
  auto limits() const -> std::vector<StartReport>;
  // Applies reports of a node. `run` differs after each start of its process.
  auto OnReports(const NodeId& node,
                 std::uint64_t run,
                 const std::vector<StartReport>& reports) -> void;
  // Applies limits that a node of another cell passed on.
  auto OnLimits(const std::vector<StartReport>& limits) -> void;

  // Returns the changes of limits since the last call.
  auto TakeChanges() -> std::vector<StartLimitChange>;

 private:
  struct PeerTotal {
    std::uint64_t run = 0;
    std::uint64_t starts = 0;
  };
  struct Entry {
    std::uint64_t started_ms = 0;  // Of the replica.
    double share = 1.0;
    std::optional<double> limit;
    // Of the latest answer; none while no answer named a limit.
    std::optional<MonotonicTime> named_at;
    bool named_here = false;  // That answer came to this node.
    MonotonicTime limited_since;
    MonotonicTime ended_at;

    double balance = 0;  // Starts that may be made, at `balance_at`.
    MonotonicTime balance_at;
    // The last start that this node knows of; before the first one, when it
    // learned the limit. `turn_after` is the position of its node.
    MonotonicTime last_start;
    std::size_t turn_after = 0;
    // Own starts in the last turn.
    MonotonicTime own_turn;
    std::uint32_t own_turn_starts = 0;
    std::uint64_t starts = 0;
    std::map<NodeId, PeerTotal> peers;
    bool unreported = false;

    std::optional<double> logged;
    bool changed = false;
  };

  auto Find(const ReplicaId& replica) const -> const Entry*;
  auto Find(const ReplicaId& replica) -> Entry*;
  auto Name(Entry& entry,
            std::optional<double> limit,
            MonotonicTime at,
            bool here) -> void;
  auto Rate(const Entry& entry) const -> double;
  // The most starts that are saved up.
  auto Burst(const Entry& entry) const -> double;
  auto BalanceNow(const Entry& entry) const -> double;
  auto Withdraw(Entry& entry, std::uint64_t starts, std::size_t node) -> void;
  // Number of turns until this node has one; zero if it has one now.
  auto TurnsToWait(const Entry& entry) const -> std::size_t;
  auto MayStart(const Entry& entry, double threshold) const -> bool;
  auto IsReported(const Entry& entry) const -> bool;
  auto MakeReport(const ReplicaId& replica,
                  const Entry& entry,
                  bool with_limit) const -> StartReport;

  StartLimiterSettings settings_;
  Clock clock_;
  std::vector<NodeId> nodes_{NodeId()};
  std::size_t self_ = 0;
  std::map<ReplicaId, Entry> entries_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_START_LIMITER_H_
