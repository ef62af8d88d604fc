#ifndef STORE_RESPONSE_JSON_H_
#define STORE_RESPONSE_JSON_H_

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "kumquatgauge/store/platform_client.h"

namespace kumquatgauge::store::detail {

// Throws for every status but 200: kInvalidArgument for a 4xx, because the
// request itself is wrong, otherwise kInternal.
auto CheckOk(const PlatformResponse& response, const std::string& object)
    -> void;

// Checks that the status is 200 and parses the body.
auto ParseResponse(const PlatformResponse& response, const std::string& object)
    -> nlohmann::json;

// Runs `convert` and turns JSON exceptions into Error(kInternal).
auto Convert(const std::string& object,
             const std::function<auto()->void>& convert) -> void;

}  // namespace kumquatgauge::store::detail

#endif  // STORE_RESPONSE_JSON_H_
