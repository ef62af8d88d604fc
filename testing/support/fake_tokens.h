#ifndef TESTING_SUPPORT_FAKE_TOKENS_H_
#define TESTING_SUPPORT_FAKE_TOKENS_H_

#include <xxhash.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace kumquatgauge::testing {

namespace detail {
inline constexpr std::string_view kTokenLetters = "abcdefghijklmnopqrstuvwxyz";
inline constexpr std::uint64_t kMinTokenLetters = 2;
inline constexpr std::uint64_t kTokenLengths = 6;
inline constexpr std::uint64_t kShortestAnswer = 16;
inline constexpr std::uint64_t kAnswerLengths = 49;
}  // namespace detail

// Token `offset` of the answer that every fake engine gives to `prompt`, so
// that any engine can continue an answer and a checker can verify it.
inline auto FakeToken(std::string_view prompt, std::uint64_t offset)
    -> std::string {
  auto bits = XXH3_64bits_withSeed(prompt.data(), prompt.size(), offset);
  std::string token;
  const auto length = detail::kMinTokenLetters + bits % detail::kTokenLengths;
  bits /= detail::kTokenLengths;
  for (std::uint64_t i = 0; i < length; ++i) {
    token += detail::kTokenLetters[bits % detail::kTokenLetters.size()];
    bits /= detail::kTokenLetters.size();
  }
  return token + ' ';
}

// The first `count` tokens of the answer to `prompt`.
inline auto FakeAnswer(std::string_view prompt, std::uint64_t count)
    -> std::string {
  std::string answer;
  for (std::uint64_t offset = 0; offset < count; ++offset) {
    answer += FakeToken(prompt, offset);
  }
  return answer;
}

// Tokens of the whole answer when the request sets no max_tokens.
inline auto FakeNaturalLength(std::string_view prompt) -> std::uint64_t {
  return detail::kShortestAnswer +
         XXH3_64bits(prompt.data(), prompt.size()) % detail::kAnswerLengths;
}

// Prompt text of a request body: "prompt", or the contents of "messages", one
// per line.
inline auto FakePrompt(const nlohmann::json& body) -> std::string {
  const auto text = [](const nlohmann::json& value) {
    return value.is_string() ? value.get<std::string>() : value.dump();
  };
  if (body.contains("prompt")) {
    return text(body["prompt"]);
  }
  std::string prompt;
  for (const auto& message : body.value("messages", nlohmann::json::array())) {
    prompt += text(message.value("content", nlohmann::json("")));
    prompt += '\n';
  }
  return prompt;
}

// Tokens of the whole answer: max_tokens (or max_completion_tokens) when the
// request sets it, else the natural length.
inline auto FakeLength(const nlohmann::json& body) -> std::uint64_t {
  for (const auto* key : {"max_completion_tokens", "max_tokens"}) {
    if (body.contains(key) && body[key].is_number_unsigned()) {
      return body[key].get<std::uint64_t>();
    }
  }
  return FakeNaturalLength(FakePrompt(body));
}

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_FAKE_TOKENS_H_
