#ifndef APPS_PROGRAM_H_
#define APPS_PROGRAM_H_

#include <functional>
#include <optional>
#include <string>

#include "kumquatgauge/serving/gateway_settings.h"

namespace kumquatgauge::apps {

struct ProgramOptions {
  // Set when the program is to exit at once with this status.
  std::optional<int> exit_status;
  bool check_only = false;
  std::string settings_path;  // Empty when none is named.
};

inline constexpr auto kExitOk = 0;
inline constexpr auto kExitFailed = 1;
inline constexpr auto kExitUsage = 2;

// Reads the options that all programs with a settings file have: --help, which
// prints `usage`, --version, and --check-settings.
auto ReadOptions(int argc,
                 char** argv,
                 const std::string& name,
                 const std::string& usage) -> ProgramOptions;

// To be called first in the main function of a daemon: makes it independent of
// the signals and standard descriptors that it was started with.
auto PrepareProcess() -> void;

// Ends a daemon at once. Destroying the static objects of the log library waits
// for its threads, which can keep a stopped process alive for seconds.
[[noreturn]] auto EndProcess(int exit_status) -> void;

// Prints that one settings file must be named. Returns the exit status.
auto RefuseArguments(const std::string& name) -> int;

// Runs a program that takes one settings file. Reads the options and the
// settings and calls `run` with the settings and their path, unless
// --check-settings is given. Returns the exit status: 0 stopped as planned,
// 1 failed, 2 bad usage or settings.
auto RunProgram(
    int argc,
    char** argv,
    const std::string& name,
    const std::function<
        auto(serving::GatewaySettings, const std::string& path)->void>& run)
    -> int;

}  // namespace kumquatgauge::apps

#endif  // APPS_PROGRAM_H_
