#include "testing/soak/checker.h"

#include <algorithm>
#include <utility>

#include "testing/gateway/fake_servers.h"
#include "testing/gateway/gateway_process.h"

namespace kumquatgauge::testing {
namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kNotFound = 404;
constexpr std::uint64_t kOverageDivisor = 10;  // The users' tenth.

// Whether the status means that the request has not run and never will.
auto ReportsNotRun(const FetchReply& reply) -> bool {
  return reply.status == 503 || reply.status == 429 || reply.status == 408 ||
         reply.status == 421;
}

auto Outcome(const FetchReply& reply) -> std::string {
  if (reply.status == 0) {
    return reply.connected ? "closed" : "no connection";
  }
  return std::to_string(reply.status) + (reply.complete ? "" : " cut");
}

}  // namespace

auto SoakChecker::Add(const std::string& violation) -> void {
  violations_.push_back(violation);
}

auto SoakChecker::OnSent(const std::string& id,
                         const std::string& node,
                         int start,
                         Time at) -> void {
  const auto lock = std::lock_guard(mutex_);
  entries_[id] = {node, start, at};
}

auto SoakChecker::OnPassedOn(const std::string& node,
                             int start,
                             const FetchReply& reply,
                             Time at) -> void {
  const auto lock = std::lock_guard(mutex_);
  const auto signature = reply.headers.find("response-signature");
  if (reply.headers.contains("server-leaving") &&
      signature != reply.headers.end()) {
    const auto replica =
        signature->second.substr(signature->second.find('.') + 1);
    leaving_[{node, start}].emplace(replica, at);
  }
}

auto SoakChecker::OnStarted(const std::string& id,
                            const std::string& replica,
                            Time at) -> void {
  const auto lock = std::lock_guard(mutex_);
  const auto entry = entries_.find(id);
  if (entry == entries_.end()) {
    return;
  }
  const auto& [node, start, sent] = entry->second;
  const auto& known = leaving_[{node, start}];
  const auto leaving = known.find(replica);
  if (leaving != known.end() && sent > leaving->second + kDrainTime) {
    const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(
        at - leaving->second);
    Add("request " + id + " reached " + replica + " by node " + node + " " +
        std::to_string(late.count()) +
        " ms after an answer which said that it leaves");
  }
}

auto SoakChecker::OnPaused(const std::string& node) -> void {
  const auto lock = std::lock_guard(mutex_);
  std::erase_if(leaving_,
                [&](const auto& entry) { return entry.first.first == node; });
}

auto SoakChecker::OnReply(const std::string& id,
                          const RequestExpectation& expected,
                          const FetchReply& reply) -> void {
  const auto lock = std::lock_guard(mutex_);
  ++replies_[Outcome(reply)];
  sent_[id] = {expected.max_runs, ReportsNotRun(reply)};
  if (reply.status == kNotFound) {
    Add("request " + id + " has a route and got 404");
  }
  if (reply.status != kOk) {
    return;
  }
  if (reply.complete && reply.body != expected.full_body) {
    Add("request " + id + " got a wrong answer: " + reply.body);
  }
  if (!reply.complete && expected.stream &&
      !expected.full_body.starts_with(reply.body)) {
    Add("stream " + id + " lost or repeated events: " + reply.body);
  }
}

auto SoakChecker::OnRepeat(const std::string& id) -> void {
  const auto lock = std::lock_guard(mutex_);
  if (count_runs_(id) > 0) {
    Add("request " + id + " was refused as not run but ran");
  }
}

auto SoakChecker::OnSubmitted(const std::string& job,
                              const std::vector<std::string>& items,
                              const FetchReply& reply,
                              bool limited) -> void {
  const auto lock = std::lock_guard(mutex_);
  ++replies_["job " + Outcome(reply)];
  jobs_[job].items = items;
  jobs_[job].limited = limited;
  jobs_[job].accepted = reply.status == kAccepted;
  if (ReportsNotRun(reply)) {
    for (const auto& item : items) {
      sent_[item] = {0, true};
    }
  }
  if (reply.status == kAccepted && limited && token_limit_ != kNoTokenLimit) {
    const auto waiting = WaitingTokens();
    if (waiting > token_limit_ + token_limit_ / kOverageDivisor) {
      Add("job " + job + " was accepted and " + std::to_string(waiting) +
          " tokens wait, though the limit is " + std::to_string(token_limit_));
    }
  }
}

