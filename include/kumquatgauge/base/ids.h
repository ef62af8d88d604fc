#ifndef KUMQUATGAUGE_BASE_IDS_H_
#define KUMQUATGAUGE_BASE_IDS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace kumquatgauge {

// A string with a distinct type per `Tag`, so that identifiers of different
// kinds cannot be mixed up. Immutable.
template <typename Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string value) : value_(std::move(value)) {}

  auto value() const -> const std::string& { return value_; }
  auto empty() const -> bool { return value_.empty(); }

  auto operator==(const StringId&) const -> bool = default;
  auto operator<=>(const StringId&) const = default;

 private:
  std::string value_;
};

using NodeId = StringId<struct NodeIdTag>;
using ReplicaId = StringId<struct ReplicaIdTag>;
using ServiceName = StringId<struct ServiceNameTag>;
using OrganisationName = StringId<struct OrganisationNameTag>;
using ZoneName = StringId<struct ZoneNameTag>;
using JobId = StringId<struct JobIdTag>;
using RequestId = StringId<struct RequestIdTag>;

// Start time of a node process in microseconds since the epoch. A restarted
// node has a larger one; messages of an older incarnation are ignored.
using Incarnation = std::uint64_t;

}  // namespace kumquatgauge

template <typename Tag>
struct std::hash<kumquatgauge::StringId<Tag>> {
  auto operator()(const kumquatgauge::StringId<Tag>& id) const -> std::size_t {
    return std::hash<std::string>()(id.value());
  }
};

#endif  // KUMQUATGAUGE_BASE_IDS_H_
