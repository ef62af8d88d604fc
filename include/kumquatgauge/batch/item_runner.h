#ifndef KUMQUATGAUGE_BATCH_ITEM_RUNNER_H_
#define KUMQUATGAUGE_BATCH_ITEM_RUNNER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "kumquatgauge/routing/completion.h"

namespace kumquatgauge::batch {

// How one attempt at a batch item ended.
struct AttemptResult {
  routing::DispatchResult dispatch;
  std::string text;   // All tokens so far, those resumed from included.
  ReplicaId replica;  // Empty when none was chosen.
  bool item_rejected = false;  // The engine rejected the item itself (4xx).

  auto operator==(const AttemptResult&) const -> bool = default;
};

// Runs one attempt at a batch item through routing and dispatch. Runs on the
// control thread.
class ItemRunner {
 public:
  virtual ~ItemRunner() = default;

  // `avoid` names a replica not to use, or is empty. Does not throw: kBusy
  // stands for "no replica has room for batch now".
  virtual auto Run(routing::CompletionRequest request, ReplicaId avoid)
      -> boost::asio::awaitable<AttemptResult> = 0;

  // Cancels a running attempt at the engine; it then ends as kCancelled.
  virtual auto Cancel(const RequestId& id) -> void = 0;

  // Batch items of the service that would be admitted now, over all replicas
  // as this node knows them.
  virtual auto free_slots(const ServiceName& service) const -> std::size_t = 0;
};

}  // namespace kumquatgauge::batch

#endif  // KUMQUATGAUGE_BATCH_ITEM_RUNNER_H_
