#include "kumquatgauge/serving/result_write_policy.h"

#include <algorithm>

namespace kumquatgauge::serving {

auto ResultWritePolicy::LongestDelay(const WaitingResults& results) const
    -> Duration {
  if (results.low_memory) {
    return settings_.min_delay;
  }
  if (!results.due || *results.due <= results.since) {
    return settings_.max_delay;
  }
  const auto share =
      Duration((*results.due - results.since) / settings_.due_divisor);
  return std::clamp(share, settings_.min_delay, settings_.max_delay);
}

auto ResultWritePolicy::WriteTime(const WaitingResults& results,
                                  MonotonicTime now) const -> MonotonicTime {
  // Readers of a whole job wait for its last result. A failure that is lost
  // with the node makes the item fail once more.
  if (results.complete || results.failed) {
    return now;
  }
  const auto last = results.since + LongestDelay(results);
  if (results.next_end && now + *results.next_end >= last) {
    // Waiting would save no call.
    return std::min(last, results.since + settings_.min_delay);
  }
  return last;
}

}  // namespace kumquatgauge::serving
