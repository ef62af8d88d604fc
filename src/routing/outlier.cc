#include "kumquatgauge/routing/outlier.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "kumquatgauge/base/seconds.h"

namespace kumquatgauge::routing {
namespace {

// Weight of a new sample in the moving average: about the last ten samples.
constexpr double kSampleWeight = 0.1;
constexpr std::uint32_t kMaxDoublings = 16;

}  // namespace

OutlierDetector::OutlierDetector(OutlierSettings settings, Clock clock)
    : settings_(settings), clock_(std::move(clock)) {}

auto OutlierDetector::SetReplicas(const std::vector<Replica>& replicas)
    -> void {
  std::unordered_map<ReplicaId, Entry> entries;
  services_.clear();
  for (const auto& replica : replicas) {
    auto known = entries_.find(replica.id);
    Entry entry = known == entries_.end() ? Entry() : known->second;
    if (known == entries_.end()) {
      entry.since = clock_();
    }
    entry.service = replica.service;
    entries.emplace(replica.id, std::move(entry));
    if (!replica.leaving) {
      services_[replica.service].push_back(replica.id);
    }
  }
  entries_ = std::move(entries);
}

auto OutlierDetector::OnSuccess(const ReplicaId& replica, Duration latency)
    -> Changes {
  auto it = entries_.find(replica);
  if (it == entries_.end()) {
    return {};
  }
  auto& entry = it->second;
  auto latency_s = ToSeconds(latency);
  if (entry.state == EjectionState::kProbing) {
    return ProbeResult(replica, entry,
                       !IsSlow(latency_s, Median(entry.service)));
  }
  entry.failures = 0;
  entry.latency_s =
      entry.samples == 0
          ? latency_s
          : entry.latency_s + kSampleWeight * (latency_s - entry.latency_s);
  ++entry.samples;
  return {};
}

auto OutlierDetector::OnFailure(const ReplicaId& replica) -> Changes {
  auto it = entries_.find(replica);
  if (it == entries_.end()) {
    return {};
  }
  auto& entry = it->second;
  if (entry.state == EjectionState::kProbing) {
    return ProbeResult(replica, entry, false);
  }
  ++entry.failures;
  if (entry.state == EjectionState::kInUse &&
      entry.failures >= settings_.consecutive_failures &&
      MayEject(entry.service)) {
    return {Eject(replica, entry,
                  std::to_string(entry.failures) + " failures in a row")};
  }
  return {};
}

auto OutlierDetector::OnTick() -> Changes {
  Changes changes;
  auto now = clock_();
  for (const auto& [service, ids] : services_) {
    auto median = Median(service);
    for (const auto& id : ids) {
      auto& entry = entries_.at(id);
      auto age = now - entry.since;
      switch (entry.state) {
        case EjectionState::kEjected:
          if (age >= entry.ejection) {
            entry.state = EjectionState::kProbing;
            entry.probe_successes = 0;
            entry.since = now;
            changes.push_back(
                {id, EjectionState::kProbing, "ejection time elapsed"});
          }
          break;
        case EjectionState::kProbing:
          if (age >= settings_.probe_timeout) {
            entry.since = now;
            changes.push_back(
                {id, EjectionState::kProbing, "probe had no result"});
          }
          break;
        case EjectionState::kInUse:
          if (age >= settings_.ejection_reset_time) {
            entry.ejections = 0;
          }
          if (entry.samples >= settings_.min_samples &&
              IsSlow(entry.latency_s, median) && MayEject(service)) {
            changes.push_back(Eject(id, entry, "latency far above the median"));
          }
          break;
      }
    }
  }
  return changes;
}

auto OutlierDetector::state(const ReplicaId& replica) const -> EjectionState {
  auto it = entries_.find(replica);
  return it == entries_.end() ? EjectionState::kInUse : it->second.state;
}

auto OutlierDetector::MayEject(const ServiceName& service) const -> bool {
  auto it = services_.find(service);
  if (it == services_.end() || it->second.size() < 2) {
    return false;
  }
  const auto& ids = it->second;
  auto ejected = std::count_if(ids.begin(), ids.end(), [&](const auto& id) {
    return entries_.at(id).state != EjectionState::kInUse;
  });
  auto allowed = std::max(1.0, std::floor(settings_.max_ejected_share *
                                          static_cast<double>(ids.size())));
  return static_cast<double>(ejected) + 1.0 <= allowed;
}

auto OutlierDetector::Eject(const ReplicaId& id,
                            Entry& entry,
                            std::string reason) -> EjectionChange {
  auto doublings = std::min(entry.ejections, kMaxDoublings);
  entry.ejection = std::min(settings_.max_ejection,
                            settings_.base_ejection * (1U << doublings));
  ++entry.ejections;
  entry.state = EjectionState::kEjected;
  entry.failures = 0;
  entry.samples = 0;
  entry.since = clock_();
  return {id, EjectionState::kEjected, std::move(reason)};
}

auto OutlierDetector::Median(const ServiceName& service) const -> double {
  auto it = services_.find(service);
  if (it == services_.end()) {
    return 0.0;
  }
  std::vector<double> latencies;
  for (const auto& id : it->second) {
    const auto& entry = entries_.at(id);
    if (entry.state == EjectionState::kInUse &&
        entry.samples >= settings_.min_samples) {
      latencies.push_back(entry.latency_s);
    }
  }
  // A single replica has nothing to be compared with.
  if (latencies.size() < 2) {
    return 0.0;
  }
  // The lower median: of two replicas, the faster one is the reference.
  auto middle = latencies.begin() +
                static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

auto OutlierDetector::IsSlow(double latency_s, double median_s) const -> bool {
  return median_s > 0.0 && latency_s > ToSeconds(settings_.latency_floor) &&
         latency_s > settings_.latency_factor * median_s;
}

auto OutlierDetector::ProbeResult(const ReplicaId& id,
                                  Entry& entry,
                                  bool succeeded) -> Changes {
  if (!succeeded) {
    return {Eject(id, entry, "probe failed")};
  }
  entry.since = clock_();
  if (++entry.probe_successes < settings_.probe_successes) {
    return {{id, EjectionState::kProbing, "probe succeeded"}};
  }
  entry.state = EjectionState::kInUse;
  return {{id, EjectionState::kInUse, "probes succeeded"}};
}

}  // namespace kumquatgauge::routing
