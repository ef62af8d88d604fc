#ifndef KUMQUATGAUGE_SERVING_ZONE_POLICY_H_
#define KUMQUATGAUGE_SERVING_ZONE_POLICY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"

namespace kumquatgauge::serving {

// Price of traffic between zones, as the latency that a request must save by
// leaving its zone.
struct ZoneCosts {
  double delay_ms_per_crossing = 0.0;
  double cost_ms_per_megabyte = 0.0;

  auto operator==(const ZoneCosts&) const -> bool = default;
};

struct ZonePolicySettings {
  // Leaving begins when the gain exceeds this multiple of the cost, and ends
  // when it is below the cost.
  double start_factor = 1.25;
  // Share of the zone's slots that must be in use before anything leaves.
  double least_utilisation = 0.75;
  // How far the counts of the gateways lag behind; twice the interval at which
  // they exchange them.
  Duration look_ahead = std::chrono::milliseconds(30);
  // Weight of the newest request in the moving average of bytes.
  double bytes_smoothing = 0.05;
  // How long nothing has left before the end is reported; keeps a service at
  // the threshold from writing a log line for every request.
  Duration report_end_after = std::chrono::seconds(1);
};

// Replicas of a service that a gateway uses, in its own or in all other zones.
struct ZoneLoad {
  double slots = 0.0;
  double in_flight = 0.0;
  double replicas = 0.0;  // That have these slots.
  Duration hold{0};       // Mean time that a request holds a slot.

  auto operator==(const ZoneLoad&) const -> bool = default;
};

struct ZoneTraffic {
  std::uint64_t requests = 0;  // To replicas of any zone.
  std::uint64_t requests_left = 0;
  std::uint64_t bytes = 0;  // Prompts and answers.
  std::uint64_t bytes_left = 0;

  auto operator==(const ZoneTraffic&) const -> bool = default;
};

// Requests of a service have begun to leave the zone, or no longer do.
struct ZoneChange {
  ServiceName service;
  bool leaving = false;
  // At the last decision.
  double share = 0.0;
  double gain_ms = 0.0;
  double cost_ms = 0.0;
  double utilisation = 0.0;
  double utilisation_elsewhere = 0.0;

  auto operator==(const ZoneChange&) const -> bool = default;
};

namespace detail {

// Returns the expected wait of the next request in milliseconds. The number in
// flight is that of `look_ahead` ago: requests have started and ended since.
auto ExpectedWaitMs(const ZoneLoad& load, Duration look_ahead) -> double;

}  // namespace detail

// Decides for each service which requests may use replicas of other zones.
//
// Each gateway draws for each request with a probability that rises steadily
// with the utilisation of its zone, so that gateways that see the same load
// don't all leave or return at once.
class ZonePolicy {
 public:
  ZonePolicy(ZonePolicySettings settings,
             ZoneCosts costs,
             Clock clock,
             RandomSource random);

  auto SetCosts(ZoneCosts costs) -> void { costs_ = costs; }

  // Whether the next request of the service may leave the zone.
  auto MayLeave(const ServiceName& service,
                const ZoneLoad& own,
                const ZoneLoad& others) -> bool;
  // Records that a request was sent to a replica.
  auto OnSent(const ServiceName& service, bool left) -> void;
  // Records the bytes of a request's prompt and answer.
  auto OnBytes(const ServiceName& service, std::uint64_t bytes, bool left)
      -> void;

  // Returns the share of the service's requests that may leave, by the last
  // decision.
  auto share(const ServiceName& service) const -> double;
  auto mean_bytes(const ServiceName& service) const -> double;
  // Returns the traffic since the last call, by service.
  auto TakeTraffic() -> std::map<ServiceName, ZoneTraffic>;
  // Returns the changes since the last call.
  auto TakeChanges() -> std::vector<ZoneChange>;

 private:
  struct State {
    bool pays = false;
    double mean_bytes = 0.0;
    bool has_bytes = false;
    ZoneTraffic traffic;
    ZoneChange last;  // With the leaving that was last reported.
    bool left = false;
    MonotonicTime left_at;
  };

  auto CostMs(const State& state) const -> double;
  // Returns the share of requests that may leave, and updates the state.
  auto Decide(State& state, const ZoneLoad& own, const ZoneLoad& others) const
      -> double;
  // Returns the number in flight in the zone at which the wait there exceeds
  // that elsewhere by the cost.
  auto BreakEven(const ZoneLoad& own, double wait_elsewhere, double cost) const
      -> double;

  ZonePolicySettings settings_;
  ZoneCosts costs_;
  Clock clock_;
  RandomSource random_;
  std::map<ServiceName, State> states_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_ZONE_POLICY_H_
