#include "kumquatgauge/serving/replica_table.h"

#include <catch2/catch.hpp>
#include <tuple>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;

// A value is the replica's address; "leaving" and "malformed" are special.
auto Decode(const ReplicaId& id, const std::string& value)
    -> std::optional<routing::Replica> {
  if (value == "malformed") {
    return std::nullopt;
  }
  auto replica = routing::Replica();
  replica.id = id;
  replica.address = value;
  replica.leaving = value == "leaving";
  return replica;
}

auto Undecided(const std::string& id, std::uint64_t revision) -> EntryChange {
  return {ReplicaId(id), revision, std::nullopt, kEntryGracePeriod, true};
}

auto Entry(const std::string& id, std::uint64_t revision, std::string value)
    -> EntryChange {
  return {ReplicaId(id), revision, std::move(value), Duration::zero()};
}

auto Gone(const std::string& id, std::uint64_t revision) -> EntryChange {
  return {ReplicaId(id), revision, std::nullopt, Duration::zero()};
}

auto OnPeerChange(ReplicaTable& table, const EntryChange& change) -> bool {
  return table.OnPeerChanges({{change}, change.revision, std::nullopt, {}});
}

struct Fixture {
  Fixture() {
    table.OnSnapshot({Entry("r1", 3, "one"), Entry("r2", 4, "two")}, 10);
  }

  auto Table() -> ReplicaTable {
    return {[this](const ReplicaId& id, const std::string& value) {
              auto replica = Decode(id, value);
              if (replica) {
                replica->started_ms = started_ms;
              }
              return replica;
            },
            [this](const ReplicaId& id, std::uint64_t revision, Duration kept) {
              dropped.emplace_back(id.value(), revision, kept);
            },
            clock.AsHook()};
  }

  testing::ManualClock clock;
  std::uint64_t started_ms = 0;  // Of the replicas in entries that follow.
  std::vector<std::tuple<std::string, std::uint64_t, Duration>> dropped;
  ReplicaTable table = Table();
};

TEST_CASE("ReplicaTable.DropsAReplicaWhoseEntryIsRemoved") {
  auto fixture = Fixture();
  CHECK(fixture.table.OnChange(Gone("r1", 11)));
  CHECK(fixture.table.replicas().size() == 1);
}

// Guards against one malformed entry that hides the valid ones.
TEST_CASE("ReplicaTable.IgnoresMalformedEntriesAndKeepsTheOthers") {
  auto fixture = Fixture();
  fixture.table.OnSnapshot({Entry("r1", 3, "one"), Entry("r2", 4, "two"),
                            Entry("r3", 12, "malformed")},
                           12);
  CHECK(fixture.table.replicas().size() == 2);
}

// Leases expire in an outage because they cannot be renewed. Guards against
// refusing all traffic when the store recovers.
TEST_CASE("ReplicaTable.KeepsReplicasThatLapseInAnOutageForTheGracePeriod") {
  auto fixture = Fixture();
  fixture.table.OnStoreUnavailable();
  fixture.clock.Advance(std::chrono::seconds(5));
  fixture.table.OnStoreAnswered();
  fixture.table.OnSnapshot({}, 20);
  CHECK(fixture.table.replicas().size() == 2);
  fixture.table.OnChange(Entry("r1", 21, "one"));
  fixture.clock.Advance(kEntryGracePeriod + milliseconds(1));
  CHECK(fixture.table.OnTick());
  REQUIRE(fixture.table.replicas().size() == 1);
  CHECK(fixture.table.replicas().front().id == ReplicaId("r1"));
}

// Guards against requests to a replica that left long ago, because the watch
// that reported the removal was the first response after an outage.
TEST_CASE("ReplicaTable.DropsAtOnceAfterTheGracePeriodOfAnOutage") {
  auto fixture = Fixture();
  fixture.table.OnStoreUnavailable();
  fixture.table.OnStoreAnswered();
  fixture.clock.Advance(kEntryGracePeriod + milliseconds(1));
  CHECK(fixture.table.OnChange(Gone("r1", 30)));
}

