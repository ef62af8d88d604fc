#include "kumquatgauge/control/config_store.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <iomanip>
#include <sstream>

namespace kumquatgauge::control {
namespace {

using boost::asio::awaitable;
using nlohmann::json;
using store::CallClass;

constexpr auto kSnapshotPrefix = "config/snapshot/";
constexpr auto kAuditPrefix = "audit/";
constexpr auto kRevisionDigits = 12;
constexpr std::size_t kListLimit = 1'000;
// Repeated conflicts occur only while several operators write concurrently.
// Each attempt costs two platform calls.
constexpr std::size_t kMaxAttempts = 12;
constexpr auto kInitialBackoff = std::chrono::milliseconds(5);
// Keeps a snapshot under the platform's object limit of 1 MB, with space for
// tombstones.
constexpr std::size_t kMaxSnapshotBytes = 900'000;

auto Pad(std::uint64_t revision) -> std::string {
  auto out = std::ostringstream();
  out << std::setw(kRevisionDigits) << std::setfill('0') << revision;
  return out.str();
}

auto SnapshotKey(std::uint64_t revision) -> std::string {
  return kSnapshotPrefix + Pad(revision);
}

auto AuditKey(std::uint64_t first, std::uint64_t last) -> std::string {
  return kAuditPrefix + Pad(first) + "-" + Pad(last);
}

struct RevisionRange {
  std::uint64_t first = 0;
  std::uint64_t last = 0;
};

// Returns the revision range in the name of an audit object; empty for other
// names.
auto ParseAuditKey(std::string_view key) -> std::optional<RevisionRange> {
  key.remove_prefix(
      std::min(key.size(), std::string_view(kAuditPrefix).size()));
  auto range = RevisionRange();
  const auto* end = key.data() + key.size();
  const auto first = std::from_chars(key.data(), end, range.first);
  if (first.ec != std::errc() || first.ptr == end || *first.ptr != '-') {
    return std::nullopt;
  }
  const auto last = std::from_chars(first.ptr + 1, end, range.last);
  if (last.ec != std::errc() || last.ptr != end) {
    return std::nullopt;
  }
  return range;
}

auto ThrowMalformed(const std::string& object, const std::string& reason)
    -> void {
  throw Error(ErrorKind::kInternal, "malformed object (" + reason + ")", object,
              "restore it from the last snapshot and the audit objects");
}

// Returns the delta that applies one record.
auto ToDelta(const AuditRecord& record) -> ConfigDelta {
  return ConfigDelta{.from = record.revision - 1,
                     .to = record.revision,
                     .changes = {{.key = record.key,
                                  .value = record.after,
                                  .revision = record.revision}}};
}

auto CheckText(const char* field, const std::string& text) -> void {
  if (text.size() > kMaxTextBytes) {
    throw Error(
        ErrorKind::kInvalidArgument,
        std::string(field) + " has " + std::to_string(text.size()) + " bytes",
        "configuration change", "use at most " + std::to_string(kMaxTextBytes));
  }
}

auto CheckRequest(const ChangeRequest& request) -> void {
  Configuration::CheckValue(EntryKey::Parse(request.key), request.value);
  if (request.operation.empty()) {
    throw Error(ErrorKind::kInvalidArgument, "operation id is missing",
                request.key, "choose one id per change");
  }
  CheckText("operation", request.operation);
  CheckText("who", request.who);
  CheckText("from", request.from);
  CheckText("command", request.command);
  const auto bytes = request.value.dump().size();
  if (bytes > kMaxEntryBytes) {
    throw Error(ErrorKind::kInvalidArgument,
                "value has " + std::to_string(bytes) + " bytes", request.key,
                "use at most " + std::to_string(kMaxEntryBytes));
  }
}

auto Matches(const AuditRecord& record, const AuditFilter& filter) -> bool {
  return (!filter.key || record.key == *filter.key) &&
         (!filter.who || record.who == *filter.who) &&
         (!filter.operation || record.operation == *filter.operation) &&
         record.revision >= filter.first_revision &&
         record.revision <= filter.last_revision &&
         record.when_ms >= filter.since_ms;
}

// Returns whether an error of this kind guarantees that the call had no effect.
auto HadNoEffect(ErrorKind kind) -> bool {
  return kind == ErrorKind::kUnavailable || kind == ErrorKind::kTimeout ||
         kind == ErrorKind::kOverloaded;
}

auto SnapshotText(const Configuration& configuration) -> std::string {
  return ToJson(configuration.ChangesSince(0)).dump();
}

}  // namespace

auto ToJson(const AuditRecord& record) -> json {
  return {{"revision", record.revision}, {"operation", record.operation},
          {"who", record.who},           {"when_ms", record.when_ms},
          {"from", record.from},         {"command", record.command},
          {"key", record.key},           {"before", record.before},
          {"after", record.after}};
}

auto ParseAuditRecord(const json& text) -> AuditRecord {
  return AuditRecord{.revision = text.at("revision").get<std::uint64_t>(),
                     .operation = text.at("operation").get<std::string>(),
                     .who = text.at("who").get<std::string>(),
                     .when_ms = text.at("when_ms").get<std::int64_t>(),
                     .from = text.at("from").get<std::string>(),
                     .command = text.at("command").get<std::string>(),
                     .key = text.at("key").get<std::string>(),
                     .before = text.at("before"),
                     .after = text.at("after")};
}

ConfigStore::ConfigStore(store::ObjectStore& store,
                         WallClock wall_clock,
                         RandomSource random)
    : store_(store),
      wall_clock_(std::move(wall_clock)),
      random_(std::move(random)) {}

auto ConfigStore::ParseHead(const std::string& text) -> Head {
  auto head = Head();
  try {
    const auto parsed = json::parse(text);
    head.revision = parsed.at("revision").get<std::uint64_t>();
    head.snapshot = parsed.at("snapshot").get<std::uint64_t>();
    for (const auto& record : parsed.at("log")) {
      head.log.push_back(ParseAuditRecord(record));
    }
    for (const auto& operation : parsed.at("operations")) {
      head.operations.emplace_back(operation.at(0).get<std::string>(),
                                   operation.at(1).get<std::uint64_t>());
    }
  } catch (const json::exception& error) {
    ThrowMalformed(kConfigHeadKey, error.what());
  }
  return head;
}

auto ConfigStore::FormatHead(const Head& head) -> std::string {
  auto log = json::array();
  for (const auto& record : head.log) {
    log.push_back(ToJson(record));
  }
  auto operations = json::array();
  for (const auto& [operation, revision] : head.operations) {
    operations.push_back(json::array({operation, revision}));
  }
  return json{{"revision", head.revision},
              {"snapshot", head.snapshot},
              {"log", log},
              {"operations", operations}}
      .dump();
}

auto ConfigStore::ReadHead() -> awaitable<Head> {
  auto key = std::string(kConfigHeadKey);
  const auto stored =
      co_await store_.Read(std::move(key), CallClass::kConfiguration);
  if (!stored) {
    co_return Head();
  }
  auto head = ParseHead(stored->value);
  head.version = stored->version;
  co_return head;
}

auto ConfigStore::Advance(const Configuration& configuration) -> void {
  if (configuration.revision() > latest_.revision()) {
    latest_ = configuration;
  }
}

auto ConfigStore::ConfigurationOf(const Head& head)
    -> awaitable<Configuration> {
  auto configuration = latest_;
  const auto usable = configuration.revision() >= head.snapshot &&
                      configuration.revision() <= head.revision;
  if (!usable) {
    configuration = Configuration();
    if (head.snapshot > 0) {
      auto key = SnapshotKey(head.snapshot);
      const auto stored = co_await store_.Read(key, CallClass::kConfiguration);
      if (!stored) {
        // The read was stale, or the head is so old that its snapshot was
        // removed.
        throw Error(ErrorKind::kNotFound, "the snapshot does not exist", key,
                    "retry");
      }
      const auto parsed = json::parse(stored->value, nullptr, false);
      configuration = configuration.Apply(ParseConfigDelta(parsed));
    }
  }
  for (const auto& record : head.log) {
    configuration = configuration.Apply(ToDelta(record));
  }
  co_return configuration;
}

auto ConfigStore::Load() -> awaitable<LoadedConfiguration> {
  const auto head = co_await ReadHead();
  auto loaded = LoadedConfiguration();
  loaded.head_version = head.version.value_or(0);
  loaded.behind = head.revision < latest_.revision();
  if (head.revision > latest_.revision()) {
    const auto configuration = co_await ConfigurationOf(head);
    Advance(configuration);
  }
  loaded.configuration = latest_;
  co_return loaded;
}

auto ConfigStore::BackOff(std::size_t attempt) -> awaitable<void> {
  const auto longest =
      kInitialBackoff * (std::size_t{1} << std::min<std::size_t>(attempt, 5));
  const auto jitter = std::chrono::microseconds(
      random_() %
      static_cast<std::uint64_t>(std::chrono::microseconds(longest).count()));
  auto timer = boost::asio::steady_timer(
      co_await boost::asio::this_coro::executor, jitter);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

auto ConfigStore::Append(ChangeRequest request) -> awaitable<AuditRecord> {
  CheckRequest(request);
  auto attempt = Attempt();
  for (std::size_t i = 0; i < kMaxAttempts; ++i) {
    if (i > 0) {
      co_await BackOff(i);
    }
    try {
      auto record = co_await TryAppend(request, attempt);
      if (record) {
        co_return std::move(*record);
      }
    } catch (const Error& error) {
      attempt.last_reason = error.what();
      // Every object named by the head exists, so kNotFound is a stale read.
      const auto retry = error.kind() == ErrorKind::kNotFound;
      if (!retry &&
          (!attempt.unresolved_version || !HadNoEffect(error.kind()))) {
        throw;
      }
      if (!retry) {
        break;
      }
    }
  }
  const auto remedy = "repeat it with operation id " + request.operation;
  if (attempt.unresolved_version) {
    throw Error(
        ErrorKind::kUnknownOutcome,
        "the change may have been applied (" + attempt.last_reason + ")",
        request.key, remedy);
  }
  if (attempt.behind) {
    throw Error(
        ErrorKind::kUnavailable,
        "the platform's data is out of date (" + attempt.last_reason + ")",
        request.key, "restore " + std::string(kConfigHeadKey));
  }
  throw Error(ErrorKind::kOverloaded,
              "gave up after " + std::to_string(kMaxAttempts) + " attempts (" +
                  attempt.last_reason + ")",
              request.key, remedy);
}

auto ConfigStore::TryAppend(const ChangeRequest& request, Attempt& attempt)
    -> awaitable<std::optional<AuditRecord>> {
  auto head = co_await ReadHead();
  const auto version = head.version.value_or(0);
  // After a conflict or a lost response at one version, only a newer head shows
  // the outcome. An equal or older head is a stale read, or the lost write has
  // not arrived yet; writing again at that version resolves the latter.
  if (version < attempt.oldest_version) {
    attempt.last_reason = "stale reads";
    co_return std::nullopt;
  }
  if (auto first = co_await FindOperation(head, request.operation)) {
    co_return first;
  }
  if (head.revision < latest_.revision()) {
    attempt.last_reason = "the platform shows revision " +
                          std::to_string(head.revision) + " after " +
                          std::to_string(latest_.revision());
    attempt.behind = true;
    co_return std::nullopt;
  }
  attempt.behind = false;
  auto configuration = co_await ConfigurationOf(head);
  Advance(configuration);
  if (attempt.unresolved_version && version > *attempt.unresolved_version) {
    // The lost write can have no effect now.
    attempt.unresolved_version.reset();
  }
  const auto refusal = FindRefusal(request, head, configuration);
  if (refusal) {
    if (!refusal->final && !co_await ConfirmHead(head, attempt)) {
      co_return std::nullopt;
    }
    throw refusal->error;
  }
  auto record = ToRecord(request, head, configuration);
  const auto next = configuration.Apply(ToDelta(record));
  if (!request.value.is_null() &&
      SnapshotText(next).size() > kMaxSnapshotBytes) {
    throw Error(ErrorKind::kInvalidArgument, "the configuration is full",
                request.key, "delete entries that are no longer used");
  }
  if (head.log.size() >= kMaxLogEntries) {
    co_await Compact(head, configuration);
  }
  head.revision = record.revision;
  head.log.push_back(record);
  auto key = std::string(kConfigHeadKey);
  auto value = FormatHead(head);
  try {
    co_await store_.Write(std::move(key), std::move(value), head.version,
                          CallClass::kConfiguration);
  } catch (const Error& error) {
    RecordFailedWrite(error, version, attempt);
    if (error.kind() == ErrorKind::kUnknownOutcome) {
      attempt.unresolved_version = version;
    }
    co_return std::nullopt;
  }
  Advance(next);
  co_return record;
}

auto ConfigStore::FindOperation(const Head& head, const std::string& operation)
    -> awaitable<std::optional<AuditRecord>> {
  for (const auto& record : head.log) {
    if (record.operation == operation) {
      co_return record;
    }
  }
  for (const auto& [known, revision] : head.operations) {
    if (known != operation) {
      continue;
    }
    auto filter = AuditFilter();
    filter.first_revision = revision;
    filter.last_revision = revision;
    const auto records = co_await ReadAudit(filter);
    if (records.empty()) {
      throw Error(ErrorKind::kNotFound, "the audit record does not exist",
                  "revision " + std::to_string(revision), "retry");
    }
    co_return records.front();
  }
  co_return std::nullopt;
}

auto ConfigStore::ToRecord(const ChangeRequest& request,
                           const Head& head,
                           const Configuration& configuration) const
    -> AuditRecord {
  const auto* before = configuration.Find(request.key);
  const auto when = std::chrono::duration_cast<std::chrono::milliseconds>(
      wall_clock_().time_since_epoch());
  return AuditRecord{.revision = head.revision + 1,
                     .operation = request.operation,
                     .who = request.who,
                     .when_ms = when.count(),
                     .from = request.from,
                     .command = request.command,
                     .key = request.key,
                     .before = before == nullptr ? json() : *before,
                     .after = request.value};
}

auto ConfigStore::RecordFailedWrite(const Error& error,
                                    std::uint64_t version,
                                    Attempt& attempt) -> void {
  attempt.last_reason = error.what();
  if (error.kind() == ErrorKind::kConflict) {
    attempt.oldest_version = version + 1;
  } else if (error.kind() == ErrorKind::kUnknownOutcome) {
    attempt.oldest_version = version;
  } else {
    throw error;
  }
}

auto ConfigStore::ConfirmHead(const Head& head, Attempt& attempt)
    -> awaitable<bool> {
  if (!head.version) {
    co_return true;  // No configuration exists that could contain the change.
  }
  auto key = std::string(kConfigHeadKey);
  auto value = FormatHead(head);
  try {
    co_await store_.Write(std::move(key), std::move(value), head.version,
                          CallClass::kConfiguration);
  } catch (const Error& error) {
    RecordFailedWrite(error, *head.version, attempt);
    co_return false;
  }
  attempt.unresolved_version.reset();
  co_return true;
}

auto ConfigStore::FindRefusal(const ChangeRequest& request,
                              const Head& head,
                              const Configuration& configuration)
    -> std::optional<Refusal> {
  const auto exists = configuration.Find(request.key) != nullptr;
  const auto actual = exists ? configuration.RevisionOf(request.key) : 0;
  if (request.expected_revision && *request.expected_revision != actual) {
    // The head includes the expected revision, and the key has since changed or
    // been removed, so every newer head conflicts too.
    const auto final = *request.expected_revision > 0 &&
                       *request.expected_revision <= head.revision;
    return Refusal{MakeConflict(request, head, actual), final};
  }
  try {
    configuration.CheckReferences(EntryKey::Parse(request.key), request.value);
  } catch (const Error& error) {
    return Refusal{error, false};
  }
  return std::nullopt;
}

auto ConfigStore::MakeConflict(const ChangeRequest& request,
                               const Head& head,
                               std::uint64_t actual) -> Error {
  auto winner = std::string("another change");
  auto last = actual;
  for (const auto& record : head.log) {
    if (record.key == request.key) {
      last = record.revision;
      winner = record.who + " (operation " + record.operation + ", \"" +
               record.command + "\")";
    }
  }
  auto what = std::string("there is no such key");
  if (last > 0) {
    what = std::string("the key was ") + (actual == 0 ? "removed" : "changed") +
           " at revision " + std::to_string(last) + " by " + winner;
  }
  return Error(ErrorKind::kConflict,
               what + ", expected revision " +
                   std::to_string(request.expected_revision.value_or(0)),
               request.key,
               "read it again and repeat the change with expected revision " +
                   std::to_string(actual));
}

auto ConfigStore::Compact(Head& head, const Configuration& configuration)
    -> awaitable<void> {
  auto records = json::array();
  for (const auto& record : head.log) {
    records.push_back(ToJson(record));
  }
  auto snapshot_key = SnapshotKey(head.revision);
  auto snapshot = SnapshotText(configuration);
  co_await CreateImmutable(std::move(snapshot_key), std::move(snapshot));
  auto audit_key = AuditKey(head.log.front().revision, head.revision);
  auto audit = json{{"records", records}}.dump();
  co_await CreateImmutable(std::move(audit_key), std::move(audit));
  for (const auto& record : head.log) {
    head.operations.emplace_back(record.operation, record.revision);
  }
  while (head.operations.size() > kMaxRememberedOperations) {
    head.operations.pop_front();
  }
  head.snapshot = head.revision;
  head.log.clear();
}

auto ConfigStore::CreateImmutable(std::string key, std::string value)
    -> awaitable<void> {
  auto lost = std::string();
  try {
    co_await store_.Write(key, std::move(value), std::nullopt,
                          CallClass::kConfiguration);
  } catch (const Error& error) {
    if (error.kind() == ErrorKind::kConflict) {
      co_return;  // This or another writer already stored the same content.
    }
    if (error.kind() != ErrorKind::kUnknownOutcome) {
      throw;
    }
    lost = error.what();
  }
  if (lost.empty()) {
    co_return;
  }
  const auto stored = co_await store_.Read(key, CallClass::kConfiguration);
  if (!stored) {
    // The change itself was not written, even if this object appears later.
    throw Error(ErrorKind::kUnavailable, "not stored (" + lost + ")", key,
                "repeat the change");
  }
}

auto ConfigStore::ListKeys(std::string prefix)
    -> awaitable<std::vector<store::ListEntry>> {
  auto entries = std::vector<store::ListEntry>();
  while (true) {
    auto after = entries.empty() ? std::string() : entries.back().key;
    const auto page = co_await store_.List(prefix, std::move(after), kListLimit,
                                           CallClass::kStatus);
    entries.insert(entries.end(), page.entries.begin(), page.entries.end());
    if (page.entries.size() < kListLimit) {
      co_return entries;
    }
  }
}

auto ConfigStore::ReadAuditObject(std::string key)
    -> awaitable<std::vector<AuditRecord>> {
  auto records = std::vector<AuditRecord>();
  const auto stored = co_await store_.Read(key, CallClass::kStatus);
  if (!stored) {
    co_return records;
  }
  try {
    const auto parsed = json::parse(stored->value);
    for (const auto& record : parsed.at("records")) {
      records.push_back(ParseAuditRecord(record));
    }
  } catch (const json::exception& error) {
    ThrowMalformed(key, error.what());
  }
  co_return records;
}

auto ConfigStore::ReadAudit(AuditFilter filter)
    -> awaitable<std::vector<AuditRecord>> {
  auto matching = std::vector<AuditRecord>();
  // Collects matches from records in ascending order. Returns whether older
  // records can still match.
  const auto take = [&](const std::vector<AuditRecord>& records) {
    for (auto it = records.rbegin(); it != records.rend(); ++it) {
      if (matching.size() >= filter.limit ||
          it->revision < filter.first_revision) {
        return false;
      }
      if (Matches(*it, filter)) {
        matching.push_back(*it);
      }
    }
    return matching.size() < filter.limit;
  };
  const auto head = co_await ReadHead();
  const auto first_in_log =
      head.log.empty() ? head.revision + 1 : head.log.front().revision;
  if (!take(head.log) || filter.first_revision >= first_in_log) {
    co_return matching;
  }
  const auto entries = co_await ListKeys(kAuditPrefix);
  for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
    const auto range = ParseAuditKey(entry->key);
    // An audit object may exist before the head that trims its records from the
    // log.
    const auto outside = !range || range->first > filter.last_revision ||
                         range->first >= first_in_log;
    if (outside) {
      continue;
    }
    if (range->last < filter.first_revision) {
      break;
    }
    const auto records = co_await ReadAuditObject(entry->key);
    const auto all_older =
        !records.empty() && records.back().when_ms < filter.since_ms;
    if (all_older || !take(records)) {
      break;
    }
  }
  co_return matching;
}

auto ConfigStore::RemoveIfPresent(const store::ListEntry& entry)
    -> awaitable<void> {
  try {
    co_await store_.Remove(entry.key, entry.version, CallClass::kStatus);
  } catch (const Error& error) {
    // Another node may have removed the object; otherwise the next sweep will.
    const auto harmless = error.kind() == ErrorKind::kNotFound ||
                          error.kind() == ErrorKind::kConflict ||
                          error.kind() == ErrorKind::kUnknownOutcome;
    if (!harmless) {
      throw;
    }
  }
}

auto ConfigStore::SweepSnapshots(std::size_t limit) -> awaitable<std::size_t> {
  const auto head = co_await ReadHead();
  const auto entries = co_await ListKeys(kSnapshotPrefix);
  auto removed = std::size_t{0};
  // A reader that holds the previous head may still need the snapshot before
  // the current one.
  for (std::size_t i = 0; i + 2 < entries.size() && removed < limit; ++i) {
    if (entries[i + 1].key >= SnapshotKey(head.snapshot)) {
      break;
    }
    co_await RemoveIfPresent(entries[i]);
    ++removed;
  }
  co_return removed;
}

auto ConfigStore::Sweep(std::size_t limit) -> awaitable<std::size_t> {
  auto removed = co_await SweepSnapshots(limit);
  const auto oldest = std::chrono::duration_cast<std::chrono::milliseconds>(
      (wall_clock_() - kAuditRetention).time_since_epoch());
  const auto entries = co_await ListKeys(kAuditPrefix);
  for (const auto& entry : entries) {
    if (removed >= limit) {
      break;
    }
    const auto records = co_await ReadAuditObject(entry.key);
    if (!records.empty() && records.back().when_ms >= oldest.count()) {
      break;  // All later objects are newer.
    }
    co_await RemoveIfPresent(entry);
    ++removed;
  }
  co_return removed;
}

}  // namespace kumquatgauge::control
