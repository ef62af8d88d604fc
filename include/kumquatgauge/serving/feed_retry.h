#ifndef KUMQUATGAUGE_SERVING_FEED_RETRY_H_
#define KUMQUATGAUGE_SERVING_FEED_RETRY_H_

#include <chrono>

#include "kumquatgauge/base/time.h"

namespace kumquatgauge::serving {

// Decides when a feed of the store repeats a failed call.
class FeedRetry {
 public:
  FeedRetry(std::chrono::milliseconds initial_backoff,
            std::chrono::milliseconds max_backoff,
            RandomSource random);

  auto OnSuccess() -> void;
  // Returns the pause after a call that the store did not answer: 0.5 to 1.5
  // times a backoff that doubles, so that the nodes do not retry at the same
  // time.
  auto OnFailure() -> std::chrono::milliseconds;
  // Returns the pause after a call that the circuit refused. It is short, since
  // such a call does not leave this node, and another user of the circuit may
  // close it at any time.
  auto OnRefused(Duration retry_after) -> std::chrono::milliseconds;

  // Whether the last call failed. The next one must then be answered at once:
  // the circuit lets no other call through while it is open.
  auto failed() const -> bool { return failed_; }

 private:
  std::chrono::milliseconds initial_backoff_;
  std::chrono::milliseconds max_backoff_;
  RandomSource random_;
  std::chrono::milliseconds backoff_;
  bool failed_ = false;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_FEED_RETRY_H_
