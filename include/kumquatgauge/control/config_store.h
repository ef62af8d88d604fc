#ifndef KUMQUATGAUGE_CONTROL_CONFIG_STORE_H_
#define KUMQUATGAUGE_CONTROL_CONFIG_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/control/configuration.h"
#include "kumquatgauge/store/object_store.h"

namespace kumquatgauge::control {

inline constexpr auto kConfigHeadKey = "config/head";
// Number of log entries in config/head at which the log is moved to a snapshot
// and an audit object.
inline constexpr std::size_t kMaxLogEntries = 64;
// Keeps a full log, with the old and new values, under the platform's object
// limit of 1 MB.
inline constexpr std::size_t kMaxEntryBytes = 4'000;
inline constexpr std::size_t kMaxTextBytes = 1'000;
// Number of changes older than the log whose operation ids are kept to detect
// repeats: half a day of changes at the target scale, in about 50 KB.
inline constexpr std::size_t kMaxRememberedOperations = 1'024;
inline constexpr auto kAuditRetention = std::chrono::hours(24 * 90);

struct ChangeRequest {
  std::string key;       // "KIND/NAME"
  nlohmann::json value;  // null removes the key
  // Revision that last changed the key, as known to the requester; 0 if the key
  // must not exist. The change is unconditional if this is not set.
  std::optional<std::uint64_t> expected_revision;
  std::string operation;  // Id chosen by the requester; a retry reuses it.
  std::string who;
  std::string from;  // Address of the requester.
  std::string command;
};

// One accepted change. Serves as log entry and as audit record.
struct AuditRecord {
  std::uint64_t revision = 0;
  std::string operation;
  std::string who;
  std::int64_t when_ms = 0;  // Wall clock of the writer, since the epoch.
  std::string from;
  std::string command;
  std::string key;
  nlohmann::json before;  // null: the key did not exist
  nlohmann::json after;   // null: removed

  auto operator==(const AuditRecord&) const -> bool = default;
};

auto ToJson(const AuditRecord& record) -> nlohmann::json;
auto ParseAuditRecord(const nlohmann::json& json) -> AuditRecord;

struct AuditFilter {
  std::optional<std::string> key;
  std::optional<std::string> who;
  std::optional<std::string> operation;
  std::uint64_t first_revision = 0;
  std::uint64_t last_revision = UINT64_MAX;
  std::int64_t since_ms = 0;
  std::size_t limit = 100;
};

struct LoadedConfiguration {
  Configuration configuration;
  std::uint64_t head_version = 0;  // Version of the object read; 0: none.
  // The platform returned a lower revision than this node has seen, because of
  // a stale read or because the platform lost data.
  bool behind = false;
};

// The configuration and its audit trail in the object store; docs/design.md,
// section 10. Calls may overlap.
class ConfigStore {
 public:
  ConfigStore(store::ObjectStore& store,
              WallClock wall_clock,
              RandomSource random);

  // Reads the current configuration. The returned revision never decreases;
  // `behind` is set if the platform returned a lower one. Throws kNotFound if
  // the snapshot is not visible yet; the caller should retry.
  auto Load() -> boost::asio::awaitable<LoadedConfiguration>;

  // Appends one change and returns its record. A repeated operation id returns
  // the first result. Errors:
  //   kInvalidArgument: the change is not valid.
  //   kConflict: the key is not at the expected revision; the message names the
  //     winning change.
  //   kUnavailable, kTimeout, kOverloaded: the change was not applied and will
  //     not be.
  //   kUnknownOutcome: retry with the same operation id to learn the outcome.
  auto Append(ChangeRequest request) -> boost::asio::awaitable<AuditRecord>;

  // Returns the matching records, newest first.
  auto ReadAudit(AuditFilter filter)
      -> boost::asio::awaitable<std::vector<AuditRecord>>;

  // Removes audit objects whose records are all older than kAuditRetention, and
  // snapshots that no reader needs. Removes at most `limit` objects and returns
  // the number removed.
  auto Sweep(std::size_t limit) -> boost::asio::awaitable<std::size_t>;

  // Returns the configuration with the highest revision seen so far.
  auto latest() const -> const Configuration& { return latest_; }
  // Sets latest() to the configuration of a peer if its revision is higher.
  auto Advance(const Configuration& configuration) -> void;

 private:
  struct Head {
    std::uint64_t revision = 0;
    std::uint64_t snapshot = 0;
    std::vector<AuditRecord> log;
    // Operation ids and revisions of changes older than the log.
    std::deque<std::pair<std::string, std::uint64_t>> operations;
    std::optional<std::uint64_t> version;  // Empty if there is no object.
  };
  // State of one Append across its retries.
  struct Attempt {
    // A head with a lower version is a stale read.
    std::uint64_t oldest_version = 0;
    // Base version of a write whose response was lost. Only a newer head shows
    // whether the write took effect.
    std::optional<std::uint64_t> unresolved_version;
    // The last head had a lower revision than this node has seen.
    bool behind = false;
    std::string last_reason;  // Why the last attempt failed.
  };
  struct Refusal {
    Error error;
    // Set if every newer head leads to the same refusal. Otherwise the head
    // must be confirmed first: after a stale read, a repeated change that was
    // already applied or is still in flight would be refused.
    bool final = false;
  };

  auto ReadHead() -> boost::asio::awaitable<Head>;
  auto ConfigurationOf(const Head& head)
      -> boost::asio::awaitable<Configuration>;
  auto TryAppend(const ChangeRequest& request, Attempt& attempt)
      -> boost::asio::awaitable<std::optional<AuditRecord>>;
  // Rewrites the head unchanged. Returns whether it was current; if so, no
  // earlier in-flight write can take effect any more.
  auto ConfirmHead(const Head& head, Attempt& attempt)
      -> boost::asio::awaitable<bool>;
  auto FindOperation(const Head& head, const std::string& operation)
      -> boost::asio::awaitable<std::optional<AuditRecord>>;
  auto Compact(Head& head, const Configuration& configuration)
      -> boost::asio::awaitable<void>;
  auto CreateImmutable(std::string key, std::string value)
      -> boost::asio::awaitable<void>;
  auto ReadAuditObject(std::string key)
      -> boost::asio::awaitable<std::vector<AuditRecord>>;
  auto ListKeys(std::string prefix)
      -> boost::asio::awaitable<std::vector<store::ListEntry>>;
  auto BackOff(std::size_t attempt) -> boost::asio::awaitable<void>;
  auto RemoveIfPresent(const store::ListEntry& entry)
      -> boost::asio::awaitable<void>;
  auto SweepSnapshots(std::size_t limit) -> boost::asio::awaitable<std::size_t>;
  auto ToRecord(const ChangeRequest& request,
                const Head& head,
                const Configuration& configuration) const -> AuditRecord;

  static auto ParseHead(const std::string& text) -> Head;
  static auto FormatHead(const Head& head) -> std::string;
  static auto FindRefusal(const ChangeRequest& request,
                          const Head& head,
                          const Configuration& configuration)
      -> std::optional<Refusal>;
  static auto MakeConflict(const ChangeRequest& request,
                           const Head& head,
                           std::uint64_t actual) -> Error;
  // Records a conflict or an unknown outcome in `attempt`; rethrows any other
  // error.
  static auto RecordFailedWrite(const Error& error,
                                std::uint64_t version,
                                Attempt& attempt) -> void;

  store::ObjectStore& store_;
  WallClock wall_clock_;
  RandomSource random_;
  Configuration latest_;
};

}  // namespace kumquatgauge::control

#endif  // KUMQUATGAUGE_CONTROL_CONFIG_STORE_H_
