#include "kumquatgauge/serving/request_rate_account.h"

#include <algorithm>
#include <cmath>

#include "kumquatgauge/base/seconds.h"

namespace kumquatgauge::serving {
namespace {

// Reachable shares above this count as all nodes: the few that are missing can
// accept at most the rest of the rate, which is within the 10 % that a limit
// may be exceeded, and a node that has ended for good costs no capacity.
constexpr double kFullShare = 0.95;
// Sequences begin at the wall clock time in microseconds. One that is this much
// lower is from a node whose clock was set back before it started again.
constexpr std::uint64_t kClockSetBack = 1'000'000;

}  // namespace

RequestRateAccount::RequestRateAccount(RequestRateSettings settings,
                                       const RequestLimit& limit,
                                       Clock clock)
    : settings_(settings),
      limit_(limit),
      clock_(std::move(clock)),
      refilled_(clock_()) {
  balance_ =
      std::min(capacity(), settings_.start_tokens +
                               limit_.rate * ToSeconds(settings_.start_time));
}

auto RequestRateAccount::capacity() const -> double {
  // What remains of the allowed excess in the worst case that is described at
  // RequestRateSettings, with a margin of 4 for local decisions.
  constexpr double kAllowance = 12;
  constexpr double kPerBurst = 0.1;
  constexpr double kPerRate = 0.2;
  const auto extra =
      std::clamp(kAllowance + kPerBurst * limit_.burst - kPerRate * limit_.rate,
                 0.0, settings_.extra_capacity);
  return std::max(1.0, limit_.burst + extra);
}

auto RequestRateAccount::SetLimit(const RequestLimit& limit) -> void {
  Refill();
  limit_ = limit;
  balance_ = std::min(balance_, capacity());
}

auto RequestRateAccount::LimitBalance(double balance) -> void {
  Refill();
  balance_ = std::min(balance_, std::max(0.0, balance));
}

auto RequestRateAccount::Debit(double tokens) -> void {
  Refill();
  // A node that was cut off itself must not reject for long once it is back.
  const auto most = limit_.rate * ToSeconds(settings_.loss_detection_time);
  balance_ = std::max(balance_ - tokens, std::min(balance_, -most));
}

auto RequestRateAccount::balance() -> double {
  Refill();
  return balance_;
}

auto RequestRateAccount::Refill() -> void {
  const auto now = clock_();
  balance_ =
      std::min(capacity(), balance_ + limit_.rate * ToSeconds(now - refilled_));
  refilled_ = now;
}

auto RequestRateAccount::TokenDelay() const -> Duration {
  const auto seconds = std::max(0.0, 1.0 - balance_) / limit_.rate;
  return FromSeconds(std::min(seconds, ToSeconds(settings_.max_retry_after)));
}

// Returns when the first of the rejected requests may come again.
auto RequestRateAccount::Queue(std::uint32_t rejected, MonotonicTime now)
    -> Duration {
  const auto first = std::max(next_slot_, now + TokenDelay());
  const auto last = now + settings_.max_retry_after;
  const auto seconds = std::min(static_cast<double>(rejected) / limit_.rate,
                                ToSeconds(settings_.max_retry_after));
  next_slot_ = std::min(first + FromSeconds(seconds), last);
  return std::min(first, last) - now;
}

auto RequestRateAccount::ForgetPeers(MonotonicTime now) -> void {
  if (now - peers_checked_ < settings_.peer_memory) {
    return;
  }
  peers_checked_ = now;
  std::erase_if(peers_, [&](const auto& entry) {
    return now - entry.second.seen > settings_.peer_memory;
  });
}

auto RequestRateAccount::OnAsk(const NodeId& from, const RequestAsk& ask)
    -> std::optional<RequestGrant> {
  const auto now = clock_();
  ForgetPeers(now);
  auto& peer = peers_[from];
  const auto wants = ask.needed > 0 || ask.ahead > 0;
  if (peer.last.sequence == ask.sequence && wants && ask.sequence != 0) {
    return peer.last;
  }
  if (ask.sequence <= peer.last.sequence &&
      peer.last.sequence - ask.sequence < kClockSetBack) {
    return std::nullopt;
  }
  peer.seen = now;
  Refill();
  balance_ = std::min(capacity(), balance_ + ask.returned);
  auto grant = RequestGrant();
  grant.organisation = ask.organisation;
  grant.sequence = ask.sequence;
  const auto needed =
      std::min<double>(ask.needed, std::floor(std::max(0.0, balance_)));
  balance_ -= needed;
  // No more than half of the rest, since others may need it before this node
  // does.
  const auto ahead =
      std::min<double>(ask.ahead, std::floor(std::max(0.0, balance_) / 2));
  balance_ -= ahead;
  grant.tokens = static_cast<std::uint32_t>(needed + ahead);
  const auto refused = ask.needed - static_cast<std::uint32_t>(needed);
  if (balance_ < 1) {
    grant.pause = std::min(settings_.max_pause, TokenDelay());
  }
  if (refused + ask.rejected > 0 || grant.pause > Duration::zero()) {
    grant.retry_after = Queue(refused + ask.rejected, now);
  }
  peer.last = grant;
  return wants ? std::optional(grant) : std::nullopt;
}

auto RequestRateAccounts::EffectiveLimit(
    const OrganisationName& organisation) const -> std::optional<RequestLimit> {
  const auto found = limits_.find(organisation);
  if (found == limits_.end()) {
    return std::nullopt;
  }
  return RequestLimit{.rate = found->second.rate * share_,
                      .burst = found->second.burst * share_};
}

auto RequestRateAccounts::AccountOf(const OrganisationName& organisation)
    -> RequestRateAccount* {
  const auto found = accounts_.find(organisation);
  if (found != accounts_.end()) {
    return &found->second;
  }
  const auto limit = EffectiveLimit(organisation);
  if (!limit) {
    return nullptr;
  }
  auto& account =
      accounts_
          .emplace(organisation, RequestRateAccount(settings_, *limit, clock_))
          .first->second;
  if (share_ < 1) {
    // The previous keeper may go on granting behind a partition.
    account.LimitBalance(0);
  }
  return &account;
}

auto RequestRateAccounts::ApplyLimits() -> void {
  for (auto entry = accounts_.begin(); entry != accounts_.end();) {
    const auto limit = EffectiveLimit(entry->first);
    if (!limit) {
      entry = accounts_.erase(entry);
      continue;
    }
    entry->second.SetLimit(*limit);
    ++entry;
  }
}

auto RequestRateAccounts::SetLimits(RequestLimits limits) -> void {
  limits_ = std::move(limits);
  ApplyLimits();
}

auto RequestRateAccounts::SetReachableShare(double share) -> void {
  const auto next = share >= kFullShare ? 1.0 : share;
  if (next == share_) {
    return;
  }
  const auto lost = std::max(0.0, share_ - next);
  share_ = next;
  ApplyLimits();
  // The nodes that were lost may have decided locally since then.
  for (auto& [organisation, account] : accounts_) {
    account.Debit(limits_.at(organisation).rate * lost *
                  ToSeconds(settings_.loss_detection_time));
  }
}

auto RequestRateAccounts::SettlingTime() const -> Duration {
  return settled_ ? Duration::zero()
                  : settings_.settle_time -
                        std::min(settings_.settle_time, clock_() - started_);
}

auto RequestRateAccounts::OnAsk(const NodeId& from,
                                const RequestAsk& ask,
                                bool forwarded) -> Answer {
  auto answer = Answer();
  if (SettlingTime() > Duration::zero()) {
    return answer;
  }
  if (!forwarded) {
    const auto keeper = keeper_(ask.organisation);
    if (keeper.empty()) {
      return answer;
    }
    if (keeper != self_) {
      answer.keeper = keeper;
      return answer;
    }
  }
  auto* account = AccountOf(ask.organisation);
  if (account != nullptr) {
    answer.grant = account->OnAsk(from, ask);
  }
  return answer;
}

auto RequestRateAccounts::OnHandover(const OrganisationName& organisation,
                                     double balance) -> void {
  auto* account = AccountOf(organisation);
  if (account == nullptr) {
    return;
  }
  account->LimitBalance(balance);
  // Until this node answers asks, the others decide locally at the same rate.
  account->Debit(limits_.at(organisation).rate * ToSeconds(SettlingTime()));
}

auto RequestRateAccounts::OnMembersChanged() -> std::vector<Handover> {
  auto handovers = std::vector<Handover>();
  for (auto entry = accounts_.begin(); entry != accounts_.end();) {
    const auto keeper = keeper_(entry->first);
    if (keeper == self_) {
      ++entry;
      continue;
    }
    if (!keeper.empty()) {
      handovers.push_back({entry->first, keeper, entry->second.balance()});
    }
    entry = accounts_.erase(entry);
  }
  return handovers;
}

}  // namespace kumquatgauge::serving
