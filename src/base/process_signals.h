#ifndef BASE_PROCESS_SIGNALS_H_
#define BASE_PROCESS_SIGNALS_H_

namespace kumquatgauge::detail {

// To be called first in main. Ignores signals that ask for nothing but end a
// process by default: SIGPIPE and SIGXFSZ, which writing the log may raise,
// SIGUSR1 and SIGUSR2.
auto PrepareSignals() -> void;

}  // namespace kumquatgauge::detail

#endif  // BASE_PROCESS_SIGNALS_H_
