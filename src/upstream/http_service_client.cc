#include "kumquatgauge/upstream/http_service_client.h"

#include <utility>

#include "upstream/connection_pool.h"
#include "upstream/http_exchange.h"

namespace kumquatgauge::upstream {

HttpServiceClient::HttpServiceClient(
    const boost::asio::any_io_executor& executor,
    ServiceClientSettings settings)
    : settings_(settings),
      pool_(std::make_shared<detail::ConnectionPool>(executor,
                                                     settings.connections)) {}

HttpServiceClient::~HttpServiceClient() {
  pool_->Close();
}

auto HttpServiceClient::Send(std::string address,
                             ServiceRequest request,
                             bool repeatable,
                             std::chrono::milliseconds timeout)
    -> boost::asio::awaitable<ServiceResponse> {
  const detail::ExchangeLimits limits{timeout, settings_.max_response_bytes};
  return detail::Exchange(pool_, std::move(address), std::move(request),
                          repeatable, limits);
}

}  // namespace kumquatgauge::upstream
