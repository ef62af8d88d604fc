#include "kumquatgauge/serving/prompt_parts.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace kumquatgauge::serving {

auto PartName(PromptPart part) -> std::string {
  constexpr std::size_t kDigits = 16;
  auto text = std::array<char, kDigits + 1>();
  std::snprintf(text.data(), text.size(), "%016" PRIx64, part);
  return text.data();
}

auto PartNames(const PromptParts& parts) -> std::string {
  auto text = std::string();
  for (const auto part : parts) {
    text += (text.empty() ? "" : ",") + PartName(part);
  }
  return text;
}

}  // namespace kumquatgauge::serving
