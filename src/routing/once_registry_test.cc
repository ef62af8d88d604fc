#include "kumquatgauge/routing/once_registry.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "kumquatgauge/base/error.h"
#include "testing/support/manual_clock.h"

namespace kumquatgauge::routing {
namespace {

using Kind = OnceDecision::Kind;
using Claim = ClaimResult::Kind;

const OnceKey kKey = {OrganisationName("bar"), "payment-1"};

auto Done(OutcomeKind kind = OutcomeKind::kCompleted) -> OnceResponse {
  OnceResponse response;
  response.outcome.kind = kind;
  response.response = "confirmed";
  return response;
}

struct Fixture {
  explicit Fixture(OnceSettings settings = {})
      : registry(NodeId("n1"),
                 100,
                 settings,
                 clock.AsHook(),
                 [this](const NodeId& node) -> std::optional<Incarnation> {
                   auto it = live.find(node.value());
                   if (it == live.end()) {
                     return std::nullopt;
                   }
                   return it->second;
                 }) {}

  auto WithTicket(const Ticket& ticket, std::uint64_t body = 1) -> Kind {
    return registry.DecideWithTicket(kKey, body, ticket).kind;
  }

  testing::ManualClock clock;
  std::map<std::string, Incarnation> live = {{"n1", 100}, {"n2", 200}};
  OnceRegistry registry;
};

TEST_CASE("Ticket.ReadsBackWhatItFormats") {
  Ticket ticket = {NodeId("node.with.dots"), 1764793800000000U,
                   std::chrono::milliseconds(12345)};
  CHECK(FormatTicket(ticket) == "node.with.dots.1764793800000000.12345");
  CHECK(ParseTicket(FormatTicket(ticket)) == ticket);
}

TEST_CASE("Ticket.ThrowsOnMalformedText") {
  auto text = GENERATE("", ".", "..", "n", "n.1", ".1.2", "n.1.", "n..2",
                       "n.1.x", "n.-1.2", "n.1.2 ", "n.1.99999999999999");
  CAPTURE(text);
  CHECK_THROWS_AS(ParseTicket(text), Error);
}

TEST_CASE("OnceRegistry.KeepsClaimsOfDifferentKeysApart") {
  CHECK(ClaimObjectKey({OrganisationName("a"), "bc"}) !=
        ClaimObjectKey({OrganisationName("ab"), "c"}));
  CHECK(ClaimObjectKey(kKey).size() == std::string("once/").size() + 32);
}

// at-most-once
TEST_CASE("OnceRegistry.RunsOnceAndRepeatsTheFirstResponse") {
  Fixture fixture;
  auto ticket = fixture.registry.IssueTicket();
  CHECK(fixture.WithTicket(ticket) == Kind::kRun);
  CHECK(fixture.WithTicket(ticket) == Kind::kWait);
  fixture.registry.Finished(kKey, Done());
  auto decision = fixture.registry.DecideWithTicket(kKey, 1, ticket);
  CHECK(decision.kind == Kind::kRepeat);
  CHECK(decision.answer == Done());
}

TEST_CASE("OnceRegistry.RefusesTheSameKeyWithAnotherBody") {
  Fixture fixture;
  auto ticket = fixture.registry.IssueTicket();
  fixture.WithTicket(ticket, 1);
  CHECK(fixture.WithTicket(ticket, 2) == Kind::kConflict);
}

TEST_CASE("OnceRegistry.ForwardsATicketToTheIncarnationThatIssuedIt") {
  Fixture fixture;
  auto decision =
      fixture.registry.DecideWithTicket(kKey, 1, {NodeId("n2"), 200, {}});
  CHECK(decision.kind == Kind::kForward);
  CHECK(decision.node == NodeId("n2"));
  CHECK(decision.incarnation == 200);
}

// not-run-true: the dead or restarted process may have run it.
TEST_CASE("OnceRegistry.SaysUnknownWhenTheIncarnationIsGone") {
  Fixture fixture;
  CHECK(fixture.WithTicket({NodeId("n2"), 199, {}}) == Kind::kUnknown);
  CHECK(fixture.WithTicket({NodeId("n3"), 1, {}}) == Kind::kUnknown);
  CHECK(fixture.WithTicket({NodeId("n1"), 99, {}}) == Kind::kUnknown);
}

TEST_CASE("OnceRegistry.RunsNothingOnAnOldOrFutureTicket") {
  Fixture fixture;
  auto ticket = fixture.registry.IssueTicket();
  auto future = ticket;
  future.issued = std::chrono::hours(1);
  CHECK(fixture.WithTicket(future) == Kind::kUnknown);
  fixture.clock.Advance(std::chrono::minutes(10) +
                        std::chrono::milliseconds(1));
  CHECK(fixture.WithTicket(ticket) == Kind::kUnknown);
}

// at-most-once: the map must outlast the ticket.
TEST_CASE("OnceRegistry.RemembersAnOutcomeLongerThanItsTicketIsValid") {
  Fixture fixture;
  auto ticket = fixture.registry.IssueTicket();
  fixture.WithTicket(ticket);
  fixture.registry.Finished(kKey, Done());
  fixture.clock.Advance(std::chrono::minutes(14));
  fixture.registry.OnTick();
  CHECK(fixture.WithTicket(ticket) == Kind::kRepeat);
  fixture.clock.Advance(std::chrono::minutes(1));
  fixture.registry.OnTick();
  CHECK(fixture.registry.size() == 0);
  CHECK(fixture.registry.response_bytes() == 0);
  CHECK(fixture.WithTicket(ticket) == Kind::kUnknown);
}

TEST_CASE("OnceRegistry.AllowsAResendAfterNotRun") {
  Fixture fixture;
  auto ticket = fixture.registry.IssueTicket();
  fixture.WithTicket(ticket);
  auto result = fixture.registry.Finished(kKey, Done(OutcomeKind::kNotRun));
  CHECK_FALSE(result.release_claim);
  CHECK(fixture.WithTicket(ticket) == Kind::kRun);
}

TEST_CASE("OnceRegistry.AnswersNotRunWhenFull") {
  Fixture fixture(OnceSettings{.max_entries = 1});
  auto ticket = fixture.registry.IssueTicket();
  fixture.registry.DecideWithTicket({OrganisationName("x"), "k"}, 1, ticket);
  auto decision = fixture.registry.DecideWithTicket(kKey, 1, ticket);
  CHECK(decision.kind == Kind::kNotRun);
  CHECK(decision.answer.outcome.kind == OutcomeKind::kNotRun);
  CHECK(decision.answer.outcome.retry_after > std::chrono::milliseconds(0));
}

// not-run-true: another process may hold the claim and have run it.
TEST_CASE("OnceRegistry.ReadsTheClaimBeforeSayingNotRunWhenFull") {
  Fixture fixture(OnceSettings{.max_entries = 0});
  CHECK(fixture.registry.DecideWithoutTicket(kKey, 1).kind == Kind::kReadClaim);
  CHECK(fixture.registry.OnClaimRead({Claim::kAbsent}).kind == Kind::kNotRun);
  CHECK(
      fixture.registry.OnClaimRead({Claim::kExists, NodeId("n2"), 200}).kind ==
      Kind::kForward);
  CHECK(fixture.registry.OnClaimRead({Claim::kAmbiguous}).kind ==
        Kind::kUnknown);
  CHECK(fixture.registry.OnClaimRead({Claim::kNotSent}).kind == Kind::kUnknown);
}

TEST_CASE("OnceRegistry.RunsAClaimOnlyInTheCallThatCreatedIt") {
  Fixture fixture;
  CHECK(fixture.registry.DecideWithoutTicket(kKey, 1).kind == Kind::kClaim);
  CHECK(fixture.registry.DecideWithoutTicket(kKey, 1).kind == Kind::kWait);
  CHECK(fixture.registry.OnClaim(kKey, {Claim::kCreated}).kind == Kind::kRun);
  CHECK(fixture.registry.OnClaim(kKey, {Claim::kCreated}).kind ==
        Kind::kUnknown);
  fixture.registry.Finished(kKey, Done());
  CHECK(fixture.registry.DecideForwardedClaim(kKey, 1).kind == Kind::kRepeat);
}

TEST_CASE("OnceRegistry.FollowsAnExistingClaim") {
  struct Case {
    std::string node;
    Incarnation incarnation;
    Kind expected;
  };
  auto example = GENERATE(values<Case>({{"n2", 200, Kind::kForward},
                                        {"n2", 199, Kind::kUnknown},
                                        {"n9", 1, Kind::kUnknown},
                                        {"n1", 99, Kind::kUnknown},
                                        {"n1", 100, Kind::kUnknown}}));
  CAPTURE(example.node, example.incarnation);
  Fixture fixture;
  fixture.registry.DecideWithoutTicket(kKey, 1);
  auto decision = fixture.registry.OnClaim(
      kKey, {Claim::kExists, NodeId(example.node), example.incarnation});
  CHECK(decision.kind == example.expected);
}

// not-run-true: the create may still take effect.
TEST_CASE("OnceRegistry.SaysUnknownAfterAnAmbiguousClaim") {
  Fixture fixture;
  fixture.registry.DecideWithoutTicket(kKey, 1);
  CHECK(fixture.registry.OnClaim(kKey, {Claim::kAmbiguous}).kind ==
        Kind::kUnknown);
  auto again = fixture.registry.DecideWithoutTicket(kKey, 1);
  CHECK(again.kind == Kind::kRepeat);
  CHECK(again.answer.outcome.kind == OutcomeKind::kUnknown);
}

// not-run-true: the first send may have run on another node before the outage.
TEST_CASE(
    "OnceRegistry.SaysUnknownWhenThePlatformIsUnavailableBeforeTheClaim") {
  Fixture fixture;
  fixture.registry.DecideWithoutTicket(kKey, 1);
  auto decision = fixture.registry.OnClaim(kKey, {Claim::kNotSent});
  CHECK(decision.kind == Kind::kUnknown);
  CHECK(fixture.registry.DecideWithoutTicket(kKey, 1).kind == Kind::kClaim);
}

TEST_CASE("OnceRegistry.SaysUnknownOfAForwardedClaimItNoLongerRemembers") {
  Fixture fixture;
  CHECK(fixture.registry.DecideForwardedClaim(kKey, 1).kind == Kind::kUnknown);
}

TEST_CASE("OnceRegistry.ReleasesAClaimThatDidNotRun") {
  Fixture fixture;
  fixture.registry.DecideWithoutTicket(kKey, 1);
  fixture.registry.OnClaim(kKey, {Claim::kCreated});
  CHECK(fixture.registry.Finished(kKey, Done(OutcomeKind::kNotRun))
            .release_claim);
  CHECK(fixture.registry.DecideWithoutTicket(kKey, 1).kind == Kind::kRepeat);
  fixture.registry.ClaimReleased(kKey);
  CHECK(fixture.registry.DecideWithoutTicket(kKey, 1).kind == Kind::kClaim);
}

// Simulates nodes that share one claim store, and callers that send and resend
// keys to random nodes. Nodes restart, and the platform and its answers are
// lost at random.
class RandomizedNodes {
 public:
  explicit RandomizedNodes(std::uint64_t seed) : random_(seed) {
    for (int node = 0; node < kNodes; ++node) {
      Restart(node);
    }
  }

