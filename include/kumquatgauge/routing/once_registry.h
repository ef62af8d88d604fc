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

// Names the one node process that may run a request:
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

// Object that holds the claim of a key: "once/HASH".
auto ClaimObjectKey(const OnceKey& key) -> std::string;

struct OnceSettings {
  std::chrono::milliseconds ticket_validity = std::chrono::minutes(10);
  // Longer than a ticket is valid: a valid ticket whose key is not in the map
  // has therefore not run.
  Duration retention = std::chrono::minutes(15);
  std::size_t max_entries = 20'000;
  std::size_t max_response_bytes = std::size_t{16} << 20U;
  std::chrono::milliseconds full_retry_after{1000};
  std::chrono::milliseconds platform_retry_after{2000};
};

// The response that the first sender got, kept as the entry encoded it.
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

// What became of a conditional create of the claim object.
struct ClaimResult {
  enum class Kind {
    kCreated,    // This call created it, by its response or read back.
    kExists,     // It names `node` and `incarnation`.
    kAbsent,     // Read only: there is no claim.
    kAmbiguous,  // Neither the create nor reading back told.
    kNotSent,    // The platform was out before the create was sent.
  };

  Kind kind = Kind::kAmbiguous;
  NodeId node = {};
  Incarnation incarnation = 0;

  auto operator==(const ClaimResult&) const -> bool = default;
};

struct FinishResult {
  // The request certainly did not run and holds a claim: delete the claim
  // object if unchanged, then call ClaimReleased, so that the caller may come
  // back with the same key.
  bool release_claim = false;

  auto operator==(const FinishResult&) const -> bool = default;
};

// The rules of requests that run at most once. "Not run" is said only when this
// process knows it; whatever it cannot know is "unknown". Not thread-safe.
class OnceRegistry {
 public:
  // The live incarnation of a node as this node knows it; empty when the node
  // is not alive.
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
  // Any answer but kRun ends the reservation; whoever got kWait is then
  // answered as this call is.
  auto OnClaim(const OnceKey& key, const ClaimResult& result) -> OnceDecision;
  // After kReadClaim, which is given while the map is full: "not run" is true
  // only when no claim exists.
  auto OnClaimRead(const ClaimResult& result) const -> OnceDecision;
  // A request without a ticket that another node forwarded because the claim
  // names this incarnation; it never runs here.
  auto DecideForwardedClaim(const OnceKey& key, std::uint64_t body_hash) const
      -> OnceDecision;

  // End of a request that kRun allowed. Whoever got kWait is answered with the
  // same response.
  auto Finished(const OnceKey& key, OnceResponse response) -> FinishResult;
  auto ClaimReleased(const OnceKey& key) -> void;
  // Forgets outcomes after their retention; call about once a second.
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
