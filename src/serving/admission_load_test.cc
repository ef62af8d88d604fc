// Load steps above the capacity of a cell: the shares of requests that are
// served with AdmissionQueue and with the admission that it replaced.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <iterator>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "kumquatgauge/serving/admission_queue.h"
#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Ticket = AdmissionQueue::Ticket;

const ServiceName kService("chat");
constexpr auto kGateways = 5;
constexpr auto kSlots = 60;
constexpr auto kMeanHold = milliseconds(800);
constexpr auto kWait = milliseconds(60);  // At most, before a refusal.
constexpr auto kOrganisations = 40;
constexpr auto kLargest = 0;   // Sends a quarter of all requests.
constexpr auto kBursting = 7;  // Sends 7.5 times as much in some steps.
constexpr auto kTimeLimit = seconds(5);  // Of all callers.
constexpr auto kMinSize = 0.462;  // The mean of sizes up to 4 times this is 1.
constexpr auto kRuntime = seconds(90);
constexpr auto kStep = seconds(3);
// Loads as multiples of the capacity.
constexpr auto kHighLoad = 1.4;
constexpr auto kLowLoad = 0.4;

// The admission before AdmissionQueue: all wait until they must start, by
// urgency alone, and refused callers return at random times.
struct FormerAdmission {
  static auto OnArrival(const AdmissionRequest&) -> bool { return false; }
  static auto OnStarted(const AdmissionRequest&) -> void {}
  auto MustWait(const AdmissionRequest& request) const -> bool {
    return !queue.empty() && queue.begin()->first <= request.start_by;
  }
  auto Enqueue(const AdmissionRequest& request) -> AdmissionQueue::Placement {
    queue.emplace(request.start_by, ++last);
    return {.ticket = last, .displaced = {}};
  }
  auto Leave(Ticket ticket, bool) -> void {
    std::erase_if(queue, [&](const auto& e) { return e.second == ticket; });
  }
  auto Fronts() const -> std::vector<Ticket> { return {queue.begin()->second}; }
  auto OnFull(const ServiceName& service) -> void {
    estimator.OnFull(service, clock());
  }
  auto RetryAfter(const AdmissionRequest& request) -> Duration {
    const auto window = estimator.ReturnWindow(kService, clock(), kMeanHold,
                                               request.deadline - clock());
    const auto spread =
        std::min<Duration>(2 * kMeanHold, window.latest - window.earliest);
    return window.earliest +
           spread * static_cast<int>(random() % 1'000) / 1'000;
  }

  Clock clock;
  RandomSource random;
  RetryAfterEstimator estimator{RetryAfterEstimatorSettings()};
  std::multimap<MonotonicTime, Ticket> queue;
  Ticket last = 0;
};

struct Tally {
  double sent = 0;
  double served = 0;

  auto share() const -> double { return sent > 0 ? served / sent : 1.0; }
};

struct Shares {
  Tally all;
  Tally second;  // Of second attempts.
  std::map<int, Tally> organisations;
  std::map<int, Tally> sizes;  // By tenths.
  int waited_in_vain = 0;
  Duration longest_wait{0};
};

template <typename Admission>
class Model {
 public:
  template <typename Make>
  Model(unsigned seed, Make make) : random_(seed) {
    for (auto& gateway : gateways_) {
      gateway.admission = make(clock_.AsHook(), [this] { return random_(); });
    }
  }

  auto Run() -> Shares {
    const auto end = clock_.now() + kRuntime;
    while (clock_.now() < end) {
      clock_.Advance(milliseconds(1));
      ends_.erase(ends_.begin(), ends_.upper_bound(clock_.now()));
      // Gateways learn of free slots in any order.
      std::shuffle(gateways_.begin(), gateways_.end(), random_);
      for (auto& gateway : gateways_) {
        Serve(gateway);
      }
      while (!returns_.empty() && returns_.begin()->first <= clock_.now()) {
        Arrive(returns_.extract(returns_.begin()).mapped());
      }
      if (end - clock_.now() > kTimeLimit + seconds(1)) {
        SendNew();
      }
    }
    return shares_;
  }

 private:
  struct Caller {
    int organisation = 0;
    double size = 1.0;  // From 0.46 to 1.85 times the mean.
    AdmissionRequest request;
    bool is_second = false;
  };
  struct Gateway {
    std::unique_ptr<Admission> admission;
    std::map<Ticket, Caller> waiting;
  };

  auto Draw() -> double {
    return std::uniform_real_distribution<double>()(random_);
  }

  auto SendNew() -> void {
    const auto step = clock_.now().time_since_epoch() / kStep;
    const auto load = step % 2 == 0 ? kHighLoad : kLowLoad;
    const auto rate = load * kSlots / kMeanHold.count();  // Per millisecond.
    for (auto i = 0; i < kOrganisations; ++i) {
      // The others' loads differ by a factor of four.
      auto share = i == kLargest ? 0.25 : 0.75 * (1 + 3 * (i % 2)) / 97.0;
      share *= i == kBursting && step % 8 == 0 ? 7.5 : 1.0;
      if (Draw() < rate * share) {
        auto caller = Caller{i, kMinSize * std::exp2(2 * Draw()), {}, false};
        caller.request = {
            .service = kService,
            .route = "chat",
            .organisation = OrganisationName("o" + std::to_string(i)),
            .work = 650 * caller.size,
            .deadline = clock_.now() + kTimeLimit};
        Arrive(caller);
      }
    }
  }

