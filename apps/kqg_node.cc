#include <getopt.h>

#include <array>
#include <iostream>
#include <string>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/log.h"
#include "kumquatgauge/base/settings.h"
#include "kumquatgauge/daemon/node_daemon.h"

namespace {

constexpr auto kExitOk = 0;
constexpr auto kExitFailed = 1;
constexpr auto kExitUsage = 2;

constexpr auto kUsage = R"(Usage: kqg-node [OPTION] SETTINGS.toml

Runs one node until SIGTERM, which is a planned stop.

Options:
      --check-settings  check the settings and the files they name, then exit
  -h, --help            print this text
      --version         print the version

Exit status: 0 stopped as planned, 1 failed, 2 bad usage or settings.
)";

}  // namespace

auto main(int argc, char** argv) -> int {
  constexpr auto kCheckOption = 1;
  constexpr auto kVersionOption = 2;
  const auto options = std::array<option, 4>{
      {{"check-settings", no_argument, nullptr, kCheckOption},
       {"help", no_argument, nullptr, 'h'},
       {"version", no_argument, nullptr, kVersionOption},
       {nullptr, 0, nullptr, 0}}};
  auto check_only = false;
  auto letter = 0;
  while ((letter = getopt_long(argc, argv, "h", options.data(), nullptr)) !=
         -1) {
    switch (letter) {
      case kCheckOption:
        check_only = true;
        break;
      case 'h':
        std::cout << kUsage;
        return kExitOk;
      case kVersionOption:
        std::cout << "kqg-node " << KQG_VERSION << "\n";
        return kExitOk;
      default:
        std::cerr << "kqg-node: see kqg-node --help\n";
        return kExitUsage;
    }
  }
  if (optind + 1 != argc) {
    std::cerr << "kqg-node: name one settings file; see kqg-node --help\n";
    return kExitUsage;
  }
  auto settings = kumquatgauge::NodeSettings();
  auto fleet_credential = std::string();
  auto operators = kumquatgauge::OperatorCredentials({});
  try {
    settings = kumquatgauge::ReadNodeSettings(argv[optind]);
    fleet_credential =
        kumquatgauge::ReadFleetCredential(settings.nodes.fleet_credential_file);
    operators = kumquatgauge::ReadOperatorCredentials(
        settings.operators.credentials_file);
  } catch (const kumquatgauge::Error& error) {
    std::cerr << "kqg-node: " << error.what() << "\n";
    return kExitUsage;
  }
  if (check_only) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  try {
    kumquatgauge::InitializeLogging(settings.log_level, settings.log_file);
    kumquatgauge::daemon::NodeDaemon(
        std::move(settings), std::move(fleet_credential), std::move(operators))
        .Run();
  } catch (const std::exception& error) {
    std::cerr << "kqg-node: " << error.what() << "\n";
    return kExitFailed;
  }
  return kExitOk;
}
