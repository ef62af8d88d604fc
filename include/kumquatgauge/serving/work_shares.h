#ifndef KUMQUATGAUGE_SERVING_WORK_SHARES_H_
#define KUMQUATGAUGE_SERVING_WORK_SHARES_H_

#include <unordered_map>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"

namespace kumquatgauge::serving {

struct WorkSharesSettings {
  // Time constant of the averages. Many times as long as a burst of some
  // seconds, which therefore counts as more than the usual work.
  Duration memory = std::chrono::seconds(60);
};

// Learns how much work each organisation usually asks for. Organisations differ
// widely in size. With equal shares, the largest would be refused nearly all of
// its requests in every shortage, though it sends no more than at other times.
class WorkShares {
 public:
  WorkShares() = default;
  explicit WorkShares(WorkSharesSettings settings) : settings_(settings) {}

  auto OnRequest(const OrganisationName& organisation,
                 double work,
                 MonotonicTime now) -> void;
  // Returns the organisation's usual work as a multiple of the mean; at least
  // 1, as the average of a few requests means little.
  auto Weight(const OrganisationName& organisation) const -> double;
  // Returns the work of a typical request.
  auto typical() const -> double;
  // Returns the number of organisations that have sent requests lately.
  auto organisations() const -> std::size_t { return work_.size(); }

 private:
  // Reduces the sums by the time that has passed since the last time.
  auto Decay(MonotonicTime now) -> void;

  WorkSharesSettings settings_;
  std::unordered_map<OrganisationName, double> work_;
  double total_ = 0.0;
  double requests_ = 0.0;
  MonotonicTime decayed_at_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_WORK_SHARES_H_
