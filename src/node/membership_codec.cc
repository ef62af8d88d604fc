#include "node/membership_codec.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "node/message_fields.h"

namespace kumquatgauge::node::detail {
namespace {

using control::FeedRevisions;
using control::MemberRecord;
using control::MembershipMessage;
using control::MembershipMessageType;
using control::MemberState;
using nlohmann::json;

constexpr std::array<std::pair<MembershipMessageType, std::string_view>, 5>
    kTypes = {{
        {MembershipMessageType::kHeartbeat, "h"},
        {MembershipMessageType::kProbe, "p"},
        {MembershipMessageType::kProbeRequest, "q"},
        {MembershipMessageType::kProbeReply, "r"},
        {MembershipMessageType::kNotice, "n"},
    }};

// Limit on records per message; a table at the target scale has a few hundred.
constexpr std::size_t kMaxRecords = 20000;

auto EncodeRecord(const MemberRecord& record) -> json {
  const auto& info = record.info;
  json message = {{"n", info.id.value()},
                  {"i", info.incarnation},
                  {"z", info.zone.value()},
                  {"a", info.node_address},
                  {"c", info.caller_address}};
  if (record.state != MemberState::kAlive) {
    message["s"] = static_cast<unsigned>(record.state);
  }
  if (record.state == MemberState::kDead) {
    message["b"] = record.cause.declared_by.value();
    message["d"] = record.cause.declarer_incarnation;
    message["q"] = record.cause.silence.count();
    message["p"] = record.cause.probers;
  }
  if (record.age.count() > 0) {
    message["g"] = record.age.count();
  }
  return message;
}

auto DecodeRecord(const json& message) -> MemberRecord {
  MemberRecord record;
  auto& info = record.info;
  Read(message, "n", info.id);
  Read(message, "i", info.incarnation);
  Read(message, "z", info.zone);
  Read(message, "a", info.node_address);
  Read(message, "c", info.caller_address);
  std::uint32_t state = 0;
  Read(message, "s", state);
  if (state > static_cast<std::uint32_t>(MemberState::kLeft)) {
    throw Malformed("state " + std::to_string(state));
  }
  record.state = static_cast<MemberState>(state);
  info.leaving = record.state != MemberState::kAlive;
  Read(message, "b", record.cause.declared_by);
  Read(message, "d", record.cause.declarer_incarnation);
  std::uint32_t silence = 0;
  Read(message, "q", silence);
  record.cause.silence = std::chrono::milliseconds(silence);
  Read(message, "p", record.cause.probers);
  std::uint32_t age = 0;
  Read(message, "g", age);
  record.age = std::chrono::seconds(age);
  return record;
}

auto EncodeRecords(const std::vector<MemberRecord>& records) -> json {
  auto list = json::array();
  for (const auto& record : records) {
    list.push_back(EncodeRecord(record));
  }
  return list;
}

auto DecodeRecords(const json& message, const char* name)
    -> std::vector<MemberRecord> {
  std::vector<MemberRecord> records;
  if (const auto* list = Find(message, name)) {
    if (!list->is_array() || list->size() > kMaxRecords) {
      throw Malformed(name);
    }
    for (const auto& item : *list) {
      records.push_back(DecodeRecord(item));
    }
  }
  return records;
}

}  // namespace

auto EncodeDatagram(const MembershipMessage& message,
                    const FeedRevisions& revisions) -> json {
  json datagram = {
      {"t", kTypes.at(static_cast<std::size_t>(message.type)).second},
      {"f", message.from.value()},
      {"i", message.incarnation}};
  if (!message.subject.empty()) {
    datagram["s"] = message.subject.value();
    datagram["j"] = message.subject_incarnation;
  }
  if (!message.records.empty()) {
    datagram["r"] = EncodeRecords(message.records);
  }
  if (!revisions.empty()) {
    datagram["c"] = revisions;
  }
  return datagram;
}

auto IsMembershipDatagram(const json& datagram) -> bool {
  std::string type;
  Read(datagram, "t", type);
  return std::any_of(kTypes.begin(), kTypes.end(),
                     [&](const auto& item) { return item.second == type; });
}

auto DecodeMembership(const json& datagram) -> MembershipMessage {
  MembershipMessage message;
  Read(datagram, "t", kTypes, message.type);
  Read(datagram, "f", message.from);
  Read(datagram, "i", message.incarnation);
  Read(datagram, "s", message.subject);
  Read(datagram, "j", message.subject_incarnation);
  message.records = DecodeRecords(datagram, "r");
  if (message.from.empty()) {
    throw Malformed("no sender");
  }
  return message;
}

auto DecodeRevisions(const json& datagram) -> FeedRevisions {
  FeedRevisions revisions;
  if (const auto* field = Find(datagram, "c")) {
    if (!field->is_object()) {
      throw Malformed("c");
    }
    for (const auto& [name, value] : field->items()) {
      Read(*field, name.c_str(), revisions[name]);
    }
  }
  return revisions;
}

auto EncodeSyncRequest(const control::SyncRequest& request) -> json {
  return {{"self", EncodeRecord(request.self)},
          {"hash", request.table_hash},
          {"offered", EncodeRecords(request.offered)}};
}

auto DecodeSyncRequest(const json& message) -> control::SyncRequest {
  control::SyncRequest request;
  if (const auto* self = Find(message, "self")) {
    request.self = DecodeRecord(*self);
  }
  Read(message, "hash", request.table_hash);
  request.offered = DecodeRecords(message, "offered");
  return request;
}

auto EncodeSyncResponse(const control::SyncResponse& response) -> json {
  return {{"equal", response.equal},
          {"records", EncodeRecords(response.records)}};
}

auto DecodeSyncResponse(const json& message) -> control::SyncResponse {
  control::SyncResponse response;
  Read(message, "equal", response.equal);
  response.records = DecodeRecords(message, "records");
  return response;
}

}  // namespace kumquatgauge::node::detail
