#ifndef KUMQUATGAUGE_SERVING_DISK_HOST_H_
#define KUMQUATGAUGE_SERVING_DISK_HOST_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "kumquatgauge/serving/gateway_settings.h"
#include "kumquatgauge/store/object_store.h"
#include "kumquatgauge/store/platform_client.h"

namespace kumquatgauge::serving {

// A connection to the store, and how to tell the operator there that a host
// holds nothing any more.
struct DiskHostStore {
  std::unique_ptr<store::ObjectStore> objects;
  std::function<auto(std::string host)->boost::asio::awaitable<void>>
      report_emptied;
};

struct DiskHostParts {
  std::function<auto(store::PlatformClient&)->DiskHostStore> make_store;
  // Keys of the operator's requests to empty a host: this prefix and the host's
  // name.
  std::string request_prefix;
};

// The process on a host with a disk. Everything that must last is in the store,
// so the disk stays empty, and a request to empty the host is answered at once.
// Runs on the calling thread until SIGTERM.
class DiskHost {
 public:
  DiskHost(GatewaySettings settings, DiskHostParts parts);
  ~DiskHost();
  DiskHost(const DiskHost&) = delete;
  auto operator=(const DiskHost&) -> DiskHost& = delete;

  auto Run() -> void;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_DISK_HOST_H_
