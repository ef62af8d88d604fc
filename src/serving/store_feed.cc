#include "kumquatgauge/serving/store_feed.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/serving/feed_retry.h"
#include "kumquatgauge/store/circuit.h"

namespace kumquatgauge::serving {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using std::chrono::milliseconds;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
// Page size requested from stores that support one.
constexpr std::size_t kPageSize = 500;

}  // namespace

class StoreFeed::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const asio::any_io_executor& executor,
       store::ObjectStore& store,
       StoreFeedSettings settings,
       StoreFeedHooks hooks,
       RandomSource random)
      : executor_(executor),
        timer_(executor),
        store_(store),
        settings_(std::move(settings)),
        hooks_(std::move(hooks)),
        retry_(settings_.initial_backoff,
               settings_.max_backoff,
               std::move(random)) {}

  auto Start() -> void {
    asio::co_spawn(executor_, Run(shared_from_this()), asio::detached);
  }

  auto Stop() -> void {
    stopped_ = true;
    timer_.cancel();
  }

 private:
  static auto Run(std::shared_ptr<Impl> self) -> awaitable<void> {
    while (!self->stopped_) {
      auto failed = std::optional<std::string>();
      auto pause = milliseconds::zero();
      try {
        co_await self->ListOrWatch();
      } catch (const store::CircuitOpenError& error) {
        failed = error.what();
        pause = self->retry_.OnRefused(error.retry_after());
      } catch (const std::exception& error) {
        failed = error.what();
        pause = self->retry_.OnFailure();
      }
      if (!failed || self->stopped_) {
        continue;
      }
      self->hooks_.call_failed(*failed);
      co_await self->Pause(pause);
    }
  }

  // Performs one listing or one watch, or waits if this node does not follow
  // the store.
  auto ListOrWatch() -> awaitable<void> {
    const auto watch_time = hooks_.watch_time();
    if (!watch_time) {
      co_await Pause(kIdleFeedInterval);
    } else if (!since_) {
      co_await List();
      co_await Pause(
          std::exchange(settings_.first_watch_delay, milliseconds::zero()));
    } else {
      co_await Watch(*since_,
                     retry_.failed() ? store::kMaxProbeWait : *watch_time);
    }
    retry_.OnSuccess();
  }

  auto List() -> awaitable<void> {
    auto entries = std::vector<store::ListEntry>();
    auto revision = std::uint64_t{0};
    auto after = std::string();
    while (true) {
      auto page = co_await store_.List(settings_.prefix, after, kPageSize,
                                       store::CallClass::kConfiguration);
      // Watching from the first page's revision repeats changes that later
      // pages already contain, which is harmless. Watching from a later
      // revision would miss changes to the entries of the first page.
      revision = after.empty() ? page.revision : revision;
      const auto more = page.more && !page.entries.empty();
      std::move(page.entries.begin(), page.entries.end(),
                std::back_inserter(entries));
      if (!more) {
        break;
      }
      after = entries.back().key;
    }
    if (stopped_) {
      co_return;
    }
    since_ = revision;
    hooks_.call_succeeded();
    hooks_.snapshot(entries, revision);
  }

  auto Watch(std::uint64_t since, milliseconds watch_time) -> awaitable<void> {
    auto batch = store::WatchBatch();
    auto history_gone = false;
    try {
      batch = co_await store_.Watch(settings_.prefix, since, watch_time);
    } catch (const Error& error) {
      if (error.kind() != ErrorKind::kNotFound) {
        throw;
      }
      history_gone = true;
    }
    if (stopped_) {
      co_return;
    }
    hooks_.call_succeeded();
    if (history_gone) {
      since_.reset();
      co_return;
    }
    since_ = std::max(since, batch.revision);
    for (const auto& event : batch.events) {
      hooks_.event(event);
    }
    if (!batch.events.empty()) {
      co_await Pause(settings_.debounce);
    }
  }

  auto Pause(milliseconds time) -> awaitable<void> {
    if (time > milliseconds::zero()) {
      timer_.expires_after(time);
      co_await timer_.async_wait(kAwaitTuple);
    }
  }

  asio::any_io_executor executor_;
  asio::steady_timer timer_;
  store::ObjectStore& store_;
  StoreFeedSettings settings_;
  StoreFeedHooks hooks_;
  FeedRetry retry_;
  std::optional<std::uint64_t> since_;
  bool stopped_ = false;
};

StoreFeed::StoreFeed(const asio::any_io_executor& executor,
                     store::ObjectStore& store,
                     StoreFeedSettings settings,
                     StoreFeedHooks hooks,
                     RandomSource random)
    : impl_(std::make_shared<Impl>(executor,
                                   store,
                                   std::move(settings),
                                   std::move(hooks),
                                   std::move(random))) {}

StoreFeed::~StoreFeed() {
  impl_->Stop();
}

auto StoreFeed::Start() -> void {
  impl_->Start();
}

}  // namespace kumquatgauge::serving
