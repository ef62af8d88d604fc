#ifndef BASE_PROCESS_SIGNALS_H_
#define BASE_PROCESS_SIGNALS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <string>

namespace kumquatgauge::detail {

// The signals that ask a process for something: SIGTERM and SIGINT for a
// planned stop, SIGHUP for a reload of the settings.
class ProcessSignals {
 public:
  // Called with each signal until it returns false; later ones stay blocked.
  using Handler = std::function<auto(int signal)->bool>;

  explicit ProcessSignals(boost::asio::io_context& context);
  // The signals stay blocked in the calling thread, which is to be the last one
  // of the process: their default actions, which are back without handlers,
  // would end it with a failure while it exits.
  ~ProcessSignals();
  ProcessSignals(const ProcessSignals&) = delete;
  auto operator=(const ProcessSignals&) -> ProcessSignals& = delete;

  auto Start(Handler handler) -> void;

 private:
  auto Wait() -> void;

  boost::asio::signal_set signals_;
  Handler handler_;
};

// To be called first in main. Ends the process with status 0 on SIGTERM and
// SIGINT and ignores SIGHUP until there is a ProcessSignals, makes these
// signals effective if whoever started the process had blocked them, and
// ignores, for good, signals that ask for nothing but end a process by default:
// SIGPIPE and SIGXFSZ, which writing the log may raise, SIGUSR1 and SIGUSR2.
auto PrepareSignals() -> void;

// "SIGTERM" for SIGTERM.
auto SignalName(int signal) -> std::string;

}  // namespace kumquatgauge::detail

#endif  // BASE_PROCESS_SIGNALS_H_
