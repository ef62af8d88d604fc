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
  // Delay after events, so that changes in quick succession share one call.
  std::chrono::milliseconds debounce{0};
  // Delay between the first list and the first watch. A node that starts learns
  // meanwhile whether other nodes follow the store for it.
  std::chrono::milliseconds first_watch_delay{0};
  // Backoff after a call without an answer (FeedRetry). The maximum is well
  // below the time in which a change must apply.
  std::chrono::milliseconds initial_backoff{100};
  std::chrono::milliseconds max_backoff{800};

  auto operator==(const StoreFeedSettings&) const -> bool = default;
};

struct StoreFeedHooks {
  // Returns how long the next watch waits, or nothing while other nodes follow
  // the store for this one.
  std::function<auto()->std::optional<std::chrono::milliseconds>> watch_time;
  // Receives all objects as of one revision, which replace everything received
  // before.
  std::function<
      auto(const std::vector<store::ListEntry>&, std::uint64_t revision)->void>
      snapshot;
  std::function<auto(const store::WatchEvent&)->void> event;
  // Called after a failed and a successful call.
  std::function<auto(const std::string& reason)->void> call_failed;
  std::function<auto()->void> call_succeeded;
};

// How often a node that does not follow the store checks whether it should.
inline constexpr std::chrono::milliseconds kIdleFeedInterval{100};

// Follows all objects under one prefix of the store: lists them, watches from
// the revision of the list, and lists again when the store has dropped the
// history.
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
