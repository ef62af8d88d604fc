#ifndef BASE_HEX_HASH_H_
#define BASE_HEX_HASH_H_

#include <string>
#include <string_view>

namespace kumquatgauge::detail {

// Returns a hash of a text as 16 hexadecimal digits, for names of objects of
// the store, which may not have every character that a text may have.
auto HexHash(std::string_view text) -> std::string;

}  // namespace kumquatgauge::detail

#endif  // BASE_HEX_HASH_H_
