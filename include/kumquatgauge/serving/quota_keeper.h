#ifndef KUMQUATGAUGE_SERVING_QUOTA_KEEPER_H_
#define KUMQUATGAUGE_SERVING_QUOTA_KEEPER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/metrics.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/node/peer.h"
#include "kumquatgauge/routing/replica.h"
#include "kumquatgauge/serving/configuration.h"
#include "kumquatgauge/serving/job_archive.h"
#include "kumquatgauge/store/object_store.h"

namespace kumquatgauge::node {
class PeerServer;
}

namespace kumquatgauge::serving {

// Dependencies of the quota keeper; all must outlive it.
struct QuotaKeeperParts {
  boost::asio::any_io_executor executor;
  store::ObjectStore& store;
  JobArchive& archive;
  node::PeerClient& peers;
  MetricsRegistry& metrics;
  // Goes on while the host is suspended.
  Clock clock;
  RandomSource random;
  std::function<auto()->routing::NodeInfo> self;
  // Returns the live members, including this node.
  std::function<auto()->std::vector<routing::NodeInfo>> live;
};

// Whether a job may be accepted.
struct QuotaDecision {
  bool granted = false;
  std::chrono::milliseconds retry_after{0};
  std::string reason;
};

// Keeps the accounts of the routes whose batch jobs have a quota of tokens:
// carries out what TokenQuota decides, with the store and the other nodes.
class QuotaKeeper {
 public:
  explicit QuotaKeeper(QuotaKeeperParts parts);
  ~QuotaKeeper();
  QuotaKeeper(const QuotaKeeper&) = delete;
  auto operator=(const QuotaKeeper&) -> QuotaKeeper& = delete;

  auto RegisterHandlers(node::PeerServer& server) -> void;
  // Must be called before a job is reserved under another configuration.
  auto SetConfiguration(const Configuration& configuration) -> void;

  // Reserves the tokens of a job's items before it is stored. Throws an Error
  // if the store must be asked and does not answer; nothing is reserved then.
  auto Reserve(std::string route, JobId job, std::uint64_t tokens)
      -> boost::asio::awaitable<QuotaDecision>;
  // Records that items of a job are finished, and that a job is over or was not
  // accepted here after all.
  auto OnFinished(const std::string& route,
                  const JobId& job,
                  std::uint64_t tokens) -> void;
  auto OnOver(const std::string& route, const JobId& job) -> void;
  // Drops the reservations of jobs that are over by a listing of all jobs, and
  // of those that were never stored. `runs_here` returns whether this node runs
  // a job itself and records its end.
  auto OnListing(const std::vector<StoredState>& states,
                 const std::function<auto(const JobId&)->bool>& runs_here)
      -> void;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_QUOTA_KEEPER_H_
