#include "kumquatgauge/serving/load_balancer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using routing::Replica;
using routing::WorkClass;
using std::chrono::milliseconds;

const ServiceName kService("chat");
const ZoneName kZone("a");
constexpr std::uint32_t kSlots = 8;

auto MakeReplica(const std::string& id) -> Replica {
  auto replica = Replica();
  replica.id = ReplicaId(id);
  replica.service = kService;
  replica.address = "10.0.0.1:" + std::to_string(1000 + id.back());
  replica.zone = kZone;
  replica.capacity = kSlots;
  return replica;
}

// Returns the replica of a choice, which must have one.
auto IdOf(const Choice& choice) -> ReplicaId {
  REQUIRE(choice.replica.has_value());
  return choice.replica.value_or(Replica()).id;
}

struct Fixture {
  Fixture() {
    balancer.SetReplicas(
        {MakeReplica("r1"), MakeReplica("r2"), MakeReplica("r3")});
  }

  auto Request() const -> ChoiceRequest {
    auto request = ChoiceRequest();
    request.service = kService;
    request.latency_target = milliseconds(300);
    return request;
  }

  auto SendOne() -> Choice {
    auto choice = balancer.Choose(Request());
    if (const auto& replica = choice.replica) {
      balancer.OnStarted(replica->id, WorkClass::kOnline);
    }
    return choice;
  }

  testing::ManualClock clock;
  std::mt19937_64 random{7};
  LoadBalancer balancer{LoadBalancerSettings(), kZone, clock.AsHook(),
                        [this] { return random(); }};
};

// Guards against a thundering herd on the replica that reported last.
TEST_CASE("LoadBalancer.SpreadsABurstEvenlyWithoutFurtherReports") {
  auto fixture = Fixture();
  fixture.balancer.OnReport(ReplicaId("r2"), 0, 0);
  auto sent = std::map<ReplicaId, int>();
  for (auto request = 0; request < 12; ++request) {
    ++sent[IdOf(fixture.SendOne())];
  }
  CHECK(sent[ReplicaId("r1")] == 4);
  CHECK(sent[ReplicaId("r2")] == 4);
  CHECK(sent[ReplicaId("r3")] == 4);
}

// Load pattern: a load step beyond the number of slots. Guards against requests
// that queue while a slot is free.
TEST_CASE("LoadBalancer.FillsEveryFreeSlotBeforeAnyRequestQueues") {
  auto fixture = Fixture();
  for (auto request = 0U; request < 3 * kSlots; ++request) {
    REQUIRE(fixture.SendOne().availability == Availability::kFree);
  }
  CHECK(fixture.SendOne().availability == Availability::kQueued);
}

// Guards against queues at the replicas in which requests miss their latency
// target.
TEST_CASE("LoadBalancer.IsFullOnceFurtherRequestsWouldBeLate") {
  auto fixture = Fixture();
  fixture.balancer.OnHoldingTime(kService, milliseconds(800));
  auto queued = 0;
  while (fixture.SendOne().availability != Availability::kFull &&
         queued < 100) {
    ++queued;
  }
  // 0.4 of 300 ms, and one of 8 slots becomes free every 100 ms: one queued
  // request for each replica.
  CHECK(queued == 3 * (kSlots + 1));
}

// Guards against replicas that have ended and attract every request, since they
// have none in flight, until the request has used up its attempts.
TEST_CASE("LoadBalancer.LeavesOutAReplicaThatTakesNoConnection") {
  auto fixture = Fixture();
  const auto gone = ReplicaId("r1");
  fixture.balancer.OnUnreachable(gone);
  for (auto request = 0U; request < 2 * kSlots; ++request) {
    const auto choice = fixture.SendOne();
    CHECK(choice.availability == Availability::kFree);
    CHECK(IdOf(choice) != gone);
  }
  fixture.clock.Advance(LoadBalancerSettings().unreachable_time);
  CHECK(IdOf(fixture.SendOne()) == gone);
}

