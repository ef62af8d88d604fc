#ifndef NODE_MEMBERSHIP_CODEC_H_
#define NODE_MEMBERSHIP_CODEC_H_

#include <nlohmann/json_fwd.hpp>

#include "kumquatgauge/control/feed_relay.h"
#include "kumquatgauge/control/membership.h"

// Conversions between control messages and MessagePack maps. Field names have
// one letter because heartbeats make up most of the control traffic (3 KB/s per
// node). Decoding throws Error(kInvalidArgument) and ignores unknown fields.
namespace kumquatgauge::node::detail {

auto EncodeDatagram(const control::MembershipMessage& message,
                    const control::FeedRevisions& revisions) -> nlohmann::json;
// Returns true for membership messages and false for other types such as
// "load".
auto IsMembershipDatagram(const nlohmann::json& datagram) -> bool;
auto DecodeMembership(const nlohmann::json& datagram)
    -> control::MembershipMessage;
auto DecodeRevisions(const nlohmann::json& datagram) -> control::FeedRevisions;

auto EncodeSyncRequest(const control::SyncRequest& request) -> nlohmann::json;
auto DecodeSyncRequest(const nlohmann::json& message) -> control::SyncRequest;
auto EncodeSyncResponse(const control::SyncResponse& response)
    -> nlohmann::json;
auto DecodeSyncResponse(const nlohmann::json& message) -> control::SyncResponse;

}  // namespace kumquatgauge::node::detail

#endif  // NODE_MEMBERSHIP_CODEC_H_
