#ifndef KUMQUATGAUGE_SERVING_WAIT_QUEUE_H_
#define KUMQUATGAUGE_SERVING_WAIT_QUEUE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"

namespace kumquatgauge::serving {

// The order in which requests that found no room are tried again: the most
// urgent rank first, then the one that must start soonest.
struct Urgency {
  std::uint32_t rank = 0;
  MonotonicTime start_by;

  auto operator<=>(const Urgency&) const = default;
};

// Requests of one node that wait briefly for room, by service. Answers steps of
// load: arrivals of a step's first moments wait for slots that are about to
// become free, while those that cannot start in time are refused at once.
class WaitQueue {
 public:
  using Ticket = std::uint64_t;

  auto Enqueue(const ServiceName& service, Urgency urgency) -> Ticket;
  auto Remove(const ServiceName& service, Ticket ticket) -> void;
  // The one to try next; nothing when nobody waits.
  auto Front(const ServiceName& service) const -> std::optional<Ticket>;
  // Whether a request of this urgency has to wait behind another one.
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
