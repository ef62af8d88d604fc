#ifndef KUMQUATGAUGE_ROUTING_COMPLETION_H_
#define KUMQUATGAUGE_ROUTING_COMPLETION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/outcome.h"

namespace kumquatgauge::routing {

enum class WorkClass { kOnline, kBatch };

enum class CompletionEndpoint { kCompletions, kChatCompletions };

// A completion request that an entry node or a batch owner sends through the
// dispatcher to a model engine.
struct CompletionRequest {
  RequestId id;
  OrganisationName organisation;
  ServiceName service;
  WorkClass work_class = WorkClass::kOnline;
  CompletionEndpoint endpoint = CompletionEndpoint::kCompletions;
  // The caller's JSON body as received.
  std::string body;
  // Hash of the prompt's prefix; equal prefixes are best served by one replica.
  std::uint64_t affinity = 0;
  // Estimate of the tokens to generate, for the token limit.
  std::uint32_t max_tokens = 0;
  // Time left until the caller's deadline, as of the last hop.
  std::chrono::milliseconds time_left{0};
  // Batch only: time until the job is due minus its estimated remaining work.
  std::chrono::milliseconds slack{0};
  // Batch only: no other batch item may run on its replica.
  bool exclusive = false;
  // Tokens that the requester already has, and their text; the stream resumes
  // at this offset.
  std::uint64_t resume_offset = 0;
  std::string resume_text;

  auto operator==(const CompletionRequest&) const -> bool = default;
};

// One generated token. Offsets count from 0 at the start of the answer.
struct Token {
  std::uint64_t offset = 0;
  std::string text;

  auto operator==(const Token&) const -> bool = default;
};

// Receives the tokens of one stream in order of offset, with none missing.
using TokenSink = std::function<auto(const Token&)->void>;

// Load of a replica as known to its dispatcher.
struct ReplicaLoad {
  ReplicaId replica;
  std::uint32_t online_in_flight = 0;
  std::uint32_t batch_in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 1;  // Current concurrency limit.
  // Batch items that would be admitted now.
  std::uint32_t free_batch_slots = 0;

  auto operator==(const ReplicaLoad&) const -> bool = default;
};

// DispatchResult::finish_reason of a request that the engine rejected as bad
// (4xx); such a request fails on every replica.
inline constexpr auto kFinishRejected = "rejected";

// How one dispatch ended.
struct DispatchResult {
  enum class Kind {
    kEnded,      // `outcome` is kCompleted, kFailed or kCancelled.
    kBusy,       // Not run here; another replica may be tried.
    kPreempted,  // Batch: stopped to free its slot; resume at outcome.tokens.
    kLost,       // The upstream or its connection was lost; resumable.
  };

  Kind kind = Kind::kEnded;
  Outcome outcome;
  std::string finish_reason;  // "stop" or "length" when completed.
  ReplicaLoad load;
  // The replica answers its dispatcher neither requests nor load reports.
  bool replica_down = false;

  auto operator==(const DispatchResult&) const -> bool = default;
};

}  // namespace kumquatgauge::routing

#endif  // KUMQUATGAUGE_ROUTING_COMPLETION_H_
