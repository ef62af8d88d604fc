#ifndef KUMQUATGAUGE_SERVING_ADMISSION_QUEUE_H_
#define KUMQUATGAUGE_SERVING_ADMISSION_QUEUE_H_

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/fair_share.h"
#include "kumquatgauge/serving/retry_after_estimator.h"
#include "kumquatgauge/serving/usual_time_limit.h"
#include "kumquatgauge/serving/work_shares.h"

namespace kumquatgauge::serving {

struct AdmissionQueueSettings {
  RetryAfterEstimatorSettings retry_after;
  // Smallest number of slots expected while a request may wait, for which it
  // waits. Below it, at most one such request in ten would be served, and the
  // others would have lost the time.
  double min_expected_slots = 0.1;
  // An organisation within this share above its usual load is not placed behind
  // others; loads of a few requests vary by this much.
  double usual_slack = 0.25;
  // Typical requests by which an organisation is at most ahead of its share, so
  // that one that sent a burst is served as before soon after it.
  double max_lead = 4.0;
  // Callers for which places are kept, as a multiple of the slots that are
  // expected until the last of them returns. More than 1, as some do not come
  // back; limited, so that a flood of requests does not take up the processor.
  double max_promises = 2.0;
  // How long capacity is kept for a caller after the time when it should have
  // returned; covers its timer and the network.
  Duration return_grace = std::chrono::milliseconds(250);
};

// A request that needs a slot.
struct AdmissionRequest {
  ServiceName service;
  std::string route;
  std::optional<OrganisationName> organisation;
  std::uint32_t priority = 0;  // Of the organisation; 0 is the most urgent.
  std::uint32_t rank = 0;      // Of the route; the same.
  double work = 1.0;           // See WorkOf.
  MonotonicTime start_by;      // It is refused if it has not started then.
  MonotonicTime deadline;
  // How long its caller waits, as it says; zero if it does not say.
  Duration time_limit{0};
  // Set for a caller that was refused before; see AdmissionQueue::OnArrival.
  bool returning = false;
  // Set for a request that is not refused by an estimate: it may have run, or
  // replicas name the time when they take it.
  bool must_wait = false;

  auto operator==(const AdmissionRequest&) const -> bool = default;
};

// Work of a request. Writing a token takes about ten times as long as reading
// one.
inline auto WorkOf(std::uint32_t prompt_tokens, std::uint32_t output_tokens)
    -> double {
  constexpr double kOutputTokenWork = 10.0;
  return std::max(1.0, prompt_tokens + kOutputTokenWork * output_tokens);
}

// Slots of a service that its requests share with those of other gateways.
struct SlotSupply {
  std::uint32_t slots = 0;
  Duration hold{0};          // How long a request holds its slot on average.
  std::size_t gateways = 1;  // That use these slots, this one included.

  auto operator==(const SlotSupply&) const -> bool = default;
};

// Requests of one gateway that wait briefly for a slot, by service. Decides on
// arrival whether a request can start in time, and when refused callers should
// return.
//
// Designed for load steps at many gateways, each of which gets few of the slots
// that become free. A request that probably cannot start in time is refused at
// once, since its caller has only one more attempt and needs time for it; that
// second attempt goes before the first ones of others.
//
// Keeps no state of a service before a request finds it full.
class AdmissionQueue {
 public:
  using Ticket = std::uint64_t;
  struct Placement {
    std::optional<Ticket> ticket;  // Absent if the request is refused.
    // Requests that can no longer start in time. They have left the queue.
    std::vector<Ticket> displaced;
  };

  AdmissionQueue(AdmissionQueueSettings settings,
                 Clock clock,
                 RandomSource random,
                 std::function<auto(const ServiceName&)->SlotSupply> supply);

