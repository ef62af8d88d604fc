#include "apps/shared/program.h"

#include <getopt.h>

#include <array>
#include <cstdlib>
#include <iostream>

#include "base/process_signals.h"
#include "base/standard_descriptors.h"
#include "kumquatgauge/base/log.h"

namespace kumquatgauge::apps {
namespace {

auto MakeUsage(const std::string& name) -> std::string {
  return "Usage: " + name + R"( [OPTION] [SETTINGS.toml]

Runs until SIGTERM, which is a planned stop. Without SETTINGS.toml,
KUMQUATGAUGE_CONFIG names the settings file; see docs/operators.md.

Options:
      --check-settings  check the settings, then exit
  -h, --help            print this text
      --version         print the version

Exit status: 0 stopped as planned, 1 failed, 2 bad usage or settings.
)";
}

auto ExitWith(int exit_status) -> ProgramOptions {
  auto options = ProgramOptions();
  options.exit_status = exit_status;
  return options;
}

}  // namespace

auto ReadOptions(int argc,
                 char** argv,
                 const std::string& name,
                 const std::string& usage) -> ProgramOptions {
  constexpr auto kCheckOption = 1;
  constexpr auto kVersionOption = 2;
  const auto known = std::array<option, 4>{
      {{"check-settings", no_argument, nullptr, kCheckOption},
       {"help", no_argument, nullptr, 'h'},
       {"version", no_argument, nullptr, kVersionOption},
       {nullptr, 0, nullptr, 0}}};
  auto options = ProgramOptions();
  auto letter = 0;
  while ((letter = getopt_long(argc, argv, "h", known.data(), nullptr)) != -1) {
    switch (letter) {
      case kCheckOption:
        options.check_only = true;
        break;
      case 'h':
        std::cout << usage;
        return ExitWith(kExitOk);
      case kVersionOption:
        std::cout << name << " " << KQG_VERSION << "\n";
        return ExitWith(kExitOk);
      default:
        std::cerr << name << ": see " << name << " --help\n";
        return ExitWith(kExitUsage);
    }
  }
  if (optind + 1 < argc) {
    return ExitWith(RefuseArguments(name));
  }
  options.settings_path = optind < argc ? argv[optind] : "";
  return options;
}

auto PrepareProcess() -> void {
  detail::OpenStandardDescriptors();
  detail::PrepareSignals();
}

auto EndProcess(int exit_status) -> void {
  std::cout.flush();
  std::_Exit(exit_status);
}

auto RefuseArguments(const std::string& name) -> int {
  std::cerr << name << ": name one settings file; see " << name << " --help\n";
  return kExitUsage;
}

auto RunProgram(
    int argc,
    char** argv,
    const std::string& name,
    const std::function<
        auto(serving::GatewaySettings, const std::string& path)->void>& run)
    -> int {
  PrepareProcess();
  const auto options = ReadOptions(argc, argv, name, MakeUsage(name));
  if (options.exit_status) {
    return *options.exit_status;
  }
  auto path = options.settings_path;
  const auto* given = std::getenv("KUMQUATGAUGE_CONFIG");
  if (path.empty() && given != nullptr) {
    path = given;
  }
  if (path.empty()) {
    return RefuseArguments(name);
  }
  auto settings = serving::GatewaySettings();
  try {
    settings = serving::ReadGatewaySettings(path);
  } catch (const std::exception& error) {
    std::cerr << name << ": " << error.what() << "\n";
    return kExitUsage;
  }
  if (options.check_only) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  try {
    InitializeJsonLogging(settings.log_level, settings.name.value());
    run(std::move(settings), path);
  } catch (const std::exception& error) {
    // Also in the log, which is kept where standard error may not be.
    Logger("program").Error(
        "ended by an error",
        {{"event", "failed"}, {"program", name}, {"reason", error.what()}});
    std::cerr << name << ": " << error.what() << "\n";
    EndProcess(kExitFailed);
  }
  EndProcess(kExitOk);
}

}  // namespace kumquatgauge::apps
