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
// Entries of the log in config/head before it is moved to a snapshot and an
// audit object.
inline constexpr std::size_t kMaxLogEntries = 64;
// Keeps a full log, with values before and after, under the platform's 1 MB.
inline constexpr std::size_t kMaxEntryBytes = 4'000;
inline constexpr std::size_t kMaxTextBytes = 1'000;
// A repeated operation id is recognised among this many changes before the log:
// half a day of changes at the target scale, in about 50 KB.
inline constexpr std::size_t kMaxRememberedOperations = 1'024;
inline constexpr auto kAuditRetention = std::chrono::hours(24 * 90);

struct ChangeRequest {
  std::string key;       // "KIND/NAME"
  nlohmann::json value;  // null removes the key
  // Revision that last changed the key as the requester knows it; 0: the key
  // does not exist. Without one the change is unconditional.
  std::optional<std::uint64_t> expected_revision;
  std::string operation;  // Id chosen by the requester; the same when repeated.
  std::string who;
  std::string from;  // Address of the requester.
  std::string command;
};

// One accepted change; an entry of the log and its audit record.
struct AuditRecord {
  std::uint64_t revision = 0;
  std::string operation;
  std::string who;
  std::int64_t when_ms = 0;  // Wall clock of the writer, since the epoch.
  std::string from;
  std::string command;
  std::string key;
  nlohmann::json before;  // null: there was none
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
  std::uint64_t head_version = 0;  // Of the object as read; 0: none.
  // The platform showed a lower revision than this node has seen before: a
  // stale read, or a platform that has lost data.
  bool behind = false;
};

// The configuration and its audit trail in the object store; docs/design.md,
// section 10. Several calls may be under way at once.
class ConfigStore {
 public:
  ConfigStore(store::ObjectStore& store,
              WallClock wall_clock,
              RandomSource random);

  // Reads the current configuration. Never returns a lower revision than
  // before; `behind` says that the platform did. Throws kNotFound when the
  // snapshot is not visible yet; retry.
  auto Load() -> boost::asio::awaitable<LoadedConfiguration>;

  // Appends one change and returns its record, or the first result of the same
  // operation id. Errors:
  //   kInvalidArgument: the change is not valid.
  //   kConflict: the key is not at the expected revision; names the winner.
  //   kUnavailable, kTimeout, kOverloaded: not applied and will not be.
  //   kUnknownOutcome: repeat it with the same operation id to find out.
  auto Append(ChangeRequest request) -> boost::asio::awaitable<AuditRecord>;

  // Records that match, the newest first.
  auto ReadAudit(AuditFilter filter)
      -> boost::asio::awaitable<std::vector<AuditRecord>>;

  // Removes audit objects whose records are all older than kAuditRetention and
  // snapshots that no reader needs; at most `limit` objects. Returns how many.
  auto Sweep(std::size_t limit) -> boost::asio::awaitable<std::size_t>;

  // The highest configuration seen so far.
  auto latest() const -> const Configuration& { return latest_; }
  // Brings latest() forward to what a peer has.
  auto Advance(const Configuration& configuration) -> void;

 private:
  struct Head {
    std::uint64_t revision = 0;
    std::uint64_t snapshot = 0;
    std::vector<AuditRecord> log;
    // Operation ids and revisions of changes before the log.
    std::deque<std::pair<std::string, std::uint64_t>> operations;
    std::optional<std::uint64_t> version;  // Of the object; empty: none.
  };
  // The progress of one Append.
  struct Attempt {
    // An older head than this version is a stale read.
    std::uint64_t oldest_version = 0;
    // Version over which a write was sent whose answer was lost. Only a newer
    // head tells whether it took effect.
    std::optional<std::uint64_t> unresolved_version;
    // The last head showed less than this node has seen.
    bool behind = false;
    std::string last_reason;  // Why the last try came to nothing.
  };
  struct Refusal {
    Error error;
    // True of every newer head too. Otherwise the head that it rests on must
    // be confirmed: after a stale read, a repeated change that was applied, or
    // that is still under way, would be refused.
    bool final = false;
  };

  auto ReadHead() -> boost::asio::awaitable<Head>;
  auto ConfigurationOf(const Head& head)
      -> boost::asio::awaitable<Configuration>;
  auto TryAppend(const ChangeRequest& request, Attempt& attempt)
      -> boost::asio::awaitable<std::optional<AuditRecord>>;
  // Writes the head again as it is. Returns whether it was current; then no
  // earlier write that is still under way can take effect any more.
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
  // Notes a conflict or an unknown outcome; throws other errors on.
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
