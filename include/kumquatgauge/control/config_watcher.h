#ifndef KUMQUATGAUGE_CONTROL_CONFIG_WATCHER_H_
#define KUMQUATGAUGE_CONTROL_CONFIG_WATCHER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "kumquatgauge/base/time.h"
#include "kumquatgauge/control/config_store.h"
#include "kumquatgauge/store/object_store.h"

namespace kumquatgauge::control {

struct ConfigWatcherOptions {
  // Bounds the delay caused by an unresponsive connection. Well under the 9 s
  // within which a change must be in effect on every node.
  std::chrono::milliseconds watch_timeout{3000};
  std::chrono::milliseconds initial_backoff{200};
  std::chrono::milliseconds max_backoff{2000};
  // Delay between reads while they return an older version than the watch has
  // announced.
  std::chrono::milliseconds stale_retry{50};
};

// Watches config/head for the nodes of a zone and publishes changes. The
// published revision never decreases, even after a stale read or if the
// platform lost data. Recovers from outages and resets of the platform. Runs on
// the control thread.
class ConfigWatcher {
 public:
  // Receives each delta from the previously published revision to a higher one.
  using Sink = std::function<auto(const ConfigDelta&)->void>;

  ConfigWatcher(store::ObjectStore& objects,
                ConfigStore& store,
                Clock clock,
                RandomSource random,
                Sink sink,
                ConfigWatcherOptions options = {});

  // Runs until Stop. Does not throw when the platform fails.
  auto Run() -> boost::asio::awaitable<void>;
  // Makes Run return after the current step, at the latest when the pending
  // watch ends.
  auto Stop() -> void;

  // Performs one iteration of Run: reads the head, publishes any change, and
  // waits for the next one. Throws the store's Error.
  auto Step() -> boost::asio::awaitable<void>;

  // Returns when the platform last confirmed the current revision. Used to
  // compute the age of the configuration.
  auto last_confirmed() const -> std::optional<MonotonicTime> {
    return last_confirmed_;
  }
  // Returns whether the platform has a lower revision than is in effect.
  auto behind() const -> bool { return behind_; }
  // Returns the error of the last iteration; empty if it succeeded.
  auto last_error() const -> const std::string& { return last_error_; }

 private:
  auto ReadAndPublish() -> boost::asio::awaitable<void>;
  auto WaitForChange() -> boost::asio::awaitable<void>;
  auto Sleep(std::chrono::milliseconds duration)
      -> boost::asio::awaitable<void>;
  auto NextBackoff() -> std::chrono::milliseconds;

  store::ObjectStore& objects_;
  ConfigStore& store_;
  Clock clock_;
  RandomSource random_;
  Sink sink_;
  ConfigWatcherOptions options_;

  bool stopped_ = false;
  std::shared_ptr<boost::asio::steady_timer> timer_;
  std::uint64_t published_ = 0;
  // Platform revision up to which events have been received.
  std::optional<std::uint64_t> since_;
  // Head version announced by the watch.
  std::uint64_t announced_version_ = 0;
  std::uint32_t failures_ = 0;
  bool behind_ = false;
  std::optional<MonotonicTime> last_confirmed_;
  std::string last_error_;
};

}  // namespace kumquatgauge::control

#endif  // KUMQUATGAUGE_CONTROL_CONFIG_WATCHER_H_
