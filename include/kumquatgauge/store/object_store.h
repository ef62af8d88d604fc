#ifndef KUMQUATGAUGE_STORE_OBJECT_STORE_H_
#define KUMQUATGAUGE_STORE_OBJECT_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquatgauge::store {

// Largest value that the platform stores, in bytes.
inline constexpr std::size_t kMaxValueBytes = 1'000'000;

// Classes of platform calls, most urgent first. The rate limiter serves a more
// urgent class before a less urgent one. Reads of class kStatus may be answered
// with data that is seconds old, which costs the platform less.
enum class CallClass { kLease, kClaim, kResult, kConfiguration, kStatus };

struct StoredObject {
  std::string value;
  std::uint64_t version = 0;

  auto operator==(const StoredObject&) const -> bool = default;
};

struct ListEntry {
  std::string key;
  std::uint64_t version = 0;
  // Set by stores whose listing includes the values.
  std::optional<std::string> value = {};

  auto operator==(const ListEntry&) const -> bool = default;
};

struct ListPage {
  std::vector<ListEntry> entries;  // Ordered by key.
  std::uint64_t revision = 0;      // From which a watch may start.
  bool more = false;               // Entries follow the last key.

  auto operator==(const ListPage&) const -> bool = default;
};

struct WatchEvent {
  std::string key;
  std::uint64_t version = 0;  // 0: the object was removed.
  std::uint64_t revision = 0;
  // Set by stores whose events include the values.
  std::optional<std::string> value = {};

  auto operator==(const WatchEvent&) const -> bool = default;
};

struct WatchBatch {
  std::vector<WatchEvent> events;
  std::uint64_t revision = 0;

  auto operator==(const WatchBatch&) const -> bool = default;
};

// The platform's object API: values of up to kMaxValueBytes with versions,
// conditional updates and watches. All calls run on the control thread and end
// within the client's timeout. Errors of every call:
//   kUnavailable, kTimeout, kOverloaded: the call had no effect.
//   kUnknownOutcome: a write may have taken effect; read the object back.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  // Returns nothing when there is no such object.
  virtual auto Read(std::string key, CallClass call_class)
      -> boost::asio::awaitable<std::optional<StoredObject>> = 0;

  // Stores `value` if the object's version is `expected_version`; without one,
  // if there is no such object. Returns the new version. Throws kConflict when
  // the version differs.
  virtual auto Write(std::string key,
                     std::string value,
                     std::optional<std::uint64_t> expected_version,
                     CallClass call_class)
      -> boost::asio::awaitable<std::uint64_t> = 0;

  // Removes the object if its version is `expected_version`. Throws kConflict
  // when it differs and kNotFound when there is none.
  virtual auto Remove(std::string key,
                      std::uint64_t expected_version,
                      CallClass call_class) -> boost::asio::awaitable<void> = 0;

  // Lists up to `limit` keys that start with `prefix` and follow `after`.
  virtual auto List(std::string prefix,
                    std::string after,
                    std::size_t limit,
                    CallClass call_class)
      -> boost::asio::awaitable<ListPage> = 0;

  // Waits up to `timeout` for changes under `prefix` after `since`. Throws
  // kNotFound when the store no longer keeps the history since then; the caller
  // must list again.
  virtual auto Watch(std::string prefix,
                     std::uint64_t since,
                     std::chrono::milliseconds timeout)
      -> boost::asio::awaitable<WatchBatch> = 0;
};

}  // namespace kumquatgauge::store

#endif  // KUMQUATGAUGE_STORE_OBJECT_STORE_H_