  // Records a new request. Returns whether its caller was refused before: it
  // waits for less long than callers of the route usually do.
  auto OnArrival(const AdmissionRequest& request) -> bool;
  // Returns whether a request that arrives must wait behind others.
  auto MustWait(const AdmissionRequest& request) const -> bool;
  // Decides about a request that finds every replica full, or others waiting.
  auto Enqueue(const AdmissionRequest& request) -> Placement;
  auto IsWaiting(Ticket ticket) const -> bool;
  // Records that a request left the queue, and whether it starts now.
  auto Leave(Ticket ticket, bool starts) -> void;
  // Records that a request starts that did not wait.
  auto OnStarted(const AdmissionRequest& request) -> void;
  // Returns the first request of every service.
  auto Fronts() const -> std::vector<Ticket>;
  auto size(const ServiceName& service) const -> std::size_t;

  // Records that a request was refused since every replica was full.
  auto OnFull(const ServiceName& service) -> void;
  // Returns when the refused caller should return. Keeps a slot for it, unless
  // it has no further attempt.
  auto RetryAfter(const AdmissionRequest& request) -> Duration;
  // The same for a caller that replicas at their limits do not take before
  // `next_start`; no slot is kept.
  auto RetryAfterStart(const AdmissionRequest& request, Duration next_start)
      -> Duration;
  // Returns the number of callers that slots are kept for.
  auto promised(const ServiceName& service) const -> std::size_t;

 private:
  // Most urgent first. Organisations within the work of one typical request of
  // each other count as equal, since a gateway sees few requests of each.
  struct Order {
    std::uint32_t priority = 0;
    std::uint32_t rank = 0;
    std::uint32_t lead = 0;  // Of the organisation, in typical requests.
    bool is_new = true;      // Its caller was not refused before.
    MonotonicTime start_by;
    Ticket ticket = 0;

    auto operator<=>(const Order&) const = default;
  };
  struct Entry {
    AdmissionRequest request;
    double charged = 0.0;
  };
  // A caller that was told to return.
  struct Promise {
    MonotonicTime deadline;
    std::uint32_t priority = 0;
    std::uint32_t rank = 0;
    // A caller with an earlier deadline was told to return to the same slot.
    bool taken_over = false;
  };
  struct State {
    std::map<Order, Entry> queue;
    std::multimap<MonotonicTime, Promise> promises;  // By the time of return.
    routing::FairShare share;  // During the present shortage.
    WorkShares shares;
    MonotonicTime full_at;  // When a request last found no slot.
  };

  auto OrderOf(const State& state,
               const AdmissionRequest& request,
               Ticket ticket) const -> Order;
  // Adds the work to its organisation's share and returns it in the units of
  // the shares.
  auto Charge(State& state, const AdmissionRequest& request) const -> double;
  // Records that work was started.
  auto Advance(State& state, double work) const -> void;
  auto IsShort(const State& state) const -> bool;
  auto OnShortage(State& state) const -> void;
  // Returns the mean time between the slots that become free for this gateway,
  // if there are any.
  static auto SlotInterval(const SlotSupply& supply) -> std::optional<Duration>;
  // Returns how many slots are expected until then.
  auto ExpectedSlots(std::optional<Duration> interval,
                     MonotonicTime until) const -> double;
  auto ExpirePromises(State& state) const -> void;
  // Returns when a slot is expected for a caller to return to; nothing if all
  // until `latest` are kept for others.
  static auto FindReturn(State& state,
                         MonotonicTime earliest,
                         MonotonicTime latest,
                         Duration interval,
                         MonotonicTime deadline)
      -> std::optional<MonotonicTime>;

  AdmissionQueueSettings settings_;
  Clock clock_;
  RandomSource random_;
  std::function<auto(const ServiceName&)->SlotSupply> supply_;
  RetryAfterEstimator estimator_;
  UsualTimeLimit usual_time_limit_;
  std::map<ServiceName, State> states_;
  std::map<Ticket, std::pair<ServiceName, Order>> tickets_;
  Ticket last_ticket_ = 0;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_ADMISSION_QUEUE_H_
