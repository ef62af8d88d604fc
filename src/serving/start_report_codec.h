#ifndef SERVING_START_REPORT_CODEC_H_
#define SERVING_START_REPORT_CODEC_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "kumquatgauge/serving/start_limiter.h"

namespace kumquatgauge::serving::detail {

// Encodes reports for datagrams: a list of [replica, starts] or [replica,
// starts, age in ms, limit], where the limit is null if it has ended.
auto EncodeStartReports(const std::vector<StartReport>& reports)
    -> nlohmann::json;
// Throws json::exception if the list is malformed.
auto DecodeStartReports(const nlohmann::json& encoded)
    -> std::vector<StartReport>;

}  // namespace kumquatgauge::serving::detail

#endif  // SERVING_START_REPORT_CODEC_H_
