#ifndef KUMQUATGAUGE_CONTROL_MEMBERSHIP_H_
#define KUMQUATGAUGE_CONTROL_MEMBERSHIP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::control {

inline constexpr std::chrono::milliseconds kHeartbeatInterval{250};
inline constexpr std::size_t kMonitorsPerNode = 3;
// The third monitor is in another zone, so that it remains if a whole zone is
// lost.
inline constexpr std::size_t kMonitorsOfOwnZone = 2;
inline constexpr std::size_t kProbersPerSuspicion = 3;
inline constexpr std::size_t kFloodFanout = 4;
inline constexpr std::chrono::milliseconds kSuspectAfter{1000};
inline constexpr std::chrono::milliseconds kProbeWindow{750};
// A longer interval between two ticks means that this node was frozen.
inline constexpr std::chrono::milliseconds kFrozenAfter{1000};
// Interval at which OnTick must be called.
inline constexpr std::chrono::milliseconds kMembershipTick{50};
inline constexpr std::chrono::seconds kTableCompareInterval{10};
// Dead members are retained for longer than a partition between regions may
// last (one hour), so that both sides can find each other again.
inline constexpr std::chrono::hours kDeadMemberRetention{2};

enum class MemberState {
  kAlive,
  kLeaving,  // Planned stop: alive, accepts no new work.
  kDead,
  kLeft,  // Stopped as planned.
};

auto MemberStateName(MemberState state) -> std::string_view;

// Which node declared a member dead, and the evidence for it.
struct DeathCause {
  NodeId declared_by;
  Incarnation declarer_incarnation = 0;
  std::chrono::milliseconds silence{0};  // Time without a heartbeat.
  std::uint32_t probers = 0;             // Number of nodes asked to probe.

  auto operator==(const DeathCause&) const -> bool = default;
};

// State of a member as exchanged between nodes. Of two records, the one with
// the larger (incarnation, state) takes precedence.
struct MemberRecord {
  routing::NodeInfo info;
  MemberState state = MemberState::kAlive;
  DeathCause cause;             // For kDead.
  std::chrono::seconds age{0};  // Time since the end, for kDead and kLeft.

  auto operator==(const MemberRecord&) const -> bool = default;
};

enum class MembershipMessageType {
  kHeartbeat,
  kProbe,         // Asks the receiver for a kProbeReply.
  kProbeRequest,  // Asks the receiver to probe `subject`.
  kProbeReply,    // The sender, or `subject` if set, is reachable.
  kNotice,        // Carries records, or asks `subject` for its own record.
};

struct MembershipMessage {
  MembershipMessageType type = MembershipMessageType::kNotice;
  NodeId from;
  Incarnation incarnation = 0;
  NodeId subject;
  Incarnation subject_incarnation = 0;
  std::vector<MemberRecord> records;

  auto operator==(const MembershipMessage&) const -> bool = default;
};

// Exchange of member tables over a stream. The request carries the sender's
// record and table hash; the response carries the table if the hashes differ.
// The sender then sends the records that the receiver lacks in a second
// request.
struct SyncRequest {
  MemberRecord self;
  std::uint64_t table_hash = 0;
  std::vector<MemberRecord> offered;

  auto operator==(const SyncRequest&) const -> bool = default;
};
struct SyncResponse {
  bool equal = false;
  std::vector<MemberRecord> records;

  auto operator==(const SyncResponse&) const -> bool = default;
};

// Actions that the caller must execute after an event.
struct MembershipActions {
  struct Datagram {
    std::string address;
    MembershipMessage message;
  };
  struct Sync {
    std::string address;
    SyncRequest request;
  };

  std::vector<Datagram> datagrams;
  // The result of each is reported with OnSyncResponse or OnSyncFailed.
  std::vector<Sync> syncs;
  bool members_changed = false;
  // Set if this node continues under a new incarnation. Work of the old one
  // must stop.
  std::optional<Incarnation> restarted;
};

struct MembershipCounters {
  std::uint64_t suspicions = 0;
  std::uint64_t declared_dead = 0;
  std::uint64_t restarts = 0;
  std::uint64_t repairs = 0;         // Table comparisons that differed.
  std::uint64_t name_conflicts = 0;  // Messages of another node with our id.
};

