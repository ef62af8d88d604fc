#include "kumquatgauge/serving/state_change.h"

#include <catch2/catch.hpp>

namespace kumquatgauge::serving {
namespace {

const JobId kJob("7c41");
const NodeId kOwner("n1");

auto MakeStored(std::uint64_t version, bool ended) -> StoredState {
  return {{kJob, kOwner, 5, 1'000, 2, ended, false}, version};
}

// Guards against items that start again because a read that was answered late
// shows the job as it was before its end.
TEST_CASE("CompareStates.IgnoresAStateReadBeforeTheEndOfTheJob") {
  CHECK(CompareStates(MakeStored(8, true), MakeStored(7, false)) ==
        StateChange::kNone);
  CHECK(CompareStates(MakeStored(8, true), MakeStored(8, true)) ==
        StateChange::kNone);
}

TEST_CASE("CompareStates.RecognisesAnEndStoredByAnotherNode") {
  CHECK(CompareStates(MakeStored(7, false), MakeStored(8, true)) ==
        StateChange::kEnded);
  CHECK(CompareStates(MakeStored(7, false), MakeStored(8, false)) ==
        StateChange::kUpdated);
}

// Guards against an owner that goes on after a takeover, also by a later run of
// its own process.
TEST_CASE("CompareStates.RecognisesATakeover") {
  auto taken = MakeStored(8, false);
  taken.state.owner = NodeId("n2");
  CHECK(CompareStates(MakeStored(7, false), taken) == StateChange::kTakenOver);
  auto restarted = MakeStored(8, false);
  restarted.state.incarnation = 6;
  CHECK(CompareStates(MakeStored(7, false), restarted) ==
        StateChange::kTakenOver);
}

// Guards against dropping a job that was just taken over because of a listing
// that is older than the takeover.
TEST_CASE("CompareStates.IgnoresAnOwnerBeforeTheTakeover") {
  auto before = MakeStored(6, false);
  before.state.owner = NodeId("n2");
  CHECK(CompareStates(MakeStored(7, false), before) == StateChange::kNone);
}

}  // namespace
}  // namespace kumquatgauge::serving
