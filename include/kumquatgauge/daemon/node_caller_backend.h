#ifndef KUMQUATGAUGE_DAEMON_NODE_CALLER_BACKEND_H_
#define KUMQUATGAUGE_DAEMON_NODE_CALLER_BACKEND_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "kumquatgauge/base/metrics.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/batch/batch_service.h"
#include "kumquatgauge/caller/caller_backend.h"
#include "kumquatgauge/daemon/completion_router.h"
#include "kumquatgauge/daemon/once_service.h"
#include "kumquatgauge/daemon/routing_table.h"
#include "kumquatgauge/daemon/service_directory.h"

namespace kumquatgauge::daemon {

// A job's status as callers and operators see it.
auto JobToJson(const batch::JobView& view) -> nlohmann::json;

// Serves the callers' listener on the traffic threads. Batch calls run on the
// control thread, as the batch service does.
class NodeCallerBackend : public caller::CallerBackend {
 public:
  // The batch service is replaced when the node restarts its incarnation.
  using BatchServiceHook =
      std::function<auto()->std::shared_ptr<batch::BatchService>>;

  struct Dependencies {
    NodeId self;
    std::chrono::seconds answer_ttl{10};
    RoutingTable& table;
    ServiceDirectory& directory;
    CompletionRouter& router;
    OnceService& once;
    BatchServiceHook batch;
    boost::asio::io_context& control;
    MetricsRegistry& metrics;
    RandomSource random;
  };

  explicit NodeCallerBackend(Dependencies dependencies);

  auto set_ready(bool ready) -> void { ready_ = ready; }

  auto addresses() -> caller::AddressList override;
  auto ready() -> bool override { return ready_; }
  auto metrics() -> std::string override;
  auto Models() -> std::vector<caller::ModelInfo> override;
  auto Complete(routing::CompletionRequest request,
                routing::TokenSink sink,
                std::shared_ptr<node::StreamCancel> cancel)
      -> boost::asio::awaitable<caller::CompletionEnd> override;
  auto CallService(ServiceName service,
                   upstream::ServiceRequest request,
                   caller::ServiceCallOptions options)
      -> boost::asio::awaitable<caller::ServiceCallEnd> override;
  auto StartBatch(caller::BatchOptions options)
      -> boost::asio::awaitable<std::unique_ptr<caller::BatchUpload>> override;
  auto BatchStatus(JobId id) -> boost::asio::awaitable<nlohmann::json> override;
  auto CancelBatch(JobId id) -> boost::asio::awaitable<nlohmann::json> override;
  auto ReadResults(JobId id,
                   std::optional<std::string> custom_id,
                   caller::ByteSink sink)
      -> boost::asio::awaitable<void> override;

 private:
  auto CheckReady() const -> void;
  // Runs on the control thread.
  auto StatusOnControl(JobId id) -> boost::asio::awaitable<nlohmann::json>;
  auto CancelOnControl(JobId id) -> boost::asio::awaitable<nlohmann::json>;

  Dependencies dependencies_;
  std::atomic<bool> ready_{false};
  std::mutex random_mutex_;
};

}  // namespace kumquatgauge::daemon

#endif  // KUMQUATGAUGE_DAEMON_NODE_CALLER_BACKEND_H_
