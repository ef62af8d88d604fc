#include "base/listen_address.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/log.h"

namespace kumquatgauge::detail {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kRetryInterval{100};
constexpr std::chrono::milliseconds kReportInterval{10'000};

auto MayPass(const error_code& error) -> bool {
  return error == asio::error::address_in_use ||
         error == boost::system::errc::address_not_available ||
         error == asio::error::no_descriptors ||
         error == asio::error::no_buffer_space ||
         error == asio::error::no_memory ||
         error == boost::system::errc::too_many_files_open_in_system;
}

// Calls `open` at intervals until it succeeds.
class Retry : public std::enable_shared_from_this<Retry> {
 public:
  Retry(const asio::any_io_executor& executor,
        std::string address,
        ListenHooks hooks)
      : timer_(executor),
        address_(std::move(address)),
        hooks_(std::move(hooks)) {}

  auto Start(const error_code& error) -> void {
    Report(error);
    Wait();
  }

 private:
  auto Report(const error_code& error) -> void {
    reported_ = steady_clock::now();
    logger_.Warning("cannot listen yet; trying again",
                    {{"event", "listen_waiting"},
                     {"address", address_},
                     {"reason", error.message()}});
  }

  auto Wait() -> void {
    timer_.expires_after(kRetryInterval);
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) {
        self->Try();
      }
    });
  }

  auto Try() -> void {
    const auto error = hooks_.open();
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      if (steady_clock::now() - reported_ >= kReportInterval) {
        Report(error);
      }
      Wait();
      return;
    }
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
        steady_clock::now() - began_);
    logger_.Info("listening after a wait",
                 {{"event", "listen_regained"},
                  {"address", address_},
                  {"waited_ms", std::to_string(waited.count())}});
    hooks_.opened();
  }

  asio::steady_timer timer_;
  std::string address_;
  ListenHooks hooks_;
  Logger logger_{"listen"};
  steady_clock::time_point began_ = steady_clock::now();
  steady_clock::time_point reported_;
};

}  // namespace

auto OpenAcceptor(tcp::acceptor& acceptor, const tcp::endpoint& endpoint)
    -> error_code {
  auto error = error_code();
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(tcp::acceptor::max_listen_connections, error);
  }
  if (error) {
    auto ignored = error_code();
    acceptor.close(ignored);
  }
  return error;
}

auto OpenListenAddress(const asio::any_io_executor& executor,
                       const std::string& address,
                       ListenHooks hooks) -> void {
  const auto error = hooks.open();
  if (!error) {
    hooks.opened();
    return;
  }
  if (!MayPass(error)) {
    throw Error(ErrorKind::kUnavailable,
                "cannot listen (" + error.message() + ")", address,
                "choose another listen address in the settings");
  }
  std::make_shared<Retry>(executor, address, std::move(hooks))->Start(error);
}

}  // namespace kumquatgauge::detail
