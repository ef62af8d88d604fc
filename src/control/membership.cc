#include "kumquatgauge/control/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

namespace kumquatgauge::control {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Number of heartbeats to each monitor on which a record is piggybacked. The
// flood alone misses about 2 in 100 nodes (e^-4); the heartbeats reach the rest
// within a second.
constexpr int kPiggybackHeartbeats = 4;
// Limit on the estimated bytes of records in one datagram, below the usual link
// MTU of 1,500 bytes minus headers.
constexpr std::size_t kRecordBytesPerMessage = 1100;
constexpr std::size_t kRecordOverheadBytes = 48;
// A member that is new to a monitor may not have selected that monitor yet.
constexpr milliseconds kNewMemberGrace{500};
// A monitor whose own tick is later than this does not count the delay as
// silence of others, because their heartbeats may be waiting in its receive
// buffer.
constexpr milliseconds kLateTickThreshold{200};
// Interval at which dead members are probed, to heal a partition.
constexpr seconds kUnreachableProbeInterval{5};
// Intervals at which seeds that are not known as live members are probed, in
// the first time after the start and later. Seeds that are gone for good stay
// in the list, so the later interval is longer.
constexpr milliseconds kStartupSeedProbeInterval{200};
constexpr milliseconds kSeedProbeInterval{2000};
constexpr seconds kStartupPeriod{5};
// A join continues with the next candidate if an exchange has no result after
// this time. Longer than an exchange of the transport may take.
constexpr seconds kJoinAttemptLimit{5};
// Other nodes are asked to probe the subject of a claimed death after it has
// not answered this node's probe for this long.
constexpr milliseconds kClaimCheckDelay{250};
constexpr std::size_t kJoinCandidates = 5;
// After joining and after a difference, tables are compared again after this
// delay plus jitter, but only this many times in a row after differences.
constexpr milliseconds kMinQuickCompareDelay{500};
constexpr milliseconds kQuickCompareJitter{1000};
constexpr int kMaxQuickCompares = 6;

auto Rank(const MemberRecord& record) -> std::pair<Incarnation, MemberState> {
  return {record.info.incarnation, record.state};
}

auto EstimatedBytes(const MemberRecord& record) -> std::size_t {
  const auto& info = record.info;
  return kRecordOverheadBytes + info.id.value().size() +
         info.zone.value().size() + info.node_address.size() +
         info.caller_address.size() + record.cause.declared_by.value().size();
}

auto HashOf(const std::string& text) -> std::uint64_t {
  return XXH3_64bits(text.data(), text.size());
}

auto Seconds(Duration duration) -> std::string {
  const auto ms = duration_cast<milliseconds>(duration).count();
  auto text = std::to_string(ms / 1000) + "." + std::to_string(ms % 1000 / 100);
  return text + " s";
}

}  // namespace

auto MemberStateName(MemberState state) -> std::string_view {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      break;
  }
  return "left";
}

Membership::Membership(routing::NodeInfo self,
                       std::vector<std::string> seeds,
                       Clock clock,
                       WallClock wall_clock,
                       RandomSource random)
    : self_(std::move(self)),
      clock_(std::move(clock)),
      wall_clock_(std::move(wall_clock)),
      random_(std::move(random)) {
  SetSeeds(std::move(seeds));
  self_.incarnation = NextIncarnation(0);
  last_tick_ = Now();
  MembershipActions ignored;
  Store(SelfRecord(), self_.id, ignored);
}

auto Membership::SetSeeds(std::vector<std::string> seeds) -> void {
  seeds_ = std::move(seeds);
  std::erase(seeds_, self_.node_address);
  next_seed_probe_ = MonotonicTime::min();
}

auto Membership::NextIncarnation(Incarnation above) const -> Incarnation {
  const auto wall =
      duration_cast<std::chrono::microseconds>(wall_clock_().time_since_epoch())
          .count();
  return std::max(static_cast<Incarnation>(std::max<std::int64_t>(wall, 0)),
                  above + 1);
}

auto Membership::IsLiveState(MemberState state) -> bool {
  return state == MemberState::kAlive || state == MemberState::kLeaving;
}

auto Membership::RecordOf(const Entry& entry) const -> MemberRecord {
  MemberRecord record{entry.info, entry.state, entry.cause, seconds(0)};
  if (!IsLiveState(entry.state)) {
    record.age = duration_cast<seconds>(Now() - entry.ended_at);
  }
  return record;
}

auto Membership::SelfRecord() const -> MemberRecord {
  MemberRecord record;
  record.info = self_;
  record.state = self_.leaving ? MemberState::kLeaving : MemberState::kAlive;
  return record;
}