// Guards against refusing all requests because no replica took a connection a
// moment ago.
TEST_CASE("LoadBalancer.UsesAnUnreachableReplicaIfThereIsNoOther") {
  auto fixture = Fixture();
  for (const auto* id : {"r1", "r2", "r3"}) {
    fixture.balancer.OnUnreachable(ReplicaId(id));
  }
  CHECK(fixture.SendOne().replica.has_value());
}

// Guards against batch items that take the last slots from online requests when
// replicas have ended, because the slots of those still count.
TEST_CASE("LoadBalancer.CountsNoSlotsOfUnreachableReplicasForBatch") {
  auto fixture = Fixture();
  fixture.balancer.OnPeerCounts(NodeId("n2"), {{ReplicaId("r3"), {0, 8}}});
  CHECK(fixture.balancer.BatchCapacity(kService) > 0);
  fixture.balancer.OnUnreachable(ReplicaId("r1"));
  fixture.balancer.OnUnreachable(ReplicaId("r2"));
  CHECK(fixture.balancer.slots(kService) == kSlots);
  CHECK(fixture.balancer.BatchCapacity(kService) < 0);
}

// Guards against a delay that keeps growing for a replica that works again.
TEST_CASE("LoadBalancer.TriesAnUnreachableReplicaLessOftenUntilItAnswers") {
  auto fixture = Fixture();
  const auto settings = LoadBalancerSettings();
  const auto replica = ReplicaId("r1");
  for (auto failure = 0; failure < 10; ++failure) {
    fixture.balancer.OnUnreachable(replica);
    fixture.clock.Advance(settings.max_unreachable_time);
  }
  fixture.balancer.OnUnreachable(replica);
  fixture.clock.Advance(settings.unreachable_time);
  CHECK(fixture.balancer.slots(kService) == 2 * kSlots);
  fixture.balancer.OnSuccess(replica, milliseconds(50));
  CHECK(fixture.balancer.slots(kService) == 3 * kSlots);
  fixture.balancer.OnUnreachable(replica);
  fixture.clock.Advance(settings.unreachable_time);
  CHECK(fixture.balancer.slots(kService) == 3 * kSlots);
}

// Guards against counting only this node's own requests.
TEST_CASE("LoadBalancer.AvoidsReplicasThatPeersHaveFilled") {
  auto fixture = Fixture();
  fixture.balancer.OnPeerCounts(
      NodeId("n2"), {{ReplicaId("r1"), {8, 0}}, {ReplicaId("r2"), {6, 2}}});
  for (auto request = 0; request < 4; ++request) {
    CHECK(IdOf(fixture.SendOne()) == ReplicaId("r3"));
  }
}

// Guards against replicas that stay unused because a lost peer had filled them.
TEST_CASE("LoadBalancer.ExpiresCountsOfASilentPeer") {
  auto fixture = Fixture();
  fixture.balancer.OnPeerCounts(NodeId("n2"), {{ReplicaId("r1"), {8, 0}},
                                               {ReplicaId("r2"), {8, 0}},
                                               {ReplicaId("r3"), {8, 0}}});
  fixture.clock.Advance(std::chrono::seconds(3));
  fixture.balancer.OnTick();
  CHECK(fixture.balancer.Total(kService).total() == 0);
}

TEST_CASE("LoadBalancer.DoesNotUseLeavingGoneOrTriedReplicas") {
  auto fixture = Fixture();
  auto leaving = MakeReplica("r1");
  leaving.leaving = true;
  fixture.balancer.SetReplicas({leaving, MakeReplica("r2"), MakeReplica("r3")});
  fixture.balancer.MarkGone(ReplicaId("r2"));
  auto request = fixture.Request();
  request.tried = {ReplicaId("r3")};
  CHECK(fixture.balancer.Choose(request).availability ==
        Availability::kNoReplica);
}

