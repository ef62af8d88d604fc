#ifndef KUMQUATGAUGE_SERVING_GATEWAY_H_
#define KUMQUATGAUGE_SERVING_GATEWAY_H_

#include <functional>
#include <memory>
#include <string>

#include "kumquatgauge/serving/dialect.h"
#include "kumquatgauge/serving/gateway_settings.h"
#include "kumquatgauge/store/object_store.h"
#include "kumquatgauge/store/platform_client.h"

namespace kumquatgauge::serving {

using StoreFactory = std::function<
    auto(store::PlatformClient&)->std::unique_ptr<store::ObjectStore>>;
// Encodes the response body for a caller that asks which addresses to use.
// Returns an empty string when the request asks for something else.
using AddressesEncoder =
    std::function<auto(const caller::IncomingRequest&,
                       const std::vector<std::string>& addresses,
                       std::chrono::seconds ttl)
                      ->std::string>;

struct GatewayParts {
  Dialect dialect;
  StoreFactory make_store;
  AddressesEncoder encode_addresses;
};

// One node: accepts callers, forwards their requests to replicas, runs batch
// jobs, and tells callers which nodes to use. Runs on the calling thread until
// SIGTERM starts a graceful shutdown and this has completed.
class Gateway {
 public:
  // `reload` reads the settings again; called on SIGHUP.
  Gateway(GatewaySettings settings,
          GatewayParts parts,
          std::function<auto()->GatewaySettings> reload);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  auto operator=(const Gateway&) -> Gateway& = delete;

  auto Run() -> void;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_GATEWAY_H_
