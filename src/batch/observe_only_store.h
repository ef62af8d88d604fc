#ifndef SRC_BATCH_OBSERVE_ONLY_STORE_H_
#define SRC_BATCH_OBSERVE_ONLY_STORE_H_

#include <optional>
#include <string>
#include <utility>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/store/object_store.h"

namespace kumquatgauge::batch::detail {

// Store wrapper for a LeaseKeeper. Unless writable, it refuses the write that
// would take the lease, so that a standby can observe the lease without taking
// it. Also tracks how long the lease has been unchanged.
class ObserveOnlyStore : public store::ObjectStore {
 public:
  ObserveOnlyStore(store::ObjectStore& store, Clock clock)
      : store_(store), clock_(std::move(clock)) {}

  auto set_writable(bool writable) -> void { writable_ = writable; }
  auto unchanged_for() const -> Duration {
    return last_version_ ? clock_() - changed_at_ : Duration(0);
  }

  auto Read(std::string key, store::CallClass call_class)
      -> boost::asio::awaitable<std::optional<store::StoredObject>> override {
    auto found = co_await store_.Read(std::move(key), call_class);
    const auto version = found ? std::optional(found->version) : std::nullopt;
    if (version != last_version_) {
      last_version_ = version;
      changed_at_ = clock_();
    }
    co_return found;
  }

  auto Write(std::string key,
             std::string value,
             std::optional<std::uint64_t> expected_version,
             store::CallClass call_class)
      -> boost::asio::awaitable<std::uint64_t> override {
    if (!writable_) {
      throw Error(ErrorKind::kUnavailable, "lease is only observed", key,
                  "wait until this node is the shard's owner");
    }
    co_return co_await store_.Write(std::move(key), std::move(value),
                                    expected_version, call_class);
  }

  auto Remove(std::string key,
              std::uint64_t expected_version,
              store::CallClass call_class)
      -> boost::asio::awaitable<void> override {
    co_await store_.Remove(std::move(key), expected_version, call_class);
  }

  auto List(std::string prefix,
            std::string after,
            std::size_t limit,
            store::CallClass call_class)
      -> boost::asio::awaitable<store::ListPage> override {
    co_return co_await store_.List(std::move(prefix), std::move(after), limit,
                                   call_class);
  }

  auto Watch(std::string prefix,
             std::uint64_t since,
             std::chrono::milliseconds timeout)
      -> boost::asio::awaitable<store::WatchBatch> override {
    co_return co_await store_.Watch(std::move(prefix), since, timeout);
  }

 private:
  store::ObjectStore& store_;
  Clock clock_;
  bool writable_ = false;
  std::optional<std::uint64_t> last_version_;
  MonotonicTime changed_at_;
};

}  // namespace kumquatgauge::batch::detail

#endif  // SRC_BATCH_OBSERVE_ONLY_STORE_H_
