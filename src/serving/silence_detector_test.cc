#include "kumquatgauge/serving/silence_detector.h"

#include <catch2/catch.hpp>
#include <memory>
#include <random>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using SilentEnd = SilenceDetector::SilentEnd;
using Ticket = SilenceDetector::Ticket;

const ServiceName kService("chat");
constexpr milliseconds kUsualFirst{40};

auto IdAt(int number) -> ReplicaId {
  return ReplicaId("r" + std::to_string(number));
}

auto MakeMembers(int count, std::uint64_t started_ms = 1)
    -> std::vector<SilenceDetector::Member> {
  auto members = std::vector<SilenceDetector::Member>();
  for (auto number = 0; number < count; ++number) {
    auto member = SilenceDetector::Member();
    member.replica.id = IdAt(number);
    member.replica.service = kService;
    member.replica.address = "10.0.0.1:80";
    member.replica.started_ms = started_ms;
    members.push_back(member);
  }
  return members;
}

// Two nodes of a cell that know the usual time to the first event.
struct Fixture {
  explicit Fixture(int replicas = 10, Duration usual = kUsualFirst) {
    for (auto* node : {&a, &b}) {
      node->SetReplicas(MakeMembers(replicas));
      for (auto round = 0; round < 10; ++round) {
        for (auto number = 0; number < replicas; ++number) {
          Answer(*node, IdAt(number), usual);
        }
      }
      // Checks of the requests above; the first one is late.
      node->Check();
      clock.Advance(SilenceSettings().recheck_delay);
      node->Check();
      node->TakeChanges();
    }
  }

  auto Answer(SilenceDetector& node, const ReplicaId& id, Duration after)
      -> void {
    const auto ticket = node.OnSent(id, Duration::zero());
    clock.Advance(after);
    node.OnFirstEvent(ticket);
  }
  auto Send(SilenceDetector& node, int replica) -> Ticket {
    return node.OnSent(IdAt(replica), Duration::zero());
  }
  // Advances the clock in the steps of the nodes' timers.
  auto Pass(Duration time) -> void {
    const auto end = clock.now() + time;
    while (clock.now() < end) {
      clock.Advance(milliseconds(1));
      a.Check();
      b.Check();
    }
  }
  auto Tell(SilenceDetector& from, SilenceDetector& to) -> void {
    to.OnPeerReports(NodeId(&from == &a ? "a" : "b"),
                     from.own_reports([](const ReplicaId&) { return true; }));
    from.OnTold();
  }

  testing::ManualClock clock;
  std::mt19937_64 random{3};
  SilenceDetector a{SilenceSettings(), clock.AsHook(),
                    [this] { return random(); }};
  SilenceDetector b{SilenceSettings(), clock.AsHook(),
                    [this] { return random(); }};
};

// Guards against a silent replica that no node notices because each has only
// one request there.
TEST_CASE("SilenceDetector.SuspectsAfterOverdueRequestsOfTwoNodes") {
  auto fixture = Fixture();
  fixture.Send(fixture.a, 0);
  fixture.Send(fixture.b, 0);
  fixture.Pass(milliseconds(149));
  CHECK(fixture.a.suspected() == 0);
  CHECK_FALSE(fixture.a.IsDoubtful(IdAt(0)));
  fixture.Pass(milliseconds(1));
  CHECK_FALSE(fixture.a.IsSuspected(IdAt(0)));
  CHECK(fixture.a.IsDoubtful(IdAt(0)));
  CHECK(fixture.a.has_news());
  fixture.Tell(fixture.b, fixture.a);
  CHECK(fixture.a.IsSuspected(IdAt(0)));
  CHECK(fixture.a.is_urgent());
  const auto changes = fixture.a.TakeChanges();
  REQUIRE(changes.size() == 1);
  CHECK(changes.front().replica == IdAt(0));
  CHECK(changes.front().suspected);
  CHECK(changes.front().overdue == 2);
  CHECK(changes.front().silent == milliseconds(150));
}

// Guards against a replica with little traffic that is never suspected.
TEST_CASE("SilenceDetector.SuspectsAfterOneRequestThatIsSilentForLong") {
  auto fixture = Fixture();
  fixture.Send(fixture.a, 0);
  fixture.Pass(milliseconds(399));
  CHECK_FALSE(fixture.a.IsSuspected(IdAt(0)));
  fixture.Pass(milliseconds(1));
  CHECK(fixture.a.IsSuspected(IdAt(0)));
  fixture.Tell(fixture.a, fixture.b);
  CHECK(fixture.b.IsSuspected(IdAt(0)));
}

