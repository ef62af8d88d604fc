#include "kumquatgauge/routing/once_registry.h"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::routing {
namespace {

constexpr std::string_view kDigits = "0123456789abcdef";
// Hexadecimal digits of one half of a 128-bit hash.
constexpr int kDigitsPerHalf = 16;

auto MakeAnswer(OnceDecision::Kind kind,
                OutcomeKind outcome,
                std::string reason) -> OnceDecision {
  OnceDecision decision;
  decision.kind = kind;
  decision.answer.outcome.kind = outcome;
  decision.answer.outcome.reason = std::move(reason);
  return decision;
}

auto Unknown(std::string reason) -> OnceDecision {
  return MakeAnswer(OnceDecision::Kind::kUnknown, OutcomeKind::kUnknown,
                    std::move(reason));
}

auto NotRun(std::string reason, std::chrono::milliseconds retry_after)
    -> OnceDecision {
  auto decision = MakeAnswer(OnceDecision::Kind::kNotRun, OutcomeKind::kNotRun,
                             std::move(reason));
  decision.answer.outcome.retry_after = retry_after;
  return decision;
}

auto MakeDecision(OnceDecision::Kind kind) -> OnceDecision {
  OnceDecision decision;
  decision.kind = kind;
  return decision;
}

[[noreturn]] auto ThrowBadTicket(std::string_view text) -> void {
  throw Error(ErrorKind::kInvalidArgument, "malformed ticket",
              std::string(text),
              "send the ticket from GET /v1/addresses unchanged");
}

template <typename Number>
auto ParseNumber(std::string_view digits, std::string_view ticket) -> Number {
  Number number = 0;
  const auto* end = digits.data() + digits.size();
  auto result = std::from_chars(digits.data(), end, number);
  if (digits.empty() || result.ec != std::errc() || result.ptr != end) {
    ThrowBadTicket(ticket);
  }
  return number;
}

}  // namespace

auto FormatTicket(const Ticket& ticket) -> std::string {
  return ticket.node.value() + "." + std::to_string(ticket.incarnation) + "." +
         std::to_string(ticket.issued.count());
}

auto ParseTicket(std::string_view text) -> Ticket {
  // Node names may contain dots, so the numbers are parsed from the end.
  auto issued = text.rfind('.');
  if (issued == std::string_view::npos || issued == 0) {
    ThrowBadTicket(text);
  }
  auto incarnation = text.rfind('.', issued - 1);
  if (incarnation == std::string_view::npos || incarnation == 0) {
    ThrowBadTicket(text);
  }
  auto middle = text.substr(incarnation + 1, issued - incarnation - 1);
  return {.node = NodeId(std::string(text.substr(0, incarnation))),
          .incarnation = ParseNumber<Incarnation>(middle, text),
          .issued = std::chrono::milliseconds(
              ParseNumber<std::uint32_t>(text.substr(issued + 1), text))};
}

auto ClaimObjectKey(const OnceKey& key) -> std::string {
  // The length distinguishes ("a", "bc") from ("ab", "c").
  auto text = std::to_string(key.organisation.value().size()) + ":" +
              key.organisation.value() + key.key;
  auto hash = XXH3_128bits(text.data(), text.size());
  std::string name = "once/";
  for (auto half : {hash.high64, hash.low64}) {
    for (int digit = kDigitsPerHalf - 1; digit >= 0; --digit) {
      name.push_back(
          kDigits[(half >> (4U * static_cast<unsigned>(digit))) & 15U]);
    }
  }
  return name;
}

OnceRegistry::OnceRegistry(NodeId node,
                           Incarnation incarnation,
                           OnceSettings settings,
                           Clock clock,
                           LiveIncarnation live_incarnation)
    : node_(std::move(node)),
      incarnation_(incarnation),
      settings_(settings),
      clock_(std::move(clock)),
      live_incarnation_(std::move(live_incarnation)),
      started_(clock_()) {}

auto OnceRegistry::IssueTicket() const -> Ticket {
  return {.node = node_, .incarnation = incarnation_, .issued = Uptime()};
}

auto OnceRegistry::DecideWithTicket(const OnceKey& key,
                                    std::uint64_t body_hash,
                                    const Ticket& ticket) -> OnceDecision {
  if (ticket.node != node_ || ticket.incarnation != incarnation_) {
    return ForwardOrUnknown(ticket.node, ticket.incarnation);
  }
  if (auto decision = DecideFromEntry(key, body_hash)) {
    return *decision;
  }
  auto age = Uptime() - ticket.issued;
  if (age > settings_.ticket_validity) {
    return Unknown("the ticket has expired and the outcome is not remembered");
  }
  if (age < std::chrono::milliseconds(0)) {
    return Unknown("the ticket was not issued by this process");
  }
  if (IsFull()) {
    return NotRun("too many at-most-once requests are remembered",
                  settings_.full_retry_after);
  }
  entries_.emplace(key, Entry{.state = State::kRunning,
                              .body_hash = body_hash,
                              .claimed = false,
                              .answer = {}});
  return MakeDecision(OnceDecision::Kind::kRun);
}

auto OnceRegistry::DecideWithoutTicket(const OnceKey& key,
                                       std::uint64_t body_hash)
    -> OnceDecision {
  if (auto decision = DecideFromEntry(key, body_hash)) {
    return *decision;
  }
  if (IsFull()) {
    return MakeDecision(OnceDecision::Kind::kReadClaim);
  }
  entries_.emplace(key, Entry{.state = State::kClaiming,
                              .body_hash = body_hash,
                              .claimed = true,
                              .answer = {}});
  return MakeDecision(OnceDecision::Kind::kClaim);
}

