#ifndef KUMQUATGAUGE_SERVING_RELAY_MEMORY_H_
#define KUMQUATGAUGE_SERVING_RELAY_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "kumquatgauge/base/time.h"

namespace kumquatgauge::serving {

struct RelayMemorySettings {
  // Limit of everything that is held, in bytes.
  std::size_t budget = 0;
  // Limit of what is held of one stream whose caller does not keep up. Larger
  // than most streams, so that their replicas become free early.
  std::size_t max_stream = 1'048'576;
  // Up to this size, an answer is read without regard to the budget, so that
  // callers of short answers do not wait for slow ones.
  std::size_t free_answer = 65'536;
  // Limit of a stream when the budget is used up: one read of a replica.
  std::size_t min_stream = 16'384;
  // A response whose caller reads nothing for this time is terminated if its
  // replica waits. Replicas cut responses off that stay unread for some
  // seconds.
  Duration stall_limit = std::chrono::seconds(2);
  // The same if no replica waits. The window of a slow reader may open every 3
  // s only, as a receiver frees its buffer in blocks of up to 64 KB.
  Duration idle_limit = std::chrono::seconds(5);
  // A caller that has read within this time keeps its response even if the
  // budget is used up. Longer than a steady reader needs to open its receive
  // window again.
  Duration min_stall = std::chrono::milliseconds(500);

  auto operator==(const RelayMemorySettings&) const -> bool = default;
};

// Accounts for the memory of answers between replicas and callers, and decides
// which responses to terminate since their callers do not read.
class RelayMemory {
 public:
  using ResponseId = std::uint64_t;
  using AnswerId = std::uint64_t;

  enum class EndReason {
    kStalled,  // Nothing was read for the limit.
    kBudget,   // Others need the memory, and nothing was read for the longest.
  };

  struct Use {
    std::size_t bytes = 0;      // Held.
    std::uint64_t read = 0;     // By the caller so far.
    bool source_waits = false;  // The replica is not read meanwhile.

    auto operator==(const Use&) const -> bool = default;
  };

  struct Termination {
    ResponseId response = 0;
    EndReason reason = EndReason::kStalled;
    std::size_t bytes = 0;
    Duration stalled{};

    auto operator==(const Termination&) const -> bool = default;
  };

  explicit RelayMemory(RelayMemorySettings settings);

  // Sets what is held of a response. A new response counts as read from now on.
  auto Set(ResponseId response, const Use& use, MonotonicTime now) -> void;
  auto Remove(ResponseId response) -> void;
  auto Contains(ResponseId response) const -> bool;

  // Accounts for an answer that is being read as a whole from its replica.
  auto BeginAnswer() -> AnswerId;
  auto SetAnswer(AnswerId answer, std::size_t bytes) -> void;
  auto EndAnswer(AnswerId answer) -> void;
  // Whether an answer may be read on. The last quarter of the budget is for the
  // answer that began first, since answers that wait for each other would all
  // time out.
  auto MayReadOn(AnswerId answer) const -> bool;

  // Removes and returns the responses to terminate: those that are stalled, and
  // as many as needed to return to the budget, the one whose caller has read
  // nothing for the longest first.
  auto TakeTerminations(MonotonicTime now) -> std::vector<Termination>;

  // Returns how many bytes may be held of one stream. Less the more of the
  // budget is used.
  auto MaxStreamBytes() const -> std::size_t;
  auto IsOverBudget() const -> bool { return bytes() > settings_.budget; }
  // All that is held.
  auto bytes() const -> std::size_t { return held_ + read_; }
  auto responses() const -> std::size_t { return responses_.size(); }

 private:
  struct Response {
    Use use;
    MonotonicTime progress_at;
  };

  RelayMemorySettings settings_;
  std::map<ResponseId, Response> responses_;
  std::size_t held_ = 0;  // Of all responses.
  std::map<AnswerId, std::size_t> answers_;
  AnswerId last_answer_ = 0;
  std::size_t read_ = 0;  // Of all answers.
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_RELAY_MEMORY_H_
