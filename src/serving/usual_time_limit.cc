#include "kumquatgauge/serving/usual_time_limit.h"

#include <algorithm>

namespace kumquatgauge::serving {

auto UsualTimeLimit::OnRequest(const std::string& route, Duration limit)
    -> bool {
  if (limit <= Duration::zero()) {
    return false;
  }
  auto& candidate = routes_[route];
  if (candidate.count == 0) {
    candidate = {.limit = limit, .count = 1};
    return false;
  }
  const auto share = std::chrono::duration<double>(limit) /
                     std::chrono::duration<double>(candidate.limit);
  if (share >= 1.0 - settings_.tolerance &&
      share <= 1.0 + settings_.tolerance) {
    candidate.count = std::min(candidate.count + 1, settings_.max_majority);
    return false;
  }
  const auto is_known = candidate.count >= settings_.min_majority;
  --candidate.count;
  return is_known && share < 1.0 && share >= settings_.min_share_left;
}

}  // namespace kumquatgauge::serving
