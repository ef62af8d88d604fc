#ifndef BASE_READ_LIMITS_H_
#define BASE_READ_LIMITS_H_

#include <cstddef>

namespace kumquatgauge::detail {

// Limit of the bytes of a connection that have arrived and are not parsed yet.
// An HTTP parser waits for the end of a line, a chunk's head or the trailer
// fields, which a faulty peer may never send; reading then ends with
// http::error::buffer_overflow. Above the limits of headers.
inline constexpr std::size_t kMaxUnparsedBytes = 65'536;

}  // namespace kumquatgauge::detail

#endif  // BASE_READ_LIMITS_H_
