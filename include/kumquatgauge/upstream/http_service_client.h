#ifndef KUMQUATGAUGE_UPSTREAM_HTTP_SERVICE_CLIENT_H_
#define KUMQUATGAUGE_UPSTREAM_HTTP_SERVICE_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "kumquatgauge/upstream/connection_settings.h"
#include "kumquatgauge/upstream/service_client.h"

namespace kumquatgauge::upstream {

namespace detail {
class ConnectionPool;
}  // namespace detail

struct ServiceClientSettings {
  static constexpr std::size_t kMaxResponseBytes = 16U << 20U;

  ConnectionSettings connections;
  std::size_t max_response_bytes = kMaxResponseBytes;

  auto operator==(const ServiceClientSettings&) const -> bool = default;
};

// ServiceClient over HTTP/1.1. One instance per io_context; not thread-safe. A
// repeatable request is sent once more on a new connection if the service
// closes a reused connection before any byte of a response.
class HttpServiceClient : public ServiceClient {
 public:
  explicit HttpServiceClient(const boost::asio::any_io_executor& executor,
                             ServiceClientSettings settings = {});
  ~HttpServiceClient() override;

  auto Send(std::string address,
            ServiceRequest request,
            bool repeatable,
            std::chrono::milliseconds timeout)
      -> boost::asio::awaitable<ServiceResponse> override;

 private:
  ServiceClientSettings settings_;
  std::shared_ptr<detail::ConnectionPool> pool_;
};

}  // namespace kumquatgauge::upstream

#endif  // KUMQUATGAUGE_UPSTREAM_HTTP_SERVICE_CLIENT_H_
