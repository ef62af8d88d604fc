#include "testing/support/load_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <set>
#include <utility>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::testing {
namespace {

using routing::WorkClass;
using serving::Availability;
using serving::LoadBalancer;
using serving::LoadBalancerSettings;

const ServiceName kService("chat");
constexpr auto kLatencyTarget = std::chrono::milliseconds(300);
// As the gateways do, a request waits for a slot for a part of its target.
constexpr double kMaxWaitMs = 120.0;
constexpr double kRetryMs = 5.0;
constexpr double kMsPerSecond = 1e3;
constexpr double kWindowMs = 200.0;

auto ToMs(Duration duration) -> double {
  return std::chrono::duration<double, std::milli>(duration).count();
}

auto FromMs(double milliseconds) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

struct Gateway {
  std::string zone;
  std::unique_ptr<LoadBalancer> balancer;
};

struct Request {
  std::size_t gateway = 0;
  std::size_t replica = 0;
  double arrived_ms = 0.0;
  double sent_ms = 0.0;
  double crossing_ms = 0.0;
  double last_event_ms = 0.0;
  std::uint32_t events = 0;
  bool measured = false;
};
using RequestPtr = std::shared_ptr<Request>;

struct Replica {
  ModelReplica model;
  std::uint32_t running = 0;
  std::deque<RequestPtr> queue;
  double host_load = 1.0;
  bool ended = false;
};

class Model {
 public:
  explicit Model(LoadModelSettings settings)
      : settings_(std::move(settings)),
        random_(settings_.seed),
        balancer_random_(settings_.seed + 1),
        service_random_(settings_.seed + 2) {
    for (const auto& replica : settings_.replicas) {
      replicas_.push_back({replica, 0, {}, 1.0, false});
    }
    for (const auto& zone : settings_.gateway_zones) {
      gateways_.push_back(
          {zone, std::make_unique<LoadBalancer>(
                     LoadBalancerSettings(), ZoneName(zone), clock_.AsHook(),
                     [this] { return balancer_random_(); })});
      gateways_.back().balancer->SetZoneCosts(settings_.zone_costs);
    }
    Announce();
  }

  auto Run() -> LoadModelResult {
    ChangeRate();
    Arrive();
    for (std::size_t at = 0; at < gateways_.size(); ++at) {
      After(Draw(0, ToMs(settings_.counts_interval)),
            [this, at] { SendCounts(at); });
    }
    for (std::size_t at = 0; at < replicas_.size(); ++at) {
      ChangeHostLoad(at);
    }
    if (!settings_.ending.empty()) {
      After(ToMs(settings_.ends_at), [this] { EndReplicas(); });
    }
    After(kWindowMs, [this] { EndWindow(); });
    const auto end = ToMs(settings_.length);
    while (!events_.empty() && events_.top().at_ms <= end) {
      auto event = events_.top();
      events_.pop();
      clock_.Advance(FromMs(event.at_ms) - FromMs(now_ms_));
      now_ms_ = event.at_ms;
      event.run();
    }
    return result_;
  }

 private:
  struct Event {
    double at_ms;
    std::uint64_t number;  // Orders events of the same time.
    std::function<auto()->void> run;

    auto operator<(const Event& other) const -> bool {
      return std::pair(at_ms, number) > std::pair(other.at_ms, other.number);
    }
  };

  auto After(double milliseconds, std::function<auto()->void> run) -> void {
    events_.push({now_ms_ + milliseconds, ++number_, std::move(run)});
  }

  auto Draw(double low, double high) -> double {
    return DrawFrom(random_, low, high);
  }

  static auto DrawFrom(std::mt19937_64& random, double low, double high)
      -> double {
    constexpr auto kUnusedBits = 11;
    constexpr auto kMantissaBits = 53;
    const auto unit = std::ldexp(static_cast<double>(random() >> kUnusedBits),
                                 -kMantissaBits);
    return low + (high - low) * unit;
  }

  auto Announce() -> void {
    auto replicas = std::vector<routing::Replica>();
    for (const auto& replica : replicas_) {
      if (replica.ended) {
        continue;
      }
      auto entry = routing::Replica();
      entry.id = ReplicaId(replica.model.id);
      entry.service = kService;
      entry.address = "10.0.0.1:" + std::to_string(replicas.size() + 1);
      entry.zone = ZoneName(replica.model.zone);
      entry.capacity = replica.model.slots;
      replicas.push_back(entry);
    }
    for (auto& gateway : gateways_) {
      gateway.balancer->SetReplicas(replicas);
    }
  }

