#include "kumquatgauge/store/http_host_list.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "store/response_json.h"

namespace kumquatgauge::store {

auto HttpHostList::Fetch() -> boost::asio::awaitable<HostListSnapshot> {
  auto call = PlatformCall();
  call.method = "GET";
  call.target = "/hosts";
  call.object = "host list";
  call.call_class = CallClass::kConfiguration;
  const auto response = co_await client_.Call(std::move(call));
  const auto json = detail::ParseResponse(response, "host list");
  auto snapshot = HostListSnapshot();
  detail::Convert("host list", [&] {
    snapshot.version = json.at("version").get<std::uint64_t>();
    for (const auto& host : json.at("hosts")) {
      snapshot.hosts.push_back(
          {.name = host.at("name").get<std::string>(),
           .address = host.at("address").get<std::string>(),
           .zone = ZoneName(host.at("zone").get<std::string>()),
           .state = host.at("state") == "leaving" ? HostState::kLeaving
                                                  : HostState::kLive});
    }
  });
  std::sort(snapshot.hosts.begin(), snapshot.hosts.end(),
            [](const Host& a, const Host& b) { return a.name < b.name; });
  co_return snapshot;
}

}  // namespace kumquatgauge::store
