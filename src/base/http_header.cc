#include "kumquatgauge/base/http_header.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace kumquatgauge {
namespace {

constexpr std::array<std::string_view, 9> kHopByHopNames = {
    "connection", "keep-alive",          "proxy-authenticate",
    "te",         "proxy-authorization", "trailer",
    "upgrade",    "transfer-encoding",   "proxy-connection"};

auto EqualsIgnoringCase(std::string_view left, std::string_view right) -> bool {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

}  // namespace

auto FindHeader(const HeaderList& headers, std::string_view name)
    -> std::string_view {
  for (const auto& header : headers) {
    if (EqualsIgnoringCase(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

auto IsHopByHop(std::string_view name) -> bool {
  return std::any_of(
      kHopByHopNames.begin(), kHopByHopNames.end(),
      [name](auto known) { return EqualsIgnoringCase(known, name); });
}

}  // namespace kumquatgauge
