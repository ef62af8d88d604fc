#ifndef KUMQUATGAUGE_SERVING_BATCH_RUNNER_H_
#define KUMQUATGAUGE_SERVING_BATCH_RUNNER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "kumquatgauge/base/metrics.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/caller/http_listener.h"
#include "kumquatgauge/node/peer.h"
#include "kumquatgauge/routing/replica.h"
#include "kumquatgauge/serving/dialect.h"
#include "kumquatgauge/serving/job_archive.h"
#include "kumquatgauge/serving/load_balancer.h"
#include "kumquatgauge/upstream/replica_call.h"

namespace kumquatgauge::node {
class PeerServer;
}

namespace kumquatgauge::serving {

// Everything that batch work depends on; all must outlive the runner.
struct BatchRunnerParts {
  boost::asio::any_io_executor executor;
  const Dialect& dialect;
  LoadBalancer& load_estimate;
  upstream::ReplicaCaller& replicas;
  JobArchive& archive;
  node::PeerClient& peers;
  MetricsRegistry& metrics;
  Clock clock;
  WallClock wall_clock;
  RandomSource random;
  std::function<auto()->std::shared_ptr<const Configuration>> configuration;
  std::function<auto()->routing::NodeInfo> self;
  // Members that are alive, this node included.
  std::function<auto()->std::vector<routing::NodeInfo>> live;
  // Nodes that share this node's part of the replicas, this node included.
  std::function<auto()->std::size_t> cell_size;
  // Whether a node is known to have died or stopped, rather than not known.
  std::function<auto(const NodeId&)->bool> is_dead_or_left;
  std::function<auto()->void> counts_changed;
  // Tells the other nodes that this one owns a job.
  std::function<auto(const JobId&)->void> announce;
  // How long jobs stay in the store after they were accepted.
  std::chrono::seconds retention;
  std::size_t memory_bytes;  // Of the whole process.
};

// Accepts batch jobs, runs the items of those that this node owns, and answers
// callers who read, end or ask for parts of any job.
class BatchRunner {
 public:
  explicit BatchRunner(BatchRunnerParts parts);
  ~BatchRunner();
  BatchRunner(const BatchRunner&) = delete;
  auto operator=(const BatchRunner&) -> BatchRunner& = delete;

  auto Start() -> void;
  // Stops all items; the jobs stay in the store for other nodes.
  auto Stop() -> void;
  auto RegisterHandlers(node::PeerServer& server) -> void;

  auto Submit(std::shared_ptr<const caller::IncomingRequest> incoming,
              CallerRequest request,
              std::shared_ptr<caller::ResponseWriter> writer)
      -> boost::asio::awaitable<void>;
  auto Read(ReadResults call, std::shared_ptr<caller::ResponseWriter> writer)
      -> boost::asio::awaitable<void>;
  auto ReadBody(ReadItemBody call,
                std::shared_ptr<caller::ResponseWriter> writer)
      -> boost::asio::awaitable<void>;
  auto End(EndJob call, std::shared_ptr<caller::ResponseWriter> writer)
      -> boost::asio::awaitable<void>;

  // Online requests found no free slot: one item of this node yields. Returns
  // whether one did.
  auto YieldSlot(const ServiceName& service) -> bool;
  // Another node owns a job.
  auto OnAnnounced(const JobId& job, const NodeId& owner) -> void;
  // Members came or went; jobs of lost ones are taken over.
  auto OnMembersChanged() -> void;
  // Others took this node for dead and may have taken over its jobs.
  auto OnRestarted() -> void;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_BATCH_RUNNER_H_
