#include <getopt.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/log.h"
#include "kumquatgauge/serving/gateway.h"
#include "platform/object_api.h"
#include "platform/requests.h"

namespace {

constexpr auto kExitOk = 0;
constexpr auto kExitFailed = 1;
constexpr auto kExitUsage = 2;

constexpr auto kUsage = R"(Usage: kqg-gateway [OPTION] [SETTINGS.toml]

Runs one gateway until SIGTERM, which is a planned stop. Without SETTINGS.toml,
KUMQUATGAUGE_CONFIG names the settings file.

Options:
      --check-settings  check the settings, then exit
  -h, --help            print this text
      --version         print the version

Exit status: 0 stopped as planned, 1 failed, 2 bad usage or settings.
)";

auto SettingsPath(int argc, char** argv) -> std::string {
  if (optind < argc) {
    return argv[optind];
  }
  const auto* path = std::getenv("KUMQUATGAUGE_CONFIG");
  return path == nullptr ? std::string() : path;
}

auto MakeParts() -> kumquatgauge::serving::GatewayParts {
  auto parts = kumquatgauge::serving::GatewayParts();
  parts.dialect = kumquatgauge::platform::MakeDialect();
  parts.make_store = [](kumquatgauge::store::PlatformClient& client)
      -> std::unique_ptr<kumquatgauge::store::ObjectStore> {
    return std::make_unique<kumquatgauge::platform::ObjectApi>(client);
  };
  parts.encode_addresses = kumquatgauge::platform::EncodeAddresses;
  return parts;
}

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
        std::cout << "kqg-gateway " << KQG_VERSION << "\n";
        return kExitOk;
      default:
        std::cerr << "kqg-gateway: see kqg-gateway --help\n";
        return kExitUsage;
    }
  }
  const auto path = SettingsPath(argc, argv);
  if (path.empty() || optind + 1 < argc) {
    std::cerr << "kqg-gateway: name one settings file; see kqg-gateway "
                 "--help\n";
    return kExitUsage;
  }
  const auto read = [path] {
    return kumquatgauge::serving::ReadGatewaySettings(path);
  };
  auto settings = kumquatgauge::serving::GatewaySettings();
  try {
    settings = read();
  } catch (const kumquatgauge::Error& error) {
    std::cerr << "kqg-gateway: " << error.what() << "\n";
    return kExitUsage;
  }
  if (check_only) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  try {
    kumquatgauge::InitializeJsonLogging(settings.log_level,
                                        settings.name.value());
    kumquatgauge::serving::Gateway(std::move(settings), MakeParts(), read)
        .Run();
  } catch (const std::exception& error) {
    std::cerr << "kqg-gateway: " << error.what() << "\n";
    return kExitFailed;
  }
  return kExitOk;
}
