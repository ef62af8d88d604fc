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
// A third monitor in another zone still watches when a whole zone is lost.
inline constexpr std::size_t kMonitorsOfOwnZone = 2;
inline constexpr std::size_t kProbersPerSuspicion = 3;
inline constexpr std::size_t kFloodFanout = 4;
inline constexpr std::chrono::milliseconds kSuspectAfter{1000};
inline constexpr std::chrono::milliseconds kProbeWindow{750};
// A longer pause between two ticks means that this node was frozen.
inline constexpr std::chrono::milliseconds kFrozenAfter{1000};
// OnTick is to be called this often.
inline constexpr std::chrono::milliseconds kMembershipTick{50};
inline constexpr std::chrono::seconds kTableCompareInterval{10};
// Dead members are remembered longer than regions lose contact (one hour), so
// that both sides find each other again.
inline constexpr std::chrono::hours kDeadMemberRetention{2};

enum class MemberState {
  kAlive,
  kLeaving,  // Planned stop: alive, takes no new work.
  kDead,
  kLeft,  // Stopped as planned.
};

auto MemberStateName(MemberState state) -> std::string_view;

// Who declared a member dead, and on what grounds.
struct DeathCause {
  NodeId declared_by;
  Incarnation declarer_incarnation = 0;
  std::chrono::milliseconds silence{0};  // Without a heartbeat.
  std::uint32_t probers = 0;             // Nodes asked to probe.

  auto operator==(const DeathCause&) const -> bool = default;
};

// What one node tells another about a member. Of two records the one with the
// larger (incarnation, state) holds.
struct MemberRecord {
  routing::NodeInfo info;
  MemberState state = MemberState::kAlive;
  DeathCause cause;             // For kDead.
  std::chrono::seconds age{0};  // Since the end, for kDead and kLeft.

  auto operator==(const MemberRecord&) const -> bool = default;
};

enum class MembershipMessageType {
  kHeartbeat,
  kProbe,         // Asks the receiver for a kProbeReply.
  kProbeRequest,  // Asks the receiver to probe `subject`.
  kProbeReply,    // The sender, or `subject` if set, has answered.
  kNotice,        // Carries records; without any it asks for the receiver's.
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

// Exchange of tables over a stream. The request carries the sender's record
// and table hash; the answer carries the table if the hashes differ. The
// sender then offers what the other side lacks in a second request.
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

// What the caller of an event is to carry out.
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
  std::vector<Sync> syncs;  // Report each by OnSyncResponse or OnSyncFailed.
  bool members_changed = false;
  // Set when this node goes on under a new incarnation; work of the old one
  // must stop.
  std::optional<Incarnation> restarted;
};

struct MembershipCounters {
  std::uint64_t suspicions = 0;
  std::uint64_t declared_dead = 0;
  std::uint64_t restarts = 0;
  std::uint64_t repairs = 0;         // Differing tables found.
  std::uint64_t name_conflicts = 0;  // Messages of another node of our name.
};

// Decides who is a member of the fleet (docs/design.md, section 10). Every
// event returns the actions that follow from it.
//
// A death that was declared by a node which is itself dead or restarted here,
// as after a partition, is not applied at once: its subject is told, and is
// declared dead by this node only if it does not answer a probe. A node that
// heard nobody when it declared others dead takes itself for the one that was
// cut off: it rejoins instead of telling them of their death.
class Membership {
 public:
  // `self.incarnation` is replaced by the wall clock's time. `seeds` are
  // addresses of nodes to join; this node's own is skipped.
  Membership(routing::NodeInfo self,
             std::vector<std::string> seeds,
             Clock clock,
             WallClock wall_clock,
             RandomSource random);

  // Begins to join.
  auto Start() -> MembershipActions;
  auto OnTick() -> MembershipActions;
  auto OnMessage(const MembershipMessage& message, const std::string& address)
      -> MembershipActions;
  // Fills `response` for the node that asks.
  auto OnSyncRequest(const SyncRequest& request, SyncResponse& response)
      -> MembershipActions;
  auto OnSyncResponse(const std::string& address, const SyncResponse& response)
      -> MembershipActions;
  auto OnSyncFailed(const std::string& address) -> MembershipActions;

