#ifndef KUMQUATGAUGE_CONTROL_CONFIGURATION_H_
#define KUMQUATGAUGE_CONTROL_CONFIGURATION_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatgauge/base/ids.h"

namespace kumquatgauge::control {

enum class EntryKind { kService, kUpstream, kOrganisation, kModel, kSetting };

auto EntryKindName(EntryKind kind) -> std::string_view;

// Key of a configuration entry, written "KIND/NAME".
struct EntryKey {
  EntryKind kind = EntryKind::kSetting;
  std::string name;

  auto ToString() const -> std::string;
  // Throws Error(kInvalidArgument) with the allowed format.
  static auto Parse(std::string_view text) -> EntryKey;

  auto operator<=>(const EntryKey&) const = default;
};

// The last change of one key. A removed key leaves a tombstone for a while, so
// that a peer with an older revision learns of the removal.
struct ConfigEntry {
  std::string key;       // "KIND/NAME"
  nlohmann::json value;  // null: removed
  std::uint64_t revision = 0;

  auto operator==(const ConfigEntry&) const -> bool = default;
};

// Changes that lead from any revision in [from, to) to `to`. If from == 0, the
// delta contains the whole configuration.
struct ConfigDelta {
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  std::vector<ConfigEntry> changes;  // The last change of each key.

  auto operator==(const ConfigDelta&) const -> bool = default;
};

auto ToJson(const ConfigDelta& delta) -> nlohmann::json;
// Throws Error(kInvalidArgument).
auto ParseConfigDelta(const nlohmann::json& json) -> ConfigDelta;

enum class ServiceKind { kModel, kPlain };

// How a dispatcher determines the capacity available to batch work.
enum class BatchRule { kFixedShare, kIdleOnly, kFeedback };

struct ServiceSpec {
  ServiceName name;
  ServiceKind kind = ServiceKind::kModel;
  // Whether a request may run more than once. Default: true for models, false
  // for plain services.
  bool repeatable = true;
  std::vector<std::string> models;  // Model names that callers may ask for.
  std::chrono::milliseconds deadline{30'000};
  double lean = 0.5;  // 0: favours tail latency, 1: favours throughput.
  BatchRule batch_rule = BatchRule::kFeedback;
  double batch_share = 0.2;  // Fraction of the capacity; for kFixedShare.

  auto operator==(const ServiceSpec&) const -> bool = default;
};

struct UpstreamSpec {
  ReplicaId name;
  ServiceName service;
  std::string address;  // "IP:port"
  ZoneName zone;
  std::uint32_t capacity = 1;
  // Whether the engine refuses an order with an old fencing token. `false` is
  // safe for every engine, only slower.
  bool checks_fencing = false;
  bool can_resume = true;
  bool leaving = false;  // Gets no new work; set by `drain upstream`.
  std::vector<std::string> desired_models;  // "MODEL@VERSION", sorted.
  std::string role;                         // Empty: the role is not managed.

  auto operator==(const UpstreamSpec&) const -> bool = default;
};

// 0 means no limit.
struct OrganisationLimits {
  double requests_per_second = 0;
  double tokens_per_second = 0;
  std::uint32_t in_flight = 0;

  auto operator==(const OrganisationLimits&) const -> bool = default;
};

struct OrganisationSpec {
  OrganisationName name;
  double weight = 1;
  OrganisationLimits limits;

  auto operator==(const OrganisationSpec&) const -> bool = default;
};

// Parse the value of one entry. Unknown fields are ignored, so that a node of
// an older release accepts entries of a newer one. Throw
// Error(kInvalidArgument) with the field, the value found and the allowed
// values.
auto ParseService(const std::string& name, const nlohmann::json& value)
    -> ServiceSpec;
auto ParseUpstream(const std::string& name, const nlohmann::json& value)
    -> UpstreamSpec;
auto ParseOrganisation(const std::string& name, const nlohmann::json& value)
    -> OrganisationSpec;

// Number of revisions for which tombstones are kept: half a day of changes at
// the target scale. A peer further behind receives the whole configuration.
inline constexpr std::uint64_t kTombstoneRevisions = 1024;

// The configuration at one revision. Immutable; copies share their entries.
class Configuration {
 public:
  using Entries = std::map<std::string, ConfigEntry>;

  Configuration() : entries_(std::make_shared<const Entries>()) {}

  auto revision() const -> std::uint64_t { return revision_; }
  // Includes tombstones.
  auto entries() const -> const Entries& { return *entries_; }

  // Returns the value of the key, or nullptr if there is none.
  auto Find(const std::string& key) const -> const nlohmann::json*;
  // Returns the revision that last changed or removed the key; 0 if unknown.
  auto RevisionOf(const std::string& key) const -> std::uint64_t;

  auto ChangesSince(std::uint64_t revision) const -> ConfigDelta;
  // Returns the configuration with `delta` applied, or an unchanged copy if the
  // delta does not lead to a higher revision. Throws Error(kConflict) if
  // changes between this revision and the delta are missing.
  auto Apply(const ConfigDelta& delta) const -> Configuration;

  // Typed views. Entries that this release cannot parse are omitted and
  // reported by Problems().
  auto Services() const -> std::vector<ServiceSpec>;
  auto Upstreams() const -> std::vector<UpstreamSpec>;
  auto UpstreamsOf(const ServiceName& service) const
      -> std::vector<UpstreamSpec>;
  auto Organisations() const -> std::vector<OrganisationSpec>;
  auto FindService(const ServiceName& name) const -> std::optional<ServiceSpec>;
  auto FindUpstream(const ReplicaId& name) const -> std::optional<UpstreamSpec>;
  // Returns default values for an organisation without an entry.
  auto FindOrganisation(const OrganisationName& name) const -> OrganisationSpec;
  auto Problems() const -> std::vector<std::string>;

  // Throws Error(kInvalidArgument) if any field of `value` is unknown or not
  // valid for the key. A null value is a removal and always valid.
  static auto CheckValue(const EntryKey& key, const nlohmann::json& value)
      -> void;
  // Throws Error(kInvalidArgument) if the change would leave an upstream
  // without its service.
  auto CheckReferences(const EntryKey& key, const nlohmann::json& value) const
      -> void;

  auto operator==(const Configuration& other) const -> bool {
    return revision_ == other.revision_ && *entries_ == *other.entries_;
  }

 private:
  std::uint64_t revision_ = 0;
  std::shared_ptr<const Entries> entries_;
};

}  // namespace kumquatgauge::control

#endif  // KUMQUATGAUGE_CONTROL_CONFIGURATION_H_
