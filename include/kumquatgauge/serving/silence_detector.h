#ifndef KUMQUATGAUGE_SERVING_SILENCE_DETECTOR_H_
#define KUMQUATGAUGE_SERVING_SILENCE_DETECTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::serving {

struct SilenceSettings {
  // A request is overdue once it has been silent for this multiple of the mean
  // time to the first event, the mean plus this many mean deviations, and
  // `min_overdue`, whichever is longest.
  double overdue_factor = 3.0;
  double deviation_factor = 6.0;
  Duration min_overdue = std::chrono::milliseconds(150);
  // A single request that is silent this long, and at least this multiple of
  // the time after which it was overdue, makes its replica suspected.
  Duration long_silence = std::chrono::milliseconds(400);
  double long_silence_factor = 2.0;
  // Used while too few first events of the service were seen.
  Duration unlearned_overdue = std::chrono::seconds(1);
  std::uint32_t min_replica_samples = 5;
  std::uint32_t min_service_samples = 10;
  // Weight of the newest sample in the moving averages.
  double smoothing = 0.1;
  // Maximum share of a service's replicas that are suspected at a time; one
  // replica may always be.
  double max_suspected_share = 0.2;
  // How long a request that ended without a byte counts. A service whose
  // requests must not be repeated has no probes, and its replicas return to use
  // after this time.
  Duration evidence_expires = std::chrono::seconds(10);
  Duration peer_reports_expire = std::chrono::seconds(2);
  // The shortest delay of a peer's datagrams is taken from those of one to two
  // of these times.
  Duration clock_window = std::chrono::seconds(2);
  // Time between probes of a replica by all nodes of the cell. The random part
  // lets one node begin before the others.
  Duration probe_interval = std::chrono::milliseconds(250);
  Duration max_probe_jitter = std::chrono::milliseconds(100);
  // A check that runs later than this follows a pause of the whole process,
  // after which bytes may have arrived that were not read yet. It is repeated
  // after `recheck_delay`.
  Duration max_check_delay = std::chrono::milliseconds(25);
  Duration recheck_delay = std::chrono::milliseconds(10);
};

// An overdue request, as nodes tell it to each other.
struct OverdueRequest {
  Duration age{0};           // Since it was sent.
  std::uint32_t weight = 1;  // 2 after a long silence.

  auto operator==(const OverdueRequest&) const -> bool = default;
};

// What one node knows about the silence of a replica.
struct SilenceReport {
  std::uint64_t started_ms = 0;   // Start of the replica that is meant.
  std::optional<Duration> heard;  // Time since its last byte.
  bool probing = false;           // A probe of the node is under way.
  // The overdue requests that were sent last; older ones cannot change the
  // result.
  std::vector<OverdueRequest> overdue;

  auto has_evidence() const -> bool { return probing || !overdue.empty(); }
  auto operator==(const SilenceReport&) const -> bool = default;
};

struct SilenceReports {
  // On the sender's monotonic clock. The ages in the reports are compared with
  // each other across nodes; with the time of receipt alone, a datagram that
  // was read late would make an old byte newer than the requests after it.
  std::optional<Duration> sender_time;
  std::map<ReplicaId, SilenceReport> replicas;

  auto operator==(const SilenceReports&) const -> bool = default;
};

struct SuspicionChange {
  ReplicaId replica;
  bool suspected = false;
  std::uint32_t overdue = 0;  // Weight of all overdue requests.
  Duration silent{0};         // Since the first of them was sent.
  std::string reason;

  auto operator==(const SuspicionChange&) const -> bool = default;
};

// Detects replicas that accept requests and write nothing, from the requests of
// all nodes of a cell. A replica is suspected while overdue requests with a
// weight of at least 2 were sent to it after its last byte. A byte of any
// answer ends the suspicion.
class SilenceDetector {
 public:
  // Identifies a request until its end.
  using Ticket = std::uint64_t;

  struct Member {
    routing::Replica replica;
    bool in_cell = true;

    auto operator==(const Member&) const -> bool = default;
  };

  // How a request ended that had no first event.
  enum class SilentEnd {
    kNoEvidence,  // Not sent, answered without events, or broken off.
    kGivenUp,     // The caller has left, or the request went elsewhere.
  };

  SilenceDetector(SilenceSettings settings, Clock clock, RandomSource random);

  // Replaces the replicas. One with another start time or address begins anew.
  auto SetReplicas(const std::vector<Member>& members) -> void;

  // Records a request of this node that is sent. `queue_time` is the time that
  // it is expected to wait at the replica for a slot; zero if one is free.
  auto OnSent(const ReplicaId& replica, Duration queue_time) -> Ticket;
  // Records the first event, or the answer if it is no event stream.
  auto OnFirstEvent(Ticket ticket) -> void;
  // Records any bytes of a replica.
  auto OnBytes(const ReplicaId& replica) -> void;
  auto OnEnded(Ticket ticket, SilentEnd end) -> void;
  // Replaces what a peer told before.
  auto OnPeerReports(const NodeId& peer, const SilenceReports& reports) -> void;
  auto ForgetPeer(const NodeId& peer) -> void;
  // Forgets peers that tell nothing any more; call about once a second.
  auto ExpirePeers() -> void;

