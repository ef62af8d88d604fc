#ifndef KUMQUATGAUGE_NODE_MESSAGE_H_
#define KUMQUATGAUGE_NODE_MESSAGE_H_

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/routing/completion.h"

namespace kumquatgauge::node {

// Limits on messages from other nodes. A completion contains the caller's body
// and the text generated so far; feeds and member tables are smaller.
inline constexpr std::size_t kMaxRequestBytes = std::size_t{16} << 20;
inline constexpr std::size_t kMaxFrameBytes = std::size_t{16} << 20;
// Deeper nesting is rejected, because decoding recurses once per level.
inline constexpr int kMaxMessageDepth = 32;
// Field of a frame that contains an Error; handlers must not use it.
inline constexpr std::string_view kErrorField = "kqg_error";

// Encodes a message as MessagePack. Adds field "v" if it is absent. Throws
// Error(kInvalidArgument) if `message` is not a map.
auto EncodeMessage(const nlohmann::json& message) -> std::string;
// Decodes the map in `bytes`. Throws Error(kInvalidArgument) unless `bytes` is
// exactly one map whose field "v" is kMessageVersion.
auto DecodeMessage(std::string_view bytes) -> nlohmann::json;
// Like DecodeMessage, but without the check of field "v", for content whose
// version is known.
auto DecodeContent(std::string_view bytes) -> nlohmann::json;

// Conversions between values and messages. Unknown fields are ignored and
// absent fields take their defaults, so that different releases are compatible.
// Decoding throws Error(kInvalidArgument) for a wrong type or an unknown name.
auto ToMessage(const routing::CompletionRequest& request) -> nlohmann::json;
auto ToMessage(const routing::Token& token) -> nlohmann::json;
auto ToMessage(const routing::ReplicaLoad& load) -> nlohmann::json;
auto ToMessage(const routing::DispatchResult& result) -> nlohmann::json;
auto ToMessage(const Error& error) -> nlohmann::json;

auto CompletionRequestFrom(const nlohmann::json& message)
    -> routing::CompletionRequest;
auto TokenFrom(const nlohmann::json& message) -> routing::Token;
auto ReplicaLoadFrom(const nlohmann::json& message) -> routing::ReplicaLoad;
auto DispatchResultFrom(const nlohmann::json& message)
    -> routing::DispatchResult;
auto ErrorFrom(const nlohmann::json& message) -> Error;

}  // namespace kumquatgauge::node

#endif  // KUMQUATGAUGE_NODE_MESSAGE_H_
