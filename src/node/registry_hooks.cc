#include "kumquatgauge/node/registry_hooks.h"

#include <utility>

#include "base/process_hooks.h"
#include "kumquatgauge/node/gossip.h"

namespace kumquatgauge::node {

auto MakeRegistryHooks(Gossip& gossip,
                       std::function<auto()->std::vector<std::string>> seeds,
                       std::function<auto(const std::string&)->void> failed)
    -> control::NodeRegistryHooks {
  return {.pause =
              [](Duration duration) {
                return kumquatgauge::detail::Pause(duration);
              },
          .random = kumquatgauge::detail::DrawRandom,
          .is_member =
              [&gossip](const NodeId& node) {
                return gossip.membership().Find(node).has_value();
              },
          .found =
              [&gossip, seeds = std::move(seeds)](
                  const std::vector<std::string>& addresses) {
                auto all = seeds();
                all.insert(all.end(), addresses.begin(), addresses.end());
                gossip.SetSeeds(std::move(all));
              },
          .failed = std::move(failed)};
}

}  // namespace kumquatgauge::node
