#ifndef KUMQUATGAUGE_SERVING_TOKEN_QUOTA_H_
#define KUMQUATGAUGE_SERVING_TOKEN_QUOTA_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/serving/token_account.h"

namespace kumquatgauge::serving {

struct TokenQuotaSettings {
  // How long a share may be used after it was last seen in the store.
  Duration max_share_age = std::chrono::seconds(30);
  // When a revoked share is taken back from a holder that does not answer.
  // Longer than the age, and than the time in which a job is stored.
  Duration revocation_delay = std::chrono::seconds(40);
  // A copy of the account that is not older is changed without reading it
  // again; a conflict shows that it was out of date.
  Duration fresh_account_age = std::chrono::seconds(1);
  // After the quota was found used up, how long jobs are refused without asking
  // again. With the part per node, the calls of all nodes together are bounded.
  Duration used_up_interval = std::chrono::milliseconds(250);
  Duration used_up_interval_per_node = std::chrono::milliseconds(4);
  // Number of holders that one job asks to release, those with the most first.
  std::size_t max_asked_holders = 16;
  // Beyond what it needs, a node takes what is left divided by the number of
  // nodes, or by this one if it is larger: a node that has just started knows
  // few others.
  std::size_t min_spare_divisor = 8;
  // Time over which the rate of finished tokens is averaged.
  Duration rate_time = std::chrono::seconds(3);
  // Bounds of the time after which a refused job may come again, and that time
  // before any item has finished.
  Duration min_retry_after = std::chrono::milliseconds(250);
  Duration max_retry_after = std::chrono::seconds(30);
  Duration initial_retry_after = std::chrono::seconds(2);
  // Steps after which a job is refused, since others change the account.
  int max_steps = 24;
};

enum class HolderStatus {
  kLive,
  kReplaced,  // A later start of the node is known, so this one accepts
              // nothing.
  kGone,      // Not a member; it may still run, out of reach.
};

// What a holder gives back when it is asked.
struct TokenRelease {
  std::uint64_t generation = 0;  // Of the share that the answer is about.
  std::uint64_t tokens = 0;      // That it keeps.

  auto operator==(const TokenRelease&) const -> bool = default;
};

using TokensByHolder = std::map<TokenHolder, std::uint64_t>;

// One job that asks for tokens, and what was learned for it so far.
struct TokenRequest {
  JobId job;
  std::uint64_t tokens = 0;
  bool begun = false;
  bool account_read = false;
  // A write has shown that this node's copy of the account is out of date.
  bool conflicted = false;
  int steps = 0;
  std::optional<std::vector<TokenHolder>> asked;
  std::map<TokenHolder, TokenRelease> releases;
  // Tokens of the jobs in the store that are not over, by who accepted them.
  std::optional<TokensByHolder> owed;
};

// What must be done next for a job that asks for tokens.
struct QuotaStep {
  enum class Kind {
    kGranted,       // The tokens are reserved.
    kRefused,       // See `retry_after`.
    kReadAccount,   // Then call OnAccount().
    kWriteAccount,  // `account`, at `version`. Then OnWritten() or
                    // OnConflict().
    kListJobs,      // Then call OnListed().
    kAskHolders,    // `holders`, to release. Then call OnReleased().
  };

  Kind kind = Kind::kRefused;
  TokenAccount account;
  std::optional<std::uint64_t> version;  // Empty: the object does not exist.
  std::vector<TokenHolder> holders;
  Duration retry_after{0};
  std::string reason;
};

// Decides on one node whether the items of a job fit in the quota of a route.
// The quota holds for all nodes together, also for those that cannot hear each
// other. Each node has a share, which it uses without asking; the shares are
// kept in the store, where all jobs are stored in any case. Far from the limit
// a node asks once. Near it, the nodes release what they do not use. A share
// covers what its holder has accepted until that is finished, by whichever
// node, so that it outlives the holder.
class TokenQuota {
 public:
  using StatusHook = std::function<auto(const TokenHolder&)->HolderStatus>;

  // `clock` must go on while the host is suspended.
  TokenQuota(TokenQuotaSettings settings, StatusHook status, Clock clock)
      : settings_(settings),
        status_(std::move(status)),
        clock_(std::move(clock)) {}

  // Sets the limit by a configuration; 0 is no limit.
  auto SetLimit(std::uint64_t limit, std::uint64_t configuration) -> void;
  // Sets which start of which node this is. A new one has accepted nothing.
  auto SetSelf(const TokenHolder& self) -> void;
  auto set_nodes(std::size_t nodes) -> void { nodes_ = nodes; }