auto Membership::MakeMessage(MembershipMessageType type) const
    -> MembershipMessage {
  MembershipMessage message;
  message.type = type;
  message.from = self_.id;
  message.incarnation = self_.incarnation;
  return message;
}

// Joining.

auto Membership::Start() -> MembershipActions {
  MembershipActions actions;
  const auto now = Now();
  started_ = now;
  last_tick_ = now;
  next_heartbeat_ = now;
  next_unreachable_probe_ = now + kUnreachableProbeInterval;
  Join({}, actions);
  return actions;
}

auto Membership::Join(const std::string& first, MembershipActions& actions)
    -> void {
  phase_ = Phase::kJoining;
  join_candidates_.clear();
  for (const auto* peer : PickPeers(kJoinCandidates, self_.id)) {
    join_candidates_.push_back(peer->info.node_address);
  }
  auto seeds = seeds_;
  for (auto left = seeds.size(); left > 1; --left) {
    std::swap(seeds[left - 1], seeds[random_() % left]);
  }
  seeds.resize(std::min(seeds.size(), kJoinCandidates));
  join_candidates_.insert(join_candidates_.end(), seeds.begin(), seeds.end());
  if (!first.empty()) {
    join_candidates_.insert(join_candidates_.begin(), first);
  }
  JoinNext(actions);
}

auto Membership::JoinNext(MembershipActions& actions) -> void {
  if (join_candidates_.empty()) {
    FinishJoin(actions);
    return;
  }
  const auto address = join_candidates_.front();
  join_candidates_.erase(join_candidates_.begin());
  join_attempt_expires_ = Now() + kJoinAttemptLimit;
  actions.syncs.push_back({address, {SelfRecord(), table_hash(), {}}});
}

auto Membership::FinishJoin(MembershipActions& actions) -> void {
  phase_ = Phase::kJoined;
  next_heartbeat_ = Now();
  // The comparison finds nodes that joined through other nodes at the same
  // time. Its time is random, so that a fleet that starts at once does not
  // compare at once.
  next_compare_ = Now() + QuickCompareDelay();
  Flood({self_.id}, actions);
  actions.members_changed = true;
}

auto Membership::QuickCompareDelay() const -> milliseconds {
  return kMinQuickCompareDelay +
         milliseconds(random_() %
                      static_cast<std::uint64_t>(kQuickCompareJitter.count()));
}

auto Membership::Restart(Incarnation above,
                         const std::string& sync_address,
                         MembershipActions& actions) -> void {
  ++counters_.restarts;
  self_.incarnation = NextIncarnation(std::max(above, self_.incarnation));
  // Deaths that the old incarnation declared may be due to its own isolation;
  // actual deaths are learned again from the table of the node it joins.
  std::erase_if(table_, [&](const auto& item) {
    return item.second.state == MemberState::kDead &&
           item.second.cause.declared_by == self_.id;
  });
  suspicions_.clear();
  watches_.clear();
  probe_tasks_.clear();
  piggybacked_.clear();
  ResetRing();
  Store(SelfRecord(), self_.id, actions);
  actions.restarted = self_.incarnation;
  Join(sync_address, actions);
}

auto Membership::RestartIfFrozen(MembershipActions& actions) -> bool {
  const auto now = Now();
  const auto gap = now - last_tick_;
  if (gap <= kFrozenAfter) {
    return false;
  }
  last_tick_ = now;
  if (phase_ != Phase::kJoined && phase_ != Phase::kJoining) {
    return false;
  }
  Restart(0, {}, actions);
  return true;
}

auto Membership::Leave() -> MembershipActions {
  MembershipActions actions;
  if (!self_.leaving) {
    self_.leaving = true;
    Store(SelfRecord(), self_.id, actions);
    Flood({self_.id}, actions);
  }
  return actions;
}

auto Membership::Stop() -> MembershipActions {
  MembershipActions actions;
  if (phase_ == Phase::kStopped) {
    return actions;
  }
  auto record = SelfRecord();
  record.info.leaving = true;
  record.state = MemberState::kLeft;
  Store(record, self_.id, actions);
  Flood({self_.id}, actions);
  SendHeartbeats(actions);
  phase_ = Phase::kStopped;
  return actions;
}

// The table.