// Tracks the members of the fleet (docs/design.md, section 10). Every event
// returns the resulting actions.
//
// A death is not applied at once if this node knows its declarer as dead or
// restarted, as after a partition. Instead the subject is notified, and this
// node declares it dead only if it does not answer a probe. A node that heard
// from no member when it declared others dead assumes that it was itself cut
// off and rejoins instead of notifying them of their death.
class Membership {
 public:
  // `self.incarnation` is replaced by the wall clock time. `seeds` are
  // addresses of nodes to join; this node's own address is skipped.
  Membership(routing::NodeInfo self,
             std::vector<std::string> seeds,
             Clock clock,
             WallClock wall_clock,
             RandomSource random);

  // Starts joining the fleet.
  auto Start() -> MembershipActions;
  auto OnTick() -> MembershipActions;
  auto OnMessage(const MembershipMessage& message, const std::string& address)
      -> MembershipActions;
  // Fills `response` for the requesting node.
  auto OnSyncRequest(const SyncRequest& request, SyncResponse& response)
      -> MembershipActions;
  auto OnSyncResponse(const std::string& address, const SyncResponse& response)
      -> MembershipActions;
  auto OnSyncFailed(const std::string& address) -> MembershipActions;

  // Planned stop: Leave marks this node as leaving. Stop, called after its work
  // has ended, announces that it has left. Nothing is sent after Stop.
  auto Leave() -> MembershipActions;
  auto Stop() -> MembershipActions;

  // Replaces the seeds, for example from a registry. Those that are not the
  // address of a live member are probed on the next tick.
  auto SetSeeds(std::vector<std::string> seeds) -> void;

  auto self() const -> const routing::NodeInfo& { return self_; }
  // Returns whether a table was received or no seed responded.
  auto joined() const -> bool { return phase_ == Phase::kJoined; }
  // Returns whether this node has heard from no other member recently although
  // it knows some that have not stopped as planned. Dead ones count, since a
  // node that is cut off declares the others dead.
  auto isolated() const -> bool;
  // Returns the members that are alive or leaving, including this node, ordered
  // by id.
  auto live() const -> std::vector<routing::NodeInfo>;
  // Returns all known records, including those of dead members.
  auto records() const -> std::vector<MemberRecord>;
  auto Find(const NodeId& id) const -> std::optional<MemberRecord>;
  auto IsLive(const NodeId& id, Incarnation incarnation) const -> bool;
  // Returns a hash over the live members' id, incarnation and leaving state,
  // independent of their order.
  auto table_hash() const -> std::uint64_t;
  // Returns the monitors of a member in ring order.
  auto MonitorsOf(const NodeId& id) const -> std::vector<NodeId>;
  // Explains to operators why a member is in its state.
  auto Explain(const NodeId& id) const -> std::string;
  auto counters() const -> const MembershipCounters& { return counters_; }

 private:
  enum class Phase { kIdle, kJoining, kJoined, kStopped };

  struct Entry {
    routing::NodeInfo info;
    MemberState state = MemberState::kAlive;
    DeathCause cause;
    NodeId learned_from;
    MonotonicTime learned_at;
    MonotonicTime ended_at;  // For kDead and kLeft.
  };

  // What this node knows about a member that it monitors.
  struct Watch {
    MonotonicTime last_contact;
    bool slow = false;  // Alive only according to probes by other nodes.
  };

  struct Suspicion {
    Incarnation incarnation = 0;
    MonotonicTime started;
    std::chrono::milliseconds silence{0};
    bool asked = false;  // Other nodes were asked to probe.
    std::uint32_t probers = 0;
    // The node whose declaration of death is being checked, if any.
    NodeId claimed_by;
  };

  struct ProbeTask {
    std::string requester;
    MonotonicTime expires;
  };

  // A record that is piggybacked on the next heartbeats.
  struct PiggybackedRecord {
    NodeId id;
    int heartbeats_left = 0;
  };

  struct RingPoint {
    std::uint64_t hash = 0;
    const Entry* entry = nullptr;
    std::uint32_t zone = 0;  // Index of the zone in this ring.
  };

  auto Now() const -> MonotonicTime { return clock_(); }
  auto NextIncarnation(Incarnation above) const -> Incarnation;
  static auto IsLiveState(MemberState state) -> bool;

  auto RecordOf(const Entry& entry) const -> MemberRecord;
  auto SelfRecord() const -> MemberRecord;
  auto MakeMessage(MembershipMessageType type) const -> MembershipMessage;

