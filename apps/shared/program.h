#ifndef APPS_PROGRAM_H_
#define APPS_PROGRAM_H_

#include <functional>
#include <string>

#include "kumquatgauge/serving/gateway_settings.h"

namespace kumquatgauge::apps {

// The command line of a program that runs by one settings file. Reads the
// options, the settings and, with --check-settings, stops there; otherwise
// calls `run` with the settings and their path. Returns the exit status: 0
// stopped as planned, 1 failed, 2 bad usage or settings.
auto RunProgram(
    int argc,
    char** argv,
    const std::string& name,
    const std::function<
        auto(serving::GatewaySettings, const std::string& path)->void>& run)
    -> int;

}  // namespace kumquatgauge::apps

#endif  // APPS_PROGRAM_H_
