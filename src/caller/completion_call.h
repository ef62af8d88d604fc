#ifndef CALLER_COMPLETION_CALL_H_
#define CALLER_COMPLETION_CALL_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "kumquatgauge/routing/completion.h"

namespace kumquatgauge::caller::detail {

// The fields of a completion body that the caller listener uses.
struct CompletionCall {
  routing::CompletionEndpoint endpoint =
      routing::CompletionEndpoint::kCompletions;
  std::string model;
  bool stream = false;
  bool include_usage = false;  // "stream_options": {"include_usage": true}
  std::uint32_t max_tokens = 0;
  std::uint64_t affinity = 0;
  std::uint64_t prompt_tokens = 0;  // An estimate.

  auto operator==(const CompletionCall&) const -> bool = default;
};

// Tokens that count against the token limit when a request sets no maximum.
inline constexpr std::uint32_t kDefaultMaxTokens = 256;

// Parses the body of a request. Throws ApiError with status 400.
auto ParseCompletionCall(std::string_view body,
                         routing::CompletionEndpoint endpoint)
    -> CompletionCall;

// Formats the response to one completion as JSON.
class CompletionWriter {
 public:
  CompletionWriter(const CompletionCall& call,
                   const std::string& request_id,
                   std::int64_t created_s);

  // Server-sent events of a streamed response, each with its empty line.
  auto AppendToken(const std::string& text, std::string& out) -> void;
  auto EndEvents(const std::string& finish_reason, std::uint64_t tokens) const
      -> std::string;
  // The complete body of a response that is not streamed.
  auto FullResponse(const std::string& text,
                    const std::string& finish_reason,
                    std::uint64_t tokens) const -> std::string;

 private:
  auto chat() const -> bool;
  auto Usage(std::uint64_t tokens) const -> nlohmann::json;
  auto Chunk(const nlohmann::json& choices) const -> nlohmann::json;
  auto Choice(const nlohmann::json& finish_reason) const -> nlohmann::json;

  CompletionCall call_;
  std::string id_;
  std::int64_t created_s_;
  bool first_ = true;
  // The bytes of a token event before and after its text.
  std::string token_prefix_;
  std::string token_suffix_;
};

}  // namespace kumquatgauge::caller::detail

#endif  // CALLER_COMPLETION_CALL_H_
