#ifndef TESTING_SUPPORT_LOAD_MODEL_H_
#define TESTING_SUPPORT_LOAD_MODEL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/serving/load_balancer.h"

namespace kumquatgauge::testing {

// A replica of the modelled service. A request that finds no free slot queues.
// The time to each event is that of an idle replica, multiplied by its speed,
// the load of its host, and 1 + batch_slope * (share of the other slots in
// use).
struct ModelReplica {
  std::string id;
  std::string zone = "a";
  std::uint32_t slots = 8;
  double speed = 1.0;

  auto operator==(const ModelReplica&) const -> bool = default;
};

struct LoadModelSettings {
  std::vector<ModelReplica> replicas;
  std::vector<std::string> gateway_zones;  // One for each gateway.
  double rate_per_s = 100.0;               // Of all gateways together.
  // The rate jumps to a random multiple between these.
  double lowest_factor = 1.0;
  double highest_factor = 1.0;
  std::optional<serving::ZoneCosts> zone_costs;
  double crossing_ms = 0.0;  // One way, between zones.
  Duration length = std::chrono::seconds(30);
  // Requests that arrive before are not measured.
  Duration warm_up = std::chrono::seconds(3);
  double first_ms = 40.0;
  double gap_ms = 20.0;
  std::uint32_t least_events = 5;
  std::uint32_t most_events = 35;
  double batch_slope = 0.0;
  std::uint64_t bytes = 20'000;  // Of a prompt and its answer.
  // The load of each host jumps between 0.7 and 1.5 every 20 to 80 ms.
  bool host_load_varies = false;
  // Replicas report the load of their hosts.
  bool reports_host_load = false;
  // Whether the gateways learn how fast replicas are.
  bool learns_speeds = false;
  Duration counts_interval = std::chrono::milliseconds(15);
  // When and which replicas end; their requests are lost.
  Duration ends_at{0};
  std::vector<std::string> ending;
  std::uint64_t seed = 1;
};

struct LoadModelResult {
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::uint64_t left_zone = 0;
  std::uint64_t bytes_left_zone = 0;
  // For each request, in ms: from the arrival at the gateway to the begin of
  // the run, with the way between zones; to the first event; and each time
  // between two events.
  std::vector<double> waits;
  std::vector<double> firsts;
  std::vector<double> gaps;
  // Share of the requests that left the zone of the first gateway, in windows
  // of 200 ms with at least ten requests there.
  std::vector<double> window_shares;

  auto left_share() const -> double;
};

auto MeanOf(const std::vector<double>& values) -> double;
auto QuantileOf(std::vector<double> values, double quantile) -> double;

// Runs load balancers, one for each gateway, against modelled replicas.
auto RunLoadModel(const LoadModelSettings& settings) -> LoadModelResult;

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_LOAD_MODEL_H_
