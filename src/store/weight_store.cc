#include "kumquatgauge/store/weight_store.h"

#include "kumquatgauge/base/error.h"
#include "store/http_client.h"
#include "store/response_json.h"

namespace kumquatgauge::store {
namespace {

constexpr auto kNotFound = 404;
constexpr auto kTooManyRequests = 429;

}  // namespace

auto HttpWeightStore::Request(std::string name)
    -> boost::asio::awaitable<std::optional<std::chrono::milliseconds>> {
  auto call = PlatformCall();
  call.method = "GET";
  call.target = "/weights/" + detail::UrlEncode(name);
  call.object = "weights " + name;
  call.own_rate_limit = true;
  const auto response = co_await client_.Call(std::move(call));
  if (response.status == kTooManyRequests) {
    co_return response.retry_after.value_or(std::chrono::seconds(1));
  }
  if (response.status == kNotFound) {
    throw Error(ErrorKind::kNotFound, "no such weights", name,
                "name a model and version that the weight store holds");
  }
  detail::CheckOk(response, name);
  co_return std::nullopt;
}

}  // namespace kumquatgauge::store
