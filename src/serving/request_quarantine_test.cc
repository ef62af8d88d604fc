#include "kumquatgauge/serving/request_quarantine.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr PromptPart kCrashing = 666;
constexpr PromptPart kCaller = 1;  // First part of all requests of one caller.
constexpr milliseconds kBetweenCrashes{300};

// A request without a fingerprint, or an item.
auto Parts(PromptParts parts) -> RequestTraits {
  return {std::move(parts), std::nullopt};
}

// Nodes that exchange reports when the test says so. They may try a part again
// in the order of their numbers.
struct Fixture {
  explicit Fixture(std::size_t count = 1) {
    for (std::size_t node = 0; node < count; ++node) {
      nodes.push_back(Make(node));
    }
  }

  auto Make(std::size_t number) -> std::unique_ptr<RequestQuarantine> {
    return std::make_unique<RequestQuarantine>(
        settings,
        [number](PromptPart /*part*/, std::size_t count) {
          return number < count;
        },
        [] {}, [this] { return clock.now(); });
  }

  auto node(std::size_t at = 0) -> RequestQuarantine& { return *nodes[at]; }

  // A request with these parts ends a replica that no other request has ended.
  auto Crash(const PromptParts& parts, std::size_t at = 0) -> void {
    node(at).OnCrash(ReplicaId("i-" + std::to_string(++replicas)),
                     Parts(parts));
    clock.Advance(kBetweenCrashes);
  }

  auto Exchange() -> void {
    for (auto& from : nodes) {
      const auto report = from->Report();
      for (auto& to : nodes) {
        if (to != from) {
          const auto objections = to->OnReport(report);
          CHECK(from->OnReport(objections).empty());
        }
      }
    }
  }

  auto Refuses(const PromptParts& parts, std::size_t at = 0) -> bool {
    return !node(at).Admit(Parts(parts)).allowed;
  }

  // Quarantines the crashing part at all nodes.
  auto QuarantineCrashingPart() -> void {
    for (auto crash = 0U; crash < settings.min_crashes; ++crash) {
      Crash({kCaller, kCrashing});
      node().OnAnswered(Parts({kCaller}));
    }
    Exchange();
    for (auto& each : nodes) {
      each->OnTick();
    }
  }

  testing::ManualClock clock;
  RequestQuarantineSettings settings;
  std::vector<std::unique_ptr<RequestQuarantine>> nodes;
  int replicas = 0;
};

// Guards against requests that crash one replica after the other.
TEST_CASE("RequestQuarantine.RefusesAPartAfterThreeCrashes") {
  auto fixture = Fixture();
  for (PromptPart subject = 10; subject < 13; ++subject) {
    CHECK_FALSE(fixture.Refuses({kCaller, subject, kCrashing}));
    fixture.Crash({kCaller, subject, kCrashing});
    fixture.node().OnAnswered(Parts({kCaller, subject}));
  }
  CHECK(fixture.Refuses({kCaller, 99, kCrashing}));
  CHECK(fixture.Refuses({kCrashing}));
  const auto refusal = fixture.node().Check(Parts({kCrashing}));
  CHECK(refusal.trait.value == kCrashing);
  CHECK(refusal.retry_after > Duration::zero());
}

// Guards against refusing the sound requests of a caller, which share all other
// parts with those that crash replicas.
TEST_CASE("RequestQuarantine.AdmitsRequestsThatShareTheOtherParts") {
  auto fixture = Fixture();
  fixture.node().OnAnswered(Parts({kCaller, 10}));
  for (auto crash = 0; crash < 30; ++crash) {
    fixture.Crash({kCaller, 10, kCrashing});
  }
  CHECK(fixture.Refuses({kCaller, 10, kCrashing}));
  CHECK_FALSE(fixture.Refuses({kCaller, 10}));
  CHECK_FALSE(fixture.Refuses({kCaller, 11}));
}

