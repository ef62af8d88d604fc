#include "kumquatgauge/serving/request_traits.h"

namespace kumquatgauge::serving {

auto TraitName(const RequestTrait& trait) -> std::string {
  return (trait.whole_request() ? "request " : "part ") + PartName(trait.value);
}

}  // namespace kumquatgauge::serving
