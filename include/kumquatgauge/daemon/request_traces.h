#ifndef KUMQUATGAUGE_DAEMON_REQUEST_TRACES_H_
#define KUMQUATGAUGE_DAEMON_REQUEST_TRACES_H_

#include <cstddef>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/outcome.h"
#include "kumquatgauge/routing/completion.h"
#include "kumquatgauge/routing/router.h"

namespace kumquatgauge::daemon {

// One attempt at a request: where it was sent, why there, and how it ended.
struct TracedAttempt {
  ReplicaId replica;
  NodeId dispatcher;
  routing::RouteExplanation explanation;
  std::string result;
  std::string retry_reason;
  double milliseconds = 0.0;
};

// What this node did for one request, for `explain request`.
struct RequestTrace {
  RequestId id;
  OrganisationName organisation;
  ServiceName service;
  std::string kind;  // "completion", "service" or "batch item"
  std::vector<TracedAttempt> attempts;
  std::string outcome;
  std::string reason;
  std::uint64_t tokens = 0;
  double milliseconds = 0.0;
};

// The traces of the last kMaxTraces requests. Thread-safe.
class RequestTraces {
 public:
  static constexpr std::size_t kMaxTraces = 4'096;

  auto Add(RequestTrace trace) -> void;
  auto Find(const RequestId& id) const -> std::optional<RequestTrace>;
  // The newest first, at most `limit`.
  auto Recent(std::size_t limit) const -> std::vector<RequestTrace>;

 private:
  mutable std::mutex mutex_;
  std::deque<RequestTrace> traces_;  // Oldest first.
};

auto TraceToJson(const RequestTrace& trace) -> nlohmann::json;

}  // namespace kumquatgauge::daemon

#endif  // KUMQUATGAUGE_DAEMON_REQUEST_TRACES_H_
