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
  std::string text;            // All tokens so far, including the resumed ones.
  ReplicaId replica;           // Empty when none was chosen.
  bool item_rejected = false;  // The engine rejected the item itself (4xx).

  auto operator==(const AttemptResult&) const -> bool = default;
};

// Runs attempts at batch items through routing and dispatch. Must be used on
// the control thread.
class ItemRunner {
 public:
  virtual ~ItemRunner() = default;

  // `avoid` is a replica not to use, or empty. Does not throw; returns kBusy if
  // no replica has batch capacity at present.
  virtual auto Run(routing::CompletionRequest request, ReplicaId avoid)
      -> boost::asio::awaitable<AttemptResult> = 0;

  // Cancels a running attempt at the engine, which then ends with kCancelled.
  virtual auto Cancel(const RequestId& id) -> void = 0;

  // Returns how many batch items of the service would be admitted now, summed
  // over the replicas known to this node.
  virtual auto free_slots(const ServiceName& service) const -> std::size_t = 0;
};

}  // namespace kumquatgauge::batch

#endif  // KUMQUATGAUGE_BATCH_ITEM_RUNNER_H_
