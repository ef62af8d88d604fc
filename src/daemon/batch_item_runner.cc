#include "kumquatgauge/daemon/batch_item_runner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace kumquatgauge::daemon {

BatchItemRunner::BatchItemRunner(TrafficPool& pool,
                                 CompletionRouter& router,
                                 RoutingTable& table)
    : pool_(pool), router_(router), table_(table) {}

auto BatchItemRunner::Run(routing::CompletionRequest request, ReplicaId avoid)
    -> boost::asio::awaitable<batch::AttemptResult> {
  const auto id = request.id;
  const auto running = Running{.cancel = std::make_shared<node::StreamCancel>(),
                               .context = &pool_.Next().context()};
  running_[id] = running;
  auto result = co_await boost::asio::co_spawn(
      *running.context,
      router_.RunBatchItem(std::move(request), std::move(avoid),
                           running.cancel),
      boost::asio::use_awaitable);
  running_.erase(id);
  co_return result;
}

auto BatchItemRunner::Cancel(const RequestId& id) -> void {
  const auto found = running_.find(id);
  if (found != running_.end()) {
    boost::asio::post(*found->second.context,
                      [cancel = found->second.cancel] { cancel->Cancel(); });
  }
}

auto BatchItemRunner::free_slots(const ServiceName& service) const
    -> std::size_t {
  return table_.free_batch_slots(service);
}

}  // namespace kumquatgauge::daemon
