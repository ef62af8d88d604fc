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

namespace kumquatgauge::serving {

// A request of a caller that is to be forwarded.
struct CallerRequest {
  RequestId id;
  std::string host;
  std::string path;  // Without the query.
  // How long the caller waits from the arrival; zero when it does not say.
  std::chrono::milliseconds time_limit{0};
  // The last event that the caller already has.
  std::uint64_t resume_after = 0;
  // Hash of the parts of the prompt that other requests share; 0: none.
  std::uint64_t affinity = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;

  auto operator==(const CallerRequest&) const -> bool = default;
};

// Other calls that callers make.
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

// What the node adds to a request for one replica.
struct Delivery {
  ReplicaId replica;
  // What is left of the caller's time; zero leaves the limit out.
  std::chrono::milliseconds time_left{0};
  std::uint64_t resume_after = 0;
};

// What a replica says about itself and the request with its answer.
struct AnswerMetadata {
  std::string request_id;          // Empty when the replica names none.
  bool not_run = false;            // It states that the request has not run.
  bool wrong_replica = false;      // Another replica has the address.
  bool permanent_failure = false;  // The item can never be done.
  bool has_load = false;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;

  auto operator==(const AnswerMetadata&) const -> bool = default;
};

struct Page {
  std::size_t total = 0;
  std::size_t next = 0;
  std::vector<ItemResult> results;

  auto operator==(const Page&) const -> bool = default;
};

// Translation between the product and the protocol of the fleet that it runs
// in. The functions decide nothing.
struct Dialect {
  std::function<auto(const std::string& value)->Configuration>
      decode_configuration;
  // Nothing for an entry that names no usable replica.
  std::function<auto(const std::string& name, const std::string& value)
                    ->std::optional<routing::Replica>>
      decode_replica;
  // Throws Error(kInvalidArgument) for a request without what the protocol
  // requires.
  std::function<auto(const caller::IncomingRequest&)->CallerCall> decode_call;
  std::function<auto(const std::string& body)->std::vector<JobItem>>
      decode_submission;
  std::function<auto(const HeaderList&, const Delivery&)->HeaderList>
      encode_delivery;
  std::function<auto(const JobItem&, const std::string& host, const Delivery&)
                    ->HeaderList>
      encode_item;
  std::function<auto(int status, const HeaderList&)->AnswerMetadata>
      decode_answer;
  // The headers of a replica's answer that callers get.
  std::function<auto(const HeaderList&)->HeaderList> answer_headers;
  std::function<auto(const Page&)->std::string> encode_page;
  // The keys of the operator's configuration and of the replicas' entries.
  std::string configuration_key;
  std::string replica_prefix;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_DIALECT_H_
