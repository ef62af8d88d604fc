#include "serving/store_options.h"

#include <string>

namespace kumquatgauge::serving::detail {

auto MakeStoreOptions(const GatewaySettings& settings)
    -> store::PlatformOptions {
  auto options = store::PlatformOptions();
  options.address = settings.store.address;
  options.limits.fleet_reads = settings.store.reads_per_second;
  options.limits.fleet_writes = settings.store.writes_per_second;
  return options;
}

auto LogCircuit(const Logger& logger)
    -> std::function<auto(store::Circuit::State)->void> {
  return [&logger](store::Circuit::State state) {
    logger.Info("the circuit of the store changed its state",
                {{"event", "store_circuit"},
                 {"state", std::string(store::Circuit::StateName(state))}});
  };
}

}  // namespace kumquatgauge::serving::detail
