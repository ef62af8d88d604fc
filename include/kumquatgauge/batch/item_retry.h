#ifndef KUMQUATGAUGE_BATCH_ITEM_RETRY_H_
#define KUMQUATGAUGE_BATCH_ITEM_RETRY_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/batch/item_runner.h"

namespace kumquatgauge::batch {

inline constexpr std::size_t kMaxItemAttempts = 4;
// Delay after the first failed attempt; it doubles after each further one.
inline constexpr std::chrono::milliseconds kFirstRetryDelay{500};
// From this attempt on, the item runs alone on its replica, so that an item
// that crashes replicas does not fail other batch items.
inline constexpr std::size_t kFirstExclusiveAttempt = 3;
// Delay after a refusal without a retry time, and the limit on a given one.
inline constexpr std::chrono::milliseconds kBusyDelay{500};
inline constexpr std::chrono::milliseconds kMaxBusyDelay{5'000};

// What to do with an item after an attempt.
struct RetryDecision {
  enum class Kind {
    kCompleted,
    kFailed,  // Final: the item was rejected or has no attempts left.
    kRetry    // Not before `not_before`.
  };

  Kind kind = Kind::kRetry;
  std::string reason;  // Set for kFailed.
  MonotonicTime not_before;

  auto operator==(const RetryDecision&) const -> bool = default;
};

// Tracks the attempts at one item. Distinguishes a bad item, which the engine
// rejects, from a bad replica, after which another replica is tried. Attempts
// that did not run, were preempted or were cancelled are not charged.
class ItemRetry {
 public:
  // `attempts` is the number of attempts charged by earlier owners.
  explicit ItemRetry(std::size_t attempts = 0) : attempts_(attempts) {}

  auto OnAttemptEnded(const AttemptResult& result, MonotonicTime now)
      -> RetryDecision;

  // Charged attempts so far.
  auto attempts() const -> std::size_t { return attempts_; }
  // Parameters of the next attempt.
  auto exclusive() const -> bool {
    return attempts_ + 1 >= kFirstExclusiveAttempt;
  }
  auto avoid() const -> const ReplicaId& { return avoid_; }
  auto resume_offset() const -> std::uint64_t { return resume_offset_; }
  auto resume_text() const -> const std::string& { return resume_text_; }

 private:
  auto Charge(const AttemptResult& result, MonotonicTime now) -> RetryDecision;
  auto KeepProgress(const AttemptResult& result) -> void;

  std::size_t attempts_;
  ReplicaId avoid_;
  std::uint64_t resume_offset_ = 0;
  std::string resume_text_;
};

}  // namespace kumquatgauge::batch

#endif  // KUMQUATGAUGE_BATCH_ITEM_RETRY_H_
