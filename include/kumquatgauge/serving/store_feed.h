#ifndef KUMQUATGAUGE_SERVING_STORE_FEED_H_
#define KUMQUATGAUGE_SERVING_STORE_FEED_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/time.h"
#include "kumquatgauge/store/object_store.h"

namespace kumquatgauge::serving {

struct StoreFeedSettings {
  std::string prefix;
  // Pause after events, so that changes in quick succession share a call.
  std::chrono::milliseconds debounce{0};
  // Pauses after a failed call: doubling from the first to the longest, the
  // latter well under the time in which a change must apply.
  std::chrono::milliseconds initial_backoff{100};
  std::chrono::milliseconds max_backoff{800};

  auto operator==(const StoreFeedSettings&) const -> bool = default;
};

struct StoreFeedHooks {
  // How long the next watch waits; nothing while other nodes follow the store
  // for this one.
  std::function<auto()->std::optional<std::chrono::milliseconds>> watch_time;
  // All objects as of one revision; replaces everything heard before.
  std::function<
      auto(const std::vector<store::ListEntry>&, std::uint64_t revision)->void>
      snapshot;
  std::function<auto(const store::WatchEvent&)->void> event;
  // A call failed, or one succeeded.
  std::function<auto(const std::string& reason)->void> call_failed;
  std::function<auto()->void> call_succeeded;
};

// How often a node that does not follow the store looks whether it is to.
inline constexpr std::chrono::milliseconds kIdleFeedInterval{500};

// Follows all objects of one prefix of the store: a listing, then watches from
// its revision, and a new listing when the store has dropped the history.
class StoreFeed {
 public:
  StoreFeed(const boost::asio::any_io_executor& executor,
            store::ObjectStore& store,
            StoreFeedSettings settings,
            StoreFeedHooks hooks,
            RandomSource random);
  ~StoreFeed();
  StoreFeed(const StoreFeed&) = delete;
  auto operator=(const StoreFeed&) -> StoreFeed& = delete;

  auto Start() -> void;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_STORE_FEED_H_
