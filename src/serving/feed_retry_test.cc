#include "kumquatgauge/serving/feed_retry.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

#include "kumquatgauge/serving/store_feed.h"
#include "kumquatgauge/store/circuit.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kCallTimeout{1'000};
constexpr milliseconds kAnswerTime{4};
constexpr milliseconds kStep{1};
// A node must have read what it missed within this time after an outage.
constexpr milliseconds kReturnTime{3'000};
constexpr auto kSeeds = 300;

// Two feeds that share a circuit, in an outage in which calls time out.
class Simulation {
 public:
  explicit Simulation(unsigned seed) : random_(seed) {
    for (auto& feed : feeds_) {
      feed.next = MonotonicTime(milliseconds(random_() % 1'000));
    }
  }

  // Returns the time from the end of the outage until both feeds have read.
  auto Run(milliseconds outage) -> milliseconds {
    const auto end = MonotonicTime(outage);
    for (auto now = MonotonicTime(); now < end + seconds(20); now += kStep) {
      for (auto& feed : feeds_) {
        Advance(feed, now, end);
      }
      if (std::all_of(feeds_.begin(), feeds_.end(),
                      [](const auto& feed) { return feed.done; })) {
        return std::chrono::duration_cast<milliseconds>(now - end);
      }
    }
    return milliseconds::max();
  }

 private:
  struct Feed {
    FeedRetry retry;
    MonotonicTime next;
    bool calling = false;
    bool answered = false;
    bool done = false;
  };

  auto Advance(Feed& feed, MonotonicTime now, MonotonicTime end) -> void {
    if (feed.done || now < feed.next) {
      return;
    }
    if (feed.calling) {
      feed.calling = false;
      EndCall(feed, now);
      return;
    }
    const auto decision = circuit_.AllowCall(now, true);
    if (!decision.allowed) {
      feed.next = now + feed.retry.OnRefused(decision.retry_after);
      return;
    }
    feed.calling = true;
    feed.answered = now >= end;
    feed.next = now + (feed.answered ? kAnswerTime : kCallTimeout);
  }

  auto EndCall(Feed& feed, MonotonicTime now) -> void {
    if (feed.answered) {
      circuit_.OnSuccess();
      feed.retry.OnSuccess();
      feed.done = true;
      return;
    }
    circuit_.OnFailure(now);
    feed.next = now + feed.retry.OnFailure();
  }

  auto MakeRetry() -> FeedRetry {
    const auto settings = StoreFeedSettings();
    return {settings.initial_backoff, settings.max_backoff,
            [this] { return random_(); }};
  }

  std::mt19937_64 random_;
  store::Circuit circuit_{store::CircuitOptions(),
                          [this] { return random_(); }};
  std::array<Feed, 2> feeds_{{{.retry = MakeRetry()}, {.retry = MakeRetry()}}};
};

// Guards against waits that are each below the bound and together above it: the
// timeout of the last call in the outage, the circuit's and the feed's.
TEST_CASE("FeedRetry.ReadsWithinTheBoundAfterAnOutage") {
  auto longest = milliseconds::zero();
  for (auto seed = 0U; seed < kSeeds; ++seed) {
    const auto outage = milliseconds(500 + 50 * seed);
    longest = std::max(longest, Simulation(seed).Run(outage));
  }
  CHECK(longest <= kReturnTime);
}

// Guards against a feed that repeats a watch which the circuit never allows.
TEST_CASE("FeedRetry.AsksForAnImmediateAnswerUntilACallSucceeds") {
  auto retry =
      FeedRetry(milliseconds(100), milliseconds(800), [] { return 0; });
  CHECK_FALSE(retry.failed());
  retry.OnFailure();
  CHECK(retry.failed());
  retry.OnSuccess();
  retry.OnRefused(milliseconds(300));
  CHECK(retry.failed());
  retry.OnSuccess();
  CHECK_FALSE(retry.failed());
}

// Guards against a pause as long as that of the circuit, which another call may
// close earlier.
TEST_CASE("FeedRetry.PausesBrieflyAfterARefusalByTheCircuit") {
  auto retry =
      FeedRetry(milliseconds(100), milliseconds(800), [] { return 0; });
  CHECK(retry.OnRefused(seconds(3)) <= milliseconds(200));
  CHECK(retry.OnRefused(Duration::zero()) > milliseconds::zero());
}

// Guards against a load on the store that grows with the length of an outage,
// and against all nodes retrying at the same moment.
TEST_CASE("FeedRetry.DoublesItsBackoffUpToTheMaximum") {
  auto random = std::mt19937_64(3);
  auto retry = FeedRetry(milliseconds(100), milliseconds(800),
                         [&random] { return random(); });
  auto pauses = std::vector<milliseconds>();
  for (auto failure = 0; failure < 30; ++failure) {
    pauses.push_back(retry.OnFailure());
  }
  CHECK(pauses.front() <= milliseconds(150));
  CHECK(*std::min_element(pauses.begin() + 3, pauses.end()) >=
        milliseconds(400));
  CHECK(*std::max_element(pauses.begin(), pauses.end()) <= milliseconds(1'200));
  CHECK(std::adjacent_find(pauses.begin() + 3, pauses.end(),
                           std::not_equal_to<>()) != pauses.end());
}

}  // namespace
}  // namespace kumquatgauge::serving
