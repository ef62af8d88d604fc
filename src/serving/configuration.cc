#include "kumquatgauge/serving/configuration.h"

#include <algorithm>

namespace kumquatgauge::serving {
namespace {

// Between a route and an organisation in the name of an account.
constexpr auto kAccountSeparator = "|";

}  // namespace

auto Configuration::FindRoute(std::string_view host,
                              std::string_view path) const -> const Route* {
  const Route* best = nullptr;
  for (const auto& route : routes) {
    const auto fits = route.host == host && path.starts_with(route.path_prefix);
    if (fits && (best == nullptr ||
                 route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

auto AccountNameOf(const Route& route,
                   const std::optional<OrganisationName>& organisation)
    -> std::string {
  auto name = route.name.empty() ? route.host + route.path_prefix : route.name;
  return organisation && !organisation->empty()
             ? name + kAccountSeparator + organisation->value()
             : name;
}

auto TokenLimitOf(const Configuration& configuration,
                  const std::string& account) -> std::optional<std::uint64_t> {
  const Route* found = nullptr;
  auto longest = std::size_t{0};
  for (const auto& route : configuration.routes) {
    const auto name = AccountNameOf(route);
    const auto fits =
        account == name || account.starts_with(name + kAccountSeparator);
    if (route.kind == RequestKind::kBatch && fits &&
        (found == nullptr || name.size() > longest)) {
      found = &route;
      longest = name.size();
    }
  }
  return found == nullptr ? std::nullopt : std::optional(found->token_limit);
}

auto Configuration::FindService(const ServiceName& name) const
    -> const Service* {
  const auto found =
      std::find_if(services.begin(), services.end(),
                   [&](const auto& service) { return service.name == name; });
  return found == services.end() ? nullptr : &*found;
}

auto PickService(const Route& route, std::uint64_t draw) -> ServiceName {
  auto total = std::uint64_t{0};
  for (const auto& entry : route.services) {
    total += entry.weight;
  }
  if (total == 0) {
    return route.services.empty() ? ServiceName()
                                  : route.services.front().service;
  }
  auto position = draw % total;
  for (const auto& entry : route.services) {
    if (position < entry.weight) {
      return entry.service;
    }
    position -= entry.weight;
  }
  return route.services.back().service;
}

}  // namespace kumquatgauge::serving
