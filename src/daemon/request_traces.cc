#include "kumquatgauge/daemon/request_traces.h"

#include <algorithm>
#include <utility>

namespace kumquatgauge::daemon {
namespace {

auto CandidateToJson(const routing::RouteCandidate& candidate)
    -> nlohmann::json {
  return {
      {"replica", candidate.replica.value()},
      {"zone", candidate.zone.value()},
      {"known_in_flight", candidate.known_in_flight},
      {"sent_since", candidate.sent_since},
      {"limit", candidate.limit},
      {"batch_room", candidate.free_batch_slots},
      {"weight", candidate.weight},
      {"utilisation", candidate.utilisation},
      {"report_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                            candidate.report_age)
                            .count()}};
}

auto ExplanationToJson(const routing::RouteExplanation& explanation)
    -> nlohmann::json {
  auto weighed = nlohmann::json::array();
  for (const auto& candidate : explanation.compared) {
    weighed.push_back(CandidateToJson(candidate));
  }
  return {{"reason", routing::RouteReasonName(explanation.reason)},
          {"weighed", std::move(weighed)},
          {"candidates", explanation.candidates},
          {"excluded_leaving", explanation.excluded_leaving},
          {"excluded_ejected", explanation.excluded_ejected},
          {"excluded_tried", explanation.excluded_tried},
          {"mean_utilisation", explanation.mean_utilisation}};
}

auto AttemptToJson(const TracedAttempt& attempt) -> nlohmann::json {
  return {{"replica", attempt.replica.value()},
          {"dispatcher", attempt.dispatcher.value()},
          {"why", ExplanationToJson(attempt.explanation)},
          {"result", attempt.result},
          {"retry", attempt.retry_reason},
          {"ms", attempt.milliseconds}};
}

}  // namespace

auto RequestTraces::Add(RequestTrace trace) -> void {
  const auto lock = std::lock_guard(mutex_);
  traces_.push_back(std::move(trace));
  if (traces_.size() > kMaxTraces) {
    traces_.pop_front();
  }
}

auto RequestTraces::Find(const RequestId& id) const
    -> std::optional<RequestTrace> {
  const auto lock = std::lock_guard(mutex_);
  const auto found =
      std::find_if(traces_.rbegin(), traces_.rend(),
                   [&id](const auto& trace) { return trace.id == id; });
  if (found == traces_.rend()) {
    return std::nullopt;
  }
  return *found;
}

auto RequestTraces::Recent(std::size_t limit) const
    -> std::vector<RequestTrace> {
  const auto lock = std::lock_guard(mutex_);
  const auto count = std::min(limit, traces_.size());
  return {traces_.rbegin(),
          traces_.rbegin() + static_cast<std::ptrdiff_t>(count)};
}

auto TraceToJson(const RequestTrace& trace) -> nlohmann::json {
  auto attempts = nlohmann::json::array();
  for (const auto& attempt : trace.attempts) {
    attempts.push_back(AttemptToJson(attempt));
  }
  return {{"id", trace.id.value()},
          {"organisation", trace.organisation.value()},
          {"service", trace.service.value()},
          {"kind", trace.kind},
          {"attempts", std::move(attempts)},
          {"outcome", trace.outcome},
          {"reason", trace.reason},
          {"tokens", trace.tokens},
          {"ms", trace.milliseconds}};
}

}  // namespace kumquatgauge::daemon