// Guards against a replica that reads long prompts and meanwhile serves other
// requests, and is taken for silent.
TEST_CASE("SilenceDetector.TakesBytesOfOtherRequestsForLife") {
  auto fixture = Fixture();
  fixture.Send(fixture.a, 0);
  fixture.Send(fixture.a, 0);
  for (auto step = 0; step < 20; ++step) {
    fixture.Pass(milliseconds(100));
    fixture.a.OnBytes(IdAt(0));
    CHECK(fixture.a.suspected() == 0);
  }
}

// The same when another node of the cell gets the bytes, and has not said so
// yet. Guards against a suspicion that lasts until the long prompts are read.
TEST_CASE("SilenceDetector.PeersRefuteASuspicionAtOnce") {
  auto fixture = Fixture();
  fixture.Send(fixture.a, 0);
  fixture.Send(fixture.a, 0);
  fixture.Pass(milliseconds(140));
  fixture.b.OnBytes(IdAt(0));
  fixture.Pass(milliseconds(10));
  CHECK(fixture.a.IsSuspected(IdAt(0)));
  while (fixture.b.has_news()) {
    fixture.b.OnTold();
  }
  fixture.Tell(fixture.a, fixture.b);
  CHECK_FALSE(fixture.b.IsSuspected(IdAt(0)));
  CHECK(fixture.b.has_news());
  fixture.Tell(fixture.b, fixture.a);
  CHECK_FALSE(fixture.a.IsSuspected(IdAt(0)));
}

// Guards against a replica that stays out of use after it has written.
TEST_CASE("SilenceDetector.AByteEndsTheSuspicionEverywhere") {
  auto fixture = Fixture();
  const auto first = fixture.Send(fixture.a, 0);
  fixture.Send(fixture.b, 0);
  fixture.Pass(milliseconds(450));
  fixture.Tell(fixture.a, fixture.b);
  fixture.Tell(fixture.b, fixture.a);
  REQUIRE(fixture.a.IsSuspected(IdAt(0)));
  REQUIRE(fixture.b.IsSuspected(IdAt(0)));
  fixture.Pass(milliseconds(1));
  fixture.a.OnFirstEvent(first);
  CHECK_FALSE(fixture.a.IsSuspected(IdAt(0)));
  CHECK(fixture.a.is_urgent());
  fixture.Tell(fixture.a, fixture.b);
  CHECK_FALSE(fixture.b.IsSuspected(IdAt(0)));
  CHECK(fixture.b.TakeChanges().back().reason ==
        "it has written, or no request waits");
}

// Guards against a silent replica that gets requests again as soon as the
// callers of the first ones have left.
TEST_CASE("SilenceDetector.RemembersRequestsThatWereGivenUp") {
  auto fixture = Fixture();
  const auto first = fixture.Send(fixture.a, 0);
  const auto second = fixture.Send(fixture.a, 0);
  fixture.Pass(milliseconds(200));
  REQUIRE(fixture.a.IsSuspected(IdAt(0)));
  fixture.a.OnEnded(first, SilentEnd::kGivenUp);
  fixture.a.OnEnded(second, SilentEnd::kGivenUp);
  fixture.Pass(seconds(9));
  CHECK(fixture.a.IsSuspected(IdAt(0)));
  // Guards against a service without requests that may be repeated, whose
  // replicas nobody probes.
  fixture.Pass(seconds(1));
  CHECK_FALSE(fixture.a.IsSuspected(IdAt(0)));
}

// Guards against requests that were not sent or were broken off, which say
// nothing about silence.
TEST_CASE("SilenceDetector.ForgetsRequestsWithAnotherEnd") {
  auto fixture = Fixture();
  const auto first = fixture.Send(fixture.a, 0);
  const auto second = fixture.Send(fixture.a, 0);
  fixture.Pass(milliseconds(160));
  REQUIRE(fixture.a.IsSuspected(IdAt(0)));
  fixture.a.OnEnded(first, SilentEnd::kNoEvidence);
  fixture.a.OnEnded(second, SilentEnd::kNoEvidence);
  CHECK_FALSE(fixture.a.IsSuspected(IdAt(0)));
}

