#include "kumquatgauge/serving/stream_versions.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/process_hooks.h"
#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/log.h"
#include "kumquatgauge/node/peer_server.h"
#include "kumquatgauge/routing/rendezvous.h"
#include "kumquatgauge/serving/origin_query.h"
#include "kumquatgauge/serving/stream_records.h"
#include "kumquatgauge/serving/version_registry.h"
#include "kumquatgauge/serving/watcher_choice.h"

namespace kumquatgauge::serving {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using kumquatgauge::detail::Pause;
using nlohmann::json;
using std::chrono::milliseconds;
using store::CallClass;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto kOriginCall = "stream-origin";
constexpr auto kRecordsCall = "stream-records";
// How long other nodes and the store are asked; callers leave a stream after
// two seconds without an event.
constexpr milliseconds kQueryTimeout{500};
// The same once the store has said that there is one version only. A node that
// has just died does not answer, and a record would have arrived by then. If
// the store has not answered by then, other nodes are asked to read it.
constexpr milliseconds kRecordTimeout{60};
constexpr std::size_t kReadersToAsk = 2;
// A node that does not watch the store waits for news of a new version before
// it reads the store itself; up to twice this time.
constexpr milliseconds kNewsWait{400};
constexpr milliseconds kStoreRetryDelay{300};
// Nodes that start together all find that the store does not know a service.
// Each waits for as long as nodes take to meet, and up to twice this time, so
// that most hear of the first one's entry instead of competing with it.
constexpr milliseconds kFirstEntryWait{100};
// Interval at which this node stores its new records or hands them over, while
// a service has several versions: a fraction of the time that a stream takes,
// so that most streams that run when all nodes end are recorded.
constexpr milliseconds kStoreInterval{250};
// In a larger fleet the nodes that watch the store keep the records of all, so
// that the number of calls to the store does not grow with the fleet.
constexpr std::size_t kMaxStoringNodes = 8;
// How long a node that takes records over may take; then this node stores them
// itself.
constexpr milliseconds kHandOverTimeout{300};
constexpr std::size_t kPageSize = 500;

auto ToMilliseconds(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

auto EncodeOrigin(const StreamOrigin& origin) -> json {
  return json::array({origin.service.value(), origin.version});
}

auto DecodeOrigin(const json& message) -> StreamOrigin {
  return {ServiceName(message.at(0).get<std::string>()),
          message.at(1).get<std::string>()};
}

auto EncodeAnswer(const OriginAnswer& answer) -> json {
  auto message = json::object();
  if (answer.recorded) {
    message["recorded"] = EncodeOrigin(*answer.recorded);
  }
  if (answer.sole) {
    message["sole"] = EncodeOrigin(*answer.sole);
    message["age_ms"] = ToMilliseconds(answer.sole_age);
  }
  return message;
}

// What nodes tell each other of a service: the versions whose replicas may be
// used, and what the store holds.
auto EncodeVersionNews(const ServiceName& service,
                       const VersionSet& registered,
                       const StoredVersions& stored) -> json {
  return {service.value(), registered, stored.versions, stored.revision};
}

auto DecodeAnswer(const json& message) -> OriginAnswer {
  auto answer = OriginAnswer();
  if (message.contains("recorded")) {
    answer.recorded = DecodeOrigin(message.at("recorded"));
  }
  if (message.contains("sole")) {
    answer.sole = DecodeOrigin(message.at("sole"));
    answer.sole_age = milliseconds(message.at("age_ms").get<std::int64_t>());
  }
  return answer;
}

// Lets concurrent callers share reads: a caller takes part in a read that
// begins after its call.
class SharedRead {
 public:
  using Read = std::function<auto()->awaitable<void>>;

  explicit SharedRead(asio::any_io_executor executor)
      : executor_(std::move(executor)) {}

  auto Run(Read read) -> awaitable<void> {
    const auto needed = begun_ + 1;
    while (finished_ < needed) {
      if (!running_) {
        running_ = true;
        const auto number = ++begun_;
        auto failure = std::exception_ptr();
        try {
          co_await read();
        } catch (const std::exception&) {
          failure = std::current_exception();
        }
        running_ = false;
        finished_ = failure ? finished_ : number;
        for (const auto& timer : std::exchange(waiting_, {})) {
          timer->cancel();
        }
        if (failure) {
          std::rethrow_exception(failure);
        }
      } else {
        auto timer = std::make_shared<asio::steady_timer>(
            executor_, asio::steady_timer::time_point::max());
        waiting_.push_back(timer);
        co_await timer->async_wait(kAwaitTuple);
      }
    }
  }

 private:
  asio::any_io_executor executor_;
  bool running_ = false;
  std::uint64_t begun_ = 0;
  std::uint64_t finished_ = 0;
  std::vector<std::shared_ptr<asio::steady_timer>> waiting_;
};

// A question to several nodes, which outlives its wait.
struct Question {
  Question(const asio::any_io_executor& executor, std::size_t asked)
      : query(asked), answered(executor) {}

  // Waits for the answers; returns after `limit` at the latest.
  auto Await(milliseconds limit) -> awaitable<void> {
    answered.expires_after(limit);
    co_await answered.async_wait(kAwaitTuple);
  }

  auto OnAnswer(const std::optional<OriginAnswer>& answer) -> void {
    query.OnAnswer(answer);
    if (query.done()) {
      answered.cancel();
    }
  }

  OriginQuery query;
  bool store_answered = false;  // To this node itself.
  asio::steady_timer answered;  // Cancelled once the query is done.
};

}  // namespace

class StreamVersions::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(StreamVersionsParts parts)
      : parts_(std::move(parts)),
        origins_(parts_.clock),
        registry_(parts_.boot_clock),
        records_(parts_.clock),
        load_records_(parts_.executor),
        recorded_(parts_.metrics.counter("kqg_stream_origins_total")),
        found_(parts_.metrics.counter(
            "kqg_resumed_streams_total{origin=\"found\"}")),
        unknown_(parts_.metrics.counter(
            "kqg_resumed_streams_total{origin=\"unknown\"}")),
        query_ms_(parts_.metrics.histogram("kqg_origin_query_seconds")) {}