// Guards against sending requests to an unresponsive replica and against
// ejecting it forever.
TEST_CASE("LoadBalancer.AvoidsAFailingReplicaAndProbesItLater") {
  auto fixture = Fixture();
  fixture.balancer.OnFailure(ReplicaId("r1"));
  fixture.balancer.OnFailure(ReplicaId("r1"));
  for (auto request = 0; request < 10; ++request) {
    CHECK(IdOf(fixture.SendOne()) != ReplicaId("r1"));
  }
  fixture.clock.Advance(std::chrono::seconds(2));
  fixture.balancer.OnTick();
  auto probed = false;
  for (auto request = 0; request < 4; ++request) {
    probed = IdOf(fixture.SendOne()) == ReplicaId("r1") || probed;
  }
  CHECK(probed);
}

// A replica that restarts under its id is usable again immediately.
TEST_CASE("LoadBalancer.UsesAReplicaAgainAfterItsRestart") {
  auto fixture = Fixture();
  fixture.balancer.MarkGone(ReplicaId("r1"));
  auto restarted = MakeReplica("r1");
  restarted.started_ms = 5;
  fixture.balancer.SetReplicas({restarted});
  CHECK(IdOf(fixture.SendOne()) == ReplicaId("r1"));
}

// Load pattern: online load in steps with batch in between. Guards against
// batch items that take the slots needed by the first requests of the next
// step.
TEST_CASE("LoadBalancer.LimitsBatchToSlotsBeyondOnlineAndReserve") {
  auto fixture = Fixture();
  CHECK(fixture.balancer.BatchCapacity(kService) == 21);  // 24 minus a tenth.
  fixture.balancer.OnPeerCounts(NodeId("n2"), {{ReplicaId("r1"), {8, 0}},
                                               {ReplicaId("r2"), {8, 0}},
                                               {ReplicaId("r3"), {2, 6}}});
  CHECK(fixture.balancer.BatchCapacity(kService) == -3);
}

// A fleet of four cells of two replicas each; this node is in the second.
struct CellFixture : Fixture {
  CellFixture() {
    auto replicas = std::vector<Replica>();
    for (auto at = 0; at < 8; ++at) {
      replicas.push_back(MakeReplica("r" + std::to_string(at)));
    }
    balancer.SetReplicas(replicas);
    balancer.SetCell(1, 4);
  }

  // Sends requests until the balancer reports full; returns the replicas used.
  auto UseUntilFull() -> std::map<ReplicaId, std::uint32_t> {
    auto used = std::map<ReplicaId, std::uint32_t>();
    for (auto request = 0U; request < 8 * 2 * kSlots; ++request) {
      const auto choice = SendOne();
      if (choice.availability == Availability::kFull) {
        break;
      }
      ++used[IdOf(choice)];
    }
    return used;
  }
};

// Load pattern: a fleet at its limit whose nodes receive counts from their own
// cell only. Guards against treating the replicas of other cells as idle, which
// queued half of all requests past their latency target.
TEST_CASE("LoadBalancer.IsFullWithItsCellWhenOthersReportNoCapacity") {
  auto fixture = CellFixture();
  CHECK(fixture.balancer.slots(kService) == 2 * kSlots);
  CHECK(fixture.UseUntilFull().size() == 2);
}

// Load pattern: one cell receives more requests than the others. Guards against
// a cell that refuses while others are idle, and against overloading them: all
// nodes outside a cell together use no more than its free slots.
TEST_CASE("LoadBalancer.UsesItsShareOfTheFreeSlotsOfAnotherCell") {
  auto fixture = CellFixture();
  constexpr auto kNodesOutside = 3U;
  fixture.balancer.OnCellCapacity(2, kService, 4 * kNodesOutside,
                                  kNodesOutside);
  const auto used = fixture.UseUntilFull();
  CHECK(used.size() == 4);
  auto sent = 0U;
  for (const auto& [id, count] : used) {
    sent += count;
  }
  auto without = CellFixture();
  auto inside = 0U;
  for (const auto& [id, count] : without.UseUntilFull()) {
    inside += count;
  }
  CHECK(sent == inside + 4);
}

