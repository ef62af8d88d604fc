#ifndef TESTING_SUPPORT_FAKE_PLATFORM_H_
#define TESTING_SUPPORT_FAKE_PLATFORM_H_

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace kumquatgauge::testing {

struct FakePlatformOptions {
  std::string listen = "127.0.0.1:0";
  std::chrono::milliseconds host_lag{1000};
  double reads_per_second = 2000;
  double writes_per_second = 600;
  double weights_per_second = 1;
  std::uint64_t seed = 1;
};

// A fake of the platform of docs/design.md, section 11, in memory, on one
// io_context.
//
// POST /faults takes one fault; others stay as they are. Each may carry
// "duration_ms", after which it ends.
//   {"mode":"none"}            ends all faults
//   {"mode":"outage","kind":"close"|"error"|"hang"}  close (default) drops the
//                              connection, error answers 503, hang is silent;
//                              no call has an effect
//   {"mode":"slow","delay_ms":N,"after_effect":false}
//   {"mode":"lose_answers","share":1.0,"prefix":""}  writes take effect, then
//                              the connection closes
//   {"mode":"lag","lag_ms":N}  lag of the host list
//   {"mode":"stale","by_ms":N,"share":1.0}  reads return old values
//   {"mode":"rates","reads_per_second":R,"writes_per_second":W,
//    "weights_per_second":V}   each optional
//   {"mode":"reset"}           forgets all objects; revisions start again
class FakePlatform {
 public:
  FakePlatform(const boost::asio::any_io_executor& executor,
               const FakePlatformOptions& options);
  ~FakePlatform();
  FakePlatform(const FakePlatform&) = delete;
  auto operator=(const FakePlatform&) -> FakePlatform& = delete;

  // "IP:port" that it listens on.
  auto address() const -> std::string;
  // Connections accepted since the start.
  auto accepted_connections() const -> std::size_t;
  // As POST /faults. Throws Error(kInvalidArgument).
  auto SetFault(const nlohmann::json& fault) -> void;
  // As PUT /hosts: the array of hosts.
  auto SetHosts(const nlohmann::json& hosts) -> void;
  // As GET /stats.
  auto Stats() const -> nlohmann::json;
  // The current value of an object.
  auto Value(const std::string& key) const -> std::optional<std::string>;
  // Closes the listener and every connection.
  auto Stop() -> void;

  class Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_FAKE_PLATFORM_H_
