#include "kumquatgauge/store/call_tally.h"

#include "kumquatgauge/store/platform_client.h"

namespace kumquatgauge::store {
namespace {

auto MethodOf(const PlatformCall& call, bool whole_kind) -> std::string {
  if (call.watch) {
    return "watch";
  }
  if (call.method == "GET") {
    const auto stale = call.call_class == CallClass::kStatus ? "_stale" : "";
    return std::string(whole_kind ? "list" : "read") + stale;
  }
  if (call.method == "POST") {
    return "create";
  }
  return call.method == "DELETE" ? "remove" : "replace";
}

}  // namespace

auto KindOf(const PlatformCall& call) -> StoreCallKind {
  const auto slash = call.object.find('/');
  const auto whole_kind = slash + 1 == call.object.size();
  return {call.object.substr(0, slash), MethodOf(call, whole_kind)};
}

}  // namespace kumquatgauge::store