// Guards against refusing a caller before any answer to it is known: the last
// of the parts in the same requests stops the fewest others.
TEST_CASE("RequestQuarantine.PrefersTheLastOfPartsInTheSameRequests") {
  auto fixture = Fixture();
  for (auto crash = 0; crash < 5; ++crash) {
    fixture.Crash({kCaller, kCrashing});
  }
  CHECK(fixture.Refuses({kCaller, kCrashing}));
  CHECK_FALSE(fixture.Refuses({kCaller}));
}

// Guards against blaming the sound requests that ran on the same replica.
TEST_CASE("RequestQuarantine.ClearsOtherRequestsOfTheSameReplica") {
  auto fixture = Fixture();
  fixture.node().OnAnswered(Parts({kCaller}));
  for (auto crash = 0; crash < 6; ++crash) {
    const auto replica = ReplicaId("i-" + std::to_string(crash));
    fixture.node().OnCrash(replica, Parts({kCaller, kCrashing}));
    fixture.node().OnCrash(replica, Parts({2, 20}));
    fixture.clock.Advance(kBetweenCrashes);
    fixture.node().OnAnswered(Parts({2, 20}));
  }
  CHECK(fixture.Refuses({kCrashing}));
  CHECK_FALSE(fixture.Refuses({2, 20}));
}

// Guards against a quarantine after replicas have failed together for a reason
// of their own.
TEST_CASE("RequestQuarantine.CountsReplicasThatFailTogetherOnce") {
  auto fixture = Fixture();
  for (auto replica = 0; replica < 10; ++replica) {
    fixture.node().OnCrash(ReplicaId("g-" + std::to_string(replica)),
                           Parts({7}));
    fixture.clock.Advance(milliseconds(2));
  }
  fixture.clock.Advance(seconds(1));
  CHECK_FALSE(fixture.Refuses({7}));
}

// Guards against a quarantine of a part in constant use while replicas fail one
// after the other for a reason of their own, as in a release.
TEST_CASE("RequestQuarantine.AdmitsAPartThatIsAnsweredBetweenCrashes") {
  auto fixture = Fixture();
  for (auto crash = 0; crash < 20; ++crash) {
    fixture.Crash({7});
    if (crash % 3 == 2) {
      fixture.node().OnAnswered(Parts({7}));
    }
    CHECK_FALSE(fixture.Refuses({7}));
  }
}

// Guards against nodes that each let the part crash replicas before they refuse
// it.
TEST_CASE("RequestQuarantine.CountsTheCrashesOfAllNodes") {
  auto fixture = Fixture(4);
  fixture.node().OnAnswered(Parts({kCaller}));
  for (std::size_t node = 0; node < 3; ++node) {
    fixture.Crash({kCaller, kCrashing}, node);
    fixture.Exchange();
  }
  for (std::size_t node = 0; node < 4; ++node) {
    CHECK(fixture.Refuses({kCrashing}, node));
  }
}

constexpr PromptPart kShared = 2;  // A sound part that other requests have too.
constexpr PromptPart kOther = 3;

// Guards against sound requests and items that are withheld for a part that was
// only ever in the same requests as the one on which replicas crash.
TEST_CASE("RequestQuarantine.AdmitsRequestsWithOneOfTheLikelyParts") {
  auto fixture = Fixture(2);
  for (auto crash = 0U; crash < fixture.settings.min_crashes; ++crash) {
    fixture.Crash({kCrashing, kShared});
    fixture.Exchange();
  }
  for (std::size_t node = 0; node < 2; ++node) {
    CHECK(fixture.Refuses({kCrashing, kShared}, node));
    CHECK_FALSE(fixture.Refuses({kOther, kShared}, node));
  }
  fixture.node().OnAnswered(Parts({kOther, kShared}));
  fixture.Exchange();
  for (std::size_t node = 0; node < 2; ++node) {
    CHECK(fixture.Refuses({kCrashing}, node));
    CHECK_FALSE(fixture.Refuses({kShared}, node));
  }
}