  auto Run(int steps) -> void {
    for (int step = 0; step < steps; ++step) {
      clock_.Advance(std::chrono::milliseconds(Below(20'000)));
      for (auto& node : nodes_) {
        node.registry->OnTick();
      }
      switch (Below(12)) {
        case 0:
          Restart(static_cast<int>(Below(kNodes)));
          break;
        case 1:
        case 2:
        case 3:
          FinishOne();
          break;
        default:
          Send();
      }
    }
  }

 private:
  static constexpr int kNodes = 3;
  static constexpr int kKeys = 12;
  struct Node {
    Incarnation incarnation = 0;
    std::unique_ptr<OnceRegistry> registry;
    std::set<OnceKey> running;
  };
  struct ClaimOwner {
    NodeId node;
    Incarnation incarnation = 0;
  };

  auto Below(std::uint64_t bound) -> std::uint64_t { return random_() % bound; }
  static auto Name(int node) -> NodeId {
    return NodeId("n" + std::to_string(node));
  }
  static auto Index(const NodeId& node) -> int {
    return std::stoi(node.value().substr(1));
  }
  auto Restart(int index) -> void {
    auto& node = nodes_[static_cast<std::size_t>(index)];
    node.incarnation = ++last_incarnation_;
    node.running.clear();
    node.registry = std::make_unique<OnceRegistry>(
        Name(index), node.incarnation, OnceSettings{.max_entries = 8},
        clock_.AsHook(),
        [this](const NodeId& other) -> std::optional<Incarnation> {
          return nodes_[static_cast<std::size_t>(Index(other))].incarnation;
        });
  }
  auto Send() -> void {
    OnceKey key = {OrganisationName("o"), std::to_string(Below(kKeys))};
    auto entry = static_cast<int>(Below(kNodes));
    auto& node = nodes_[static_cast<std::size_t>(entry)];
    // Even keys use one ticket for all sends; odd ones use none.
    if (std::stoi(key.key) % 2 == 0) {
      auto it = tickets_.find(key);
      if (it == tickets_.end()) {
        auto ticket = node.registry->IssueTicket();
        it = tickets_.emplace(key, FormatTicket(ticket)).first;
      }
      auto ticket = ParseTicket(it->second);
      auto decision = node.registry->DecideWithTicket(key, 1, ticket);
      if (decision.kind == Kind::kForward) {
        entry = Index(decision.node);
        decision =
            nodes_[static_cast<std::size_t>(entry)].registry->DecideWithTicket(
                key, 1, ticket);
        REQUIRE(decision.kind != Kind::kForward);
      }
      return Act(entry, key, decision);
    }
    auto decision = node.registry->DecideWithoutTicket(key, 1);
    if (decision.kind == Kind::kClaim) {
      decision = node.registry->OnClaim(key, Create(entry, key));
    } else if (decision.kind == Kind::kReadClaim) {
      decision = node.registry->OnClaimRead(Read(key));
    }
    if (decision.kind == Kind::kForward) {
      entry = Index(decision.node);
      decision = nodes_[static_cast<std::size_t>(entry)]
                     .registry->DecideForwardedClaim(key, 1);
      REQUIRE(decision.kind != Kind::kRun);
    }
    Act(entry, key, decision);
  }
  auto Read(const OnceKey& key) -> ClaimResult {
    auto it = claims_.find(key);
    if (it == claims_.end()) {
      return {Claim::kAbsent};
    }
    return {Claim::kExists, it->second.node, it->second.incarnation};
  }
  auto Create(int entry, const OnceKey& key) -> ClaimResult {
    if (Below(8) == 0) {
      return {Claim::kNotSent};
    }
    auto existing = Read(key);
    if (existing.kind == Claim::kExists) {
      return existing;
    }
    if (Below(8) == 0) {
      if (Below(2) == 0) {
        claims_[key] = {Name(entry), nodes_[entry].incarnation};
      }
      return {Claim::kAmbiguous};
    }
    claims_[key] = {Name(entry), nodes_[entry].incarnation};
    return {Claim::kCreated};
  }
  auto Act(int entry, const OnceKey& key, const OnceDecision& decision)
      -> void {
    auto& node = nodes_[static_cast<std::size_t>(entry)];
    switch (decision.kind) {
      case Kind::kRun:
        // at-most-once
        REQUIRE(runs_.insert(key).second);
        node.running.insert(key);
        break;
      case Kind::kNotRun:
        // not-run-true
        REQUIRE_FALSE(runs_.contains(key));
        break;
      case Kind::kRepeat:
        if (decision.answer.outcome.kind == OutcomeKind::kNotRun) {
          REQUIRE_FALSE(runs_.contains(key));
        }
        break;
      case Kind::kWait:
        REQUIRE(node.running.contains(key));
        break;
      default:
        REQUIRE(decision.kind == Kind::kUnknown);
        REQUIRE(decision.answer.outcome.kind == OutcomeKind::kUnknown);
    }
  }
  auto FinishOne() -> void {
    auto& node = nodes_[Below(kNodes)];
    if (node.running.empty()) {
      return;
    }
    auto key = *node.running.begin();
    node.running.erase(key);
    auto kind = std::array{OutcomeKind::kCompleted, OutcomeKind::kUnknown,
                           OutcomeKind::kNotRun}[Below(3)];
    if (kind == OutcomeKind::kNotRun) {
      runs_.erase(key);
    }
    auto result = node.registry->Finished(key, Done(kind));
    if (result.release_claim && Below(2) == 0) {
      claims_.erase(key);
      node.registry->ClaimReleased(key);
    }
  }

  std::mt19937_64 random_;
  testing::ManualClock clock_;
  Incarnation last_incarnation_ = 0;
  std::array<Node, kNodes> nodes_;
  std::map<OnceKey, std::string> tickets_;
  std::map<OnceKey, ClaimOwner> claims_;
  std::set<OnceKey> runs_;  // Sent to the upstream, or possibly sent.
};

// at-most-once and not-run-true under any order of sends, losses and restarts.
TEST_CASE("OnceRegistry.KeepsItsGuaranteesUnderRandomEvents") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    RandomizedNodes(seed).Run(300);
  }
}

}  // namespace
}  // namespace kumquatgauge::routing
