// Load steps above the capacity of a cell: the shares of requests that are
// served with AdmissionQueue and with the admission that it replaced.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <memory>
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
constexpr auto kRuntime = seconds(90);
constexpr auto kStep = seconds(3);
// Loads as multiples of the capacity.
constexpr auto kHighLoad = 1.4;
constexpr auto kLowLoad = 0.4;

// The admission before AdmissionQueue: all wait until they must start, by
// urgency alone, and refused callers return at random times.
class FormerAdmission {
 public:
  FormerAdmission(Clock clock, RandomSource random)
      : clock_(std::move(clock)), random_(std::move(random)) {}

  static auto OnArrival(const AdmissionRequest&) -> bool { return false; }
  static auto OnStarted(const AdmissionRequest&) -> void {}
  auto MustWait(const AdmissionRequest& request) const -> bool {
    return !queue_.empty() && queue_.begin()->first.first <= request.start_by;
  }
  auto Enqueue(const AdmissionRequest& request) -> AdmissionQueue::Placement {
    ++last_;
    queue_.emplace(std::pair(request.start_by, last_), last_);
    return {.ticket = last_, .displaced = {}};
  }
  auto Leave(Ticket ticket, bool /*starts*/) -> void {
    std::erase_if(queue_, [&](const auto& e) { return e.second == ticket; });
  }
  auto Fronts() const -> std::vector<Ticket> {
    return queue_.empty() ? std::vector<Ticket>()
                          : std::vector<Ticket>{queue_.begin()->second};
  }
  auto OnFull(const ServiceName& service) -> void {
    estimator_.OnFull(service, clock_());
  }
  auto RetryAfter(const AdmissionRequest& request) -> Duration {
    constexpr std::uint64_t kSteps = 1'000;
    const auto window = estimator_.ReturnWindow(kService, clock_(), kMeanHold,
                                                request.deadline - clock_());
    const auto spread =
        std::min<Duration>(2 * kMeanHold, window.latest - window.earliest);
    return window.earliest +
           spread * static_cast<int>(random_() % kSteps) / int{kSteps};
  }

 private:
  Clock clock_;
  RandomSource random_;
  RetryAfterEstimator estimator_{RetryAfterEstimatorSettings()};
  std::map<std::pair<MonotonicTime, Ticket>, Ticket> queue_;
  Ticket last_ = 0;
};

struct Caller {
  int organisation = 0;
  double size = 1.0;  // From 0.5 to 2 times the mean.
  bool is_second = false;
  MonotonicTime deadline;
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

  // Returns the share of the tenth of the organisations served least.
  auto WorstTenth() const -> double {
    auto shares = std::vector<double>();
    for (const auto& [organisation, tally] : organisations) {
      shares.push_back(tally.share());
    }
    std::sort(shares.begin(), shares.end());
    return (shares.at(0) + shares.at(1) + shares.at(2) + shares.at(3)) / 4;
  }
};

template <typename Admission>
class Model {
 public:
  template <typename Make>
  Model(unsigned seed, Make make) : random_(seed) {
    for (auto i = 0; i < kGateways; ++i) {
      gateways_.push_back(
          {make(clock_.AsHook(), [this] { return random_(); }), {}});
    }
  }

  auto Run() -> Shares {
    const auto end = clock_.now() + kRuntime;
    while (clock_.now() < end) {
      clock_.Advance(milliseconds(1));
      while (!ends_.empty() && *ends_.begin() <= clock_.now()) {
        ends_.erase(ends_.begin());
      }
      Serve();
      Expire();
      while (!returns_.empty() && returns_.begin()->first <= clock_.now()) {
        const auto caller = returns_.begin()->second;
        returns_.erase(returns_.begin());
        Arrive(caller);
      }
      SendNew(end - clock_.now() > seconds(6));
    }
    return shares_;
  }

 private:
  struct Waiting {
    Caller caller;
    AdmissionRequest request;
    MonotonicTime since;
  };
  struct Gateway {
    std::unique_ptr<Admission> admission;
    std::map<Ticket, Waiting> waiting;
  };

  auto Draw() -> double {
    return std::uniform_real_distribution<double>()(random_);
  }

  auto SendNew(bool sends) -> void {
    const auto step = (clock_.now().time_since_epoch() / kStep);
    const auto load = step % 2 == 0 ? kHighLoad : kLowLoad;
    const auto rate = load * kSlots / kMeanHold.count();  // Per millisecond.
    for (auto i = 0; i < kOrganisations && sends; ++i) {
      // The others' loads differ by a factor of four.
      auto share = i == kLargest ? 0.25 : 0.75 * (1 + 3 * (i % 2)) / 97.0;
      share *= i == kBursting && step % 8 == 0 ? 7.5 : 1.0;
      if (Draw() < rate * share) {
        const auto size = std::exp2(2 * Draw() - 1) / 1.082;
        Arrive({i, size, false, clock_.now() + seconds(5)});
      }
    }
  }

