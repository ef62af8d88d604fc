#include "upstream/json_body.h"

#include <nlohmann/json.hpp>
#include <string>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::upstream::detail {
namespace {

auto TooDeep(std::string_view text) -> bool {
  auto depth = 0;
  auto in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto c = text[i];
    if (in_string) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        in_string = false;
      }
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxJsonDepth) {
        return true;
      }
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

}  // namespace

auto ParseJsonObject(std::string_view text) -> nlohmann::json {
  if (TooDeep(text)) {
    throw Error(ErrorKind::kInvalidArgument, "JSON is nested too deeply",
                "request body",
                "nest at most " + std::to_string(kMaxJsonDepth) + " levels");
  }
  auto value = nlohmann::json::parse(text, nullptr, false);
  if (value.is_discarded()) {
    throw Error(ErrorKind::kInvalidArgument, "malformed JSON", "request body",
                "send one valid JSON object");
  }
  if (!value.is_object()) {
    throw Error(ErrorKind::kInvalidArgument, "not a JSON object",
                "request body", "send one JSON object");
  }
  return value;
}

}  // namespace kumquatgauge::upstream::detail