  // Applies a record. Adds its id to `learned` if the record was new.
  auto Merge(const MemberRecord& record,
             const NodeId& from,
             const std::string& address,
             std::vector<NodeId>& learned,
             MembershipActions& actions) -> void;
  auto MergeSelf(const MemberRecord& record,
                 const std::string& address,
                 MembershipActions& actions) -> void;
  auto IsUntrustedDeathClaim(const MemberRecord& record,
                             const Entry& known) const -> bool;
  auto Store(const MemberRecord& record,
             const NodeId& from,
             MembershipActions& actions) -> void;
  auto ResetRing() -> void;

  auto RestartIfFrozen(MembershipActions& actions) -> bool;
  auto Restart(Incarnation above,
               const std::string& sync_address,
               MembershipActions& actions) -> void;
  auto Join(const std::string& first, MembershipActions& actions) -> void;
  auto JoinNext(MembershipActions& actions) -> void;
  auto QuickCompareDelay() const -> std::chrono::milliseconds;
  auto FinishJoin(MembershipActions& actions) -> void;

  auto Flood(const std::vector<NodeId>& ids, MembershipActions& actions)
      -> void;
  auto Piggyback(const NodeId& id) -> void;
  auto SendRecords(const std::vector<NodeId>& ids,
                   const std::string& address,
                   MembershipActions& actions) const -> void;
  auto SendHeartbeats(MembershipActions& actions) -> void;
  auto AcceptSender(const MembershipMessage& message,
                    const std::string& address,
                    MembershipActions& actions) -> bool;
  // Returns whether this node has not heard from any member recently.
  auto IsIsolated() const -> bool;
  auto ReplyToDeadSender(const Entry& sender,
                         const std::string& address,
                         MembershipActions& actions) -> void;
  auto RecordContact(const NodeId& id) -> void;
  auto Handle(const MembershipMessage& message,
              const std::string& address,
              MembershipActions& actions) -> void;
  auto HandleProbeReply(const MembershipMessage& message,
                        MembershipActions& actions) -> void;

  auto UpdateWatches() -> void;
  auto CheckWatches(MembershipActions& actions) -> void;
  auto CheckSuspicions(MembershipActions& actions) -> void;
  auto Suspect(const NodeId& id,
               std::chrono::milliseconds silence,
               const NodeId& claimed_by,
               MembershipActions& actions) -> void;
  auto AskProbers(const NodeId& id,
                  Suspicion& suspicion,
                  MembershipActions& actions) -> void;
  auto DeclareDead(const NodeId& id,
                   const Suspicion& suspicion,
                   MembershipActions& actions) -> void;
  auto CompareTables(MembershipActions& actions) -> void;
  // Probes every seed that is not the address of a live member. This lets nodes
  // that start simultaneously find each other at once, whereas a join waits for
  // each seed that does not respond and tries each only once.
  auto ProbeSeeds(MembershipActions& actions) const -> void;
  auto ProbeUnreachable(MembershipActions& actions) -> void;
  auto RemoveExpired() -> void;

  auto PickPeers(std::size_t count, const NodeId& except) const
      -> std::vector<const Entry*>;
  auto Ring() const -> const std::vector<RingPoint>&;
  // Returns the ring positions of the monitors of the member at `index`.
  auto MonitorsAt(std::size_t index) const -> std::vector<std::size_t>;

  routing::NodeInfo self_;
  std::vector<std::string> seeds_;
  Clock clock_;
  WallClock wall_clock_;
  RandomSource random_;

  Phase phase_ = Phase::kIdle;
  std::map<NodeId, Entry> table_;  // Includes this node.
  std::map<NodeId, Watch> watches_;
  std::map<NodeId, Suspicion> suspicions_;
  std::map<NodeId, std::vector<ProbeTask>> probe_tasks_;
  std::vector<PiggybackedRecord> piggybacked_;
  std::vector<std::string> join_candidates_;
  mutable std::vector<RingPoint> ring_;
  mutable bool ring_valid_ = false;
  mutable std::size_t zone_count_ = 0;
  bool watches_valid_ = false;
  MonotonicTime started_;
  MonotonicTime join_attempt_expires_;
  MonotonicTime next_seed_probe_;
  MonotonicTime last_tick_;
  MonotonicTime last_heard_;  // Last message from any live member.
  MonotonicTime next_heartbeat_;
  MonotonicTime next_compare_;
  int consecutive_differences_ = 0;
  MonotonicTime next_unreachable_probe_;
  MembershipCounters counters_;
};

}  // namespace kumquatgauge::control

#endif  // KUMQUATGAUGE_CONTROL_MEMBERSHIP_H_