  auto Arrive(Caller caller) -> void {
    auto& gateway = gateways_.at(random_() % gateways_.size());
    auto& request = caller.request;
    request.start_by = clock_.now() + kWait;
    request.time_limit = request.deadline - clock_.now();
    request.returning = gateway.admission->OnArrival(request);
    Count(caller, &Tally::sent);
    if (HasSlot() && !gateway.admission->MustWait(request)) {
      gateway.admission->OnStarted(request);
      Start(caller);
      return;
    }
    const auto placement = gateway.admission->Enqueue(request);
    for (const auto ticket : placement.displaced) {
      Refuse(gateway, gateway.waiting.extract(ticket).mapped());
    }
    if (placement.ticket) {
      gateway.waiting[*placement.ticket] = caller;
    } else {
      Refuse(gateway, caller);
    }
  }

  // Starts waiting requests at free slots, and refuses those that are too late.
  auto Serve(Gateway& gateway) -> void {
    while (HasSlot() && !gateway.waiting.empty()) {
      const auto ticket = gateway.admission->Fronts().front();
      gateway.admission->Leave(ticket, true);
      Start(gateway.waiting.extract(ticket).mapped());
    }
    const auto waiting = gateway.waiting;
    for (const auto& [ticket, caller] : waiting) {
      if (caller.request.start_by <= clock_.now()) {
        gateway.waiting.erase(ticket);
        gateway.admission->Leave(ticket, false);
        ++shares_.waited_in_vain;
        Refuse(gateway, caller);
      }
    }
  }

  auto Refuse(Gateway& gateway, Caller caller) -> void {
    gateway.admission->OnFull(kService);
    const auto after = gateway.admission->RetryAfter(caller.request);
    if (!std::exchange(caller.is_second, true)) {
      returns_.emplace(clock_.now() + after, caller);
    }
  }

  auto Start(const Caller& caller) -> void {
    const auto hold = kMeanHold * caller.size * (0.5 + Draw());
    ends_.insert(clock_.now() + std::chrono::duration_cast<Duration>(hold));
    shares_.longest_wait = std::max(
        shares_.longest_wait, clock_.now() - (caller.request.start_by - kWait));
    Count(caller, &Tally::served);
  }

  auto HasSlot() const -> bool { return ends_.size() < kSlots; }

  // Counts an attempt as sent or served; a caller counts as sent once.
  auto Count(const Caller& caller, double Tally::*count) -> void {
    const auto tenth = static_cast<int>(5 * std::log2(caller.size / kMinSize));
    shares_.second.*count += caller.is_second ? 1 : 0;
    if (!caller.is_second || count == &Tally::served) {
      ++(shares_.all.*count);
      ++(shares_.organisations[caller.organisation].*count);
      ++(shares_.sizes[std::min(tenth, 9)].*count);
    }
  }

  testing::ManualClock clock_;
  std::mt19937 random_;
  std::vector<Gateway> gateways_{kGateways};
  std::multiset<MonotonicTime> ends_;
  std::multimap<MonotonicTime, Caller> returns_;
  Shares shares_;
};

// Guards against a shortage that falls on the organisation with the most
// requests, on small organisations or on large requests, against waits that are
// known to be in vain, and against second attempts that are refused like first
// ones. The bounds of the shares are those of
// docs/design/load-above-capacity.md, part 7.
TEST_CASE("AdmissionQueue.ServesAllOrganisationsAndSizesInLoadSteps") {
  constexpr auto kMinOrganisationShare = 0.25;
  constexpr auto kMinLargeShare = 0.5;
  constexpr auto kMinWorstTenth = 0.8;  // "Near the mean".
  const auto seed = GENERATE(1u, 2u, 3u, 4u, 5u);
  const auto former =
      Model<FormerAdmission>(seed, [](const auto& clock, const auto& random) {
        return std::make_unique<FormerAdmission>(
            FormerAdmission{.clock = clock, .random = random});
      }).Run();
  const auto shares =
      Model<AdmissionQueue>(seed, [](const auto& clock, const auto& random) {
        return std::make_unique<AdmissionQueue>(
            AdmissionQueueSettings(), clock, random, [](const ServiceName&) {
              return SlotSupply{kSlots, kMeanHold, kGateways};
            });
      }).Run();
  const auto all = shares.all.share();
  CAPTURE(seed, all, former.all.share(), shares.second.share(),
          former.second.share(), shares.waited_in_vain, former.waited_in_vain);
  auto by_organisation = std::multiset<double>();
  for (const auto& [organisation, tally] : shares.organisations) {
    by_organisation.insert(tally.share());
  }
  CHECK(*by_organisation.begin() > kMinOrganisationShare * all);
  constexpr auto kTenth = kOrganisations / 10;
  const auto worst = std::accumulate(
      by_organisation.begin(), std::next(by_organisation.begin(), kTenth), 0.0);
  CHECK(worst / kTenth > kMinWorstTenth * all);
  for (const auto tenth : {7, 8, 9}) {
    CHECK(shares.sizes.at(tenth).share() >= kMinLargeShare * all);
  }
  CHECK(shares.longest_wait <= kWait);
  CHECK(all > former.all.share());
  CHECK(shares.second.share() > former.second.share());
  CHECK(shares.waited_in_vain < former.waited_in_vain / 2);
}

}  // namespace
}  // namespace kumquatgauge::serving
