#include "kumquatgauge/serving/token_quota.h"

#include <algorithm>
#include <cmath>

#include "kumquatgauge/base/seconds.h"

namespace kumquatgauge::serving {

auto TokenQuota::SetLimit(std::uint64_t limit, std::uint64_t configuration)
    -> void {
  if (configuration <= configuration_) {
    return;
  }
  if (configuration_ != 0 && limit != limit_) {
    limit_changed_in_ = configuration;
    used_up_at_.reset();
  }
  limit_ = limit;
  configuration_ = configuration;
}

auto TokenQuota::SetSelf(const TokenHolder& self) -> void {
  if (self == self_) {
    return;
  }
  self_ = self;
  held_.clear();
  used_ = 0;
  account_.reset();
  version_.reset();
  released_.reset();
  used_up_at_.reset();
}

auto TokenQuota::Next(TokenRequest& request) -> QuotaStep {
  if (limit_ == 0 || used_ + request.tokens <= usable()) {
    held_[request.job] += request.tokens;
    used_ += request.tokens;
    auto granted = QuotaStep();
    granted.kind = QuotaStep::Kind::kGranted;
    return granted;
  }
  if (!request.begun && IsUsedUp(request.tokens)) {
    return Refuse(request, "the quota was used up a moment ago");
  }
  request.begun = true;
  if (++request.steps > settings_.max_steps) {
    return Refuse(request, "other nodes change the account at the same time");
  }
  auto step = QuotaStep();
  const auto fresh = account_ && !request.conflicted &&
                     account_age() <= settings_.fresh_account_age;
  if (!request.account_read && !fresh) {
    step.kind = QuotaStep::Kind::kReadAccount;
    return step;
  }
  request.account_read = true;
  if (!account_ || NeedsRebase(*account_)) {
    if (request.owed) {
      return Write(Rebased(*request.owed));
    }
    step.kind = QuotaStep::Kind::kListJobs;
    return step;
  }
  if (auto raised = Raised(*account_, request.tokens)) {
    return Write(*std::move(raised));
  }
  if (!request.asked) {
    step.holders = OthersToAsk();
    request.asked = step.holders;
    if (!step.holders.empty()) {
      step.kind = QuotaStep::Kind::kAskHolders;
      return step;
    }
  }
  if (!request.owed && HasEndedHolders()) {
    step.kind = QuotaStep::Kind::kListJobs;
    return step;
  }
  auto next = Reclaimed(request);
  if (auto raised = Raised(next, request.tokens)) {
    next = *std::move(raised);
  }
  if (next != *account_) {
    return Write(std::move(next));
  }
  return Refuse(request, "the quota is used up");
}

auto TokenQuota::OnAccount(TokenRequest& request,
                           const std::optional<TokenAccount>& account,
                           std::uint64_t version,
                           MonotonicTime asked_at) -> void {
  request.account_read = true;
  request.conflicted = false;
  Keep(account, version, asked_at);
}

auto TokenQuota::OnWritten(const TokenAccount& account,
                           std::uint64_t version,
                           MonotonicTime asked_at) -> void {
  Keep(account, version, asked_at);
}

auto TokenQuota::OnConflict(TokenRequest& request) -> void {
  request.account_read = false;
  request.conflicted = true;
}

auto TokenQuota::MaxConflictPause(std::size_t nodes) -> Duration {
  // A write takes some milliseconds.
  constexpr auto kPerNode = std::chrono::milliseconds(2);
  constexpr auto kMin = std::chrono::milliseconds(20);
  constexpr auto kMax = std::chrono::milliseconds(400);
  return std::clamp<Duration>(kPerNode * static_cast<std::int64_t>(nodes), kMin,
                              kMax);
}

auto TokenQuota::IsDecided(std::uint64_t tokens) const -> bool {
  return limit_ == 0 || used_ + tokens <= usable() || IsUsedUp(tokens);
}

auto TokenQuota::OnFinished(const JobId& job, std::uint64_t tokens) -> void {
  const auto held = held_.find(job);
  if (held == held_.end()) {
    return;
  }
  const auto finished = std::min(tokens, held->second);
  held->second -= finished;
  used_ -= finished;
  RecordFinished(finished);
  if (held->second == 0) {
    held_.erase(held);
  }
}

auto TokenQuota::OnOver(const JobId& job) -> void {
  const auto held = held_.find(job);
  if (held != held_.end()) {
    used_ -= held->second;
    held_.erase(held);
  }
}

auto TokenQuota::Release() -> std::optional<TokenRelease> {
  if (!account_) {
    return std::nullopt;
  }
  released_ = TokenRelease{ShareOf(*account_, self_).generation, used_};
  return released_;
}

auto TokenQuota::usable() const -> std::uint64_t {
  if (!account_ || NeedsRebase(*account_) ||
      account_age() > settings_.max_share_age) {
    return 0;
  }
  const auto share = ShareOf(*account_, self_);
  // After the limit was lowered, what finishes must not be used again.
  if (share.revoked || account_->lent() > account_->limit) {
    return 0;
  }
  return released_ && released_->generation == share.generation
             ? std::min(share.tokens, released_->tokens)
             : share.tokens;
}

auto TokenQuota::jobs() const -> std::vector<JobId> {
  auto jobs = std::vector<JobId>();
  for (const auto& [job, tokens] : held_) {
    jobs.push_back(job);
  }
  return jobs;
}

// A node whose configuration is older takes the limit from the account.
auto TokenQuota::NeedsRebase(const TokenAccount& account) const -> bool {
  return account.configuration < limit_changed_in_ ||
         (account.configuration < configuration_ && account.limit != limit_);
}

auto TokenQuota::ShareOf(const TokenAccount& account,
                         const TokenHolder& holder) const -> TokenShare {
  const auto found = account.shares.find(holder);
  return found == account.shares.end() ? TokenShare() : found->second;
}

auto TokenQuota::Rebased(const TokensByHolder& owed) -> TokenAccount {
  auto next = TokenAccount{limit_, configuration_, {}};
  for (const auto& [holder, tokens] : owed) {
    next.shares[holder] = {tokens, 0, false};
  }
  if (account_) {
    for (const auto& [holder, share] : account_->shares) {
      auto& kept = next.shares[holder];
      // Shares that fitted in a lower limit fit in a higher one.
      if (limit_ > account_->limit) {
        kept.tokens = std::max(kept.tokens, share.tokens);
      }
      kept.generation = share.generation;
      kept.revoked = share.revoked;
    }
  }
  std::erase_if(next.shares,
                [](const auto& entry) { return entry.second.tokens == 0; });
  if (used_ > 0) {
    SetOwnShare(next, std::max(used_, ShareOf(next, self_).tokens));
  }
  return next;
}

auto TokenQuota::Raised(const TokenAccount& account, std::uint64_t tokens)
    -> std::optional<TokenAccount> {
  const auto own = ShareOf(account, self_).tokens;
  const auto others = account.lent() - own;
  const auto needed = used_ + tokens;
  if (others + needed > account.limit) {
    return std::nullopt;
  }
  const auto available = account.limit - others;
  const auto spare =
      (available - needed) /
      std::max({nodes_, account.shares.size(), settings_.min_spare_divisor});
  auto raised = account;
  SetOwnShare(raised, std::max(needed + spare, std::min(own, available)));
  return raised;
}

auto TokenQuota::Reclaimed(const TokenRequest& request) -> TokenAccount {
  auto next = *account_;
  for (auto& [holder, share] : next.shares) {
    if (holder != self_) {
      Reclaim(holder, share, request);
    }
  }
  // A share covers what its holder has accepted, also under a lower limit.
  const auto own = ShareOf(next, self_).tokens;
  if (own < used_ || (own > used_ && next.lent() > next.limit)) {
    SetOwnShare(next, used_);
  }
  std::erase_if(next.shares,
                [](const auto& entry) { return entry.second.tokens == 0; });
  return next;
}

auto TokenQuota::Reclaim(const TokenHolder& holder,
                         TokenShare& share,
                         const TokenRequest& request) -> void {
  const auto status = status_(holder);
  if (status == HolderStatus::kLive && !share.revoked) {
    const auto asked =
        request.asked && std::find(request.asked->begin(), request.asked->end(),
                                   holder) != request.asked->end();
    const auto release = request.releases.find(holder);
    const auto answered = release != request.releases.end() &&
                          release->second.generation >= share.generation;
    if (answered && release->second.generation == share.generation) {
      share.tokens = std::min(share.tokens, release->second.tokens);
    }
    share.revoked = asked && !answered;
    return;
  }
  const auto revoked = revoked_at_.find({holder, share.generation});
  const auto lapsed =
      status == HolderStatus::kReplaced ||
      (share.revoked && revoked != revoked_at_.end() &&
       clock_() - revoked->second >= settings_.revocation_delay);
  if (!lapsed) {
    share.revoked = true;
  } else if (request.owed) {
    const auto owed = request.owed->find(holder);
    share.tokens =
        std::min(share.tokens,
                 owed == request.owed->end() ? std::uint64_t{0} : owed->second);
  }
}

auto TokenQuota::OthersToAsk() const -> std::vector<TokenHolder> {
  auto holders = std::vector<TokenHolder>();
  for (const auto& [holder, share] : account_->shares) {
    if (holder != self_ && !share.revoked &&
        status_(holder) == HolderStatus::kLive) {
      holders.push_back(holder);
    }
  }
  std::sort(holders.begin(), holders.end(), [&](const auto& a, const auto& b) {
    return account_->shares.at(a).tokens > account_->shares.at(b).tokens;
  });
  holders.resize(std::min(holders.size(), settings_.max_asked_holders));
  return holders;
}

auto TokenQuota::HasEndedHolders() const -> bool {
  return std::any_of(account_->shares.begin(), account_->shares.end(),
                     [&](const auto& entry) {
                       return entry.first != self_ &&
                              (entry.second.revoked ||
                               status_(entry.first) == HolderStatus::kReplaced);
                     });
}

auto TokenQuota::SetOwnShare(TokenAccount& account, std::uint64_t tokens)
    -> void {
  auto& share = account.shares[self_];
  generation_ = std::max(generation_, share.generation) + 1;
  share = {tokens, generation_, false};
}

auto TokenQuota::Write(TokenAccount account) const -> QuotaStep {
  auto step = QuotaStep();
  step.kind = QuotaStep::Kind::kWriteAccount;
  step.account = std::move(account);
  step.version = version_;
  return step;
}

auto TokenQuota::Refuse(const TokenRequest& request, std::string reason)
    -> QuotaStep {
  if (request.begun) {
    const auto again = IsUsedUp(0);
    used_up_tokens_ =
        again ? std::min(used_up_tokens_, request.tokens) : request.tokens;
    used_up_at_ = clock_();
  }
  auto step = QuotaStep();
  step.retry_after = RetryAfter(request.tokens);
  step.reason = std::move(reason);
  return step;
}

// Any job counts as refused lately if `tokens` is 0.
auto TokenQuota::IsUsedUp(std::uint64_t tokens) const -> bool {
  const auto interval =
      settings_.used_up_interval +
      settings_.used_up_interval_per_node * static_cast<std::int64_t>(nodes_);
  return used_up_at_ && clock_() - *used_up_at_ < interval &&
         (tokens == 0 || tokens >= used_up_tokens_);
}

auto TokenQuota::Keep(std::optional<TokenAccount> account,
                      std::uint64_t version,
                      MonotonicTime asked_at) -> void {
  account_ = std::move(account);
  seen_at_ = asked_at;
  if (!account_) {
    version_.reset();
    return;
  }
  version_ = version;
  generation_ = std::max(generation_, ShareOf(*account_, self_).generation);
  auto revoked = std::exchange(revoked_at_, {});
  for (const auto& [holder, share] : account_->shares) {
    if (share.revoked) {
      const auto key = std::pair(holder, share.generation);
      const auto known = revoked.find(key);
      revoked_at_[key] = known == revoked.end() ? clock_() : known->second;
    }
  }
}

auto TokenQuota::RetryAfter(std::uint64_t tokens) const -> Duration {
  const auto share = account_ ? ShareOf(*account_, self_).tokens : 0;
  const auto needed = used_ + tokens;
  const auto missing = static_cast<double>(needed - std::min(needed, share));
  const auto rate = FinishRate();
  if (rate <= 0) {
    return settings_.initial_retry_after;
  }
  const auto seconds =
      std::min(missing / rate, ToSeconds(settings_.max_retry_after));
  return std::max(settings_.min_retry_after, FromSeconds(seconds));
}

auto TokenQuota::RecordFinished(std::uint64_t tokens) -> void {
  const auto now = clock_();
  finished_ *=
      std::exp(-ToSeconds(now - finished_at_) / ToSeconds(settings_.rate_time));
  finished_ += static_cast<double>(tokens);
  finished_at_ = now;
}

auto TokenQuota::FinishRate() const -> double {
  const auto time = ToSeconds(settings_.rate_time);
  return finished_ * std::exp(-ToSeconds(clock_() - finished_at_) / time) /
         time;
}

}  // namespace kumquatgauge::serving