  auto RegisterHandlers(node::PeerServer& server) -> void {
    server.Register(
        kOriginCall,
        [weak = weak_from_this()](json request,
                                  std::shared_ptr<node::Responder> responder) {
          return AnswerPeer(weak, std::move(request), std::move(responder));
        });
    server.Register(
        kRecordsCall,
        [weak = weak_from_this()](json request,
                                  std::shared_ptr<node::Responder> responder) {
          return TakeOver(weak, std::move(request), std::move(responder));
        });
  }

  auto Start() -> void {
    asio::co_spawn(parts_.executor, StoreRecords(shared_from_this()),
                   asio::detached);
  }

  auto SetReplicas(const std::vector<routing::Replica>& replicas) -> void {
    registry_.SetReplicas(replicas);
    RegisterMissing();
  }

  auto Usable(const std::vector<routing::Replica>& replicas) const
      -> std::vector<routing::Replica> {
    return registry_.Usable(replicas);
  }

  auto EncodeRegistered() const -> json {
    auto services = json::array();
    for (const auto& [service, versions] : registry_.registered()) {
      services.push_back(
          EncodeVersionNews(service, versions, registry_.Stored(service)));
    }
    return services;
  }

  auto OnPeerRegistered(const json& services) -> void {
    for (const auto& entry : services) {
      constexpr std::size_t kWithStored = 4;
      const auto registered = entry.at(1).get<VersionSet>();
      auto stored = StoredVersions{registered, 0};
      // Nodes of earlier releases do not send this.
      if (entry.size() >= kWithStored) {
        stored = {entry.at(2).get<VersionSet>(),
                  entry.at(3).get<std::uint64_t>()};
      }
      OnVersions(ServiceName(entry.at(0).get<std::string>()), registered,
                 stored, "a node");
    }
  }

