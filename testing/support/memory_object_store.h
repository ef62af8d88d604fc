#ifndef TESTING_SUPPORT_MEMORY_OBJECT_STORE_H_
#define TESTING_SUPPORT_MEMORY_OBJECT_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "kumquatgauge/store/object_store.h"

namespace kumquatgauge::testing {

// The fault that a hook injects into a call.
enum class StoreFault {
  kNone,
  kUnavailable,      // Fails with kUnavailable, no effect.
  kLoseAnswer,       // Takes effect, then fails with kUnknownOutcome.
  kUnknownNoEffect,  // Has no effect and fails with kUnknownOutcome.
};

// An ObjectStore in memory for tests. Calls complete immediately, except for a
// Watch without new events, which waits for its timeout.
class MemoryObjectStore : public store::ObjectStore {
 public:
  // Called before each write or remove ("write", key) and read ("read", key).
  using FaultHook = std::function<
      auto(const std::string& call, const std::string& key)->StoreFault>;

  auto set_fault_hook(FaultHook hook) -> void { fault_ = std::move(hook); }
  auto write_count() const -> std::uint64_t { return writes_; }
  auto read_count() const -> std::uint64_t { return reads_; }
  auto objects() const -> const std::map<std::string, store::StoredObject>& {
    return objects_;
  }

  auto Read(std::string key, store::CallClass call_class)
      -> boost::asio::awaitable<std::optional<store::StoredObject>> override;
  auto Write(std::string key,
             std::string value,
             std::optional<std::uint64_t> expected_version,
             store::CallClass call_class)
      -> boost::asio::awaitable<std::uint64_t> override;
  auto Remove(std::string key,
              std::uint64_t expected_version,
              store::CallClass call_class)
      -> boost::asio::awaitable<void> override;
  auto List(std::string prefix,
            std::string after,
            std::size_t limit,
            store::CallClass call_class)
      -> boost::asio::awaitable<store::ListPage> override;
  auto Watch(std::string prefix,
             std::uint64_t since,
             std::chrono::milliseconds timeout)
      -> boost::asio::awaitable<store::WatchBatch> override;

 private:
  auto CheckFault(const std::string& call, const std::string& key)
      -> StoreFault;

  std::map<std::string, store::StoredObject> objects_;
  std::map<std::string, store::WatchEvent> last_events_;
  std::uint64_t revision_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t reads_ = 0;
  FaultHook fault_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_MEMORY_OBJECT_STORE_H_