auto Membership::Store(const MemberRecord& record,
                       const NodeId& from,
                       MembershipActions& actions) -> void {
  const auto now = Now();
  auto& entry = table_[record.info.id];
  auto info = record.info;
  if (info.node_address.empty()) {
    info.zone = entry.info.zone;
    info.node_address = entry.info.node_address;
    info.caller_address = entry.info.caller_address;
  }
  info.leaving = record.state != MemberState::kAlive;
  entry = {std::move(info), record.state, record.cause, from, now,
           now - record.age};
  suspicions_.erase(record.info.id);
  ResetRing();
  actions.members_changed = true;
}

auto Membership::ResetRing() -> void {
  ring_.clear();
  ring_valid_ = false;
  watches_valid_ = false;
}

auto Membership::Merge(const MemberRecord& record,
                       const NodeId& from,
                       const std::string& address,
                       std::vector<NodeId>& learned,
                       MembershipActions& actions) -> void {
  const auto& id = record.info.id;
  if (id.empty()) {
    return;
  }
  if (id == self_.id) {
    MergeSelf(record, address, actions);
    return;
  }
  const auto ended = !IsLiveState(record.state);
  const auto known = table_.find(id);
  if (known == table_.end()) {
    // A live member without an address cannot be contacted.
    if (ended ? record.age < kDeadMemberRetention
              : !record.info.node_address.empty()) {
      Store(record, from, actions);
      learned.push_back(id);
    }
    return;
  }
  if (Rank(record) <=
      std::pair(known->second.info.incarnation, known->second.state)) {
    return;
  }
  if (IsUntrustedDeathClaim(record, known->second)) {
    if (!suspicions_.contains(id)) {
      auto notice = MakeMessage(MembershipMessageType::kNotice);
      notice.records.push_back(record);
      actions.datagrams.push_back(
          {known->second.info.node_address, std::move(notice)});
      Suspect(id, record.cause.silence, record.cause.declared_by, actions);
    }
    return;
  }
  Store(record, from, actions);
  learned.push_back(id);
}

auto Membership::MergeSelf(const MemberRecord& record,
                           const std::string& address,
                           MembershipActions& actions) -> void {
  if (phase_ == Phase::kStopped || phase_ == Phase::kIdle) {
    return;
  }
  const auto incarnation = record.info.incarnation;
  const auto ended = !IsLiveState(record.state);
  // A larger incarnation of this node stems from an earlier run whose clock was
  // ahead.
  if (incarnation > self_.incarnation ||
      (incarnation == self_.incarnation && ended)) {
    Restart(incarnation, address, actions);
  }
}

auto Membership::IsUntrustedDeathClaim(const MemberRecord& record,
                                       const Entry& known) const -> bool {
  if (record.state != MemberState::kDead ||
      record.info.incarnation != known.info.incarnation ||
      !IsLiveState(known.state)) {
    return false;
  }
  const auto declarer = table_.find(record.cause.declared_by);
  if (declarer == table_.end()) {
    return false;
  }
  const auto& entry = declarer->second;
  return entry.info.incarnation > record.cause.declarer_incarnation ||
         (entry.info.incarnation == record.cause.declarer_incarnation &&
          !IsLiveState(entry.state));
}

auto Membership::Flood(const std::vector<NodeId>& ids,
                       MembershipActions& actions) -> void {
  if (ids.empty() || phase_ == Phase::kStopped) {
    return;
  }
  for (const auto& id : ids) {
    Piggyback(id);
  }
  for (const auto* peer : PickPeers(kFloodFanout, self_.id)) {
    SendRecords(ids, peer->info.node_address, actions);
  }
}

auto Membership::Piggyback(const NodeId& id) -> void {
  std::erase_if(piggybacked_, [&](const PiggybackedRecord& piggybacked) {
    return piggybacked.id == id;
  });
  piggybacked_.push_back({id, kPiggybackHeartbeats});
}

auto Membership::SendRecords(const std::vector<NodeId>& ids,
                             const std::string& address,
                             MembershipActions& actions) const -> void {
  auto message = MakeMessage(MembershipMessageType::kNotice);
  std::size_t bytes = 0;
  for (const auto& id : ids) {
    const auto found = table_.find(id);
    if (found == table_.end()) {
      continue;
    }
    auto record = RecordOf(found->second);
    const auto size = EstimatedBytes(record);
    if (bytes + size > kRecordBytesPerMessage && !message.records.empty()) {
      actions.datagrams.push_back({address, message});
      message.records.clear();
      bytes = 0;
    }
    bytes += size;
    message.records.push_back(std::move(record));
  }
  if (!message.records.empty()) {
    actions.datagrams.push_back({address, std::move(message)});
  }
}