TEST_CASE("LoadBalancer.IgnoresExpiredCapacityOfAnotherCell") {
  auto fixture = CellFixture();
  fixture.balancer.OnCellCapacity(2, kService, 12, 1);
  fixture.clock.Advance(milliseconds(501));
  CHECK(fixture.UseUntilFull().size() == 2);
}

// Guards against refusing requests when all replicas of the node's cell are
// gone.
TEST_CASE("LoadBalancer.UsesOtherCellsWhenItsOwnHasNoReplicaLeft") {
  auto fixture = CellFixture();
  for (const auto& [id, count] : fixture.UseUntilFull()) {
    fixture.balancer.MarkGone(id);
  }
  CHECK(fixture.balancer.Choose(fixture.Request()).availability ==
        Availability::kFree);
}

// Load pattern: batch items near their due time while online requests take
// every slot. Guards against either class starving the other.
TEST_CASE("LoadBalancer.AllowsUrgentBatchUpToHalfOfTheSlots") {
  auto fixture = Fixture();
  for (auto request = 0U; request < 3 * kSlots; ++request) {
    fixture.SendOne();
  }
  CHECK(fixture.balancer.BatchCapacity(kService) < 0);
  CHECK(fixture.balancer.UrgentBatchCapacity(kService) == 3 * kSlots / 2);
}

TEST_CASE("LoadBalancer.SharesAServiceOfFewReplicasAmongAllCells") {
  auto fixture = Fixture();
  fixture.balancer.SetCell(3, 4);
  CHECK(fixture.balancer.slots(kService) == 3 * kSlots);
}

// Guards against affinity that queues requests at a full replica.
TEST_CASE("LoadBalancer.KeepsEqualPromptsTogetherWithinBoundedLoad") {
  auto fixture = Fixture();
  auto request = fixture.Request();
  request.affinity = 99;
  const auto home = IdOf(fixture.balancer.Choose(request));
  CHECK(IdOf(fixture.balancer.Choose(request)) == home);
  for (auto sent = 0U; sent < kSlots; ++sent) {
    fixture.balancer.OnStarted(home, WorkClass::kOnline);
  }
  CHECK(IdOf(fixture.balancer.Choose(request)) != home);
}

// Uses up the starts saved at a replica.
auto UseUpStarts(Fixture& fixture, const ReplicaId& replica) -> void {
  auto& limiter = fixture.balancer.start_limiter();
  while (limiter.MayStart(replica, WorkClass::kOnline, false)) {
    limiter.OnStarted(replica);
  }
}

// Guards against requests that reach a replica at its limit by any way: first
// attempts, those that go on whether there is a slot or not, and items.
TEST_CASE("LoadBalancer.SendsNothingToAReplicaAtItsLimit") {
  auto fixture = Fixture();
  const auto limited = ReplicaId("r1");
  fixture.balancer.OnStartLimit(limited, 1.0);
  auto request = fixture.Request();
  const auto check = [&] {
    for (auto draw = 0; draw < 20; ++draw) {
      const auto choice = fixture.balancer.Choose(request);
      CHECK(IdOf(choice) != limited);
      CHECK(choice.at_limit == 1);
    }
  };
  check();
  request.even_if_full = true;
  check();
  request = fixture.Request();
  request.work_class = WorkClass::kBatch;
  check();
  request.urgent = true;
  check();
  // Not even if no other replica takes a connection.
  fixture.balancer.OnUnreachable(ReplicaId("r2"));
  fixture.balancer.OnUnreachable(ReplicaId("r3"));
  check();
}

