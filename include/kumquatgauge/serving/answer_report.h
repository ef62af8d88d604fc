#ifndef KUMQUATGAUGE_SERVING_ANSWER_REPORT_H_
#define KUMQUATGAUGE_SERVING_ANSWER_REPORT_H_

#include <functional>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/log.h"
#include "kumquatgauge/serving/dialect.h"
#include "kumquatgauge/serving/load_balancer.h"

namespace kumquatgauge::serving {

// Tells the load balancer what the head of an answer says about its replica.
// Calls `counts_changed` if there is news for the other nodes.
auto ReportAnswer(const ReplicaId& replica,
                  const AnswerMetadata& metadata,
                  const Logger& logger,
                  LoadBalancer& load_balancer,
                  const std::function<auto()->void>& counts_changed) -> void;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_ANSWER_REPORT_H_
