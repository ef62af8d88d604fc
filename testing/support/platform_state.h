#ifndef TESTING_SUPPORT_PLATFORM_STATE_H_
#define TESTING_SUPPORT_PLATFORM_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "kumquatgauge/base/time.h"
#include "kumquatgauge/store/object_store.h"

namespace kumquatgauge::testing {

// Objects, watch events and the host list of a platform, without I/O. An
// object's version counts its changes and keeps counting after a removal.
class PlatformState {
 public:
  enum class Change { kDone, kVersionDiffers, kNotFound };

  struct Result {
    Change change = Change::kDone;
    std::uint64_t version = 0;  // The current one after the call.
  };

  // The object as it was at `time`, at most kLongestHistory ago.
  auto Get(const std::string& key, MonotonicTime time) const
      -> std::optional<store::StoredObject>;
  // Creates when `expected` is empty, otherwise replaces that version.
  auto Put(const std::string& key,
           std::string value,
           std::optional<std::uint64_t> expected,
           MonotonicTime now) -> Result;
  // Removes that version; any version when `expected` is empty.
  auto Remove(const std::string& key,
              std::optional<std::uint64_t> expected,
              MonotonicTime now) -> Result;
  auto List(const std::string& prefix,
            const std::string& after,
            std::size_t limit) const -> store::ListPage;
  // The last event of each key under `prefix` after revision `since`.
  auto Events(const std::string& prefix, std::uint64_t since) const
      -> store::WatchBatch;
  auto revision() const -> std::uint64_t { return revision_; }
  auto object_count() const -> std::size_t { return object_count_; }

  // Sets the hosts as in PUT /hosts.
  auto SetHosts(nlohmann::json hosts, MonotonicTime now) -> void;
  // {"version", "hosts"} as it was at `time`.
  auto Hosts(MonotonicTime time) const -> nlohmann::json;

  // Removes all objects and restarts the revisions, like a platform that is
  // restored empty.
  auto Clear() -> void;

 private:
  struct HistoryEntry {
    MonotonicTime from;
    std::optional<std::string> value;  // Empty: removed.
    std::uint64_t version = 0;
  };
  struct Object {
    std::deque<HistoryEntry> history;  // Never empty; the last one is current.
    std::uint64_t revision = 0;
  };

  auto Record(const std::string& key,
              std::optional<std::string> value,
              MonotonicTime now) -> std::uint64_t;

  std::map<std::string, Object> objects_;
  std::uint64_t revision_ = 0;
  std::size_t object_count_ = 0;
  std::deque<std::pair<MonotonicTime, nlohmann::json>> hosts_;
  std::uint64_t hosts_version_ = 0;
};

// The longest time by which stale reads and the host list may lag.
inline constexpr auto kLongestHistory = std::chrono::seconds(60);

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_PLATFORM_STATE_H_
