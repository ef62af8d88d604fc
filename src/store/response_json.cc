#include "store/response_json.h"

#include <nlohmann/json.hpp>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::store::detail {
namespace {

constexpr auto kOk = 200;
constexpr auto kBadRequest = 400;

}  // namespace

auto CheckOk(const PlatformResponse& response, const std::string& object)
    -> void {
  if (response.status == kOk) {
    return;
  }
  throw Error(response.status >= kBadRequest ? ErrorKind::kInvalidArgument
                                             : ErrorKind::kInternal,
              "the platform returned status " +
                  std::to_string(response.status) + " " + response.body,
              object, "check that node and platform speak the same protocol");
}

auto Convert(const std::string& object,
             const std::function<auto()->void>& convert) -> void {
  try {
    convert();
  } catch (const nlohmann::json::exception& error) {
    throw Error(ErrorKind::kInternal,
                std::string("the platform's response is malformed (") +
                    error.what() + ")",
                object, "check that node and platform speak the same protocol");
  }
}

auto ParseResponse(const PlatformResponse& response, const std::string& object)
    -> nlohmann::json {
  CheckOk(response, object);
  auto json = nlohmann::json();
  Convert(object, [&] { json = nlohmann::json::parse(response.body); });
  return json;
}

}  // namespace kumquatgauge::store::detail
