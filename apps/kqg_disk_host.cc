#include <csignal>
#include <iostream>
auto main() -> int {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGHUP);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  auto signal = 0;
  while (sigwait(&signals, &signal) == 0 && signal != SIGTERM) {
  }
  return 0;
}
