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

// A longer line is rejected; a chunk holds at least one line of any length
// that is allowed.
inline constexpr std::size_t kMaxLineBytes = 600'000;
inline constexpr std::size_t kMaxCustomIdBytes = 256;
// Rejected lines that are named; beyond that they are only counted.
inline constexpr std::size_t kMaxListedRejections = 100;
// When to submit again after Error(kUnavailable).
inline constexpr std::chrono::seconds kSubmissionRetryAfter{5};
// An upload that takes longer is refused. Far below the age at which half-sent
// uploads are removed, so that the two never meet.
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

// The answer to a submission: the job as accepted, now or earlier.
struct SubmissionResult {
  JobManifest manifest;
  bool created = false;  // False: the same job had been accepted before.

  auto operator==(const SubmissionResult&) const -> bool = default;
};

// Takes one job in pieces of any size and stores it in bounded memory: the
// current line, the current chunk and 16 bytes per custom_id. The job exists
// once Finish has returned, or has thrown kUnknownOutcome and the same
// submission is answered. Errors of Append and Finish:
//   kInvalidArgument: the body, or the due time; not accepted.
//   kConflict: the key names an accepted job with another body.
//   kUnavailable: certainly not accepted; come back after
//     kSubmissionRetryAfter.
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
  // Takes the next bytes of the JSON Lines body. One call at a time.
  auto Append(std::string bytes) -> boost::asio::awaitable<void>;
  // Ends the body and has the job accepted.
  auto Finish() -> boost::asio::awaitable<SubmissionResult>;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::batch

#endif  // KUMQUATGAUGE_BATCH_SUBMISSION_H_
