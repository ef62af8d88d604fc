#include "kumquatgauge/serving/silence_detector.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "kumquatgauge/base/seconds.h"

namespace kumquatgauge::serving {
namespace {

constexpr std::uint32_t kSuspicionWeight = 2;
// Each node tells this many overdue requests: as many as a suspicion needs.
constexpr std::size_t kToldRequests = 2;
// A datagram in a hundred lost leaves one change in 10^6 untold for longer.
constexpr std::uint32_t kTimesTold = 3;

}  // namespace

SilenceDetector::SilenceDetector(SilenceSettings settings,
                                 Clock clock,
                                 RandomSource random)
    : settings_(settings),
      clock_(std::move(clock)),
      random_(std::move(random)) {}

auto SilenceDetector::SetReplicas(const std::vector<Member>& members) -> void {
  auto states = std::unordered_map<ReplicaId, State>();
  groups_.clear();
  for (const auto& member : members) {
    auto state = State();
    const auto known = states_.find(member.replica.id);
    if (known != states_.end()) {
      const auto& before = known->second.replica;
      if (before.started_ms == member.replica.started_ms &&
          before.address == member.replica.address) {
        state = std::move(known->second);
        states_.erase(known);
      }
    }
    state.replica = member.replica;
    state.in_cell = member.in_cell;
    if (!member.replica.leaving) {
      groups_[GroupOf(state)].push_back(member.replica.id);
    }
    states.insert_or_assign(member.replica.id, std::move(state));
  }
  // What is left was removed or restarted.
  for (auto& [id, state] : states_) {
    SetSuspected(state, false, "it was removed, restarted or leaves");
    for (const auto& [ticket, sent] : state.sent) {
      tickets_.erase(ticket);
    }
  }
  states_ = std::move(states);
  for (auto& [id, state] : states_) {
    if (state.replica.leaving) {
      SetSuspected(state, false, "it was removed, restarted or leaves");
    }
  }
  DropInactive();
  UpdateAll();
  FindNextCheck();
}

auto SilenceDetector::IsActive(const State& state, MonotonicTime now) const
    -> bool {
  return HasEvidence(state) ||
         (state.own_heard &&
          now - *state.own_heard < settings_.evidence_expires);
}

auto SilenceDetector::DropInactive() -> void {
  const auto now = clock_();
  std::erase_if(active_, [&](const ReplicaId& id) {
    const auto found = states_.find(id);
    return found == states_.end() || !IsActive(found->second, now);
  });
}

auto SilenceDetector::OnSent(const ReplicaId& replica, Duration queue_time)
    -> Ticket {
  const auto ticket = ++last_ticket_;
  const auto found = states_.find(replica);
  if (found == states_.end()) {
    return ticket;
  }
  auto& state = found->second;
  const auto overdue_after = OverdueAfter(replica) + queue_time;
  auto sent = Sent();
  sent.at = clock_();
  sent.overdue_after = overdue_after;
  sent.long_after =
      std::max(settings_.long_silence + queue_time,
               std::chrono::duration_cast<Duration>(
                   overdue_after * settings_.long_silence_factor));
  sent.queued = queue_time > Duration::zero();
  sent.probe = state.suspected;
  if (sent.probe) {
    ++probes_;
    state.next_probe = NextProbeAfter(sent.at);
    news_ = std::max(news_, 1U);
  }
  const auto due = sent.at + overdue_after;
  next_check_ = std::min(next_check_.value_or(due), due);
  state.sent.emplace(ticket, sent);
  active_.insert(replica);
  tickets_.emplace(ticket, replica);
  return ticket;
}

auto SilenceDetector::OnFirstEvent(Ticket ticket) -> void {
  const auto found = tickets_.find(ticket);
  if (found == tickets_.end()) {
    return;
  }
  const auto replica = found->second;
  tickets_.erase(found);
  auto& state = states_.at(replica);
  const auto sent = state.sent.extract(ticket);
  // A silence that has ended must not be learned as the usual time, or the next
  // one would be noticed late. A replica that has become slower is learned in
  // steps.
  const auto& request = sent.mapped();
  if (!request.queued && (!state.suspected || request.probe)) {
    Learn(state, std::min(clock_() - request.at, request.overdue_after));
  }
  OnBytes(replica);
}

auto SilenceDetector::Learn(State& state, Duration first) -> void {
  const auto seconds = ToSeconds(first);
  for (auto* average : {&state.average, &services_[state.replica.service]}) {
    if (average->samples == 0) {
      average->mean_s = seconds;
    } else {
      const auto difference = seconds - average->mean_s;
      average->mean_s += settings_.smoothing * difference;
      average->deviation_s +=
          settings_.smoothing * (std::abs(difference) - average->deviation_s);
    }
    ++average->samples;
  }
}

auto SilenceDetector::OnBytes(const ReplicaId& replica) -> void {
  const auto found = states_.find(replica);
  if (found == states_.end()) {
    return;
  }
  auto& state = found->second;
  active_.insert(replica);
  state.own_heard = clock_();
  state.heard = *state.own_heard;
  if (state.weight > 0) {
    news_ = std::max(news_, 1U);
    Update(GroupOf(state));
  }
}

auto SilenceDetector::OnEnded(Ticket ticket, SilentEnd end) -> void {
  const auto found = tickets_.find(ticket);
  if (found == tickets_.end()) {
    return;
  }
  auto& state = states_.at(found->second);
  tickets_.erase(found);
  const auto request = state.sent.extract(ticket);
  const auto& sent = request.mapped();
  const auto now = clock_();
  if (sent.weight > 0 && sent.at > state.heard) {
    if (end == SilentEnd::kGivenUp) {
      const auto expires = now + settings_.evidence_expires;
      state.given_up.push_back({sent.at, sent.weight, expires});
      next_check_ = std::min(next_check_.value_or(expires), expires);
    }
    Update(GroupOf(state));
  }
}

auto SilenceDetector::TimeSent(PeerEntry& entry,
                               const SilenceReports& reports) const
    -> MonotonicTime {
  const auto now = clock_();
  if (!reports.sender_time) {
    return now;
  }
  if (now - entry.window_began >= settings_.clock_window) {
    entry.offset_before = std::exchange(entry.offset, std::nullopt);
    entry.window_began = now;
  }
  const auto offset = now - *reports.sender_time;
  entry.offset = std::min(entry.offset.value_or(offset), offset);
  const auto least =
      std::min(*entry.offset, entry.offset_before.value_or(*entry.offset));
  return least + *reports.sender_time;
}

auto SilenceDetector::OnPeerReports(const NodeId& peer,
                                    const SilenceReports& reports) -> void {
  const auto now = clock_();
  auto& entry = peers_[peer];
  entry.at = now;
  const auto told = TimeSent(entry, reports);
  auto changed = std::set<Group>();
  for (const auto& id : std::exchange(entry.replicas, {})) {
    const auto found = states_.find(id);
    if (found != states_.end() && found->second.peers.erase(peer) > 0) {
      changed.insert(GroupOf(found->second));
    }
  }
  for (const auto& [id, report] : reports.replicas) {
    const auto found = states_.find(id);
    if (found == states_.end() ||
        (report.has_evidence() &&
         report.started_ms != found->second.replica.started_ms)) {
      continue;
    }
    auto& state = found->second;
    if (report.heard) {
      state.heard = std::max(state.heard, told - *report.heard);
      if (state.weight > 0) {
        changed.insert(GroupOf(state));
      }
    }
    if (!report.has_evidence()) {
      continue;
    }
    auto view = PeerView();
    view.probing = report.probing;
    for (const auto& request : report.overdue) {
      const auto at = told - request.age;
      view.overdue.push_back({at, request.weight, MonotonicTime::max()});
      if (state.own_heard && *state.own_heard > at) {
        // The peer does not know yet that the replica has written since.
        news_ = std::max(news_, 1U);
      }
    }
    if (view.probing) {
      state.next_probe = std::max(state.next_probe, NextProbeAfter(now));
    }
    state.peers[peer] = std::move(view);
    active_.insert(id);
    entry.replicas.push_back(id);
    changed.insert(GroupOf(state));
  }
  for (const auto& group : changed) {
    Update(group);
  }
}

auto SilenceDetector::ForgetPeer(const NodeId& peer) -> void {
  if (peers_.erase(peer) == 0) {
    return;
  }
  for (auto& [id, state] : states_) {
    state.peers.erase(peer);
  }
  UpdateAll();
}

auto SilenceDetector::ExpirePeers() -> void {
  const auto oldest = clock_() - settings_.peer_reports_expire;
  auto expired = std::vector<NodeId>();
  for (const auto& [peer, entry] : peers_) {
    if (entry.at < oldest) {
      expired.push_back(peer);
    }
  }
  for (const auto& peer : expired) {
    ForgetPeer(peer);
  }
  DropInactive();
}

auto SilenceDetector::Check() -> void {
  const auto now = clock_();
  if (!next_check_ || now < *next_check_) {
    return;
  }
  if (now - *next_check_ > settings_.max_check_delay &&
      !std::exchange(delayed_, true)) {
    next_check_ = now + settings_.recheck_delay;
    return;
  }
  delayed_ = false;
  auto changed = std::set<Group>();
  for (const auto& id : active_) {
    auto& state = states_.at(id);
    for (auto& [ticket, sent] : state.sent) {
      const auto silent = now - sent.at;
      const auto weight = silent >= sent.long_after      ? kSuspicionWeight
                          : silent >= sent.overdue_after ? 1U
                                                         : 0U;
      if (weight > sent.weight) {
        sent.weight = weight;
        changed.insert(GroupOf(state));
        if (sent.at > state.heard) {
          news_ = std::max(news_, kTimesTold);
        }
      }
    }
    if (!state.given_up.empty()) {
      changed.insert(GroupOf(state));
    }
  }
  for (const auto& group : changed) {
    Update(group);
  }
  FindNextCheck();
}

auto SilenceDetector::FindNextCheck() -> void {
  next_check_.reset();
  const auto add = [&](MonotonicTime time) {
    next_check_ = std::min(next_check_.value_or(time), time);
  };
  for (const auto& id : active_) {
    const auto& state = states_.at(id);
    for (const auto& [ticket, sent] : state.sent) {
      if (sent.weight == 0) {
        add(sent.at + sent.overdue_after);
      } else if (sent.weight < kSuspicionWeight) {
        add(sent.at + sent.long_after);
      }
    }
    for (const auto& evidence : state.given_up) {
      add(evidence.expires);
    }
  }
}

auto SilenceDetector::HasEvidence(const State& state) -> bool {
  return !state.given_up.empty() || !state.peers.empty() || !state.sent.empty();
}

auto SilenceDetector::Weigh(State& state) -> void {
  state.weight = 0;
  if (!HasEvidence(state)) {
    return;
  }
  const auto now = clock_();
  std::erase_if(state.given_up, [&](const Evidence& evidence) {
    return evidence.at <= state.heard || evidence.expires <= now;
  });
  state.silent_since = now;
  const auto add = [&](MonotonicTime at, std::uint32_t weight) {
    if (weight > 0 && at > state.heard) {
      state.weight += weight;
      state.silent_since = std::min(state.silent_since, at);
    }
  };
  for (const auto& [ticket, sent] : state.sent) {
    add(sent.at, sent.weight);
  }
  for (const auto& evidence : state.given_up) {
    add(evidence.at, evidence.weight);
  }
  for (const auto& [peer, view] : state.peers) {
    for (const auto& evidence : view.overdue) {
      add(evidence.at, evidence.weight);
    }
  }
}

auto SilenceDetector::Update(const Group& group) -> void {
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return;
  }
  const auto& ids = found->second;
  auto silent = std::vector<State*>();
  for (const auto& id : ids) {
    auto& state = states_.at(id);
    Weigh(state);
    if (state.weight >= kSuspicionWeight) {
      silent.push_back(&state);
    } else {
      SetSuspected(state, false,
                   state.weight > 0 ? "too few requests are overdue"
                                    : "it has written, or no request waits");
    }
  }
  const auto share = static_cast<std::size_t>(static_cast<double>(ids.size()) *
                                              settings_.max_suspected_share);
  // With all of them silent there is no better one to send to.
  const auto most =
      silent.size() == ids.size() ? 0 : std::max<std::size_t>(1, share);
  std::sort(silent.begin(), silent.end(),
            [](const State* left, const State* right) {
              return std::pair(left->silent_since, left->replica.id) <
                     std::pair(right->silent_since, right->replica.id);
            });
  for (std::size_t at = 0; at < silent.size(); ++at) {
    SetSuspected(
        *silent[at], at < most,
        at < most ? "requests are overdue" : "too many replicas are silent");
  }
}