// Guards against a node that stopped watching the store in an outage and kept
// replicas forever.
TEST_CASE("ReplicaTable.DropsAtOnceWhenOthersFollowTheStore") {
  auto fixture = Fixture();
  fixture.table.OnStoreUnavailable();
  fixture.table.OnStoreNotWatched();
  CHECK(fixture.table.OnChange(Gone("r1", 30)));
}

// Only this node cannot reach the store, and a peer that can reports a removal.
// Guards against requests to a replica that has left, until two seconds after
// this node reaches the store again.
TEST_CASE("ReplicaTable.DropsWhatPeersFoundMissingWhileItsOwnCallsFail") {
  auto fixture = Fixture();
  fixture.table.OnStoreUnavailable();
  CHECK(OnPeerChange(fixture.table, Gone("r1", 30)));
  CHECK(fixture.table.replicas().size() == 1);
  // This node's own watch reports the change again later.
  fixture.table.OnStoreAnswered();
  CHECK_FALSE(fixture.table.OnChange(Gone("r1", 30)));
  CHECK(fixture.table.replicas().size() == 1);
}

// The same for a removal that this node has read and that a peer reports
// without a grace period.
TEST_CASE("ReplicaTable.ShortensItsGracePeriodToThatOfAPeer") {
  auto fixture = Fixture();
  fixture.table.OnStoreUnavailable();
  fixture.table.OnStoreAnswered();
  CHECK_FALSE(fixture.table.OnChange(Gone("r1", 30)));
  CHECK(OnPeerChange(fixture.table, Gone("r1", 30)));
}

// Guards against keeping a missing entry until this node's store recovers
// although a peer has set the time at which it is dropped.
TEST_CASE("ReplicaTable.DropsAtTheTimeThatAPeerSet") {
  auto fixture = Fixture();
  fixture.table.OnStoreUnavailable();
  auto gone = Gone("r1", 30);
  gone.grace_period = milliseconds(500);
  CHECK_FALSE(OnPeerChange(fixture.table, gone));
  fixture.clock.Advance(milliseconds(501));
  CHECK(fixture.table.OnTick());
  CHECK(fixture.table.replicas().size() == 1);
}

TEST_CASE("ReplicaTable.DropsALeavingReplicaEvenInAnOutage") {
  auto fixture = Fixture();
  fixture.table.OnChange(Entry("r1", 11, "leaving"));
  fixture.table.OnStoreUnavailable();
  CHECK(fixture.table.OnChange(Gone("r1", 12)));
}

// Guards against an old change that arrives after a newer one.
TEST_CASE("ReplicaTable.IgnoresChangesThatAreNotNewer") {
  auto fixture = Fixture();
  fixture.table.OnChange(Entry("r1", 15, "leaving"));
  CHECK_FALSE(fixture.table.OnChange(Entry("r1", 14, "one")));
  CHECK(fixture.table.replicas().front().leaving);
}

TEST_CASE("ReplicaTable.BringsAnotherNodeToTheSameState") {
  auto fixture = Fixture();
  fixture.table.OnChange(Gone("r2", 11));
  fixture.table.OnChange(Entry("r3", 12, "three"));
  auto other = fixture.Table();
  other.OnPeerChanges(fixture.table.ChangesSince(0));
  CHECK(other.replicas() == fixture.table.replicas());
  CHECK(other.revision() == fixture.table.revision());
  CHECK(fixture.table.ChangesSince(12).changes.empty());
}

// Guards against peers that drop a removed entry before its grace period ends.
TEST_CASE("ReplicaTable.PassesOnTheGracePeriodOfAMissingEntry") {
  auto fixture = Fixture();
  fixture.table.OnStoreUnavailable();
  fixture.table.OnStoreAnswered();
  fixture.table.OnChange(Gone("r1", 11));
  auto other = fixture.Table();
  other.OnSnapshot({Entry("r1", 3, "one")}, 10);
  other.OnPeerChanges(fixture.table.ChangesSince(10));
  CHECK(other.replicas().size() == 1);
  fixture.clock.Advance(kEntryGracePeriod + milliseconds(1));
  CHECK(other.OnTick());
  CHECK(other.replicas().empty());
}

