#ifndef KUMQUATGAUGE_SERVING_REQUEST_RATE_ACCOUNT_H_
#define KUMQUATGAUGE_SERVING_REQUEST_RATE_ACCOUNT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"

namespace kumquatgauge::serving {

// Limit of the online requests of one organisation over all nodes.
struct RequestLimit {
  double rate = 0;  // Requests per second.
  double burst = 0;

  auto operator==(const RequestLimit&) const -> bool = default;
};

using RequestLimits = std::map<OrganisationName, RequestLimit>;

// What a node asks of the keeper of an organisation. One without tokens only
// returns some and is not answered.
struct RequestAsk {
  OrganisationName organisation;
  // Rises with each ask of a node for the organisation, also across restarts. A
  // repeated ask has the number of the first one.
  std::uint64_t sequence = 0;
  std::uint32_t needed = 0;    // For requests that wait.
  std::uint32_t ahead = 0;     // For requests that are expected.
  std::uint32_t returned = 0;  // Tokens granted earlier that were not used.
  std::uint32_t rejected = 0;  // Requests rejected since the last ask.

  auto operator==(const RequestAsk&) const -> bool = default;
};

struct RequestGrant {
  OrganisationName organisation;
  std::uint64_t sequence = 0;  // Of the ask.
  std::uint32_t tokens = 0;
  // How long the node rejects requests without asking once it has no token.
  Duration pause{0};
  // When the first request for which there is no token may come again.
  Duration retry_after{0};

  auto operator==(const RequestGrant&) const -> bool = default;
};

struct RequestRateSettings {
  // A new account starts with this many tokens and those of `start_time`, not
  // with the full burst: the previous keeper may just have granted that. With
  // one change of the keeper in 5 s, at most 5.4 times the rate, the burst,
  // `extra_capacity` and these 4 are granted, of (5 x rate + burst) x 1.1 + 20
  // that are allowed. About a quarter of a second of the rate is accepted
  // besides, by nodes that do not know the new keeper yet and decide locally.
  double start_tokens = 4;
  Duration start_time = std::chrono::milliseconds(200);
  // Capacity beyond the burst. Organisations with a rate below about one per
  // second have a burst below one request and would be refused at random.
  double extra_capacity = 8;
  // Longest time for which a node rejects requests after a grant.
  Duration max_pause = std::chrono::milliseconds(100);
  Duration max_retry_after = std::chrono::seconds(30);
  // A node answers no asks for this long after its start. Nodes that start
  // together know few of the others at first, and many would be the keeper.
  Duration settle_time = std::chrono::seconds(1);
  // Longest time after which a node that cannot be reached is declared dead.
  Duration loss_detection_time = std::chrono::milliseconds(2'500);
  // How long the last ask of a node is remembered to recognise duplicates.
  Duration peer_memory = std::chrono::seconds(60);
};

// Keeper side of the limit of one organisation: a token bucket with the order
// in which rejected requests may come again.
class RequestRateAccount {
 public:
  RequestRateAccount(RequestRateSettings settings,
                     const RequestLimit& limit,
                     Clock clock);

  // A lower limit caps the balance at once.
  auto SetLimit(const RequestLimit& limit) -> void;
  // Applies the balance of an earlier keeper if it is lower.
  auto LimitBalance(double balance) -> void;
  // Counts requests that were accepted without an ask; the balance may become
  // negative.
  auto Debit(double tokens) -> void;
  // Returns nothing for an ask that is older than the last one or needs no
  // answer. A repeated ask gets the same answer and debits nothing.
  auto OnAsk(const NodeId& from, const RequestAsk& ask)
      -> std::optional<RequestGrant>;
  auto balance() -> double;
  auto capacity() const -> double;

 private:
  struct Peer {
    MonotonicTime seen;
    RequestGrant last;
  };

  auto Refill() -> void;
  auto TokenDelay() const -> Duration;
  auto Queue(std::uint32_t rejected, MonotonicTime now) -> Duration;
  auto ForgetPeers(MonotonicTime now) -> void;

  RequestRateSettings settings_;
  RequestLimit limit_;
  Clock clock_;
  double balance_ = 0;
  MonotonicTime refilled_;
  MonotonicTime next_slot_;  // For a rejected request.
  MonotonicTime peers_checked_;
  std::map<NodeId, Peer> peers_;
};

// The accounts of the organisations that this node keeps.
class RequestRateAccounts {
 public:
  // Returns the keeper of an organisation by the members that this node knows;
  // an empty id if there is none.
  using KeeperHook = std::function<auto(const OrganisationName&)->NodeId>;

  struct Answer {
    std::optional<RequestGrant> grant;
    // The node that keeps the account in this node's view, to which the ask is
    // to be sent on.
    std::optional<NodeId> keeper;
  };

  // The balance of an account that another node keeps from now on.
  struct Handover {
    OrganisationName organisation;
    NodeId keeper;
    double balance = 0;
  };

  RequestRateAccounts(RequestRateSettings settings,
                      NodeId self,
                      KeeperHook keeper,
                      Clock clock)
      : settings_(settings),
        self_(std::move(self)),
        keeper_(std::move(keeper)),
        clock_(std::move(clock)),
        started_(clock_()) {}

  auto SetLimits(RequestLimits limits) -> void;
  // Share of the known nodes that can be reached. The others may be alive and
  // have a keeper of their own, which applies the other share.
  auto SetReachableShare(double share) -> void;
  // `forwarded`: by another node, so that it is answered here in any case.
  auto OnAsk(const NodeId& from, const RequestAsk& ask, bool forwarded)
      -> Answer;
  auto OnHandover(const OrganisationName& organisation, double balance) -> void;
  // Records that this node knows the others before `settle_time` is over.
  auto OnSettled() -> void { settled_ = true; }
  // Drops the accounts of which another node is the keeper now. Without this, a
  // node that becomes the keeper again would have a full balance although the
  // other one has granted tokens since.
  auto OnMembersChanged() -> std::vector<Handover>;
  auto size() const -> std::size_t { return accounts_.size(); }

 private:
  auto EffectiveLimit(const OrganisationName& organisation) const
      -> std::optional<RequestLimit>;
  auto AccountOf(const OrganisationName& organisation) -> RequestRateAccount*;
  auto ApplyLimits() -> void;
  // Returns how long this node will answer no asks.
  auto SettlingTime() const -> Duration;

  RequestRateSettings settings_;
  NodeId self_;
  KeeperHook keeper_;
  Clock clock_;
  MonotonicTime started_;
  bool settled_ = false;
  RequestLimits limits_;
  double share_ = 1;
  std::map<OrganisationName, RequestRateAccount> accounts_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_REQUEST_RATE_ACCOUNT_H_