  auto OnBegan(const CallerStream& stream, const std::string& version) -> void {
    const auto origin = StreamOrigin{stream.service, version};
    origins_.Add(stream.key, origin);
    records_.Add({stream.key, origin});
    if (!registry_.HasSeveral(stream.service)) {
      return;
    }
    recorded_.Add();
    const auto message = json{{"t", kOriginDatagram},
                              {"n", parts_.self().value()},
                              {"s", stream.key},
                              {"o", EncodeOrigin(origin)}};
    for (const auto& node :
         ChooseOriginHolders(stream.key, parts_.live(), parts_.self())) {
      parts_.send_datagram(node.node_address, message);
    }
  }

  auto Find(CallerStream stream) -> awaitable<std::optional<StreamOrigin>> {
    const auto self = shared_from_this();
    const auto began = parts_.clock();
    auto origin = origins_.Find(stream.key);
    if (!origin) {
      origin = co_await AskNodes(stream);
    }
    query_ms_.Record(
        static_cast<double>(ToMilliseconds(parts_.clock() - began)));
    (origin ? found_ : unknown_).Add();
    co_return origin;
  }

  auto OnDatagram(const json& message) -> void {
    if (message.at("t").get<std::string>() == kVersionsDatagram) {
      OnPeerRegistered(message.at("v"));
      return;
    }
    origins_.Add(message.at("s").get<StreamKey>(),
                 DecodeOrigin(message.at("o")));
  }

  auto OnTick() -> void {
    origins_.RemoveExpired();
    records_.RemoveExpired();
    registry_.OnTick();
    if (!registry_.Unregistered().empty()) {
      parts_.usable_changed();  // They may have waited for long enough.
    }
    RegisterMissing();
    const auto removable = registry_.FindRemovable();
    if (removable && parts_.watches() && !removing_) {
      removing_ = true;
      asio::co_spawn(parts_.executor,
                     RemoveOthers(shared_from_this(), *removable),
                     asio::detached);
    }
  }

 private:
  // --- The versions of each service in the store.

  // Takes what this node has read, written or heard of the versions in the
  // store, and tells the others if it is news.
  auto OnVersions(const ServiceName& service,
                  const VersionSet& registered,
                  const StoredVersions& stored,
                  const std::string& source) -> void {
    // The store may hold some of these versions no more.
    if (stored.revision < registry_.Stored(service).revision) {
      return;
    }
    // A node that still takes a version for registered may know already that
    // the store holds it no more.
    auto held = registered;
    std::erase_if(held, [&](const std::string& version) {
      return !stored.versions.contains(version);
    });
    const auto usable_changed = registry_.OnRegistered(service, held);
    const auto stored_changed = registry_.OnStoredElsewhere(service, stored);
    if (usable_changed || stored_changed) {
      TellVersions(service, held, stored, source);
    }
    if (usable_changed) {
      parts_.usable_changed();
    }
  }

  auto TellVersions(const ServiceName& service,
                    const VersionSet& registered,
                    const StoredVersions& stored,
                    const std::string& source) -> void {
    auto list = std::string();
    for (const auto& version : stored.versions) {
      list += (list.empty() ? "" : " ") + version;
    }
    logger_.Info("the store knows the software versions of a service",
                 {{"event", "versions_registered"},
                  {"service", service.value()},
                  {"versions", list},
                  {"revision", std::to_string(stored.revision)},
                  {"source", source}});
    auto message = json{{"t", kVersionsDatagram},
                        {"n", parts_.self().value()},
                        {"v", json::array()}};
    message["v"].push_back(EncodeVersionNews(service, registered, stored));
    parts_.send_news(message);
  }

  auto RegisterMissing() -> void {
    if (!registering_ && !registry_.Unregistered().empty()) {
      registering_ = true;
      asio::co_spawn(parts_.executor, RegisterVersions(shared_from_this()),
                     asio::detached);
    }
  }

