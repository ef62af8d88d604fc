// Compares the rules for batch admission (fixed share, idle slots only,
// feedback) beside bursts of online requests on one replica, by online latency
// and batch throughput over values of `lean`.
//
// Batch throughput is stated as a share of the idle capacity: the tokens that
// the engine would generate with all slots taken all the time, less those of
// online requests.

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/routing_simulation.h"
#include "kumquatgauge/routing/dispatcher.h"

namespace {

using namespace kumquatgauge;
using namespace kumquatgauge::bench;
using namespace kumquatgauge::routing;

constexpr double kThroughputBound = 0.9;
constexpr double kTailBound = 1.1;
constexpr double kWarmupSeconds = 180.0;
constexpr double kMeasuredSeconds = 4800.0;
constexpr double kHighestRate = 6.0;  // Of online requests per second.
constexpr double kOwnerDelayMs = 2.0;
constexpr double kMeanOnlineTokens = 60.0;
constexpr double kMeanBatchTokens = 150.0;

struct Result {
  double first_token_p99_ms = 0.0;
  double inter_token_p99_ms = 0.0;
  double idle_share = 0.0;
  double batch_tokens_s = 0.0;
  std::uint64_t refused = 0;
  std::uint64_t preempted = 0;
};

class Scenario {
 public:
  Scenario(std::uint64_t seed,
           const std::optional<BatchAdmissionSettings>& batch)
      : simulation_(seed),
        online_random_(seed),
        batch_(batch),
        engine_(simulation_,
                EngineModel(),
                [this](std::uint64_t id, std::uint32_t tokens, bool last) {
                  OnToken(id, tokens, last);
                }),
        dispatcher_(MakeReplica(), MakeSettings(batch), simulation_.AsHook()) {
    engine_.on_cancelled = [this](std::uint64_t id) {
      End(id, UpstreamEnd::kCancelled);
    };
  }

  auto Run() -> Result {
    // Bursts: the rate changes every few seconds.
    ChangeRate();
    ArriveOnline();
    Tick();
    measuring_from_ = simulation_.now() + Milliseconds(1e3 * kWarmupSeconds);
    end_ = measuring_from_ + Milliseconds(1e3 * kMeasuredSeconds);
    simulation_.RunUntil(end_);
    result_.first_token_p99_ms = Quantile(first_token_ms_, 0.99);
    result_.inter_token_p99_ms = Quantile(inter_token_ms_, 0.99);
    result_.idle_share = static_cast<double>(batch_tokens_) / IdleTokens();
    result_.batch_tokens_s =
        static_cast<double>(batch_tokens_) / kMeasuredSeconds;
    return result_;
  }

 private:
  struct Request {
    bool batch = false;
    std::uint32_t tokens = 0;  // Requested in total.
    std::uint32_t offset = 0;  // Generated before this run.
    std::uint32_t now = 0;     // Generated so far.
    MonotonicTime arrived = {};
    MonotonicTime first_token = {};
  };

  static auto MakeReplica() -> Replica {
    Replica replica;
    replica.id = ReplicaId("r");
    replica.capacity = EngineModel().capacity;
    return replica;
  }
  static auto MakeSettings(const std::optional<BatchAdmissionSettings>& batch)
      -> DispatcherSettings {
    DispatcherSettings settings;
    settings.batch = batch.value_or(BatchAdmissionSettings());
    return settings;
  }
  // Tokens that batch items could have generated: the time that the online
  // prefills leave, in steps with all slots taken, less the slots of online
  // tokens; batch items are prefilled once.
  auto IdleTokens() const -> double {
    EngineModel model;
    auto step_ms = model.StepMs(model.capacity);
    auto time_ms = 1e3 * kMeasuredSeconds -
                   model.prefill_ms * static_cast<double>(online_started_);
    auto slots = model.capacity * time_ms / step_ms -
                 static_cast<double>(online_tokens_);
    return slots / (1.0 + model.capacity * model.prefill_ms /
                              (kMeanBatchTokens * step_ms));
  }
  auto IsMeasured() const -> bool {
    return simulation_.now() >= measuring_from_;
  }
  static auto Length(double mean, std::mt19937_64& random) -> std::uint32_t {
    std::exponential_distribution<double> length(1.0 / mean);
    return 2 + static_cast<std::uint32_t>(length(random));
  }

