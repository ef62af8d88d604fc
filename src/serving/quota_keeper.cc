#include "kumquatgauge/serving/quota_keeper.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "base/process_hooks.h"
#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/log.h"
#include "kumquatgauge/node/peer_server.h"
#include "kumquatgauge/serving/token_quota.h"

namespace kumquatgauge::serving {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using kumquatgauge::detail::Pause;
using nlohmann::json;
using std::chrono::milliseconds;
using store::CallClass;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto kReleaseCall = "token-release";
// A reserved job that is in no listing for so long was not stored: the store
// may carry out a write without an answer seconds later.
constexpr std::chrono::seconds kUnstoredTime{10};
// How long the other holders are asked; a job waits for the answers.
constexpr milliseconds kReleaseTimeout{300};

auto ToMilliseconds(Duration duration) -> milliseconds {
  return std::chrono::duration_cast<milliseconds>(duration);
}

// The account of one route on this node.
struct RouteAccount {
  explicit RouteAccount(TokenQuota quota) : quota(std::move(quota)) {}

  TokenQuota quota;
  bool busy = false;  // One job takes steps.
  std::vector<std::shared_ptr<asio::steady_timer>> waiting;
  // Since when jobs are in no listing.
  std::map<JobId, MonotonicTime> missing;
};

}  // namespace