auto SoakChecker::WaitingTokens() const -> std::uint64_t {
  auto tokens = std::uint64_t{0};
  for (const auto& [id, job] : jobs_) {
    if (job.accepted && job.limited && !job.end_requested) {
      tokens += kItemTokens *
                static_cast<std::uint64_t>(std::count_if(
                    job.items.begin(), job.items.end(),
                    [&](const auto& item) { return count_runs_(item) == 0; }));
    }
  }
  return tokens;
}

auto SoakChecker::OnListed(const std::string& job,
                           std::size_t position,
                           const std::string& item,
                           const std::string& state,
                           const std::string& text) -> void {
  const auto lock = std::lock_guard(mutex_);
  auto& known = jobs_[job];
  const auto where =
      "job " + job + ", position " + std::to_string(position) + ": ";
  const auto content = item + "\n" + state + "\n" + text;
  const auto [entry, added] = known.listed.emplace(position, content);
  if (!added && entry->second != content) {
    Add(where + "the result has changed");
  }
  const auto [known_position, first] = known.positions.emplace(item, position);
  if (!first && known_position->second != position) {
    Add(where + "item " + item + " is listed at two positions");
  }
  if (std::count(known.items.begin(), known.items.end(), item) == 0) {
    Add(where + "item " + item + " belongs to another job");
  }
  if (state == "completed" && text != ExpectedText(item, VersionIn(text))) {
    Add(where + "wrong text: " + text);
  }
}

auto SoakChecker::OnEndRequested(const std::string& job) -> void {
  const auto lock = std::lock_guard(mutex_);
  jobs_[job].end_requested = true;
}

auto SoakChecker::OnEndAnswered(const std::string& job,
                                const FetchReply& reply,
                                Time at) -> void {
  const auto lock = std::lock_guard(mutex_);
  ++replies_["end " + Outcome(reply)];
  auto& ended = jobs_[job].ended;
  if (reply.status == kOk && !ended) {
    ended = at;
  }
}

auto SoakChecker::OnDisrupted(const std::string& component) -> void {
  const auto lock = std::lock_guard(mutex_);
  ++disruptions_[component].open;
}

auto SoakChecker::OnDisruptionEnded(const std::string& component, Time at)
    -> void {
  const auto lock = std::lock_guard(mutex_);
  auto& disruptions = disruptions_[component];
  --disruptions.open;
  disruptions.reachable_after = at + kRecoveryTime;
}

auto SoakChecker::IsReachable(const std::string& component, Time at) const
    -> bool {
  const auto found = disruptions_.find(component);
  return found == disruptions_.end() ||
         (found->second.open == 0 && at > found->second.reachable_after);
}

auto SoakChecker::OnItemStarted(const std::string& job,
                                const std::string& item,
                                const std::string& owner,
                                const std::string& replica,
                                Time at) -> void {
  const auto lock = std::lock_guard(mutex_);
  auto& known = jobs_[job];
  known.owners.insert(owner);
  if (!known.ended || at <= *known.ended + kMaxEndDelay) {
    return;
  }
  // A back end does not see which node has sent an item. It is an owner of the
  // job, perhaps a former one that does not know of its successor yet, so the
  // start counts only if all owners are reachable. An item may also have been
  // delayed on the link to the replica.
  const auto reachable =
      IsReachable(replica, at) &&
      std::all_of(known.owners.begin(), known.owners.end(),
                  [&](const auto& node) { return IsReachable(node, at); });
  if (!reachable) {
    return;
  }
  ++known.late_starts;
  const auto late =
      std::chrono::duration_cast<std::chrono::milliseconds>(at - *known.ended);
  known.last_late_start = "item " + item + " at " + replica + ", owner " +
                          owner + ", " + std::to_string(late.count()) +
                          " ms after the end was answered";
}

auto SoakChecker::OnVersionStored(int version, Time at) -> void {
  const auto lock = std::lock_guard(mutex_);
  stored_[version] = at;
}

auto SoakChecker::NewestReplaced(Time at) const -> int {
  const auto lock = std::lock_guard(mutex_);
  auto replaced = 0;
  auto last = 0;
  for (const auto& [version, stored] : stored_) {
    replaced = at > stored + kMaxApplyTime ? last : replaced;
    last = version;
  }
  return replaced;
}

