#ifndef KUMQUATGAUGE_SERVING_REQUEST_FINGERPRINT_H_
#define KUMQUATGAUGE_SERVING_REQUEST_FINGERPRINT_H_

#include <cstdint>
#include <string_view>

namespace kumquatgauge::serving {

// Identifies a request that comes again under another id: the first 64 bits of
// a SHA-256 digest. It is cryptographic, so that nobody can make a request that
// is taken for one of another caller.
using RequestFingerprint = std::uint64_t;

// Throws Error(kInternal) if the digest cannot be computed.
auto FingerprintOf(std::string_view method,
                   std::string_view host,
                   std::string_view target,
                   std::string_view body) -> RequestFingerprint;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_REQUEST_FINGERPRINT_H_