// Guards against requests that wait for a slot although none would help, and
// against a refusal that does not know when to come back.
TEST_CASE("LoadBalancer.TellsWhenAReplicaTakesTheNextRequest") {
  auto fixture = Fixture();
  for (const auto* id : {"r1", "r2", "r3"}) {
    fixture.balancer.OnStartLimit(ReplicaId(id), 2.0);
  }
  const auto choice = fixture.balancer.Choose(fixture.Request());
  CHECK(choice.availability == Availability::kFull);
  CHECK_FALSE(choice.replica);
  REQUIRE(choice.next_start);
  const auto next = choice.next_start.value_or(Duration::zero());
  CHECK(next == milliseconds(500));
  fixture.clock.Advance(next + milliseconds(1));
  CHECK(fixture.SendOne().availability == Availability::kFree);
}

// Load pattern: most replicas limited, others with free slots. Guards against
// online requests that use up the few starts, which items need more.
TEST_CASE("LoadBalancer.PrefersFreeSlotsElsewhereToLimitedStarts") {
  auto fixture = Fixture();
  const auto limited = ReplicaId("r1");
  fixture.balancer.OnStartLimit(limited, 10.0);
  fixture.clock.Advance(std::chrono::seconds(2));
  for (auto request = 0U; request < 2 * kSlots; ++request) {
    CHECK(IdOf(fixture.SendOne()) != limited);
  }
  // It is used before anything queues at the others.
  const auto choice = fixture.SendOne();
  CHECK(IdOf(choice) == limited);
  CHECK(choice.limited);
  CHECK(choice.availability == Availability::kFree);
}

TEST_CASE("LoadBalancer.PlacesItemsAtLimitedReplicasFirst") {
  auto fixture = Fixture();
  const auto limited = ReplicaId("r1");
  fixture.balancer.OnStartLimit(limited, 10.0);
  fixture.clock.Advance(std::chrono::seconds(2));
  auto request = fixture.Request();
  request.work_class = WorkClass::kBatch;
  auto placed = 0U;
  while (IdOf(fixture.balancer.Choose(request)) == limited) {
    fixture.balancer.OnStarted(limited, WorkClass::kBatch);
    ++placed;
    fixture.clock.Advance(std::chrono::seconds(2));
  }
  // The rest of its slots is for the online requests of a burst.
  CHECK(placed == kSlots * 3 / 4);
}

// Guards against free slots of replicas that take no further start: they count
// neither as room for items nor as room for other cells, and items there do not
// yield.
TEST_CASE("LoadBalancer.CountsStartsRatherThanSlotsOfLimitedReplicas") {
  auto fixture = Fixture();
  for (const auto* id : {"r1", "r2", "r3"}) {
    fixture.balancer.OnStartLimit(ReplicaId(id), 1.0);
  }
  CHECK(fixture.balancer.slots(kService) == 0);
  CHECK(fixture.balancer.BatchCapacity(kService) == 0);
  CHECK(fixture.balancer.free_cell_slots().at(kService) == 0);
  fixture.balancer.OnPeerCounts(NodeId("n2"), {{ReplicaId("r1"), {0, 8}}});
  CHECK(fixture.balancer.BatchCapacity(kService) == 0);
  CHECK(fixture.balancer.YieldableBatch(kService) ==
        LoadBalancer::BatchCounts{0, 0});
  fixture.clock.Advance(std::chrono::seconds(1));
  CHECK(fixture.balancer.BatchCapacity(kService) == 2);
  CHECK(fixture.balancer.free_cell_slots().at(kService) == 0);
}