  auto Arrive(Caller caller) -> void {
    auto& gateway = gateways_.at(random_() % kGateways);
    auto request = AdmissionRequest();
    request.service = kService;
    request.route = "chat";
    request.organisation =
        OrganisationName("o" + std::to_string(caller.organisation));
    request.work = 650 * caller.size;
    request.start_by = clock_.now() + kWait;
    request.deadline = caller.deadline;
    request.time_limit = caller.deadline - clock_.now();
    request.returning = gateway.admission->OnArrival(request);
    if (!caller.is_second) {
      for (auto* tally : TalliesOf(caller)) {
        ++tally->sent;
      }
    } else {
      ++shares_.second.sent;
    }
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
      gateway.waiting[*placement.ticket] = {caller, request, clock_.now()};
    } else {
      Refuse(gateway, {caller, request, clock_.now()});
    }
  }

  // Offers free slots to the gateways in turn, as they learn of them.
  auto Serve() -> void {
    const auto first = random_() % kGateways;
    for (auto i = 0; i < kGateways; ++i) {
      auto& gateway = gateways_.at((first + i) % kGateways);
      while (HasSlot() && !gateway.waiting.empty()) {
        const auto ticket = gateway.admission->Fronts().front();
        gateway.admission->Leave(ticket, true);
        const auto waiting = gateway.waiting.extract(ticket).mapped();
        shares_.longest_wait =
            std::max(shares_.longest_wait, clock_.now() - waiting.since);
        Start(waiting.caller);
      }
    }
  }

  auto Expire() -> void {
    for (auto& gateway : gateways_) {
      for (auto at = gateway.waiting.begin(); at != gateway.waiting.end();) {
        const auto [ticket, waiting] = *at++;
        if (waiting.request.start_by <= clock_.now()) {
          gateway.waiting.erase(ticket);
          gateway.admission->Leave(ticket, false);
          ++shares_.waited_in_vain;
          Refuse(gateway, waiting);
        }
      }
    }
  }

  auto Refuse(Gateway& gateway, const Waiting& refused) -> void {
    gateway.admission->OnFull(kService);
    const auto after = gateway.admission->RetryAfter(refused.request);
    auto caller = refused.caller;
    if (!std::exchange(caller.is_second, true)) {
      returns_.emplace(clock_.now() + after, caller);
    }
  }

  auto Start(const Caller& caller) -> void {
    const auto spread = 0.5 + Draw();
    ends_.insert(clock_.now() + std::chrono::duration_cast<Duration>(
                                    kMeanHold * caller.size * spread));
    for (auto* tally : TalliesOf(caller)) {
      ++tally->served;
    }
    shares_.second.served += caller.is_second ? 1 : 0;
  }

  auto HasSlot() const -> bool { return ends_.size() < kSlots; }

  auto TalliesOf(const Caller& caller) -> std::vector<Tally*> {
    const auto tenth =
        static_cast<int>(5 * (std::log2(caller.size * 1.082) + 1));
    return {&shares_.all, &shares_.organisations[caller.organisation],
            &shares_.sizes[std::min(tenth, 9)]};
  }

  testing::ManualClock clock_;
  std::mt19937 random_;
  std::vector<Gateway> gateways_;
  std::multiset<MonotonicTime> ends_;
  std::multimap<MonotonicTime, Caller> returns_;
  Shares shares_;
};

auto RunFormer(unsigned seed) -> Shares {
  return Model<FormerAdmission>(
             seed,
             [](const Clock& clock, const RandomSource& random) {
               return std::make_unique<FormerAdmission>(clock, random);
             })
      .Run();
}

auto RunQueue(unsigned seed) -> Shares {
  return Model<AdmissionQueue>(
             seed,
             [](const Clock& clock, const RandomSource& random) {
               return std::make_unique<AdmissionQueue>(
                   AdmissionQueueSettings(), clock, random,
                   [](const ServiceName&) {
                     return SlotSupply{kSlots, kMeanHold, kGateways};
                   });
             })
      .Run();
}

// Guards against a shortage that falls on the organisation with the most
// requests, on small organisations or on large requests, against waits that are
// known to be in vain, and against second attempts that are refused like first
// ones. The bounds of the shares are those of
// docs/design/load-above-capacity.md, part 7.
TEST_CASE("AdmissionQueue.ServesAllOrganisationsAndSizesInLoadSteps") {
  constexpr auto kMinOrganisationShare = 0.25;
  constexpr auto kMinLargeShare = 0.5;
  // "Near the mean".
  constexpr auto kMinWorstTenth = 0.8;
  const auto seed = GENERATE(1u, 2u, 3u, 4u, 5u);
  const auto former = RunFormer(seed);
  const auto shares = RunQueue(seed);
  const auto all = shares.all.share();
  CAPTURE(seed, all, former.all.share(), shares.second.share(),
          former.second.share(), shares.waited_in_vain, former.waited_in_vain,
          shares.WorstTenth(), former.WorstTenth());
  for (const auto& [organisation, tally] : shares.organisations) {
    CAPTURE(organisation, tally.sent);
    CHECK(tally.share() > kMinOrganisationShare * all);
  }
  CHECK(shares.WorstTenth() > kMinWorstTenth * all);
  CHECK(shares.sizes.at(9).share() >= kMinLargeShare * all);
  CHECK(shares.sizes.at(8).share() >= kMinLargeShare * all);
  CHECK(shares.sizes.at(7).share() >= kMinLargeShare * all);
  CHECK(shares.longest_wait <= kWait);
  CHECK(all > former.all.share());
  CHECK(shares.second.share() > former.second.share());
  CHECK(shares.waited_in_vain < former.waited_in_vain / 2);
}

}  // namespace
}  // namespace kumquatgauge::serving
