#ifndef KUMQUATGAUGE_UPSTREAM_SERVICE_CLIENT_H_
#define KUMQUATGAUGE_UPSTREAM_SERVICE_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "kumquatgauge/base/http_header.h"

namespace kumquatgauge::upstream {

using kumquatgauge::HttpHeader;

struct ServiceRequest {
  std::string method;
  std::string target;  // Path and query.
  std::vector<HttpHeader> headers;
  std::string body;

  auto operator==(const ServiceRequest&) const -> bool = default;
};

struct ServiceResponse {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;

  auto operator==(const ServiceResponse&) const -> bool = default;
};

// HTTP client for plain services. One instance per io_context.
class ServiceClient {
 public:
  virtual ~ServiceClient() = default;

  // Sends the request once; never retries by itself. A request that must not be
  // repeated is sent on a new connection, because a reused one that the service
  // has just closed would leave its outcome unknown. Errors:
  //   kUnavailable: no byte of the request was written; it has not run.
  //   kUnknownOutcome: bytes may have been sent; no whole response arrived.
  virtual auto Send(std::string address,
                    ServiceRequest request,
                    bool repeatable,
                    std::chrono::milliseconds timeout)
      -> boost::asio::awaitable<ServiceResponse> = 0;
};

}  // namespace kumquatgauge::upstream

#endif  // KUMQUATGAUGE_UPSTREAM_SERVICE_CLIENT_H_