  auto ChangeRate() -> void {
    // Mean load of a third of the slots, with idle phases and bursts of a few
    // seconds each.
    const std::vector<double> rates = {0.0, 0.5, 1.0, 2.0, 4.0, 6.0};
    rate_ = rates[online_random_() % rates.size()];
    std::exponential_distribution<double> stay(1.0 / 6.0);
    simulation_.After(Milliseconds(1e3 * stay(online_random_)),
                      [this] { ChangeRate(); });
  }
  auto ArriveOnline() -> void {
    std::exponential_distribution<double> gap(kHighestRate);
    auto next = Milliseconds(1e3 * gap(online_random_));
    simulation_.After(next, [this] {
      std::uniform_real_distribution<double> draw(0.0, kHighestRate);
      if (draw(online_random_) < rate_) {
        auto id = next_++;
        requests_[id] = {.tokens = Length(kMeanOnlineTokens, online_random_),
                         .arrived = simulation_.now()};
        Arrive(id, WorkClass::kOnline);
      }
      ArriveOnline();
    });
  }
  // The batch owner always has items and sends as many as there are free batch
  // slots.
  auto ArriveBatch() -> void {
    if (!batch_) {
      return;
    }
    owner_due_ = true;
    simulation_.After(Milliseconds(kOwnerDelayMs), [this] {
      owner_due_ = false;
      auto room = dispatcher_.load().free_batch_slots;
      for (std::uint32_t sent = 0; sent < room; ++sent) {
        std::uint64_t id = 0;
        if (returned_.empty()) {
          id = next_++;
          requests_[id] = {
              .batch = true,
              .tokens = Length(kMeanBatchTokens, simulation_.random())};
        } else {
          id = returned_.back();
          returned_.pop_back();
        }
        Arrive(id, WorkClass::kBatch);
      }
    });
  }
  auto Arrive(std::uint64_t id, WorkClass work_class) -> void {
    DispatchItem item;
    item.id = RequestId(std::to_string(id));
    item.work_class = work_class;
    item.time_left = std::chrono::seconds(60);
    item.slack = std::chrono::hours(1);
    item.resume_offset = requests_.at(id).offset;
    Apply(dispatcher_.Arrive(item));
  }
  auto Apply(const Dispatcher::Actions& actions) -> void {
    for (const auto& action : actions) {
      auto id = std::stoull(action.id.value());
      auto& request = requests_.at(id);
      switch (action.kind) {
        case DispatchAction::Kind::kStart:
          request.now = request.offset;
          engine_.Submit(id, request.tokens - request.offset);
          break;
        case DispatchAction::Kind::kPreempt:
          result_.preempted += IsMeasured() ? 1 : 0;
          engine_.Cancel(id);
          break;
        case DispatchAction::Kind::kRefuse:
        case DispatchAction::Kind::kExpire:
          if (request.batch) {
            returned_.push_back(id);
          } else {
            result_.refused += IsMeasured() ? 1 : 0;
            requests_.erase(id);
          }
          break;
      }
    }
    if (!owner_due_) {
      ArriveBatch();
    }
  }
  auto OnToken(std::uint64_t id, std::uint32_t tokens, bool last) -> void {
    auto& request = requests_.at(id);
    request.now = request.offset + tokens;
    if (IsMeasured()) {
      ++(request.batch ? batch_tokens_ : online_tokens_);
    }
    RequestId name(std::to_string(id));
    if (tokens == 1) {
      online_started_ += IsMeasured() && !request.batch ? 1 : 0;
      request.first_token = simulation_.now();
      Apply(dispatcher_.FirstToken(name));
    } else {
      Apply(dispatcher_.TokenProgress(name, request.now));
    }
    if (last) {
      End(id, UpstreamEnd::kCompleted);
    }
  }
  auto End(std::uint64_t id, UpstreamEnd end) -> void {
    auto& request = requests_.at(id);
    if (end == UpstreamEnd::kCancelled) {
      request.offset = request.now;
      returned_.push_back(id);
    } else {
      if (!request.batch && request.arrived >= measuring_from_) {
        first_token_ms_.push_back(
            InMilliseconds(request.first_token - request.arrived));
        inter_token_ms_.push_back(
            InMilliseconds(simulation_.now() - request.first_token) /
            (request.tokens - 1));
      }
      requests_.erase(id);
    }
    Apply(dispatcher_.Finished(RequestId(std::to_string(id)), end));
  }
  auto Tick() -> void {
    Apply(dispatcher_.Tick());
    simulation_.After(Milliseconds(50), [this] { Tick(); });
  }