auto SilenceDetector::UpdateAll() -> void {
  for (const auto& [group, ids] : groups_) {
    Update(group);
  }
}

auto SilenceDetector::SetSuspected(State& state,
                                   bool suspected,
                                   std::string reason) -> void {
  if (std::exchange(state.suspected, suspected) == suspected) {
    return;
  }
  const auto now = clock_();
  if (suspected) {
    ++suspected_;
    state.next_probe = NextProbeAfter(now);
  } else {
    --suspected_;
  }
  news_ = std::max(news_, kTimesTold);
  urgent_ = true;
  changes_.push_back({state.replica.id, suspected, state.weight,
                      now - state.silent_since, std::move(reason)});
}

auto SilenceDetector::NextProbeAfter(MonotonicTime time) -> MonotonicTime {
  const auto jitter = settings_.max_probe_jitter.count();
  return time + settings_.probe_interval +
         Duration(static_cast<Duration::rep>(
             random_() % static_cast<std::uint64_t>(jitter + 1)));
}

auto SilenceDetector::IsSuspected(const ReplicaId& replica) const -> bool {
  if (suspected_ == 0) {
    return false;
  }
  const auto found = states_.find(replica);
  return found != states_.end() && found->second.suspected;
}

auto SilenceDetector::IsDoubtful(const ReplicaId& replica) const -> bool {
  const auto found = states_.find(replica);
  return found != states_.end() && found->second.weight > 0;
}

