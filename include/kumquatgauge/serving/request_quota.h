#ifndef KUMQUATGAUGE_SERVING_REQUEST_QUOTA_H_
#define KUMQUATGAUGE_SERVING_REQUEST_QUOTA_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/serving/request_rate_account.h"

namespace kumquatgauge::serving {

struct RequestQuotaSettings {
  // An ask is sent once more after `repeat_after`, since datagrams get lost,
  // and the request is decided locally after `ask_timeout`.
  Duration repeat_after = std::chrono::milliseconds(15);
  Duration ask_timeout = std::chrono::milliseconds(40);
  // If OnTick is called later than this after the time-out, the node itself was
  // delayed, as hosts with a small share of a core are, and the reply may wait
  // in its socket. The ask gets this much more time, once.
  Duration late_tick = std::chrono::milliseconds(5);
  // After an ask without a reply, requests are decided locally at once.
  Duration local_time = std::chrono::milliseconds(100);
  // Tokens for as many requests as were granted in this time are asked for
  // ahead, and returned if they are not used within `hold_time`.
  Duration ahead_time = std::chrono::milliseconds(200);
  Duration hold_time = std::chrono::milliseconds(300);
  // Fleet size assumed for local decisions by a node that has met no other
  // one, and the least size until `settle_time` after its start: nodes that
  // start together know few of the others at first.
  std::size_t unknown_fleet_size = 64;
  Duration settle_time = std::chrono::seconds(1);
  // A node that starts accepts every request at first: together the nodes stay
  // within `start_tokens` beyond the rate if no organisation sends more than
  // `max_start_demand` times its rate. Shares of the rate would refuse nearly
  // all requests of organisations that send each node less than one a second.
  double start_tokens = 8;
  double max_start_demand = 3.5;
  // Bounds the asks for an organisation above its limit: a node that was paused
  // `max_short_pauses` times within `pause_window` pauses for `long_pause`
  // after each further grant. A long pause after each refusal would refuse
  // requests although tokens are there again.
  std::uint32_t max_short_pauses = 2;
  Duration pause_window = std::chrono::seconds(1);
  Duration long_pause = std::chrono::milliseconds(100);
  // Share of the rate that all local decisions together accept. If a third of
  // the nodes is cut off for 2.5 s, beside a keeper that grants the whole rate,
  // they accept 0.67 times the rate; 0.6 times the rate and 20 are allowed.
  double local_share = 0.8;
  // Bounds the time that a local decision leaves to the next one.
  Duration max_local_carry = std::chrono::seconds(1);
  Duration min_retry_after = std::chrono::milliseconds(10);
  // Upper bound for a locally rejected request: the keeper may be reachable
  // again by then.
  Duration max_local_retry_after = std::chrono::seconds(1);
  Duration max_retry_after = std::chrono::seconds(30);
};

enum class RequestQuotaReason {
  kNoLimit,
  kGranted,         // By a token of the keeper.
  kGrantedLocally,  // The keeper was not available.
  kRefused,         // The organisation is at its limit.
  kRefusedLocally,
};

auto RequestQuotaReasonName(RequestQuotaReason reason) -> std::string_view;

struct RequestQuotaDecision {
  bool granted = false;
  Duration retry_after{0};
  RequestQuotaReason reason = RequestQuotaReason::kRefused;

  auto operator==(const RequestQuotaDecision&) const -> bool = default;
};

struct RequestQuotaHooks {
  // Sends an ask to the keeper of the organisation. The reply, if any, is
  // passed to OnGrant, possibly before the hook returns.
  std::function<auto(const RequestAsk&)->void> send;
  // Whether keepers can be reached at all.
  std::function<auto()->bool> connected;
  // Number of known nodes, live and dead, including this one.
  std::function<auto()->std::size_t> known_nodes;
  RandomSource random;
  Clock clock;
};

// Node side of the request limits: holds the tokens that the keepers granted
// and decides locally while a keeper does not reply. At most one ask for each
// organisation is outstanding; requests that arrive meanwhile wait for it.
class RequestQuota {
 public:
  using Done = std::function<auto(const RequestQuotaDecision&)->void>;

  // `first_sequence` must be above all sequences of earlier starts of the node.
  RequestQuota(RequestQuotaSettings settings,
               std::uint64_t first_sequence,
               RequestQuotaHooks hooks);

  auto SetLimits(RequestLimits limits) -> void;
  // Calls `done` exactly once, possibly before it returns.
  auto Reserve(const OrganisationName& organisation, Done done) -> void;
  // Gives back the token of a request that has not run and was granted with
  // reason kGranted.
  auto Refund(const OrganisationName& organisation) -> void;
  // Replies to any but the outstanding ask are ignored, so that duplicated and
  // late ones add no tokens.
  auto OnGrant(const RequestGrant& grant) -> void;
  // Must be called at next_event().
  auto OnTick() -> void;
  auto next_event() const -> std::optional<MonotonicTime>;
  // Records that this node knows the others before `settle_time` is over.
  auto OnSettled() -> void { settled_ = true; }
  // Whether this node has just started, so that it does not know the others
  // yet.
  auto settling() const -> bool;

  auto asks() const -> std::uint64_t { return asks_; }
  auto timeouts() const -> std::uint64_t { return timeouts_; }

 private:
  struct State {
    RequestLimit limit;
    std::uint32_t tokens = 0;
    MonotonicTime tokens_expire;
    std::deque<MonotonicTime> used;  // Within `ahead_time`.
    std::deque<Done> waiting;
    std::optional<RequestAsk> ask;  // Outstanding.
    MonotonicTime asked;
    bool repeated = false;
    bool extended = false;  // See RequestQuotaSettings::late_tick.
    MonotonicTime refused_until;
    MonotonicTime pause_window;  // Its begin.
    std::uint32_t pauses = 0;    // In that window.
    MonotonicTime next_retry;
    std::uint32_t rejected = 0;  // Not yet reported to the keeper.
    MonotonicTime local_until;
    // The last reply of the keeper or local decision.
    MonotonicTime decided;
  };

  auto FleetSize() const -> std::size_t;
  // Whether a node that has just started accepts every request.
  auto AcceptsAtStart(const RequestLimit& limit) const -> bool;
  // Decides a request without an ask if that is possible.
  auto DecideNow(State& state) -> std::optional<RequestQuotaDecision>;
  auto UseToken(State& state) -> RequestQuotaDecision;
  auto Reject(State& state) -> RequestQuotaDecision;
  auto DecideLocally(State& state) -> RequestQuotaDecision;
  auto Ask(const OrganisationName& organisation) -> void;
  // Decides the waiting requests, and asks again for those that cannot be.
  auto ServeWaiting(const OrganisationName& organisation) -> void;
  auto OnAskTimeout(const OrganisationName& organisation, State& state) -> void;
  auto DropOldUses(State& state) const -> void;

  RequestQuotaSettings settings_;
  RequestQuotaHooks hooks_;
  std::uint64_t sequence_;
  MonotonicTime started_;
  bool settled_ = false;
  std::map<OrganisationName, State> states_;
  std::uint64_t asks_ = 0;
  std::uint64_t timeouts_ = 0;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_REQUEST_QUOTA_H_
