#include "kumquatgauge/serving/waiting_line.h"

namespace kumquatgauge::serving {

auto WaitingLine::Join(const ServiceName& service, Urgency urgency) -> Ticket {
  const auto ticket = ++last_;
  const auto key = Key(urgency, ticket);
  lines_[service].emplace(key, ticket);
  keys_.emplace(ticket, key);
  return ticket;
}

auto WaitingLine::Leave(const ServiceName& service, Ticket ticket) -> void {
  const auto key = keys_.find(ticket);
  if (key == keys_.end()) {
    return;
  }
  const auto line = lines_.find(service);
  line->second.erase(key->second);
  if (line->second.empty()) {
    lines_.erase(line);
  }
  keys_.erase(key);
}

auto WaitingLine::First(const ServiceName& service) const
    -> std::optional<Ticket> {
  const auto line = lines_.find(service);
  if (line == lines_.end()) {
    return std::nullopt;
  }
  return line->second.begin()->second;
}

auto WaitingLine::MustWait(const ServiceName& service, Urgency urgency) const
    -> bool {
  const auto line = lines_.find(service);
  return line != lines_.end() && line->second.begin()->first.first <= urgency;
}

auto WaitingLine::size(const ServiceName& service) const -> std::size_t {
  const auto line = lines_.find(service);
  return line == lines_.end() ? 0 : line->second.size();
}

}  // namespace kumquatgauge::serving
