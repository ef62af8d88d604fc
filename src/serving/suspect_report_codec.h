#ifndef SERVING_SUSPECT_REPORT_CODEC_H_
#define SERVING_SUSPECT_REPORT_CODEC_H_

#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "kumquatgauge/serving/request_quarantine.h"

namespace kumquatgauge::serving::detail {

// Encodes reports for a datagram. Ages are rounded to milliseconds in favour of
// answers: a crash seems earlier and an answer later.
auto EncodeReports(const std::vector<SuspectReport>& reports) -> nlohmann::json;
// Throws nlohmann::json::exception.
auto DecodeReports(const nlohmann::json& encoded) -> std::vector<SuspectReport>;

}  // namespace kumquatgauge::serving::detail

#endif  // SERVING_SUSPECT_REPORT_CODEC_H_