  auto ChangeRate() -> void {
    constexpr double kLeastMs = 2'400.0;
    constexpr double kMostMs = 3'400.0;
    factor_ = Draw(settings_.lowest_factor, settings_.highest_factor);
    After(Draw(kLeastMs, kMostMs), [this] { ChangeRate(); });
  }

  auto ChangeHostLoad(std::size_t at) -> void {
    if (!settings_.host_load_varies) {
      return;
    }
    constexpr double kLeast = 0.7;
    constexpr double kMost = 1.5;
    constexpr double kLeastMs = 20.0;
    constexpr double kMostMs = 80.0;
    replicas_[at].host_load = Draw(kLeast, kMost);
    After(Draw(kLeastMs, kMostMs), [this, at] { ChangeHostLoad(at); });
  }

  auto EndReplicas() -> void {
    const auto ending =
        std::set<std::string>(settings_.ending.begin(), settings_.ending.end());
    for (auto& replica : replicas_) {
      if (ending.contains(replica.model.id)) {
        replica.ended = true;
        replica.queue.clear();
      }
    }
    Announce();
  }

  auto SendCounts(std::size_t from) -> void {
    const auto counts = gateways_[from].balancer->own_counts();
    for (std::size_t to = 0; to < gateways_.size(); ++to) {
      if (to != from) {
        gateways_[to].balancer->OnPeerCounts(NodeId("g" + std::to_string(from)),
                                             counts);
      }
    }
    After(ToMs(settings_.counts_interval), [this, from] { SendCounts(from); });
  }

  auto EndWindow() -> void {
    constexpr std::uint32_t kLeastRequests = 10;
    if (window_requests_ >= kLeastRequests &&
        now_ms_ > ToMs(settings_.warm_up)) {
      result_.window_shares.push_back(static_cast<double>(window_left_) /
                                      window_requests_);
    }
    window_requests_ = 0;
    window_left_ = 0;
    After(kWindowMs, [this] { EndWindow(); });
  }

  auto Arrive() -> void {
    const auto mean_ms = kMsPerSecond / (settings_.rate_per_s * factor_);
    After(-std::log(1.0 - Draw(0, 1)) * mean_ms, [this] { Arrive(); });
    auto request = std::make_shared<Request>();
    request->gateway = random_() % gateways_.size();
    request->arrived_ms = now_ms_;
    request->measured = now_ms_ >= ToMs(settings_.warm_up);
    request->events =
        settings_.least_events +
        static_cast<std::uint32_t>(
            random_() % (settings_.most_events - settings_.least_events + 1));
    result_.requests += request->measured ? 1 : 0;
    Place(request);
  }

  auto Place(const RequestPtr& request) -> void {
    auto& gateway = gateways_[request->gateway];
    auto wanted = serving::ChoiceRequest();
    wanted.service = kService;
    wanted.latency_target = kLatencyTarget;
    const auto choice = gateway.balancer->Choose(wanted);
    const auto has_room = choice.availability == Availability::kFree ||
                          choice.availability == Availability::kQueued;
    if (!choice.replica || !has_room) {
      if (now_ms_ - request->arrived_ms < kMaxWaitMs) {
        After(kRetryMs, [this, request] { Place(request); });
      } else {
        result_.refused += request->measured ? 1 : 0;
      }
      return;
    }
    const auto id = choice.replica->id;
    const auto found = std::find_if(
        replicas_.begin(), replicas_.end(),
        [&](const Replica& each) { return each.model.id == id.value(); });
    request->replica = static_cast<std::size_t>(found - replicas_.begin());
    request->sent_ms = now_ms_;
    gateway.balancer->OnStarted(id, WorkClass::kOnline);
    const auto left = found->model.zone != gateway.zone;
    CountSent(*request, left);
    request->crossing_ms = left ? settings_.crossing_ms : 0.0;
    After(request->crossing_ms, [this, request] { Reach(request); });
  }

  auto CountSent(const Request& request, bool left) -> void {
    if (gateways_[request.gateway].zone == gateways_.front().zone) {
      ++window_requests_;
      window_left_ += left ? 1 : 0;
    }
    if (left && request.measured) {
      ++result_.left_zone;
      result_.bytes_left_zone += settings_.bytes;
    }
  }