auto SoakChecker::OnVersionServed(const std::string& node,
                                  int start,
                                  int version,
                                  Time sent) -> void {
  const auto lock = std::lock_guard(mutex_);
  auto& newest = newest_served_[{node, start}];
  if (version < newest) {
    Add("node " + node + " went back from configuration " +
        std::to_string(newest) + " to " + std::to_string(version));
  }
  newest = std::max(newest, version);
  const auto next = stored_.upper_bound(version);
  if (next == stored_.end() || sent <= next->second + kMaxApplyTime) {
    return;
  }
  const auto in_touch = IsReachable(node, next->second) &&
                        IsReachable(StoreOf(node), next->second) &&
                        IsReachable(kStore, next->second);
  if (in_touch) {
    const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(
        sent - next->second);
    Add("node " + node + " served by configuration " + std::to_string(version) +
        " " + std::to_string(late.count()) + " ms after " +
        std::to_string(next->first) + " was stored");
  }
}

auto SoakChecker::OnStream(const std::string& node,
                           bool taken_up,
                           bool goes_on,
                           Time sent) -> void {
  const auto lock = std::lock_guard(mutex_);
  if (!IsReachable(node, sent)) {
    return;
  }
  const auto window = sent.time_since_epoch() / kStreamWindow;
  auto& counts = streams_[window][taken_up];
  ++counts.count;
  counts.going_on += goes_on ? 1 : 0;
}

auto SoakChecker::CheckStreams() -> void {
  constexpr int kOneHalf = 2;
  for (auto& [window, counts] : streams_) {
    const auto& taken_up = counts[true];
    const auto& begun = counts[false];
    if (taken_up.count >= kMinTakeUps &&
        kOneHalf * taken_up.going_on * begun.count <
            begun.going_on * taken_up.count) {
      Add(std::to_string(taken_up.going_on) + " of " +
          std::to_string(taken_up.count) +
          " streams that were taken up went on, " +
          std::to_string(begun.going_on) + " of " +
          std::to_string(begun.count) + " new ones began meanwhile");
    }
  }
}

auto SoakChecker::OnGracefulStop(const std::string& node,
                                 std::optional<int> exit_status) -> void {
  const auto lock = std::lock_guard(mutex_);
  if (!exit_status) {
    Add("node " + node + " did not stop in time");
  } else if (*exit_status != 0) {
    Add("node " + node + " ended with " + std::to_string(*exit_status) +
        " in a planned stop");
  }
}

auto SoakChecker::Expect(bool holds, const std::string& what) -> void {
  const auto lock = std::lock_guard(mutex_);
  if (!holds) {
    Add(what);
  }
}

auto SoakChecker::Finish() -> void {
  const auto lock = std::lock_guard(mutex_);
  CheckStreams();
  for (const auto& [id, sent] : sent_) {
    const auto runs = count_runs_(id);
    if (sent.refused_as_not_run && runs > 0) {
      Add("request " + id + " was refused as not run but ran");
    } else if (runs > sent.max_runs) {
      Add("request " + id + " ran " + std::to_string(runs) +
          " times, at most " + std::to_string(sent.max_runs) + " allowed");
    }
  }
  for (const auto& [id, job] : jobs_) {
    if (job.accepted && !job.end_requested &&
        job.listed.size() != job.items.size()) {
      Add("job " + id + " lists " + std::to_string(job.listed.size()) + " of " +
          std::to_string(job.items.size()) + " items");
    }
    if (job.late_starts > 0) {
      Add("job " + id + " was ended and " + std::to_string(job.late_starts) +
          " items started too late, last " + job.last_late_start);
    }
  }
}

auto SoakChecker::violations() const -> std::vector<std::string> {
  const auto lock = std::lock_guard(mutex_);
  return violations_;
}

auto SoakChecker::unfinished_jobs() const -> std::vector<std::string> {
  const auto lock = std::lock_guard(mutex_);
  auto jobs = std::vector<std::string>();
  for (const auto& [id, job] : jobs_) {
    if (job.accepted && !job.end_requested &&
        job.listed.size() < job.items.size()) {
      jobs.push_back(id);
    }
  }
  return jobs;
}

auto SoakChecker::accepted_jobs() const -> std::vector<std::string> {
  const auto lock = std::lock_guard(mutex_);
  auto jobs = std::vector<std::string>();
  for (const auto& [id, job] : jobs_) {
    if (job.accepted) {
      jobs.push_back(id);
    }
  }
  return jobs;
}

auto SoakChecker::replies() const -> std::map<std::string, int> {
  const auto lock = std::lock_guard(mutex_);
  return replies_;
}

}  // namespace kumquatgauge::testing