// Guards against a part that crashes a replica for each part that it shares
// requests with: the first crash without the others is enough.
TEST_CASE("RequestQuarantine.RefusesAPartThatCrashesWithoutTheOthers") {
  auto fixture = Fixture(2);
  for (auto crash = 0U; crash < fixture.settings.min_crashes; ++crash) {
    fixture.Crash({kCrashing, kShared, kOther});
    fixture.Exchange();
  }
  REQUIRE_FALSE(fixture.Refuses({kCrashing}));
  fixture.Crash({kCrashing});
  fixture.Exchange();
  for (std::size_t node = 0; node < 2; ++node) {
    CHECK(fixture.Refuses({kCrashing}, node));
    CHECK(fixture.Refuses({kCrashing, kOther}, node));
    CHECK_FALSE(fixture.Refuses({kShared, kOther}, node));
  }
}

// Guards against a node that has restarted and blames one of the likely parts
// alone, since others report what is quarantined first.
TEST_CASE("RequestQuarantine.ReportsAllLikelyPartsToANodeThatHasRestarted") {
  auto fixture = Fixture(2);
  for (auto crash = 0U; crash < fixture.settings.min_crashes; ++crash) {
    fixture.Crash({kCrashing, kShared});
    fixture.Exchange();
  }
  REQUIRE(fixture.Refuses({kCrashing, kShared}));
  fixture.nodes[1] = fixture.Make(1);
  fixture.Exchange();
  CHECK(fixture.Refuses({kCrashing, kShared}, 1));
  CHECK_FALSE(fixture.Refuses({kOther, kShared}, 1));
  CHECK_FALSE(fixture.Refuses({kCrashing}, 1));
}

// Guards against counting one crash once for each node that reports it.
TEST_CASE("RequestQuarantine.CountsARepeatedReportOnce") {
  auto fixture = Fixture(3);
  fixture.Crash({kCrashing}, 0);
  fixture.Crash({kCrashing}, 1);
  for (auto round = 0; round < 20; ++round) {
    fixture.Exchange();
    fixture.clock.Advance(kBetweenCrashes);
  }
  CHECK_FALSE(fixture.Refuses({kCrashing}, 2));
}

// Guards against refusing a part that another node knows an answer to.
TEST_CASE("RequestQuarantine.AcceptsTheObjectionOfANodeWithAnAnswer") {
  auto fixture = Fixture(2);
  fixture.node(1).OnAnswered(Parts({7}));
  for (auto crash = 0; crash < 4; ++crash) {
    fixture.Crash({7}, 0);
    fixture.Exchange();
    fixture.node(1).OnAnswered(Parts({7}));
    fixture.Exchange();
  }
  CHECK_FALSE(fixture.Refuses({7}, 0));
  CHECK_FALSE(fixture.Refuses({7}, 1));
}

// Guards against a node that goes on refusing a part alone: the nodes with an
// answer to it report only what has crashed more replicas.
TEST_CASE("RequestQuarantine.AcceptsAnObjectionBesideManySuspects") {
  constexpr PromptPart kRare = 7;
  auto fixture = Fixture(2);
  for (auto replica = 0; replica < 3; ++replica) {
    const auto id = ReplicaId("g-" + std::to_string(replica));
    for (auto request = 0U; request < fixture.settings.max_report; ++request) {
      fixture.node(1).OnCrash(id, {{}, 100 + request});
    }
  }
  for (auto crash = 0U; crash < fixture.settings.min_crashes; ++crash) {
    fixture.Crash({kRare}, 0);
  }
  fixture.node(1).OnAnswered(Parts({kRare}));
  REQUIRE(fixture.Refuses({kRare}, 0));
  for (auto round = 0; round < 20; ++round) {
    fixture.Exchange();
    fixture.clock.Advance(milliseconds(250));
  }
  CHECK_FALSE(fixture.Refuses({kRare}, 0));
}

// Guards against a restarted node that lets the part through until it has seen
// crashes itself.
TEST_CASE("RequestQuarantine.InformsANodeThatHasRestarted") {
  auto fixture = Fixture(2);
  fixture.QuarantineCrashingPart();
  REQUIRE(fixture.Refuses({kCrashing}, 1));
  fixture.clock.Advance(fixture.settings.trial_delay / 2);
  fixture.nodes[1] = fixture.Make(1);
  fixture.Exchange();
  CHECK(fixture.Refuses({kCrashing}, 1));
}

