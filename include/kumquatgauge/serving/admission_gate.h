#ifndef KUMQUATGAUGE_SERVING_ADMISSION_GATE_H_
#define KUMQUATGAUGE_SERVING_ADMISSION_GATE_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "kumquatgauge/base/metrics.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/caller/http_listener.h"
#include "kumquatgauge/serving/admission_queue.h"
#include "kumquatgauge/serving/dialect.h"
#include "kumquatgauge/serving/load_balancer.h"

namespace kumquatgauge::serving {

// What became of a request that needed a slot.
enum class AdmissionOutcome {
  kNotNeeded,      // It found a slot, or was not refused for lack of one.
  kWaited,         // It got a slot after a wait.
  kRefusedAtOnce,  // It could not have started in time.
  kDisplaced,      // The same, after a more urgent request had arrived.
  kWaitEnded,      // It had to start, and no slot had become free.
  kCallerLeft,     // Its caller disconnected while it waited.
};

// Returns the name for the log.
auto AdmissionOutcomeName(AdmissionOutcome outcome) -> std::string_view;

// Dependencies of the gate; all must outlive it.
struct AdmissionGateParts {
  boost::asio::any_io_executor executor;
  LoadBalancer& load_balancer;
  MetricsRegistry& metrics;
  Clock clock;
  RandomSource random;
};

// Suspends requests as AdmissionQueue decides, and counts the outcomes.
class AdmissionGate {
 public:
  // A request at the gate, which may come several times.
  struct Visit {
    AdmissionRequest request;
    std::optional<AdmissionQueue::Ticket> ticket;  // While it waits.
    AdmissionOutcome outcome = AdmissionOutcome::kNotNeeded;

    // Whether it must not be sent though a slot may be free.
    auto refused() const -> bool {
      return outcome == AdmissionOutcome::kRefusedAtOnce ||
             outcome == AdmissionOutcome::kDisplaced;
    }
  };

  explicit AdmissionGate(AdmissionGateParts parts);
  AdmissionGate(const AdmissionGate&) = delete;
  auto operator=(const AdmissionGate&) -> AdmissionGate& = delete;

  auto Arrive(const CallerRequest& request,
              const Route& route,
              const ServiceName& service,
              MonotonicTime arrived,
              MonotonicTime deadline) -> Visit;
  // Whether other requests go first.
  auto MustWait(const Visit& visit) const -> bool;
  // Waits until the request may look for a slot again: one may have become
  // free, its caller has disconnected, or it is `until`. Returns false if the
  // request is refused instead.
  auto Wait(Visit& visit,
            MonotonicTime until,
            std::shared_ptr<caller::ResponseWriter> writer)
      -> boost::asio::awaitable<bool>;
  // Ends the search for a slot. `full` says that no slot was found since all
  // replicas were full.
  auto End(Visit& visit, bool starts, bool full, bool disconnected) -> void;
  // Wakes the first request of each service.
  auto OnCapacityFreed() -> void;

  // Returns when the caller of a refused request should return. `next_start` is
  // the time until a replica that names a limit takes another request.
  auto RetryAfter(const Visit& visit, std::optional<Duration> next_start)
      -> std::chrono::milliseconds;

 private:
  auto Wake(AdmissionQueue::Ticket ticket) -> void;
  auto SupplyOf(const ServiceName& service) const -> SlotSupply;
  auto Count(const Visit& visit, bool starts, bool full) -> void;

  AdmissionGateParts parts_;
  AdmissionQueue queue_;
  std::map<AdmissionQueue::Ticket, std::shared_ptr<boost::asio::steady_timer>>
      timers_;
  Counter& waited_;
  Counter& refused_at_once_;
  Counter& displaced_;
  Counter& wait_ended_;
  Counter& returned_served_;
  Counter& returned_refused_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_ADMISSION_GATE_H_