  Simulation simulation_;
  // The online requests are the same with and without batch.
  std::mt19937_64 online_random_;
  std::optional<BatchAdmissionSettings> batch_;
  Engine engine_;
  Dispatcher dispatcher_;
  std::unordered_map<std::uint64_t, Request> requests_;
  std::vector<std::uint64_t> returned_;
  std::uint64_t next_ = 0;
  double rate_ = 0.0;
  bool owner_due_ = false;
  MonotonicTime measuring_from_;
  MonotonicTime end_;
  std::uint64_t online_started_ = 0;
  std::uint64_t online_tokens_ = 0;
  std::uint64_t batch_tokens_ = 0;
  std::vector<double> first_token_ms_;
  std::vector<double> inter_token_ms_;
  Result result_;
};

struct Rule {
  BatchRule rule;
  std::string name;
};

auto RunRule(const Report& report, BatchRule rule, double lean) -> Result {
  BatchAdmissionSettings settings;
  settings.rule = rule;
  settings.lean = lean;
  // Under kFixedShare the setting stands for the share.
  settings.share = lean;
  return Scenario(report.seed(), settings).Run();
}

// The worse of the two ratios of online latency to that without batch.
auto TailRatio(const Result& result, const Result& without) -> double {
  return std::max(result.first_token_p99_ms / without.first_token_p99_ms,
                  result.inter_token_p99_ms / without.inter_token_p99_ms);
}

}  // namespace

auto main(int argc, char** argv) -> int {
  Report report(argc, argv);
  auto without = Scenario(report.seed(), std::nullopt).Run();
  report.Measured("batch_none_first_token_p99_ms", without.first_token_p99_ms);
  report.Measured("batch_none_inter_token_p99_ms", without.inter_token_p99_ms);
  report.Measured("batch_none_online_refused",
                  static_cast<double>(without.refused));
  const std::vector<Rule> rules = {{BatchRule::kFixedShare, "fixed_share"},
                                   {BatchRule::kIdleOnly, "idle_only"},
                                   {BatchRule::kFeedback, "feedback"}};
  for (const auto& [rule, name] : rules) {
    for (auto lean : {0.0, 0.25, 0.5, 0.75, 1.0}) {
      auto result = RunRule(report, rule, lean);
      auto prefix =
          "batch_" + name + "_lean_" + std::to_string(lean).substr(0, 4);
      report.Measured(prefix + "_idle_share", result.idle_share);
      report.Measured(prefix + "_first_token_p99_ratio",
                      result.first_token_p99_ms / without.first_token_p99_ms);
      report.Measured(prefix + "_inter_token_p99_ratio",
                      result.inter_token_p99_ms / without.inter_token_p99_ms);
      report.Measured(prefix + "_online_refused",
                      static_cast<double>(result.refused));
    }
  }
  auto tail = RunRule(report, BatchRule::kFeedback, 0.0);
  auto throughput = RunRule(report, BatchRule::kFeedback, 1.0);
  report.AtMost("batch_feedback_tail_ratio_at_lean_0", TailRatio(tail, without),
                kTailBound);
  report.AtLeast("batch_feedback_idle_share_at_lean_1", throughput.idle_share,
                 kThroughputBound);
  return report.status();
}
