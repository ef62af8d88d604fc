#include "kumquatgauge/serving/answer_report.h"

namespace kumquatgauge::serving {

auto ReportAnswer(const ReplicaId& replica,
                  const AnswerMetadata& metadata,
                  const Logger& logger,
                  LoadBalancer& load_balancer,
                  const std::function<auto()->void>& counts_changed) -> void {
  if (metadata.has_load) {
    load_balancer.OnReport(replica, metadata.running, metadata.waiting);
  }
  if (metadata.wrong_replica) {
    load_balancer.MarkGone(replica);
    return;  // The rest describes the replica that uses the address now.
  }
  if (metadata.malformed_leaving) {
    logger.Warning(
        "a replica names a state of leaving that is not known; ignoring it",
        {{"event", "leaving_malformed"}, {"replica", replica.value()}});
  }
  if (metadata.malformed_start_limit) {
    logger.Warning(
        "a replica names a limit that is not a decimal number; "
        "keeping the last one",
        {{"event", "limit_malformed"}, {"replica", replica.value()}});
  } else {
    load_balancer.OnStartLimit(replica, metadata.start_limit);
  }
  if (load_balancer.start_limiter().has_news()) {
    counts_changed();
  }
  if (metadata.not_run) {
    load_balancer.OnRefused(replica);
  }
}

}  // namespace kumquatgauge::serving
