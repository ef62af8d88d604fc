#ifndef KUMQUATGAUGE_SERVING_USUAL_TIME_LIMIT_H_
#define KUMQUATGAUGE_SERVING_USUAL_TIME_LIMIT_H_

#include <cstdint>
#include <map>
#include <string>

#include "kumquatgauge/base/time.h"

namespace kumquatgauge::serving {

struct UsualTimeLimitSettings {
  // Share by which limits may differ and still count as equal; callers may
  // subtract the milliseconds that they spent themselves.
  double tolerance = 0.02;
  // Smallest share of the usual limit that a returning caller has left: it was
  // refused early and waited for at most a third of the rest. A shorter limit
  // is that of another kind of caller.
  double min_share_left = 0.6;
  // Requests by which the usual limit must outnumber others before it is used.
  std::uint32_t min_majority = 3;
  // Upper limit of this number, so that a new usual limit is learned from a
  // few dozen requests.
  std::uint32_t max_majority = 30;
};

// Learns how long the callers of each route say that they wait, and recognises
// those that were refused before: they have less time left. Every caller sends
// a first request, and some a second one, so the limit of the majority is that
// of first requests.
class UsualTimeLimit {
 public:
  UsualTimeLimit() = default;
  explicit UsualTimeLimit(UsualTimeLimitSettings settings)
      : settings_(settings) {}

  // Records the limit of a request; returns whether its caller returns.
  auto OnRequest(const std::string& route, Duration limit) -> bool;

 private:
  // Majority vote: other limits reduce the count, and replace one whose count
  // is zero.
  struct Candidate {
    Duration limit{0};
    std::uint32_t count = 0;
  };

  UsualTimeLimitSettings settings_;
  std::map<std::string, Candidate> routes_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_USUAL_TIME_LIMIT_H_
