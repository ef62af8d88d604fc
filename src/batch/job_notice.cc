#include "kumquatgauge/batch/job_notice.h"

#include <array>
#include <nlohmann/json.hpp>
#include <string>

namespace kumquatgauge::batch {
namespace {

constexpr auto kNoticeType = "job-notice";
// A type of its own, so that a node that only knows kNoticeType ignores it.
constexpr auto kConfirmationType = "job-end-confirmed";

auto JobEndFrom(const nlohmann::json& fields) -> std::optional<JobEnd> {
  const auto name = fields.at("status").get<std::string>();
  for (const auto status : {JobStatus::kCompleted, JobStatus::kCancelled}) {
    if (name == JobStatusName(status)) {
      return JobEnd{.status = status,
                    .ended = fields.at("ended").get<WallMillis>(),
                    .version = fields.at("version").get<std::uint64_t>()};
    }
  }
  return std::nullopt;
}

}  // namespace

auto ToMessage(const JobNotice& notice) -> nlohmann::json {
  const auto confirms = notice.kind == JobNotice::Kind::kEndConfirmed;
  auto message = nlohmann::json();
  message["t"] = confirms ? kConfirmationType : kNoticeType;
  message["job"] = notice.job.value();
  message["from"] = notice.sender.value();
  if (notice.end) {
    message["end"] = {{"status", JobStatusName(notice.end->status)},
                      {"ended", notice.end->ended},
                      {"version", notice.end->version}};
  }
  return message;
}

auto JobNoticeFrom(const nlohmann::json& message) -> std::optional<JobNotice> {
  try {
    const auto type = message.at("t").get<std::string>();
    if (type != kNoticeType && type != kConfirmationType) {
      return std::nullopt;
    }
    auto notice = JobNotice();
    notice.job = JobId(message.at("job").get<std::string>());
    notice.sender = NodeId(message.value("from", ""));
    if (type == kConfirmationType) {
      notice.kind = JobNotice::Kind::kEndConfirmed;
    } else if (message.contains("end")) {
      notice.kind = JobNotice::Kind::kEnded;
      notice.end = JobEndFrom(message.at("end"));
      if (!notice.end) {
        return std::nullopt;
      }
    }
    return notice;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace kumquatgauge::batch
