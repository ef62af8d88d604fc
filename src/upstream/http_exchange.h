#ifndef UPSTREAM_HTTP_EXCHANGE_H_
#define UPSTREAM_HTTP_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <memory>
#include <string>

#include "kumquatgauge/base/time.h"
#include "kumquatgauge/upstream/service_client.h"
#include "upstream/connection_pool.h"

namespace kumquatgauge::upstream::detail {

struct ExchangeLimits {
  Duration timeout{};  // For the whole exchange, connecting included.
  std::size_t max_response_bytes = 0;
};

// Sends one request and reads the whole response. Errors as in
// ServiceClient::Send.
auto Exchange(std::shared_ptr<ConnectionPool> pool,
              std::string address,
              ServiceRequest request,
              bool repeatable,
              ExchangeLimits limits) -> boost::asio::awaitable<ServiceResponse>;

}  // namespace kumquatgauge::upstream::detail

#endif  // UPSTREAM_HTTP_EXCHANGE_H_
