#ifndef KUMQUATGAUGE_BATCH_SHARD_ASSIGNMENT_H_
#define KUMQUATGAUGE_BATCH_SHARD_ASSIGNMENT_H_

#include <array>
#include <cstddef>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/batch/job.h"

namespace kumquatgauge::batch {

// Assigns shards to the live nodes by rendezvous hashing: when a node leaves,
// only its own shards move, each to its standby. Immutable.
class ShardAssignment {
 public:
  ShardAssignment() = default;
  explicit ShardAssignment(const std::vector<NodeId>& live);

  // Both return an empty id if there are too few nodes.
  auto owner(std::size_t shard) const -> const NodeId& {
    return ranks_.at(shard).owner;
  }
  // The next owner if the owner dies. It observes the shard's lease in advance,
  // so that a takeover need not wait for a whole term after the death is known.
  auto standby(std::size_t shard) const -> const NodeId& {
    return ranks_.at(shard).standby;
  }

 private:
  struct Rank {
    NodeId owner;
    NodeId standby;
  };

  std::array<Rank, kShardCount> ranks_;
};

}  // namespace kumquatgauge::batch

#endif  // KUMQUATGAUGE_BATCH_SHARD_ASSIGNMENT_H_
