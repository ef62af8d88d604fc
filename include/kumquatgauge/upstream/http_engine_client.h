#ifndef KUMQUATGAUGE_UPSTREAM_HTTP_ENGINE_CLIENT_H_
#define KUMQUATGAUGE_UPSTREAM_HTTP_ENGINE_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "kumquatgauge/upstream/connection_settings.h"
#include "kumquatgauge/upstream/engine_client.h"

namespace kumquatgauge::upstream {

namespace detail {
class ConnectionPool;
}  // namespace detail

struct EngineClientSettings {
  ConnectionSettings connections;
  // From the request to the first event of the response; at most the time left
  // for the request.
  std::chrono::milliseconds first_byte_timeout{10'000};
  // Between two reads of a stream that has begun.
  std::chrono::milliseconds progress_timeout{2'000};
  std::chrono::milliseconds load_timeout{1'000};
  std::chrono::milliseconds order_timeout{30'000};
  // How long a cancelled stream waits for the engine to confirm, so that the
  // cancel cannot stop a later stream with the same request id.
  std::chrono::milliseconds cancel_timeout{100};

  auto operator==(const EngineClientSettings&) const -> bool = default;
};

// EngineClient over HTTP/1.1. One instance per io_context; not thread-safe.
// Running calls must end before the executor's context is destroyed, but may
// outlive the client.
class HttpEngineClient : public EngineClient {
 public:
  explicit HttpEngineClient(const boost::asio::any_io_executor& executor,
                            EngineClientSettings settings = {});
  ~HttpEngineClient() override;

  auto Stream(std::string address,
              routing::CompletionRequest request,
              std::function<auto(std::shared_ptr<StreamHandle>)->void> on_start,
              routing::TokenSink sink)
      -> boost::asio::awaitable<StreamEnd> override;
  auto Load(std::string address) -> boost::asio::awaitable<LoadReport> override;
  auto SendOrder(std::string address, EngineOrder order)
      -> boost::asio::awaitable<void> override;

 private:
  EngineClientSettings settings_;
  std::shared_ptr<detail::ConnectionPool> pool_;
};

}  // namespace kumquatgauge::upstream

#endif  // KUMQUATGAUGE_UPSTREAM_HTTP_ENGINE_CLIENT_H_