  // Returns what must be done for a job. Requests must not be interleaved.
  auto Next(TokenRequest& request) -> QuotaStep;
  // The results of steps. `asked_at` is the time before the call to the store.
  auto OnAccount(TokenRequest& request,
                 const std::optional<TokenAccount>& account,
                 std::uint64_t version,
                 MonotonicTime asked_at) -> void;
  auto OnWritten(const TokenAccount& account,
                 std::uint64_t version,
                 MonotonicTime asked_at) -> void;
  static auto OnConflict(TokenRequest& request) -> void;

  // Longest pause after a conflict, so that nodes that begin at the same time
  // do not conflict again.
  static auto MaxConflictPause(std::size_t nodes) -> Duration;

  // Whether a job would be granted or refused without any other step.
  auto IsDecided(std::uint64_t tokens) const -> bool;

  // Records that items of a job have finished, failed for good or were given
  // up, and that a whole job is over or was not accepted. Jobs that other nodes
  // accepted are ignored.
  auto OnFinished(const JobId& job, std::uint64_t tokens) -> void;
  auto OnOver(const JobId& job) -> void;
  // Gives back what this node does not use, for another one that asks. Returns
  // nothing if this node does not know its share.
  auto Release() -> std::optional<TokenRelease>;

  // Tokens of unfinished items that this node accepted.
  auto used() const -> std::uint64_t { return used_; }
  // Tokens that this node may have waiting now.
  auto usable() const -> std::uint64_t;
  auto limit() const -> std::uint64_t { return limit_; }
  auto account() const -> const std::optional<TokenAccount>& {
    return account_;
  }
  // How long ago the account was seen in the store.
  auto account_age() const -> Duration { return clock_() - seen_at_; }
  auto jobs() const -> std::vector<JobId>;

 private:
  auto NeedsRebase(const TokenAccount& account) const -> bool;
  auto ShareOf(const TokenAccount& account, const TokenHolder& holder) const
      -> TokenShare;
  // Returns the account under the current limit.
  auto Rebased(const TokensByHolder& owed) -> TokenAccount;
  // Returns the account with a larger own share; nothing if it does not fit.
  auto Raised(const TokenAccount& account, std::uint64_t tokens)
      -> std::optional<TokenAccount>;
  // Returns the account without the shares that their holders do not use.
  auto Reclaimed(const TokenRequest& request) -> TokenAccount;
  auto Reclaim(const TokenHolder& holder,
               TokenShare& share,
               const TokenRequest& request) -> void;
  auto OthersToAsk() const -> std::vector<TokenHolder>;
  auto HasEndedHolders() const -> bool;
  auto SetOwnShare(TokenAccount& account, std::uint64_t tokens) -> void;
  auto Write(TokenAccount account) const -> QuotaStep;
  auto Refuse(const TokenRequest& request, std::string reason) -> QuotaStep;
  auto IsUsedUp(std::uint64_t tokens) const -> bool;
  auto Keep(std::optional<TokenAccount> account,
            std::uint64_t version,
            MonotonicTime asked_at) -> void;
  auto RetryAfter(std::uint64_t tokens) const -> Duration;
  auto RecordFinished(std::uint64_t tokens) -> void;
  // Returns the tokens that finish per second.
  auto FinishRate() const -> double;

  TokenQuotaSettings settings_;
  StatusHook status_;
  Clock clock_;
  TokenHolder self_;
  std::size_t nodes_ = 1;
  std::uint64_t limit_ = 0;
  std::uint64_t configuration_ = 0;
  // The configuration in which the limit was last seen to change.
  std::uint64_t limit_changed_in_ = 0;

  std::map<JobId, std::uint64_t> held_;
  std::uint64_t used_ = 0;

  std::optional<TokenAccount> account_;
  std::optional<std::uint64_t> version_;  // Of the stored object.
  MonotonicTime seen_at_;
  std::uint64_t generation_ = 0;
  // What Release() has left of the share with this generation.
  std::optional<TokenRelease> released_;
  // When this node first saw that a share is revoked.
  std::map<std::pair<TokenHolder, std::uint64_t>, MonotonicTime> revoked_at_;

  std::optional<MonotonicTime> used_up_at_;
  std::uint64_t used_up_tokens_ = 0;  // Of the smallest job refused since.
  double finished_ = 0;               // Decays over `rate_time`.
  MonotonicTime finished_at_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_TOKEN_QUOTA_H_
