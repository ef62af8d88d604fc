#ifndef KUMQUATGAUGE_STORE_WEIGHT_STORE_H_
#define KUMQUATGAUGE_STORE_WEIGHT_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "kumquatgauge/store/platform_client.h"

namespace kumquatgauge::store {

// The platform's weight store, whose rate limit all services share.
class WeightStore {
 public:
  virtual ~WeightStore() = default;

  // Requests the weights of "MODEL@VERSION". Returns nothing when granted,
  // otherwise how long to wait before the next request. Throws Error(kNotFound)
  // for unknown weights, and kUnavailable, kTimeout or kOverloaded when the
  // platform does not respond.
  virtual auto Request(std::string name)
      -> boost::asio::awaitable<std::optional<std::chrono::milliseconds>> = 0;
};

// The weight store over HTTP; see docs/design.md, section 11.
class HttpWeightStore : public WeightStore {
 public:
  explicit HttpWeightStore(PlatformClient& client) : client_(client) {}

  auto Request(std::string name) -> boost::asio::awaitable<
      std::optional<std::chrono::milliseconds>> override;

 private:
  PlatformClient& client_;
};

}  // namespace kumquatgauge::store

#endif  // KUMQUATGAUGE_STORE_WEIGHT_STORE_H_
