#ifndef KUMQUATGAUGE_ROUTING_FAIR_QUEUE_H_
#define KUMQUATGAUGE_ROUTING_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/fair_share.h"

namespace kumquatgauge::routing {

// Weighted fair queue over organisations: each gets service in proportion to
// its weight while it has requests waiting; an idle organisation accumulates no
// credit. Every entry has a time until which it may wait.
class FairQueue {
 public:
  struct Entry {
    RequestId id;
    OrganisationName organisation;
    MonotonicTime until;  // End of the queue bound.

    auto operator==(const Entry&) const -> bool = default;
  };

  // `cost` is the work of the request in any unit, `weight` the organisation's
  // share; both above 0. The id must not be in the queue.
  auto Push(Entry entry, double cost, double weight) -> void;
  // Removes and returns the next entry.
  auto Pop() -> std::optional<Entry>;
  auto Front() const -> const Entry*;
  auto Remove(const RequestId& id) -> bool;
  auto Contains(const RequestId& id) const -> bool;
  // Returns the entries in the order in which they would be popped.
  auto InOrder() const -> std::vector<Entry>;
  // Returns the number of entries before `id`; size() when it is not queued.
  auto Position(const RequestId& id) const -> std::size_t;
  auto size() const -> std::size_t { return entries_.size(); }
  auto empty() const -> bool { return entries_.empty(); }

 private:
  // Virtual finish time and arrival number.
  using Key = std::pair<double, std::uint64_t>;
  auto Erase(std::map<Key, Entry>::iterator it) -> void;

  std::map<Key, Entry> entries_;
  std::unordered_map<RequestId, Key> keys_;
  FairShare share_;
  std::uint64_t next_arrival_ = 0;
};

}  // namespace kumquatgauge::routing

#endif  // KUMQUATGAUGE_ROUTING_FAIR_QUEUE_H_
