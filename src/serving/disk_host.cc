#include "kumquatgauge/serving/disk_host.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <set>
#include <utility>

#include "base/process_hooks.h"
#include "base/process_signals.h"
#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/log.h"
#include "kumquatgauge/serving/store_feed.h"
#include "serving/store_options.h"

namespace kumquatgauge::serving {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using detail::MakeStoreOptions;
using kumquatgauge::detail::DrawRandom;
using kumquatgauge::detail::SteadyNow;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
// Bounds the delay of a request when the store loses a watch; a host has
// several seconds to empty itself.
constexpr std::chrono::milliseconds kWatchTime{4'000};
constexpr std::chrono::milliseconds kReportPause{300};

}  // namespace

class DiskHost::Impl {
 public:
  Impl(GatewaySettings settings, DiskHostParts parts)
      : settings_(std::move(settings)),
        parts_(std::move(parts)),
        client_(context_.get_executor(),
                MakeStoreOptions(settings_),
                SteadyNow,
                DrawRandom,
                detail::LogCircuit(logger_)),
        store_(parts_.make_store(client_)),
        feed_(context_.get_executor(),
              *store_.objects,
              {.prefix = parts_.request_prefix},
              MakeHooks(),
              DrawRandom),
        signals_(context_) {}

  auto Run() -> void {
    logger_.Info("starting", {{"event", "start"}, {"version", KQG_VERSION}});
    AwaitSignals();
    feed_.Start();
    context_.run();
    logger_.Info("stopped", {{"event", "stop"}});
  }

 private:
  auto MakeHooks() -> StoreFeedHooks {
    auto hooks = StoreFeedHooks();
    hooks.watch_time = [] { return std::optional(kWatchTime); };
    hooks.snapshot = [this](const std::vector<store::ListEntry>& entries,
                            std::uint64_t /*revision*/) {
      for (const auto& entry : entries) {
        OnRequest(entry.key);
      }
    };
    hooks.event = [this](const store::WatchEvent& event) {
      if (event.version != 0) {
        OnRequest(event.key);
      }
    };
    hooks.call_failed = [this](const std::string& reason) {
      if (!std::exchange(store_lost_, true)) {
        logger_.Warning("the store does not answer",
                        {{"event", "store_lost"}, {"reason", reason}});
      }
    };
    hooks.call_succeeded = [this] {
      if (std::exchange(store_lost_, false)) {
        logger_.Info("the store answers again", {{"event", "store_regained"}});
      }
    };
    return hooks;
  }

  auto OnRequest(const std::string& key) -> void {
    const auto host = key.substr(parts_.request_prefix.size());
    if (reporting_.insert(host).second) {
      asio::co_spawn(context_, Report(host), asio::detached);
    }
  }

  // No host holds data, so any of these processes may report for each: most
  // hosts with a disk run none.
  auto Report(std::string host) -> awaitable<void> {
    auto timer = asio::steady_timer(context_);
    for (auto reported = false; !reported;) {
      auto failure = std::string();
      try {
        co_await store_.report_emptied(host);
        reported = true;
      } catch (const Error& error) {
        failure = error.what();
        if (error.kind() == ErrorKind::kNotFound) {
          break;  // The request was withdrawn.
        }
      }
      logger_.Info("a host is to be emptied and holds no data",
                   {{"event", "host_emptied"},
                    {"host", host},
                    {"reported", reported ? "true" : "false"},
                    {"reason", failure}});
      if (!reported) {
        timer.expires_after(kReportPause);
        co_await timer.async_wait(kAwaitTuple);
      }
    }
    reporting_.erase(host);
  }

  auto AwaitSignals() -> void {
    signals_.Start([this](int signal) {
      if (signal == SIGHUP) {
        logger_.Info("SIGHUP ignored; this process has nothing to reload",
                     {{"event", "reload"}});
        return true;
      }
      context_.stop();
      return false;
    });
  }

  GatewaySettings settings_;
  DiskHostParts parts_;
  Logger logger_{"disk"};
  asio::io_context context_{1};
  store::PlatformClient client_;
  DiskHostStore store_;
  StoreFeed feed_;
  kumquatgauge::detail::ProcessSignals signals_;
  bool store_lost_ = false;
  std::set<std::string> reporting_;  // Hosts whose report is under way.
};

DiskHost::DiskHost(GatewaySettings settings, DiskHostParts parts)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(parts))) {}

DiskHost::~DiskHost() = default;

auto DiskHost::Run() -> void {
  impl_->Run();
}

}  // namespace kumquatgauge::serving
