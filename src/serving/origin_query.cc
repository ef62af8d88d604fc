#include "kumquatgauge/serving/origin_query.h"

namespace kumquatgauge::serving {

auto OriginQuery::OnAnswer(const std::optional<OriginAnswer>& answer) -> void {
  open_ -= open_ > 0 ? 1 : 0;
  if (!answer) {
    return;
  }
  if (answer->recorded && !recorded_) {
    recorded_ = answer->recorded;
  }
  const auto newer = !sole_ || answer->sole_age < sole_age_;
  if (answer->sole && answer->sole_age <= kMaxSoleVersionAge && newer) {
    sole_ = answer->sole;
    sole_age_ = answer->sole_age;
  }
}

auto OriginQuery::origin() const -> std::optional<StreamOrigin> {
  return recorded_ ? recorded_ : sole_;
}

}  // namespace kumquatgauge::serving
