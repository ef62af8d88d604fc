#include "kumquatgauge/serving/wait_queue.h"

namespace kumquatgauge::serving {

auto WaitQueue::Enqueue(const ServiceName& service, Urgency urgency) -> Ticket {
  const auto ticket = ++last_ticket_;
  const auto key = Key(urgency, ticket);
  queues_[service].emplace(key, ticket);
  keys_.emplace(ticket, key);
  return ticket;
}

auto WaitQueue::Remove(const ServiceName& service, Ticket ticket) -> void {
  const auto key = keys_.find(ticket);
  if (key == keys_.end()) {
    return;
  }
  const auto queue = queues_.find(service);
  queue->second.erase(key->second);
  if (queue->second.empty()) {
    queues_.erase(queue);
  }
  keys_.erase(key);
}

auto WaitQueue::Front(const ServiceName& service) const
    -> std::optional<Ticket> {
  const auto queue = queues_.find(service);
  if (queue == queues_.end()) {
    return std::nullopt;
  }
  return queue->second.begin()->second;
}

auto WaitQueue::MustWait(const ServiceName& service, Urgency urgency) const
    -> bool {
  const auto queue = queues_.find(service);
  return queue != queues_.end() &&
         queue->second.begin()->first.first <= urgency;
}

auto WaitQueue::size(const ServiceName& service) const -> std::size_t {
  const auto queue = queues_.find(service);
  return queue == queues_.end() ? 0 : queue->second.size();
}

}  // namespace kumquatgauge::serving
