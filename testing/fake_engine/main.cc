#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <sstream>
#include <string>

#include "testing/fake_engine/fake_engine.h"
#include "testing/support/run_fake.h"

namespace {

using kumquatgauge::testing::FakeEngine;
using kumquatgauge::testing::FakeEngineSettings;
using kumquatgauge::testing::FakeOptions;

// Exit status of a process that a fault has killed, as after SIGKILL.
constexpr int kKilledStatus = 137;

template <typename T>
auto Into(T& target) -> std::function<auto(const std::string&)->void> {
  return [&target](const std::string& value) {
    target = static_cast<T>(std::stoull(value));
  };
}

template <typename Rep, typename Period>
auto Into(std::chrono::duration<Rep, Period>& target)
    -> std::function<auto(const std::string&)->void> {
  return [&target](const std::string& value) {
    target = std::chrono::duration<Rep, Period>(std::stoll(value));
  };
}

auto SplitModels(const std::string& value) -> std::vector<std::string> {
  std::vector<std::string> models;
  std::istringstream in(value);
  for (std::string model; std::getline(in, model, ',');) {
    models.push_back(model);
  }
  return models;
}

auto Options(FakeEngineSettings& settings) -> FakeOptions {
  return {
      {"listen", [&](const std::string& value) { settings.listen = value; }},
      {"models",
       [&](const std::string& value) { settings.models = SplitModels(value); }},
      {"capacity", Into(settings.capacity)},
      {"max-waiting", Into(settings.max_waiting)},
      {"first-token-us", Into(settings.first_token_time)},
      {"token-us", Into(settings.token_time)},
      {"growth",
       [&](const std::string& value) { settings.growth = std::stod(value); }},
      {"prefill-us-per-kb", Into(settings.prefill_time_per_kb)},
      {"cache-bytes", Into(settings.cache_bytes)},
      {"cache-event-delay-ms", Into(settings.cache_event_delay)},
      {"cache-event-gap", Into(settings.cache_event_gap)},
      {"load-lag-ms", Into(settings.load_lag)},
      {"order-ms", Into(settings.order_time)},
      {"record", [&](const std::string& value) { settings.record = value; }},
  };
}

}  // namespace

auto main(int argc, char** argv) -> int {
  FakeEngineSettings settings;
  const FakeOptions flags = {
      {"checks-fencing",
       [&](const std::string& /*none*/) { settings.checks_fencing = true; }}};
  if (!kumquatgauge::testing::ReadFakeOptions(argc, argv, Options(settings),
                                              flags)) {
    return 2;
  }
  try {
    boost::asio::io_context context(1);
    FakeEngine engine(context, settings, [] { std::_Exit(kKilledStatus); });
    kumquatgauge::testing::RunFake(context, engine.address(),
                                   [&] { engine.server().Close(); });
  } catch (const std::exception& error) {
    std::cerr << argv[0] << ": " << error.what() << '\n';
    return 2;
  }
  return 0;
}
