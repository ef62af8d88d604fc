#include "kumquatgauge/serving/request_quarantine.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>

#include "kumquatgauge/routing/rendezvous.h"

namespace kumquatgauge::serving {
namespace {

// Returns the traits of a request with the position of each in the prompt. The
// whole request comes last, since it is shared by the fewest.
auto ListTraits(const RequestTraits& traits)
    -> std::vector<std::pair<RequestTrait, std::size_t>> {
  auto list = std::vector<std::pair<RequestTrait, std::size_t>>();
  for (const auto part : traits.parts) {
    list.emplace_back(RequestTrait{RequestTrait::Kind::kPromptPart, part},
                      list.size());
  }
  if (traits.fingerprint) {
    list.emplace_back(
        RequestTrait{RequestTrait::Kind::kWholeRequest, *traits.fingerprint},
        list.size());
  }
  return list;
}

}  // namespace

auto RequestQuarantine::Check(const RequestTraits& traits) -> Admission {
  auto admission = Admission();
  if (suspects_.empty()) {
    return admission;
  }
  const auto now = clock_();
  for (const auto& [trait, depth] : ListTraits(traits)) {
    const auto found = suspects_.find(trait);
    if (found == suspects_.end() || !found->second.quarantined ||
        !IsBlamed(traits, *found)) {
      continue;
    }
    auto& suspect = found->second;
    if (trait.whole_request()) {
      suspect.last_refused = now;
      return {false, false, trait, settings_.forget_time};
    }
    admission.trait = trait;
    if (!IsTrialDue(trait, suspect)) {
      const auto trial_due = suspect.last_crash + TrialDelay(suspect);
      admission.allowed = false;
      admission.trial = false;
      admission.retry_after =
          std::max<Duration>(trial_due - now, settings_.trial_round);
      return admission;
    }
    admission.trial = true;
  }
  return admission;
}

auto RequestQuarantine::IsAsLikely(const Entry& other,
                                   const Entry& suspect) const -> bool {
  const auto is_unanswered_part = [&](const Entry& entry) {
    return !entry.first.whole_request() && !AnsweredAt(entry.first);
  };
  return is_unanswered_part(other) && is_unanswered_part(suspect) &&
         std::all_of(suspect.second.crashes.begin(),
                     suspect.second.crashes.end(), [&](const auto& crash) {
                       return other.second.crashes.contains(crash.first);
                     });
}

auto RequestQuarantine::IsBlamed(const RequestTraits& traits,
                                 const Entry& suspect) const -> bool {
  return std::all_of(
      suspects_.begin(), suspects_.end(), [&](const Entry& other) {
        return !other.second.quarantined || !IsAsLikely(other, suspect) ||
               std::find(traits.parts.begin(), traits.parts.end(),
                         other.first.value) != traits.parts.end();
      });
}

auto RequestQuarantine::CrashTimes(const Suspect& suspect)
    -> std::vector<MonotonicTime> {
  auto times = std::vector<MonotonicTime>();
  for (const auto& [replica, at] : suspect.crashes) {
    times.push_back(at);
  }
  std::sort(times.begin(), times.end());
  return times;
}

auto RequestQuarantine::TrialDelay(const Suspect& suspect) const -> Duration {
  const auto times = CrashTimes(suspect);
  auto delay = settings_.trial_delay;
  for (auto at = settings_.min_crashes; at < times.size(); ++at) {
    // Nodes know the times of crashes with an error of some milliseconds.
    const auto failed_trial = times[at] - times[at - 1] >=
                              settings_.trial_delay - settings_.group_time;
    if (failed_trial) {
      delay = std::min(delay * settings_.trial_delay_factor,
                       settings_.max_trial_delay);
    }
  }
  return delay;
}

auto RequestQuarantine::IsTrialDue(const RequestTrait& trait,
                                   const Suspect& suspect) const -> bool {
  const auto now = clock_();
  const auto due = suspect.last_crash + TrialDelay(suspect);
  const auto in_trial =
      suspect.trial_began && now - *suspect.trial_began < settings_.trial_time;
  if (now < due || in_trial) {
    return false;
  }
  const auto rounds =
      std::min<Duration::rep>((now - due) / settings_.trial_round,
                              std::numeric_limits<std::size_t>::digits - 1);
  return runs_trials_(trait.value, std::size_t{1} << rounds);
}

auto RequestQuarantine::Admit(const RequestTraits& traits) -> Admission {
  while (QuarantineNext()) {
  }
  const auto admission = Check(traits);
  if (admission.trial) {
    for (const auto& [trait, depth] : ListTraits(traits)) {
      const auto found = suspects_.find(trait);
      if (found != suspects_.end() && found->second.quarantined) {
        found->second.trial_began = clock_();
      }
    }
  }
  return admission;
}

auto RequestQuarantine::OnAnswered(const RequestTraits& traits) -> void {
  const auto now = clock_();
  for (const auto& [trait, depth] : ListTraits(traits)) {
    AddAnswer(trait, now);
  }
}

auto RequestQuarantine::AddAnswer(const RequestTrait& trait, MonotonicTime at)
    -> void {
  auto& answered = answered_.try_emplace(trait, at).first->second;
  answered = std::max(answered, at);
  const auto found = suspects_.find(trait);
  if (found != suspects_.end()) {
    auto& suspect = found->second;
    const auto before = suspect.crashes.size();
    std::erase_if(suspect.crashes,
                  [&](const auto& crash) { return crash.second <= answered; });
    if (suspect.crashes.size() != before) {
      Touch(suspect);
    }
    if (suspect.quarantined && suspect.crashes.empty()) {
      suspect.quarantined = false;
      changes_.push_back({trait, false, before});
    }
  }
  EvictAnswers();
}

auto RequestQuarantine::OnCrash(const ReplicaId& replica,
                                const RequestTraits& traits) -> void {
  const auto now = clock_();
  const auto id = routing::RendezvousHash(replica.value());
  const auto list = ListTraits(traits);
  const auto is_quarantined = [&](const RequestTrait& trait) {
    const auto found = suspects_.find(trait);
    return found != suspects_.end() && found->second.quarantined;
  };
  const auto known =
      std::any_of(list.begin(), list.end(),
                  [&](const auto& item) { return is_quarantined(item.first); });
  for (const auto& [trait, depth] : list) {
    if (is_quarantined(trait) || !known) {
      AddCrash(trait, depth, id, now);
    }
  }
}

auto RequestQuarantine::AddCrash(const RequestTrait& trait,
                                 std::size_t depth,
                                 std::uint64_t replica,
                                 MonotonicTime at) -> void {
  const auto answered = AnsweredAt(trait);
  if (answered && at <= *answered) {
    return;
  }
  const auto known = suspects_.find(trait);
  const auto quarantined =
      known != suspects_.end() && known->second.quarantined;
  if (!quarantined && IsExplained(replica)) {
    return;
  }
  auto& suspect = suspects_[trait];
  suspect.depth = depth;
  if (!suspect.crashes.try_emplace(replica, at).second) {
    return;
  }
  suspect.last_crash = std::max(suspect.last_crash, at);
  if (suspect.trial_began && at >= *suspect.trial_began) {
    suspect.trial_began.reset();
  }
  if (suspect.crashes.size() > settings_.max_crashes) {
    suspect.crashes.erase(std::min_element(
        suspect.crashes.begin(), suspect.crashes.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  Touch(suspect);
  EvictSuspects();
}

auto RequestQuarantine::AnsweredAt(const RequestTrait& trait) const
    -> std::optional<MonotonicTime> {
  const auto found = answered_.find(trait);
  if (found == answered_.end() ||
      clock_() - found->second > settings_.answered_memory) {
    return std::nullopt;
  }
  return found->second;
}

auto RequestQuarantine::IsExplained(std::uint64_t replica) const -> bool {
  return std::any_of(suspects_.begin(), suspects_.end(), [&](const auto& item) {
    return item.second.quarantined && item.second.crashes.contains(replica);
  });
}

auto RequestQuarantine::GroupCount(const Suspect& suspect) const
    -> std::size_t {
  const auto times = CrashTimes(suspect);
  auto groups = std::size_t{0};
  auto last = MonotonicTime::min();
  for (const auto at : times) {
    if (groups == 0 || at - last >= settings_.group_time) {
      ++groups;
      last = at;
    }
  }
  return groups;
}

auto RequestQuarantine::MustQuarantine(const RequestTrait& trait,
                                       const Suspect& suspect) const -> bool {
  if (suspect.quarantined || suspect.crashes.size() < settings_.min_crashes) {
    return false;
  }
  auto first = MonotonicTime::max();
  for (const auto& [replica, at] : suspect.crashes) {
    first = std::min(first, at);
  }
  if (clock_() - first < settings_.objection_time) {
    return false;
  }
  const auto groups = GroupCount(suspect);
  if (!AnsweredAt(trait)) {
    return groups >= settings_.min_crashes;
  }
  return groups >= settings_.min_crashes_answered &&
         suspect.last_crash - first >= settings_.min_span;
}

auto RequestQuarantine::QuarantineNext() -> bool {
  auto chosen = suspects_.end();
  const auto rank = [&](Suspects::iterator suspect) {
    // A part without an answer is the likeliest. Of several with as many
    // crashes, the last one stops the fewest other requests.
    return std::tuple(!AnsweredAt(suspect->first).has_value(),
                      suspect->second.crashes.size(), suspect->second.depth);
  };
  for (auto suspect = suspects_.begin(); suspect != suspects_.end();
       ++suspect) {
    if (MustQuarantine(suspect->first, suspect->second) &&
        (chosen == suspects_.end() || rank(suspect) > rank(chosen))) {
      chosen = suspect;
    }
  }
  if (chosen == suspects_.end()) {
    return false;
  }
  Quarantine(chosen);
  return true;
}

auto RequestQuarantine::Quarantine(Suspects::iterator chosen) -> void {
  auto& quarantined = chosen->second;
  quarantined.quarantined = true;
  changes_.push_back({chosen->first, true, quarantined.crashes.size()});
  Touch(quarantined);
  const auto& trait = chosen->first;
  for (auto& other : suspects_) {
    auto& suspect = other.second;
    // A part may be the reason why several requests crash replicas.
    const auto explained =
        !trait.whole_request() || other.first.whole_request();
    if (!suspect.quarantined && explained && !IsAsLikely(other, *chosen)) {
      std::erase_if(suspect.crashes, [&](const auto& crash) {
        return quarantined.crashes.contains(crash.first);
      });
    }
  }
}

auto RequestQuarantine::Report() const -> std::vector<SuspectReport> {
  auto order = std::vector<Suspects::const_iterator>();
  for (auto suspect = suspects_.begin(); suspect != suspects_.end();
       ++suspect) {
    order.push_back(suspect);
  }
  const auto order_of = [](const Suspect& suspect) {
    // An objection has no crashes and matters as much as a second one.
    constexpr std::size_t kObjection = 2;
    const auto crashes =
        suspect.crashes.empty() ? kObjection : suspect.crashes.size();
    return std::tuple(suspect.quarantined, crashes, suspect.changed);
  };
  std::sort(order.begin(), order.end(), [&](const auto& a, const auto& b) {
    return order_of(a->second) > order_of(b->second);
  });
  order.resize(std::min(order.size(), settings_.max_report));
  const auto now = clock_();
  auto reports = std::vector<SuspectReport>();
  for (const auto& item : order) {
    const auto& suspect = item->second;
    auto report = SuspectReport();
    report.trait = item->first;
    report.depth = suspect.depth;
    for (const auto& [replica, at] : suspect.crashes) {
      report.crashes.push_back({replica, now - at});
    }
    if (const auto answered = AnsweredAt(item->first)) {
      report.answered_age = now - *answered;
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

auto RequestQuarantine::OnReport(const std::vector<SuspectReport>& reports)
    -> std::vector<SuspectReport> {
  const auto now = clock_();
  auto objections = std::vector<SuspectReport>();
  for (const auto& report : reports) {
    if (report.answered_age) {
      AddAnswer(report.trait, now - *report.answered_age);
    }
    for (const auto& crash : report.crashes) {
      AddCrash(report.trait, report.depth, crash.replica, now - crash.age);
    }
    // Objects to crashes that the other node counts although this one has a
    // later answer.
    const auto answered = AnsweredAt(report.trait);
    const auto outdated =
        answered && std::any_of(report.crashes.begin(), report.crashes.end(),
                                [&](const auto& crash) {
                                  return now - crash.age <= *answered;
                                });
    if (outdated ||
        (answered && !report.answered_age && !report.crashes.empty())) {
      auto& suspect = suspects_[report.trait];
      suspect.depth = report.depth;
      Touch(suspect);
      EvictSuspects();
      objections.push_back({report.trait, report.depth, {}, now - *answered});
    }
  }
  return objections;
}

auto RequestQuarantine::OnTick() -> std::vector<QuarantineChange> {
  while (QuarantineNext()) {
  }
  ForgetOld();
  return std::exchange(changes_, {});
}

auto RequestQuarantine::ForgetOld() -> void {
  const auto now = clock_();
  std::erase_if(suspects_, [&](const auto& item) {
    const auto& [trait, suspect] = item;
    const auto kept = suspect.quarantined       ? settings_.forget_time
                      : suspect.crashes.empty() ? settings_.cleared_time
                                                : settings_.suspicion_time;
    const auto forgotten =
        now - std::max({suspect.last_crash, suspect.changed,
                        trait.whole_request() ? suspect.last_refused
                                              : suspect.last_crash}) >
        kept;
    if (forgotten && suspect.quarantined) {
      changes_.push_back({trait, false, suspect.crashes.size()});
    }
    return forgotten;
  });
}

auto RequestQuarantine::EvictSuspects() -> void {
  while (suspects_.size() > settings_.max_suspects) {
    suspects_.erase(std::min_element(
        suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
          return std::pair(a.second.quarantined, a.second.last_crash) <
                 std::pair(b.second.quarantined, b.second.last_crash);
        }));
  }
}

auto RequestQuarantine::EvictAnswers() -> void {
  if (answered_.size() <= settings_.max_answered) {
    return;
  }
  // Drops the older half at once, so that this happens rarely.
  auto times = std::vector<MonotonicTime>();
  for (const auto& [trait, at] : answered_) {
    times.push_back(at);
  }
  const auto middle =
      std::next(times.begin(), static_cast<std::ptrdiff_t>(times.size() / 2));
  std::nth_element(times.begin(), middle, times.end());
  const auto oldest = *middle;
  std::erase_if(answered_,
                [&](const auto& item) { return item.second < oldest; });
}

auto RequestQuarantine::Touch(Suspect& suspect) -> void {
  suspect.changed = clock_();
  changed_at_ = suspect.changed;
  changed_();
}

auto RequestQuarantine::quarantined() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(suspects_.begin(), suspects_.end(),
                    [](const auto& item) { return item.second.quarantined; }));
}

}  // namespace kumquatgauge::serving
