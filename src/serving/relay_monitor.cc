#include "kumquatgauge/serving/relay_monitor.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <unordered_map>
#include <utility>

#include "kumquatgauge/base/http_header.h"
#include "kumquatgauge/base/log.h"
#include "kumquatgauge/serving/relay_memory.h"

namespace kumquatgauge::serving {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using caller::HeldResponse;
using std::chrono::milliseconds;
using upstream::CallEnd;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
// Share of the process's memory.
constexpr std::size_t kBudgetDivisor = 8;
// Limit of an answer that is read as a whole. A replica in trouble may send
// bytes without end.
constexpr std::size_t kMaxAnswerBytes = 8'000'000;
// How often held responses are looked at; a fraction of the shortest stall.
constexpr milliseconds kCheckInterval{100};
// A response of which less is held is not accounted for: a thousand of them fit
// beside the budget.
constexpr std::size_t kMinHeldBytes = 16'384;
// How long an answer waits for memory, and how often it looks again. Less than
// the time after which replicas cut off what stays unread.
constexpr milliseconds kMaxRoomWait{2'000};
constexpr milliseconds kRoomCheckInterval{10};

auto BudgetFor(std::size_t memory_bytes) -> RelayMemorySettings {
  auto settings = RelayMemorySettings();
  settings.budget = memory_bytes / kBudgetDivisor;
  return settings;
}

// Returns the length of a body; 0 if it is not known.
auto LengthOf(const upstream::ReplicaHead& head) -> std::size_t {
  const auto text = FindHeader(head.headers, "Content-Length");
  auto length = std::size_t{0};
  std::from_chars(text.data(), text.data() + text.size(), length);
  return length;
}

auto UseOf(const HeldResponse& response) -> RelayMemory::Use {
  return {response.held_bytes(), response.acknowledged_bytes(),
          response.source_waits()};
}

auto ReasonName(RelayMemory::EndReason reason) -> std::string {
  return reason == RelayMemory::EndReason::kStalled ? "stalled" : "budget";
}

}  // namespace

class RelayMonitor::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(RelayMonitorParts parts)
      : parts_(std::move(parts)),
        memory_(BudgetFor(parts_.memory_bytes)),
        timer_(parts_.executor),
        stalled_(parts_.metrics.counter(
            "kqg_relay_terminations_total{reason=\"stalled\"}")),
        over_budget_(parts_.metrics.counter(
            "kqg_relay_terminations_total{reason=\"budget\"}")),
        no_memory_(
            parts_.metrics.counter("kqg_relay_answers_without_memory_total")) {}

  auto OnHeld(const std::shared_ptr<HeldResponse>& response) -> void {
    auto& entry = entries_[response.get()];
    if (entry.id == 0) {
      entry = {++last_id_, response};
    }
    memory_.Set(entry.id, UseOf(*response), parts_.clock());
    if (!checking_) {
      ScheduleCheck();
    }
    if (memory_.IsOverBudget()) {
      Check();
    }
  }

  auto OnClosed(const HeldResponse& response) -> void {
    const auto found = entries_.find(&response);
    if (found != entries_.end()) {
      memory_.Remove(found->second.id);
      entries_.erase(found);
    }
  }

  auto Close() -> void { timer_.cancel(); }

  // Waits until an answer may be read on. Returns whether it may.
  auto AwaitRoom(RelayMemory::AnswerId answer) -> awaitable<bool> {
    const auto last = parts_.clock() + kMaxRoomWait;
    while (!memory_.MayReadOn(answer)) {
      Check();
      if (parts_.clock() >= last) {
        no_memory_.Add();
        logger_.Warning("no memory for an answer; ending its attempt",
                        {{"event", "answer_without_memory"},
                         {"total_bytes", std::to_string(memory_.bytes())}});
        co_return false;
      }
      auto timer = asio::steady_timer(parts_.executor, kRoomCheckInterval);
      co_await timer.async_wait(kAwaitTuple);
    }
    co_return true;
  }

  auto memory() -> RelayMemory& { return memory_; }

 private:
  struct Entry {
    RelayMemory::ResponseId id = 0;
    std::weak_ptr<HeldResponse> response;
  };

  auto ScheduleCheck() -> void {
    checking_ = true;
    timer_.expires_after(kCheckInterval);
    timer_.async_wait([weak = weak_from_this()](const auto& error) {
      const auto self = weak.lock();
      if (!self || error) {
        return;
      }
      self->checking_ = false;
      self->Check();
      if (!self->entries_.empty()) {
        self->ScheduleCheck();
      }
    });
  }

