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
  // Bounds the delay that a silent connection can cause; well under the 9 s
  // within which a change must be in effect everywhere.
  std::chrono::milliseconds watch_timeout{3000};
  std::chrono::milliseconds initial_backoff{200};
  std::chrono::milliseconds max_backoff{2000};
  // Between reads while a read shows less than the watch has announced.
  std::chrono::milliseconds stale_retry{50};
};

// Follows config/head for the nodes of a zone and passes on what changes, only
// forward: a stale read or a platform that has lost data never takes a
// revision back. Survives outages and resets of the platform. Runs on the
// control thread.
class ConfigWatcher {
 public:
  // Gets each delta, which leads from the revision before to a higher one.
  using Sink = std::function<auto(const ConfigDelta&)->void>;

  ConfigWatcher(store::ObjectStore& objects,
                ConfigStore& store,
                Clock clock,
                RandomSource random,
                Sink sink,
                ConfigWatcherOptions options = {});

  // Runs until Stop; does not throw for failures of the platform.
  auto Run() -> boost::asio::awaitable<void>;
  // Ends Run at its next step, at the latest when the pending watch ends.
  auto Stop() -> void;

  // One round of Run: reads the head, passes on what is new, and waits for the
  // next change. Throws the store's Error.
  auto Step() -> boost::asio::awaitable<void>;

  // When the platform last confirmed the current revision, for the age of the
  // configuration.
  auto last_confirmed() const -> std::optional<MonotonicTime> {
    return last_confirmed_;
  }
  // The platform shows a lower revision than is in effect.
  auto behind() const -> bool { return behind_; }
  // Why the last round failed; empty when it did not.
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
  // Revision of the platform up to which events are known.
  std::optional<std::uint64_t> since_;
  // Version of the head that a watch has announced.
  std::uint64_t announced_version_ = 0;
  std::uint32_t failures_ = 0;
  bool behind_ = false;
  std::optional<MonotonicTime> last_confirmed_;
  std::string last_error_;
};

}  // namespace kumquatgauge::control

#endif  // KUMQUATGAUGE_CONTROL_CONFIG_WATCHER_H_
