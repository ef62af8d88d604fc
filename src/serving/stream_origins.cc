#include "kumquatgauge/serving/stream_origins.h"

#include <xxhash.h>

#include <algorithm>
#include <map>

#include "kumquatgauge/routing/rendezvous.h"

namespace kumquatgauge::serving {

auto StreamKeyOf(const std::string& host, const RequestId& request)
    -> StreamKey {
  // A host contains no line feed.
  const auto text = host + "\n" + request.value();
  return XXH3_64bits(text.data(), text.size());
}

auto StreamOrigins::Add(StreamKey stream, const StreamOrigin& origin) -> void {
  if (!origins_.try_emplace(stream, origin).second) {
    return;
  }
  order_.emplace_back(clock_(), stream);
  if (order_.size() > kMaxOrigins) {
    RemoveOldest();
  }
}

auto StreamOrigins::Find(StreamKey stream) const
    -> std::optional<StreamOrigin> {
  const auto found = origins_.find(stream);
  return found == origins_.end() ? std::nullopt : std::optional(found->second);
}

auto StreamOrigins::RemoveExpired() -> void {
  const auto oldest = clock_() - kOriginRetention;
  while (!order_.empty() && order_.front().first < oldest) {
    RemoveOldest();
  }
}

auto StreamOrigins::RemoveOldest() -> void {
  origins_.erase(order_.front().second);
  order_.pop_front();
}

auto ChooseOriginHolders(StreamKey stream,
                         const std::vector<routing::NodeInfo>& live,
                         const NodeId& self) -> std::vector<routing::NodeInfo> {
  struct Candidate {
    std::size_t place = 0;  // In its zone.
    std::uint64_t score = 0;
    const routing::NodeInfo* node = nullptr;
  };
  auto candidates = std::vector<Candidate>();
  for (const auto& node : live) {
    if (node.id != self) {
      const auto hash = routing::RendezvousHash(node.id.value());
      candidates.push_back({0, routing::RendezvousScore(stream, hash), &node});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.score > b.score; });
  auto of_zone = std::map<ZoneName, std::size_t>();
  for (auto& candidate : candidates) {
    candidate.place = of_zone[candidate.node->zone]++;
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const auto& a, const auto& b) { return a.place < b.place; });
  candidates.resize(std::min(candidates.size(), kOriginHolders));
  auto holders = std::vector<routing::NodeInfo>();
  for (const auto& candidate : candidates) {
    holders.push_back(*candidate.node);
  }
  return holders;
}

}  // namespace kumquatgauge::serving
