#ifndef KUMQUATGAUGE_SERVING_REQUEST_TRAITS_H_
#define KUMQUATGAUGE_SERVING_REQUEST_TRAITS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "kumquatgauge/serving/prompt_parts.h"
#include "kumquatgauge/serving/request_fingerprint.h"

namespace kumquatgauge::serving {

// What requests have in common that replicas may crash on: a prompt part, or
// everything, for a request that comes again.
struct RequestTrait {
  enum class Kind { kPromptPart, kWholeRequest };

  Kind kind = Kind::kPromptPart;
  // The part or the fingerprint. Only the latter cannot be chosen by a caller,
  // so the same value of another kind is another trait.
  std::uint64_t value = 0;

  auto whole_request() const -> bool { return kind == Kind::kWholeRequest; }
  auto operator<=>(const RequestTrait&) const = default;
};

// For logs: "part" or "request", and the value in hexadecimal.
auto TraitName(const RequestTrait& trait) -> std::string;

// All traits of one request.
struct RequestTraits {
  PromptParts parts;
  // Not known for batch items, on which replicas do not crash by themselves.
  std::optional<RequestFingerprint> fingerprint;

  auto operator==(const RequestTraits&) const -> bool = default;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_REQUEST_TRAITS_H_
