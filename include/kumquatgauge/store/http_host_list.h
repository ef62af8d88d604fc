#ifndef KUMQUATGAUGE_STORE_HTTP_HOST_LIST_H_
#define KUMQUATGAUGE_STORE_HTTP_HOST_LIST_H_

#include "kumquatgauge/store/host_list.h"
#include "kumquatgauge/store/platform_client.h"

namespace kumquatgauge::store {

// The host list over HTTP; see docs/design.md, section 11.
class HttpHostList : public HostList {
 public:
  explicit HttpHostList(PlatformClient& client) : client_(client) {}

  auto Fetch() -> boost::asio::awaitable<HostListSnapshot> override;

 private:
  PlatformClient& client_;
};

}  // namespace kumquatgauge::store

#endif  // KUMQUATGAUGE_STORE_HTTP_HOST_LIST_H_
