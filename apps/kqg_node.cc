#include <iostream>
#include <string>

#include "apps/shared/program.h"
#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/log.h"
#include "kumquatgauge/base/settings.h"
#include "kumquatgauge/daemon/node_daemon.h"

namespace {

using kumquatgauge::apps::kExitFailed;
using kumquatgauge::apps::kExitOk;
using kumquatgauge::apps::kExitUsage;

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
  kumquatgauge::apps::PrepareProcess();
  const auto options =
      kumquatgauge::apps::ReadOptions(argc, argv, "kqg-node", kUsage);
  if (options.exit_status) {
    return *options.exit_status;
  }
  if (options.settings_path.empty()) {
    return kumquatgauge::apps::RefuseArguments("kqg-node");
  }
  auto settings = kumquatgauge::NodeSettings();
  auto fleet_credential = std::string();
  auto operators = kumquatgauge::OperatorCredentials({});
  try {
    settings = kumquatgauge::ReadNodeSettings(options.settings_path);
    fleet_credential =
        kumquatgauge::ReadFleetCredential(settings.nodes.fleet_credential_file);
    operators = kumquatgauge::ReadOperatorCredentials(
        settings.operators.credentials_file);
  } catch (const kumquatgauge::Error& error) {
    std::cerr << "kqg-node: " << error.what() << "\n";
    return kExitUsage;
  }
  if (options.check_only) {
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