  auto Reach(const RequestPtr& request) -> void {
    auto& replica = replicas_[request->replica];
    if (replica.ended) {
      return;
    }
    if (replica.running < replica.model.slots) {
      Begin(request);
    } else {
      replica.queue.push_back(request);
    }
  }

  auto EventMs(const Replica& replica, double idle_ms) -> double {
    constexpr double kJitter = 0.2;
    const auto others = replica.running > 0 ? replica.running - 1 : 0;
    return idle_ms * replica.model.speed * replica.host_load *
           (1.0 + settings_.batch_slope * others / replica.model.slots) *
           DrawFrom(service_random_, 1.0 - kJitter, 1.0 + kJitter);
  }

  auto Begin(const RequestPtr& request) -> void {
    auto& replica = replicas_[request->replica];
    ++replica.running;
    if (request->measured) {
      result_.waits.push_back(now_ms_ - request->arrived_ms +
                              request->crossing_ms);
    }
    After(EventMs(replica, settings_.first_ms), [this, request] {
      if (replicas_[request->replica].ended) {
        return;
      }
      if (request->measured) {
        result_.firsts.push_back(now_ms_ - request->arrived_ms +
                                 request->crossing_ms);
      }
      After(request->crossing_ms, [this, request] { Report(*request); });
      request->last_event_ms = now_ms_;
      Continue(request);
    });
  }

  auto Report(const Request& request) -> void {
    const auto& replica = replicas_[request.replica];
    const auto waiting = static_cast<std::uint32_t>(replica.queue.size());
    const auto host_load = settings_.reports_host_load
                               ? std::optional(replica.host_load)
                               : std::nullopt;
    gateways_[request.gateway].balancer->OnReport(
        ReplicaId(replica.model.id), replica.running, waiting, host_load);
  }

  auto Continue(const RequestPtr& request) -> void {
    auto& replica = replicas_[request->replica];
    if (--request->events == 0) {
      End(request);
      return;
    }
    After(EventMs(replica, settings_.gap_ms), [this, request] {
      if (replicas_[request->replica].ended) {
        return;
      }
      if (request->measured) {
        result_.gaps.push_back(now_ms_ - request->last_event_ms);
      }
      request->last_event_ms = now_ms_;
      Continue(request);
    });
  }

  auto End(const RequestPtr& request) -> void {
    auto& replica = replicas_[request->replica];
    --replica.running;
    const auto id = ReplicaId(replica.model.id);
    After(request->crossing_ms, [this, request, id] {
      auto& balancer = *gateways_[request->gateway].balancer;
      balancer.OnEnded(id, WorkClass::kOnline);
      const auto held = FromMs(now_ms_ - request->sent_ms);
      if (settings_.learns_speeds) {
        balancer.OnCompleted(id, held);
      } else {
        balancer.OnHoldingTime(kService, held);
      }
      balancer.OnBytes(id, settings_.bytes);
    });
    if (!replica.queue.empty()) {
      const auto next = replica.queue.front();
      replica.queue.pop_front();
      Begin(next);
    }
  }

  LoadModelSettings settings_;
  // The choices of the balancers don't change arrivals, so that runs with
  // different rules get the same requests.
  std::mt19937_64 random_;
  std::mt19937_64 balancer_random_;
  std::mt19937_64 service_random_;
  ManualClock clock_;
  std::vector<Gateway> gateways_;
  std::vector<Replica> replicas_;
  std::priority_queue<Event> events_;
  std::uint64_t number_ = 0;
  double now_ms_ = 0.0;
  double factor_ = 1.0;
  std::uint32_t window_requests_ = 0;
  std::uint32_t window_left_ = 0;
  LoadModelResult result_;
};

}  // namespace

auto LoadModelResult::left_share() const -> double {
  return requests > 0
             ? static_cast<double>(left_zone) / static_cast<double>(requests)
             : 0.0;
}

auto MeanOf(const std::vector<double>& values) -> double {
  return values.empty() ? 0.0
                        : std::accumulate(values.begin(), values.end(), 0.0) /
                              static_cast<double>(values.size());
}

auto QuantileOf(std::vector<double> values, double quantile) -> double {
  if (values.empty()) {
    return 0.0;
  }
  const auto at = static_cast<std::ptrdiff_t>(
      quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<std::size_t>(at)];
}

auto RunLoadModel(const LoadModelSettings& settings) -> LoadModelResult {
  return Model(settings).Run();
}

}  // namespace kumquatgauge::testing
