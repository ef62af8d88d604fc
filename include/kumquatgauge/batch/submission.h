#ifndef KUMQUATGAUGE_BATCH_SUBMISSION_H_
#define KUMQUATGAUGE_BATCH_SUBMISSION_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "kumquatgauge/base/time.h"
#include "kumquatgauge/batch/job.h"
#include "kumquatgauge/store/object_store.h"

namespace kumquatgauge::batch {

// Longer lines are rejected. A chunk can hold at least one line of this length.
inline constexpr std::size_t kMaxLineBytes = 600'000;
inline constexpr std::size_t kMaxCustomIdBytes = 256;
// Number of rejected lines that are listed; further ones are only counted.
inline constexpr std::size_t kMaxListedRejections = 100;
// How long to wait before submitting again after Error(kUnavailable).
inline constexpr std::chrono::seconds kSubmissionRetryAfter{5};
// Longer uploads are refused. Far below kUploadRetention, so that an upload in
// progress is never removed as incomplete.
inline constexpr std::chrono::hours kMaxUploadTime{6};

struct SubmissionRequest {
  OrganisationName organisation;
  std::string client_key;
  ServiceName service;
  routing::CompletionEndpoint endpoint =
      routing::CompletionEndpoint::kCompletions;
  WallMillis due = 0;

  auto operator==(const SubmissionRequest&) const -> bool = default;
};

// Result of a submission: the job as accepted now or earlier.
struct SubmissionResult {
  JobManifest manifest;
  bool created = false;  // False if the job had already been accepted.

  auto operator==(const SubmissionResult&) const -> bool = default;
};

// Receives one job in pieces of any size and stores it with bounded memory: the
// current line, the current chunk and 16 bytes per custom_id. The job exists
// once Finish returns. After kUnknownOutcome it may exist; submitting the same
// job again tells. Errors of Append and Finish:
//   kInvalidArgument: the body or the due time is invalid; not accepted.
//   kConflict: the key belongs to an accepted job with another body.
//   kUnavailable: not accepted; retry after kSubmissionRetryAfter.
//   kUnknownOutcome (Finish only): the acceptance could not be read back.
// After an error every further call throws the same error.
class Submission {
 public:
  // `on_accepted` is called once the job has been accepted; may be empty.
  Submission(store::ObjectStore& store,
             SubmissionRequest request,
             WallClock wall_clock,
             RandomSource random,
             std::function<auto(const JobId&)->void> on_accepted = {});
  ~Submission();
  Submission(const Submission&) = delete;
  auto operator=(const Submission&) -> Submission& = delete;

  auto id() const -> const JobId&;
  // Appends the next bytes of the JSON Lines body. Calls must not overlap.
  auto Append(std::string bytes) -> boost::asio::awaitable<void>;
  // Ends the body and accepts the job.
  auto Finish() -> boost::asio::awaitable<SubmissionResult>;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::batch

#endif  // KUMQUATGAUGE_BATCH_SUBMISSION_H_