  // Planned stop: Leave marks this node as leaving; Stop, after its work has
  // ended, tells the others that it has left. Nothing is sent after Stop.
  auto Leave() -> MembershipActions;
  auto Stop() -> MembershipActions;

  // Probes every seed that is not the address of a live member. Nodes that
  // start at the same moment find each other by it at once, while a join waits
  // for each seed that does not answer.
  auto ProbeSeeds() -> MembershipActions;
  // Replaces the seeds, for example from the host list.
  auto SetSeeds(std::vector<std::string> seeds) -> void;

  auto self() const -> const routing::NodeInfo& { return self_; }
  // Whether a table was received, or no seed answered.
  auto joined() const -> bool { return phase_ == Phase::kJoined; }
  // Members that are alive or leaving, this node included, ordered by id.
  auto live() const -> std::vector<routing::NodeInfo>;
  // All that is known, dead members included.
  auto records() const -> std::vector<MemberRecord>;
  auto Find(const NodeId& id) const -> std::optional<MemberRecord>;
  auto IsLive(const NodeId& id, Incarnation incarnation) const -> bool;
  // Equal for equal sets of live (id, incarnation, leaving).
  auto table_hash() const -> std::uint64_t;
  // Monitors of a member, in the order of the ring.
  auto MonitorsOf(const NodeId& id) const -> std::vector<NodeId>;
  // Why a member is in its state, in sentences for operators.
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

  // What this node knows as a monitor.
  struct Watch {
    MonotonicTime last_contact;
    bool slow = false;  // Kept alive by probes only.
  };

  struct Suspicion {
    Incarnation incarnation = 0;
    MonotonicTime started;
    std::chrono::milliseconds silence{0};
    bool asked = false;  // Other nodes were asked to probe.
    std::uint32_t probers = 0;
    // The one that declared the death which is being checked, if any.
    NodeId claimed_by;
  };

  struct ProbeTask {
    std::string requester;
    MonotonicTime expires;
  };

  // A record that rides on the next heartbeats.
  struct PiggybackedRecord {
    NodeId id;
    int heartbeats_left = 0;
  };

  struct RingPoint {
    std::uint64_t hash = 0;
    const Entry* entry = nullptr;
    std::uint32_t zone = 0;  // Number of the zone on this ring.
  };

  auto Now() const -> MonotonicTime { return clock_(); }
  auto NextIncarnation(Incarnation above) const -> Incarnation;
  static auto IsLiveState(MemberState state) -> bool;

  auto RecordOf(const Entry& entry) const -> MemberRecord;
  auto SelfRecord() const -> MemberRecord;
  auto MakeMessage(MembershipMessageType type) const -> MembershipMessage;

  // Applies a record; adds its id to `learned` when it was news.
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
  // Whether this node has heard nobody of late.
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
  auto ProbeUnreachable(MembershipActions& actions) -> void;
  auto RemoveExpired() -> void;

  auto PickPeers(std::size_t count, const NodeId& except) const
      -> std::vector<const Entry*>;
  auto Ring() const -> const std::vector<RingPoint>&;
  // Places of the monitors of the member at `index`.
  auto MonitorsAt(std::size_t index) const -> std::vector<std::size_t>;

  routing::NodeInfo self_;
  std::vector<std::string> seeds_;
  Clock clock_;
  WallClock wall_clock_;
  RandomSource random_;

  Phase phase_ = Phase::kIdle;
  std::map<NodeId, Entry> table_;  // This node included.
  std::map<NodeId, Watch> watches_;
  std::map<NodeId, Suspicion> suspicions_;
  std::map<NodeId, std::vector<ProbeTask>> probe_tasks_;
  std::vector<PiggybackedRecord> piggybacked_;
  std::vector<std::string> join_candidates_;
  mutable std::vector<RingPoint> ring_;
  mutable bool ring_valid_ = false;
  mutable std::size_t zone_count_ = 0;
  bool watches_valid_ = false;
  MonotonicTime last_tick_;
  MonotonicTime last_heard_;  // From any live member.
  MonotonicTime next_heartbeat_;
  MonotonicTime next_compare_;
  int consecutive_differences_ = 0;
  MonotonicTime next_unreachable_probe_;
  MembershipCounters counters_;
};

}  // namespace kumquatgauge::control

#endif  // KUMQUATGAUGE_CONTROL_MEMBERSHIP_H_
