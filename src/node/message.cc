#include "kumquatgauge/node/message.h"

#include <array>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "kumquatgauge/base/outcome.h"
#include "kumquatgauge/node/peer.h"
#include "node/message_fields.h"

namespace kumquatgauge::node {
namespace {

using detail::Find;
using detail::Malformed;
using detail::Read;
using nlohmann::json;

constexpr std::uint8_t kFixMap = 0x80;  // MessagePack: map of 0 to 15 fields.
constexpr std::uint8_t kMaxFixMapFields = 15;

constexpr std::array<std::pair<ErrorKind, std::string_view>, 9> kErrorKinds = {{
    {ErrorKind::kInvalidArgument, "invalid_argument"},
    {ErrorKind::kNotFound, "not_found"},
    {ErrorKind::kConflict, "conflict"},
    {ErrorKind::kUnavailable, "unavailable"},
    {ErrorKind::kOverloaded, "overloaded"},
    {ErrorKind::kTimeout, "timeout"},
    {ErrorKind::kPermissionDenied, "permission_denied"},
    {ErrorKind::kUnknownOutcome, "unknown_outcome"},
    {ErrorKind::kInternal, "internal"},
}};

constexpr std::array<std::pair<routing::DispatchResult::Kind, std::string_view>,
                     4>
    kResultKinds = {{
        {routing::DispatchResult::Kind::kEnded, "ended"},
        {routing::DispatchResult::Kind::kBusy, "busy"},
        {routing::DispatchResult::Kind::kPreempted, "preempted"},
        {routing::DispatchResult::Kind::kLost, "lost"},
    }};

// Builds a value from MessagePack and fails beyond kMaxMessageDepth, since the
// parser is recursive and would otherwise overflow the stack.
class DepthLimitedBuilder : public nlohmann::detail::json_sax_dom_parser<json> {
 public:
  using Base = nlohmann::detail::json_sax_dom_parser<json>;

  explicit DepthLimitedBuilder(json& value) : Base(value, false) {}

  auto start_object(std::size_t size) -> bool {
    return ++depth_ <= kMaxMessageDepth && Base::start_object(size);
  }
  auto end_object() -> bool {
    --depth_;
    return Base::end_object();
  }
  auto start_array(std::size_t size) -> bool {
    return ++depth_ <= kMaxMessageDepth && Base::start_array(size);
  }
  auto end_array() -> bool {
    --depth_;
    return Base::end_array();
  }