// Guards against callers that are delayed by many probes of one replica.
TEST_CASE("SilenceDetector.SendsOneProbeAtATime") {
  auto fixture = Fixture();
  fixture.Send(fixture.a, 0);
  fixture.Send(fixture.a, 0);
  fixture.Pass(milliseconds(150));
  fixture.Tell(fixture.a, fixture.b);
  CHECK_FALSE(fixture.a.MayProbe(IdAt(0)));
  fixture.Pass(milliseconds(350));
  REQUIRE(fixture.a.MayProbe(IdAt(0)));
  REQUIRE(fixture.b.MayProbe(IdAt(0)));
  const auto probe = fixture.Send(fixture.a, 0);
  CHECK_FALSE(fixture.a.MayProbe(IdAt(0)));
  CHECK_FALSE(fixture.a.ShouldMove(probe));
  fixture.Tell(fixture.a, fixture.b);
  CHECK_FALSE(fixture.b.MayProbe(IdAt(0)));
  fixture.Pass(milliseconds(150));
  CHECK(fixture.a.ShouldMove(probe));
  fixture.a.OnEnded(probe, SilentEnd::kGivenUp);
  fixture.Tell(fixture.a, fixture.b);
  fixture.Pass(milliseconds(350));
  CHECK(fixture.b.MayProbe(IdAt(0)));
  fixture.Answer(fixture.b, IdAt(0), kUsualFirst);
  fixture.Tell(fixture.b, fixture.a);
  CHECK_FALSE(fixture.a.IsSuspected(IdAt(0)));
  CHECK_FALSE(fixture.b.IsSuspected(IdAt(0)));
}

// Guards against requests under way that wait at a replica though it is known
// to be silent.
TEST_CASE("SilenceDetector.MovesRequestsThatAreNotOverdueYet") {
  auto fixture = Fixture();
  fixture.Send(fixture.a, 0);
  fixture.Send(fixture.a, 0);
  fixture.Pass(milliseconds(120));
  const auto late = fixture.Send(fixture.a, 0);
  const auto elsewhere = fixture.Send(fixture.a, 1);
  CHECK_FALSE(fixture.a.ShouldMove(late));
  fixture.Pass(milliseconds(30));
  CHECK(fixture.a.ShouldMove(late));
  CHECK_FALSE(fixture.a.ShouldMove(elsewhere));
}

// Load pattern: the whole cell becomes slow at once. Guards against the loss of
// most replicas to false alarms.
TEST_CASE("SilenceDetector.SuspectsAtMostAFifth") {
  auto fixture = Fixture(11);
  for (auto number = 0; number < 10; ++number) {
    fixture.Send(fixture.a, number);
    fixture.Send(fixture.a, number);
    fixture.Pass(milliseconds(1));
  }
  fixture.Pass(milliseconds(300));
  CHECK(fixture.a.suspected() == 2);
  // Those that have been silent for longest.
  CHECK(fixture.a.IsSuspected(IdAt(0)));
  CHECK(fixture.a.IsSuspected(IdAt(1)));
  CHECK_FALSE(fixture.a.IsSuspected(IdAt(2)));
  CHECK(fixture.a.IsDoubtful(IdAt(2)));
  // With all of them silent, all are used.
  fixture.Send(fixture.a, 10);
  fixture.Pass(milliseconds(410));
  CHECK(fixture.a.suspected() == 0);
}

// Guards against a service of few replicas of which none may be suspected, as
// a fifth of them is less than one.
TEST_CASE("SilenceDetector.SuspectsOneOfTwoReplicasButNeverTheOnlyOne") {
  auto pair = Fixture(2);
  pair.Send(pair.a, 0);
  pair.Pass(milliseconds(400));
  CHECK(pair.a.IsSuspected(IdAt(0)));
  auto single = Fixture(1);
  single.Send(single.a, 0);
  single.Pass(milliseconds(400));
  CHECK_FALSE(single.a.IsSuspected(IdAt(0)));
}

// Load pattern: a replica that is slower than the limits for fast ones. Guards
// against fixed limits.
TEST_CASE("SilenceDetector.LearnsHowSlowAReplicaIs") {
  auto fixture = Fixture(10, milliseconds(200));
  CHECK(fixture.a.OverdueAfter(IdAt(0)) > milliseconds(590));
  fixture.Send(fixture.a, 0);
  fixture.Send(fixture.a, 0);
  fixture.Pass(milliseconds(590));
  CHECK(fixture.a.suspected() == 0);
}