auto Membership::SendHeartbeats(MembershipActions& actions) -> void {
  auto message = MakeMessage(MembershipMessageType::kHeartbeat);
  std::size_t bytes = 0;
  for (auto& piggybacked : piggybacked_) {
    const auto found = table_.find(piggybacked.id);
    if (found == table_.end()) {
      piggybacked.heartbeats_left = 0;
      continue;
    }
    auto record = RecordOf(found->second);
    bytes += EstimatedBytes(record);
    if (bytes > kRecordBytesPerMessage) {
      break;
    }
    --piggybacked.heartbeats_left;
    message.records.push_back(std::move(record));
  }
  std::erase_if(piggybacked_, [](const PiggybackedRecord& piggybacked) {
    return piggybacked.heartbeats_left <= 0;
  });
  for (const auto& id : MonitorsOf(self_.id)) {
    actions.datagrams.push_back({table_.at(id).info.node_address, message});
  }
}

// Messages.

auto Membership::OnMessage(const MembershipMessage& message,
                           const std::string& address) -> MembershipActions {
  MembershipActions actions;
  if (phase_ == Phase::kStopped || phase_ == Phase::kIdle ||
      RestartIfFrozen(actions)) {
    return actions;
  }
  if (message.from == self_.id) {
    counters_.name_conflicts += address == self_.node_address ? 0 : 1;
    return actions;
  }
  // A record of this node's death is accepted even from a node known as dead.
  for (const auto& record : message.records) {
    if (record.info.id == self_.id) {
      MergeSelf(record, address, actions);
    }
  }
  if (!AcceptSender(message, address, actions)) {
    return actions;
  }
  std::vector<NodeId> learned;
  for (const auto& record : message.records) {
    if (record.info.id != self_.id) {
      Merge(record, message.from, address, learned, actions);
    }
  }
  Flood(learned, actions);
  Handle(message, address, actions);
  return actions;
}

auto Membership::AcceptSender(const MembershipMessage& message,
                              const std::string& address,
                              MembershipActions& actions) -> bool {
  const auto known = table_.find(message.from);
  const auto incarnation =
      known == table_.end() ? 0 : known->second.info.incarnation;
  if (known == table_.end() || message.incarnation > incarnation) {
    const auto introduced = std::any_of(
        message.records.begin(), message.records.end(), [&](const auto& item) {
          return item.info.id == message.from &&
                 item.info.incarnation == message.incarnation;
        });
    if (!introduced) {
      auto question = MakeMessage(MembershipMessageType::kNotice);
      question.subject = message.from;
      actions.datagrams.push_back({address, std::move(question)});
    }
    return true;
  }
  if (!IsLiveState(known->second.state)) {
    if (known->second.state == MemberState::kDead) {
      ReplyToDeadSender(known->second, address, actions);
    }
    return false;
  }
  if (message.incarnation < incarnation) {
    return false;
  }
  RecordContact(message.from);
  return true;
}

auto Membership::isolated() const -> bool {
  const auto others =
      std::any_of(table_.begin(), table_.end(), [this](const auto& entry) {
        return entry.first != self_.id &&
               entry.second.state != MemberState::kLeft;
      });
  return others && IsIsolated();
}

auto Membership::IsIsolated() const -> bool {
  return Now() - last_heard_ > kSuspectAfter;
}

auto Membership::ReplyToDeadSender(const Entry& sender,
                                   const std::string& address,
                                   MembershipActions& actions) -> void {
  if (IsIsolated() && sender.cause.declared_by == self_.id) {
    // This node declared the sender dead while it heard from no member, so it
    // was itself cut off.
    Restart(0, address, actions);
  } else {
    // Notifies a node that was frozen or cut off of its death.
    SendRecords({sender.info.id}, address, actions);
  }
}

auto Membership::RecordContact(const NodeId& id) -> void {
  last_heard_ = Now();
  suspicions_.erase(id);
  const auto watch = watches_.find(id);
  if (watch != watches_.end()) {
    watch->second.last_contact = std::max(watch->second.last_contact, Now());
    watch->second.slow = false;
  }
}

auto Membership::Handle(const MembershipMessage& message,
                        const std::string& address,
                        MembershipActions& actions) -> void {
  switch (message.type) {
    case MembershipMessageType::kHeartbeat:
      break;
    case MembershipMessageType::kProbe:
      actions.datagrams.push_back(
          {address, MakeMessage(MembershipMessageType::kProbeReply)});
      break;
    case MembershipMessageType::kProbeRequest: {
      const auto subject = table_.find(message.subject);
      if (message.subject == self_.id) {
        actions.datagrams.push_back(
            {address, MakeMessage(MembershipMessageType::kProbeReply)});
      } else if (subject != table_.end()) {
        probe_tasks_[message.subject].push_back(
            {address, Now() + kProbeWindow});
        actions.datagrams.push_back(
            {subject->second.info.node_address,
             MakeMessage(MembershipMessageType::kProbe)});
      }
      break;
    }
    case MembershipMessageType::kProbeReply:
      HandleProbeReply(message, actions);
      break;
    case MembershipMessageType::kNotice:
      if (message.subject == self_.id) {
        SendRecords({self_.id}, address, actions);
      }
      break;
  }
}