  // Finds requests that have become overdue. Must be called at `next_check`,
  // which any other call may change.
  auto Check() -> void;
  auto next_check() const -> std::optional<MonotonicTime> {
    return next_check_;
  }

  // Whether the replica is to be left out. False for all replicas of a service
  // if all of them are silent.
  auto IsSuspected(const ReplicaId& replica) const -> bool;
  // Whether there is a sign of silence that does not suffice for a suspicion.
  auto IsDoubtful(const ReplicaId& replica) const -> bool;
  // Whether a request that may be repeated may be sent to a suspected replica.
  auto MayProbe(const ReplicaId& replica) const -> bool;
  // Whether a request without an event is at a suspected replica. A probe gets
  // the time until it is overdue.
  auto ShouldMove(Ticket ticket) const -> bool;
  auto suspected() const -> std::uint32_t { return suspected_; }
  auto probes() const -> std::uint64_t { return probes_; }

  // Returns what this node tells its peers: about replicas at which it has
  // requests in flight, and about those for which there is evidence.
  auto own_reports(const std::function<auto(const ReplicaId&)->bool>& in_flight)
      const -> SilenceReports;
  // Whether peers should be told soon, or without delay when a suspicion has
  // begun or ended.
  auto has_news() const -> bool { return news_ > 0 || urgent_; }
  auto is_urgent() const -> bool { return urgent_; }
  // Records that peers have been told. News is told several times, since
  // datagrams may be lost.
  auto OnTold() -> void;
  // Returns the suspicions that have begun or ended since the last call.
  auto TakeChanges() -> std::vector<SuspicionChange>;

  // Returns after which time a request to the replica is overdue.
  auto OverdueAfter(const ReplicaId& replica) const -> Duration;

 private:
  struct Average {
    double mean_s = 0.0;
    double deviation_s = 0.0;
    std::uint32_t samples = 0;
  };
  // A request that counts, or will count once it is overdue.
  struct Sent {
    MonotonicTime at;
    Duration overdue_after{0};
    Duration long_after{0};
    std::uint32_t weight = 0;
    bool queued = false;
    bool probe = false;
  };
  struct Evidence {
    MonotonicTime at;  // When the request was sent.
    std::uint32_t weight = 0;
    MonotonicTime expires;
  };
  struct PeerView {
    std::vector<Evidence> overdue;
    bool probing = false;
  };
  struct State {
    routing::Replica replica;
    bool in_cell = true;
    Average average;
    std::map<Ticket, Sent> sent;
    std::vector<Evidence> given_up;
    std::map<NodeId, PeerView> peers;
    std::optional<MonotonicTime> own_heard;
    // Last byte that any node of the cell has read.
    MonotonicTime heard = MonotonicTime::min();
    std::uint32_t weight = 0;
    MonotonicTime silent_since;
    bool suspected = false;
    MonotonicTime next_probe;
  };
  using Group = std::pair<ServiceName, bool>;  // The replicas in the cell.
  struct PeerEntry {
    std::vector<ReplicaId> replicas;
    MonotonicTime at;
    // Smallest differences between the clocks, in the window that began at
    // `window_began` and in the one before.
    MonotonicTime window_began;
    std::optional<MonotonicTime> offset;
    std::optional<MonotonicTime> offset_before;
  };

  // Returns the time at which a report was sent, on this node's clock.
  auto TimeSent(PeerEntry& entry, const SilenceReports& reports) const
      -> MonotonicTime;
  static auto HasEvidence(const State& state) -> bool;
  // Whether the replica may matter for a report or a check.
  auto IsActive(const State& state, MonotonicTime now) const -> bool;
  auto DropInactive() -> void;
  // Forgets evidence that is too old or that a byte has refuted, and sums up
  // the rest.
  auto Weigh(State& state) -> void;
  auto Update(const Group& group) -> void;
  auto UpdateAll() -> void;
  auto SetSuspected(State& state, bool suspected, std::string reason) -> void;
  auto Learn(State& state, Duration first) -> void;
  auto FindNextCheck() -> void;
  auto NextProbeAfter(MonotonicTime time) -> MonotonicTime;
  auto GroupOf(const State& state) const -> Group {
    return {state.replica.service, state.in_cell};
  }
  auto FindState(Ticket ticket) const -> const State*;

  SilenceSettings settings_;
  Clock clock_;
  RandomSource random_;
  std::unordered_map<ReplicaId, State> states_;
  // Replicas with requests or evidence, or heard lately; some others too. In a
  // large fleet a node uses few of the replicas, and reports are made often.
  std::unordered_set<ReplicaId> active_;
  std::map<Group, std::vector<ReplicaId>> groups_;
  std::map<ServiceName, Average> services_;
  std::unordered_map<Ticket, ReplicaId> tickets_;
  std::map<NodeId, PeerEntry> peers_;
  std::vector<SuspicionChange> changes_;
  std::optional<MonotonicTime> next_check_;
  Ticket last_ticket_ = 0;
  std::uint64_t probes_ = 0;
  std::uint32_t suspected_ = 0;
  std::uint32_t news_ = 0;  // How often peers are still to be told.
  bool urgent_ = false;
  bool delayed_ = false;  // The last check ran late.
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_SILENCE_DETECTOR_H_
