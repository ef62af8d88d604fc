#ifndef KUMQUATGAUGE_SERVING_DIALECT_H_
#define KUMQUATGAUGE_SERVING_DIALECT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "kumquatgauge/base/http_header.h"
#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/caller/http_listener.h"
#include "kumquatgauge/routing/replica.h"
#include "kumquatgauge/serving/configuration.h"
#include "kumquatgauge/serving/job.h"
#include "kumquatgauge/serving/prompt_parts.h"

namespace kumquatgauge::serving {

// The API key of a call.
struct ApiKey {
  enum class Presence {
    kMissing,
    kGiven,
    kMalformed,  // Empty, or given several times.
  };

  Presence presence = Presence::kMissing;
  std::string value;

  auto operator==(const ApiKey&) const -> bool = default;
};

// A caller's request to forward.
struct CallerRequest {
  RequestId id;
  std::string host;
  std::string path;  // Without the query.
  // How long the caller waits, measured from arrival; zero if unspecified.
  std::chrono::milliseconds time_limit{0};
  // The last event that the caller has already received.
  std::uint64_t resume_after = 0;
  // The caller's request that brought the first of these events; empty if it
  // does not say.
  RequestId resumes;
  // Hash of the prompt parts shared with other requests; 0 for none.
  std::uint64_t affinity = 0;
  PromptParts shared_parts;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  // It names the version of the weights that must answer it.
  bool names_weights = false;
  // Set by the gateway; see Delivery::organisation.
  std::optional<OrganisationName> organisation;
  // Set by the gateway if a token of the organisation's request limit was used
  // for it, which is given back if the request is not run.
  bool holds_quota_token = false;
  // Of the organisation; goes before the rank of the route.
  std::uint32_t priority = 0;

  auto operator==(const CallerRequest&) const -> bool = default;
};

// Other calls from callers.
struct ReadResults {
  JobId job;
  std::size_t after = 0;
  std::chrono::milliseconds wait{0};

  auto operator==(const ReadResults&) const -> bool = default;
};
struct ReadItemBody {
  JobId job;
  std::string item;

  auto operator==(const ReadItemBody&) const -> bool = default;
};
struct EndJob {
  JobId job;

  auto operator==(const EndJob&) const -> bool = default;
};
using CallerCall =
    std::variant<CallerRequest, ReadResults, ReadItemBody, EndJob>;

// Values that the node adds to a request for one replica.
struct Delivery {
  ReplicaId replica;
  // Time left for the caller; zero omits the limit.
  std::chrono::milliseconds time_left{0};
  std::uint64_t resume_after = 0;
  // The organisation that sends the request. Empty on a public route of a
  // configuration with organisations: the caller's key is removed, and no name
  // is sent. Absent if the configuration has no organisations: all headers of
  // the caller are passed on.
  std::optional<OrganisationName> organisation;
};

// Information about the replica and the request in a replica's response.
struct AnswerMetadata {
  std::string request_id;  // Empty if the response has none.
  bool not_run = false;    // The replica did not run the request.
  // Another replica uses the address, or the request names a version of the
  // weights that the replica does not have. It did not run.
  bool misdirected = false;
  bool permanent_failure = false;  // The item can never succeed.
  bool has_load = false;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  // How long work takes on the replica's host, as a multiple of what is normal;
  // absent if the replica does not say or the value is unreadable.
  std::optional<double> host_load;
  // Requests a second that the replica takes from all nodes together, if it
  // named a limit.
  std::optional<double> start_limit;
  bool malformed_start_limit = false;
  // The replica is leaving: it takes no requests that are sent later.
  bool leaving = false;
  bool malformed_leaving = false;

  auto operator==(const AnswerMetadata&) const -> bool = default;
};

struct Page {
  std::size_t total = 0;
  std::size_t next = 0;
  std::vector<ItemResult> results;

  auto operator==(const Page&) const -> bool = default;
};

// Translates between the gateway and the protocol of its fleet. The functions
// contain no policy.
struct Dialect {
  std::function<auto(const std::string& value)->Configuration>
      decode_configuration;
  // Returns nothing for an entry without a usable replica.
  std::function<auto(const std::string& name, const std::string& value)
                    ->std::optional<routing::Replica>>
      decode_replica;
  // Throws Error(kInvalidArgument) for a request that lacks a part required by
  // the protocol.
  std::function<auto(const caller::IncomingRequest&)->CallerCall> decode_call;
  std::function<auto(const HeaderList&)->ApiKey> decode_api_key;
  std::function<auto(const std::string& body)->std::vector<JobItem>>
      decode_submission;
  std::function<auto(const HeaderList&, const Delivery&)->HeaderList>
      encode_delivery;
  std::function<auto(const JobItem&, const std::string& host, const Delivery&)
                    ->HeaderList>
      encode_item;
  std::function<auto(int status, const HeaderList&)->AnswerMetadata>
      decode_answer;
  // Returns the headers of a replica's response that are passed to callers.
  std::function<auto(const HeaderList&)->HeaderList> answer_headers;
  std::function<auto(const Page&)->std::string> encode_page;
  // Store key of the configuration and key prefix of the replica entries.
  std::string configuration_key;
  std::string replica_prefix;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_DIALECT_H_
