#include "serving/process_hooks.h"

#include <random>

namespace kumquatgauge::serving::detail {

auto SteadyNow() -> MonotonicTime {
  return std::chrono::steady_clock::now();
}

auto WallNow() -> WallTime {
  return std::chrono::system_clock::now();
}

auto DrawRandom() -> std::uint64_t {
  static auto generator = std::mt19937_64(std::random_device{}());
  return generator();
}

auto MakeStoreOptions(const GatewaySettings& settings)
    -> store::PlatformOptions {
  auto options = store::PlatformOptions();
  options.address = settings.store.address;
  options.limits.fleet_reads = settings.store.reads_per_second;
  options.limits.fleet_writes = settings.store.writes_per_second;
  return options;
}

}  // namespace kumquatgauge::serving::detail
