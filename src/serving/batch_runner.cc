#include "kumquatgauge/serving/batch_runner.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "base/process_hooks.h"
#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/log.h"
#include "kumquatgauge/routing/rendezvous.h"
#include "kumquatgauge/serving/batch_allocator.h"
#include "kumquatgauge/serving/batch_schedule.h"
#include "kumquatgauge/serving/end_notices.h"
#include "kumquatgauge/serving/event_splitter.h"
#include "kumquatgauge/serving/forwarder.h"
#include "kumquatgauge/serving/job_memory.h"
#include "kumquatgauge/serving/job_state_check.h"
#include "kumquatgauge/serving/orphan_detector.h"
#include "kumquatgauge/serving/pending_jobs.h"
#include "kumquatgauge/serving/result_write_policy.h"
#include "kumquatgauge/serving/state_change.h"
#include "serving/owned_job.h"
#include "serving/result_cache.h"

namespace kumquatgauge::serving {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using caller::ResponseWriter;
using detail::BytesOf;
using detail::ItemProgress;
using detail::OwnedJob;
using detail::ResultCache;
using kumquatgauge::detail::Pause;
using nlohmann::json;
using routing::WorkClass;
using std::chrono::milliseconds;
using upstream::CallEnd;
using JobPtr = std::shared_ptr<OwnedJob>;
using WriterPtr = std::shared_ptr<ResponseWriter>;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;

// How often items may start. Nodes send each other their counts every 15 ms, so
// that the starts of one round are usually known in the next.
constexpr milliseconds kTickInterval{25};
// Rounds between two checks of what must stop: the items of the last check have
// stopped by then.
constexpr std::uint64_t kRoundsPerCheck = 2;
// How often the time at which waiting results are stored is decided again.
constexpr milliseconds kStoreCheckInterval{100};
// Delay after a failed call to the store, which answers within milliseconds
// when it is available.
constexpr milliseconds kStoreRetryDelay{300};
// A replica that sends no event for this long, several times the longest
// regular gap, is considered lost; the item continues on another replica.
constexpr milliseconds kHeadSilence{3'000};
constexpr milliseconds kEventSilence{1'500};
// The same if bytes arrive but no whole event.
constexpr milliseconds kEventTimeout{3'000};
// An item normally takes seconds; this bounds an answer that never ends.
constexpr std::chrono::minutes kItemTimeLimit{10};
// Longest time that a read waits for a result, and the additional time allowed
// for the answer of another node.
constexpr milliseconds kMaxReadWait{1'000};
constexpr milliseconds kPeerTimeout{800};
// Delay before the first scan: a node that starts first needs to learn the
// members.
constexpr milliseconds kFirstScanDelay{1'500};
// Delay after a scan that the store did not answer.
constexpr milliseconds kScanRetryDelay{1'000};
// How long a node that stops waits for replicas that have not begun to answer:
// an answer that an item cannot be done or has failed comes quickly, and would
// be lost.
constexpr milliseconds kHandoverAnswerTime{250};
constexpr milliseconds kHandoverPoll{10};
// The periodic scan makes up for lost announcements of takeovers. It may show
// states that are seconds old, at a fraction of the store's price: every node
// scans, and a takeover is a conditional write.
constexpr std::chrono::seconds kScanInterval{10};
// In a larger fleet the nodes that watch the store scan for all when the
// members change, and tell the nodes that are to take jobs over; the periodic
// scans of all together are as frequent as those of kScanningNodes.
constexpr std::size_t kMaxScanningNodes = 8;
constexpr std::size_t kScanningNodes = 64;
// Several nodes tell of the same job at about the same time.
constexpr milliseconds kOrphanRepeat{1'000};
// Retry-After while the store is unavailable.
constexpr milliseconds kStoreRetryAfter{500};
// Retry-After while the jobs of this node use all memory for them; their items
// run for seconds.
constexpr milliseconds kMemoryRetryAfter{1'000};
// Fractions of the process's memory, as divisors: results that are not stored
// yet, above which no further item starts; results that were read from the
// store. JobMemory limits the rest of the jobs.
constexpr std::size_t kUnstoredMemoryDivisor = 8;
constexpr std::size_t kCacheMemoryDivisor = 16;
// The same of answers to reads that are being sent.
constexpr std::size_t kAnswerMemoryDivisor = 8;
// Copies of an answer: its parts and its text.
constexpr std::size_t kAnswerCopies = 2;
constexpr auto kNoRoomForAnswer =
    "answers to other reads use all memory for them";
// Copies of a submission while it is decoded and stored, at most: among them
// the caller's body, its JSON, the record, its encoding and the call to the
// store.
constexpr std::size_t kSubmissionCopies = 6;
// Copies of the body of a running item: the request and its encoding.
constexpr std::size_t kRequestCopies = 2;
// Callers accept up to 1 MB of results, and so does the store.
constexpr std::size_t kMaxResultBytes = 900'000;
// Jobs that are read from the store at once for callers; all results of a job
// are held meanwhile.
constexpr int kMaxStoreReads = 2;
constexpr milliseconds kStoreReadPoll{10};
// How long a caller's read waits for others.
constexpr milliseconds kStoreReadWait{2'000};
constexpr std::size_t kMaxAnnounced = 20'000;
constexpr std::size_t kMaxIdBytes = 256;  // Of a job.
constexpr int kStateAttempts = 4;
// How long the items of a job wait for a route that is gone: an operator may
// take a change back. Short beside the time in which jobs must be finished, so
// that it may pass once more after a takeover.
constexpr std::chrono::seconds kRouteReturnTime{5};

auto EncodePeerPage(const Page& page) -> json {
  auto results = json::array();
  for (const auto& result : page.results) {
    results.push_back(
        json::array({result.item, result.completed, result.text}));
  }
  return {{"known", true},
          {"total", page.total},
          {"next", page.next},
          {"results", std::move(results)}};
}

auto DecodePeerPage(const json& message) -> Page {
  auto page = Page();
  page.total = message.at("total").get<std::size_t>();
  page.next = message.at("next").get<std::size_t>();
  for (const auto& result : message.at("results")) {
    page.results.push_back({result.at(0).get<std::string>(),
                            result.at(1).get<bool>(),
                            result.at(2).get<std::string>()});
  }
  return page;
}

}  // namespace

class BatchRunner::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(BatchRunnerParts parts)
      : parts_(std::move(parts)),
        schedule_(BatchScheduleSettings()),
        allocator_(BatchAllocatorSettings(), parts_.random),
        tick_timer_(parts_.executor),
        scan_timer_(parts_.executor),
        accepted_(
            parts_.metrics.counter("kqg_jobs_total{outcome=\"accepted\"}")),
        refused_(parts_.metrics.counter("kqg_jobs_total{outcome=\"not_run\"}")),
        adopted_(parts_.metrics.counter("kqg_jobs_adopted_total")),
        completed_items_(
            parts_.metrics.counter("kqg_items_total{outcome=\"completed\"}")),
        failed_items_(
            parts_.metrics.counter("kqg_items_total{outcome=\"failed\"}")),
        yields_(parts_.metrics.counter("kqg_item_yields_total")),
        limited_starts_(parts_.metrics.counter("kqg_limited_starts_total")),
        accept_ms_(parts_.metrics.histogram("kqg_job_accept_seconds")),
        append_ms_(parts_.metrics.histogram("kqg_result_store_seconds")),
        state_age_(parts_.metrics.histogram("kqg_item_state_age_seconds")) {
    parts_.metrics.AddGauge("kqg_job_memory_bytes", [this] {
      return static_cast<double>(memory_.used_bytes());
    });
    parts_.metrics.AddGauge("kqg_regular_loads", [this] {
      return static_cast<double>(
          allocator_.forecast().regular_services(parts_.clock()));
    });
    parts_.metrics.AddGauge("kqg_load_steps", [this] {
      return static_cast<double>(allocator_.forecast().steps());
    });
    parts_.metrics.AddGauge("kqg_item_repeated_yields", [this] {
      return static_cast<double>(schedule_.repeated_yields());
    });
  }

  auto Start() -> void {
    asio::co_spawn(parts_.executor, TickLoop(shared_from_this()),
                   asio::detached);
    ScheduleScan(kFirstScanDelay, true);
  }

  auto Close() -> void {
    stopped_ = true;
    closed_ = true;
    scan_timer_.cancel();
    tick_timer_.cancel();
    const auto jobs = jobs_;
    for (const auto& [id, job] : jobs) {
      Drop(job, "this node has stopped");
    }
  }

  auto Stop() -> void {
    stopped_ = true;
    scan_timer_.cancel();
    const auto jobs = jobs_;
    for (const auto& [id, job] : jobs) {
      asio::co_spawn(parts_.executor, HandOver(shared_from_this(), job),
                     asio::detached);
    }
  }

  auto Submit(std::shared_ptr<const caller::IncomingRequest> incoming,
              CallerRequest request,
              WriterPtr writer) -> awaitable<void> {
    const auto self = shared_from_this();
    const auto id =
        ScopedJobId(JobId(request.id.value()), request.organisation);
    if (jobs_.contains(id)) {
      co_await Answer(writer, kAccepted, "");
      co_return;
    }
    if (stopped_) {
      co_await RefuseJob(id, "this node stops", true, writer);
      co_return;
    }
    auto problem = CheckNames(*incoming, id);
    MakeRoom();
    if (problem.empty() && !memory_.MayAccept()) {
      auto refusal = AdmissionDecision();
      refusal.admission = JobAdmission::kUnavailable;
      refusal.reason = "the jobs of this node use all memory for jobs";
      refusal.retry_after = kMemoryRetryAfter;
      if (pending_.submits(id)) {
        refusal.admission = JobAdmission::kUnknown;  // That may be accepted.
      }
      const auto decision = co_await UnlessAccepted(id, std::move(refusal));
      co_await AnswerNotAccepted(id, decision, writer);
      co_return;
    }
    const auto copies =
        ReserveMemory(kSubmissionCopies * incoming->body.size());
    auto items = std::vector<JobItem>();
    if (problem.empty()) {
      problem = DecodeSubmission(*incoming, items);
    }
    if (!problem.empty()) {
      logger_.Warning("refused a malformed job", {{"event", "job_malformed"},
                                                  {"job", id.value()},
                                                  {"reason", problem}});
      co_await Answer(writer, kBadRequest, std::move(problem));
      co_return;
    }
    auto record = JobRecord{id,       request.host,   request.path,
                            WallMs(), incoming->body, request.organisation};
    auto state = NewState(id, items.size(), record.accepted_ms);
    AddAccount(state, record, items);
    const auto decoded =
        ReserveMemory(MemoryOf(items) + memory_.ExpectedResults(items.size()));
    const auto submission = pending_.BeginSubmission(id);
    auto decision = co_await CheckQuota(state);
    if (stopped_ && decision.admission == JobAdmission::kGranted) {
      parts_.quotas.OnOver(state.account, id);
      decision = {JobAdmission::kUnavailable, "this node stops"};
    }
    if (decision.admission != JobAdmission::kGranted) {
      co_await AnswerNotAccepted(id, decision, writer);
      co_return;
    }
    auto stored = std::optional<StoredState>();
    auto failure = std::string();
    auto not_run = true;
    const auto began = parts_.clock();
    try {
      stored = co_await parts_.archive.Create(record, state);
    } catch (const Error& error) {
      failure = error.what();
      not_run = error.kind() != ErrorKind::kUnknownOutcome;
    }
    accept_ms_.Record(MillisecondsSince(began));
    const auto created = stored && stored->state == state;
    if (created && !AcceptedHere(state)) {
      decision = co_await AcceptAgain(*stored);
      if (decision.admission != JobAdmission::kGranted) {
        co_await AnswerNotAccepted(id, decision, writer);
        co_return;
      }
    } else if (stored ? !AcceptedHere(stored->state) : not_run) {
      parts_.quotas.OnOver(state.account, id);  // It was reserved in vain.
    }
    if (!stored) {
      co_await RefuseJob(id, failure, not_run, writer);
      co_return;
    }
    accepted_.Add();
    logger_.Info("a job was accepted",
                 {{"event", "job_accepted"},
                  {"job", id.value()},
                  {"items", std::to_string(items.size())},
                  {"owner", stored->state.owner.value()},
                  {"version", std::to_string(stored->version)},
                  {"took_ms", std::to_string(static_cast<std::int64_t>(
                                  MillisecondsSince(began)))}});
    // A job that is over may have been dropped here to free memory.
    const auto over = stored->state.done || stored->state.ended;
    const auto known = jobs_.contains(id) || pending_.takes_over(id);
    if (!IsOwn(stored->state) || over || stopped_) {
      OnAnnounced(id, stored->state.owner);
    } else if (created && !known) {
      record.submission.clear();
      AddOwnedJob(*submission, *stored, began, std::move(record),
                  std::move(items), {});
    } else if (!known) {
      // An earlier takeover or submission has not been completed. Results may
      // be stored, and the list may be closed.
      asio::co_spawn(parts_.executor, AdoptAgain(self, *stored),
                     asio::detached);
    }
    co_await Answer(writer, kAccepted, "");
  }

  auto Read(ReadResults call, WriterPtr writer) -> awaitable<void> {
    const auto self = shared_from_this();
    call.wait = std::min(call.wait, kMaxReadWait);
    auto page = std::optional<Page>();
    auto failure = std::string();
    auto known = true;
    try {
      page = co_await FindPage(call);
      known = page.has_value();
    } catch (const std::exception& error) {
      failure = error.what();
    }
    if (page) {
      if (const auto answering = ReserveAnswer(MemoryOf(page->results))) {
        auto headers = HeaderList{{"Content-Type", "application/json"}};
        auto body = parts_.dialect.encode_page(*page);
        page.reset();
        co_await writer->Send(kOk, std::move(headers), std::move(body));
        co_return;
      }
      failure = kNoRoomForAnswer;
    }
    logger_.Warning("results are unavailable",
                    {{"event", "read_refused"},
                     {"job", call.job.value()},
                     {"known", known ? "unsure" : "no"},
                     {"reason", failure}});
    if (!known) {
      co_await Answer(writer, kNotFound, "no such batch job");
      co_return;
    }
    co_await Refuse(writer, kServiceUnavailable, failure, kStoreRetryAfter);
  }

  auto ReadBody(ReadItemBody call, WriterPtr writer) -> awaitable<void> {
    const auto self = shared_from_this();
    auto body = std::optional<std::string>();
    auto failure = std::string();
    try {
      body = co_await FindBody(call);
    } catch (const std::exception& error) {
      failure = error.what();
    }
    if (body) {
      if (const auto answering = ReserveAnswer(body->size())) {
        auto headers = HeaderList{{"Content-Type", "application/octet-stream"}};
        co_await writer->Send(kOk, std::move(headers), std::move(*body));
        co_return;
      }
      failure = kNoRoomForAnswer;
    }
    if (failure.empty()) {
      co_await Answer(writer, kNotFound, "no such item");
    } else {
      logger_.Warning("the body of an item is unavailable",
                      {{"event", "read_refused"},
                       {"job", call.job.value()},
                       {"item", call.item},
                       {"reason", failure}});
      co_await Refuse(writer, kServiceUnavailable, failure, kStoreRetryAfter);
    }
  }

  auto End(EndJob call, WriterPtr writer) -> awaitable<void> {
    const auto self = shared_from_this();
    auto ended = std::optional<bool>();
    auto failure = std::string();
    try {
      ended = co_await EndAnywhere(call.job);
    } catch (const std::exception& error) {
      failure = error.what();
    }
    logger_.Info("a request to end a job was handled",
                 {{"event", "job_end"},
                  {"job", call.job.value()},
                  {"outcome", !ended   ? "unsure"
                              : *ended ? "ended"
                                       : "unknown"},
                  {"reason", failure}});
    if (!ended) {
      co_await Refuse(writer, kServiceUnavailable, failure, kStoreRetryAfter);
    } else if (*ended) {
      co_await Answer(writer, kOk, "");
    } else {
      co_await Answer(writer, kNotFound, "no such batch job");
    }
  }

  auto YieldSlot(const ServiceName& service,
                 const std::optional<std::string>& version) -> bool {
    return YieldItems(service, 1, "an online request found no free slot",
                      version) > 0;
  }

  auto OnAnnounced(const JobId& job, const NodeId& owner) -> void {
    const auto own = jobs_.find(job);
    if (own != jobs_.end() && owner != parts_.self().id) {
      SpawnCheck(own->second, true);
    }
    if (announced_.size() >= kMaxAnnounced) {
      announced_.clear();  // Owners are looked up in the store again.
    }
    announced_[job] = owner;
  }

  auto OnMembersChanged() -> void {
    if (ScansForOthers()) {
      orphans_.OnMembersChanged(parts_.clock());
      ArmScan();
    }
  }

  auto OnOrphan(const JobId& job, const NodeId& from) -> void {
    const auto now = parts_.clock();
    std::erase_if(orphans_told_, [&](const auto& entry) {
      return now - entry.second > kOrphanRepeat;
    });
    if (!stopped_ && !jobs_.contains(job) &&
        orphans_told_.try_emplace(job, now).second) {
      asio::co_spawn(parts_.executor,
                     AdoptOrphan(shared_from_this(), job, from),
                     asio::detached);
    }
  }

  auto OnRestarted() -> void {
    const auto jobs = jobs_;
    for (const auto& [id, job] : jobs) {
      Drop(job, "other nodes considered this node dead");
    }
    ScheduleScan(kFirstScanDelay, true);
  }

  auto RegisterHandlers(
      const std::function<auto(std::string, node::Handler)->void>& add)
      -> void {
    add("job-results", MakeHandler(&Impl::AnswerResults));
    add("job-item", MakeHandler(&Impl::AnswerItem));
    add("job-end", MakeHandler(&Impl::AnswerEnd));
  }

 private:
  using PeerAnswer = auto(Impl::*)(json) -> awaitable<json>;

  // --- Helpers.

  auto WallMs() const -> std::uint64_t {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(
            parts_.wall_clock().time_since_epoch())
            .count());
  }

  auto MillisecondsSince(MonotonicTime began) const -> double {
    return std::chrono::duration<double, std::milli>(parts_.clock() - began)
        .count();
  }

  auto NewState(const JobId& id,
                std::uint64_t total,
                std::uint64_t accepted_ms) const -> JobState {
    const auto self = parts_.self();
    return {id, self.id, self.incarnation, accepted_ms, total, false, false};
  }

  auto IsOwn(const JobState& state) const -> bool {
    const auto self = parts_.self();
    return state.owner == self.id && state.incarnation == self.incarnation;
  }

  auto FindMember(const NodeId& id) const -> std::optional<routing::NodeInfo> {
    for (const auto& node : parts_.live()) {
      if (node.id == id) {
        return node;
      }
    }
    return std::nullopt;
  }

  static auto Answer(WriterPtr writer, int status, std::string text)
      -> awaitable<void> {
    auto headers = HeaderList{{"Content-Type", "text/plain"}};
    if (!text.empty()) {
      text += "\n";
    }
    co_await writer->Send(status, std::move(headers), std::move(text));
  }

  // Ids and paths are stored, and ids name objects of the store.
  static auto IsPrintable(std::string_view text) -> bool {
    return std::all_of(text.begin(), text.end(), [](char character) {
      return character >= ' ' && character <= '~';
    });
  }

  // Returns what is wrong with the names of a submission; empty if nothing is.
  static auto CheckNames(const caller::IncomingRequest& incoming,
                         const JobId& id) -> std::string {
    const auto& name = id.value();
    if (name.empty() || name.size() > kMaxIdBytes || !IsPrintable(name) ||
        name == "." || name == "..") {
      return "a batch job needs an id of printable ASCII characters";
    }
    if (!IsPrintable(incoming.target)) {
      return "encode the characters of the path that are not ASCII";
    }
    return "";
  }

  // The same for its items.
  auto DecodeSubmission(const caller::IncomingRequest& incoming,
                        std::vector<JobItem>& items) const -> std::string {
    try {
      items = parts_.dialect.decode_submission(incoming.body);
    } catch (const Error& error) {
      return error.what();
    }
    return items.empty() ? "a batch job needs items" : "";
  }

  enum class JobAdmission {
    kGranted,
    kExists,
    kOverQuota,
    kUnavailable,
    kUnknown,  // It does not fit, or an earlier submission was accepted.
  };
  struct AdmissionDecision {
    JobAdmission admission = JobAdmission::kGranted;
    std::string reason;
    milliseconds retry_after = kStoreRetryAfter;
  };

  auto AddAccount(JobState& state,
                  const JobRecord& record,
                  const std::vector<JobItem>& items) const -> void {
    const auto self = parts_.self();
    state.acceptor = self.id;
    state.acceptor_incarnation = self.incarnation;
    for (const auto& item : items) {
      state.tokens += item.tokens;
    }
    const auto configuration = parts_.configuration();
    const auto* route = RouteOf(record, configuration.get());
    if (route != nullptr) {
      state.account = AccountNameOf(*route, record.organisation);
      state.configuration_version = configuration->version;
    }
  }

  auto AcceptedHere(const JobState& state) const -> bool {
    const auto self = parts_.self();
    return state.acceptor == self.id &&
           state.acceptor_incarnation == self.incarnation;
  }

  // Reserves the tokens of a job, unless it is known to be accepted. A job that
  // does not fit may be a repeated one that was accepted before.
  auto CheckQuota(JobState state) -> awaitable<AdmissionDecision> {
    if (announced_.contains(state.id) || state.account.empty()) {
      co_return AdmissionDecision();
    }
    auto refusal = AdmissionDecision();
    try {
      const auto decision =
          co_await parts_.quotas.Reserve(state.account, state.id, state.tokens);
      if (decision.granted) {
        co_return refusal;
      }
      refusal = {JobAdmission::kOverQuota, decision.reason,
                 decision.retry_after};
    } catch (const Error& error) {
      refusal.admission = JobAdmission::kUnavailable;
      refusal.reason = error.what();
      co_return refusal;
    }
    co_return co_await UnlessAccepted(state.id, std::move(refusal));
  }

  // Returns `refusal` unless an earlier submission of the job was accepted.
  auto UnlessAccepted(JobId id, AdmissionDecision refusal)
      -> awaitable<AdmissionDecision> {
    try {
      const auto stored = co_await parts_.archive.LoadState(id);
      if (stored) {
        OnAnnounced(id, stored->state.owner);
        refusal.admission = JobAdmission::kExists;
      }
    } catch (const Error& error) {
      refusal = {JobAdmission::kUnknown, error.what()};
    }
    co_return refusal;
  }

  // Accepts a stored job again, and as its owner, after other nodes considered
  // this node dead while it stored the job: they may have lent its share to
  // others before the job was in the store. A job that no longer fits is
  // removed.
  auto AcceptAgain(StoredState& stored) -> awaitable<AdmissionDecision> {
    auto state = stored.state;
    const auto self = parts_.self();
    state.owner = self.id;
    state.incarnation = self.incarnation;
    state.acceptor = self.id;
    state.acceptor_incarnation = self.incarnation;
    auto check = AdmissionDecision();
    try {
      if (!state.account.empty()) {
        const auto decision = co_await parts_.quotas.Reserve(
            state.account, state.id, state.tokens);
        if (!decision.granted) {
          check.admission = JobAdmission::kUnknown;  // Until it is removed.
          co_await parts_.archive.Remove(stored.state, stored.version);
          check = {JobAdmission::kOverQuota, decision.reason,
                   decision.retry_after};
          co_return check;
        }
      }
      check.admission = JobAdmission::kUnknown;
      const auto replaced =
          co_await parts_.archive.ReplaceState(state, stored.version);
      // Otherwise another node has taken the job over, and the tokens that are
      // reserved here cover it.
      if (replaced) {
        stored = *replaced;
      }
      check.admission = JobAdmission::kGranted;
    } catch (const Error& error) {
      check.admission = JobAdmission::kUnknown;
      check.reason = error.what();
    }
    co_return check;
  }

  auto AnswerNotAccepted(JobId id, AdmissionDecision check, WriterPtr writer)
      -> awaitable<void> {
    switch (check.admission) {
      case JobAdmission::kGranted:
      case JobAdmission::kExists:
        co_await Answer(writer, kAccepted, "");
        break;
      case JobAdmission::kOverQuota:
        refused_.Add();
        co_await Refuse(writer, kTooManyRequests, check.reason,
                        check.retry_after);
        break;
      case JobAdmission::kUnavailable:
        co_await RefuseJob(id, check.reason, true, writer, check.retry_after);
        break;
      case JobAdmission::kUnknown:
        co_await RefuseJob(id, check.reason, false, writer);
        break;
    }
  }

  auto RefuseJob(JobId id,
                 std::string failure,
                 bool not_run,
                 WriterPtr writer,
                 milliseconds retry_after = kStoreRetryAfter)
      -> awaitable<void> {
    refused_.Add();
    logger_.Warning("a job was not accepted",
                    {{"event", "job_refused"},
                     {"job", id.value()},
                     {"not_run", not_run ? "true" : "unsure"},
                     {"reason", failure}});
    const auto status = not_run ? kServiceUnavailable : kBadGateway;
    co_await Refuse(writer, status, std::move(failure),
                    not_run ? retry_after : milliseconds::zero());
  }

  // --- Memory.

  // Counts memory that a job needs while it is accepted or taken over, until
  // the returned handle is destroyed.
  auto ReserveMemory(std::size_t bytes) -> std::shared_ptr<void> {
    memory_.Reserve(bytes);
    return {nullptr, [self = shared_from_this(), bytes](void*) {
              self->memory_.Release(bytes);
            }};
  }

  // Limits the memory of answers to reads that callers have not taken yet. The
  // answer may be sent while the returned handle exists; null if there is no
  // room.
  auto ReserveAnswer(std::size_t bytes) -> std::shared_ptr<void> {
    const auto all = kAnswerCopies * bytes;
    if (answer_bytes_ > 0 &&
        answer_bytes_ + all > parts_.memory_bytes / kAnswerMemoryDivisor) {
      return nullptr;
    }
    answer_bytes_ += all;
    // A null pointer would look like a refusal.
    return {this, [self = shared_from_this(), all](void*) {
              self->answer_bytes_ -= all;
            }};
  }

  auto AccountFor(const OwnedJob& job) -> void {
    memory_.Set(job.state.id, {job.item_bytes, job.stored_bytes,
                               job.items.size() - job.listed.size(),
                               job.state.accepted_ms, job.IsOver()});
  }

  // Drops jobs that are over, oldest first, once jobs use too much memory.
  // Their results are then read from the store.
  auto MakeRoom() -> void {
    for (const auto& id : memory_.Evictions()) {
      Drop(JobPtr(jobs_.at(id)), "it is over and memory is low");
    }
  }

  // --- Ownership.

  // `stored` was the stored state at `known_at`; `operation` began before. What
  // was told of the job since then applies before any of its items can start.
  auto AddOwnedJob(const PendingJobs::Operation& operation,
                   const StoredState& stored,
                   MonotonicTime known_at,
                   JobRecord record,
                   std::vector<JobItem> items,
                   const StoredResults& results) -> void {
    if (jobs_.contains(stored.state.id)) {
      return;
    }
    auto job = std::make_shared<OwnedJob>();
    job->state = stored.state;
    job->version = stored.version;
    job->state_known_at = known_at;
    job->record = std::move(record);
    job->items = std::move(items);
    for (std::size_t at = 0; at < job->items.size(); ++at) {
      job->index[job->items[at].id] = at;
    }
    job->AppendStored(results);
    job->item_bytes = MemoryOf(job->items);
    memory_.OnJob(job->items.size(), job->item_bytes);
    jobs_[stored.state.id] = job;
    AccountFor(*job);
    checks_.Add(stored.state.id, known_at);
    OnAnnounced(stored.state.id, stored.state.owner);
    parts_.announce(stored.state.id);
    auto failures = BatchSchedule::Failures();
    for (const auto& [item, count] : results.failures) {
      const auto found = job->index.find(item);
      if (found != job->index.end()) {
        failures.emplace(found->second, count);
      }
    }
    UpdateRoute(*job, parts_.configuration().get());
    schedule_.Add(Describe(*job, parts_.configuration().get()),
                  {job->listed.begin(), job->listed.end()}, failures);
    if (const auto& newest = operation.newest()) {
      ApplyState(job, *newest, "news before it was added", known_at);
    }
    FinishIfComplete(job);
  }

  // Returns the route of a job; null if there is none.
  static auto RouteOf(const JobRecord& record,
                      const Configuration* configuration) -> const Route* {
    const auto* route =
        configuration == nullptr
            ? nullptr
            : configuration->FindRoute(record.host, record.path);
    return route != nullptr && route->kind == RequestKind::kBatch ? route
                                                                  : nullptr;
  }

  // Notes since when a job has no route. A configuration older than the job
  // does not show that its route is gone.
  auto UpdateRoute(OwnedJob& job, const Configuration* configuration) -> void {
    const auto gone =
        configuration != nullptr &&
        configuration->version >= job.state.configuration_version &&
        RouteOf(job.record, configuration) == nullptr;
    if (job.IsOver() || gone == job.unrouted_since.has_value()) {
      return;
    }
    job.unrouted_since = gone ? std::optional(parts_.clock()) : std::nullopt;
    logger_.Warning(
        gone ? "the route of a job is gone; its items are given up unless the "
               "route returns"
             : "the route of a job has returned",
        {{"event", gone ? "job_route_gone" : "job_route_returned"},
         {"job", job.state.id.value()},
         {"configuration", std::to_string(configuration->version)}});
  }

  // Returns the scheduling parameters of a job under the current configuration.
  auto Describe(const OwnedJob& job, const Configuration* configuration) const
      -> ScheduledJob {
    const auto* route = RouteOf(job.record, configuration);
    auto scheduled = ScheduledJob();
    scheduled.id = job.state.id;
    scheduled.items = job.items.size();
    const auto age =
        milliseconds(static_cast<std::int64_t>(WallMs()) -
                     static_cast<std::int64_t>(job.state.accepted_ms));
    const auto accepted = parts_.clock() - age;
    scheduled.due = accepted + kItemTimeLimit;
    scheduled.give_up = MonotonicTime::max();
    if (route != nullptr) {
      scheduled.service =
          PickService(*route, routing::RendezvousHash(job.state.id.value()));
      scheduled.max_attempts = route->max_attempts;
      if (route->due > milliseconds::zero()) {
        scheduled.due = accepted + route->due;
      }
      if (route->give_up_after > milliseconds::zero()) {
        scheduled.give_up = accepted + route->give_up_after;
      }
    }
    if (job.unrouted_since) {
      scheduled.withdrawal = *job.unrouted_since + kRouteReturnTime;
    }
    return scheduled;
  }

  // A new configuration may route jobs to another service.
  auto RescheduleOnNewConfiguration() -> void {
    const auto configuration = parts_.configuration();
    if (configuration == nullptr ||
        configuration->version == scheduled_version_) {
      return;
    }
    for (const auto& [id, job] : jobs_) {
      UpdateRoute(*job, configuration.get());
      schedule_.Update(Describe(*job, configuration.get()));
    }
    scheduled_version_ = configuration->version;
  }

  auto Drop(const JobPtr& job, const std::string& reason) -> void {
    if (std::exchange(job->dropped, true)) {
      return;
    }
    logger_.Info("a job is no longer run here",
                 {{"event", "job_dropped"},
                  {"job", job->state.id.value()},
                  {"listed", std::to_string(job->stored.results.size())},
                  {"reason", reason}});
    schedule_.Remove(job->state.id);
    checks_.Remove(job->state.id);
    memory_.Remove(job->state.id);
    CancelItems(*job);
    jobs_.erase(job->state.id);
    job->WakeReaders();
  }

  static auto CancelItems(OwnedJob& job) -> void {
    CancelItems(job, [](const ItemProgress& /*item*/) { return true; });
  }

  static auto CancelItems(
      OwnedJob& job,
      const std::function<auto(const ItemProgress&)->bool>& chosen) -> void {
    for (auto& [item, progress] : job.progress) {
      if (progress.call && chosen(progress)) {
        progress.call->Cancel();
      }
    }
  }

  // --- Handing over.

  // Gives up a job in a planned stop. What the replicas have answered must not
  // be lost with this process: an item that fails at each run would run again
  // at each node that owns its job in turn.
  static auto HandOver(std::shared_ptr<Impl> self, JobPtr job)
      -> awaitable<void> {
    const auto began = self->parts_.clock();
    job->EndStoreDelay();
    CancelItems(*job, [](const ItemProgress& item) { return item.answered; });
    while (IsRunning(*job) &&
           self->parts_.clock() - began < kHandoverAnswerTime) {
      co_await Pause(kHandoverPoll);
    }
    CancelItems(*job);
    while (!job->dropped && (IsRunning(*job) || job->storing) &&
           self->parts_.clock() - began < kHandoverTime) {
      co_await Pause(kHandoverPoll);
    }
    const auto over = job->state.done || job->state.ended;
    if (!job->dropped && !over && !job->storing) {
      co_await self->StoreFailures(job);
    }
    if (job->dropped) {
      co_return;
    }
    const auto id = job->state.id;
    const auto chosen = self->ChosenFor(id);
    self->logger_.Info(
        "a job is handed over",
        {{"event", "job_handed_over"},
         {"job", id.value()},
         {"to", over ? std::string() : chosen.value()},
         {"listed", std::to_string(job->stored.results.size())},
         {"unstored", std::to_string(job->unstored.size())},
         {"failed_items", std::to_string(job->stored.failures.size())},
         {"took_ms", std::to_string(static_cast<std::int64_t>(
                         self->MillisecondsSince(began)))}});
    self->Drop(job, "this node stops");
    if (!over && chosen != self->parts_.self().id) {
      self->parts_.tell_orphan(id, chosen);
    }
  }

  static auto IsRunning(const OwnedJob& job) -> bool {
    return std::any_of(
        job.progress.begin(), job.progress.end(),
        [](const auto& entry) { return entry.second.call != nullptr; });
  }

  // Closes the list of results with what is known of items that failed.
  auto StoreFailures(JobPtr job) -> awaitable<void> {
    auto chunk = ResultChunk{job->state.id, job->stored.end(), Nonce(), {}};
    chunk.failures = FailuresOf(*job);
    if (chunk.failures.empty()) {
      co_return;
    }
    try {
      const auto stored = co_await parts_.archive.Append(chunk);
      job->AppendStored(stored);
    } catch (const Error& error) {
      logger_.Warning("the failures of a job's items could not be stored",
                      {{"event", "store_failed"},
                       {"job", job->state.id.value()},
                       {"items", std::to_string(chunk.failures.size())},
                       {"reason", error.what()}});
    }
  }

  auto FailuresOf(const OwnedJob& job) const -> FailedRuns {
    auto failures = FailedRuns();
    for (const auto& [item, count] : schedule_.failures(job.state.id)) {
      failures.emplace(job.items[item].id, count);
    }
    return failures;
  }

  // --- Running items.

  static auto TickLoop(std::shared_ptr<Impl> self) -> awaitable<void> {
    // A node that stops still answers callers, and tells owners of ended jobs.
    while (!self->closed_) {
      self->tick_timer_.expires_after(kTickInterval);
      co_await self->tick_timer_.async_wait(kAwaitTuple);
      if (self->closed_) {
        break;
      }
      self->SendDueEndNotices();
      if (!self->stopped_) {
        self->Tick();
      }
    }
  }

  auto Tick() -> void {
    const auto now = parts_.clock();
    const auto check = rounds_++ % kRoundsPerCheck == 0;
    if (check && !jobs_.empty()) {
      CheckJobs(now);
    }
    unstored_bytes_ = 0;
    for (const auto& [id, job] : jobs_) {
      unstored_bytes_ += BytesOf(job->unstored);
    }
    for (const auto& service : allocator_.services()) {
      const auto demand =
          BatchDemand{schedule_.waiting(service, now),
                      schedule_.running(service), schedule_.run_time()};
      if (check) {
        const auto online = parts_.load_balancer.Total(service).online;
        allocator_.OnLoad(service, online, now);
      }
      if (demand.waiting == 0 && (!check || demand.running == 0)) {
        continue;
      }
      const auto load =
          BatchLoadOf(parts_.load_balancer, service, parts_.cell_size());
      if (check) {
        YieldItems(service, allocator_.Yields(service, load, now),
                   "online requests leave fewer slots for batch work",
                   std::nullopt);
      }
      if (unstored_bytes_ < MaxUnstoredBytes()) {
        StartItems(service, load, demand, now);
      }
    }
  }

  auto CheckJobs(MonotonicTime now) -> void {
    MakeRoom();
    CheckStates(now);
    UpdateSuspensions(now);
    RescheduleOnNewConfiguration();
    GiveUpItems(now);
    allocator_.Watch(schedule_.services());
  }

  auto GiveUpItems(MonotonicTime now) -> void {
    auto counts = std::map<JobId, std::size_t>();
    for (const auto& ref : schedule_.TakeGivenUp(now)) {
      ++counts[ref.job];
      AddResult(ref, false);
    }
    for (const auto& [id, count] : counts) {
      const auto job = jobs_.find(id);
      const auto unrouted = job != jobs_.end() && job->second->unrouted_since;
      logger_.Warning("items are given up",
                      {{"event", "items_given_up"},
                       {"job", id.value()},
                       {"items", std::to_string(count)},
                       {"reason", unrouted ? "the route of the job is gone"
                                           : "their retention time is over"}});
    }
  }

  auto MaxUnstoredBytes() const -> std::size_t {
    return parts_.memory_bytes / kUnstoredMemoryDivisor;
  }

  auto CheckStates(MonotonicTime now) -> void {
    const auto failures = parts_.store_failures();
    if (std::exchange(store_failures_, failures) != failures) {
      checks_.OnStoreFailed(now);
    }
    checks_.SetIsolated(parts_.isolated(), now);
    for (const auto& [id, exact] : checks_.TakeDue(now)) {
      SpawnCheck(jobs_.at(id), exact);
    }
  }

  auto UpdateSuspensions(MonotonicTime now) -> void {
    for (const auto& [id, job] : jobs_) {
      // Hearing a node again does not tell whether the job was ended meanwhile.
      const auto suspend =
          job->suspended_at
              ? job->state_known_at < job->suspended_at.value_or(now)
              : !checks_.MayRun(id, now);
      if (suspend == job->suspended_at.has_value()) {
        continue;
      }
      job->suspended_at = suspend ? std::optional(now) : std::nullopt;
      logger_.Warning(
          suspend ? "a job is suspended: no node is heard and its state "
                    "cannot be read"
                  : "a suspended job is resumed",
          {{"event", suspend ? "job_suspended" : "job_resumed"},
           {"job", id.value()},
           {"version", std::to_string(job->version)}});
      if (suspend) {
        CancelItems(*job);
      }
    }
  }

  auto StartItems(const ServiceName& service,
                  const BatchLoad& load,
                  const BatchDemand& demand,
                  MonotonicTime now) -> void {
    const auto limits = allocator_.Starts(service, load, demand, now);
    for (const auto& ref : schedule_.TakeStarts(service, limits, now)) {
      asio::co_spawn(parts_.executor, RunItem(shared_from_this(), ref),
                     asio::detached);
    }
  }

  // Returns the progress of an item that runs; null while it does not.
  auto RunningItem(const ItemRef& ref) const -> const ItemProgress* {
    const auto job = jobs_.find(ref.job);
    if (job == jobs_.end()) {
      return nullptr;
    }
    const auto progress = job->second->progress.find(ref.item);
    return progress == job->second->progress.end() || !progress->second.call
               ? nullptr
               : &progress->second;
  }

  // Whether a running item may stop for online requests. One at a limited
  // replica goes on, since it would need another start to resume, and one at a
  // replica that leaves, whose slot is of no use to others.
  auto MayYield(const ItemRef& ref,
                const std::optional<std::string>& version) const -> bool {
    const auto* item = RunningItem(ref);
    const auto& balancer = parts_.load_balancer;
    return item != nullptr && (!version || *version == item->version) &&
           balancer.TakesRequests(item->replica) &&
           !balancer.start_limiter().IsLimited(item->replica);
  }

  // Stops items at replicas of `version`, or of any if it is not given.
  auto YieldItems(const ServiceName& service,
                  std::size_t count,
                  const std::string& reason,
                  const std::optional<std::string>& version) -> std::size_t {
    const auto configuration = parts_.configuration();
    const auto yields = schedule_.TakeYields(
        service, count, parts_.clock(),
        [&](const ItemRef& ref) { return MayYield(ref, version); },
        [&](const ItemRef& ref) {
          return parts_.load_balancer.IsFull(RunningItem(ref)->replica);
        },
        configuration == nullptr ? Duration::zero()
                                 : OnlineWait(*configuration, service));
    for (const auto& ref : yields) {
      const auto job = jobs_.find(ref.job);
      if (job == jobs_.end()) {
        continue;
      }
      const auto progress = job->second->progress.find(ref.item);
      if (progress == job->second->progress.end() || !progress->second.call) {
        continue;
      }
      yields_.Add();
      logger_.Debug(
          "an item yields its slot",
          {{"event", "item_yielded"},
           {"item", job->second->items[ref.item].id},
           {"last_event", std::to_string(progress->second.last_event)},
           {"reason", reason}});
      progress->second.call->Cancel();
    }
    return yields.size();
  }

  static auto RunItem(std::shared_ptr<Impl> self, ItemRef ref)
      -> awaitable<void> {
    const auto found = self->jobs_.find(ref.job);
    if (found == self->jobs_.end()) {
      co_return;
    }
    const auto job = found->second;
    const auto end = co_await self->Attempt(job, ref);
    if (job->dropped) {
      co_return;
    }
    const auto permanently_failed =
        self->schedule_.OnEnded(ref, end.end, self->parts_.clock());
    if (end.end == ItemEnd::kFinished || permanently_failed) {
      self->AddResult(ref, end.completed);
    }
  }

  struct ItemOutcome {
    ItemEnd end = ItemEnd::kNotPlaced;
    bool completed = false;
    bool broken = false;   // The replica broke off.
    bool leaving = false;  // It said in its answer that it leaves.
    std::uint64_t answer_bytes = 0;
  };

  // Returns the service that the current configuration routes an item to;
  // nothing without a route for the job.
  auto ServiceOf(const OwnedJob& job, const JobItem& item) const
      -> std::optional<ServiceName> {
    const auto configuration = parts_.configuration();
    const auto* job_route = RouteOf(job.record, configuration.get());
    if (job_route == nullptr) {
      return std::nullopt;
    }
    // A route may be split, so that items have one of their own. The job's
    // route serves items with paths of no route.
    const auto* route = configuration->FindRoute(job.record.host, item.path);
    return PickService(route == nullptr ? *job_route : *route,
                       routing::RendezvousHash(job.state.id.value()));
  }

  auto Attempt(JobPtr job, ItemRef ref) -> awaitable<ItemOutcome> {
    const auto& item = job->items[ref.item];
    const auto service = ServiceOf(*job, item);
    auto outcome = ItemOutcome();
    if (!service || job->state.ended || job->suspended_at) {
      co_return outcome;
    }
    auto request = ChoiceRequest();
    request.service = *service;
    request.work_class = WorkClass::kBatch;
    const auto urgent = schedule_.IsUrgent(ref, parts_.clock());
    request.urgent = urgent;
    const auto choice = ChooseForItem(*job, ref, request);
    const auto placed =
        choice.availability == Availability::kFree ||
        (urgent && choice.availability != Availability::kNoReplica);
    if (!placed || !choice.replica) {
      co_return outcome;
    }
    auto& progress = job->progress[ref.item];
    const auto admission = parts_.quarantine.Admit(TraitsOf(item));
    LogWithheld(ref, item, admission, progress);
    if (!admission.allowed) {
      outcome.end = ItemEnd::kWithheld;
      co_return outcome;
    }
    const auto replica = *choice.replica;
    const auto limited =
        parts_.load_balancer.start_limiter().IsLimited(replica.id);
    if (limited) {
      limited_starts_.Add();
    }
    const auto copies = ReserveMemory(kRequestCopies * item.body.size());
    parts_.load_balancer.OnStarted(replica.id, WorkClass::kBatch);
    parts_.hooks.counts_changed();
    const auto call = parts_.replicas.Start(
        MakeItemRequest(*job, item, replica, progress),
        MakeHeadFilter(parts_.dialect, parts_.hooks, replica, item.id));
    progress.call = call;
    progress.answered = false;
    progress.replica = replica.id;
    progress.version = replica.version;
    const auto began = parts_.clock();
    const auto state_version = job->version;
    const auto state_age = began - job->state_known_at;
    state_age_.Record(
        std::chrono::duration<double, std::milli>(state_age).count());
    const auto events_before = progress.last_event;
    outcome = co_await ReadAnswer(job, ref, replica, call);
    job->progress[ref.item].call = nullptr;
    ReportToQuarantine(item, replica.id, *call, outcome,
                       job->progress[ref.item].last_event > events_before);
    parts_.load_balancer.OnEnded(replica.id, WorkClass::kBatch);
    if (call->sends() > 1) {
      parts_.load_balancer.OnSentAgain(replica.id, call->sends() - 1);
    }
    if (call->bytes_sent()) {
      parts_.load_balancer.OnBytes(replica.id,
                                   item.body.size() + outcome.answer_bytes);
    }
    parts_.hooks.counts_changed();
    const auto failed =
        outcome.end == ItemEnd::kFailed ||
        (outcome.end == ItemEnd::kFinished && !outcome.completed);
    logger_.Write(
        failed ? LogLevel::kWarning : LogLevel::kInfo,
        "an item's attempt ended",
        {{"event", "item_attempt"},
         {"job", ref.job.value()},
         {"item", item.id},
         {"replica", replica.id.value()},
         {"version", replica.version},
         {"resume_after", std::to_string(events_before)},
         {"in_flight", std::to_string(choice.in_flight)},
         {"limited", limited ? "true" : "false"},
         {"leaving", outcome.leaving ? "true" : "false"},
         {"urgent", urgent ? "true" : "false"},
         {"end", EndName(outcome)},
         {"reason", call->reason()},
         {"last_event", std::to_string(job->progress[ref.item].last_event)},
         {"state_version", std::to_string(state_version)},
         {"state_age_ms",
          std::to_string(
              std::chrono::duration_cast<milliseconds>(state_age).count())},
         {"ran_ms", std::to_string(
                        static_cast<std::int64_t>(MillisecondsSince(began)))}});
    co_return outcome;
  }

  // Chooses a replica of the version that wrote the item's text so far. Once
  // there is none, the item runs from the start.
  auto ChooseForItem(OwnedJob& job, const ItemRef& ref, ChoiceRequest request)
      -> Choice {
    auto& progress = job.progress[ref.item];
    if (progress.last_event == 0) {
      return parts_.load_balancer.Choose(request);
    }
    request.version = progress.version;
    auto choice = parts_.load_balancer.Choose(request);
    if (choice.availability != Availability::kNoReplica) {
      return choice;
    }
    logger_.Info(
        "an item runs from the start: no replica of the version that "
        "began it is left",
        {{"event", "item_restarted"},
         {"job", ref.job.value()},
         {"item", job.items[ref.item].id},
         {"version", progress.version},
         {"last_event", std::to_string(progress.last_event)}});
    progress.text.clear();
    progress.last_event = 0;
    schedule_.OnProgress(ref, 0);
    request.version.reset();
    return parts_.load_balancer.Choose(request);
  }

  static auto TraitsOf(const JobItem& item) -> RequestTraits {
    return {item.shared_parts, std::nullopt};
  }

  // Logs once that an item is withheld, which is decided again every second.
  auto LogWithheld(const ItemRef& ref,
                   const JobItem& item,
                   const RequestQuarantine::Admission& admission,
                   ItemProgress& progress) -> void {
    const auto before = std::exchange(progress.withheld, !admission.allowed);
    if (!admission.allowed && !before) {
      logger_.Warning(
          "an item is withheld: replicas crash on a part of its prompt",
          {{"event", "item_withheld"},
           {"job", ref.job.value()},
           {"item", item.id},
           {"part", PartName(admission.trait.value)}});
    }
  }

  // Reports whether the replica has begun to answer the item or broke off
  // before.
  auto ReportToQuarantine(const JobItem& item,
                          const ReplicaId& replica,
                          const upstream::ReplicaCaller::Call& call,
                          const ItemOutcome& outcome,
                          bool answered) -> void {
    if (answered) {
      parts_.quarantine.OnAnswered(TraitsOf(item));
    } else if (outcome.broken && call.bytes_sent()) {
      parts_.quarantine.OnCrash(replica, TraitsOf(item));
    }
  }

  static auto EndName(const ItemOutcome& outcome) -> std::string {
    switch (outcome.end) {
      case ItemEnd::kFinished:
        return outcome.completed ? "completed" : "not_to_be_done";
      case ItemEnd::kStopped:
        return "stopped";
      case ItemEnd::kFailed:
        return "failed";
      case ItemEnd::kNotPlaced:
      case ItemEnd::kWithheld:
        break;
    }
    return "not_run";
  }

  auto MakeItemRequest(const OwnedJob& job,
                       const JobItem& item,
                       const routing::Replica& replica,
                       const ItemProgress& progress)
      -> upstream::ReplicaRequest {
    auto delivery = Delivery();
    delivery.replica = replica.id;
    delivery.resume_after = progress.last_event;
    delivery.organisation = job.record.organisation;
    auto request = upstream::ReplicaRequest();
    request.address = replica.address;
    request.id = item.id;
    request.method = "POST";
    request.target = item.path;
    request.headers =
        parts_.dialect.encode_item(item, job.record.host, delivery);
    request.body = std::make_shared<const std::string>(item.body);
    request.max_sends = 2;
    request.may_send = [&load_balancer = parts_.load_balancer,
                        id = replica.id] {
      return load_balancer.TakesRequests(id);
    };
    request.deadline = parts_.clock() + kItemTimeLimit;
    request.head_timeout = kHeadSilence;
    request.body_idle_timeout = kEventSilence;
    request.progress_timeout = kEventTimeout;
    return request;
  }

  // Reads the answer to an item and appends its events to the item's progress.
  auto ReadAnswer(JobPtr job,
                  ItemRef ref,
                  routing::Replica replica,
                  std::shared_ptr<upstream::ReplicaCaller::Call> call)
      -> awaitable<ItemOutcome> {
    auto outcome = ItemOutcome();
    auto end = co_await call->Open();
    if (end != CallEnd::kOpen) {
      RecordFailure(replica.id, end);
      outcome.end =
          end == CallEnd::kCancelled ? ItemEnd::kStopped : ItemEnd::kNotPlaced;
      outcome.broken = end == CallEnd::kBroken || end == CallEnd::kNotSent;
      co_return outcome;
    }
    ReportBytes(replica.id, parts_.load_balancer, parts_.hooks);
    const auto head = call->head();
    const auto metadata =
        parts_.dialect.decode_answer(head.status, head.headers);
    job->progress[ref.item].answered = true;
    ReportAnswer(replica, metadata, job->items[ref.item].names_weights, logger_,
                 parts_.load_balancer, parts_.hooks);
    if (head.status != kOk) {
      outcome = OutcomeOfStatus(head.status, metadata);
      outcome.leaving = metadata.leaving;
      co_return outcome;
    }
    outcome.leaving = metadata.leaving;
    auto splitter = EventSplitter();
    auto intact = true;
    while (end == CallEnd::kOpen && intact) {
      auto bytes = std::string();
      end = co_await call->Read(bytes);
      if (!bytes.empty()) {
        ReportBytes(replica.id, parts_.load_balancer, parts_.hooks);
      }
      outcome.answer_bytes += bytes.size();
      const auto before = job->progress[ref.item].last_event;
      intact = TakeEvents(*job, ref, splitter, bytes);
      if (job->progress[ref.item].last_event > before) {
        call->OnProgress();
      }
    }
    if (!intact) {
      call->Cancel();
      end = CallEnd::kMalformed;
    }
    auto& progress = job->progress[ref.item];
    if (progress.text.size() > kMaxResultBytes) {
      logger_.Warning("a replica's answer to an item is too long",
                      {{"event", "result_too_long"},
                       {"job", ref.job.value()},
                       {"item", job->items[ref.item].id},
                       {"replica", replica.id.value()},
                       {"bytes", std::to_string(progress.text.size())}});
      RecordFailure(replica.id, CallEnd::kMalformed);
      progress.text = std::string();
      progress.last_event = 0;
      outcome.end = ItemEnd::kFailed;
      co_return outcome;
    }
    if (end == CallEnd::kComplete && splitter.rest().empty()) {
      outcome.end = ItemEnd::kFinished;
      outcome.completed = true;
      co_return outcome;
    }
    RecordFailure(replica.id, end);
    outcome.end = ItemEnd::kStopped;
    outcome.broken = end == CallEnd::kBroken;
    co_return outcome;
  }

  auto RecordFailure(const ReplicaId& replica, CallEnd end) -> void {
    if (end == CallEnd::kNotSent) {
      parts_.load_balancer.OnUnreachable(replica);
    }
    if (end != CallEnd::kCancelled) {
      parts_.load_balancer.OnFailure(replica);
    }
  }

  static auto OutcomeOfStatus(int status, const AnswerMetadata& metadata)
      -> ItemOutcome {
    if (metadata.misdirected || metadata.not_run) {
      return {ItemEnd::kNotPlaced, false};
    }
    if (metadata.permanent_failure) {
      return {ItemEnd::kFinished, false};
    }
    return {status == kServerError ? ItemEnd::kFailed : ItemEnd::kNotPlaced,
            false};
  }

  // Appends the data of new events. Returns false when the stream has a gap, or
  // an event or all of them are too large.
  auto TakeEvents(OwnedJob& job,
                  const ItemRef& ref,
                  EventSplitter& splitter,
                  const std::string& bytes) -> bool {
    auto& progress = job.progress[ref.item];
    auto whole = true;
    const auto fits = splitter.Feed(bytes, [&](const Event& event) {
      if (event.id <= progress.last_event) {
        return;
      }
      whole = whole && event.id == progress.last_event + 1;
      if (!whole) {
        return;
      }
      if (progress.last_event > 0) {
        progress.text.push_back('\n');
      }
      progress.text.append(event.data);
      progress.last_event = event.id;
    });
    schedule_.OnProgress(ref, progress.last_event);
    return fits && whole && progress.text.size() <= kMaxResultBytes;
  }

  // --- Storing results.

  auto AddResult(const ItemRef& ref, bool completed) -> void {
    const auto found = jobs_.find(ref.job);
    if (found == jobs_.end() ||
        !found->second->finished.insert(ref.item).second) {
      return;
    }
    const auto& job = found->second;
    auto result = ItemResult();
    result.item = job->items[ref.item].id;
    result.completed = completed;
    auto& progress = job->progress[ref.item];
    if (completed) {
      result.text = std::move(progress.text);
      memory_.OnResult(result.text.size());
    }
    progress.text.clear();
    (completed ? completed_items_ : failed_items_).Add();
    parts_.quotas.OnFinished(job->state.account, job->state.id,
                             job->items[ref.item].tokens);
    if (job->unstored.empty()) {
      job->unstored_since = parts_.clock();
    }
    job->unstored.push_back(std::move(result));
    job->EndStoreDelay();  // The result may be the last one, or a failure.
    if (!std::exchange(job->storing, true)) {
      asio::co_spawn(parts_.executor, StoreResults(shared_from_this(), job),
                     asio::detached);
    }
  }

  // Returns when the job is due; nothing without a route that has a due time.
  auto DueTime(const OwnedJob& job) const -> std::optional<MonotonicTime> {
    const auto configuration = parts_.configuration();
    const auto* route = RouteOf(job.record, configuration.get());
    if (route == nullptr || route->due <= milliseconds::zero()) {
      return std::nullopt;
    }
    return Describe(job, configuration.get()).due;
  }

  auto StoreTime(const OwnedJob& job) const -> MonotonicTime {
    const auto now = parts_.clock();
    if (stopped_ || job.dropped || job.unstored.empty()) {
      return now;
    }
    auto results = WaitingResults();
    results.since = job.unstored_since;
    results.due = DueTime(job);
    results.complete = job.finished.size() >= job.items.size();
    results.failed =
        std::any_of(job.unstored.begin(), job.unstored.end(),
                    [](const auto& result) { return !result.completed; });
    results.next_end = schedule_.NextEnd(job.state.id);
    results.low_memory = unstored_bytes_ > MaxUnstoredBytes() / 2;
    return write_policy_.WriteTime(results, now);
  }

  auto AwaitStoreTime(JobPtr job) -> awaitable<void> {
    for (auto time = StoreTime(*job); time > parts_.clock();
         time = StoreTime(*job)) {
      job->store_delay = std::make_shared<asio::steady_timer>(
          parts_.executor,
          std::min<Duration>(time - parts_.clock(), kStoreCheckInterval));
      co_await job->store_delay->async_wait(kAwaitTuple);
      job->store_delay.reset();
    }
  }

  static auto StoreResults(std::shared_ptr<Impl> self, JobPtr job)
      -> awaitable<void> {
    while (!job->unstored.empty() && !job->dropped) {
      co_await self->AwaitStoreTime(job);
      if (job->unstored.empty() || job->dropped) {
        break;
      }
      auto chunk = ResultChunk{job->state.id, job->stored.end(), self->Nonce(),
                               job->NextChunk(), self->FailuresOf(*job)};
      const auto writer = chunk.writer;
      auto stored = std::optional<ResultChunk>();
      auto failure = std::string();
      const auto began = self->parts_.clock();
      try {
        stored = co_await self->parts_.archive.Append(chunk);
      } catch (const Error& error) {
        failure = error.what();
      }
      self->append_ms_.Record(self->MillisecondsSince(began));
      if (!stored) {
        self->logger_.Warning(
            "results could not be stored yet",
            {{"event", "store_failed"},
             {"job", job->state.id.value()},
             {"results", std::to_string(chunk.results.size())},
             {"reason", failure}});
        co_await Pause(kStoreRetryDelay);
        continue;
      }
      auto confirmed = true;
      if (stored->writer != writer) {
        confirmed = co_await self->CheckState(job, true);
      }
      if (stored->results.empty() && !confirmed) {
        // Perhaps a new owner has closed the list and continues it.
        co_await Pause(kStoreRetryDelay);
      } else if (!job->dropped) {
        self->OnResultsStored(job, *stored);
        self->AccountFor(*job);
      }
    }
    job->storing = false;
    self->FinishIfComplete(job);
  }

  auto Nonce() -> std::string {
    return parts_.self().id.value() + "." + std::to_string(parts_.random());
  }

  auto OnResultsStored(const JobPtr& job, const ResultChunk& stored) -> void {
    if (stored.results.empty()) {
      logger_.Warning(
          "the list of results was closed by a takeover that was given up; "
          "continuing behind it",
          {{"event", "closing_passed"},
           {"job", job->state.id.value()},
           {"first", std::to_string(stored.place.position)},
           {"closings", std::to_string(stored.place.closings)},
           {"writer", stored.writer},
           {"version", std::to_string(job->version)}});
    }
    const auto known = job->finished;
    for (const auto item : job->AppendStored(stored)) {
      logger_.Info("a result is listed",
                   {{"event", "result_listed"},
                    {"job", job->state.id.value()},
                    {"item", job->items[item].id},
                    {"first", std::to_string(stored.place.position)},
                    {"writer", stored.writer}});
      // Another owner may have finished it while it runs here.
      const auto progress = job->progress.find(item);
      if (progress != job->progress.end() && progress->second.call) {
        progress->second.call->Cancel();
      }
      schedule_.OnEnded({job->state.id, item}, ItemEnd::kFinished,
                        parts_.clock());
      if (!known.contains(item)) {
        parts_.quotas.OnFinished(job->state.account, job->state.id,
                                 job->items[item].tokens);
      }
    }
    job->WakeReaders();
  }

  // Reads the stored state of a job; an inexact read may show an old one.
  // Returns whether it could be read.
  auto CheckState(JobPtr job, bool exact) -> awaitable<bool> {
    const auto asked_at = parts_.clock();
    auto stored = std::optional<StoredState>();
    try {
      stored = co_await parts_.archive.LoadState(job->state.id, exact);
    } catch (const Error& error) {
      if (checks_.OnFailed(job->state.id, parts_.clock())) {
        logger_.Warning("the state of a job cannot be read; reading it again",
                        {{"event", "store_failed"},
                         {"job", job->state.id.value()},
                         {"reason", error.what()}});
      }
      co_return false;
    }
    if (exact) {
      checks_.OnKnown(job->state.id, asked_at);
    } else {
      checks_.OnInexactRead(job->state.id, parts_.clock());
    }
    if (stored) {
      ApplyState(job, *stored, "the store",
                 exact ? asked_at : job->state_known_at);
    } else if (exact) {
      Drop(job, "its state was removed from the store");
    }
    co_return true;
  }

  auto SpawnCheck(const JobPtr& job, bool exact) -> void {
    asio::co_spawn(parts_.executor, RunCheck(shared_from_this(), job, exact),
                   asio::detached);
  }

  static auto RunCheck(std::shared_ptr<Impl> self, JobPtr job, bool exact)
      -> awaitable<void> {
    co_await self->CheckState(job, exact);
  }

  // Applies a state that was the stored one at `known_at`, unless it is older
  // than what is known.
  auto ApplyState(const JobPtr& job,
                  const StoredState& stored,
                  const std::string& source,
                  MonotonicTime known_at) -> void {
    if (job->dropped) {
      return;
    }
    const auto change = CompareStates({job->state, job->version}, stored);
    if (change != StateChange::kNone) {
      LogStateLearned(*job, stored, source);
    }
    if (stored.version >= job->version && known_at > job->state_known_at) {
      job->state_known_at = known_at;
      checks_.OnKnown(job->state.id, known_at);
    }
    if (change == StateChange::kNone) {
      return;
    }
    if (change == StateChange::kTakenOver) {
      Drop(job, "another node owns the job");
      OnAnnounced(job->state.id, stored.state.owner);
      return;
    }
    job->state = stored.state;
    job->version = stored.version;
    if (change == StateChange::kEnded) {
      StopEnded(job);
    }
  }

  // Applies a state that is stored, to a job that this node runs or is about to
  // run.
  auto OnStateTold(const StoredState& stored, const std::string& source)
      -> void {
    const auto pending = pending_.OnState(stored);
    const auto own = jobs_.find(stored.state.id);
    if (own != jobs_.end()) {
      ApplyState(JobPtr(own->second), stored, source, parts_.clock());
    } else if (pending) {
      logger_.Info("a job's state was told before the job is added",
                   {{"event", "pending_job_state_told"},
                    {"job", stored.state.id.value()},
                    {"source", source},
                    {"version", std::to_string(stored.version)},
                    {"ended", stored.state.ended ? "true" : "false"}});
    }
  }

  auto LogStateLearned(const OwnedJob& job,
                       const StoredState& stored,
                       const std::string& source) -> void {
    const auto age = parts_.clock() - job.state_known_at;
    logger_.Info("the owner learned a job's state",
                 {{"event", "job_state_learned"},
                  {"job", job.state.id.value()},
                  {"source", source},
                  {"version", std::to_string(stored.version)},
                  {"before", std::to_string(job.version)},
                  {"before_age_ms",
                   std::to_string(
                       std::chrono::duration_cast<milliseconds>(age).count())},
                  {"ended", stored.state.ended ? "true" : "false"},
                  {"done", stored.state.done ? "true" : "false"}});
  }

  auto StopEnded(const JobPtr& job) -> void {
    parts_.quotas.OnOver(job->state.account, job->state.id);
    schedule_.Remove(job->state.id);
    checks_.Remove(job->state.id);
    CancelItems(*job);
    job->unstored.clear();
    AccountFor(*job);
    job->WakeReaders();
  }

  auto FinishIfComplete(const JobPtr& job) -> void {
    const auto complete = job->listed.size() == job->items.size();
    if (complete && !job->state.done && !job->dropped && !job->state.ended) {
      asio::co_spawn(parts_.executor, MarkDone(shared_from_this(), job),
                     asio::detached);
    }
  }

  static auto MarkDone(std::shared_ptr<Impl> self, JobPtr job)
      -> awaitable<void> {
    self->schedule_.Remove(job->state.id);
    for (auto attempt = 0; attempt < kStateAttempts && !job->dropped;
         ++attempt) {
      auto state = job->state;
      state.done = true;
      state.over_ms = self->WallMs();
      if (co_await self->TryReplace(job, state)) {
        break;
      }
      co_await Pause(kStoreRetryDelay);
    }
    self->checks_.Remove(job->state.id);
    self->parts_.quotas.OnOver(job->state.account, job->state.id);
    self->logger_.Info("a job is done",
                       {{"event", "job_done"},
                        {"job", job->state.id.value()},
                        {"marked", job->state.done ? "true" : "false"}});
    // The results and the items' bodies are still needed for reads.
    for (auto& item : job->items) {
      item.headers.clear();
    }
    job->progress.clear();
    job->completed = true;
    if (!job->dropped) {
      self->AccountFor(*job);
    }
  }

  // Returns true when the state is stored or the job is no longer owned here.
  auto TryReplace(JobPtr job, JobState state) -> awaitable<bool> {
    const auto asked_at = parts_.clock();
    auto failure = std::string();
    try {
      const auto stored =
          co_await parts_.archive.ReplaceState(state, job->version);
      if (stored) {
        ApplyState(job, *stored, "an own write", asked_at);
        co_return true;
      }
    } catch (const Error& error) {
      failure = error.what();
    }
    if (!failure.empty()) {
      logger_.Warning("a job's state could not be stored",
                      {{"event", "store_failed"},
                       {"job", state.id.value()},
                       {"reason", failure}});
      co_return false;
    }
    co_await CheckState(job, true);
    co_return job->dropped;
  }

  // --- Reading.

  auto FindPage(ReadResults call) -> awaitable<std::optional<Page>> {
    const auto own = jobs_.find(call.job);
    if (own != jobs_.end()) {
      co_return co_await OwnPage(own->second, call);
    }
    auto owner = KnownOwner(call.job);
    auto state = std::optional<StoredState>();
    if (!owner) {
      state = co_await FindState(call.job);
      if (!state) {
        co_return std::nullopt;
      }
      OnAnnounced(call.job, state->state.owner);
      owner = FindMember(state->state.owner);
    }
    if (owner && owner->id != parts_.self().id) {
      auto page = co_await AskForPage(*owner, call);
      if (page) {
        co_return page;
      }
    }
    announced_.erase(call.job);
    if (!state) {
      state = co_await FindState(call.job);
    }
    if (!state) {
      co_return std::nullopt;
    }
    co_return co_await StoredPage(state->state, call.after);
  }

  // Loads the state of a job for a read, which needs its owner and number of
  // items. An inexact read, which costs less, may show a former owner or miss a
  // new job.
  auto FindState(JobId id) -> awaitable<std::optional<StoredState>> {
    auto state = co_await parts_.archive.LoadState(id, false);
    if (!state || (!state->state.done && !FindMember(state->state.owner))) {
      state = co_await parts_.archive.LoadState(id);
    }
    co_return state;
  }

  auto OwnPage(JobPtr job, ReadResults call) -> awaitable<Page> {
    const auto over = job->state.done || job->state.ended;
    if (call.after >= job->stored.results.size() && !over &&
        call.wait > milliseconds::zero()) {
      auto timer =
          std::make_shared<asio::steady_timer>(parts_.executor, call.wait);
      job->readers.push_back(timer);
      co_await timer->async_wait(kAwaitTuple);
    }
    co_return detail::MakePage(job->stored.results, job->state.total,
                               call.after);
  }

  auto KnownOwner(const JobId& job) const -> std::optional<routing::NodeInfo> {
    const auto announced = announced_.find(job);
    if (announced == announced_.end()) {
      return std::nullopt;
    }
    return FindMember(announced->second);
  }

  // Sends a request to another node. Returns nothing when it does not answer.
  auto CallPeer(routing::NodeInfo peer,
                std::string name,
                json request,
                milliseconds timeout) -> awaitable<std::optional<json>> {
    auto answer = std::optional<json>();
    try {
      co_await parts_.peers.Call(
          peer.node_address, node::Channel::kBatch, name, std::move(request),
          [&answer](const json& frame) { answer = frame; }, timeout, nullptr);
      if (answer && !answer->is_object()) {
        throw Error(ErrorKind::kInvalidArgument, "an answer is no object", name,
                    "check that both nodes run compatible releases");
      }
    } catch (const Error& error) {
      logger_.Info("a node does not answer", {{"event", "peer_failed"},
                                              {"peer", peer.id.value()},
                                              {"call", name},
                                              {"reason", error.what()}});
      co_return std::nullopt;
    }
    co_return answer;
  }

  // As CallPeer; returns nothing also when the node does not own the job.
  auto AskPeer(routing::NodeInfo peer,
               std::string name,
               json request,
               milliseconds timeout) -> awaitable<std::optional<json>> {
    auto answer = co_await CallPeer(std::move(peer), std::move(name),
                                    std::move(request), timeout);
    if (!answer || !answer->value("known", false)) {
      co_return std::nullopt;
    }
    co_return answer;
  }

  auto AskForPage(routing::NodeInfo peer, ReadResults call)
      -> awaitable<std::optional<Page>> {
    json request = {{"job", call.job.value()},
                    {"after", call.after},
                    {"wait_ms", call.wait.count()}};
    const auto answer =
        co_await AskPeer(std::move(peer), "job-results", std::move(request),
                         call.wait + kPeerTimeout);
    if (!answer) {
      co_return std::nullopt;
    }
    co_return DecodePeerPage(*answer);
  }

  // Limits how many jobs are read from the store at once. The read of the
  // caller may begin, and lasts until the returned handle is destroyed.
  auto AwaitStoreRead(JobId id) -> awaitable<std::shared_ptr<void>> {
    const auto began = parts_.clock();
    while (store_reads_ >= kMaxStoreReads) {
      if (parts_.clock() - began >= kStoreReadWait) {
        throw Error(ErrorKind::kOverloaded,
                    "too many jobs are read from the store", id.value(),
                    "try again");
      }
      co_await Pause(kStoreReadPoll);
    }
    ++store_reads_;
    co_return std::shared_ptr<void>(
        nullptr, [self = shared_from_this()](void*) { --self->store_reads_; });
  }

  // Reads results from the store. Stored results never change, so they are
  // cached.
  auto StoredPage(JobState state, std::size_t after) -> awaitable<Page> {
    auto cached_page = CachedPage(state, after);
    if (cached_page) {
      co_return std::move(*cached_page);
    }
    const auto turn = co_await AwaitStoreRead(state.id);
    // Another read may have completed the results meanwhile.
    cached_page = CachedPage(state, after);
    if (cached_page) {
      co_return std::move(*cached_page);
    }
    auto known = StoredResults();
    if (const auto* cached = cache_.Find(state.id)) {
      known = *cached;
    }
    const auto before = known.end();
    known = co_await parts_.archive.LoadResults(state.id, std::move(known),
                                                state.total);
    auto page = detail::MakePage(known.results, state.total, after);
    if (known.end() != before) {
      cache_.Put(state.id, std::move(known));
    }
    co_return page;
  }

  // Returns a page if all results of the job are cached.
  auto CachedPage(const JobState& state, std::size_t after)
      -> std::optional<Page> {
    const auto* cached = cache_.Find(state.id);
    if (cached == nullptr || cached->results.size() < state.total) {
      return std::nullopt;
    }
    return detail::MakePage(cached->results, state.total, after);
  }

  auto FindBody(ReadItemBody call) -> awaitable<std::optional<std::string>> {
    const auto own = jobs_.find(call.job);
    if (own != jobs_.end()) {
      const auto item = own->second->index.find(call.item);
      if (item == own->second->index.end()) {
        co_return std::nullopt;
      }
      co_return own->second->items[item->second].body;
    }
    if (const auto owner = KnownOwner(call.job)) {
      json request = {{"job", call.job.value()}, {"item", call.item}};
      const auto answer = co_await AskPeer(*owner, "job-item",
                                           std::move(request), kPeerTimeout);
      if (answer && answer->contains("body")) {
        co_return answer->at("body").get<std::string>();
      }
    }
    const auto turn = co_await AwaitStoreRead(call.job);
    const auto record = co_await parts_.archive.LoadRecord(call.job);
    if (!record) {
      co_return std::nullopt;
    }
    for (auto& item : parts_.dialect.decode_submission(record->submission)) {
      if (item.id == call.item) {
        co_return std::move(item.body);
      }
    }
    co_return std::nullopt;
  }

  // --- Ending jobs.

  // Returns false when there is no such job.
  auto EndAnywhere(JobId id) -> awaitable<bool> {
    const auto own = jobs_.find(id);
    if (own != jobs_.end()) {
      co_return co_await EndOwn(own->second);
    }
    auto owner_answers = true;
    if (const auto owner = KnownOwner(id)) {
      json request = {{"job", id.value()}};
      const auto began = parts_.clock();
      const auto answer = co_await CallPeer(*owner, "job-end",
                                            std::move(request), kPeerTimeout);
      if (answer && answer->value("ended", false)) {
        co_return true;
      }
      // An owner that the store turns away fails the call at once.
      owner_answers = answer || parts_.clock() - began < kPeerTimeout / 2;
    }
    co_return co_await EndInStore(id, owner_answers);
  }

  auto EndOwn(JobPtr job) -> awaitable<bool> {
    for (auto attempt = 0; attempt < kStateAttempts; ++attempt) {
      if (job->state.ended || job->state.done) {
        co_return true;
      }
      auto state = job->state;
      state.ended = true;
      state.over_ms = WallMs();
      if (co_await TryReplace(job, state) && !job->dropped) {
        co_return true;
      }
      if (job->dropped) {
        break;
      }
    }
    co_return co_await EndInStore(job->state.id, true);
  }

  // The caller waits for the owner only if it answered before.
  auto EndInStore(JobId id, bool owner_answers) -> awaitable<bool> {
    for (auto attempt = 0; attempt < kStateAttempts; ++attempt) {
      auto stored = co_await parts_.archive.LoadState(id);
      if (!stored) {
        if (pending_.submits(id) || jobs_.contains(id)) {
          throw Error(ErrorKind::kUnavailable, "the job is being stored",
                      id.value(), "try again");
        }
        co_return false;
      }
      if (stored->state.ended) {
        // The node that stored the end may not have been able to tell the
        // owner.
        co_await NotifyOwner(*stored, owner_answers);
        co_return true;
      }
      if (stored->state.done) {
        co_return true;
      }
      auto state = stored->state;
      state.ended = true;
      state.over_ms = WallMs();
      const auto replaced =
          co_await parts_.archive.ReplaceState(state, stored->version);
      if (replaced) {
        co_await NotifyOwner(*replaced, owner_answers);
        co_return true;
      }
    }
    throw Error(ErrorKind::kUnavailable, "the job's state changes too often",
                id.value(), "try again");
  }

  // Tells the owner to stop the items of a job that is ended in the store,
  // since the owner may be unable to read that itself. Waits for the first
  // answer only, so that the owner has usually stopped when the caller gets its
  // answer.
  auto NotifyOwner(StoredState ended, bool wait) -> awaitable<void> {
    OnStateTold(ended, "the store");
    if (notices_.Add(ended)) {
      if (wait) {
        co_await SendEndNotice(shared_from_this(), ended);
      } else {
        SpawnEndNotice(ended);
      }
    }
  }

  auto SpawnEndNotice(const StoredState& ended) -> void {
    asio::co_spawn(parts_.executor, SendEndNotice(shared_from_this(), ended),
                   asio::detached);
  }

  auto SendDueEndNotices() -> void {
    for (const auto& ended : notices_.TakeDue()) {
      SpawnEndNotice(ended);
    }
    const auto dropped = notices_.dropped();
    if (std::exchange(notices_dropped_, dropped) != dropped) {
      logger_.Warning(
          "notices of ended jobs were given up; their owners learn "
          "the ends from the store only",
          {{"event", "job_end_notices_dropped"},
           {"total", std::to_string(dropped)}});
    }
  }

  static auto SendEndNotice(std::shared_ptr<Impl> self, StoredState ended)
      -> awaitable<void> {
    const auto id = ended.state.id;
    const auto owner = self->FindMember(ended.state.owner);
    auto answer = std::optional<json>();
    if (owner) {
      json request = {{"job", id.value()},
                      {"state", EncodeState(ended.state)},
                      {"version", ended.version}};
      answer = co_await self->CallPeer(*owner, "job-end", std::move(request),
                                       kPeerTimeout);
    }
    // A node that neither runs the job nor is about to runs none of its items.
    const auto known = answer && answer->value("known", false);
    const auto confirmed = answer && (answer->value("ended", false) || !known);
    self->logger_.Info("sent a notice of an ended job to its owner",
                       {{"event", "job_end_notice"},
                        {"job", id.value()},
                        {"owner", ended.state.owner.value()},
                        {"version", std::to_string(ended.version)},
                        {"known", known ? "true" : "false"},
                        {"confirmed", confirmed ? "true" : "false"}});
    if (confirmed) {
      self->notices_.OnConfirmed(id);
    } else {
      self->notices_.OnFailed(id);
    }
  }

  auto OwnerStatusOf(const JobState& state) const -> OwnerStatus {
    if (state.owner == parts_.self().id) {
      return OwnerStatus::kGone;  // OnStateTold() has told this node.
    }
    const auto member = FindMember(state.owner);
    if (member) {
      return member->incarnation > state.incarnation ? OwnerStatus::kGone
                                                     : OwnerStatus::kLive;
    }
    return parts_.is_dead_or_left(state.owner) ? OwnerStatus::kGone
                                               : OwnerStatus::kUnknown;
  }

  // --- Answers to other nodes.

  auto MakeHandler(PeerAnswer answer) -> node::Handler {
    return [weak = weak_from_this(), answer](
               json request,
               std::shared_ptr<node::Responder> responder) -> awaitable<void> {
      return AnswerPeer(weak, answer, std::move(request), std::move(responder));
    };
  }

  static auto AnswerPeer(std::weak_ptr<Impl> weak,
                         PeerAnswer answer,
                         json request,
                         std::shared_ptr<node::Responder> responder)
      -> awaitable<void> {
    const auto self = weak.lock();
    if (!self) {
      co_return;
    }
    const auto frame = co_await ((*self).*answer)(std::move(request));
    responder->Send(frame);
  }

  auto FindOwn(const json& request) const -> JobPtr {
    const auto found = jobs_.find(JobId(request.at("job").get<std::string>()));
    return found == jobs_.end() ? nullptr : found->second;
  }

  static auto NotKnown() -> json { return {{"known", false}}; }

  auto AnswerResults(json request) -> awaitable<json> {
    const auto job = FindOwn(request);
    if (!job) {
      co_return NotKnown();
    }
    auto call = ReadResults();
    call.job = job->state.id;
    call.after = request.at("after").get<std::size_t>();
    call.wait = milliseconds(request.at("wait_ms").get<std::int64_t>());
    const auto page = co_await OwnPage(job, call);
    co_return job->dropped ? NotKnown() : EncodePeerPage(page);
  }

  auto AnswerItem(json request) -> awaitable<json> {
    const auto job = FindOwn(request);
    if (!job) {
      co_return NotKnown();
    }
    const auto item = job->index.find(request.at("item").get<std::string>());
    json answer = {{"known", true}};
    if (item != job->index.end()) {
      answer["body"] = job->items[item->second].body;
    }
    co_return answer;
  }

  auto AnswerEnd(json request) -> awaitable<json> {
    const auto id = JobId(request.at("job").get<std::string>());
    // A node that has ended the job in the store says so; this one may be
    // unable to read it.
    const auto told = request.contains("state");
    if (told) {
      const auto text = request.at("state").get<std::string>();
      const auto version = request.at("version").get<std::uint64_t>();
      OnStateTold({DecodeState(id, text), version}, "a node");
    }
    const auto job = FindOwn(request);
    if (!job) {
      const auto pending = pending_.contains(id);
      json answer = {{"known", pending}, {"ended", pending && told}};
      co_return answer;
    }
    const auto ended = co_await EndOwn(job);
    json answer = {{"known", true}, {"ended", ended}};
    co_return answer;
  }

  // --- Takeover.

  // An exact scan shows the newest states.
  auto ScheduleScan(milliseconds delay, bool exact) -> void {
    orphans_.RequestScan(parts_.clock() + delay, exact);
    ArmScan();
  }

  auto ArmScan() -> void {
    scan_timer_.expires_at(orphans_.next_scan().value_or(parts_.clock()));
    scan_timer_.async_wait(
        [weak = weak_from_this()](const boost::system::error_code& error) {
          const auto self = weak.lock();
          if (!self || error || self->stopped_) {
            return;
          }
          asio::co_spawn(self->parts_.executor, Scan(self), asio::detached);
        });
  }

  // Finds unfinished jobs whose owner is gone. Each is taken over by the member
  // that all nodes agree on; a conditional write resolves disagreements.
  static auto Scan(std::shared_ptr<Impl> self) -> awaitable<void> {
    const auto asked_at = self->parts_.clock();
    // In a large fleet the nodes that watch the store look for the jobs of lost
    // owners, also when all nodes start at once.
    const auto first = !std::exchange(self->scanned_, true);
    const auto exact = self->orphans_.BeginScan(asked_at) &&
                       (!first || self->ScansForOthers());
    auto states = std::vector<StoredState>();
    auto failure = std::string();
    try {
      states = co_await self->parts_.archive.ListStates(exact);
    } catch (const Error& error) {
      failure = error.what();
    }
    if (!failure.empty()) {
      self->logger_.Warning("jobs cannot be listed",
                            {{"event", "scan_failed"}, {"reason", failure}});
      self->ScheduleScan(kScanRetryDelay, exact);
      co_return;
    }
    self->parts_.quotas.OnListing(states, [&](const JobId& id) {
      return self->jobs_.contains(id) || self->pending_.contains(id);
    });
    for (const auto& stored : states) {
      if (self->stopped_) {
        co_return;
      }
      const auto& state = stored.state;
      const auto own = self->jobs_.find(state.id);
      if (own != self->jobs_.end()) {
        self->ApplyState(JobPtr(own->second), stored, "a listing",
                         exact ? asked_at : own->second->state_known_at);
      } else {
        self->pending_.OnState(stored);
      }
      const auto expired =
          IsExpired(state, self->WallMs(), self->parts_.retention);
      if (expired && self->IsChosen(state.id)) {
        co_await self->RemoveExpired(stored);
      } else if (self->IsOrphan(state)) {
        co_await self->AdoptOrTell(stored);
      }
    }
    self->orphans_.Prune(states);
    self->MakeRoom();
    const auto jitter =
        milliseconds(static_cast<std::int64_t>(self->parts_.random() % 2'000));
    self->ScheduleScan(self->ScanInterval() + jitter, false);
    if (self->orphans_.awaits_owners() && self->ScansForOthers()) {
      self->orphans_.RequestNextCheck(self->parts_.clock());
      self->ArmScan();
    }
  }

  auto ScansForOthers() const -> bool {
    return parts_.live().size() <= kMaxScanningNodes || parts_.is_watcher();
  }

  auto ScanInterval() const -> milliseconds {
    const auto share =
        std::max<std::size_t>(1, parts_.live().size() / kScanningNodes);
    return kScanInterval * static_cast<std::int64_t>(share);
  }

  // The members agree on the node that takes an orphan over.
  auto AdoptOrTell(StoredState stored) -> awaitable<void> {
    const auto& id = stored.state.id;
    const auto chosen = ChosenFor(id);
    if (chosen == parts_.self().id || IsOwn(stored.state)) {
      co_await Adopt(stored);
    } else if (ScansForOthers()) {
      parts_.tell_orphan(id, chosen);
    }
  }

  static auto AdoptOrphan(std::shared_ptr<Impl> self, JobId id, NodeId from)
      -> awaitable<void> {
    auto stored = std::optional<StoredState>();
    auto failure = std::string();
    try {
      stored = co_await self->parts_.archive.LoadState(id);
    } catch (const Error& error) {
      failure = error.what();
    }
    if (!failure.empty()) {
      self->logger_.Warning("the state of an orphan cannot be read",
                            {{"event", "adopt_failed"},
                             {"job", id.value()},
                             {"reason", failure}});
    } else if (stored && !self->stopped_ &&
               self->IsOrphan(stored->state, from) && self->IsChosen(id)) {
      co_await self->Adopt(*stored);
    }
  }

  auto IsAlone() const -> bool { return parts_.live().size() <= 1; }

  auto PresenceOf(const JobState& state) const -> OwnerPresence {
    const auto member = FindMember(state.owner);
    if (member && member->incarnation == state.incarnation) {
      return member->leaving ? OwnerPresence::kLeaving : OwnerPresence::kLive;
    }
    return member || parts_.is_dead_or_left(state.owner)
               ? OwnerPresence::kGone
               : OwnerPresence::kUnknown;
  }

  // Returns whether a job is to be taken over. The owner must be known to have
  // ended or restarted, or have told, as `from`, that it hands the job over, or
  // have been absent for some time.
  auto IsOrphan(const JobState& state,
                const std::optional<NodeId>& from = std::nullopt) -> bool {
    if (state.done || state.ended || jobs_.contains(state.id)) {
      return false;
    }
    return IsOwn(state) || from == state.owner ||
           orphans_.IsOrphan(state.id, PresenceOf(state), IsAlone(),
                             parts_.clock());
  }

  auto ChosenFor(const JobId& id) const -> NodeId {
    const auto key = routing::RendezvousHash(id.value());
    return routing::ChooseNode(key, parts_.live());
  }

  auto IsChosen(const JobId& id) const -> bool {
    return ChosenFor(id) == parts_.self().id;
  }

  auto RemoveExpired(StoredState stored) -> awaitable<void> {
    try {
      co_await parts_.archive.Remove(stored.state, stored.version);
      const auto own = jobs_.find(stored.state.id);
      if (own != jobs_.end()) {
        Drop(JobPtr(own->second), "its retention period has expired");
      }
    } catch (const Error& error) {
      logger_.Info("an expired job could not be removed yet",
                   {{"event", "store_failed"},
                    {"job", stored.state.id.value()},
                    {"reason", error.what()}});
    }
  }

  auto Adopt(StoredState stored) -> awaitable<void> {
    auto failure = std::string();
    const auto id = stored.state.id;
    const auto takeover = pending_.BeginTakeover(id);
    if (!takeover) {
      co_return;
    }
    try {
      if (!memory_.MayTakeOver()) {
        throw Error(ErrorKind::kOverloaded,
                    "the jobs of this node use all memory for jobs", id.value(),
                    "raise limits.memory_mb or add nodes");
      }
      auto next = std::optional(std::move(stored));
      for (auto attempt = 0; next && attempt < kStateAttempts; ++attempt) {
        next = co_await TakeOver(*takeover, *next);
      }
    } catch (const Error& error) {
      failure = error.what();
    }
    if (!failure.empty()) {
      logger_.Warning("a job could not be taken over",
                      {{"event", "adopt_failed"},
                       {"job", id.value()},
                       {"reason", failure}});
      ScheduleScan(kScanRetryDelay, true);
    }
  }

  static auto AdoptAgain(std::shared_ptr<Impl> self, StoredState stored)
      -> awaitable<void> {
    co_await self->Adopt(std::move(stored));
  }

  // Returns the state to take the job over from instead, if it has changed and
  // this node is to run the job all the same.
  auto TakeOver(const PendingJobs::Operation& takeover, StoredState stored)
      -> awaitable<std::optional<StoredState>> {
    const auto id = stored.state.id;
    const auto expected = ReserveMemory(
        memory_.ExpectedJob(static_cast<std::size_t>(stored.state.total)));
    auto record = co_await parts_.archive.LoadRecord(id);
    if (!record) {
      co_return std::nullopt;  // It was never accepted.
    }
    auto items = parts_.dialect.decode_submission(record->submission);
    record->submission.clear();
    auto state = stored.state;
    const auto owner = parts_.self();
    state.owner = owner.id;
    state.incarnation = owner.incarnation;
    const auto taken =
        co_await parts_.archive.ReplaceState(state, stored.version);
    if (!taken) {
      // Another node was first, or a submission here that did not add the job
      // because it is being taken over.
      auto current = co_await parts_.archive.LoadState(id);
      if (!current || !IsOwn(current->state) || !IsOrphan(current->state)) {
        co_return std::nullopt;
      }
      co_return current;
    }
    auto nonce = Nonce();
    const auto results = co_await parts_.archive.CloseResults(
        id, std::move(nonce), items.size());
    // Reading the results may have taken long. In that time the job may have
    // been ended, and this node may have been declared dead.
    const auto checked_at = parts_.clock();
    const auto current = co_await parts_.archive.LoadState(id);
    if (!current || current->version != taken->version ||
        !IsOwn(current->state) || stopped_) {
      logger_.Info("a job changed while it was taken over",
                   {{"event", "adopt_failed"},
                    {"job", id.value()},
                    {"version", std::to_string(taken->version)},
                    {"reason", "its state or this node has changed"}});
      if (stopped_) {
        parts_.tell_orphan(id, ChosenFor(id));
      }
      co_return std::nullopt;
    }
    const auto absent = std::chrono::duration_cast<milliseconds>(
        orphans_.AbsentFor(id, checked_at));
    adopted_.Add();
    logger_.Info("a job was taken over",
                 {{"event", "job_adopted"},
                  {"job", id.value()},
                  {"from", stored.state.owner.value()},
                  {"absent_ms", std::to_string(absent.count())},
                  {"listed", std::to_string(results.results.size())},
                  {"closings", std::to_string(results.closings)},
                  {"items", std::to_string(items.size())}});
    AddOwnedJob(takeover, *current, checked_at, std::move(*record),
                std::move(items), results);
    co_return std::nullopt;
  }

  BatchRunnerParts parts_;
  Logger logger_{"batch"};
  BatchSchedule schedule_;
  ResultWritePolicy write_policy_{ResultWriteSettings()};
  std::size_t unstored_bytes_ = 0;  // Of all jobs, at the last tick.
  BatchAllocator allocator_;
  std::uint64_t rounds_ = 0;
  StateCheckSchedule checks_{StateCheckSettings()};
  JobMemory memory_{parts_.memory_bytes};
  EndNotices notices_{
      EndNoticeSettings(),
      [this](const JobState& state) { return OwnerStatusOf(state); },
      parts_.clock};
  asio::steady_timer tick_timer_;
  asio::steady_timer scan_timer_;
  std::map<JobId, JobPtr> jobs_;
  PendingJobs pending_;
  std::map<JobId, NodeId> announced_;
  OrphanDetector orphans_{OrphanSettings()};
  // When a node last told of an orphan.
  std::map<JobId, MonotonicTime> orphans_told_;
  ResultCache cache_{parts_.memory_bytes / kCacheMemoryDivisor};
  bool scanned_ = false;  // Since the start.
  std::uint64_t scheduled_version_ = 0;
  std::uint64_t store_failures_ = 0;
  std::uint64_t notices_dropped_ = 0;
  int store_reads_ = 0;           // For callers, under way.
  std::size_t answer_bytes_ = 0;  // To reads, being sent.
  bool stopped_ = false;
  bool closed_ = false;
  Counter& accepted_;
  Counter& refused_;
  Counter& adopted_;
  Counter& completed_items_;
  Counter& failed_items_;
  Counter& yields_;
  Counter& limited_starts_;
  LatencyHistogram& accept_ms_;
  LatencyHistogram& append_ms_;
  // Age of the owner's knowledge of a job's state when an item starts.
  LatencyHistogram& state_age_;
};

BatchRunner::BatchRunner(BatchRunnerParts parts)
    : impl_(std::make_shared<Impl>(std::move(parts))) {}

BatchRunner::~BatchRunner() {
  impl_->Close();
}

auto BatchRunner::Start() -> void {
  impl_->Start();
}

auto BatchRunner::Stop() -> void {
  impl_->Stop();
}

auto BatchRunner::RegisterHandlers(
    const std::function<auto(std::string, node::Handler)->void>& add) -> void {
  impl_->RegisterHandlers(add);
}

auto BatchRunner::Submit(
    std::shared_ptr<const caller::IncomingRequest> incoming,
    CallerRequest request,
    std::shared_ptr<caller::ResponseWriter> writer) -> awaitable<void> {
  return impl_->Submit(std::move(incoming), std::move(request),
                       std::move(writer));
}

auto BatchRunner::Read(ReadResults call,
                       std::shared_ptr<caller::ResponseWriter> writer)
    -> awaitable<void> {
  return impl_->Read(std::move(call), std::move(writer));
}

auto BatchRunner::ReadBody(ReadItemBody call,
                           std::shared_ptr<caller::ResponseWriter> writer)
    -> awaitable<void> {
  return impl_->ReadBody(std::move(call), std::move(writer));
}

auto BatchRunner::End(EndJob call,
                      std::shared_ptr<caller::ResponseWriter> writer)
    -> awaitable<void> {
  return impl_->End(std::move(call), std::move(writer));
}

auto BatchRunner::YieldSlot(const ServiceName& service,
                            const std::optional<std::string>& version) -> bool {
  return impl_->YieldSlot(service, version);
}

auto BatchRunner::OnAnnounced(const JobId& job, const NodeId& owner) -> void {
  impl_->OnAnnounced(job, owner);
}

auto BatchRunner::OnOrphan(const JobId& job, const NodeId& from) -> void {
  impl_->OnOrphan(job, from);
}

auto BatchRunner::OnMembersChanged() -> void {
  impl_->OnMembersChanged();
}

auto BatchRunner::OnRestarted() -> void {
  impl_->OnRestarted();
}

}  // namespace kumquatgauge::serving