auto Membership::HandleProbeReply(const MembershipMessage& message,
                                  MembershipActions& actions) -> void {
  if (message.subject.empty()) {
    const auto tasks = probe_tasks_.find(message.from);
    if (tasks == probe_tasks_.end()) {
      return;
    }
    auto reply = MakeMessage(MembershipMessageType::kProbeReply);
    reply.subject = message.from;
    reply.subject_incarnation = message.incarnation;
    for (const auto& task : tasks->second) {
      if (task.expires > Now()) {
        actions.datagrams.push_back({task.requester, reply});
      }
    }
    probe_tasks_.erase(tasks);
    return;
  }
  const auto suspicion = suspicions_.find(message.subject);
  if (suspicion == suspicions_.end() ||
      suspicion->second.incarnation > message.subject_incarnation) {
    return;
  }
  suspicions_.erase(suspicion);
  const auto watch = watches_.find(message.subject);
  if (watch != watches_.end()) {
    watch->second.last_contact = std::max(watch->second.last_contact, Now());
    watch->second.slow = true;
  }
}

// Table synchronisation.

auto Membership::OnSyncRequest(const SyncRequest& request,
                               SyncResponse& response) -> MembershipActions {
  MembershipActions actions;
  if (phase_ == Phase::kStopped || phase_ == Phase::kIdle ||
      RestartIfFrozen(actions)) {
    return actions;
  }
  const auto& from = request.self.info;
  std::vector<NodeId> learned;
  if (from.id != self_.id) {
    Merge(request.self, from.id, from.node_address, learned, actions);
  }
  for (const auto& record : request.offered) {
    Merge(record, from.id, from.node_address, learned, actions);
  }
  Flood(learned, actions);
  response.equal =
      !request.offered.empty() || request.table_hash == table_hash();
  if (!response.equal) {
    ++counters_.repairs;
    response.records = records();
  }
  return actions;
}

auto Membership::OnSyncResponse(const std::string& address,
                                const SyncResponse& response)
    -> MembershipActions {
  MembershipActions actions;
  if (phase_ == Phase::kStopped || RestartIfFrozen(actions)) {
    return actions;
  }
  const auto restarts = counters_.restarts;
  const auto joining = phase_ == Phase::kJoining;
  std::vector<NodeId> learned;
  std::map<NodeId, std::pair<Incarnation, MemberState>> theirs;
  for (const auto& record : response.records) {
    theirs[record.info.id] = Rank(record);
    Merge(record, {}, address, learned, actions);
  }
  if (counters_.restarts != restarts) {
    return actions;  // This node rejoins under its new incarnation.
  }
  if (response.equal) {
    consecutive_differences_ = 0;
  } else {
    ++counters_.repairs;
    if (++consecutive_differences_ <= kMaxQuickCompares) {
      next_compare_ = Now() + QuickCompareDelay();
    }
    SyncRequest offer{SelfRecord(), table_hash(), {}};
    for (const auto& record : records()) {
      const auto known = theirs.find(record.info.id);
      if (record.info.id != self_.id &&
          (known == theirs.end() || known->second < Rank(record))) {
        offer.offered.push_back(record);
      }
    }
    if (!offer.offered.empty()) {
      actions.syncs.push_back({address, std::move(offer)});
    }
  }
  if (joining) {
    join_candidates_.clear();
    FinishJoin(actions);
    return actions;
  }
  for (const auto& id : learned) {
    Piggyback(id);
  }
  return actions;
}

auto Membership::OnSyncFailed(const std::string&) -> MembershipActions {
  MembershipActions actions;
  if (phase_ == Phase::kJoining && !RestartIfFrozen(actions)) {
    JoinNext(actions);
  }
  return actions;
}

// Timers.

