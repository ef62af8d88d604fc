#include "kumquatgauge/serving/state_change.h"

namespace kumquatgauge::serving {

auto CompareStates(const StoredState& known, const StoredState& stored)
    -> StateChange {
  if (stored.version <= known.version) {
    return StateChange::kNone;
  }
  if (stored.state.owner != known.state.owner ||
      stored.state.incarnation != known.state.incarnation) {
    return StateChange::kTakenOver;
  }
  return stored.state.ended ? StateChange::kEnded : StateChange::kUpdated;
}

}  // namespace kumquatgauge::serving
