#include "apps/shared/program.h"

#include <getopt.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/log.h"

namespace kumquatgauge::apps {
namespace {

constexpr auto kExitOk = 0;
constexpr auto kExitFailed = 1;
constexpr auto kExitUsage = 2;

auto PrintUsage(const std::string& name) -> void {
  std::cout << "Usage: " << name << R"( [OPTION] [SETTINGS.toml]

Runs until SIGTERM, which is a planned stop. Without SETTINGS.toml,
KUMQUATGAUGE_CONFIG names the settings file; see docs/operators.md.

Options:
      --check-settings  check the settings, then exit
  -h, --help            print this text
      --version         print the version

Exit status: 0 stopped as planned, 1 failed, 2 bad usage or settings.
)";
}

auto SettingsPath(int argc, char** argv) -> std::string {
  if (optind < argc) {
    return argv[optind];
  }
  const auto* path = std::getenv("KUMQUATGAUGE_CONFIG");
  return path == nullptr ? std::string() : path;
}

}  // namespace

auto RunProgram(
    int argc,
    char** argv,
    const std::string& name,
    const std::function<
        auto(serving::GatewaySettings, const std::string& path)->void>& run)
    -> int {
  // Until the program handles them itself, the default action of both would end
  // it with a failure. The settings are about to be read anyway, and a planned
  // stop has nothing to finish yet.
  std::signal(SIGHUP, SIG_IGN);
  std::signal(SIGTERM, [](int) { std::_Exit(kExitOk); });
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
        PrintUsage(name);
        return kExitOk;
      case kVersionOption:
        std::cout << name << " " << KQG_VERSION << "\n";
        return kExitOk;
      default:
        std::cerr << name << ": see " << name << " --help\n";
        return kExitUsage;
    }
  }
  const auto path = SettingsPath(argc, argv);
  if (path.empty() || optind + 1 < argc) {
    std::cerr << name << ": name one settings file; see " << name
              << " --help\n";
    return kExitUsage;
  }
  auto settings = serving::GatewaySettings();
  try {
    settings = serving::ReadGatewaySettings(path);
  } catch (const Error& error) {
    std::cerr << name << ": " << error.what() << "\n";
    return kExitUsage;
  }
  if (check_only) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  try {
    InitializeJsonLogging(settings.log_level, settings.name.value());
    run(std::move(settings), path);
  } catch (const std::exception& error) {
    std::cerr << name << ": " << error.what() << "\n";
    return kExitFailed;
  }
  return kExitOk;
}

}  // namespace kumquatgauge::apps
