#include "kumquatgauge/serving/feed_retry.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinRefusedPause{20};
constexpr milliseconds kMaxRefusedPause{200};

}  // namespace

FeedRetry::FeedRetry(milliseconds initial_backoff,
                     milliseconds max_backoff,
                     RandomSource random)
    : initial_backoff_(initial_backoff),
      max_backoff_(max_backoff),
      random_(std::move(random)),
      backoff_(initial_backoff) {}

auto FeedRetry::OnSuccess() -> void {
  failed_ = false;
  backoff_ = initial_backoff_;
}

auto FeedRetry::OnFailure() -> milliseconds {
  failed_ = true;
  const auto nominal = std::exchange(
      backoff_, std::min<milliseconds>(backoff_ * 2, max_backoff_));
  const auto draw = static_cast<std::int64_t>(
      random_() % (static_cast<std::uint64_t>(nominal.count()) + 1));
  return nominal / 2 + milliseconds(draw);
}

auto FeedRetry::OnRefused(Duration retry_after) -> milliseconds {
  failed_ = true;
  return std::clamp(std::chrono::ceil<milliseconds>(retry_after),
                    kMinRefusedPause, kMaxRefusedPause);
}

}  // namespace kumquatgauge::serving
