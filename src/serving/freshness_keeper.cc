#include "kumquatgauge/serving/freshness_keeper.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "kumquatgauge/base/log.h"
#include "kumquatgauge/serving/configuration_freshness.h"

namespace kumquatgauge::serving {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
// Exact: only reads of class kStatus may be answered with old data.
constexpr auto kReadClass = store::CallClass::kConfiguration;

}  // namespace

class FreshnessKeeper::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(FreshnessKeeperParts parts) : parts_(std::move(parts)) {}

  // Adds the metrics, which only a node with an age limit has.
  auto Initialize() -> void {
    if (!parts_.max_age) {
      return;
    }
    auto& metrics = parts_.metrics;
    reads_ = &metrics.counter("kqg_freshness_reads_total{result=\"counted\"}");
    failed_reads_ =
        &metrics.counter("kqg_freshness_reads_total{result=\"failed\"}");
    queries_ =
        &metrics.counter("kqg_freshness_datagrams_total{type=\"query\"}");
    answers_ =
        &metrics.counter("kqg_freshness_datagrams_total{type=\"answer\"}");
    const auto weak = weak_from_this();
    metrics.AddGauge("kqg_configuration_age_seconds", [weak] {
      const auto self = weak.lock();
      return self ? self->AgeSeconds() : 0.0;
    });
  }

  auto Stop() -> void { freshness_.reset(); }

  auto SetConfiguration(const Configuration& configuration) -> void {
    if (!parts_.max_age) {
      return;
    }
    if (!configuration.organisations) {
      Stop();
      return;
    }
    const auto starts = !freshness_;
    if (starts) {
      freshness_ = std::make_shared<ConfigurationFreshness>(
          parts_.self, *parts_.max_age, parts_.clock, parts_.random);
      fresh_ = false;
    }
    freshness_->OnApplied(configuration.version);
    if (starts) {
      asio::co_spawn(parts_.executor, Run(shared_from_this(), freshness_),
                     asio::detached);
    }
  }

  auto IsFresh() const -> bool {
    return !parts_.max_age || (freshness_ && freshness_->IsFresh());
  }

  auto OnDatagram(const NodeId& from, const json& message) -> void {
    if (!freshness_) {
      return;
    }
    if (message.contains("q")) {
      OnQuery(from, message);
      return;
    }
    const auto age = message.at("a").get<std::int64_t>();
    if (age < 0 || age > kMaxAge.count()) {
      return;
    }
    freshness_->OnAnswer(
        message.at("r").get<std::uint64_t>(),
        {message.at("v").get<std::uint64_t>(), milliseconds(age)});
    LogChange();
  }

  auto OnListBegun() -> void { list_begun_ = parts_.clock(); }

  auto OnListed(std::uint64_t version) -> void {
    if (freshness_) {
      freshness_->OnStatement(version, list_begun_);
      LogChange();
    }
  }

 private:
  static constexpr milliseconds kMaxAge{std::chrono::hours(1)};

  // Runs until the configuration has no organisations.
  static auto Run(std::shared_ptr<Impl> self,
                  std::shared_ptr<ConfigurationFreshness> freshness)
      -> awaitable<void> {
    auto timer = asio::steady_timer(self->parts_.executor);
    while (self->freshness_ == freshness) {
      self->LogChange();
      if (freshness->IsQueryDue()) {
        self->SendQueries();
      }
      if (freshness->IsReadDue()) {
        freshness->OnReadBegun();
        asio::co_spawn(self->parts_.executor, Read(self, freshness),
                       asio::detached);
      }
      timer.expires_after(freshness->tick());
      co_await timer.async_wait(kAwaitTuple);
    }
  }

  auto SendQueries() -> void {
    for (const auto& query : freshness_->TakeQueries(parts_.live())) {
      Send(query);
    }
  }

  auto Send(const FreshnessQuery& query) -> void {
    queries_->Add();
    auto message = json{{"t", kFreshnessDatagram},
                        {"n", parts_.self.value()},
                        {"q", query.nonce}};
    const auto age = freshness_->age();
    if (age) {
      message["a"] = std::chrono::ceil<milliseconds>(*age).count();
    }
    parts_.send_datagram(query.address, message);
  }

  auto OnQuery(const NodeId& from, const json& message) -> void {
    const auto nonce = message.at("q").get<std::uint64_t>();
    const auto statement = freshness_->statement();
    const auto address = parts_.address_of(from);
    if (!address) {
      return;
    }
    const auto age = message.value("a", std::int64_t{-1});
    if (age >= 0 && age <= kMaxAge.count()) {
      const auto query = freshness_->OnQuery(*address, milliseconds(age));
      if (query) {
        Send(*query);
      }
    }
    if (!statement) {
      return;
    }
    answers_->Add();
    const auto own_age = std::chrono::ceil<milliseconds>(statement->age);
    parts_.send_datagram(*address, {{"t", kFreshnessDatagram},
                                    {"n", parts_.self.value()},
                                    {"r", nonce},
                                    {"v", statement->version},
                                    {"a", own_age.count()}});
  }

  static auto Read(std::shared_ptr<Impl> self,
                   std::shared_ptr<ConfigurationFreshness> freshness)
      -> awaitable<void> {
    const auto begun = self->parts_.clock();
    auto object = std::optional<store::StoredObject>();
    auto failure = std::string("there is no such object");
    try {
      object = co_await self->parts_.store.Read(self->parts_.configuration_key,
                                                kReadClass);
    } catch (const std::exception& error) {
      failure = error.what();
    }
    if (self->freshness_ != freshness) {
      co_return;
    }
    const auto counted = object && self->OnRead(object->value, begun);
    (counted ? self->reads_ : self->failed_reads_)->Add();
    if (!object) {
      self->logger_.Info(
          "cannot read the configuration from the store",
          {{"event", "freshness_read_failed"}, {"reason", failure}});
    }
    freshness->OnReadEnded(counted);
    self->LogChange();
  }

  // Returns whether the value shows that the configuration in force is the
  // newest one.
  auto OnRead(const std::string& value, MonotonicTime begun) -> bool {
    if (value == unusable_) {
      return false;  // Logged before.
    }
    const auto freshness = freshness_;
    const auto version = parts_.apply(value);
    if (freshness_ != freshness) {
      return true;  // The new configuration has no organisations.
    }
    if (version && freshness->OnStatement(*version, begun)) {
      unusable_.clear();
      return true;
    }
    unusable_ = value;
    logger_.Error(
        "the store's configuration is not the one in force; its age counts on",
        {{"event", "configuration_not_applied"},
         {"version", version ? std::to_string(*version) : "unreadable"}});
    return false;
  }

  auto LogChange() -> void {
    if (!freshness_ || freshness_->IsFresh() == fresh_) {
      return;
    }
    fresh_ = !fresh_;
    const auto age = freshness_->age();
    const auto age_ms =
        age ? std::to_string(
                  std::chrono::duration_cast<milliseconds>(*age).count())
            : std::string("unknown");
    const auto max_age_ms =
        std::to_string(parts_.max_age.value_or(milliseconds::zero()).count());
    if (fresh_) {
      logger_.Info("the configuration is recent enough to accept API keys",
                   {{"event", "configuration_fresh"},
                    {"age_ms", age_ms},
                    {"max_age_ms", max_age_ms}});
    } else {
      logger_.Warning(
          "the configuration is not known to be recent; refusing API keys",
          {{"event", "configuration_stale"},
           {"age_ms", age_ms},
           {"max_age_ms", max_age_ms}});
    }
  }

  auto AgeSeconds() const -> double {
    if (!freshness_) {
      return 0;
    }
    const auto age = freshness_->age();
    return age ? std::chrono::duration<double>(*age).count()
               : std::numeric_limits<double>::infinity();
  }

  FreshnessKeeperParts parts_;
  Logger logger_{"freshness"};
  // Present while an age limit is set and the configuration has organisations.
  std::shared_ptr<ConfigurationFreshness> freshness_;
  bool fresh_ = false;
  MonotonicTime list_begun_;
  std::string unusable_;  // The last value that could not be applied.
  Counter* reads_ = nullptr;
  Counter* failed_reads_ = nullptr;
  Counter* queries_ = nullptr;
  Counter* answers_ = nullptr;
};

FreshnessKeeper::FreshnessKeeper(FreshnessKeeperParts parts)
    : impl_(std::make_shared<Impl>(std::move(parts))) {
  impl_->Initialize();
}

FreshnessKeeper::~FreshnessKeeper() {
  impl_->Stop();
}

auto FreshnessKeeper::SetConfiguration(const Configuration& configuration)
    -> void {
  impl_->SetConfiguration(configuration);
}

auto FreshnessKeeper::IsFresh() const -> bool {
  return impl_->IsFresh();
}

auto FreshnessKeeper::OnDatagram(const NodeId& from, const json& message)
    -> void {
  impl_->OnDatagram(from, message);
}

auto FreshnessKeeper::OnListBegun() -> void {
  impl_->OnListBegun();
}

auto FreshnessKeeper::OnListed(std::uint64_t version) -> void {
  impl_->OnListed(version);
}

}  // namespace kumquatgauge::serving
