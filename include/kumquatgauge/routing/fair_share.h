#ifndef KUMQUATGAUGE_ROUTING_FAIR_SHARE_H_
#define KUMQUATGAUGE_ROUTING_FAIR_SHARE_H_

#include <algorithm>
#include <limits>
#include <unordered_map>

#include "kumquatgauge/base/ids.h"

namespace kumquatgauge::routing {

// Tags of fair queueing: each organisation's work is laid end to end from the
// virtual time on, so that its requests start at tags that grow with the work
// it has been given. Work is in any unit, divided by the organisation's weight.
// An idle organisation starts at the virtual time, so it accumulates no credit.
class FairShare {
 public:
  // Returns the tag at which the organisation's next request starts.
  auto Start(const OrganisationName& organisation) const -> double {
    const auto found = finish_.find(organisation);
    return found == finish_.end() ? virtual_time_
                                  : std::max(found->second, virtual_time_);
  }
  // Adds work to the organisation and returns the tag at which it finishes.
  // The lead over the virtual time is at most `max_lead`.
  auto Charge(const OrganisationName& organisation,
              double work,
              double max_lead = std::numeric_limits<double>::infinity())
      -> double {
    const auto finish =
        std::min(Start(organisation) + work, virtual_time_ + max_lead);
    finish_[organisation] = finish;
    return finish;
  }
  // Takes back work that was not done.
  auto Refund(const OrganisationName& organisation, double work) -> void {
    const auto found = finish_.find(organisation);
    if (found != finish_.end()) {
      found->second -= work;
      Forget(organisation);
    }
  }
  // Drops an organisation that is no longer ahead of the virtual time; keeping
  // it would let the map grow with every organisation ever seen.
  auto Forget(const OrganisationName& organisation) -> void {
    const auto found = finish_.find(organisation);
    if (found != finish_.end() && found->second <= virtual_time_) {
      finish_.erase(found);
    }
  }
  auto AdvanceTo(double time) -> void {
    virtual_time_ = std::max(virtual_time_, time);
  }
  auto virtual_time() const -> double { return virtual_time_; }

 private:
  std::unordered_map<OrganisationName, double> finish_;
  double virtual_time_ = 0.0;
};

}  // namespace kumquatgauge::routing

#endif  // KUMQUATGAUGE_ROUTING_FAIR_SHARE_H_
