#ifndef KUMQUATGAUGE_SERVING_WAIT_QUEUE_H_
#define KUMQUATGAUGE_SERVING_WAIT_QUEUE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"

namespace kumquatgauge::serving {

// Order in which waiting requests are retried: by the priority of the
// organisation and the rank of the route, most urgent first, then by the latest
// time at which they must start.
struct Urgency {
  std::uint32_t priority = 0;
  std::uint32_t rank = 0;
  MonotonicTime start_by;

  auto operator<=>(const Urgency&) const = default;
};

// Queues of one node's requests that wait briefly for capacity, by service.
// Designed for load steps: the first requests of a step wait for slots that are
// about to become free, while requests that cannot start in time are refused
// immediately.
class WaitQueue {
 public:
  using Ticket = std::uint64_t;

  auto Enqueue(const ServiceName& service, Urgency urgency) -> Ticket;
  auto Remove(const ServiceName& service, Ticket ticket) -> void;
  // Returns the request to try next, or nothing if none waits.
  auto Front(const ServiceName& service) const -> std::optional<Ticket>;
  // Returns whether a request of this urgency must wait behind another one.
  auto MustWait(const ServiceName& service, Urgency urgency) const -> bool;
  auto size(const ServiceName& service) const -> std::size_t;

 private:
  using Key = std::pair<Urgency, Ticket>;

  std::map<ServiceName, std::map<Key, Ticket>> queues_;
  std::map<Ticket, Key> keys_;
  Ticket last_ticket_ = 0;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_WAIT_QUEUE_H_
