#ifndef KUMQUATGAUGE_SERVING_MEMBERSHIP_SETTLING_H_
#define KUMQUATGAUGE_SERVING_MEMBERSHIP_SETTLING_H_

#include <cstddef>

#include "kumquatgauge/base/time.h"

namespace kumquatgauge::serving {

// Decides when a node that has started knows the other nodes: once it has met
// some and none was added for a while. Nodes that start together learn of each
// other within some tenths of a second, one by one.
class MembershipSettling {
 public:
  // Nodes of a fleet that starts learn of further ones every few milliseconds.
  static constexpr Duration kQuietTime = std::chrono::milliseconds(100);

  explicit MembershipSettling(Clock clock)
      : clock_(std::move(clock)), grown_(clock_()) {}

  // Records the number of known live nodes, including this one.
  auto OnMembers(std::size_t live) -> void {
    if (live > live_) {
      grown_ = clock_();
    }
    live_ = live;
  }
  auto settled() const -> bool {
    return live_ > 1 && clock_() - grown_ >= kQuietTime;
  }

 private:
  Clock clock_;
  std::size_t live_ = 0;
  MonotonicTime grown_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_MEMBERSHIP_SETTLING_H_
