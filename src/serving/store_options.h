#ifndef SERVING_STORE_OPTIONS_H_
#define SERVING_STORE_OPTIONS_H_

#include <functional>

#include "kumquatgauge/base/log.h"
#include "kumquatgauge/serving/gateway_settings.h"
#include "kumquatgauge/store/circuit.h"
#include "kumquatgauge/store/platform_client.h"

namespace kumquatgauge::serving::detail {

auto MakeStoreOptions(const GatewaySettings& settings)
    -> store::PlatformOptions;

// Returns a hook that logs each new state of the circuit to `logger`, which
// must outlive it.
auto LogCircuit(const Logger& logger)
    -> std::function<auto(store::Circuit::State)->void>;

}  // namespace kumquatgauge::serving::detail

#endif  // SERVING_STORE_OPTIONS_H_
