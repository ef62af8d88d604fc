#ifndef SERVING_PROCESS_HOOKS_H_
#define SERVING_PROCESS_HOOKS_H_

#include <cstdint>

#include "kumquatgauge/base/time.h"
#include "kumquatgauge/serving/gateway_settings.h"
#include "kumquatgauge/store/platform_client.h"

namespace kumquatgauge::serving::detail {

// The clocks and the random source of a real process.
auto SteadyNow() -> MonotonicTime;
auto WallNow() -> WallTime;
auto DrawRandom() -> std::uint64_t;

auto MakeStoreOptions(const GatewaySettings& settings)
    -> store::PlatformOptions;

}  // namespace kumquatgauge::serving::detail

#endif  // SERVING_PROCESS_HOOKS_H_
