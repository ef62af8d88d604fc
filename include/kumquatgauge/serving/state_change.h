#ifndef KUMQUATGAUGE_SERVING_STATE_CHANGE_H_
#define KUMQUATGAUGE_SERVING_STATE_CHANGE_H_

#include "kumquatgauge/serving/job_archive.h"

namespace kumquatgauge::serving {

enum class StateChange {
  kNone,       // Not newer than what is known.
  kUpdated,    // Newer; the job goes on here.
  kEnded,      // Stopped on request.
  kTakenOver,  // Another node, or a later run of this one, owns the job.
};

// Compares a stored state with the one that the owner of the job knows. States
// arrive from the store and from other nodes in any order; only a higher
// version is news.
auto CompareStates(const StoredState& known, const StoredState& stored)
    -> StateChange;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_STATE_CHANGE_H_
