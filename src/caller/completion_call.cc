#include "caller/completion_call.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "caller/api_error.h"
#include "kumquatgauge/base/error.h"
#include "upstream/json_body.h"

namespace kumquatgauge::caller::detail {
namespace {

using nlohmann::json;
using routing::CompletionEndpoint;

constexpr int kBadRequest = 400;
constexpr std::size_t kAffinityBytes = 1024;
constexpr std::size_t kMaxModelBytes = 256;
// A common ratio for English text. Only the reported usage depends on it.
constexpr std::uint64_t kBytesPerToken = 4;

[[noreturn]] auto Reject(const std::string& param, const std::string& message)
    -> void {
  throw ApiError(kBadRequest, "invalid_value", "'" + param + "' " + message,
                 param);
}

auto Find(const json& body, const char* key) -> const json* {
  const auto found = body.find(key);
  return found == body.end() || found->is_null() ? nullptr : &*found;
}

auto ReadModel(const json& body) -> std::string {
  const auto* model = Find(body, "model");
  if (model == nullptr) {
    Reject("model", "is missing; use a model listed by GET /v1/models");
  }
  if (!model->is_string() || model->get_ref<const std::string&>().empty() ||
      model->get_ref<const std::string&>().size() > kMaxModelBytes) {
    Reject("model", "must be a non-empty string of at most 256 bytes");
  }
  return model->get<std::string>();
}

auto ReadBool(const json& body, const char* key) -> bool {
  const auto* value = Find(body, key);
  if (value != nullptr && !value->is_boolean()) {
    Reject(key, "must be true or false");
  }
  return value != nullptr && value->get<bool>();
}

auto ReadMaxTokens(const json& body) -> std::uint32_t {
  for (const auto* key : {"max_completion_tokens", "max_tokens"}) {
    const auto* value = Find(body, key);
    if (value == nullptr) {
      continue;
    }
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() == 0 ||
        value->get<std::uint64_t>() >
            std::numeric_limits<std::uint32_t>::max()) {
      Reject(key, "must be a positive integer");
    }
    return value->get<std::uint32_t>();
  }
  return kDefaultMaxTokens;
}

auto CheckSingleChoice(const json& body) -> void {
  for (const auto* key : {"n", "best_of"}) {
    const auto* value = Find(body, key);
    if (value != nullptr && *value != 1) {
      Reject(key, "must be 1; send one request per choice");
    }
  }
}

auto CheckMessage(const json& message) -> void {
  if (!message.is_object()) {
    Reject("messages", "must be an array of objects");
  }
  const auto* role = Find(message, "role");
  if (role == nullptr || !role->is_string()) {
    Reject("messages", "must each have a string 'role'");
  }
  const auto* content = Find(message, "content");
  if (content != nullptr && !content->is_string() && !content->is_array()) {
    Reject("messages", "must each have a string or array 'content'");
  }
}

// Returns the roles and contents of the messages as one text, in the order in
// which the engine reads them.
auto ReadMessages(const json& body) -> std::string {
  const auto* messages = Find(body, "messages");
  if (messages == nullptr) {
    Reject("messages", "is missing");
  }
  if (!messages->is_array() || messages->empty()) {
    Reject("messages", "must be a non-empty array");
  }
  std::string text;
  for (const auto& message : *messages) {
    CheckMessage(message);
    text += message["role"].get_ref<const std::string&>();
    text += '\n';
    const auto* content = Find(message, "content");
    if (content != nullptr) {
      text += content->is_string() ? content->get_ref<const std::string&>()
                                   : content->dump();
    }
    text += '\n';
  }
  return text;
}

auto ReadPrompt(const json& body) -> std::string {
  const auto* prompt = Find(body, "prompt");
  if (prompt == nullptr) {
    Reject("prompt", "is missing");
  }
  if (prompt->is_string()) {
    return prompt->get<std::string>();
  }
  const auto valid =
      prompt->is_array() && !prompt->empty() &&
      std::all_of(prompt->begin(), prompt->end(),
                  [](const json& part) { return part.is_number_unsigned(); });
  const auto single =
      prompt->is_array() && prompt->size() == 1 && prompt->front().is_string();
  if (single) {
    return prompt->front().get<std::string>();
  }
  if (!valid) {
    Reject("prompt", "must be one string or one array of token ids");
  }
  return prompt->dump();
}

// Returns whether a character appears unescaped in a JSON string.
auto NeedsNoEscape(char c) -> bool {
  return c >= ' ' && c <= '~' && c != '"' && c != '\\';
}

auto Dump(const json& value) -> std::string {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

auto ParseCompletionCall(std::string_view body, CompletionEndpoint endpoint)
    -> CompletionCall {
  json value;
  try {
    value = upstream::detail::ParseJsonObject(body);
  } catch (const Error& error) {
    throw ApiError(kBadRequest, "invalid_json", error.what());
  }
  CompletionCall call;
  call.endpoint = endpoint;
  call.model = ReadModel(value);
  call.stream = ReadBool(value, "stream");
  const auto* options = Find(value, "stream_options");
  if (options != nullptr && !options->is_object()) {
    Reject("stream_options", "must be an object");
  }
  call.include_usage =
      options != nullptr && ReadBool(*options, "include_usage");
  call.max_tokens = ReadMaxTokens(value);
  CheckSingleChoice(value);
  const auto text = endpoint == CompletionEndpoint::kChatCompletions
                        ? ReadMessages(value)
                        : ReadPrompt(value);
  call.affinity =
      XXH3_64bits(text.data(), std::min(text.size(), kAffinityBytes));
  call.prompt_tokens = (text.size() + kBytesPerToken - 1) / kBytesPerToken;
  return call;
}

CompletionWriter::CompletionWriter(const CompletionCall& call,
                                   const std::string& request_id,
                                   std::int64_t created_s)
    : call_(call),
      id_((chat() ? "chatcmpl-" : "cmpl-") + request_id),
      created_s_(created_s) {
  // Placeholder for the text of a token; JSON does not escape it.
  const std::string placeholder = "@kqg-text@";
  auto choice = Choice(nullptr);
  if (chat()) {
    choice["delta"]["content"] = placeholder;
  } else {
    choice["text"] = placeholder;
  }
  // The id and model, which may contain the placeholder, are not part of the
  // choice; its last occurrence there is the text.
  auto chunk = Chunk(json::array());
  const auto text = Dump(chunk);
  const auto choices = Dump(choice);
  const auto at = choices.rfind('"' + placeholder + '"');
  const std::string empty_list = R"("choices":[])";
  const auto list = text.find(empty_list);
  token_prefix_ = "data: " + text.substr(0, list) + R"("choices":[)" +
                  choices.substr(0, at);
  token_suffix_ = choices.substr(at + placeholder.size() + 2) + "]" +
                  text.substr(list + empty_list.size()) + "\n\n";
}

auto CompletionWriter::AppendToken(const std::string& text, std::string& out)
    -> void {
  if (first_ && chat()) {
    auto choice = Choice(nullptr);
    choice["delta"]["role"] = "assistant";
    choice["delta"]["content"] = "";
    out += "data: " + Dump(Chunk(json::array({choice}))) + "\n\n";
  }
  first_ = false;
  out += token_prefix_;
  if (std::all_of(text.begin(), text.end(), NeedsNoEscape)) {
    out += '"';
    out += text;
    out += '"';
  } else {
    out += Dump(json(text));
  }
  out += token_suffix_;
}

auto CompletionWriter::EndEvents(const std::string& finish_reason,
                                 std::uint64_t tokens) const -> std::string {
  auto choice = Choice(finish_reason);
  if (!chat()) {
    choice["text"] = "";
  }
  auto events = "data: " + Dump(Chunk(json::array({choice}))) + "\n\n";
  if (call_.include_usage) {
    auto chunk = Chunk(json::array());
    chunk["usage"] = Usage(tokens);
    events += "data: " + Dump(chunk) + "\n\n";
  }
  return events + "data: [DONE]\n\n";
}

auto CompletionWriter::FullResponse(const std::string& text,
                                    const std::string& finish_reason,
                                    std::uint64_t tokens) const -> std::string {
  json choice{
      {"index", 0}, {"logprobs", nullptr}, {"finish_reason", finish_reason}};
  if (chat()) {
    choice["message"] = {
        {"role", "assistant"}, {"content", text}, {"refusal", nullptr}};
  } else {
    choice["text"] = text;
  }
  return Dump({{"id", id_},
               {"object", chat() ? "chat.completion" : "text_completion"},
               {"created", created_s_},
               {"model", call_.model},
               {"choices", json::array({choice})},
               {"usage", Usage(tokens)}});
}

auto CompletionWriter::chat() const -> bool {
  return call_.endpoint == CompletionEndpoint::kChatCompletions;
}

auto CompletionWriter::Usage(std::uint64_t tokens) const -> json {
  return {{"prompt_tokens", call_.prompt_tokens},
          {"completion_tokens", tokens},
          {"total_tokens", call_.prompt_tokens + tokens}};
}

auto CompletionWriter::Chunk(const json& choices) const -> json {
  json chunk{{"id", id_},
             {"object", chat() ? "chat.completion.chunk" : "text_completion"},
             {"created", created_s_},
             {"model", call_.model},
             {"choices", choices}};
  if (call_.include_usage) {
    chunk["usage"] = nullptr;
  }
  return chunk;
}

auto CompletionWriter::Choice(const json& finish_reason) const -> json {
  json choice{
      {"index", 0}, {"logprobs", nullptr}, {"finish_reason", finish_reason}};
  if (chat()) {
    choice["delta"] = json::object();
  }
  return choice;
}

}  // namespace kumquatgauge::caller::detail
