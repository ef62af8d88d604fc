#ifndef KUMQUATGAUGE_NODE_MESSAGE_H_
#define KUMQUATGAUGE_NODE_MESSAGE_H_

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/routing/completion.h"

namespace kumquatgauge::node {

// Limits on what is accepted from other nodes. A completion carries the
// caller's body and the text so far; a feed or a member table is smaller.
inline constexpr std::size_t kMaxRequestBytes = std::size_t{16} << 20;
inline constexpr std::size_t kMaxFrameBytes = std::size_t{16} << 20;
// Nesting beyond this is refused: decoding recurses once per level.
inline constexpr int kMaxMessageDepth = 32;
// Field of a frame that carries an Error; handlers must not use it.
inline constexpr std::string_view kErrorField = "kqg_error";

// A message as MessagePack. Field "v" is added when absent; `message` must be a
// map.
auto EncodeMessage(const nlohmann::json& message) -> std::string;
// The map in `bytes`. Throws Error(kInvalidArgument) unless `bytes` is exactly
// one map whose field "v" is kMessageVersion.
auto DecodeMessage(std::string_view bytes) -> nlohmann::json;
// The same without a check of field "v", for content whose version is known.
auto DecodeContent(std::string_view bytes) -> nlohmann::json;

// Values as message fields and back. Unknown fields are ignored and absent ones
// take their default, so that two releases understand each other. Decoding
// throws Error(kInvalidArgument) for a wrong type or an unknown name.
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