  // Stores the versions that are not in the store yet. Those that watch the
  // store do so at once, the others if they hear nothing of it.
  static auto RegisterVersions(std::shared_ptr<Impl> self) -> awaitable<void> {
    while (true) {
      const auto services = self->registry_.Unregistered();
      if (services.empty()) {
        break;
      }
      if (!self->parts_.watches() && self->parts_.live().size() > 1) {
        co_await self->AwaitNews(kNewsWait);
      }
      auto failed = false;
      for (const auto& service : self->registry_.Unregistered()) {
        auto failure = std::string();
        try {
          co_await self->Register(service);
        } catch (const Error& error) {
          failure = error.what();
        }
        if (!failure.empty()) {
          failed = true;
          self->logger_.Warning("a software version cannot be registered yet",
                                {{"event", "store_failed"},
                                 {"service", service.value()},
                                 {"reason", failure}});
        }
      }
      if (failed) {
        co_await Pause(kStoreRetryDelay);
      }
    }
    self->registering_ = false;
  }

  // Waits for up to twice `least`; the time is random, so that nodes that began
  // to wait together do not go on together.
  auto AwaitNews(milliseconds least) -> awaitable<void> {
    const auto more =
        parts_.random() % static_cast<std::uint64_t>(least.count());
    co_await Pause(least + milliseconds(static_cast<std::int64_t>(more)));
  }

  auto Register(ServiceName service) -> awaitable<void> {
    const auto key = VersionsKey(service);
    const auto stored = co_await parts_.store.Read(key, CallClass::kResult);
    if (!stored) {
      co_await AwaitNews(kFirstEntryWait);
      const auto missing = registry_.Unregistered();
      if (std::find(missing.begin(), missing.end(), service) == missing.end()) {
        co_return;
      }
    }
    auto versions = VersionSet();
    if (stored) {
      versions = DecodeVersions(key, stored->value);
    }
    auto revision = stored ? stored->version : std::uint64_t{0};
    const auto before = versions;
    versions.merge(registry_.Current(service));
    if (versions != before) {
      auto text = EncodeVersions(versions);
      const auto expected = stored ? std::optional(stored->version)
                                   : std::optional<std::uint64_t>();
      try {
        revision = co_await parts_.store.Write(key, std::move(text), expected,
                                               CallClass::kClaim);
      } catch (const Error& error) {
        // Another node was first, or the answer was lost.
        if (error.kind() != ErrorKind::kConflict &&
            error.kind() != ErrorKind::kUnknownOutcome) {
          throw;
        }
        co_return;
      }
    }
    OnVersions(service, versions, {versions, revision}, "the store");
  }

  // Returns the versions that may have begun streams of a service, as they are
  // in the store after this call.
  auto ReadVersions(ServiceName service) -> awaitable<VersionSet> {
    const auto key = VersionsKey(service);
    const auto stored = co_await parts_.store.Read(key, CallClass::kResult);
    co_return stored ? DecodeVersions(key, stored->value) : VersionSet();
  }

  // Removes the versions from the store that have been gone for long.
  static auto RemoveOthers(std::shared_ptr<Impl> self, ServiceName service)
      -> awaitable<void> {
    const auto key = VersionsKey(service);
    try {
      const auto stored =
          co_await self->parts_.store.Read(key, CallClass::kStatus);
      auto versions =
          stored ? DecodeVersions(key, stored->value) : VersionSet();
      auto revision = stored ? stored->version : std::uint64_t{0};
      // Another version may have come meanwhile.
      const auto remaining = self->registry_.Remaining(service);
      if (stored && remaining && versions.contains(*remaining) &&
          versions.size() > 1) {
        versions = {*remaining};
        auto text = EncodeVersions(versions);
        revision = co_await self->parts_.store.Write(
            key, std::move(text), stored->version, CallClass::kStatus);
        self->logger_.Info("software versions are gone for long",
                           {{"event", "versions_removed"},
                            {"service", service.value()},
                            {"remaining", *remaining}});
      }
      const auto now_stored = StoredVersions{versions, revision};
      self->registry_.OnStored(service, now_stored);
      self->TellVersions(service, versions, now_stored, "the store");
    } catch (const Error& error) {
      self->logger_.Info("old software versions cannot be removed yet",
                         {{"event", "store_failed"},
                          {"service", service.value()},
                          {"reason", error.what()}});
    }
    self->removing_ = false;
  }

