#include <memory>
#include <string>

#include "apps/shared/program.h"
#include "kumquatgauge/serving/gateway.h"
#include "platform/object_api.h"
#include "platform/requests.h"

namespace {

namespace platform = kumquatgauge::platform;
namespace serving = kumquatgauge::serving;
namespace store = kumquatgauge::store;

auto MakeParts() -> serving::GatewayParts {
  auto parts = serving::GatewayParts();
  parts.dialect = platform::MakeDialect();
  parts.make_store =
      [](store::PlatformClient& client) -> std::unique_ptr<store::ObjectStore> {
    return std::make_unique<platform::ObjectApi>(client);
  };
  parts.encode_addresses = platform::EncodeAddresses;
  return parts;
}

auto RunGateway(serving::GatewaySettings settings, const std::string& path)
    -> void {
  serving::Gateway(std::move(settings), MakeParts(), [path] {
    return serving::ReadGatewaySettings(path);
  }).Run();
}

}  // namespace

auto main(int argc, char** argv) -> int {
  return kumquatgauge::apps::RunProgram(argc, argv, "kqg-gateway", RunGateway);
}