 private:
  int depth_ = 0;
};

template <typename Kind, std::size_t size>
auto NameOf(const std::array<std::pair<Kind, std::string_view>, size>& names,
            Kind value) -> std::string_view {
  for (const auto& [kind, name] : names) {
    if (kind == value) {
      return name;
    }
  }
  return names.back().second;
}

// Returns what() without the object and the remedy, which have their own
// fields.
auto WhatHappened(const Error& error) -> std::string {
  const std::string what = error.what();
  const auto tail = ": " + error.object() + "; " + error.remedy();
  return what.ends_with(tail) ? what.substr(0, what.size() - tail.size())
                              : what;
}

}  // namespace

auto EncodeMessage(const json& message) -> std::string {
  if (!message.is_object()) {
    throw Malformed("not a map");
  }
  std::string bytes;
  if (message.contains("v")) {
    json::to_msgpack(message, bytes);
    return bytes;
  }
  if (message.size() >= kMaxFixMapFields) {
    auto copy = message;
    copy["v"] = kMessageVersion;
    json::to_msgpack(copy, bytes);
    return bytes;
  }
  // Inserts the version before the other fields without copying the message.
  json::to_msgpack(message, bytes);
  static_assert(kMessageVersion > 0 && kMessageVersion < 128);
  const std::array<char, 4> head = {
      static_cast<char>(kFixMap | (message.size() + 1)), '\xa1', 'v',
      static_cast<char>(kMessageVersion)};
  bytes.replace(0, 1, head.data(), head.size());
  return bytes;
}

auto DecodeContent(std::string_view bytes) -> json {
  json message;
  DepthLimitedBuilder builder(message);
  const auto parsed =
      json::sax_parse(bytes.begin(), bytes.end(), &builder,
                      json::input_format_t::msgpack, /*strict=*/true);
  if (!parsed || builder.is_errored() || !message.is_object()) {
    throw Malformed(std::to_string(bytes.size()) + " bytes");
  }
  return message;
}

auto DecodeMessage(std::string_view bytes) -> json {
  auto message = DecodeContent(bytes);
  std::uint64_t version = 0;
  Read(message, "v", version);
  if (version != kMessageVersion) {
    throw Malformed("version " + std::to_string(version));
  }
  return message;
}

auto ToMessage(const routing::CompletionRequest& request) -> json {
  return {
      {"v", kMessageVersion},
      {"id", request.id.value()},
      {"organisation", request.organisation.value()},
      {"service", request.service.value()},
      {"batch", request.work_class == routing::WorkClass::kBatch},
      {"chat",
       request.endpoint == routing::CompletionEndpoint::kChatCompletions},
      {"body", request.body},
      {"affinity", request.affinity},
      {"max_tokens", request.max_tokens},
      {"time_left", request.time_left.count()},
      {"slack", request.slack.count()},
      {"alone", request.exclusive},
      {"resume_offset", request.resume_offset},
      {"resume_text", request.resume_text},
  };
}

auto ToMessage(const routing::Token& token) -> json {
  return {{"v", kMessageVersion}, {"o", token.offset}, {"t", token.text}};
}

auto ToMessage(const routing::ReplicaLoad& load) -> json {
  return {
      {"v", kMessageVersion},
      {"replica", load.replica.value()},
      {"online", load.online_in_flight},
      {"batch", load.batch_in_flight},
      {"queued", load.queued},
      {"limit", load.limit},
      {"batch_room", load.free_batch_slots},
  };
}

auto ToMessage(const routing::DispatchResult& result) -> json {
  return {
      {"v", kMessageVersion},
      {"kind", NameOf(kResultKinds, result.kind)},
      {"outcome", OutcomeKindName(result.outcome.kind)},
      {"reason", result.outcome.reason},
      {"retry_after", result.outcome.retry_after.count()},
      {"tokens", result.outcome.tokens},
      {"finish_reason", result.finish_reason},
      {"load", ToMessage(result.load)},
      {"replica_down", result.replica_down},
  };
}

auto ToMessage(const Error& error) -> json {
  return {
      {"v", kMessageVersion},        {"kind", ErrorKindName(error.kind())},
      {"what", WhatHappened(error)}, {"object", error.object()},
      {"remedy", error.remedy()},
  };
}

auto CompletionRequestFrom(const json& message) -> routing::CompletionRequest {
  routing::CompletionRequest request;
  auto batch = false;
  auto chat = false;
  Read(message, "id", request.id);
  Read(message, "organisation", request.organisation);
  Read(message, "service", request.service);
  Read(message, "batch", batch);
  Read(message, "chat", chat);
  Read(message, "body", request.body);
  Read(message, "affinity", request.affinity);
  Read(message, "max_tokens", request.max_tokens);
  Read(message, "time_left", request.time_left);
  Read(message, "slack", request.slack);
  Read(message, "alone", request.exclusive);
  Read(message, "resume_offset", request.resume_offset);
  Read(message, "resume_text", request.resume_text);
  request.work_class =
      batch ? routing::WorkClass::kBatch : routing::WorkClass::kOnline;
  request.endpoint = chat ? routing::CompletionEndpoint::kChatCompletions
                          : routing::CompletionEndpoint::kCompletions;
  return request;
}

auto TokenFrom(const json& message) -> routing::Token {
  routing::Token token;
  Read(message, "o", token.offset);
  Read(message, "t", token.text);
  return token;
}

auto ReplicaLoadFrom(const json& message) -> routing::ReplicaLoad {
  routing::ReplicaLoad load;
  Read(message, "replica", load.replica);
  Read(message, "online", load.online_in_flight);
  Read(message, "batch", load.batch_in_flight);
  Read(message, "queued", load.queued);
  Read(message, "limit", load.limit);
  Read(message, "batch_room", load.free_batch_slots);
  return load;
}

auto DispatchResultFrom(const json& message) -> routing::DispatchResult {
  routing::DispatchResult result;
  Read(message, "kind", kResultKinds, result.kind);
  std::string outcome;
  Read(message, "outcome", outcome);
  if (!outcome.empty()) {
    result.outcome.kind = ParseOutcomeKind(outcome);
  }
  Read(message, "reason", result.outcome.reason);
  Read(message, "retry_after", result.outcome.retry_after);
  Read(message, "tokens", result.outcome.tokens);
  Read(message, "finish_reason", result.finish_reason);
  Read(message, "replica_down", result.replica_down);
  if (const auto* load = Find(message, "load")) {
    result.load = ReplicaLoadFrom(*load);
  }
  return result;
}

auto ErrorFrom(const json& message) -> Error {
  // An unknown kind, from a newer release, is reported as internal.
  std::string name;
  Read(message, "kind", name);
  auto kind = ErrorKind::kInternal;
  for (const auto& [known, text] : kErrorKinds) {
    if (text == name) {
      kind = known;
    }
  }
  std::string what;
  std::string object;
  std::string remedy;
  Read(message, "what", what);
  Read(message, "object", object);
  Read(message, "remedy", remedy);
  return Error(kind, what, object, remedy);
}

}  // namespace kumquatgauge::node
