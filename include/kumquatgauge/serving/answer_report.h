#ifndef KUMQUATGAUGE_SERVING_ANSWER_REPORT_H_
#define KUMQUATGAUGE_SERVING_ANSWER_REPORT_H_

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/log.h"
#include "kumquatgauge/serving/dialect.h"
#include "kumquatgauge/serving/load_balancer.h"

namespace kumquatgauge::serving {

// Tells the load balancer what the head of an answer says about its replica.
auto ReportAnswer(const ReplicaId& replica,
                  const AnswerMetadata& metadata,
                  const Logger& logger,
                  LoadBalancer& load_balancer) -> void;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_ANSWER_REPORT_H_