// Guards against a part that is refused for ever, and against each node testing
// it with a replica of its own.
TEST_CASE("RequestQuarantine.TriesThePartAgainAtOneNode") {
  auto fixture = Fixture(2);
  fixture.QuarantineCrashingPart();
  fixture.clock.Advance(fixture.settings.trial_delay);
  CHECK(fixture.Refuses({kCrashing}, 1));
  const auto trial = fixture.node(0).Admit(Parts({kCaller, kCrashing}));
  CHECK(trial.allowed);
  CHECK(trial.trial);
  CHECK(fixture.Refuses({kCrashing}, 0));
  fixture.node(0).OnAnswered(Parts({kCaller, kCrashing}));
  fixture.Exchange();
  CHECK_FALSE(fixture.Refuses({kCrashing}, 0));
  CHECK_FALSE(fixture.Refuses({kCrashing}, 1));
  CHECK(fixture.node(1).OnTick().size() == 1);
}

// Guards against a sound part that is refused until it is forgotten, because
// the node that may try it first has no request with it. A caller's batch items
// must run before the job is due.
TEST_CASE("RequestQuarantine.TriesAPartThatOneNodeAloneHasRequestsWith") {
  constexpr std::size_t kNodes = 62;
  constexpr seconds kDue{18};  // The shortest of the users' batch routes.
  auto fixture = Fixture(kNodes);
  for (auto crash = 0U; crash < fixture.settings.min_crashes; ++crash) {
    fixture.Crash({kShared}, kNodes - 1);
  }
  fixture.Exchange();
  auto waited = Duration::zero();
  while (fixture.Refuses({kShared}, kNodes - 1)) {
    fixture.clock.Advance(milliseconds(250));
    waited += milliseconds(250);
    REQUIRE(waited < kDue);
  }
  fixture.node(kNodes - 1).OnAnswered(Parts({kShared}));
  fixture.Exchange();
  for (std::size_t node = 0; node < kNodes; ++node) {
    CHECK_FALSE(fixture.Refuses({kShared}, node));
  }
}

// Guards against nodes that each try the part while they have not heard of the
// failed trials of others: what all know of the crashes decides.
TEST_CASE("RequestQuarantine.WaitsLongerAfterTheFailedTrialOfAnotherNode") {
  auto fixture = Fixture(2);
  fixture.QuarantineCrashingPart();
  fixture.clock.Advance(fixture.settings.trial_delay);
  REQUIRE(fixture.node(0).Admit(Parts({kCrashing})).trial);
  fixture.Crash({kCrashing}, 0);
  fixture.Exchange();
  fixture.clock.Advance(2 * fixture.settings.trial_delay);
  CHECK(fixture.Refuses({kCrashing}, 0));
  CHECK(fixture.Refuses({kCrashing}, 1));
}

// Guards against a replica lost at a constant rate to a part that keeps
// crashing replicas.
TEST_CASE("RequestQuarantine.WaitsLongerAfterEachFailedTrial") {
  auto fixture = Fixture();
  fixture.QuarantineCrashingPart();
  auto trials = 0;
  for (auto second = 0; second < 600; ++second) {
    if (fixture.node().Admit(Parts({kCrashing})).allowed) {
      ++trials;
      fixture.node().OnCrash(ReplicaId("t-" + std::to_string(second)),
                             Parts({kCrashing}));
    }
    fixture.clock.Advance(seconds(1));
  }
  CHECK(trials >= 3);
  CHECK(trials <= 5);
}

// Guards against a trial without a result, whose caller has left, that blocks
// all later ones.
TEST_CASE("RequestQuarantine.TriesAgainAfterATrialWithoutAResult") {
  auto fixture = Fixture();
  fixture.QuarantineCrashingPart();
  fixture.clock.Advance(fixture.settings.trial_delay);
  REQUIRE(fixture.node().Admit(Parts({kCrashing})).trial);
  fixture.clock.Advance(fixture.settings.trial_time);
  CHECK(fixture.node().Admit(Parts({kCrashing})).trial);
}

