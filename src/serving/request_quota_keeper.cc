#include "kumquatgauge/serving/request_quota_keeper.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "kumquatgauge/base/log.h"
#include "kumquatgauge/routing/rendezvous.h"
#include "kumquatgauge/serving/keeper_candidates.h"
#include "kumquatgauge/serving/membership_settling.h"

namespace kumquatgauge::serving {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto kAskDatagram = "quota-ask";
constexpr auto kGrantDatagram = "quota-grant";
constexpr auto kBalanceDatagram = "quota-balance";
// Asks for several organisations to one keeper within this time share a
// datagram.
constexpr milliseconds kBatchTime{1};
// Keeps datagrams small enough not to be fragmented; an entry takes the name of
// an organisation and up to 50 bytes.
constexpr std::size_t kEntriesPerDatagram = 12;
// Minimum interval between two log lines about one organisation.
constexpr std::chrono::seconds kLogInterval{5};
// Bound of the times in a grant.
constexpr std::chrono::seconds kMaxTime{60};

auto EncodeTime(Duration time) -> std::int64_t {
  return std::chrono::duration_cast<microseconds>(time).count();
}

auto DecodeTime(const json& value) -> Duration {
  return std::clamp<Duration>(microseconds(value.get<std::int64_t>()),
                              Duration::zero(), kMaxTime);
}

// `from` is the node that is answered.
auto EncodeAsk(const NodeId& from, const RequestAsk& ask) -> json {
  return json::array({ask.organisation.value(), ask.sequence, ask.needed,
                      ask.ahead, ask.returned, ask.rejected, from.value()});
}

auto DecodeAsk(const json& entry) -> RequestAsk {
  auto at = std::size_t{0};
  auto ask = RequestAsk();
  ask.organisation = OrganisationName(entry.at(at++).get<std::string>());
  ask.sequence = entry.at(at++).get<std::uint64_t>();
  ask.needed = entry.at(at++).get<std::uint32_t>();
  ask.ahead = entry.at(at++).get<std::uint32_t>();
  ask.returned = entry.at(at++).get<std::uint32_t>();
  ask.rejected = entry.at(at++).get<std::uint32_t>();
  return ask;
}

constexpr std::size_t kAskFields = 6;  // The name of the node comes next.

auto EncodeGrant(const RequestGrant& grant) -> json {
  return json::array({grant.organisation.value(), grant.sequence, grant.tokens,
                      EncodeTime(grant.pause), EncodeTime(grant.retry_after)});
}

auto DecodeGrant(const json& entry) -> RequestGrant {
  auto at = std::size_t{0};
  auto grant = RequestGrant();
  grant.organisation = OrganisationName(entry.at(at++).get<std::string>());
  grant.sequence = entry.at(at++).get<std::uint64_t>();
  grant.tokens = entry.at(at++).get<std::uint32_t>();
  grant.pause = DecodeTime(entry.at(at++));
  grant.retry_after = DecodeTime(entry.at(at++));
  return grant;
}

}  // namespace