auto SilenceDetector::MayProbe(const ReplicaId& replica) const -> bool {
  const auto found = states_.find(replica);
  if (found == states_.end() || !found->second.suspected ||
      clock_() < found->second.next_probe) {
    return false;
  }
  const auto& state = found->second;
  return std::none_of(state.sent.begin(), state.sent.end(),
                      [](const auto& sent) { return sent.second.probe; }) &&
         std::none_of(state.peers.begin(), state.peers.end(),
                      [](const auto& peer) { return peer.second.probing; });
}

auto SilenceDetector::FindState(Ticket ticket) const -> const State* {
  const auto found = tickets_.find(ticket);
  return found == tickets_.end() ? nullptr : &states_.at(found->second);
}

auto SilenceDetector::ShouldMove(Ticket ticket) const -> bool {
  const auto* state = FindState(ticket);
  if (state == nullptr || !state->suspected) {
    return false;
  }
  const auto& sent = state->sent.at(ticket);
  return !sent.probe || sent.weight > 0;
}

auto SilenceDetector::own_reports(
    const std::function<auto(const ReplicaId&)->bool>& in_flight) const
    -> SilenceReports {
  auto reports = SilenceReports();
  const auto now = clock_();
  reports.sender_time = now.time_since_epoch();
  for (const auto& id : active_) {
    const auto& state = states_.at(id);
    auto report = SilenceReport();
    report.started_ms = state.replica.started_ms;
    if (state.own_heard &&
        now - *state.own_heard < settings_.evidence_expires) {
      report.heard = now - *state.own_heard;
    }
    for (const auto& [ticket, sent] : state.sent) {
      report.probing = report.probing || sent.probe;
      if (sent.weight > 0 && sent.at > state.heard) {
        report.overdue.push_back({now - sent.at, sent.weight});
      }
    }
    for (const auto& evidence : state.given_up) {
      if (evidence.at > state.heard && evidence.expires > now) {
        report.overdue.push_back({now - evidence.at, evidence.weight});
      }
    }
    std::sort(report.overdue.begin(), report.overdue.end(),
              [](const auto& left, const auto& right) {
                return left.age < right.age;
              });
    if (report.overdue.size() > kToldRequests) {
      report.overdue.resize(kToldRequests);
    }
    const auto heard_matters =
        report.heard && (!state.peers.empty() || in_flight(id));
    if (heard_matters || report.has_evidence()) {
      reports.replicas.emplace(id, std::move(report));
    }
  }
  return reports;
}

auto SilenceDetector::OnTold() -> void {
  urgent_ = false;
  news_ -= std::min(news_, 1U);
}

auto SilenceDetector::TakeChanges() -> std::vector<SuspicionChange> {
  return std::exchange(changes_, {});
}

auto SilenceDetector::OverdueAfter(const ReplicaId& replica) const -> Duration {
  const auto found = states_.find(replica);
  if (found == states_.end()) {
    return settings_.unlearned_overdue;
  }
  const auto* average = &found->second.average;
  if (average->samples < settings_.min_replica_samples) {
    const auto service = services_.find(found->second.replica.service);
    if (service == services_.end() ||
        service->second.samples < settings_.min_service_samples) {
      return settings_.unlearned_overdue;
    }
    average = &service->second;
  }
  const auto seconds = std::max(
      settings_.overdue_factor * average->mean_s,
      average->mean_s + settings_.deviation_factor * average->deviation_s);
  return std::max(settings_.min_overdue, FromSeconds(seconds));
}

}  // namespace kumquatgauge::serving