auto Membership::OnTick() -> MembershipActions {
  MembershipActions actions;
  if (phase_ == Phase::kStopped || phase_ == Phase::kIdle ||
      RestartIfFrozen(actions)) {
    return actions;
  }
  const auto now = Now();
  const auto gap = now - last_tick_;
  last_tick_ = now;
  if (gap > kLateTickThreshold) {
    for (auto& [id, watch] : watches_) {
      watch.last_contact += gap;
    }
    for (auto& [id, suspicion] : suspicions_) {
      suspicion.started += gap;
    }
  }
  if (now >= next_seed_probe_) {
    const auto starting = now - started_ < kStartupPeriod;
    next_seed_probe_ =
        now + (starting ? kStartupSeedProbeInterval : kSeedProbeInterval);
    ProbeSeeds(actions);
  }
  if (phase_ == Phase::kJoining) {
    if (now >= join_attempt_expires_) {
      JoinNext(actions);
    }
    return actions;
  }
  if (now >= next_heartbeat_) {
    next_heartbeat_ = std::max(next_heartbeat_ + kHeartbeatInterval,
                               now + kHeartbeatInterval - kMembershipTick);
    SendHeartbeats(actions);
  }
  UpdateWatches();
  CheckWatches(actions);
  CheckSuspicions(actions);
  if (now >= next_compare_) {
    next_compare_ = now + kTableCompareInterval;
    CompareTables(actions);
    RemoveExpired();
  }
  if (now >= next_unreachable_probe_) {
    next_unreachable_probe_ = now + kUnreachableProbeInterval;
    ProbeUnreachable(actions);
  }
  return actions;
}

auto Membership::UpdateWatches() -> void {
  if (watches_valid_) {
    return;
  }
  watches_valid_ = true;
  std::map<NodeId, Watch> watches;
  const auto& ring = Ring();
  for (std::size_t i = 0; i < ring.size(); ++i) {
    const auto monitors = MonitorsAt(i);
    if (std::none_of(monitors.begin(), monitors.end(), [&](std::size_t place) {
          return ring[place].entry->info.id == self_.id;
        })) {
      continue;
    }
    const auto& id = ring[i].entry->info.id;
    const auto known = watches_.find(id);
    watches[id] = known != watches_.end()
                      ? known->second
                      : Watch{Now() + kNewMemberGrace, false};
  }
  watches_ = std::move(watches);
}

auto Membership::CheckWatches(MembershipActions& actions) -> void {
  const auto now = Now();
  for (const auto& [id, watch] : watches_) {
    if (now - watch.last_contact >= kSuspectAfter &&
        !suspicions_.contains(id)) {
      Suspect(id, duration_cast<milliseconds>(now - watch.last_contact), {},
              actions);
    }
  }
}

auto Membership::Suspect(const NodeId& id,
                         milliseconds silence,
                         const NodeId& claimed_by,
                         MembershipActions& actions) -> void {
  ++counters_.suspicions;
  const auto& entry = table_.at(id);
  Suspicion suspicion;
  suspicion.incarnation = entry.info.incarnation;
  suspicion.started = Now();
  suspicion.silence = silence;
  suspicion.claimed_by = claimed_by;
  actions.datagrams.push_back(
      {entry.info.node_address, MakeMessage(MembershipMessageType::kProbe)});
  if (claimed_by.empty()) {
    AskProbers(id, suspicion, actions);
  }
  suspicions_[id] = std::move(suspicion);
}

auto Membership::AskProbers(const NodeId& id,
                            Suspicion& suspicion,
                            MembershipActions& actions) -> void {
  auto request = MakeMessage(MembershipMessageType::kProbeRequest);
  request.subject = id;
  request.subject_incarnation = suspicion.incarnation;
  std::map<NodeId, std::string> probers;
  for (const auto& monitor : MonitorsOf(id)) {
    if (monitor != self_.id) {
      probers[monitor] = table_.at(monitor).info.node_address;
    }
  }
  for (const auto* peer : PickPeers(kProbersPerSuspicion, id)) {
    probers[peer->info.id] = peer->info.node_address;
  }
  for (const auto& [prober, address] : probers) {
    actions.datagrams.push_back({address, request});
  }
  suspicion.asked = true;
  suspicion.probers = static_cast<std::uint32_t>(probers.size());
}

auto Membership::CheckSuspicions(MembershipActions& actions) -> void {
  const auto now = Now();
  std::vector<std::pair<NodeId, Suspicion>> expired;
  for (auto& [id, suspicion] : suspicions_) {
    const auto age = now - suspicion.started;
    if (age >= kProbeWindow) {
      expired.emplace_back(id, suspicion);
    } else if (!suspicion.asked && age >= kClaimCheckDelay) {
      AskProbers(id, suspicion, actions);
    }
  }
  for (const auto& [id, suspicion] : expired) {
    DeclareDead(id, suspicion, actions);
  }
}