class RequestQuotaKeeper::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(RequestQuotaKeeperParts parts)
      : parts_(std::move(parts)),
        accounts_(
            RequestRateSettings(),
            parts_.self,
            [this](const OrganisationName& organisation) {
              return KeeperOf(organisation);
            },
            parts_.clock),
        quota_(RequestQuotaSettings(), parts_.first_sequence, MakeHooks()),
        event_timer_(parts_.executor),
        candidates_timer_(parts_.executor),
        settling_timer_(parts_.executor),
        batch_timer_(parts_.executor) {
    UpdateMembers();
    parts_.metrics.AddGauge("kqg_quota_accounts", [this] {
      return static_cast<double>(accounts_.size());
    });
  }

  auto Stop() -> void {
    event_timer_.cancel();
    candidates_timer_.cancel();
    settling_timer_.cancel();
    batch_timer_.cancel();
  }

  auto SetConfiguration(const Configuration& configuration) -> void {
    auto limits = RequestLimits();
    if (configuration.organisations) {
      for (const auto& organisation : *configuration.organisations) {
        if (organisation.requests_per_second > 0) {
          limits[organisation.name] = {organisation.requests_per_second,
                                       organisation.burst};
        }
      }
    }
    std::erase_if(refusals_, [&](const auto& entry) {
      return !limits.contains(entry.first);
    });
    keepers_.clear();
    accounts_.SetLimits(limits);
    quota_.SetLimits(std::move(limits));
    ScheduleEvent();
  }

  auto OnMembersChanged() -> void {
    UpdateMembers();
    HandOver();
    // Nodes that have just started may keep accounts from then on.
    candidates_timer_.expires_after(KeeperCandidates::kMinKnownTime);
    candidates_timer_.async_wait(
        [self = weak_from_this()](const boost::system::error_code& error) {
          const auto impl = self.lock();
          if (impl && !error && impl->candidates_.Update()) {
            impl->keepers_.clear();
            impl->HandOver();
          }
        });
  }

  auto OnDatagram(const json& message) -> void {
    const auto type = message.at("t").get<std::string>();
    if (type == kAskDatagram) {
      const auto forwarded = message.value("f", false);
      for (const auto& entry : message.at("a")) {
        OnAsk(NodeId(entry.at(kAskFields).get<std::string>()), DecodeAsk(entry),
              forwarded);
      }
      // One reply for all asks of a datagram.
      Flush(false);
    } else if (type == kGrantDatagram) {
      for (const auto& entry : message.at("g")) {
        quota_.OnGrant(DecodeGrant(entry));
      }
      ScheduleEvent();
    } else if (type == kBalanceDatagram) {
      for (const auto& entry : message.at("b")) {
        accounts_.OnHandover(OrganisationName(entry.at(0).get<std::string>()),
                             entry.at(1).get<double>());
      }
    }
  }

  auto Reserve(OrganisationName organisation)
      -> awaitable<RequestQuotaDecision> {
    const auto self = shared_from_this();
    const auto call = std::make_shared<Call>(parts_.executor);
    quota_.Reserve(organisation, [call](const RequestQuotaDecision& decision) {
      call->decision = decision;
      call->timer.cancel();
    });
    ScheduleEvent();
    while (!call->decision) {
      call->timer.expires_after(std::chrono::hours(1));
      co_await call->timer.async_wait(kAwaitTuple);
    }
    const auto decision = call->decision.value_or(RequestQuotaDecision());
    Record(organisation, decision);
    co_return decision;
  }

  auto Refund(const OrganisationName& organisation) -> void {
    quota_.Refund(organisation);
    refunded_.Add();
    ScheduleEvent();
  }

 private:
  struct Call {
    explicit Call(const asio::any_io_executor& executor) : timer(executor) {}

    asio::steady_timer timer;
    std::optional<RequestQuotaDecision> decision;
  };

  // What is sent to one node with the next datagrams.
  struct Batch {
    json asks = json::array();
    json forwarded = json::array();
    json grants = json::array();
  };

  struct Refusals {
    std::uint64_t count = 0;
    std::uint64_t locally = 0;
    std::optional<MonotonicTime> logged;
  };

  auto MakeHooks() -> RequestQuotaHooks {
    return {.send = [this](const RequestAsk& ask) { Send(ask); },
            .connected = [this] { return !parts_.isolated(); },
            .known_nodes = [this] { return parts_.known_nodes(); },
            .random = parts_.random,
            .clock = parts_.clock};
  }

  // Sends the balances of accounts that another node keeps from now on.
  auto HandOver() -> void {
    for (const auto& handover : accounts_.OnMembersChanged()) {
      const auto address = addresses_.find(handover.keeper);
      if (address != addresses_.end()) {
        parts_.send_datagram(
            address->second,
            json{{"t", kBalanceDatagram},
                 {"n", parts_.self.value()},
                 {"b", json::array({json::array({handover.organisation.value(),
                                                 handover.balance})})}});
      }
    }
  }

  auto UpdateMembers() -> void {
    keepers_.clear();
    addresses_.clear();
    auto live = parts_.live();
    for (const auto& node : live) {
      addresses_[node.id] = node.node_address;
    }
    const auto known = std::max<std::size_t>(1, parts_.known_nodes());
    accounts_.SetReachableShare(static_cast<double>(live.size()) /
                                static_cast<double>(known));
    settling_.OnMembers(live.size());
    AwaitSettling();
    candidates_.SetMembers(std::move(live));
  }

  auto AwaitSettling() -> void {
    if (!quota_.settling()) {
      return;
    }
    settling_timer_.expires_after(MembershipSettling::kQuietTime);
    settling_timer_.async_wait(
        [self = weak_from_this()](const boost::system::error_code& error) {
          const auto impl = self.lock();
          if (impl && !error && impl->settling_.settled()) {
            impl->accounts_.OnSettled();
            impl->quota_.OnSettled();
          }
        });
  }

  auto KeeperOf(const OrganisationName& organisation) -> NodeId {
    const auto [entry, added] = keepers_.try_emplace(organisation);
    if (added) {
      entry->second = routing::ChooseNode(
          routing::RendezvousHash(organisation.value()), candidates_.nodes());
    }
    return entry->second;
  }

  auto Send(const RequestAsk& ask) -> void {
    const auto keeper = KeeperOf(ask.organisation);
    if (keeper == parts_.self) {
      const auto answer = accounts_.OnAsk(parts_.self, ask, false);
      if (answer.grant) {
        quota_.OnGrant(*answer.grant);
      }
      return;
    }
    const auto address = addresses_.find(keeper);
    if (address == addresses_.end()) {
      return;
    }
    batches_[address->second].asks.push_back(EncodeAsk(parts_.self, ask));
    asks_sent_.Add();
    if (!std::exchange(batch_pending_, true)) {
      batch_timer_.expires_after(kBatchTime);
      batch_timer_.async_wait(
          [self = weak_from_this()](const boost::system::error_code& error) {
            if (const auto impl = self.lock(); impl && !error) {
              impl->batch_pending_ = false;
              impl->Flush(true);
            }
          });
    }
  }

  auto OnAsk(const NodeId& from, const RequestAsk& ask, bool forwarded)
      -> void {
    asks_received_.Add();
    const auto answer = accounts_.OnAsk(from, ask, forwarded);
    if (answer.grant) {
      const auto address = addresses_.find(from);
      if (address != addresses_.end()) {
        batches_[address->second].grants.push_back(EncodeGrant(*answer.grant));
      }
    } else if (answer.keeper) {
      const auto address = addresses_.find(*answer.keeper);
      if (address != addresses_.end()) {
        batches_[address->second].forwarded.push_back(EncodeAsk(from, ask));
      }
    }
  }

  // Sends the grants and forwarded asks, and the asks of this node if they are
  // due.
  auto Flush(bool asks) -> void {
    for (auto& [address, batch] : batches_) {
      SendEntries(address, {{"t", kGrantDatagram}}, "g", batch.grants);
      SendEntries(address, {{"t", kAskDatagram}, {"f", true}}, "a",
                  batch.forwarded);
      if (asks) {
        SendEntries(address, {{"t", kAskDatagram}}, "a", batch.asks);
      }
    }
    std::erase_if(batches_,
                  [](const auto& entry) { return entry.second.asks.empty(); });
  }

  auto SendEntries(const std::string& address,
                   json message,
                   const char* field,
                   json& entries) -> void {
    message["n"] = parts_.self.value();
    while (!entries.empty()) {
      const auto count = std::min(entries.size(), kEntriesPerDatagram);
      const auto end = entries.begin() + static_cast<std::ptrdiff_t>(count);
      message[field] = json(json::array_t(entries.begin(), end));
      entries.erase(entries.begin(), end);
      parts_.send_datagram(address, message);
    }
  }

  auto ScheduleEvent() -> void {
    const auto next = quota_.next_event();
    if (!next) {
      return;
    }
    if (event_at_ && *event_at_ <= *next) {
      return;  // OnEvent schedules the next one.
    }
    event_at_ = *next;
    event_timer_.expires_after(
        std::max(Duration::zero(), *next - parts_.clock()));
    event_timer_.async_wait(
        [self = weak_from_this()](const boost::system::error_code& error) {
          if (const auto impl = self.lock(); impl && !error) {
            impl->OnEvent();
          }
        });
  }

  auto OnEvent() -> void {
    event_at_.reset();
    quota_.OnTick();
    timeouts_.Add(quota_.timeouts() - timeouts_.value());
    ScheduleEvent();
  }

  auto Record(const OrganisationName& organisation,
              const RequestQuotaDecision& decision) -> void {
    const auto locally =
        decision.reason == RequestQuotaReason::kGrantedLocally ||
        decision.reason == RequestQuotaReason::kRefusedLocally;
    if (decision.reason != RequestQuotaReason::kNoLimit) {
      (decision.granted ? locally ? granted_locally_ : granted_
       : locally        ? refused_locally_
                        : refused_)
          .Add();
    }
    if (decision.granted) {
      return;
    }
    auto& refusals = refusals_[organisation];
    ++refusals.count;
    refusals.locally += locally ? 1 : 0;
    const auto now = parts_.clock();
    if (refusals.logged && now - *refusals.logged < kLogInterval) {
      return;
    }
    const auto retry =
        std::chrono::duration_cast<milliseconds>(decision.retry_after);
    logger_.Warning(
        "requests of an organisation were refused by its limit",
        {{"event", "quota_refused"},
         {"organisation", organisation.value()},
         {"refused", std::to_string(refusals.count)},
         {"locally", std::to_string(refusals.locally)},
         {"reason", std::string(RequestQuotaReasonName(decision.reason))},
         {"retry_after_ms", std::to_string(retry.count())},
         {"keeper", KeeperOf(organisation).value()}});
    refusals = {.logged = now};
  }

  RequestQuotaKeeperParts parts_;
  Logger logger_{"quota"};
  Counter& granted_ =
      parts_.metrics.counter("kqg_quota_requests_total{outcome=\"granted\"}");
  Counter& granted_locally_ = parts_.metrics.counter(
      "kqg_quota_requests_total{outcome=\"granted_locally\"}");
  Counter& refused_ =
      parts_.metrics.counter("kqg_quota_requests_total{outcome=\"refused\"}");
  Counter& refused_locally_ = parts_.metrics.counter(
      "kqg_quota_requests_total{outcome=\"refused_locally\"}");
  Counter& refunded_ = parts_.metrics.counter("kqg_quota_refunds_total");
  Counter& asks_sent_ = parts_.metrics.counter("kqg_quota_asks_sent_total");
  Counter& asks_received_ =
      parts_.metrics.counter("kqg_quota_asks_received_total");
  Counter& timeouts_ = parts_.metrics.counter("kqg_quota_ask_timeouts_total");
  KeeperCandidates candidates_{parts_.clock};
  MembershipSettling settling_{parts_.clock};
  std::map<NodeId, std::string> addresses_;
  std::map<OrganisationName, NodeId> keepers_;  // Of the current members.
  std::map<OrganisationName, Refusals> refusals_;
  std::map<std::string, Batch> batches_;  // By address.
  RequestRateAccounts accounts_;
  RequestQuota quota_;
  asio::steady_timer event_timer_;
  asio::steady_timer candidates_timer_;
  asio::steady_timer settling_timer_;
  asio::steady_timer batch_timer_;
  std::optional<MonotonicTime> event_at_;
  bool batch_pending_ = false;
};

RequestQuotaKeeper::RequestQuotaKeeper(RequestQuotaKeeperParts parts)
    : impl_(std::make_shared<Impl>(std::move(parts))) {}

RequestQuotaKeeper::~RequestQuotaKeeper() {
  impl_->Stop();
}

auto RequestQuotaKeeper::SetConfiguration(const Configuration& configuration)
    -> void {
  impl_->SetConfiguration(configuration);
}

auto RequestQuotaKeeper::OnMembersChanged() -> void {
  impl_->OnMembersChanged();
}

auto RequestQuotaKeeper::Handles(std::string_view type) -> bool {
  return type == kAskDatagram || type == kGrantDatagram ||
         type == kBalanceDatagram;
}

auto RequestQuotaKeeper::OnDatagram(const nlohmann::json& message) -> void {
  impl_->OnDatagram(message);
}

auto RequestQuotaKeeper::Reserve(OrganisationName organisation)
    -> awaitable<RequestQuotaDecision> {
  return impl_->Reserve(std::move(organisation));
}

auto RequestQuotaKeeper::Refund(const OrganisationName& organisation) -> void {
  impl_->Refund(organisation);
}

}  // namespace kumquatgauge::serving