  // --- Records in the store.

  auto SeveralVersions() const -> bool {
    const auto& services = registry_.registered();
    return std::any_of(
        services.begin(), services.end(),
        [&](const auto& entry) { return registry_.HasSeveral(entry.first); });
  }

  static auto StoreRecords(std::shared_ptr<Impl> self) -> awaitable<void> {
    while (true) {
      co_await Pause(kStoreInterval);
      if (!self->records_.changed() || !self->SeveralVersions()) {
        continue;
      }
      auto failure = std::string();
      try {
        if (!co_await self->HandOver()) {
          co_await self->StoreOwnRecords();
        }
      } catch (const Error& error) {
        failure = error.what();
      }
      if (!failure.empty()) {
        self->records_.OnFailed();
        self->records_version_.reset();
        self->logger_.Info("records of streams cannot be stored yet",
                           {{"event", "store_failed"}, {"reason", failure}});
      }
    }
  }

  // Gives the new records to a node that stores them. Returns false if this
  // node has to store its records itself.
  auto HandOver() -> awaitable<bool> {
    const auto keeper = FindRecordKeeper();
    if (!keeper) {
      co_return false;
    }
    auto failure = std::string();
    try {
      json request = {{"records", EncodeRecords(records_.TakeNew())}};
      co_await parts_.peers.Call(
          keeper->node_address, node::Channel::kControl, kRecordsCall,
          std::move(request), [](const json&) {}, kHandOverTimeout, nullptr);
    } catch (const std::exception& error) {
      failure = error.what();
    }
    if (!failure.empty()) {
      logger_.Info("a node does not take records of streams over",
                   {{"event", "peer_failed"},
                    {"peer", keeper->id.value()},
                    {"call", kRecordsCall},
                    {"reason", failure}});
    }
    const auto handed_over = failure.empty();
    co_return handed_over;
  }

  static auto TakeOver(std::weak_ptr<Impl> weak,
                       json request,
                       std::shared_ptr<node::Responder> responder)
      -> awaitable<void> {
    const auto self = weak.lock();
    if (!self) {
      co_return;
    }
    const auto text = request.at("records").get<std::string>();
    for (const auto& record : DecodeRecords(kRecordsCall, text)) {
      self->records_.Add(record);
      self->origins_.Add(record.stream, record.origin);
    }
    responder->Send(json::object());
  }

  // Returns the node that stores the records of this one, in its availability
  // zone if there is one; nothing if this node stores them itself.
  auto FindRecordKeeper() const -> std::optional<routing::NodeInfo> {
    const auto live = parts_.live();
    const auto self = parts_.self();
    const auto watchers = ChooseWatchers(live);
    if (live.size() <= kMaxStoringNodes ||
        std::find(watchers.begin(), watchers.end(), self) != watchers.end()) {
      return std::nullopt;
    }
    const auto own =
        std::find_if(live.begin(), live.end(),
                     [&](const auto& node) { return node.id == self; });
    auto candidates = Watchers(live.size());
    const auto others = std::partition(
        candidates.begin(), candidates.end(), [&](const auto& node) {
          return own != live.end() && node.zone == own->zone;
        });
    if (others != candidates.begin()) {
      candidates.erase(others, candidates.end());
    }
    const auto key = routing::RendezvousHash(self.value());
    const auto id = routing::ChooseNode(key, candidates);
    const auto chosen =
        std::find_if(candidates.begin(), candidates.end(),
                     [&](const auto& node) { return node.id == id; });
    return chosen == candidates.end() ? std::nullopt : std::optional(*chosen);
  }

  auto StoreOwnRecords() -> awaitable<void> {
    const auto key = RecordsKey(parts_.self());
    if (!records_version_) {
      const auto stored = co_await parts_.store.Read(key, CallClass::kResult);
      if (stored && !std::exchange(records_read_, true)) {
        records_.AddStored(DecodeRecords(key, stored->value));
      }
      records_version_ = stored ? std::optional(stored->version)
                                : std::optional<std::uint64_t>();
      records_read_ = true;
    }
    auto text = EncodeRecords(records_.Take());
    records_version_ = co_await parts_.store.Write(
        key, std::move(text), records_version_, CallClass::kResult);
  }

