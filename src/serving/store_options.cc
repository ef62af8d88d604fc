#include "serving/store_options.h"

namespace kumquatgauge::serving::detail {

auto MakeStoreOptions(const GatewaySettings& settings)
    -> store::PlatformOptions {
  auto options = store::PlatformOptions();
  options.address = settings.store.address;
  options.limits.fleet_reads = settings.store.reads_per_second;
  options.limits.fleet_writes = settings.store.writes_per_second;
  return options;
}

}  // namespace kumquatgauge::serving::detail
