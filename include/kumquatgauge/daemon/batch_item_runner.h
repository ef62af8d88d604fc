#ifndef KUMQUATGAUGE_DAEMON_BATCH_ITEM_RUNNER_H_
#define KUMQUATGAUGE_DAEMON_BATCH_ITEM_RUNNER_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <unordered_map>

#include "kumquatgauge/batch/item_runner.h"
#include "kumquatgauge/daemon/completion_router.h"
#include "kumquatgauge/daemon/routing_table.h"
#include "kumquatgauge/daemon/traffic_pool.h"

namespace kumquatgauge::daemon {

// Runs batch items on the traffic threads for the batch service, which runs on
// the control thread.
class BatchItemRunner : public batch::ItemRunner {
 public:
  BatchItemRunner(TrafficPool& pool,
                  CompletionRouter& router,
                  RoutingTable& table);

  auto Run(routing::CompletionRequest request, ReplicaId avoid)
      -> boost::asio::awaitable<batch::AttemptResult> override;
  auto Cancel(const RequestId& id) -> void override;
  auto free_slots(const ServiceName& service) const -> std::size_t override;

 private:
  struct Running {
    std::shared_ptr<node::StreamCancel> cancel;
    boost::asio::io_context* context = nullptr;
  };

  TrafficPool& pool_;
  CompletionRouter& router_;
  RoutingTable& table_;
  std::unordered_map<RequestId, Running> running_;
};

}  // namespace kumquatgauge::daemon

#endif  // KUMQUATGAUGE_DAEMON_BATCH_ITEM_RUNNER_H_
