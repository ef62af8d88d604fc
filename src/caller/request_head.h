#ifndef CALLER_REQUEST_HEAD_H_
#define CALLER_REQUEST_HEAD_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/caller/caller_server.h"
#include "kumquatgauge/upstream/service_client.h"

namespace kumquatgauge::caller::detail {

// The request line and headers of one request.
struct RequestHead {
  std::string method;
  std::string target;
  std::vector<upstream::HttpHeader> headers;

  auto path() const -> std::string;
  auto query() const -> std::string;

  auto operator==(const RequestHead&) const -> bool = default;
};

// The headers of section 11 of docs/design.md, checked.
struct CallOptions {
  OrganisationName organisation;
  std::string idempotency_key;
  std::string ticket;
  RequestId request_id;
  std::chrono::milliseconds time_left{0};

  auto operator==(const CallOptions&) const -> bool = default;
};

// Throws ApiError with status 400 for a bad value. `new_id` names a request
// without X-Request-Id.
auto ReadCallOptions(const RequestHead& head,
                     const CallerSettings& settings,
                     const std::string& new_id) -> CallOptions;

// Parameters of a query, percent-decoded; throws ApiError with status 400 for
// malformed escapes and repeated names.
auto ParseQuery(std::string_view query) -> std::map<std::string, std::string>;

// True for a service or model name that may stand in a path.
auto IsName(std::string_view name) -> bool;

// Due time of a batch from "due" (seconds since the epoch) or "due_in_s", else
// the default.
auto ReadDue(const std::map<std::string, std::string>& query,
             const CallerSettings& settings,
             WallTime now) -> WallTime;

}  // namespace kumquatgauge::caller::detail

#endif  // CALLER_REQUEST_HEAD_H_