  // Leaves out what cannot be decoded, since the records of the other nodes do
  // not depend on it.
  auto AddRecords(const std::string& key, const std::string& value) -> void {
    try {
      for (const auto& record : DecodeRecords(key, value)) {
        origins_.Add(record.stream, record.origin);
      }
    } catch (const Error& error) {
      logger_.Warning("records of streams cannot be decoded",
                      {{"event", "object_ignored"},
                       {"object", key},
                       {"reason", error.what()}});
    }
  }

  // Reads the records of all nodes.
  auto LoadRecords() -> awaitable<void> {
    auto after = std::string();
    auto more = true;
    while (more) {
      const auto page = co_await parts_.store.List(
          kRecordsPrefix, after, kPageSize, CallClass::kResult);
      for (const auto& entry : page.entries) {
        if (entry.value) {
          AddRecords(entry.key, *entry.value);
        }
      }
      more = page.more && !page.entries.empty();
      if (more) {
        after = page.entries.back().key;
      }
    }
  }

  // --- Questions.

  // What the store says of a stream. A version is in the store before it begins
  // its first stream, so the only version there has begun it.
  auto ReadOrigin(CallerStream stream) -> awaitable<OriginAnswer> {
    const auto asked_at = parts_.boot_clock();
    auto answer = OriginAnswer();
    const auto versions = co_await ReadVersions(stream.service);
    if (versions.size() == 1) {
      answer.sole = StreamOrigin{stream.service, *versions.begin()};
    } else if (versions.size() > 1) {
      const auto self = shared_from_this();
      const SharedRead::Read read = [self] { return self->LoadRecords(); };
      co_await load_records_.Run(read);
      answer.recorded = origins_.Find(stream.key);
    }
    answer.sole_age = parts_.boot_clock() - asked_at;
    co_return answer;
  }

  static auto AnswerPeer(std::weak_ptr<Impl> weak,
                         json request,
                         std::shared_ptr<node::Responder> responder)
      -> awaitable<void> {
    const auto self = weak.lock();
    if (!self) {
      co_return;
    }
    auto stream = CallerStream();
    stream.key = request.at("s").get<StreamKey>();
    stream.service = ServiceName(request.at("service").get<std::string>());
    auto answer = OriginAnswer();
    answer.recorded = self->origins_.Find(stream.key);
    if (!answer.recorded && request.value("read", false)) {
      answer = co_await self->ReadOrigin(stream);
    }
    responder->Send(EncodeAnswer(answer));
  }

  // Returns other nodes that watch the store, at most `count`.
  auto Watchers(std::size_t count) const -> std::vector<routing::NodeInfo> {
    const auto live = parts_.live();
    const auto self = parts_.self();
    const auto names = ChooseWatchers(live);
    auto nodes = std::vector<routing::NodeInfo>();
    for (const auto& node : live) {
      if (node.id != self && nodes.size() < count &&
          std::find(names.begin(), names.end(), node.id) != names.end()) {
        nodes.push_back(node);
      }
    }
    return nodes;
  }

  auto AskNodes(CallerStream stream) -> awaitable<std::optional<StreamOrigin>> {
    const auto holders =
        ChooseOriginHolders(stream.key, parts_.live(), parts_.self());
    const auto question =
        std::make_shared<Question>(parts_.executor, holders.size() + 1);
    asio::co_spawn(parts_.executor,
                   AskStore(shared_from_this(), question, stream),
                   asio::detached);
    for (const auto& node : holders) {
      asio::co_spawn(parts_.executor,
                     Ask(shared_from_this(), question, node, stream, false),
                     asio::detached);
    }
    co_await question->Await(kRecordTimeout);
    if (!question->query.done() && !question->store_answered) {
      // They are asked to read the store, as this node cannot.
      const auto readers = Watchers(kReadersToAsk);
      question->query.OnAsked(readers.size());
      for (const auto& node : readers) {
        asio::co_spawn(parts_.executor,
                       Ask(shared_from_this(), question, node, stream, true),
                       asio::detached);
      }
    }
    if (!question->query.done() && !question->query.origin()) {
      co_await question->Await(kQueryTimeout - kRecordTimeout);
    }
    co_return question->query.origin();
  }

