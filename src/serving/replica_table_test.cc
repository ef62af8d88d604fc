#include "kumquatgauge/serving/replica_table.h"

#include <catch2/catch.hpp>

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

  testing::ManualClock clock;
  ReplicaTable table{Decode, clock.AsHook()};
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
  auto other = ReplicaTable(Decode, fixture.clock.AsHook());
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
  auto other = ReplicaTable(Decode, fixture.clock.AsHook());
  other.OnSnapshot({Entry("r1", 3, "one")}, 10);
  for (const auto& change : fixture.table.ChangesSince(10)) {
    other.OnPeerChange(change);
  }
  CHECK(other.replicas().size() == 1);
  fixture.clock.Advance(kEntryGracePeriod + milliseconds(1));
  CHECK(other.OnTick());
  CHECK(other.replicas().empty());
}

}  // namespace
}  // namespace kumquatgauge::serving
