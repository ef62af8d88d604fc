#ifndef KUMQUATGAUGE_SERVING_CONFIGURATION_H_
#define KUMQUATGAUGE_SERVING_CONFIGURATION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatgauge/base/ids.h"

namespace kumquatgauge::serving {

// Whether a request may be repeated when it got no response.
enum class RequestKind {
  kIdempotent,  // May run more than once.
  kAtMostOnce,  // Runs at most once.
  kStream,      // Event stream; at most once, or resumable at an event.
  kBatch,       // Batch jobs.
};

struct WeightedService {
  ServiceName service;
  std::uint32_t weight = 1;

  auto operator==(const WeightedService&) const -> bool = default;
};

// Matches requests to `host` whose path begins with `path_prefix`.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  RequestKind kind = RequestKind::kAtMostOnce;
  // Maximum time that a caller may wait.
  std::chrono::milliseconds time_limit{0};
  // Time within which a response, or the first event of a stream, is on time.
  std::chrono::milliseconds latency_target{0};
  // Maximum pause between two events of a stream that is on time.
  std::chrono::milliseconds longest_gap{0};
  std::uint32_t rank = 0;  // 0 is the most urgent.
  // One entry, or several that share the requests by weight.
  std::vector<WeightedService> services;
  // Maximum number of replicas that may run one request.
  std::uint32_t max_attempts = 1;
  bool resumable = false;
  // Batch only. Both are measured from the first submission of a job: the time
  // when all results are due, and the time after which unfinished items may be
  // given up.
  std::chrono::milliseconds due{0};
  std::chrono::milliseconds give_up_after{0};
  // Batch only: the tokens of unfinished items that may wait on the route, in
  // all jobs together; 0 is no limit.
  std::uint64_t token_limit = 0;
  // Requests need no API key, even if the configuration has organisations.
  bool is_public = false;

  auto operator==(const Route&) const -> bool = default;
};

// A customer whose requests are identified by API keys.
struct Organisation {
  OrganisationName name;
  std::vector<std::string> keys;
  std::uint32_t priority = 0;  // 0 is the most urgent.
  // Limit of its online requests over all nodes; 0 is no limit.
  double requests_per_second = 0;
  double burst = 0;

  auto operator==(const Organisation&) const -> bool = default;
};

// Returns the name under which the waiting tokens of a route are counted: for
// each organisation by itself, if the job has one.
auto AccountNameOf(const Route& route,
                   const std::optional<OrganisationName>& organisation = {})
    -> std::string;

struct Service {
  ServiceName name;
  std::string health_path;
  std::uint32_t max_connections = 0;  // Per replica, from all nodes together.
  bool runs_model = false;

  auto operator==(const Service&) const -> bool = default;
};

// Limits on the size and duration of a caller's requests.
struct CallerLimits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 4'194'304;
  std::chrono::milliseconds header_timeout{3'000};
  std::chrono::milliseconds idle_timeout{15'000};

  auto operator==(const CallerLimits&) const -> bool = default;
};

// One version of the operator's configuration.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
  // Absent if requests need no API keys.
  std::optional<std::vector<Organisation>> organisations;
  // Number of routes and services that were skipped as unreadable.
  std::uint32_t left_out = 0;

  // Returns the route of `host` with the longest matching prefix of `path`, or
  // null if none matches.
  auto FindRoute(std::string_view host, std::string_view path) const
      -> const Route*;
  auto FindService(const ServiceName& name) const -> const Service*;

  auto operator==(const Configuration&) const -> bool = default;
};

// Returns the tokens that may wait in an account, 0 for no limit; nothing if
// its route is not in the configuration.
auto TokenLimitOf(const Configuration& configuration,
                  const std::string& account) -> std::optional<std::uint64_t>;

// Picks one of a route's services by weight. `draw` may be any number; equal
// draws pick the same service.
auto PickService(const Route& route, std::uint64_t draw) -> ServiceName;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_CONFIGURATION_H_