// Load pattern: a full replica, at which requests queue while its running
// requests, which are not event streams, write nothing.
TEST_CASE("SilenceDetector.GivesQueuedRequestsMoreTime") {
  auto fixture = Fixture();
  for (auto request = 0; request < 4; ++request) {
    fixture.a.OnSent(IdAt(0), milliseconds(300));
  }
  fixture.Pass(milliseconds(449));
  CHECK_FALSE(fixture.a.IsDoubtful(IdAt(0)));
  fixture.Pass(milliseconds(1));
  CHECK(fixture.a.IsSuspected(IdAt(0)));
}

// Guards against queueing times that are learned as the usual time, after which
// silence is noticed late.
TEST_CASE("SilenceDetector.LearnsNothingFromQueuedRequests") {
  auto fixture = Fixture();
  for (auto request = 0; request < 50; ++request) {
    const auto ticket = fixture.a.OnSent(IdAt(0), milliseconds(500));
    fixture.clock.Advance(milliseconds(500));
    fixture.a.OnFirstEvent(ticket);
  }
  CHECK(fixture.a.OverdueAfter(IdAt(0)) == milliseconds(150));
}

// Guards against a second silence that is noticed late because the first one
// was learned as the usual time.
TEST_CASE("SilenceDetector.LearnsNoSilenceAsTheUsualTime") {
  auto fixture = Fixture();
  for (auto silence = 0; silence < 3; ++silence) {
    fixture.Pass(milliseconds(1));
    auto tickets = std::vector<Ticket>();
    for (auto request = 0; request < 4; ++request) {
      tickets.push_back(fixture.Send(fixture.a, 0));
    }
    fixture.Pass(milliseconds(150));
    CHECK(fixture.a.IsSuspected(IdAt(0)));
    fixture.Pass(seconds(8));
    for (const auto ticket : tickets) {
      fixture.a.OnFirstEvent(ticket);
    }
    for (auto request = 0; request < 20; ++request) {
      fixture.Answer(fixture.a, IdAt(0), kUsualFirst);
    }
    fixture.Pass(milliseconds(30));
  }
}

// Load pattern: a replica that has become much slower. Guards against false
// alarms that never end.
TEST_CASE("SilenceDetector.LearnsThatAReplicaHasBecomeSlower") {
  auto fixture = Fixture();
  for (auto request = 0; request < 20; ++request) {
    const auto ticket = fixture.Send(fixture.a, 0);
    fixture.Pass(milliseconds(300));
    fixture.a.OnFirstEvent(ticket);
  }
  CHECK(fixture.a.OverdueAfter(IdAt(0)) > milliseconds(600));
}

// Guards against a suspicion of a replica that outlives its restart under the
// same id, also in datagrams of nodes that do not know of the restart yet.
TEST_CASE("SilenceDetector.ARestartEndsTheSuspicion") {
  auto fixture = Fixture();
  const auto before = fixture.Send(fixture.a, 0);
  fixture.Send(fixture.b, 0);
  fixture.Pass(milliseconds(410));
  REQUIRE(fixture.a.IsSuspected(IdAt(0)));
  fixture.a.SetReplicas(MakeMembers(10, 2));
  CHECK(fixture.a.suspected() == 0);
  fixture.Tell(fixture.b, fixture.a);
  CHECK(fixture.a.suspected() == 0);
  fixture.a.OnEnded(before, SilentEnd::kGivenUp);
  fixture.a.OnFirstEvent(before);
  CHECK_FALSE(fixture.a.IsDoubtful(IdAt(0)));
  // The usual time of the service holds for the new start.
  CHECK(fixture.a.OverdueAfter(IdAt(0)) == milliseconds(150));
}

// Guards against alarms of a node that has just started.
TEST_CASE("SilenceDetector.WaitsLongerBeforeItKnowsTheUsualTime") {
  auto clock = testing::ManualClock();
  auto detector = SilenceDetector(SilenceSettings(), clock.AsHook(),
                                  [] { return std::uint64_t{0}; });
  detector.SetReplicas(MakeMembers(5));
  detector.OnSent(IdAt(0), Duration::zero());
  detector.OnSent(IdAt(0), Duration::zero());
  clock.Advance(milliseconds(990));
  detector.Check();
  CHECK_FALSE(detector.IsDoubtful(IdAt(0)));
}