auto OnceRegistry::OnClaim(const OnceKey& key, const ClaimResult& result)
    -> OnceDecision {
  auto it = entries_.find(key);
  if (it == entries_.end() || it->second.state != State::kClaiming) {
    return Unknown("the claim was not made by this call");
  }
  switch (result.kind) {
    case ClaimResult::Kind::kCreated:
      it->second.state = State::kRunning;
      return MakeDecision(OnceDecision::Kind::kRun);
    case ClaimResult::Kind::kExists:
      Erase(it);
      return ForwardOrUnknown(result.node, result.incarnation);
    case ClaimResult::Kind::kAbsent:
    case ClaimResult::Kind::kNotSent:
      // An earlier send may have run on another node; only the claim, which
      // cannot be read now, would show it.
      Erase(it);
      return Unknown(
          "the platform is unavailable, and only it records whether a request "
          "without a ticket has run; send KQG-Ticket to avoid depending on it");
    case ClaimResult::Kind::kAmbiguous:
      break;
  }
  // The create may still take effect. Resends get the remembered outcome; after
  // it has been removed, they find the claim.
  auto decision = Unknown("it is not known whether the claim was created");
  End(it, decision.answer);
  return decision;
}

auto OnceRegistry::OnClaimRead(const ClaimResult& result) const
    -> OnceDecision {
  switch (result.kind) {
    case ClaimResult::Kind::kExists:
      return ForwardOrUnknown(result.node, result.incarnation);
    case ClaimResult::Kind::kAbsent:
      return NotRun("too many at-most-once requests are remembered",
                    settings_.full_retry_after);
    case ClaimResult::Kind::kCreated:
    case ClaimResult::Kind::kAmbiguous:
    case ClaimResult::Kind::kNotSent:
      break;
  }
  return Unknown("the claim could not be read");
}

auto OnceRegistry::DecideForwardedClaim(const OnceKey& key,
                                        std::uint64_t body_hash) const
    -> OnceDecision {
  if (auto decision = DecideFromEntry(key, body_hash)) {
    return *decision;
  }
  return Unknown("the outcome of the claim is not remembered");
}

auto OnceRegistry::Finished(const OnceKey& key, OnceResponse response)
    -> FinishResult {
  auto it = entries_.find(key);
  if (it == entries_.end() || it->second.state != State::kRunning) {
    return {};
  }
  auto not_run = response.outcome.kind == OutcomeKind::kNotRun;
  if (not_run && !it->second.claimed) {
    // Nothing has run, so a resend may run.
    Erase(it);
    return {};
  }
  End(it, std::move(response));
  return {.release_claim = not_run};
}

auto OnceRegistry::ClaimReleased(const OnceKey& key) -> void {
  auto it = entries_.find(key);
  if (it != entries_.end() && it->second.state == State::kEnded &&
      it->second.answer.outcome.kind == OutcomeKind::kNotRun) {
    Erase(it);
  }
}

auto OnceRegistry::OnTick() -> void {
  auto now = clock_();
  while (!ended_.empty() && now - ended_.front().first >= settings_.retention) {
    auto it = entries_.find(ended_.front().second);
    // A key that was released and reused has a later end time.
    if (it != entries_.end() && it->second.state == State::kEnded &&
        it->second.ended_at == ended_.front().first) {
      Erase(it);
    }
    ended_.pop_front();
  }
}

auto OnceRegistry::DecideFromEntry(const OnceKey& key,
                                   std::uint64_t body_hash) const
    -> std::optional<OnceDecision> {
  auto it = entries_.find(key);
  if (it == entries_.end()) {
    return std::nullopt;
  }
  const auto& entry = it->second;
  if (entry.body_hash != body_hash) {
    return MakeDecision(OnceDecision::Kind::kConflict);
  }
  if (entry.state != State::kEnded) {
    return MakeDecision(OnceDecision::Kind::kWait);
  }
  auto decision = MakeDecision(OnceDecision::Kind::kRepeat);
  decision.answer = entry.answer;
  return decision;
}

auto OnceRegistry::IsFull() const -> bool {
  return entries_.size() >= settings_.max_entries ||
         response_bytes_ >= settings_.max_response_bytes;
}

auto OnceRegistry::ForwardOrUnknown(const NodeId& node,
                                    Incarnation incarnation) const
    -> OnceDecision {
  if (node == node_) {
    return Unknown(
        incarnation == incarnation_
            ? "the outcome of the claim is not remembered"
            : "this node has restarted and does not remember the outcome");
  }
  auto live = live_incarnation_(node);
  if (!live) {
    return Unknown("node " + node.value() + " is not alive");
  }
  if (*live != incarnation) {
    return Unknown("node " + node.value() + " has restarted since");
  }
  auto decision = MakeDecision(OnceDecision::Kind::kForward);
  decision.node = node;
  decision.incarnation = incarnation;
  return decision;
}

auto OnceRegistry::End(std::map<OnceKey, Entry>::iterator it,
                       OnceResponse answer) -> void {
  auto& entry = it->second;
  entry.state = State::kEnded;
  entry.ended_at = clock_();
  response_bytes_ += answer.response.size();
  entry.answer = std::move(answer);
  ended_.emplace_back(entry.ended_at, it->first);
}

auto OnceRegistry::Erase(std::map<OnceKey, Entry>::iterator it) -> void {
  response_bytes_ -= it->second.answer.response.size();
  entries_.erase(it);
}

auto OnceRegistry::Uptime() const -> std::chrono::milliseconds {
  return std::chrono::duration_cast<std::chrono::milliseconds>(clock_() -
                                                               started_);
}

}  // namespace kumquatgauge::routing
