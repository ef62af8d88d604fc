#ifndef SERVING_STORE_OPTIONS_H_
#define SERVING_STORE_OPTIONS_H_

#include "kumquatgauge/serving/gateway_settings.h"
#include "kumquatgauge/store/platform_client.h"

namespace kumquatgauge::serving::detail {

auto MakeStoreOptions(const GatewaySettings& settings)
    -> store::PlatformOptions;

}  // namespace kumquatgauge::serving::detail

#endif  // SERVING_STORE_OPTIONS_H_
