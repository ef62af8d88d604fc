#include "base/process_signals.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <utility>

namespace kumquatgauge::detail {
namespace {

constexpr int kHandled[] = {SIGTERM, SIGINT, SIGHUP};
constexpr int kIgnored[] = {SIGPIPE, SIGXFSZ, SIGUSR1, SIGUSR2};

// Blocks or unblocks the handled signals in the calling thread.
auto ChangeMask(int how) -> void {
  auto signals = sigset_t();
  sigemptyset(&signals);
  for (const auto signal : kHandled) {
    sigaddset(&signals, signal);
  }
  ::pthread_sigmask(how, &signals, nullptr);
}

}  // namespace

ProcessSignals::ProcessSignals(boost::asio::io_context& context)
    : signals_(context) {
  for (const auto signal : kHandled) {
    signals_.add(signal);
  }
}

ProcessSignals::~ProcessSignals() {
  ChangeMask(SIG_BLOCK);
}

auto ProcessSignals::Start(Handler handler) -> void {
  handler_ = std::move(handler);
  Wait();
}

auto ProcessSignals::Wait() -> void {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) {
          return;
        }
        if (handler_(signal)) {
          Wait();
        } else {
          ChangeMask(SIG_BLOCK);
        }
      });
}

auto PrepareSignals() -> void {
  std::signal(SIGHUP, SIG_IGN);
  for (const auto signal : {SIGTERM, SIGINT}) {
    std::signal(signal, [](int) { std::_Exit(EXIT_SUCCESS); });
  }
  for (const auto signal : kIgnored) {
    std::signal(signal, SIG_IGN);
  }
  ChangeMask(SIG_UNBLOCK);
}

auto SignalName(int signal) -> std::string {
  const auto* name = ::sigabbrev_np(signal);
  return name == nullptr ? std::to_string(signal) : "SIG" + std::string(name);
}

}  // namespace kumquatgauge::detail
