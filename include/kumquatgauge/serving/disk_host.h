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

// A connection to the store, and the call that reports to the operator that a
// host holds no data any more.
struct DiskHostStore {
  std::unique_ptr<store::ObjectStore> objects;
  std::function<auto(std::string host)->boost::asio::awaitable<void>>
      report_emptied;
};

struct DiskHostParts {
  std::function<auto(store::PlatformClient&)->DiskHostStore> make_store;
  // Prefix of the keys of the operator's requests to empty a host, followed by
  // the host's name.
  std::string request_prefix;
};

// The process on some hosts with a disk. All durable data is in the store, so
// the disks stay empty, and a request to empty any of these hosts is answered
// at once, whether or not it runs this process. Runs on the calling thread
// until SIGTERM.
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