// Guards against state that grows with the number of parts that are seen, and
// against losing a quarantine to it.
TEST_CASE("RequestQuarantine.KeepsBoundedStateForUnboundedParts") {
  auto fixture = Fixture();
  fixture.QuarantineCrashingPart();
  for (PromptPart part = 1'000; part < 21'000; ++part) {
    fixture.node().OnAnswered(Parts({part}));
    fixture.node().OnCrash(ReplicaId("x"), Parts({part + 100'000}));
    fixture.clock.Advance(fixture.settings.trial_delay / 40'000);
  }
  CHECK(fixture.Refuses({kCrashing}));
  CHECK(fixture.node().quarantined() == 1);
  CHECK(fixture.node().Report().size() <= fixture.settings.max_report);
}

// Guards against nodes that report crashes to each other without end, since
// each keeps others than the next one and reports take time.
TEST_CASE("RequestQuarantine.HasNoNewsOnceAllNodesKnowManyCrashes") {
  constexpr milliseconds kReportTime{3};
  auto fixture = Fixture(3);
  for (std::size_t crash = 0; crash < 60; ++crash) {
    fixture.node(crash % 3).OnCrash(ReplicaId("r-" + std::to_string(crash)),
                                    Parts({kCrashing}));
    fixture.clock.Advance(milliseconds(1));
  }
  for (auto round = 0; round < 20; ++round) {
    const auto reports =
        std::vector{fixture.node(0).Report(), fixture.node(1).Report(),
                    fixture.node(2).Report()};
    fixture.clock.Advance(kReportTime);
    for (const auto& report : reports) {
      for (const auto& node : fixture.nodes) {
        node->OnReport(report);
      }
    }
    fixture.clock.Advance(milliseconds(250));
  }
  for (const auto& node : fixture.nodes) {
    CHECK(node->unchanged_for() >= seconds(4));
  }
}

// Guards against a quarantine that outlasts the last request with the part.
TEST_CASE("RequestQuarantine.ForgetsAPartLongAfterItsLastCrash") {
  auto fixture = Fixture(2);
  fixture.QuarantineCrashingPart();
  fixture.clock.Advance(fixture.settings.forget_time + minutes(1));
  const auto changes = fixture.node(1).OnTick();
  REQUIRE(changes.size() == 1);
  CHECK_FALSE(changes.front().quarantined);
  CHECK_FALSE(fixture.node(1).active());
  CHECK_FALSE(fixture.Refuses({kCrashing}, 1));
}

constexpr RequestFingerprint kRepeated = 4'711;
constexpr RequestFingerprint kSound = 815;

// A request with these traits ends a replica.
auto CrashRequest(Fixture& fixture, const RequestTraits& traits, int at = 0)
    -> void {
  fixture.node(at).OnCrash(ReplicaId("i-" + std::to_string(++fixture.replicas)),
                           traits);
  fixture.clock.Advance(kBetweenCrashes);
}

// Guards against a request without prompt parts that ends every replica each
// time its caller sends it again, at any node.
TEST_CASE("RequestQuarantine.RefusesARequestThatComesAgainAtEveryNode") {
  auto fixture = Fixture(3);
  for (auto crash = 0; crash < 3; ++crash) {
    CHECK(fixture.node(crash).Admit({{}, kRepeated}).allowed);
    CrashRequest(fixture, {{}, kRepeated}, crash);
    fixture.Exchange();
  }
  for (auto& node : fixture.nodes) {
    const auto admission = node->Admit({{}, kRepeated});
    CHECK_FALSE(admission.allowed);
    CHECK(admission.trait.whole_request());
    CHECK(node->Admit({{}, kSound}).allowed);
  }
}

// Guards against sound requests that are blamed because they were at the same
// replicas.
TEST_CASE("RequestQuarantine.BlamesNoRequestThatWasAnswered") {
  auto fixture = Fixture();
  for (auto crash = 0; crash < 3; ++crash) {
    const auto replica = ReplicaId("s-" + std::to_string(crash));
    fixture.node().OnCrash(replica, {{}, kRepeated});
    fixture.node().OnCrash(replica, {{}, kSound});
    fixture.node().OnAnswered({{}, kSound});
    fixture.clock.Advance(kBetweenCrashes);
  }
  CHECK_FALSE(fixture.node().Admit({{}, kRepeated}).allowed);
  CHECK(fixture.node().Admit({{}, kSound}).allowed);
}

// Guards against trials that crash more replicas than a request may in all.
TEST_CASE("RequestQuarantine.NeverTriesARequestAgainThatKeepsComing") {
  auto fixture = Fixture();
  for (auto crash = 0; crash < 3; ++crash) {
    CrashRequest(fixture, {{}, kRepeated});
  }
  fixture.node().OnTick();
  for (auto minute = 0; minute < 60; ++minute) {
    CHECK_FALSE(fixture.node().Check({{}, kRepeated}).allowed);
    fixture.clock.Advance(minutes(1));
    fixture.node().OnTick();
  }
  fixture.clock.Advance(fixture.settings.forget_time + seconds(1));
  fixture.node().OnTick();
  CHECK(fixture.node().Admit({{}, kRepeated}).allowed);
}

// Guards against a request that is blamed first and hides the prompt part on
// which it and all others with the part crash replicas.
TEST_CASE("RequestQuarantine.FindsThePartBehindRequestsThatComeAgain") {
  auto fixture = Fixture();
  auto crashes = 0;
  for (RequestFingerprint request = 1; request <= 5; ++request) {
    const auto traits = RequestTraits{{kCaller, kCrashing}, request};
    for (auto attempt = 0; attempt < 3; ++attempt) {
      if (fixture.node().Admit(traits).allowed) {
        CrashRequest(fixture, traits);
        ++crashes;
      }
    }
    fixture.node().OnAnswered(Parts({kCaller}));
  }
  CHECK(crashes <= 5);
  CHECK(fixture.Refuses({kCaller, kCrashing}));
  CHECK_FALSE(fixture.Refuses({kCaller}));
}

// Guards against a part that is blamed for a request that crashes replicas by
// itself, though other requests with the part are answered.
TEST_CASE("RequestQuarantine.BlamesTheRequestIfItsPartsAreAnswered") {
  auto fixture = Fixture();
  for (auto crash = 0; crash < 3; ++crash) {
    CrashRequest(fixture, {{kCaller}, kRepeated});
    fixture.node().OnAnswered({{kCaller}, kSound});
  }
  CHECK_FALSE(fixture.node().Admit({{kCaller}, kRepeated}).allowed);
  CHECK(fixture.node().Admit({{kCaller}, kSound}).allowed);
}

// Guards against a caller that chooses the id of a prompt part so that another
// request is refused.
TEST_CASE("RequestQuarantine.TakesNoPartForARequest") {
  auto fixture = Fixture();
  for (auto crash = 0; crash < 3; ++crash) {
    fixture.Crash({kRepeated});
  }
  CHECK(fixture.Refuses({kRepeated}));
  CHECK(fixture.node().Admit({{}, kRepeated}).allowed);
}

// Guards against the request that crashes replicas being left out of reports,
// since every request that was at one of them is a suspect.
TEST_CASE("RequestQuarantine.ReportsWhatCrashedMostBesideManySuspects") {
  auto fixture = Fixture();
  for (auto crash = 0U; crash < 2; ++crash) {
    const auto replica = ReplicaId("m-" + std::to_string(crash));
    fixture.node().OnCrash(replica, {{}, kRepeated});
    for (auto other = 0U; other < 20; ++other) {
      fixture.node().OnCrash(replica, {{}, 100 * crash + other});
    }
    fixture.clock.Advance(kBetweenCrashes);
  }
  const auto report = fixture.node().Report();
  CHECK(report.front().trait.value == kRepeated);
}

}  // namespace
}  // namespace kumquatgauge::serving
