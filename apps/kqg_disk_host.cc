#include <memory>
#include <string>

#include "apps/shared/program.h"
#include "kumquatgauge/serving/disk_host.h"
#include "platform/object_api.h"

namespace {

namespace platform = kumquatgauge::platform;
namespace serving = kumquatgauge::serving;
namespace store = kumquatgauge::store;

auto RunDiskHost(serving::GatewaySettings settings, const std::string& /*path*/)
    -> void {
  auto parts = serving::DiskHostParts();
  parts.request_prefix = platform::kRetirementPrefix;
  parts.make_store = [](store::PlatformClient& client) {
    auto api = std::make_unique<platform::ObjectApi>(client);
    auto* reporter = api.get();
    auto disk_host_store = serving::DiskHostStore();
    disk_host_store.objects = std::move(api);
    disk_host_store.report_emptied = [reporter](std::string host) {
      return reporter->ReportRetired(std::move(host));
    };
    return disk_host_store;
  };
  serving::DiskHost(std::move(settings), std::move(parts)).Run();
}

}  // namespace

auto main(int argc, char** argv) -> int {
  return kumquatgauge::apps::RunProgram(argc, argv, "kqg-disk-host",
                                        RunDiskHost);
}
