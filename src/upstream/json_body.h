#ifndef UPSTREAM_JSON_BODY_H_
#define UPSTREAM_JSON_BODY_H_

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace kumquatgauge::upstream::detail {

// Deeper JSON is rejected: copying and serialising a value recurse once per
// level, so a small body of nested brackets would overflow the stack.
inline constexpr int kMaxJsonDepth = 64;

// Parses a JSON object from an untrusted source; throws
// Error(kInvalidArgument).
auto ParseJsonObject(std::string_view text) -> nlohmann::json;

}  // namespace kumquatgauge::upstream::detail

#endif  // UPSTREAM_JSON_BODY_H_
