#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "testing/fake_service/fake_service.h"
#include "testing/support/run_fake.h"

namespace {

using kumquatgauge::testing::FakeOptions;
using kumquatgauge::testing::FakeService;
using kumquatgauge::testing::FakeServiceSettings;

// Exit status of a process that a fault has killed, as after SIGKILL.
constexpr int kKilledStatus = 137;

auto Options(FakeServiceSettings& settings) -> FakeOptions {
  return {
      {"listen", [&](const std::string& value) { settings.listen = value; }},
      {"capacity",
       [&](const std::string& value) {
         settings.capacity = static_cast<std::uint32_t>(std::stoul(value));
       }},
      {"work-ms",
       [&](const std::string& value) {
         settings.work_time = std::chrono::milliseconds(std::stoll(value));
       }},
      {"record", [&](const std::string& value) { settings.record = value; }},
  };
}

}  // namespace

auto main(int argc, char** argv) -> int {
  FakeServiceSettings settings;
  if (!kumquatgauge::testing::ReadFakeOptions(argc, argv, Options(settings),
                                              {})) {
    return 2;
  }
  try {
    boost::asio::io_context context(1);
    FakeService service(context, settings, [] { std::_Exit(kKilledStatus); });
    kumquatgauge::testing::RunFake(context, service.address(),
                                   [&] { service.server().Close(); });
  } catch (const std::exception& error) {
    std::cerr << argv[0] << ": " << error.what() << '\n';
    return 2;
  }
  return 0;
}
