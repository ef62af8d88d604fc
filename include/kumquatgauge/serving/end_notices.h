#ifndef KUMQUATGAUGE_SERVING_END_NOTICES_H_
#define KUMQUATGAUGE_SERVING_END_NOTICES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/serving/job_archive.h"

namespace kumquatgauge::serving {

enum class OwnerStatus {
  kLive,     // The run of the process that owns the job is a member.
  kUnknown,  // No member with this name is known yet.
  kGone,     // It is known to have ended; it runs nothing any more.
};

struct EndNoticeSettings {
  // Delay after a notice that was not confirmed; doubles up to the maximum.
  Duration initial_delay = std::chrono::milliseconds(300);
  Duration max_delay = std::chrono::seconds(2);
  // A notice is given up after this time: longer than the store turns nodes
  // away or nodes are cut off from each other while both stay members.
  Duration lifetime = std::chrono::minutes(10);
  std::size_t max_notices = 10'000;
  // Notices that one call of TakeDue returns, so that many owners that do not
  // answer take little of this node's time.
  std::size_t max_due = 50;

  auto operator==(const EndNoticeSettings&) const -> bool = default;
};

// Decides which owners are to be told that another node has ended their job in
// the store. An owner that the store turns away cannot read the end itself, so
// a notice is repeated until the owner has confirmed it or is known to be gone.
class EndNotices {
 public:
  using FindOwner = std::function<auto(const JobState&)->OwnerStatus>;

  EndNotices(EndNoticeSettings settings, FindOwner find_owner, Clock clock)
      : settings_(settings),
        find_owner_(std::move(find_owner)),
        clock_(std::move(clock)) {}

  // Adds the stored state of an ended job. Returns whether the caller is to
  // send the first notice now.
  auto Add(const StoredState& ended) -> bool;
  // Returns the notices to send now; each is returned again only after
  // OnFailed. Drops those that have expired or whose owner is gone.
  auto TakeDue() -> std::vector<StoredState>;
  // The owner has stopped the job or does not run it.
  auto OnConfirmed(const JobId& job) -> void;
  auto OnFailed(const JobId& job) -> void;

  // Returns the number of notices that were given up or not added.
  auto dropped() const -> std::uint64_t { return dropped_; }
  auto size() const -> std::size_t { return notices_.size(); }

 private:
  struct Notice {
    StoredState ended;
    MonotonicTime expires;
    MonotonicTime next;
    Duration delay{0};
    bool sending = false;
  };

  EndNoticeSettings settings_;
  FindOwner find_owner_;
  Clock clock_;
  std::map<JobId, Notice> notices_;
  std::uint64_t dropped_ = 0;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_END_NOTICES_H_