// A node whose own calls had failed until just before reports a removal sooner
// than this node's watch, which has not failed. Guards against requests to a
// replica that has left, until two seconds after the other node's outage.
TEST_CASE("ReplicaTable.DropsAtOnceIfItsOwnWatchDecidesAfterAPeer") {
  auto fixture = Fixture();
  auto gone = Gone("r1", 30);
  gone.grace_period = milliseconds(1'500);
  CHECK_FALSE(OnPeerChange(fixture.table, gone));
  CHECK(fixture.table.OnChange(Gone("r1", 30)));
}

// This node lists the entries after an outage of its own and then fails again.
// Its listing has a higher revision than the removal that the others have read.
// Guards against a replica that is kept for as long as the store turns this
// node away.
TEST_CASE("ReplicaTable.AcceptsOlderRemovalOfAPeerAfterItsOwnListing") {
  auto fixture = Fixture();
  fixture.table.OnStoreUnavailable();
  fixture.table.OnStoreAnswered();
  fixture.table.OnSnapshot({Entry("r2", 4, "two")}, 20);
  fixture.table.OnStoreUnavailable();
  fixture.clock.Advance(std::chrono::seconds(30));
  CHECK_FALSE(fixture.table.OnTick());
  CHECK(fixture.table.missing() == std::vector<ReplicaId>{ReplicaId("r1")});
  CHECK(fixture.table.OnPeerAnswer(Gone("r1", 15)));
  CHECK(fixture.table.missing().empty());
}

// A listing proves that a value from before it is gone again.
TEST_CASE("ReplicaTable.IgnoresValueOlderThanTheListingWithoutIt") {
  auto fixture = Fixture();
  fixture.table.OnStoreUnavailable();
  fixture.table.OnStoreAnswered();
  fixture.table.OnSnapshot({Entry("r2", 4, "two")}, 20);
  CHECK_FALSE(OnPeerChange(fixture.table, Entry("r1", 18, "one")));
  CHECK(fixture.table.missing().size() == 1);
}

// The store is out for all nodes, and one that had read a removal before passes
// it on. Guards against dropping replicas that could not renew their lease.
TEST_CASE("ReplicaTable.KeepsWhatAPeerCannotDecideUntilTheStoreIsBack") {
  auto fixture = Fixture();
  auto other = fixture.Table();
  other.OnSnapshot({Entry("r1", 3, "one"), Entry("r2", 4, "two")}, 10);
  other.OnStoreUnavailable();
  other.OnChange(Gone("r1", 30));
  for (auto i = 0; i < 20; ++i) {
    for (const auto& change : other.ChangesOf({ReplicaId("r1")})) {
      CHECK(change.undecided);
      OnPeerChange(fixture.table, change);
    }
    fixture.clock.Advance(milliseconds(250));
    CHECK_FALSE(fixture.table.OnTick());
  }
  other.OnStoreAnswered();
  for (const auto& change : other.ChangesOf({ReplicaId("r1")})) {
    OnPeerChange(fixture.table, change);
  }
  fixture.clock.Advance(kEntryGracePeriod - milliseconds(1));
  CHECK_FALSE(fixture.table.OnTick());
  fixture.clock.Advance(milliseconds(1));
  CHECK(fixture.table.OnTick());
}

// The same if this node hears from one that can decide.
TEST_CASE("ReplicaTable.DropsAtOnceIfAnotherPeerDecides") {
  auto fixture = Fixture();
  OnPeerChange(fixture.table, Undecided("r1", 30));
  CHECK(fixture.table.missing().size() == 1);
  CHECK(OnPeerChange(fixture.table, Gone("r1", 30)));
  OnPeerChange(fixture.table, Undecided("r1", 30));
  CHECK(fixture.table.replicas().size() == 1);
}

// Guards against a node that begins to watch after an outage that it did not
// see, and drops all replicas whose lease lapsed.
TEST_CASE("ReplicaTable.KeepsMissingEntriesOfItsFirstListing") {
  auto fixture = Fixture();
  fixture.table.OnStoreNotWatched();
  fixture.clock.Advance(std::chrono::minutes(1));
  fixture.table.OnStoreAnswered();
  CHECK_FALSE(fixture.table.OnSnapshot({}, 40));
  CHECK(fixture.table.replicas().size() == 2);
  CHECK(fixture.table.next_drop() == fixture.clock.now() + kEntryGracePeriod);
  fixture.clock.Advance(kEntryGracePeriod);
  CHECK(fixture.table.OnTick());
  CHECK(fixture.table.replicas().empty());
}

// Guards against a node that has just started and keeps using a replica that
// leaves, although it has seen no outage.
TEST_CASE("ReplicaTable.DropsAtOnceWhatLeavesJustAfterItBeganToWatch") {
  auto fixture = Fixture();
  fixture.table.OnStoreAnswered();
  CHECK(fixture.table.OnChange(Gone("r1", 11)));
}

// Guards against a node that begins to watch after an outage that it did not
// see, and ends the grace period that the other nodes had told it.
TEST_CASE("ReplicaTable.KeepsWhatOthersKeepWhenItBeginsToWatch") {
  auto fixture = Fixture();
  auto gone = Gone("r1", 30);
  gone.grace_period = milliseconds(1'500);
  OnPeerChange(fixture.table, gone);
  fixture.table.OnStoreAnswered();
  CHECK_FALSE(fixture.table.OnChange(Gone("r1", 30)));
  CHECK(fixture.table.next_drop() == fixture.clock.now() + milliseconds(1'500));
}

// Guards against a node that no longer watches and passes on its own guess as a
// decision.
TEST_CASE("ReplicaTable.IsUndecidedAfterItStoppedWatching") {
  auto fixture = Fixture();
  fixture.table.OnStoreUnavailable();
  fixture.table.OnStoreAnswered();
  fixture.table.OnChange(Gone("r1", 30));
  CHECK_FALSE(fixture.table.ChangesSince(10).changes.front().undecided);
  fixture.table.OnStoreNotWatched();
  CHECK(fixture.table.ChangesSince(10).changes.front().undecided);
}

// A replica that registers again while its entry is missing stays.
TEST_CASE("ReplicaTable.KeepsReplicaThatRegistersAgain") {
  auto fixture = Fixture();
  OnPeerChange(fixture.table, Undecided("r1", 30));
  OnPeerChange(fixture.table, Entry("r1", 31, "one"));
  CHECK(fixture.table.missing().empty());
  CHECK_FALSE(OnPeerChange(fixture.table, Gone("r1", 30)));
  CHECK(fixture.table.replicas().size() == 2);
}

// Guards against changes of other entries that are never asked for, because an
// answer about one entry had a higher revision.
TEST_CASE("ReplicaTable.AnswerAboutOneEntryDoesNotRaiseTheRevision") {
  auto fixture = Fixture();
  fixture.table.OnPeerAnswer(Gone("r1", 30));
  CHECK(fixture.table.revision() == 10);
  CHECK(fixture.table.replicas().size() == 1);
}

// Guards against a failed request whose replica had left and whose drop shows
// nowhere.
TEST_CASE("ReplicaTable.ReportsDropWithRevisionAndTimeKept") {
  auto fixture = Fixture();
  auto gone = Gone("r1", 30);
  gone.grace_period = milliseconds(700);
  OnPeerChange(fixture.table, gone);
  CHECK(fixture.dropped.empty());
  fixture.clock.Advance(milliseconds(700));
  fixture.table.OnTick();
  fixture.table.OnChange(Gone("r2", 31));
  REQUIRE(fixture.dropped.size() == 2);
  CHECK(fixture.dropped[0] ==
        std::tuple("r1", std::uint64_t{30}, Duration(milliseconds(700))));
  CHECK(fixture.dropped[1] ==
        std::tuple("r2", std::uint64_t{31}, Duration::zero()));
}

// Guards against a replica that is used for ever by a node that does not watch
// the store: the nodes that do have started after its entry was removed.
TEST_CASE("ReplicaTable.TellsOfRemovalsBeforeItsFirstListing") {
  auto fixture = Fixture();
  auto started = fixture.Table();
  started.OnStoreAnswered();
  fixture.clock.Advance(kEntryGracePeriod);
  started.OnSnapshot({Entry("r2", 4, "two")}, 20);
  CHECK(fixture.table.OnPeerChanges(started.ChangesSince(10)));
  REQUIRE(fixture.table.replicas().size() == 1);
  CHECK(fixture.table.replicas().front().id == ReplicaId("r2"));
  CHECK(fixture.table.revision() == 20);
  // It tells others as well, in any order.
  auto third = Fixture();
  CHECK(third.table.OnPeerChanges(fixture.table.ChangesSince(10)));
  CHECK(third.table.replicas().size() == 1);
}

// The same if it learned the entries from another node that had started.
TEST_CASE("ReplicaTable.TellsOfRemovalsThatItWasNeverToldOf") {
  auto fixture = Fixture();
  auto started = fixture.Table();
  started.OnSnapshot({Entry("r2", 4, "two")}, 20);
  auto follower = fixture.Table();
  follower.OnPeerChanges(started.ChangesSince(0));
  follower.OnPeerChanges(started.ChangesSince(follower.revision()));
  CHECK(fixture.table.OnPeerChanges(follower.ChangesSince(10)));
  CHECK(fixture.table.replicas().size() == 1);
}

// A replica came and went before the listing of a node that knows neither.
TEST_CASE("ReplicaTable.TellsOfRemovalsBetweenItsWatchAndALaterListing") {
  auto fixture = Fixture();
  auto other = Fixture();
  OnPeerChange(other.table, Entry("r3", 12, "three"));
  REQUIRE(other.table.replicas().size() == 3);
  // The history of the store was gone, so that this node listed again.
  fixture.table.OnSnapshot({Entry("r1", 3, "one"), Entry("r2", 4, "two")}, 20);
  CHECK(other.table.OnPeerChanges(fixture.table.ChangesSince(12)));
  CHECK(other.table.replicas() == fixture.table.replicas());
}

// The same once the removal has been forgotten here.
TEST_CASE("ReplicaTable.TellsOfRemovalsThatItHasForgotten") {
  auto fixture = Fixture();
  auto other = Fixture();
  fixture.table.OnChange(Gone("r1", 11));
  fixture.clock.Advance(kRemovedEntryRetention + milliseconds(1));
  fixture.table.OnTick();
  CHECK(other.table.OnPeerChanges(fixture.table.ChangesSince(10)));
  CHECK(other.table.replicas().size() == 1);
}

// Guards against all entries being sent again and again.
TEST_CASE("ReplicaTable.SendsOnlyChangesToNodesThatKnowItsListing") {
  auto fixture = Fixture();
  CHECK(fixture.table.ChangesSince(9).others.has_value());
  CHECK_FALSE(fixture.table.ChangesSince(10).others.has_value());
  fixture.table.OnChange(Gone("r1", 11));
  const auto changes = fixture.table.ChangesSince(10);
  CHECK_FALSE(changes.others.has_value());
  CHECK(changes.changes == std::vector<EntryChange>{Gone("r1", 11)});
}

// Guards against the values of all entries being sent to all nodes whenever one
// has started.
TEST_CASE("ReplicaTable.NamesEntriesThatTheOtherNodeKnows") {
  auto fixture = Fixture();
  auto started = fixture.Table();
  started.OnSnapshot({Entry("r2", 4, "two"), Entry("r3", 15, "three")}, 20);
  const auto changes = started.ChangesSince(10);
  CHECK(changes.changes == std::vector<EntryChange>{Entry("r3", 15, "three")});
  CHECK(changes.unchanged == std::set<ReplicaId>{ReplicaId("r2")});
  CHECK(fixture.table.OnPeerChanges(changes));
  CHECK(fixture.table.replicas() == started.replicas());
}

// A change that this node knows is newer than the listing of the other one.
TEST_CASE("ReplicaTable.KeepsEntriesThatAreNewerThanAListingWithoutThem") {
  auto fixture = Fixture();
  auto started = fixture.Table();
  started.OnSnapshot({Entry("r1", 3, "one"), Entry("r2", 4, "two")}, 20);
  OnPeerChange(fixture.table, Entry("r3", 21, "three"));
  fixture.table.OnPeerChanges(started.ChangesSince(10));
  CHECK(fixture.table.replicas().size() == 3);
  CHECK(fixture.table.revision() == 21);
}

auto IdsOfLeaving(const ReplicaTable& table) -> std::vector<std::string> {
  auto ids = std::vector<std::string>();
  for (const auto& replica : table.replicas()) {
    if (replica.leaving) {
      ids.push_back(replica.id.value());
    }
  }
  return ids;
}

// A node lists the entries just after its start and cannot know whether missing
// ones lapsed in an outage. Guards against requests to a replica that has left,
// and against its return to use before the doubt ends.
TEST_CASE("ReplicaTable.UsesNoReplicaWhoseAbsenceIsInDoubt") {
  auto fixture = Fixture();
  auto started = fixture.Table();
  started.OnStoreAnswered();
  started.OnSnapshot({Entry("r2", 4, "two")}, 20);
  CHECK(fixture.table.OnPeerChanges(started.ChangesSince(10)));
  CHECK(fixture.table.replicas().size() == 2);
  CHECK(IdsOfLeaving(fixture.table) == std::vector<std::string>{"r1"});
  auto third = Fixture();
  CHECK(third.table.OnPeerChanges(fixture.table.ChangesSince(10)));
  CHECK(IdsOfLeaving(third.table) == std::vector<std::string>{"r1"});
  fixture.clock.Advance(kEntryGracePeriod);
  CHECK(fixture.table.OnTick());
  CHECK(fixture.table.replicas().size() == 1);
  // Its entry had lapsed, and is back.
  CHECK(third.table.OnChange(Entry("r1", 21, "one")));
  CHECK(IdsOfLeaving(third.table).empty());
}

// The same at a node that begins to watch in place of others that are lost.
TEST_CASE("ReplicaTable.DoubtsAbsencesInItsOwnFirstListing") {
  auto fixture = Fixture();
  fixture.clock.Advance(std::chrono::minutes(1));
  fixture.table.OnStoreAnswered();
  CHECK(fixture.table.OnSnapshot({Entry("r2", 4, "two")}, 20));
  CHECK(IdsOfLeaving(fixture.table) == std::vector<std::string>{"r1"});
}

// Guards against a service without replicas after an outage in which all nodes
// that watch the store were restarted.
TEST_CASE("ReplicaTable.UsesReplicasInDoubtIfMostEntriesAreMissing") {
  auto fixture = Fixture();
  fixture.table.OnChange(Entry("r3", 11, "three"));
  auto started = fixture.Table();
  started.OnStoreAnswered();
  started.OnSnapshot({Entry("r3", 11, "three")}, 20);
  fixture.table.OnPeerChanges(started.ChangesSince(11));
  CHECK(fixture.table.replicas().size() == 3);
  CHECK(IdsOfLeaving(fixture.table).empty());
  // As the others register again, the doubt about the last one grows.
  CHECK(fixture.table.OnChange(Entry("r1", 21, "one")));
  CHECK(IdsOfLeaving(fixture.table) == std::vector<std::string>{"r2"});
}

// Guards against replicas that are not used after an outage that only another
// node has seen.
TEST_CASE("ReplicaTable.UsesReplicasInDoubtOnceANodeTellsOfAnOutage") {
  auto fixture = Fixture();
  auto started = fixture.Table();
  started.OnStoreAnswered();
  started.OnSnapshot({Entry("r2", 4, "two")}, 20);
  fixture.table.OnPeerChanges(started.ChangesSince(10));
  REQUIRE(IdsOfLeaving(fixture.table) == std::vector<std::string>{"r1"});
  auto watcher = fixture.Table();
  watcher.OnSnapshot({Entry("r1", 3, "one"), Entry("r2", 4, "two")}, 10);
  watcher.OnStoreUnavailable();
  watcher.OnStoreAnswered();
  watcher.OnChange(Gone("r1", 19));
  for (const auto& change : watcher.ChangesOf({ReplicaId("r1")})) {
    fixture.table.OnPeerAnswer(change);
  }
  CHECK(IdsOfLeaving(fixture.table).empty());
}

// Guards against requests to a replica that said in an answer that it leaves,
// because its entry, from before or from another writer, still calls it ready.
TEST_CASE("ReplicaTable.KeepsReplicaLeavingThoughItsEntrySaysReady") {
  auto fixture = Fixture();
  CHECK(fixture.table.OnLeaving({ReplicaId("r1")}));
  CHECK_FALSE(fixture.table.OnLeaving({ReplicaId("r1")}));
  fixture.table.OnChange(Entry("r1", 20, "other"));
  OnPeerChange(fixture.table, Entry("r1", 21, "one"));
  fixture.table.OnSnapshot({Entry("r1", 22, "one"), Entry("r2", 4, "two")}, 22);
  CHECK(IdsOfLeaving(fixture.table) == std::vector<std::string>{"r1"});
}

// Guards against a replica that is never used again, because an earlier process
// under its id has left.
TEST_CASE("ReplicaTable.UsesALaterStartOfAReplicaThatWasLeaving") {
  auto fixture = Fixture();
  fixture.started_ms = 100;
  fixture.table.OnChange(Entry("r1", 20, "one"));
  CHECK(fixture.table.OnLeaving({ReplicaId("r1"), 100}));
  fixture.started_ms = 200;
  CHECK(fixture.table.OnChange(Entry("r1", 21, "one")));
  CHECK(IdsOfLeaving(fixture.table).empty());
  CHECK_FALSE(fixture.table.OnLeaving({ReplicaId("r1"), 100}));
  CHECK(IdsOfLeaving(fixture.table).empty());
}

// Guards against a replica that is used for the grace period of missing entries
// although it has left, also when the nodes that give that period do not know.
TEST_CASE("ReplicaTable.DropsALeavingReplicaWhoseEntryIsMissing") {
  auto fixture = Fixture();
  fixture.table.OnStoreUnavailable();
  fixture.table.OnLeaving({ReplicaId("r1")});
  CHECK(OnPeerChange(fixture.table, Undecided("r1", 30)));
  OnPeerChange(fixture.table, Undecided("r2", 31));
  CHECK(fixture.table.replicas().size() == 1);
  CHECK(fixture.table.OnLeaving({ReplicaId("r2")}));
  CHECK(fixture.table.replicas().empty());
}

// Guards against nodes that go on telling each other what the store tells them
// all, and against a node that does not pass on what it has heard.
TEST_CASE("ReplicaTable.HasNoticesWhileEntriesDoNotSayThatReplicasLeave") {
  auto fixture = Fixture();
  fixture.table.OnLeaving({ReplicaId("r1")});
  fixture.table.OnPeerLeaving({ReplicaId("r2")});
  fixture.table.OnPeerLeaving({ReplicaId("unknown")});
  CHECK(fixture.table.leaving_notices() ==
        std::vector<LeavingNotice>{{ReplicaId("r1")}, {ReplicaId("r2")}});
  fixture.table.OnChange(Entry("r1", 20, "leaving"));
  fixture.table.OnChange(Gone("r2", 21));
  CHECK(fixture.table.leaving_notices().empty());
}

// Guards against a node that uses a leaving replica because it heard of that
// before it knew the entry.
TEST_CASE("ReplicaTable.RemembersANoticeOfAReplicaThatItDoesNotKnowYet") {
  auto fixture = Fixture();
  CHECK_FALSE(fixture.table.OnPeerLeaving({ReplicaId("r3")}));
  fixture.table.OnChange(Entry("r3", 20, "three"));
  CHECK(IdsOfLeaving(fixture.table) == std::vector<std::string>{"r3"});
}

// Guards against notices that use up memory, and against a leaving replica that
// is used again because they do.
TEST_CASE("ReplicaTable.LimitsNoticesOfPeersButNotItsOwn") {
  auto fixture = Fixture();
  for (std::size_t at = 0; at <= kMaxLeavingNotices; ++at) {
    fixture.table.OnPeerLeaving({ReplicaId("x" + std::to_string(at))});
  }
  CHECK_FALSE(fixture.table.OnPeerLeaving({ReplicaId("r2")}));
  CHECK(fixture.table.OnLeaving({ReplicaId("r1")}));
  fixture.clock.Advance(kRemovedEntryRetention + milliseconds(1));
  fixture.table.OnTick();
  CHECK(fixture.table.OnPeerLeaving({ReplicaId("r2")}));
  CHECK(IdsOfLeaving(fixture.table) == std::vector<std::string>{"r1", "r2"});
}

}  // namespace
}  // namespace kumquatgauge::serving
