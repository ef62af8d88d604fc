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

// The validated values of the headers in section 11 of docs/design.md.
struct CallOptions {
  OrganisationName organisation;
  std::string idempotency_key;
  std::string ticket;
  RequestId request_id;
  std::chrono::milliseconds time_left{0};

  auto operator==(const CallOptions&) const -> bool = default;
};

// Reads the options of a call from its headers. `new_id` becomes the id of a
// request without X-Request-Id. Throws ApiError with status 400 for an invalid
// value.
auto ReadCallOptions(const RequestHead& head,
                     const CallerSettings& settings,
                     const std::string& new_id) -> CallOptions;

// Returns the percent-decoded parameters of a query. Throws ApiError with
// status 400 for malformed escapes and repeated names.
auto ParseQuery(std::string_view query) -> std::map<std::string, std::string>;

// Returns whether `name` is valid as a service name or a job id.
auto IsValidName(std::string_view name) -> bool;

// Returns the due time of a batch: from "due" (seconds since the epoch) or
// "due_in_s" (seconds from now), otherwise the default of the settings.
auto ReadDue(const std::map<std::string, std::string>& query,
             const CallerSettings& settings,
             WallTime now) -> WallTime;

}  // namespace kumquatgauge::caller::detail

#endif  // CALLER_REQUEST_HEAD_H_
