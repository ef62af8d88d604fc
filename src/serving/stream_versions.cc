#include "kumquatgauge/serving/stream_versions.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "kumquatgauge/base/log.h"
#include "kumquatgauge/node/peer_server.h"
#include "kumquatgauge/serving/origin_query.h"
#include "kumquatgauge/serving/version_history.h"
#include "kumquatgauge/serving/watcher_choice.h"

namespace kumquatgauge::serving {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto kOriginCall = "stream-origin";
// How long other nodes are asked; callers leave a stream after two seconds
// without an event.
constexpr milliseconds kQueryTimeout{300};
// The same once a node has said that there is one version only. A node that has
// just died does not answer, and a record would have arrived by then.
constexpr milliseconds kRecordTimeout{60};

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

// A question to several nodes, which outlives its wait.
struct Question {
  Question(const asio::any_io_executor& executor, std::size_t asked)
      : query(asked), answered(executor) {}

  // Waits for the answers; returns after `limit` at the latest.
  auto Await(milliseconds limit) -> awaitable<void> {
    answered.expires_after(limit);
    co_await answered.async_wait(kAwaitTuple);
  }

  OriginQuery query;
  asio::steady_timer answered;  // Cancelled once the query is done.
};

}  // namespace

class StreamVersions::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(StreamVersionsParts parts)
      : parts_(std::move(parts)),
        origins_(parts_.clock),
        history_(parts_.clock),
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
  }

  auto SetReplicas(const std::vector<routing::Replica>& replicas) -> void {
    history_.SetReplicas(replicas);
  }

  auto OnBegan(const CallerStream& stream, const std::string& version) -> void {
    if (history_.SoleVersion(stream.service, stream.life)) {
      return;
    }
    recorded_.Add();
    const auto origin = StreamOrigin{stream.service, version};
    origins_.Add(stream.key, origin);
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
    origins_.Add(message.at("s").get<StreamKey>(),
                 DecodeOrigin(message.at("o")));
  }

  auto OnTick() -> void { origins_.RemoveExpired(); }

 private:
  auto Know(const CallerStream& stream) const -> OriginAnswer {
    auto answer = OriginAnswer();
    answer.recorded = origins_.Find(stream.key);
    if (const auto age = parts_.entries_age()) {
      const auto sole = history_.SoleVersion(stream.service, stream.life);
      if (sole) {
        answer.sole = StreamOrigin{stream.service, *sole};
        answer.sole_age = *age;
      }
    }
    return answer;
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
    stream.life = milliseconds(request.at("life_ms").get<std::int64_t>());
    responder->Send(EncodeAnswer(self->Know(stream)));
  }

  // Returns the nodes that may know: those that hold the record, and those that
  // watch the store.
  auto NodesToAsk(StreamKey stream) const -> std::vector<routing::NodeInfo> {
    const auto live = parts_.live();
    const auto self = parts_.self();
    auto nodes = ChooseOriginHolders(stream, live, self);
    const auto watchers = ChooseWatchers(live);
    for (const auto& node : live) {
      const auto watches = std::find(watchers.begin(), watchers.end(),
                                     node.id) != watchers.end();
      const auto listed =
          std::any_of(nodes.begin(), nodes.end(),
                      [&](const auto& other) { return other.id == node.id; });
      if (watches && !listed && node.id != self) {
        nodes.push_back(node);
      }
    }
    return nodes;
  }

  auto AskNodes(CallerStream stream) -> awaitable<std::optional<StreamOrigin>> {
    const auto nodes = NodesToAsk(stream.key);
    // This node answers as well.
    const auto question =
        std::make_shared<Question>(parts_.executor, nodes.size() + 1);
    question->query.OnAnswer(Know(stream));
    for (const auto& node : nodes) {
      asio::co_spawn(parts_.executor,
                     Ask(shared_from_this(), question, node, stream),
                     asio::detached);
    }
    if (!question->query.done()) {
      co_await question->Await(kRecordTimeout);
    }
    if (!question->query.done() && !question->query.origin()) {
      co_await question->Await(kQueryTimeout - kRecordTimeout);
    }
    co_return question->query.origin();
  }

  static auto Ask(std::shared_ptr<Impl> self,
                  std::shared_ptr<Question> question,
                  routing::NodeInfo node,
                  CallerStream stream) -> awaitable<void> {
    auto answer = std::optional<OriginAnswer>();
    auto failure = std::string();
    try {
      json request = {{"s", stream.key},
                      {"service", stream.service.value()},
                      {"life_ms", ToMilliseconds(stream.life)}};
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
    question->query.OnAnswer(answer);
    if (question->query.done()) {
      question->answered.cancel();
    }
  }

  StreamVersionsParts parts_;
  Logger logger_{"versions"};
  StreamOrigins origins_;
  VersionHistory history_;
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