  static auto AskStore(std::shared_ptr<Impl> self,
                       std::shared_ptr<Question> question,
                       CallerStream stream) -> awaitable<void> {
    auto answer = std::optional<OriginAnswer>();
    auto failure = std::string();
    try {
      answer = co_await self->ReadOrigin(stream);
      question->store_answered = true;
    } catch (const std::exception& error) {
      failure = error.what();
    }
    if (!failure.empty()) {
      self->logger_.Info("the store does not tell which version began a stream",
                         {{"event", "store_failed"}, {"reason", failure}});
    }
    question->OnAnswer(answer);
  }

  static auto Ask(std::shared_ptr<Impl> self,
                  std::shared_ptr<Question> question,
                  routing::NodeInfo node,
                  CallerStream stream,
                  bool read) -> awaitable<void> {
    auto answer = std::optional<OriginAnswer>();
    auto failure = std::string();
    try {
      json request = {{"s", stream.key},
                      {"service", stream.service.value()},
                      {"read", read}};
      co_await self->parts_.peers.Call(
          node.node_address, node::Channel::kControl, kOriginCall,
          std::move(request),
          [&answer](const json& frame) { answer = DecodeAnswer(frame); },
          kQueryTimeout, nullptr);
    } catch (const std::exception& error) {
      failure = error.what();
    }
    if (!failure.empty()) {
      self->logger_.Info("a node does not tell which version began a stream",
                         {{"event", "peer_failed"},
                          {"peer", node.id.value()},
                          {"call", kOriginCall},
                          {"reason", failure}});
    }
    question->OnAnswer(answer);
  }

  StreamVersionsParts parts_;
  Logger logger_{"versions"};
  StreamOrigins origins_;
  VersionRegistry registry_;
  StreamRecords records_;
  SharedRead load_records_;
  bool registering_ = false;
  bool removing_ = false;
  // Version of the object with the own records; empty if there is none, or if
  // it is not known.
  std::optional<std::uint64_t> records_version_;
  bool records_read_ = false;
  Counter& recorded_;
  Counter& found_;
  Counter& unknown_;
  LatencyHistogram& query_ms_;
};

StreamVersions::StreamVersions(StreamVersionsParts parts)
    : impl_(std::make_shared<Impl>(std::move(parts))) {}

StreamVersions::~StreamVersions() = default;

auto StreamVersions::RegisterHandlers(node::PeerServer& server) -> void {
  impl_->RegisterHandlers(server);
}

auto StreamVersions::Start() -> void {
  impl_->Start();
}

auto StreamVersions::Usable(const std::vector<routing::Replica>& replicas) const
    -> std::vector<routing::Replica> {
  return impl_->Usable(replicas);
}

auto StreamVersions::EncodeRegistered() const -> json {
  return impl_->EncodeRegistered();
}

auto StreamVersions::OnPeerRegistered(const json& versions) -> void {
  impl_->OnPeerRegistered(versions);
}

auto StreamVersions::SetReplicas(const std::vector<routing::Replica>& replicas)
    -> void {
  impl_->SetReplicas(replicas);
}

auto StreamVersions::OnBegan(const CallerStream& stream,
                             const std::string& version) -> void {
  impl_->OnBegan(stream, version);
}

auto StreamVersions::Find(CallerStream stream)
    -> awaitable<std::optional<StreamOrigin>> {
  return impl_->Find(std::move(stream));
}

auto StreamVersions::OnDatagram(const json& message) -> void {
  impl_->OnDatagram(message);
}

auto StreamVersions::OnTick() -> void {
  impl_->OnTick();
}

}  // namespace kumquatgauge::serving
