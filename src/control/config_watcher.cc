#include "kumquatgauge/control/config_watcher.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::control {

using boost::asio::awaitable;

namespace {

// After this many stale reads the watch is issued again, which detects a
// platform reset.
constexpr std::size_t kMaxStaleRetries = 20;

}  // namespace

ConfigWatcher::ConfigWatcher(store::ObjectStore& objects,
                             ConfigStore& store,
                             Clock clock,
                             RandomSource random,
                             Sink sink,
                             ConfigWatcherOptions options)
    : objects_(objects),
      store_(store),
      clock_(std::move(clock)),
      random_(std::move(random)),
      sink_(std::move(sink)),
      options_(options) {}

auto ConfigWatcher::Run() -> awaitable<void> {
  while (!stopped_) {
    auto pause = std::chrono::milliseconds(0);
    try {
      co_await Step();
      failures_ = 0;
      last_error_.clear();
    } catch (const Error& error) {
      last_error_ = error.what();
      ++failures_;
      pause = NextBackoff();
    }
    if (pause.count() > 0 && !stopped_) {
      co_await Sleep(pause);
    }
  }
}

auto ConfigWatcher::Stop() -> void {
  stopped_ = true;
  if (timer_) {
    timer_->cancel();
  }
}

auto ConfigWatcher::NextBackoff() -> std::chrono::milliseconds {
  const auto doublings = std::min<std::uint32_t>(failures_ - 1, 8);
  const auto max_delay = std::min(options_.max_backoff,
                                  options_.initial_backoff * (1U << doublings));
  const auto half = max_delay / 2;
  const auto jitter = static_cast<std::int64_t>(
      random_() % static_cast<std::uint64_t>(half.count() + 1));
  return half + std::chrono::milliseconds(jitter);
}

auto ConfigWatcher::Sleep(std::chrono::milliseconds duration)
    -> awaitable<void> {
  if (!timer_) {
    timer_ = std::make_shared<boost::asio::steady_timer>(
        co_await boost::asio::this_coro::executor);
  }
  timer_->expires_after(duration);
  co_await timer_->async_wait(
      boost::asio::as_tuple(boost::asio::use_awaitable));
}

auto ConfigWatcher::Step() -> awaitable<void> {
  if (!since_) {
    // Listed before the head is read, so that no change in between is missed.
    const auto page = co_await objects_.List(kConfigHeadKey, "", 1,
                                             store::CallClass::kConfiguration);
    since_ = page.revision;
  }
  co_await ReadAndPublish();
  if (!stopped_) {
    co_await WaitForChange();
  }
}

auto ConfigWatcher::ReadAndPublish() -> awaitable<void> {
  auto loaded = co_await store_.Load();
  for (std::size_t i = 0; i < kMaxStaleRetries && !stopped_ &&
                          loaded.head_version < announced_version_;
       ++i) {
    co_await Sleep(options_.stale_retry);
    loaded = co_await store_.Load();
  }
  behind_ = loaded.behind;
  if (!behind_) {
    last_confirmed_ = clock_();
  }
  const auto& configuration = loaded.configuration;
  if (configuration.revision() > published_) {
    const auto delta = configuration.ChangesSince(published_);
    published_ = configuration.revision();
    sink_(delta);
  }
}

auto ConfigWatcher::WaitForChange() -> awaitable<void> {
  const auto since = since_.value_or(0);
  const auto batch =
      co_await objects_.Watch(kConfigHeadKey, since, options_.watch_timeout);
  if (batch.revision < since) {
    // The platform was reset, so its revisions and versions restart.
    announced_version_ = 0;
  }
  since_ = batch.revision;
  for (const auto& event : batch.events) {
    if (event.key == kConfigHeadKey) {
      announced_version_ = event.version;
    }
  }
}

}  // namespace kumquatgauge::control
