#ifndef KUMQUATGAUGE_SERVING_RELAY_MONITOR_H_
#define KUMQUATGAUGE_SERVING_RELAY_MONITOR_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <memory>
#include <string>

#include "kumquatgauge/base/metrics.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/caller/held_response.h"
#include "kumquatgauge/serving/relay_memory.h"
#include "kumquatgauge/upstream/replica_call.h"

namespace kumquatgauge::serving {

struct RelayMonitorParts {
  boost::asio::any_io_executor executor;
  MetricsRegistry& metrics;
  Clock clock;
  // Limit of the whole process.
  std::size_t memory_bytes;
};

// Limits the memory of answers between replicas and callers, by the decisions
// of a RelayMemory.
class RelayMonitor {
 public:
  explicit RelayMonitor(RelayMonitorParts parts);
  ~RelayMonitor();
  RelayMonitor(const RelayMonitor&) = delete;
  auto operator=(const RelayMonitor&) -> RelayMonitor& = delete;

  // The body of an answer that is read as a whole; counted until it is taken.
  class Answer;
  auto NewAnswer() -> std::unique_ptr<Answer>;
  // For the responses of a listener.
  auto hooks() -> caller::HeldResponseHooks;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

class RelayMonitor::Answer {
 public:
  explicit Answer(std::shared_ptr<Impl> monitor);
  ~Answer();
  Answer(const Answer&) = delete;
  auto operator=(const Answer&) -> Answer& = delete;

  // Reads the body of an answer to its end. Waits while the memory for answers
  // is used up. Cancels the call and returns kMalformed if the body is too
  // long, kNoMemory if the memory stays used up.
  auto Read(std::shared_ptr<upstream::ReplicaCaller::Call> call)
      -> boost::asio::awaitable<upstream::CallEnd>;
  // Bytes read so far, also of an answer that was not complete.
  auto received() const -> std::size_t { return received_; }
  // Returns the body, which no longer counts.
  auto Take() -> std::string;

 private:
  std::shared_ptr<Impl> monitor_;
  RelayMemory::AnswerId id_;
  std::string body_;
  std::size_t received_ = 0;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_RELAY_MONITOR_H_
