#ifndef KUMQUATGAUGE_SERVING_BATCH_RUNNER_H_
#define KUMQUATGAUGE_SERVING_BATCH_RUNNER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/metrics.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/caller/http_listener.h"
#include "kumquatgauge/node/peer.h"
#include "kumquatgauge/routing/replica.h"
#include "kumquatgauge/serving/answer_report.h"
#include "kumquatgauge/serving/dialect.h"
#include "kumquatgauge/serving/job_archive.h"
#include "kumquatgauge/serving/load_balancer.h"
#include "kumquatgauge/serving/quota_keeper.h"
#include "kumquatgauge/serving/request_quarantine.h"
#include "kumquatgauge/upstream/replica_call.h"

namespace kumquatgauge::serving {

// Dependencies of the batch runner; all must outlive it.
struct BatchRunnerParts {
  boost::asio::any_io_executor executor;
  const Dialect& dialect;
  LoadBalancer& load_balancer;
  upstream::ReplicaCaller& replicas;
  RequestQuarantine& quarantine;
  JobArchive& archive;
  QuotaKeeper& quotas;
  node::PeerClient& peers;
  MetricsRegistry& metrics;
  Clock clock;
  WallClock wall_clock;
  RandomSource random;
  std::function<auto()->std::shared_ptr<const Configuration>> configuration;
  std::function<auto()->routing::NodeInfo> self;
  // Returns the live members, including this node.
  std::function<auto()->std::vector<routing::NodeInfo>> live;
  // Returns the number of nodes that share this node's part of the replicas,
  // including this node.
  std::function<auto()->std::size_t> cell_size;
  // Returns whether this node watches the store for the others.
  std::function<auto()->bool> is_watcher;
  // Returns whether a node is known to have died or stopped; false for an
  // unknown node.
  std::function<auto(const NodeId&)->bool> is_dead_or_left;
  // Returns whether this node hears no other one though there may be some.
  std::function<auto()->bool> isolated;
  // Returns the number of calls to the store that have failed or were refused.
  std::function<auto()->std::uint64_t> store_failures;
  const AnswerHooks& hooks;
  // Tells the other nodes that this one owns a job.
  std::function<auto(const JobId&)->void> announce;
  // Tells a node that it is to take over a job whose owner is gone.
  std::function<auto(const JobId&, const NodeId&)->void> tell_orphan;
  // How long jobs stay in the store after their acceptance.
  std::chrono::seconds retention;
  std::size_t memory_bytes;  // Memory limit of the whole process.
};

// How long a node that stops may take to hand its jobs over. Other nodes wait
// this long before they take its jobs over without being told.
inline constexpr std::chrono::milliseconds kHandoverTime{2'000};

// Accepts batch jobs, runs the items of the jobs that this node owns, and lets
// callers read and end any job.
class BatchRunner {
 public:
  explicit BatchRunner(BatchRunnerParts parts);
  ~BatchRunner();
  BatchRunner(const BatchRunner&) = delete;
  auto operator=(const BatchRunner&) -> BatchRunner& = delete;

  auto Start() -> void;
  // Stops all items and hands the jobs over to other nodes: stores what is
  // finished and which items have failed, then tells the nodes that take over.
  // Ends within kHandoverTime.
  auto Stop() -> void;
  // Passes each handler of calls from other nodes, with its name, to `add`.
  auto RegisterHandlers(
      const std::function<auto(std::string, node::Handler)->void>& add) -> void;

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

  // Makes one item of this node, at a replica of `version` if it is given,
  // yield its slot to an online request. Returns whether one did.
  auto YieldSlot(const ServiceName& service,
                 const std::optional<std::string>& version) -> bool;
  // Records that `owner` owns a job.
  auto OnAnnounced(const JobId& job, const NodeId& owner) -> void;
  // The node `from` has found a job without an owner, or hands its own over.
  auto OnOrphan(const JobId& job, const NodeId& from) -> void;
  // Schedules a scan that takes over the jobs of lost members.
  auto OnMembersChanged() -> void;
  // Drops all jobs after other nodes considered this node dead, since they may
  // have taken them over.
  auto OnRestarted() -> void;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_BATCH_RUNNER_H_
