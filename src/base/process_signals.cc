#include "base/process_signals.h"

#include <csignal>

namespace kumquatgauge::detail {
namespace {

constexpr int kIgnored[] = {SIGPIPE, SIGXFSZ, SIGUSR1, SIGUSR2};

}  // namespace

auto PrepareSignals() -> void {
  for (const auto signal : kIgnored) {
    std::signal(signal, SIG_IGN);
  }
}

}  // namespace kumquatgauge::detail