class QuotaKeeper::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(QuotaKeeperParts parts)
      : parts_(std::move(parts)),
        granted_(
            parts_.metrics.counter("kqg_quota_total{outcome=\"granted\"}")),
        refused_(
            parts_.metrics.counter("kqg_quota_total{outcome=\"refused\"}")),
        steps_(parts_.metrics.counter("kqg_quota_steps_total")) {}

  auto RegisterHandlers(node::PeerServer& server) -> void {
    server.Register(
        kReleaseCall,
        [weak = weak_from_this()](json request,
                                  std::shared_ptr<node::Responder> responder) {
          return AnswerRelease(weak, std::move(request), std::move(responder));
        });
  }

  auto SetConfiguration(const Configuration& configuration) -> void {
    configuration_ = configuration;
    for (auto& [name, account] : routes_) {
      ApplyLimit(name, account.quota);
    }
    for (const auto& route : configuration_.routes) {
      if (route.kind == RequestKind::kBatch) {
        Find(AccountNameOf(route));
      }
    }
  }

  auto Reserve(std::string name, JobId job, std::uint64_t tokens)
      -> awaitable<QuotaDecision> {
    const auto self = shared_from_this();
    auto& route = Find(name);
    Update(route);
    while (route.busy && !route.quota.IsDecided(tokens)) {
      auto timer = std::make_shared<asio::steady_timer>(
          parts_.executor, asio::steady_timer::time_point::max());
      route.waiting.push_back(timer);
      co_await timer->async_wait(kAwaitTuple);
    }
    auto request = TokenRequest();
    request.job = job;
    request.tokens = tokens;
    const auto decided = route.quota.IsDecided(tokens);
    route.busy = route.busy || !decided;
    auto failure = std::exception_ptr();
    auto decision = QuotaDecision();
    try {
      decision = co_await TakeSteps(name, request);
    } catch (const std::exception&) {
      failure = std::current_exception();
    }
    if (!decided) {
      route.busy = false;
      for (const auto& timer : std::exchange(route.waiting, {})) {
        timer->cancel();
      }
    }
    if (failure) {
      std::rethrow_exception(failure);
    }
    (decision.granted ? granted_ : refused_).Add();
    co_return decision;
  }

  auto OnFinished(const std::string& name,
                  const JobId& job,
                  std::uint64_t tokens) -> void {
    Find(name).quota.OnFinished(job, tokens);
  }

  auto OnOver(const std::string& name, const JobId& job) -> void {
    Find(name).quota.OnOver(job);
  }

  auto OnListing(const std::vector<StoredState>& states,
                 const std::function<auto(const JobId&)->bool>& runs_here)
      -> void {
    auto unfinished = std::set<JobId>();
    auto over = std::set<JobId>();
    for (const auto& stored : states) {
      const auto& state = stored.state;
      (state.done || state.ended ? over : unfinished).insert(state.id);
    }
    for (auto& [name, route] : routes_) {
      const auto now = parts_.clock();
      auto missing = std::map<JobId, MonotonicTime>();
      for (const auto& job : route.quota.jobs()) {
        if (runs_here(job) || unfinished.contains(job)) {
          continue;
        }
        const auto before = route.missing.find(job);
        const auto since = before == route.missing.end() ? now : before->second;
        if (over.contains(job) || now - since >= kUnstoredTime) {
          route.quota.OnOver(job);
        } else {
          missing[job] = since;
        }
      }
      route.missing = std::move(missing);
    }
  }

 private:
  auto ApplyLimit(const std::string& name, TokenQuota& quota) const -> void {
    if (const auto limit = TokenLimitOf(configuration_, name)) {
      quota.SetLimit(*limit, configuration_.version);
    }
  }

  auto Find(const std::string& name) -> RouteAccount& {
    const auto found = routes_.find(name);
    if (found != routes_.end()) {
      return found->second;
    }
    auto quota = TokenQuota(
        TokenQuotaSettings(),
        [this](const TokenHolder& holder) { return StatusOf(holder); },
        parts_.clock);
    ApplyLimit(name, quota);
    AddGauges(name);
    return routes_.emplace(name, RouteAccount(std::move(quota))).first->second;
  }

  auto AddGauges(const std::string& name) -> void {
    const auto label = "{route=\"" + name + "\"}";
    const auto add =
        [&](const std::string& metric,
            const std::function<auto(const TokenQuota&)->std::uint64_t>& read) {
          parts_.metrics.AddGauge(metric + label, [weak = weak_from_this(),
                                                   name, read] {
            const auto self = weak.lock();
            return self ? static_cast<double>(read(self->Find(name).quota)) : 0;
          });
        };
    add("kqg_waiting_tokens", [](const auto& quota) { return quota.used(); });
    add("kqg_token_share", [](const auto& quota) { return quota.usable(); });
    add("kqg_token_limit", [](const auto& quota) { return quota.limit(); });
  }

  auto Update(RouteAccount& route) -> void {
    const auto self = parts_.self();
    route.quota.SetSelf({self.id, self.incarnation});
    incarnations_.clear();
    for (const auto& node : parts_.live()) {
      incarnations_[node.id] = node.incarnation;
    }
    route.quota.set_nodes(incarnations_.size());
  }

  auto StatusOf(const TokenHolder& holder) const -> HolderStatus {
    const auto found = incarnations_.find(holder.node);
    if (found == incarnations_.end()) {
      return HolderStatus::kGone;
    }
    return found->second > holder.incarnation ? HolderStatus::kReplaced
                                              : HolderStatus::kLive;
  }

  auto TakeSteps(std::string name, TokenRequest request)
      -> awaitable<QuotaDecision> {
    auto& route = Find(name);
    while (true) {
      if (request.steps > 0) {
        Update(route);
      }
      auto step = route.quota.Next(request);
      switch (step.kind) {
        case QuotaStep::Kind::kGranted:
          co_return QuotaDecision{true, {}, {}};
        case QuotaStep::Kind::kRefused:
          LogRefused(name, request, step);
          co_return QuotaDecision{false, ToMilliseconds(step.retry_after),
                                  step.reason};
        case QuotaStep::Kind::kReadAccount:
          co_await ReadAccount(name, request);
          break;
        case QuotaStep::Kind::kWriteAccount:
          co_await WriteAccount(name, request, std::move(step));
          break;
        case QuotaStep::Kind::kListJobs:
          co_await ListJobs(name, request);
          break;
        case QuotaStep::Kind::kAskHolders:
          co_await AskHolders(name, request, std::move(step.holders));
          break;
      }
      steps_.Add();
    }
  }

  auto LogRefused(const std::string& name,
                  const TokenRequest& request,
                  const QuotaStep& step) -> void {
    const auto& quota = routes_.at(name).quota;
    const auto& account = quota.account();
    logger_.Info(
        "a job does not fit in the quota of its route",
        {{"event", "job_over_quota"},
         {"job", request.job.value()},
         {"route", name},
         {"tokens", std::to_string(request.tokens)},
         {"waiting_here", std::to_string(quota.used())},
         {"share", std::to_string(quota.usable())},
         {"lent", account ? std::to_string(account->lent()) : "unknown"},
         {"limit", std::to_string(quota.limit())},
         {"account_age_ms",
          std::to_string(ToMilliseconds(quota.account_age()).count())},
         {"reason", step.reason},
         {"retry_after_ms",
          std::to_string(ToMilliseconds(step.retry_after).count())}});
  }

  auto ReadAccount(std::string name, TokenRequest& request) -> awaitable<void> {
    const auto key = AccountKey(name);
    const auto asked_at = parts_.clock();
    const auto stored = co_await parts_.store.Read(key, CallClass::kResult);
    auto account = std::optional<TokenAccount>();
    if (stored) {
      account = DecodeAccount(key, stored->value);
    }
    Find(name).quota.OnAccount(request, account, stored ? stored->version : 0,
                               asked_at);
  }

  auto WriteAccount(std::string name, TokenRequest& request, QuotaStep step)
      -> awaitable<void> {
    const auto key = AccountKey(name);
    const auto asked_at = parts_.clock();
    auto text = EncodeAccount(step.account);
    auto conflict = false;
    try {
      const auto version = co_await parts_.store.Write(
          key, std::move(text), step.version, CallClass::kClaim);
      Find(name).quota.OnWritten(step.account, version, asked_at);
      logger_.Debug("changed the account of a quota",
                    {{"event", "quota_account_written"},
                     {"route", name},
                     {"version", std::to_string(version)},
                     {"lent", std::to_string(step.account.lent())}});
    } catch (const Error& error) {
      // A write whose answer was lost shows when the account is read again.
      conflict = error.kind() == ErrorKind::kConflict ||
                 error.kind() == ErrorKind::kUnknownOutcome;
      if (!conflict) {
        throw;
      }
    }
    if (conflict) {
      TokenQuota::OnConflict(request);
      const auto longest = TokenQuota::MaxConflictPause(parts_.live().size());
      const auto pause = Duration(
          static_cast<Duration::rep>(parts_.random() % longest.count()));
      co_await Pause(pause);
    }
  }

  auto ListJobs(std::string name, TokenRequest& request) -> awaitable<void> {
    const auto states = co_await parts_.archive.ListStates(true);
    auto owed = TokensByHolder();
    for (const auto& stored : states) {
      const auto& state = stored.state;
      if (!state.done && !state.ended && state.account == name) {
        owed[{state.acceptor, state.acceptor_incarnation}] += state.tokens;
      }
    }
    request.owed = std::move(owed);
  }

  // Asks all holders at once and waits for the answers.
  struct Question {
    explicit Question(const asio::any_io_executor& executor)
        : answered(executor, asio::steady_timer::time_point::max()) {}

    asio::steady_timer answered;
    std::size_t open = 0;
    std::map<TokenHolder, TokenRelease> releases;
  };

  auto AskHolders(std::string name,
                  TokenRequest& request,
                  std::vector<TokenHolder> holders) -> awaitable<void> {
    const auto question = std::make_shared<Question>(parts_.executor);
    const auto live = parts_.live();
    for (const auto& holder : holders) {
      const auto node = std::find_if(
          live.begin(), live.end(),
          [&](const auto& member) { return member.id == holder.node; });
      if (node != live.end()) {
        ++question->open;
        asio::co_spawn(
            parts_.executor,
            Ask(shared_from_this(), question, name, holder, node->node_address),
            asio::detached);
      }
    }
    if (question->open > 0) {
      co_await question->answered.async_wait(kAwaitTuple);
    }
    request.releases = question->releases;
  }

  static auto Ask(std::shared_ptr<Impl> self,
                  std::shared_ptr<Question> question,
                  std::string name,
                  TokenHolder holder,
                  std::string address) -> awaitable<void> {
    auto answer = std::optional<json>();
    auto failure = std::string();
    try {
      json request = {{"route", name}, {"incarnation", holder.incarnation}};
      co_await self->parts_.peers.Call(
          address, node::Channel::kControl, kReleaseCall, std::move(request),
          [&answer](const json& frame) { answer = frame; }, kReleaseTimeout,
          nullptr);
      if (answer && answer->value("known", false)) {
        question->releases[holder] = {
            answer->at("generation").get<std::uint64_t>(),
            answer->at("tokens").get<std::uint64_t>()};
      }
    } catch (const std::exception& error) {
      failure = error.what();
    }
    if (!failure.empty()) {
      self->logger_.Info("a node does not release tokens",
                         {{"event", "peer_failed"},
                          {"peer", holder.node.value()},
                          {"call", kReleaseCall},
                          {"reason", failure}});
    }
    if (--question->open == 0) {
      question->answered.cancel();
    }
  }

  static auto AnswerRelease(std::weak_ptr<Impl> weak,
                            json request,
                            std::shared_ptr<node::Responder> responder)
      -> awaitable<void> {
    const auto self = weak.lock();
    if (!self) {
      co_return;
    }
    auto& route = self->Find(request.at("route").get<std::string>());
    self->Update(route);
    auto answer = json{{"known", false}};
    const auto current = self->parts_.self().incarnation ==
                         request.at("incarnation").get<Incarnation>();
    const auto release =
        current ? route.quota.Release() : std::optional<TokenRelease>();
    if (release) {
      answer = json{{"known", true},
                    {"generation", release->generation},
                    {"tokens", release->tokens}};
    }
    responder->Send(answer);
  }

  QuotaKeeperParts parts_;
  Logger logger_{"quota"};
  Configuration configuration_;
  std::map<std::string, RouteAccount> routes_;
  std::map<NodeId, Incarnation> incarnations_;  // Of the live members.
  Counter& granted_;
  Counter& refused_;
  Counter& steps_;
};

QuotaKeeper::QuotaKeeper(QuotaKeeperParts parts)
    : impl_(std::make_shared<Impl>(std::move(parts))) {}

QuotaKeeper::~QuotaKeeper() = default;

auto QuotaKeeper::RegisterHandlers(node::PeerServer& server) -> void {
  impl_->RegisterHandlers(server);
}

auto QuotaKeeper::SetConfiguration(const Configuration& configuration) -> void {
  impl_->SetConfiguration(configuration);
}

auto QuotaKeeper::Reserve(std::string route, JobId job, std::uint64_t tokens)
    -> awaitable<QuotaDecision> {
  return impl_->Reserve(std::move(route), std::move(job), tokens);
}

auto QuotaKeeper::OnFinished(const std::string& route,
                             const JobId& job,
                             std::uint64_t tokens) -> void {
  impl_->OnFinished(route, job, tokens);
}

auto QuotaKeeper::OnOver(const std::string& route, const JobId& job) -> void {
  impl_->OnOver(route, job);
}

auto QuotaKeeper::OnListing(
    const std::vector<StoredState>& states,
    const std::function<auto(const JobId&)->bool>& runs_here) -> void {
  impl_->OnListing(states, runs_here);
}

}  // namespace kumquatgauge::serving
