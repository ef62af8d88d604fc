#ifndef SERVING_COUNTS_CODEC_H_
#define SERVING_COUNTS_CODEC_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <utility>

#include "kumquatgauge/serving/load_balancer.h"
#include "kumquatgauge/serving/silence_detector.h"

namespace kumquatgauge::serving::detail {

// Encodes a node's requests in flight and what it knows about silent replicas
// for datagrams: a list of [replica, online, batch], followed by the time since
// the replica's last byte in ms if it is known, or -1, and for a replica that
// may be silent by its start time, 1 for a probe or 0, and age in ms and weight
// of each overdue request. Nodes of earlier releases read the first three.
// Silent replicas come first; of the others only as many as fit.
auto EncodeCounts(const InFlightCounts& counts,
                  const SilenceReports& reports,
                  std::size_t max_entries) -> nlohmann::json;
// Throws json::exception if the list is malformed.
auto DecodeCounts(const nlohmann::json& encoded)
    -> std::pair<InFlightCounts, SilenceReports>;

}  // namespace kumquatgauge::serving::detail

#endif  // SERVING_COUNTS_CODEC_H_
