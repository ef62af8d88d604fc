#include "kumquatgauge/batch/shard_assignment.h"

#include <xxhash.h>

#include <cstdint>
#include <string>

namespace kumquatgauge::batch {
namespace {

auto Weight(const NodeId& node, std::size_t shard) -> std::uint64_t {
  const auto text = node.value() + "/" + std::to_string(shard);
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

ShardAssignment::ShardAssignment(const std::vector<NodeId>& live) {
  for (auto shard = std::size_t{0}; shard < kShardCount; ++shard) {
    auto first = std::uint64_t{0};
    auto second = std::uint64_t{0};
    auto& rank = ranks_.at(shard);
    for (const auto& node : live) {
      const auto weight = Weight(node, shard);
      if (rank.owner.empty() || weight > first) {
        rank.standby = rank.owner;
        second = first;
        rank.owner = node;
        first = weight;
      } else if (rank.standby.empty() || weight > second) {
        rank.standby = node;
        second = weight;
      }
    }
  }
}

}  // namespace kumquatgauge::batch
