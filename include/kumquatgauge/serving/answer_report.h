#ifndef KUMQUATGAUGE_SERVING_ANSWER_REPORT_H_
#define KUMQUATGAUGE_SERVING_ANSWER_REPORT_H_

#include <functional>
#include <string>
#include <string_view>

#include "kumquatgauge/base/log.h"
#include "kumquatgauge/routing/replica.h"
#include "kumquatgauge/serving/dialect.h"
#include "kumquatgauge/serving/load_balancer.h"
#include "kumquatgauge/upstream/replica_call.h"

namespace kumquatgauge::serving {

// What the heads of answers change for the whole node.
struct AnswerHooks {
  // The load or the limits of replicas have changed; other nodes are told.
  std::function<auto()->void> counts_changed;
  // A replica has said that it leaves. Called for each of its answers.
  std::function<auto(const routing::Replica&)->void> replica_leaves;
};

// Whether a response head is that of the request `id`, which was sent on its
// connection only once, or of an earlier request, whose answer a replica may
// write late or once more. A head without an id, as refusals of malformed
// requests have, can only be told by its connection.
auto IsAnswerTo(std::string_view id,
                const AnswerMetadata& metadata,
                const upstream::ReplicaHead& head) -> bool;

// Tells the load balancer and the hooks what the head of an answer says about
// the replica that the request was sent to. If the request `names_weights`, a
// misdirected one says nothing about the replica, which may be a sound one with
// another version of the weights.
auto ReportAnswer(const routing::Replica& replica,
                  const AnswerMetadata& metadata,
                  bool names_weights,
                  const Logger& logger,
                  LoadBalancer& load_balancer,
                  const AnswerHooks& hooks) -> void;

// Records bytes of any answer of a replica, which end a suspicion that it is
// silent.
auto ReportBytes(const ReplicaId& replica,
                 LoadBalancer& load_balancer,
                 const AnswerHooks& hooks) -> void;

// As ReportAnswer for an answer to an earlier request on the same connection,
// whose other contents are of no use.
auto ReportSkippedAnswer(const routing::Replica& replica,
                         const AnswerMetadata& metadata,
                         const AnswerHooks& hooks) -> void;

// Accepts the answer to the request `id` and reports the answers to earlier
// requests that it skips. `dialect` and `hooks` must outlive the filter.
auto MakeHeadFilter(const Dialect& dialect,
                    const AnswerHooks& hooks,
                    const routing::Replica& replica,
                    const std::string& id) -> upstream::HeadFilter;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_ANSWER_REPORT_H_
