#ifndef KUMQUATGAUGE_PLATFORM_HTTP_HOST_LIST_H_
#define KUMQUATGAUGE_PLATFORM_HTTP_HOST_LIST_H_

#include "kumquatgauge/platform/host_list.h"
#include "kumquatgauge/platform/platform_client.h"

namespace kumquatgauge::platform {

// The host list over HTTP; see docs/design.md, section 11.
class HttpHostList : public HostList {
 public:
  explicit HttpHostList(PlatformClient& client) : client_(client) {}

  auto Fetch() -> boost::asio::awaitable<HostListSnapshot> override;

 private:
  PlatformClient& client_;
};

}  // namespace kumquatgauge::platform

#endif  // KUMQUATGAUGE_PLATFORM_HTTP_HOST_LIST_H_
