#ifndef KUMQUATGAUGE_ROUTING_ONCE_REGISTRY_H_
#define KUMQUATGAUGE_ROUTING_ONCE_REGISTRY_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/outcome.h"
#include "kumquatgauge/base/time.h"

namespace kumquatgauge::routing {

// Identifies the only node process that may run a request:
// "NODE.INCARNATION.ISSUED", ISSUED in ms since that process started.
struct Ticket {
  NodeId node;
  Incarnation incarnation = 0;
  std::chrono::milliseconds issued{0};

  auto operator==(const Ticket&) const -> bool = default;
};

auto FormatTicket(const Ticket& ticket) -> std::string;
// Throws Error(kInvalidArgument).
auto ParseTicket(std::string_view text) -> Ticket;

// Identity of an at-most-once request.
struct OnceKey {
  OrganisationName organisation;
  std::string key;

  auto operator==(const OnceKey&) const -> bool = default;
  auto operator<=>(const OnceKey&) const = default;
};

// Returns the name of the object that holds the claim of a key: "once/HASH".
auto ClaimObjectKey(const OnceKey& key) -> std::string;

struct OnceSettings {
  std::chrono::milliseconds ticket_validity = std::chrono::minutes(10);
  // Must exceed the validity of tickets, so that a request with a valid ticket
  // whose key is not in the map has not run.
  Duration retention = std::chrono::minutes(15);
  std::size_t max_entries = 20'000;
  std::size_t max_response_bytes = std::size_t{16} << 20U;
  std::chrono::milliseconds full_retry_after{1000};
  std::chrono::milliseconds platform_retry_after{2000};
};

// The response to the first sender, as encoded by the entry node.
struct OnceResponse {
  Outcome outcome;
  std::string response;

  auto operator==(const OnceResponse&) const -> bool = default;
};

struct OnceDecision {
  enum class Kind {
    kRun,        // Run it now, once; report the end with Finished.
    kRepeat,     // Answer with `answer`, the first sender's response.
    kWait,       // It runs now; answer when Finished has been called.
    kConflict,   // The key was used with another body (422).
    kForward,    // Ask `node` in `incarnation`; when that fails in any way, the
                 // answer is kUnknown.
    kClaim,      // Create the claim object, then call OnClaim.
    kReadClaim,  // Only read the claim object, then call OnClaimRead.
    kUnknown,    // Answer `answer`: unknown.
    kNotRun,     // Answer `answer`: not run, with retry-after.
  };

  Kind kind = Kind::kUnknown;
  OnceResponse answer = {};
  NodeId node = {};
  Incarnation incarnation = 0;

  auto operator==(const OnceDecision&) const -> bool = default;
};

// Result of a conditional create of the claim object.
struct ClaimResult {
  enum class Kind {
    kCreated,    // This call created it, by its response or read back.
    kExists,     // The claim names `node` and `incarnation`.
    kAbsent,     // Read only: there is no claim.
    kAmbiguous,  // Neither the create nor reading back was conclusive.
    kNotSent,    // The platform was unavailable; no create was sent.
  };

  Kind kind = Kind::kAmbiguous;
  NodeId node = {};
  Incarnation incarnation = 0;

  auto operator==(const ClaimResult&) const -> bool = default;
};

struct FinishResult {
  // The request certainly did not run and holds a claim: delete the claim
  // object if unchanged, then call ClaimReleased, so that the caller may resend
  // with the same key.
  bool release_claim = false;

  auto operator==(const FinishResult&) const -> bool = default;
};

// Decides what happens to requests that run at most once. The answer is "not
// run" only when this process knows it for certain, and "unknown" otherwise.
// Not thread-safe.
class OnceRegistry {
 public:
  // Returns the live incarnation of a node as known to this node; nullopt when
  // the node is not alive.
  using LiveIncarnation =
      std::function<auto(const NodeId&)->std::optional<Incarnation>>;

  OnceRegistry(NodeId node,
               Incarnation incarnation,
               OnceSettings settings,
               Clock clock,
               LiveIncarnation live_incarnation);

  auto IssueTicket() const -> Ticket;

  // A request with a ticket, from a caller or forwarded by another node.
  auto DecideWithTicket(const OnceKey& key,
                        std::uint64_t body_hash,
                        const Ticket& ticket) -> OnceDecision;
  // A request without a ticket, from a caller. After kClaim the key is
  // reserved until OnClaim; resends meanwhile get kWait.
  auto DecideWithoutTicket(const OnceKey& key, std::uint64_t body_hash)
      -> OnceDecision;
  // Any decision other than kRun ends the reservation; requests that got kWait
  // then get the same answer as this call.
  auto OnClaim(const OnceKey& key, const ClaimResult& result) -> OnceDecision;
  // Call after kReadClaim, which is returned while the map is full: "not run"
  // is correct only when no claim exists.
  auto OnClaimRead(const ClaimResult& result) const -> OnceDecision;
  // A request without a ticket that another node forwarded because the claim
  // names this incarnation; it never runs here.
  auto DecideForwardedClaim(const OnceKey& key, std::uint64_t body_hash) const
      -> OnceDecision;

  // Call when a request that got kRun has ended. Requests that got kWait are
  // answered with the same response.
  auto Finished(const OnceKey& key, OnceResponse response) -> FinishResult;
  auto ClaimReleased(const OnceKey& key) -> void;
  // Removes outcomes after their retention time; call about once a second.
  auto OnTick() -> void;

  auto size() const -> std::size_t { return entries_.size(); }
  auto response_bytes() const -> std::size_t { return response_bytes_; }

 private:
  enum class State { kClaiming, kRunning, kEnded };
  struct Entry {
    State state = State::kRunning;
    std::uint64_t body_hash = 0;
    bool claimed = false;
    MonotonicTime ended_at = {};
    OnceResponse answer;
  };

  auto DecideFromEntry(const OnceKey& key, std::uint64_t body_hash) const
      -> std::optional<OnceDecision>;
  auto IsFull() const -> bool;
  auto ForwardOrUnknown(const NodeId& node, Incarnation incarnation) const
      -> OnceDecision;
  auto End(std::map<OnceKey, Entry>::iterator it, OnceResponse answer) -> void;
  auto Erase(std::map<OnceKey, Entry>::iterator it) -> void;
  auto Uptime() const -> std::chrono::milliseconds;

  NodeId node_;
  Incarnation incarnation_;
  OnceSettings settings_;
  Clock clock_;
  LiveIncarnation live_incarnation_;
  MonotonicTime started_;
  std::map<OnceKey, Entry> entries_;
  std::deque<std::pair<MonotonicTime, OnceKey>> ended_;  // Oldest first.
  std::size_t response_bytes_ = 0;
};

}  // namespace kumquatgauge::routing

#endif  // KUMQUATGAUGE_ROUTING_ONCE_REGISTRY_H_