// Guards against alarms after the process was suspended or had no processor,
// while answers wait in its sockets.
TEST_CASE("SilenceDetector.WaitsForUnreadAnswersAfterAPause") {
  auto fixture = Fixture();
  const auto first = fixture.Send(fixture.a, 0);
  fixture.Send(fixture.a, 0);
  fixture.clock.Advance(milliseconds(500));
  fixture.a.Check();
  CHECK(fixture.a.suspected() == 0);
  REQUIRE(fixture.a.next_check());
  fixture.a.OnFirstEvent(first);
  fixture.Pass(milliseconds(20));
  CHECK(fixture.a.suspected() == 0);
  // Without answers the suspicion follows, also if the next check is late, too.
  fixture.Send(fixture.b, 1);
  fixture.clock.Advance(milliseconds(500));
  fixture.b.Check();
  fixture.clock.Advance(milliseconds(90));
  fixture.b.Check();
  CHECK(fixture.b.IsSuspected(IdAt(1)));
}

// Guards against a lost datagram after which peers do not know of a suspicion.
TEST_CASE("SilenceDetector.TellsNewsSeveralTimes") {
  auto fixture = Fixture();
  fixture.Send(fixture.a, 0);
  fixture.Pass(milliseconds(410));
  REQUIRE(fixture.a.is_urgent());
  auto times = 0;
  while (fixture.a.has_news()) {
    fixture.a.OnTold();
    ++times;
  }
  CHECK(times == 3);
  CHECK_FALSE(fixture.a.is_urgent());
}

// Guards against a datagram that was read late, by which an old byte seems to
// have come after the requests that wait.
TEST_CASE("SilenceDetector.TakesNoLateDatagramForANewByte") {
  auto fixture = Fixture();
  const auto all = [](const ReplicaId&) { return true; };
  fixture.b.OnBytes(IdAt(0));
  fixture.Tell(fixture.b, fixture.a);
  fixture.Pass(milliseconds(20));
  fixture.Send(fixture.a, 0);
  fixture.Send(fixture.a, 0);
  fixture.Pass(milliseconds(110));
  const auto late = fixture.b.own_reports(all);
  fixture.Pass(milliseconds(90));
  REQUIRE(fixture.a.IsSuspected(IdAt(0)));
  fixture.a.OnPeerReports(NodeId("b"), late);
  CHECK(fixture.a.IsSuspected(IdAt(0)));
  // Bytes that the peer has read since do count.
  fixture.b.OnBytes(IdAt(0));
  fixture.Tell(fixture.b, fixture.a);
  CHECK_FALSE(fixture.a.IsSuspected(IdAt(0)));
}

// The same after the peer's clock stood still while its host was suspended.
TEST_CASE("SilenceDetector.AdaptsToANewDifferenceOfClocks") {
  auto fixture = Fixture();
  const auto tell = [&](Duration heard, Duration clock_lag) {
    auto reports = SilenceReports();
    reports.sender_time = fixture.clock.now().time_since_epoch() - clock_lag;
    reports.replicas[IdAt(0)].heard = heard;
    fixture.a.OnPeerReports(NodeId("b"), reports);
  };
  tell(seconds(0), seconds(0));
  fixture.Pass(seconds(1));
  for (auto step = 0; step < 45; ++step) {
    fixture.Pass(milliseconds(100));
    tell(seconds(0), seconds(30));
  }
  fixture.Pass(milliseconds(1));
  fixture.Send(fixture.a, 0);
  fixture.Send(fixture.a, 0);
  fixture.Pass(milliseconds(200));
  REQUIRE(fixture.a.IsSuspected(IdAt(0)));
  tell(seconds(0), seconds(30));
  CHECK_FALSE(fixture.a.IsSuspected(IdAt(0)));
}

// Guards against evidence of a peer that has ended or is cut off.
TEST_CASE("SilenceDetector.ForgetsPeersThatTellNothing") {
  auto fixture = Fixture();
  fixture.Send(fixture.a, 0);
  fixture.Pass(milliseconds(410));
  fixture.Tell(fixture.a, fixture.b);
  REQUIRE(fixture.b.IsSuspected(IdAt(0)));
  fixture.clock.Advance(milliseconds(2'100));
  fixture.b.ExpirePeers();
  CHECK_FALSE(fixture.b.IsSuspected(IdAt(0)));
  fixture.Tell(fixture.a, fixture.b);
  REQUIRE(fixture.b.IsSuspected(IdAt(0)));
  fixture.b.ForgetPeer(NodeId("a"));
  CHECK_FALSE(fixture.b.IsSuspected(IdAt(0)));
}

}  // namespace
}  // namespace kumquatgauge::serving
