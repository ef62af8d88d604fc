#include "kumquatgauge/serving/answer_report.h"

namespace kumquatgauge::serving {
namespace {

constexpr int kMultipleChoices = 300;

}  // namespace

auto IsAnswerTo(std::string_view id,
                const AnswerMetadata& metadata,
                const upstream::ReplicaHead& head) -> bool {
  if (!metadata.request_id.empty()) {
    return metadata.request_id == id;
  }
  return head.first_on_connection &&
         (id.empty() || head.status >= kMultipleChoices);
}

auto ReportAnswer(const routing::Replica& replica,
                  const AnswerMetadata& metadata,
                  bool names_weights,
                  const Logger& logger,
                  LoadBalancer& load_balancer,
                  const AnswerHooks& hooks) -> void {
  if (metadata.misdirected && names_weights) {
    return;  // It is not known which replica has answered.
  }
  if (metadata.has_load) {
    load_balancer.OnReport(replica.id, metadata.running, metadata.waiting,
                           metadata.host_load);
  }
  if (metadata.misdirected) {
    load_balancer.MarkGone(replica.id);
    return;  // The rest describes the replica that uses the address now.
  }
  if (metadata.malformed_leaving) {
    logger.Warning(
        "a replica names a state of leaving that is not known; ignoring it",
        {{"event", "leaving_malformed"}, {"replica", replica.id.value()}});
  } else if (metadata.leaving) {
    hooks.replica_leaves(replica);
  }
  if (metadata.malformed_start_limit) {
    logger.Warning(
        "a replica names a limit that is not a decimal number; "
        "keeping the last one",
        {{"event", "limit_malformed"}, {"replica", replica.id.value()}});
  } else {
    load_balancer.OnStartLimit(replica.id, metadata.start_limit);
  }
  if (load_balancer.start_limiter().has_news()) {
    hooks.counts_changed();
  }
  if (metadata.not_run) {
    load_balancer.OnRefused(replica.id);
  }
}

auto ReportBytes(const ReplicaId& replica,
                 LoadBalancer& load_balancer,
                 const AnswerHooks& hooks) -> void {
  auto& detector = load_balancer.silence_detector();
  detector.OnBytes(replica);
  if (detector.has_news()) {
    hooks.counts_changed();
  }
}

auto ReportSkippedAnswer(const routing::Replica& replica,
                         const AnswerMetadata& metadata,
                         const AnswerHooks& hooks) -> void {
  if (metadata.leaving && !metadata.misdirected) {
    hooks.replica_leaves(replica);
  }
}

auto MakeHeadFilter(const Dialect& dialect,
                    const AnswerHooks& hooks,
                    const routing::Replica& replica,
                    const std::string& id) -> upstream::HeadFilter {
  return [&dialect, &hooks, replica, id](const upstream::ReplicaHead& head) {
    const auto metadata = dialect.decode_answer(head.status, head.headers);
    const auto accepted = IsAnswerTo(id, metadata, head);
    if (!accepted) {
      ReportSkippedAnswer(replica, metadata, hooks);
    }
    return accepted;
  };
}

}  // namespace kumquatgauge::serving
