#include "kumquatgauge/store/http_object_store.h"

#include <nlohmann/json.hpp>

#include "kumquatgauge/base/error.h"
#include "store/http_client.h"
#include "store/response_json.h"

namespace kumquatgauge::store {
namespace {

using boost::asio::awaitable;
using detail::UrlEncode;

constexpr auto kNotFound = 404;
constexpr auto kPreconditionFailed = 412;

auto ObjectCall(std::string method,
                const std::string& key,
                CallClass call_class) -> PlatformCall {
  auto call = PlatformCall();
  call.method = std::move(method);
  call.target = "/objects/" + UrlEncode(key);
  call.object = key;
  call.call_class = call_class;
  return call;
}

// Throws for every status but 200.
auto CheckWritten(const PlatformResponse& response, const std::string& key)
    -> void {
  if (response.status == kPreconditionFailed) {
    throw Error(ErrorKind::kConflict, "the object has another version", key,
                "read it again");
  }
  if (response.status == kNotFound) {
    throw Error(ErrorKind::kNotFound, "no such object", key, "nothing to do");
  }
  detail::CheckOk(response, key);
}

}  // namespace

auto HttpObjectStore::Read(std::string key, CallClass call_class)
    -> awaitable<std::optional<StoredObject>> {
  auto call = ObjectCall("GET", key, call_class);
  auto response = co_await client_.Call(std::move(call));
  if (response.status == kNotFound) {
    co_return std::nullopt;
  }
  detail::CheckOk(response, key);
  co_return StoredObject{.value = std::move(response.body),
                         .version = response.version};
}

auto HttpObjectStore::Write(std::string key,
                            std::string value,
                            std::optional<std::uint64_t> expected_version,
                            CallClass call_class) -> awaitable<std::uint64_t> {
  if (value.size() > kMaxValueBytes) {
    throw Error(
        ErrorKind::kInvalidArgument,
        "a value of " + std::to_string(value.size()) + " bytes is too large",
        key, "store at most " + std::to_string(kMaxValueBytes) + " bytes");
  }
  auto call = ObjectCall("PUT", key, call_class);
  if (expected_version) {
    call.headers.emplace_back("If-Match", std::to_string(*expected_version));
  } else {
    call.headers.emplace_back("If-None-Match", "*");
  }
  call.body = std::move(value);
  const auto response = co_await client_.Call(std::move(call));
  if (response.status == kNotFound) {
    throw Error(ErrorKind::kConflict, "the object was removed", key,
                "read it again");
  }
  CheckWritten(response, key);
  auto version = std::uint64_t{0};
  try {
    version =
        nlohmann::json::parse(response.body).at("version").get<std::uint64_t>();
  } catch (const nlohmann::json::exception& error) {
    throw Error(
        ErrorKind::kUnknownOutcome,
        std::string("malformed response to a write (") + error.what() + ")",
        key, "read the object back");
  }
  co_return version;
}

auto HttpObjectStore::Remove(std::string key,
                             std::uint64_t expected_version,
                             CallClass call_class) -> awaitable<void> {
  auto call = ObjectCall("DELETE", key, call_class);
  call.headers.emplace_back("If-Match", std::to_string(expected_version));
  const auto response = co_await client_.Call(std::move(call));
  CheckWritten(response, key);
}

auto HttpObjectStore::List(std::string prefix,
                           std::string after,
                           std::size_t limit,
                           CallClass call_class) -> awaitable<ListPage> {
  auto call = PlatformCall();
  call.method = "GET";
  call.target = "/objects?prefix=" + UrlEncode(prefix) +
                "&after=" + UrlEncode(after) +
                "&limit=" + std::to_string(limit);
  call.object = prefix;
  call.call_class = call_class;
  const auto response = co_await client_.Call(std::move(call));
  const auto json = detail::ParseResponse(response, prefix);
  auto page = ListPage();
  detail::Convert(prefix, [&] {
    for (const auto& entry : json.at("objects")) {
      page.entries.push_back({entry.at("key").get<std::string>(),
                              entry.at("version").get<std::uint64_t>()});
    }
    page.revision = json.at("revision").get<std::uint64_t>();
  });
  co_return page;
}

auto HttpObjectStore::Watch(std::string prefix,
                            std::uint64_t since,
                            std::chrono::milliseconds timeout)
    -> awaitable<WatchBatch> {
  auto call = PlatformCall();
  call.method = "GET";
  call.target = "/watch?prefix=" + UrlEncode(prefix) +
                "&since=" + std::to_string(since) +
                "&timeout_ms=" + std::to_string(timeout.count());
  call.object = prefix;
  call.call_class = CallClass::kConfiguration;
  call.watch = true;
  call.extra_timeout = timeout;
  const auto response = co_await client_.Call(std::move(call));
  const auto json = detail::ParseResponse(response, prefix);
  auto batch = WatchBatch();
  detail::Convert(prefix, [&] {
    for (const auto& event : json.at("events")) {
      batch.events.push_back({event.at("key").get<std::string>(),
                              event.at("version").get<std::uint64_t>(),
                              event.at("revision").get<std::uint64_t>()});
    }
    batch.revision = json.at("revision").get<std::uint64_t>();
  });
  co_return batch;
}

}  // namespace kumquatgauge::store
