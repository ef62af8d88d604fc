#ifndef KUMQUATGAUGE_STORE_CALL_TALLY_H_
#define KUMQUATGAUGE_STORE_CALL_TALLY_H_

#include <cstdint>
#include <map>
#include <string>

namespace kumquatgauge::store {

// The object kind of a call and what it does there: read, list, watch, create,
// replace, remove; read_stale and list_stale for reads that may be answered
// with old data.
struct StoreCallKind {
  std::string kind;
  std::string method;

  auto operator<=>(const StoreCallKind&) const = default;
};

struct PlatformCall;

// Returns the kind of a call. Its object is "KIND/NAME", or "KIND/" if the call
// concerns all objects of the kind.
auto KindOf(const PlatformCall& call) -> StoreCallKind;

// Number of calls by kind.
using CallTally = std::map<StoreCallKind, std::uint64_t>;

}  // namespace kumquatgauge::store

#endif  // KUMQUATGAUGE_STORE_CALL_TALLY_H_