auto Membership::DeclareDead(const NodeId& id,
                             const Suspicion& suspicion,
                             MembershipActions& actions) -> void {
  ++counters_.declared_dead;
  auto record = RecordOf(table_.at(id));
  record.state = MemberState::kDead;
  record.cause = {self_.id, self_.incarnation, suspicion.silence + kProbeWindow,
                  suspicion.probers};
  Store(record, self_.id, actions);
  Flood({id}, actions);
  // Notifies the subject, which may be able to receive but not to send.
  if (!IsIsolated()) {
    SendRecords({id}, record.info.node_address, actions);
  }
}

auto Membership::CompareTables(MembershipActions& actions) -> void {
  for (const auto* peer : PickPeers(1, self_.id)) {
    actions.syncs.push_back(
        {peer->info.node_address, {SelfRecord(), table_hash(), {}}});
  }
}

auto Membership::ProbeSeeds(MembershipActions& actions) const -> void {
  for (const auto& seed : seeds_) {
    const auto known =
        std::any_of(table_.begin(), table_.end(), [&](const auto& entry) {
          return entry.second.info.node_address == seed &&
                 IsLiveState(entry.second.state);
        });
    if (!known) {
      actions.datagrams.push_back(
          {seed, MakeMessage(MembershipMessageType::kProbe)});
    }
  }
}

auto Membership::ProbeUnreachable(MembershipActions& actions) -> void {
  std::vector<std::string> lost;
  for (const auto& [id, entry] : table_) {
    if (entry.state == MemberState::kDead && !entry.info.node_address.empty()) {
      lost.push_back(entry.info.node_address);
    }
  }
  if (!lost.empty()) {
    actions.datagrams.push_back({lost[random_() % lost.size()],
                                 MakeMessage(MembershipMessageType::kProbe)});
  }
}

auto Membership::RemoveExpired() -> void {
  const auto now = Now();
  const auto removed = std::erase_if(table_, [&](const auto& item) {
    return !IsLiveState(item.second.state) &&
           now - item.second.ended_at > kDeadMemberRetention;
  });
  if (removed > 0) {
    ResetRing();
  }
  std::erase_if(probe_tasks_, [&](const auto& item) {
    return std::all_of(item.second.begin(), item.second.end(),
                       [&](const auto& task) { return task.expires <= now; });
  });
}

// The ring.

auto Membership::Ring() const -> const std::vector<RingPoint>& {
  if (ring_valid_) {
    return ring_;
  }
  ring_.clear();
  std::map<std::string_view, std::uint32_t> zones;
  for (const auto& [id, entry] : table_) {
    if (IsLiveState(entry.state)) {
      const auto zone = zones.emplace(entry.info.zone.value(), zones.size());
      ring_.push_back({HashOf(id.value()), &entry, zone.first->second});
    }
  }
  std::sort(ring_.begin(), ring_.end(), [](const auto& a, const auto& b) {
    return std::tie(a.hash, a.entry->info.id) <
           std::tie(b.hash, b.entry->info.id);
  });
  zone_count_ = zones.size();
  ring_valid_ = true;
  return ring_;
}

auto Membership::MonitorsAt(std::size_t index) const
    -> std::vector<std::size_t> {
  const auto& ring = Ring();
  const auto zone = ring[index].zone;
  std::vector<std::size_t> monitors;
  // Further nodes of the same zone, used if there are too few in other zones.
  std::vector<std::size_t> spare;
  std::size_t of_own_zone = 0;
  for (std::size_t step = 1; step < ring.size(); ++step) {
    const auto place = (index + step) % ring.size();
    if (ring[place].zone != zone) {
      monitors.push_back(place);
    } else if (of_own_zone < kMonitorsOfOwnZone) {
      ++of_own_zone;
      monitors.push_back(place);
    } else if (spare.size() < kMonitorsPerNode) {
      spare.push_back(place);
    }
    if (monitors.size() == kMonitorsPerNode ||
        (zone_count_ == 1 && spare.size() == kMonitorsPerNode)) {
      break;
    }
  }
  for (const auto place : spare) {
    if (monitors.size() < kMonitorsPerNode) {
      monitors.push_back(place);
    }
  }
  return monitors;
}

auto Membership::MonitorsOf(const NodeId& id) const -> std::vector<NodeId> {
  const auto& ring = Ring();
  const auto point = std::find_if(
      ring.begin(), ring.end(),
      [&](const RingPoint& item) { return item.entry->info.id == id; });
  std::vector<NodeId> monitors;
  if (point != ring.end()) {
    for (const auto place :
         MonitorsAt(static_cast<std::size_t>(point - ring.begin()))) {
      monitors.push_back(ring[place].entry->info.id);
    }
  }
  return monitors;
}