// Guards against nodes of other cells, which do not hear how many requests the
// replica gets, and against cells that each use the whole limit.
TEST_CASE("LoadBalancer.LeavesLimitedReplicasOfOtherCellsAlone") {
  auto fixture = Fixture();
  auto replicas = std::vector<Replica>();
  for (const auto* id : {"r1", "r2", "r3", "r4"}) {
    replicas.push_back(MakeReplica(id));
  }
  fixture.balancer.SetReplicas(replicas);
  fixture.balancer.SetCell(0, 2);
  auto in_cell = std::vector<ReplicaId>();
  for (auto draw = 0; draw < 50; ++draw) {
    in_cell.push_back(IdOf(fixture.balancer.Choose(fixture.Request())));
  }
  for (const auto& replica : replicas) {
    const auto own =
        std::find(in_cell.begin(), in_cell.end(), replica.id) != in_cell.end();
    fixture.balancer.OnStartLimit(replica.id, own ? 0.0 : 1e6);
  }
  fixture.clock.Advance(std::chrono::seconds(1));
  fixture.balancer.OnCellCapacity(1, kService, 100, 1);
  const auto choice = fixture.balancer.Choose(fixture.Request());
  CHECK_FALSE(choice.replica);
  CHECK(choice.at_limit == 4);
}