  auto Check() -> void {
    const auto now = parts_.clock();
    for (auto at = entries_.begin(); at != entries_.end();) {
      const auto response = at->second.response.lock();
      const auto use = response ? UseOf(*response) : RelayMemory::Use();
      if (!response || (use.bytes < kMinHeldBytes && !response->held_up())) {
        memory_.Remove(at->second.id);
        at = entries_.erase(at);
        continue;
      }
      memory_.Set(at->second.id, use, now);
      ++at;
    }
    for (const auto& termination : memory_.TakeTerminations(now)) {
      Terminate(termination);
    }
  }

  auto Terminate(const RelayMemory::Termination& termination) -> void {
    const auto entry = std::find_if(
        entries_.begin(), entries_.end(),
        [&](const auto& at) { return at.second.id == termination.response; });
    if (entry == entries_.end()) {
      return;
    }
    const auto response = entry->second.response.lock();
    entries_.erase(entry);
    const auto stalled = termination.reason == RelayMemory::EndReason::kStalled;
    (stalled ? stalled_ : over_budget_).Add();
    logger_.Warning(
        "a caller reads too slowly; resetting its connection",
        {{"event", "response_terminated"},
         {"reason", ReasonName(termination.reason)},
         {"target", response ? response->target() : ""},
         {"held_bytes", std::to_string(termination.bytes)},
         {"stalled_ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                           termination.stalled)
                                           .count())},
         {"total_bytes", std::to_string(memory_.bytes())}});
    if (response) {
      response->Reset();
    }
  }

  RelayMonitorParts parts_;
  RelayMemory memory_;
  Logger logger_{"relay"};
  asio::steady_timer timer_;
  std::unordered_map<const HeldResponse*, Entry> entries_;
  RelayMemory::ResponseId last_id_ = 0;
  bool checking_ = false;  // A check is scheduled.
  Counter& stalled_;
  Counter& over_budget_;
  Counter& no_memory_;
};

RelayMonitor::RelayMonitor(RelayMonitorParts parts)
    : impl_(std::make_shared<Impl>(parts)) {
  // Registered once the object is complete.
  parts.metrics.AddGauge("kqg_relay_bytes", [weak = std::weak_ptr(impl_)] {
    const auto impl = weak.lock();
    return impl ? static_cast<double>(impl->memory().bytes()) : 0.0;
  });
  parts.metrics.AddGauge("kqg_relay_responses", [weak = std::weak_ptr(impl_)] {
    const auto impl = weak.lock();
    return impl ? static_cast<double>(impl->memory().responses()) : 0.0;
  });
}

RelayMonitor::~RelayMonitor() {
  impl_->Close();
}

auto RelayMonitor::NewAnswer() -> std::unique_ptr<Answer> {
  return std::make_unique<Answer>(impl_);
}

auto RelayMonitor::hooks() -> caller::HeldResponseHooks {
  return {
      .held =
          [impl = impl_](const std::shared_ptr<HeldResponse>& response) {
            impl->OnHeld(response);
          },
      .closed = [impl = impl_](
                    const HeldResponse& response) { impl->OnClosed(response); },
      .max_queued_bytes =
          [impl = impl_] { return impl->memory().MaxStreamBytes(); }};
}

RelayMonitor::Answer::Answer(std::shared_ptr<Impl> monitor)
    : monitor_(std::move(monitor)), id_(monitor_->memory().BeginAnswer()) {}

RelayMonitor::Answer::~Answer() {
  monitor_->memory().EndAnswer(id_);
}

auto RelayMonitor::Answer::Read(
    std::shared_ptr<upstream::ReplicaCaller::Call> call) -> awaitable<CallEnd> {
  // Growing the body step by step would take up to three times its size.
  body_.reserve(std::min(LengthOf(call->head()), kMaxAnswerBytes));
  auto end = CallEnd::kOpen;
  while (end == CallEnd::kOpen) {
    end = co_await call->Read(body_);
    call->OnProgress();
    received_ = body_.size();
    monitor_->memory().SetAnswer(id_, received_);
    if (body_.size() > kMaxAnswerBytes) {
      call->Cancel();
      Take();
      co_return CallEnd::kMalformed;
    }
    if (end == CallEnd::kOpen && !co_await monitor_->AwaitRoom(id_)) {
      call->Cancel();
      Take();
      co_return CallEnd::kNoMemory;
    }
  }
  if (end != CallEnd::kComplete) {
    Take();
  }
  co_return end;
}

auto RelayMonitor::Answer::Take() -> std::string {
  monitor_->memory().SetAnswer(id_, 0);
  return std::exchange(body_, {});
}

}  // namespace kumquatgauge::serving
