#include <getopt.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <iostream>
#include <string>

#include "testing/support/fake_platform.h"

namespace {

constexpr auto kUsage =
    "Usage: kqg-fake-platform [--listen IP:PORT] [--host-lag-ms N]\n"
    "         [--reads-per-second N] [--writes-per-second N]\n"
    "         [--weights-per-second N] [--seed N]\n"
    "Port 0 takes a free port. The first line of the output names it.\n";
constexpr auto kUsageError = 2;

enum Option : int {
  kListen = 1,
  kHostLag,
  kReads,
  kWrites,
  kWeights,
  kSeed,
  kHelp,
};

constexpr auto kOptions = std::array<option, 8>{{
    {"listen", required_argument, nullptr, kListen},
    {"host-lag-ms", required_argument, nullptr, kHostLag},
    {"reads-per-second", required_argument, nullptr, kReads},
    {"writes-per-second", required_argument, nullptr, kWrites},
    {"weights-per-second", required_argument, nullptr, kWeights},
    {"seed", required_argument, nullptr, kSeed},
    {"help", no_argument, nullptr, kHelp},
    {nullptr, 0, nullptr, 0},
}};

// Returns false for an unknown option or a request for help.
auto ParseOptions(int argc,
                  char** argv,
                  kumquatgauge::testing::FakePlatformOptions& options) -> bool {
  auto found = 0;
  while ((found = getopt_long(argc, argv, "", kOptions.data(), nullptr)) !=
         -1) {
    switch (found) {
      case kListen:
        options.listen = optarg;
        break;
      case kHostLag:
        options.host_lag = std::chrono::milliseconds(std::stoll(optarg));
        break;
      case kReads:
        options.reads_per_second = std::stod(optarg);
        break;
      case kWrites:
        options.writes_per_second = std::stod(optarg);
        break;
      case kWeights:
        options.weights_per_second = std::stod(optarg);
        break;
      case kSeed:
        options.seed = std::stoull(optarg);
        break;
      default:
        return false;
    }
  }
  return optind == argc;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  auto options = kumquatgauge::testing::FakePlatformOptions();
  try {
    if (!ParseOptions(argc, argv, options)) {
      std::cerr << kUsage;
      return kUsageError;
    }
    auto context = boost::asio::io_context(1);
    auto platform =
        kumquatgauge::testing::FakePlatform(context.get_executor(), options);
    std::cout << "listening on " << platform.address() << std::endl;
    auto signals = boost::asio::signal_set(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) {
      platform.Stop();
      context.stop();
    });
    context.run();
  } catch (const std::exception& error) {
    std::cerr << "fake-platform: " << error.what() << '\n';
    return kUsageError;
  }
  return 0;
}
