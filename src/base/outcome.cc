#include "kumquatgauge/base/outcome.h"

#include <array>
#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge {
namespace {

constexpr std::array<std::pair<OutcomeKind, std::string_view>, 5> kNames = {{
    {OutcomeKind::kCompleted, "completed"},
    {OutcomeKind::kNotRun, "not_run"},
    {OutcomeKind::kUnknown, "unknown"},
    {OutcomeKind::kFailed, "failed"},
    {OutcomeKind::kCancelled, "cancelled"},
}};

}  // namespace

auto OutcomeKindName(OutcomeKind kind) -> std::string_view {
  return kNames.at(static_cast<std::size_t>(kind)).second;
}

auto ParseOutcomeKind(std::string_view name) -> OutcomeKind {
  for (const auto& [kind, known] : kNames) {
    if (known == name) {
      return kind;
    }
  }
  throw Error(ErrorKind::kInvalidArgument, "unknown outcome", std::string(name),
              "use completed, not_run, unknown, failed or cancelled");
}

}  // namespace kumquatgauge