// Guards against a service shared by all cells whose replicas get a whole limit
// from each of them.
TEST_CASE("LoadBalancer.DividesLimitsOfSharedReplicasAmongTheCells") {
  auto fixture = Fixture();
  fixture.balancer.SetCell(0, 3);
  const auto limited = ReplicaId("r1");
  fixture.balancer.OnStartLimit(limited, 3.0);
  fixture.clock.Advance(milliseconds(900));
  CHECK_FALSE(fixture.balancer.start_limiter().MayStart(
      limited, WorkClass::kOnline, false));
  UseUpStarts(fixture, limited);
  fixture.clock.Advance(milliseconds(1'600));
  CHECK(fixture.balancer.start_limiter().MayStart(limited, WorkClass::kOnline,
                                                  false));
}

// Guards against sends of the connection pool that nobody counts.
TEST_CASE("LoadBalancer.CountsRequestsThatWereSentAgain") {
  auto fixture = Fixture();
  const auto limited = ReplicaId("r1");
  fixture.balancer.OnStartLimit(limited, 1.0);
  fixture.clock.Advance(std::chrono::seconds(10));
  const auto before = fixture.balancer.start_limiter().available(limited);
  fixture.balancer.OnSentAgain(limited, 1);
  CHECK(fixture.balancer.start_limiter().available(limited) == before - 1);
}

// Guards against items that take the starts for which online requests wait.
TEST_CASE("LoadBalancer.StartsNoItemsAtLimitsWhereOnlineRequestsFindNothing") {
  auto fixture = Fixture();
  for (const auto* id : {"r1", "r2", "r3"}) {
    fixture.balancer.OnStartLimit(ReplicaId(id), 4.0);
  }
  CHECK(fixture.balancer.Choose(fixture.Request()).next_start);
  fixture.clock.Advance(milliseconds(400));
  auto batch = fixture.Request();
  batch.work_class = WorkClass::kBatch;
  CHECK_FALSE(fixture.balancer.Choose(batch).replica);
  batch.urgent = true;
  CHECK(fixture.balancer.Choose(batch).replica);
  batch.urgent = false;
  fixture.clock.Advance(milliseconds(600));
  CHECK(fixture.balancer.Choose(batch).replica);
}

// Guards against a request that is sent to a replica which said that it leaves
// while the request waited for a connection.
TEST_CASE("LoadBalancer.TakesNoRequestsForReplicasThatLeaveOrAreGone") {
  auto fixture = Fixture();
  auto leaving = MakeReplica("r1");
  leaving.leaving = true;
  fixture.balancer.SetReplicas({leaving, MakeReplica("r2"), MakeReplica("r3")});
  fixture.balancer.MarkGone(ReplicaId("r2"));
  CHECK_FALSE(fixture.balancer.TakesRequests(ReplicaId("r1")));
  CHECK_FALSE(fixture.balancer.TakesRequests(ReplicaId("r2")));
  CHECK(fixture.balancer.TakesRequests(ReplicaId("r3")));
  CHECK_FALSE(fixture.balancer.TakesRequests(ReplicaId("removed")));
}

// Guards against requests that wait, or are sent, when all replicas leave.
TEST_CASE("LoadBalancer.KnowsNoReplicaWhenAllLeave") {
  auto fixture = Fixture();
  auto replicas = std::vector<Replica>();
  for (const auto* id : {"r1", "r2"}) {
    replicas.push_back(MakeReplica(id));
    replicas.back().leaving = true;
  }
  fixture.balancer.SetReplicas(replicas);
  auto request = fixture.Request();
  request.even_if_full = true;
  CHECK(fixture.balancer.Choose(request).availability ==
        Availability::kNoReplica);
  CHECK(fixture.balancer.free_cell_slots().at(kService) == 0);
}

// Guards against items of leaving replicas that stop for online requests, which
// cannot use their slots.
TEST_CASE("LoadBalancer.DoesNotCountItemsOfLeavingReplicasAsYieldable") {
  auto fixture = Fixture();
  fixture.balancer.OnStarted(ReplicaId("r1"), WorkClass::kBatch);
  fixture.balancer.OnStarted(ReplicaId("r2"), WorkClass::kBatch);
  auto leaving = MakeReplica("r1");
  leaving.leaving = true;
  fixture.balancer.SetReplicas({leaving, MakeReplica("r2")});
  CHECK(fixture.balancer.YieldableBatch(kService) ==
        LoadBalancer::BatchCounts{1, 1});
}

auto MakeVersion(const std::string& id, const std::string& version) -> Replica {
  auto replica = MakeReplica(id);
  replica.version = version;
  return replica;
}

// Guards against a stream that goes on at a replica of another software version
// because the replicas of its own are full, ejected or in another cell.
TEST_CASE("LoadBalancer.ChoosesOnlyReplicasOfTheVersion") {
  auto fixture = Fixture();
  fixture.balancer.SetReplicas({MakeVersion("r1", "v1"), MakeVersion("r2", ""),
                                MakeVersion("r3", "v2"),
                                MakeVersion("r4", "v2")});
  auto request = fixture.Request();
  request.version = "v1";
  request.even_if_full = true;
  for (std::uint32_t sent = 0; sent < 3 * kSlots; ++sent) {
    CHECK(IdOf(fixture.balancer.Choose(request)) == ReplicaId("r1"));
    fixture.balancer.OnStarted(ReplicaId("r1"), WorkClass::kOnline);
  }
  fixture.balancer.OnUnreachable(ReplicaId("r1"));
  CHECK(IdOf(fixture.balancer.Choose(request)) == ReplicaId("r1"));
  for (auto cell = 0U; cell < 2; ++cell) {
    fixture.balancer.SetCell(cell, 2);
    CHECK(IdOf(fixture.balancer.Choose(request)) == ReplicaId("r1"));
  }
  request.version = "";
  CHECK(IdOf(fixture.balancer.Choose(request)) == ReplicaId("r2"));
}

// Guards against a wait, or a choice of another version, when no replica of the
// version is left.
TEST_CASE("LoadBalancer.KnowsNoReplicaOnceTheVersionIsGone") {
  auto fixture = Fixture();
  auto leaving = MakeVersion("r1", "v1");
  leaving.leaving = true;
  fixture.balancer.SetReplicas({leaving, MakeVersion("r2", "v2")});
  auto request = fixture.Request();
  request.even_if_full = true;
  for (const auto* version : {"v1", "v1.1", ""}) {
    INFO(version);
    request.version = version;
    CHECK(fixture.balancer.Choose(request).availability ==
          Availability::kNoReplica);
  }
}

// A replica, r1, that has been silent for 400 ms.
struct SilentFixture : Fixture {
  SilentFixture() {
    for (auto request = 0; request < 10; ++request) {
      const auto ticket = balancer.OnSent(silent);
      clock.Advance(milliseconds(40));
      balancer.silence_detector().OnFirstEvent(ticket);
    }
    clock.Advance(milliseconds(1));
    ticket = balancer.OnSent(silent);
    for (auto step = 0; step < 400; ++step) {
      clock.Advance(milliseconds(1));
      balancer.silence_detector().Check();
    }
    REQUIRE(balancer.silence_detector().IsSuspected(silent));
  }

  ReplicaId silent{"r1"};
  SilenceDetector::Ticket ticket = 0;
};

// Guards against requests that must not be repeated and batch items at a
// replica that is suspected to be silent, also while all others are full.
TEST_CASE("LoadBalancer.KeepsUnrepeatableRequestsAndItemsFromASilentReplica") {
  auto fixture = SilentFixture();
  auto item = fixture.Request();
  item.work_class = WorkClass::kBatch;
  item.may_repeat = true;
  item.urgent = true;
  for (auto request = 0U; request < 2 * kSlots; ++request) {
    CHECK(IdOf(fixture.balancer.Choose(item)) != fixture.silent);
    const auto choice = fixture.SendOne();
    CHECK(choice.availability == Availability::kFree);
    CHECK(IdOf(choice) != fixture.silent);
  }
  CHECK(IdOf(fixture.SendOne()) != fixture.silent);
  CHECK(IdOf(fixture.balancer.Choose(item)) != fixture.silent);
  // Its slots do not count either.
  CHECK(fixture.balancer.slots(kService) == 2 * kSlots);
}

// Guards against a replica that is not used again since nothing is sent to it.
TEST_CASE("LoadBalancer.ProbesASilentReplicaWithARepeatableRequest") {
  auto fixture = SilentFixture();
  auto request = fixture.Request();
  request.may_repeat = true;
  CHECK(IdOf(fixture.balancer.Choose(request)) != fixture.silent);
  fixture.clock.Advance(milliseconds(351));
  auto moved = request;
  moved.tried.push_back(ReplicaId("r2"));
  CHECK(IdOf(fixture.balancer.Choose(moved)) == ReplicaId("r3"));
  REQUIRE(IdOf(fixture.balancer.Choose(request)) == fixture.silent);
  const auto probe = fixture.balancer.OnSent(fixture.silent);
  CHECK(IdOf(fixture.balancer.Choose(request)) != fixture.silent);
  fixture.clock.Advance(milliseconds(40));
  fixture.balancer.silence_detector().OnFirstEvent(probe);
  CHECK(fixture.balancer.slots(kService) == 3 * kSlots);
}

// Guards against refusing requests because the only usable replica is
// suspected.
TEST_CASE("LoadBalancer.UsesASilentReplicaIfThereIsNoOther") {
  auto fixture = SilentFixture();
  auto request = fixture.Request();
  request.tried = {ReplicaId("r2"), ReplicaId("r3")};
  CHECK(IdOf(fixture.balancer.Choose(request)) == fixture.silent);
  CHECK_FALSE(fixture.balancer.CanMove(request));
  request.tried = {fixture.silent};
  CHECK(fixture.balancer.CanMove(request));
}

// Guards against the loss of the second request at a replica where the first
// one is overdue, while other replicas have free slots.
TEST_CASE("LoadBalancer.PrefersOthersToAReplicaWithAnOverdueRequest") {
  auto fixture = SilentFixture();
  auto& detector = fixture.balancer.silence_detector();
  detector.OnFirstEvent(fixture.ticket);
  fixture.clock.Advance(milliseconds(1));
  fixture.balancer.OnSent(fixture.silent);
  for (auto step = 0; step < 150; ++step) {
    fixture.clock.Advance(milliseconds(1));
    detector.Check();
  }
  REQUIRE(detector.IsDoubtful(fixture.silent));
  for (auto request = 0U; request < 2 * kSlots; ++request) {
    CHECK(IdOf(fixture.SendOne()) != fixture.silent);
  }
  CHECK(IdOf(fixture.SendOne()) == fixture.silent);
}

}  // namespace
}  // namespace kumquatgauge::serving
