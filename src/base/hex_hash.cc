#include "base/hex_hash.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace kumquatgauge::detail {

auto HexHash(std::string_view text) -> std::string {
  constexpr auto kDigits = 16;
  auto digits = std::array<char, kDigits + 1>();
  std::snprintf(
      digits.data(), digits.size(), "%016llx",
      static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
  return digits.data();
}

}  // namespace kumquatgauge::detail
