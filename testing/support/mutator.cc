#include "testing/support/mutator.h"

#include <algorithm>
#include <cstdlib>

namespace kumquatgauge::testing {
namespace {

constexpr std::size_t kMaxChanges = 4;
constexpr std::size_t kMaxRepeated = 64;
constexpr std::size_t kByteValues = 256;
constexpr auto kSeparators = "\",:[]{} \r\n";

auto UnusualValues() -> const std::vector<std::string>& {
  static const auto values = std::vector<std::string>{"0",
                                                      "-1",
                                                      "1e308",
                                                      "-1e308",
                                                      "18446744073709551615",
                                                      "18446744073709551616",
                                                      "9223372036854775807",
                                                      "-9223372036854775808",
                                                      "4294967296",
                                                      "0.5",
                                                      "null",
                                                      "true",
                                                      "[]",
                                                      "{}",
                                                      "\"\"",
                                                      "\"x\"",
                                                      "[[[[[[]]]]]]",
                                                      "\"\\ud800\"",
                                                      "\"\\u0000\"",
                                                      "nan",
                                                      "%00",
                                                      "../../config/main",
                                                      "a b?c=d&e#f",
                                                      "====",
                                                      std::string("\0", 1),
                                                      "\xFF\xFE",
                                                      "\xC3\x28",
                                                      std::string(5'000, 'x')};
  return values;
}

}  // namespace

auto FuzzInputs(int usual) -> int {
  const auto* text = std::getenv("KQG_FUZZ_INPUTS");
  return text == nullptr ? usual : std::max(1, std::atoi(text));
}

auto Mutator::Mutate(const std::vector<std::string>& samples) -> std::string {
  auto text = samples[Below(samples.size())];
  for (auto changes = 1 + Below(kMaxChanges); changes > 0; --changes) {
    text =
        Below(2) == 0 ? ReplaceValue(std::move(text)) : Change(std::move(text));
  }
  return text;
}

auto Mutator::Change(std::string text) -> std::string {
  const auto at = Below(text.size() + 1);
  const auto count = std::min(1 + Below(kMaxRepeated), text.size() - at);
  switch (Below(4)) {
    case 0:
      if (at < text.size()) {
        text[at] = static_cast<char>(Below(kByteValues));
      }
      break;
    case 1:
      text.erase(at, count);
      break;
    case 2:
      text.insert(at, 1, static_cast<char>(Below(kByteValues)));
      break;
    default:
      text.insert(at, text.substr(at, count));
      break;
  }
  return text;
}

auto Mutator::ReplaceValue(std::string text) -> std::string {
  const auto begin =
      text.find_first_not_of(kSeparators, Below(text.size() + 1));
  if (begin == std::string::npos) {
    return text;
  }
  const auto end =
      std::min(text.find_first_of(kSeparators, begin), text.size());
  const auto& values = UnusualValues();
  const auto& value = values[Below(values.size())];
  const auto quoted = begin > 0 && text[begin - 1] == '"' &&
                      end < text.size() && text[end] == '"';
  // Also replaces the quotes now and then, and with them the type.
  if (quoted && Below(2) == 0) {
    return text.replace(begin - 1, end - begin + 2, value);
  }
  return text.replace(begin, end - begin, value);
}

}  // namespace kumquatgauge::testing
