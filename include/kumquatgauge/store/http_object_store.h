#ifndef KUMQUATGAUGE_STORE_HTTP_OBJECT_STORE_H_
#define KUMQUATGAUGE_STORE_HTTP_OBJECT_STORE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "kumquatgauge/store/object_store.h"
#include "kumquatgauge/store/platform_client.h"

namespace kumquatgauge::store {

// The object API over HTTP; see docs/design.md, section 11.
class HttpObjectStore : public ObjectStore {
 public:
  explicit HttpObjectStore(PlatformClient& client) : client_(client) {}

  auto Read(std::string key, CallClass call_class)
      -> boost::asio::awaitable<std::optional<StoredObject>> override;
  auto Write(std::string key,
             std::string value,
             std::optional<std::uint64_t> expected_version,
             CallClass call_class)
      -> boost::asio::awaitable<std::uint64_t> override;
  auto Remove(std::string key,
              std::uint64_t expected_version,
              CallClass call_class) -> boost::asio::awaitable<void> override;
  auto List(std::string prefix,
            std::string after,
            std::size_t limit,
            CallClass call_class) -> boost::asio::awaitable<ListPage> override;
  // Counts as one configuration read in the rate limits.
  auto Watch(std::string prefix,
             std::uint64_t since,
             std::chrono::milliseconds timeout)
      -> boost::asio::awaitable<WatchBatch> override;

 private:
  PlatformClient& client_;
};

}  // namespace kumquatgauge::store

#endif  // KUMQUATGAUGE_STORE_HTTP_OBJECT_STORE_H_
