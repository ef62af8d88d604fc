#ifndef KUMQUATGAUGE_SERVING_BATCH_ALLOCATOR_H_
#define KUMQUATGAUGE_SERVING_BATCH_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/serving/batch_schedule.h"
#include "kumquatgauge/serving/configuration.h"
#include "kumquatgauge/serving/load_balancer.h"
#include "kumquatgauge/serving/load_forecast.h"

namespace kumquatgauge::serving {

struct BatchAllocatorSettings {
  // Shares of the free slots that one owner takes at once. All owners together
  // take at most this, since the counts of one round may be missing in the
  // next: half and half make a whole.
  double all_owners_share = 0.5;
  // Growth of the share from round to round while no other owner starts items.
  // In a cell of 16 gateways the share of one reaches the maximum in the fourth
  // round, within 100 ms.
  double share_growth = 3;
  // Standard deviations of the online load that stay free for it in a trough;
  // with fewer, online requests would find no free slot several times a second.
  double trough_deviations = 2;
  // Standard deviations of the online load by which free slots must exceed the
  // expected load to count as lasting, and to be taken by a growing share:
  // slots that fluctuations free are soon needed again.
  double lasting_deviations = 2;
  double growth_deviations = 2;
  // Factor on the least share for slots within these fluctuations, and for
  // urgent items, which take slots from online requests. Rounds are short, and
  // faster starts would follow every fluctuation and delay online requests.
  double slow_start_share = 0.5;
  // Time before a rise in which the whole reserve is free again: items need
  // about 100 ms to stop, and their counts to reach the other nodes.
  Duration reserve_lead = std::chrono::milliseconds(300);
};

// The use of a service's replicas in this node's cell.
struct BatchLoad {
  LoadBalancer::Room room;
  double reserve = 0;        // Share of the slots for new online requests.
  InFlight in_flight;        // Of this node and its peers.
  std::uint32_t urgent = 0;  // Slots that further urgent items may take.
  std::uint32_t own = 0;     // Items of this node that may yield.
  std::uint32_t all = 0;     // The same of the whole cell.
  std::size_t owners = 1;    // Nodes of the cell, including this one.
};

auto BatchLoadOf(const LoadBalancer& balancer,
                 const ServiceName& service,
                 std::size_t owners) -> BatchLoad;

// Returns how long online requests of a service can wait for a slot and still
// be on time; zero if they have no targets.
auto OnlineWait(const Configuration& configuration, const ServiceName& service)
    -> Duration;

// The items of this node.
struct BatchDemand {
  std::size_t waiting = 0;  // Could start now.
  std::size_t running = 0;
  Duration run_time{0};  // Expected time of a whole run.
};

// Divides the slots that online requests leave free among the owners of batch
// jobs without messages between them, and keeps the slots free that online
// requests are expected to need.
class BatchAllocator {
 public:
  BatchAllocator(BatchAllocatorSettings settings, RandomSource random)
      : settings_(settings),
        random_(std::move(random)),
        forecast_(LoadForecastSettings()) {}

  // Records the slots that online requests use; to be called at least every
  // 100 ms.
  auto OnLoad(const ServiceName& service,
              std::uint32_t online_slots,
              MonotonicTime now) -> void;
  // Returns what this node may start in this round.
  auto Starts(const ServiceName& service,
              const BatchLoad& load,
              const BatchDemand& demand,
              MonotonicTime now) -> StartLimits;
  // Returns how many items of this node must yield to online requests.
  auto Yields(const ServiceName& service,
              const BatchLoad& load,
              MonotonicTime now) -> std::size_t;

  // Adds services with batch jobs. Their load is also learned while this node
  // has no job of theirs.
  auto Watch(const std::vector<ServiceName>& services) -> void;
  auto services() const -> std::vector<ServiceName>;
  auto forecast() const -> const LoadForecast& { return forecast_; }

 private:
  // This node's claim to the free slots of a service.
  struct Claim {
    double share = 0;
    std::size_t others = 0;  // Items of other owners at the last round.
    std::size_t taken = 0;   // By this node in it.
    bool active = false;     // Items waited, and slots were free.
  };

  auto UpdateShare(Claim& claim,
                   const BatchLoad& load,
                   std::size_t running) const -> void;
  // Returns the share of the free slots that each owner may take at any time.
  auto LeastShare(const BatchLoad& load) const -> double;
  // Returns the free slots that online requests are not expected to need again
  // during a run.
  auto LastingSlots(const LoadForecast::Outlook& outlook,
                    const BatchLoad& load,
                    Duration run_time) const -> double;
  // Returns the share of slots to keep free if the load stays for `quiet_time`.
  auto ReserveIf(const LoadForecast::Outlook& outlook,
                 const BatchLoad& load,
                 Duration quiet_time) const -> double;
  // Rounds at random, so that the expected value is `part`.
  auto Round(double part) -> std::size_t;

  BatchAllocatorSettings settings_;
  RandomSource random_;
  LoadForecast forecast_;
  std::map<ServiceName, Claim> claims_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_BATCH_ALLOCATOR_H_