auto Membership::PickPeers(std::size_t count, const NodeId& except) const
    -> std::vector<const Entry*> {
  const auto& ring = Ring();
  std::vector<const Entry*> picked;
  // In a small fleet, drawing random distinct members might not terminate, so
  // the members are shuffled instead.
  if (ring.size() <= count * 2 + 2) {
    for (const auto& point : ring) {
      picked.push_back(point.entry);
    }
    for (auto left = picked.size(); left > 1; --left) {
      std::swap(picked[left - 1], picked[random_() % left]);
    }
    std::erase_if(picked, [&](const Entry* entry) {
      return entry->info.id == self_.id || entry->info.id == except;
    });
    picked.resize(std::min(picked.size(), count));
    return picked;
  }
  while (picked.size() < count) {
    const auto* entry = ring[random_() % ring.size()].entry;
    if (entry->info.id != self_.id && entry->info.id != except &&
        std::find(picked.begin(), picked.end(), entry) == picked.end()) {
      picked.push_back(entry);
    }
  }
  return picked;
}

// Accessors.

auto Membership::live() const -> std::vector<routing::NodeInfo> {
  std::vector<routing::NodeInfo> result;
  for (const auto& [id, entry] : table_) {
    if (IsLiveState(entry.state)) {
      result.push_back(entry.info);
    }
  }
  return result;
}

auto Membership::records() const -> std::vector<MemberRecord> {
  std::vector<MemberRecord> result;
  result.reserve(table_.size());
  for (const auto& [id, entry] : table_) {
    result.push_back(RecordOf(entry));
  }
  return result;
}

auto Membership::Find(const NodeId& id) const -> std::optional<MemberRecord> {
  const auto found = table_.find(id);
  if (found == table_.end()) {
    return std::nullopt;
  }
  return RecordOf(found->second);
}

auto Membership::IsLive(const NodeId& id, Incarnation incarnation) const
    -> bool {
  const auto found = table_.find(id);
  return found != table_.end() && IsLiveState(found->second.state) &&
         found->second.info.incarnation == incarnation;
}

auto Membership::table_hash() const -> std::uint64_t {
  std::uint64_t hash = 0;
  for (const auto& [id, entry] : table_) {
    if (IsLiveState(entry.state)) {
      hash += HashOf(id.value() + "/" + std::to_string(entry.info.incarnation) +
                     (entry.info.leaving ? "/leaving" : ""));
    }
  }
  return hash;
}

auto Membership::Explain(const NodeId& id) const -> std::string {
  const auto found = table_.find(id);
  if (found == table_.end()) {
    return "node " + id.value() + " is not known here";
  }
  const auto& entry = found->second;
  const auto now = Now();
  auto text = "node " + id.value() + " (incarnation " +
              std::to_string(entry.info.incarnation) + ") is " +
              std::string(MemberStateName(entry.state));
  const auto watch = watches_.find(id);
  if (entry.state == MemberState::kDead) {
    const auto& cause = entry.cause;
    text += ": declared by " + cause.declared_by.value() + " (incarnation " +
            std::to_string(cause.declarer_incarnation) + ") " +
            Seconds(now - entry.ended_at) + " ago after " +
            Seconds(cause.silence) + " without a heartbeat; " +
            std::to_string(cause.probers) +
            " other nodes were asked to probe it and none got an answer";
  } else if (entry.state == MemberState::kLeft) {
    text += ": it stopped as planned " + Seconds(now - entry.ended_at) + " ago";
  } else if (watch != watches_.end()) {
    text += watch->second.slow
                ? "; slow: no heartbeat arrives here, but probes are answered"
                : "; last heard " +
                      Seconds(std::max(Duration(0),
                                       now - watch->second.last_contact)) +
                      " ago";
  }
  const auto suspicion = suspicions_.find(id);
  if (suspicion != suspicions_.end()) {
    text += "; being probed since " + Seconds(now - suspicion->second.started);
    if (!suspicion->second.claimed_by.empty()) {
      text += " because " + suspicion->second.claimed_by.value() +
              ", which is itself dead or restarted, declared it dead";
    }
  }
  if (!entry.learned_from.empty() && entry.learned_from != self_.id) {
    text += "; learned from " + entry.learned_from.value() + " " +
            Seconds(now - entry.learned_at) + " ago";
  }
  return text;
}

}  // namespace kumquatgauge::control
