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
  CHECK(fixture.table.OnPeerChange(Gone("r1", 30)));
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
  CHECK(fixture.table.OnPeerChange(Gone("r1", 30)));
}

// Guards against keeping a missing entry until this node's store recovers
// although a peer has set the time at which it is dropped.
TEST_CASE("ReplicaTable.DropsAtTheTimeThatAPeerSet") {
  auto fixture = Fixture();
  fixture.table.OnStoreUnavailable();
  auto gone = Gone("r1", 30);
  gone.grace_period = milliseconds(500);
  CHECK_FALSE(fixture.table.OnPeerChange(gone));
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
  for (const auto& change : fixture.table.ChangesSince(0)) {
    other.OnPeerChange(change);
  }
  CHECK(other.replicas() == fixture.table.replicas());
  CHECK(other.revision() == fixture.table.revision());
  CHECK(fixture.table.ChangesSince(12).empty());
}

// Guards against peers that drop a removed entry before its grace period ends.
TEST_CASE("ReplicaTable.PassesOnTheGracePeriodOfAMissingEntry") {
  auto fixture = Fixture();
  fixture.table.OnStoreUnavailable();
  fixture.table.OnStoreAnswered();
  fixture.table.OnChange(Gone("r1", 11));
  auto other = fixture.Table();
  other.OnSnapshot({Entry("r1", 3, "one")}, 10);
  for (const auto& change : fixture.table.ChangesSince(10)) {
    other.OnPeerChange(change);
  }
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
  CHECK_FALSE(fixture.table.OnPeerChange(gone));
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
  CHECK_FALSE(fixture.table.OnPeerChange(Entry("r1", 18, "one")));
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
      fixture.table.OnPeerChange(change);
    }
    fixture.clock.Advance(milliseconds(250));
    CHECK_FALSE(fixture.table.OnTick());
  }
  other.OnStoreAnswered();
  for (const auto& change : other.ChangesOf({ReplicaId("r1")})) {
    fixture.table.OnPeerChange(change);
  }
  fixture.clock.Advance(kEntryGracePeriod - milliseconds(1));
  CHECK_FALSE(fixture.table.OnTick());
  fixture.clock.Advance(milliseconds(1));
  CHECK(fixture.table.OnTick());
}

// The same if this node hears from one that can decide.
TEST_CASE("ReplicaTable.DropsAtOnceIfAnotherPeerDecides") {
  auto fixture = Fixture();
  fixture.table.OnPeerChange(Undecided("r1", 30));
  CHECK(fixture.table.missing().size() == 1);
  CHECK(fixture.table.OnPeerChange(Gone("r1", 30)));
  fixture.table.OnPeerChange(Undecided("r1", 30));
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
  fixture.table.OnPeerChange(gone);
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
  CHECK_FALSE(fixture.table.ChangesSince(10).front().undecided);
  fixture.table.OnStoreNotWatched();
  CHECK(fixture.table.ChangesSince(10).front().undecided);
}

// A replica that registers again while its entry is missing stays.
TEST_CASE("ReplicaTable.KeepsReplicaThatRegistersAgain") {
  auto fixture = Fixture();
  fixture.table.OnPeerChange(Undecided("r1", 30));
  fixture.table.OnPeerChange(Entry("r1", 31, "one"));
  CHECK(fixture.table.missing().empty());
  CHECK_FALSE(fixture.table.OnPeerChange(Gone("r1", 30)));
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
  fixture.table.OnPeerChange(gone);
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

auto IdsOfLeaving(const ReplicaTable& table) -> std::vector<std::string> {
  auto ids = std::vector<std::string>();
  for (const auto& replica : table.replicas()) {
    if (replica.leaving) {
      ids.push_back(replica.id.value());
    }
  }
  return ids;
}

// Guards against requests to a replica that said in an answer that it leaves,
// because its entry, from before or from another writer, still calls it ready.
TEST_CASE("ReplicaTable.KeepsReplicaLeavingThoughItsEntrySaysReady") {
  auto fixture = Fixture();
  CHECK(fixture.table.OnLeaving({ReplicaId("r1")}));
  CHECK_FALSE(fixture.table.OnLeaving({ReplicaId("r1")}));
  fixture.table.OnChange(Entry("r1", 20, "other"));
  fixture.table.OnPeerChange(Entry("r1", 21, "one"));
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
  CHECK(fixture.table.OnPeerChange(Undecided("r1", 30)));
  fixture.table.OnPeerChange(Undecided("r2", 31));
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
