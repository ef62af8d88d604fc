#ifndef TESTING_GATEWAY_FAKE_SERVERS_H_
#define TESTING_GATEWAY_FAKE_SERVERS_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "kumquatgauge/caller/http_listener.h"
#include "testing/support/mutator.h"

namespace kumquatgauge::testing {

// A fake of the users' object API on 127.0.0.1, with faults. Thread-safe.
class FakeObjectApi {
 public:
  explicit FakeObjectApi(boost::asio::io_context& context);

  auto address() const -> std::string {
    return endpoints_.front()->listener->address();
  }
  auto Put(const std::string& key, nlohmann::json spec) -> void;
  // The object's value is `text`, which need not be JSON.
  auto PutText(const std::string& key, const std::string& text) -> void;
  auto Remove(const std::string& key) -> void;
  auto Has(const std::string& key) const -> bool;
  // The value of an object; null if there is none.
  auto Get(const std::string& key) const -> nlohmann::json;
  // The last status that was written of an object; null if there is none.
  auto StatusOf(const std::string& key) const -> nlohmann::json;
  // While set, every call is answered 503.
  auto set_down(bool down) -> void;
  // Returns another address that serves the same objects, for one caller.
  auto AddEndpoint() -> std::string;
  // While down, every call to the address is answered 503.
  auto SetEndpointDown(const std::string& address, bool down) -> void;
  // While down, every call about objects of this kind is answered 503.
  auto SetKindDown(const std::string& kind, bool down) -> void;
  // Reads of single objects of this kind are answered after this time.
  auto SetReadDelay(const std::string& kind, std::chrono::milliseconds delay)
      -> void;
  // How often the objects of this kind were listed in their newest state.
  auto ExactLists(const std::string& kind) const -> int;
  // Calls so far by "KIND.METHOD", with the names of StoreCallKind.
  auto Calls(const std::string& kind_and_method) const -> int;
  // While set, answers are malformed.
  auto set_malformed(bool malformed) -> void;
  // Writes of objects of this kind take effect after this time.
  auto SetWriteDelay(const std::string& kind, std::chrono::milliseconds delay)
      -> void;
  // The next `count` writes of this kind take effect but are not answered.
  auto LoseAnswers(const std::string& kind, int count) -> void;
  // Calls that arrive at the address from now on take effect at once and are
  // answered after this time.
  auto SetAnswerDelay(const std::string& address,
                      std::chrono::milliseconds delay) -> void;
  // Reads of single objects and of lists at the address that may be old show
  // the objects as they were this long ago; at most kMaxReadAge.
  static constexpr std::chrono::milliseconds kMaxReadAge{3'000};
  auto SetReadAge(const std::string& address, std::chrono::milliseconds age)
      -> void;
  // A call about one object.
  struct ObjectCall {
    std::string method;
    std::string key;
    std::string address;  // Of the endpoint.
  };
  // The first call from now on that `chosen` accepts takes effect at once and
  // is answered after ReleaseAnswer(). `chosen` may use this class.
  auto HoldAnswer(std::function<auto(const ObjectCall&)->bool> chosen) -> void;
  auto HoldsAnswer() const -> bool;
  auto ReleaseAnswer() -> void;

 private:
  struct Object {
    nlohmann::json spec;
    std::uint64_t revision = 0;
    bool deleted = false;
  };
  struct FormerObject {
    std::chrono::steady_clock::time_point replaced;
    Object object;
  };
  using Request = caller::IncomingRequest;
  using Writer = caller::ResponseWriter;

  struct Endpoint {
    std::unique_ptr<caller::HttpListener> listener;
    bool down = false;
    std::chrono::milliseconds answer_delay{0};
    std::chrono::milliseconds read_age{0};
  };

  // Throws std::invalid_argument if there is none.
  auto EndpointAt(const std::string& address) -> Endpoint&;

  auto Handle(std::shared_ptr<const Request> request,
              std::shared_ptr<Writer> writer,
              std::shared_ptr<Endpoint> endpoint)
      -> boost::asio::awaitable<void>;
  // Status and body; status 0 for an answer that is to be lost.
  auto Answer(const Request& request, const Endpoint& endpoint)
      -> std::pair<int, nlohmann::json>;
  auto IsDown(const Endpoint& endpoint) const -> bool;
  auto CountCall(const Request& request) -> void;
  auto MaybeMutate(const std::string& text) -> std::string;
  // Returns the text of an answer, with the values of PutText in place.
  auto TextOf(const nlohmann::json& body) const -> std::string;
  auto Delay(const Request& request) const -> std::chrono::milliseconds;
  auto AnswerDelay(const Endpoint& endpoint) const -> std::chrono::milliseconds;
  // Returns whether the answer to a call is to be held.
  auto TakeHold(const Request& request, const Endpoint& endpoint) -> bool;
  auto AnswerRead(const std::string& path, std::chrono::milliseconds age) const
      -> std::pair<int, nlohmann::json>;
  // Replaces an object and keeps what it was for reads of former states.
  auto Replace(const std::string& key, Object object) -> void;
  // The object as it was `age` ago; null if there was none.
  auto Find(const std::string& key, std::chrono::milliseconds age) const
      -> const Object*;
  auto AnswerWrite(const Request& request, const std::string& path)
      -> std::pair<int, nlohmann::json>;
  auto Show(const std::string& name, const Object& object) const
      -> nlohmann::json;
  auto Changes(const std::string& kind, std::uint64_t since) const
      -> nlohmann::json;

  mutable std::mutex mutex_;
  std::map<std::string, Object> objects_;                    // By "KIND/NAME".
  std::map<std::string, std::vector<FormerObject>> former_;  // Oldest first.
  std::map<std::string, nlohmann::json> statuses_;
  std::vector<std::string> texts_;  // Of PutText.
  std::map<std::string, int> lost_answers_;
  std::map<std::string, int> exact_lists_;
  std::map<std::string, int> calls_;
  std::map<std::string, std::chrono::milliseconds> read_delays_;
  std::map<std::string, std::chrono::milliseconds> write_delays_;
  std::set<std::string> kinds_down_;
  std::function<auto(const ObjectCall&)->bool> hold_;
  bool holding_ = false;
  std::uint64_t revision_ = 1;
  bool down_ = false;
  bool malformed_ = false;
  Mutator mutator_{1};
  boost::asio::io_context& context_;
  std::vector<std::shared_ptr<Endpoint>> endpoints_;
};

// Faults of a replica's answers.
enum class ReplicaFault {
  kNone,
  kLoseAnswer,      // Runs the request, then closes the connection.
  kBreakMidEvent,   // Ends a stream inside its third event.
  kRefuse,          // Answers that the request has not run.
  kWrongRequestId,  // Answers under the id of another request.
  kFail,            // Status 500.
  kUnprocessable,   // Status 422.
  kEndlessBody,     // Sends a body until the caller closes the connection.
  kTrickle,         // Sends its third event a byte at a time, without end.
  kPieces,          // Sends its third event in pieces within a second.
};

// A fake replica of the users' platform on 127.0.0.1. Streams have kEvents
// events whose data depend on the request's id and the event's number alone.
class FakeReplica {
 public:
  static constexpr int kEvents = 5;
  // Requests with this in their path take kSlowEventDelay per event.
  static constexpr auto kSlowPathPart = "/slow-";
  static constexpr std::chrono::milliseconds kSlowEventDelay{250};
  // Requests that expect another version of the weights are answered 421.
  static constexpr auto kWeightVersion = "1";
  // Called on the thread of `context` when a request begins to run.
  using OnStart = std::function<auto(const std::string& request)->void>;

  FakeReplica(boost::asio::io_context& context,
              std::string id,
              OnStart on_start = nullptr);

  auto address() const -> std::string { return listener_.address(); }
  // Changes when the replica restarts.
  auto id() const -> std::string;
  // Applies to the next `count` requests.
  auto SetFault(ReplicaFault fault, int count) -> void;
  // Answers the next `count` requests as not run, whatever the fault is.
  auto Refuse(int count) -> void;
  // Faults apply only to requests with this in their path.
  auto SetFaultyPathPart(const std::string& part) -> void;
  // A request whose prompt has this part ends the replica before its answer
  // begins; the replica is back at once under another id.
  auto set_crashing_part(const std::string& part) -> void;
  // The same for a request with this body.
  auto set_crashing_body(const std::string& body) -> void;
  auto crashes() const -> int;
  // Named in every answer from now on as the requests a second that the
  // replica takes; empty for none.
  auto set_start_limit(const std::string& limit) -> void;
  // While set, every answer says that the replica leaves; its entry does not
  // change.
  auto set_leaving(bool leaving) -> void;
  // The version of its software, which its events name unless it is empty.
  auto version() const -> std::string;
  auto set_version(const std::string& version) -> void;
  // Ends the replica and starts it at once under another id.
  auto Restart() -> void;
  // While set, requests are accepted and counted as runs but nothing is
  // written; they are answered once it is reset.
  auto set_hanging(bool hanging) -> void;
  // The delay before each event.
  auto set_event_delay(std::chrono::milliseconds delay) -> void;
  // How often a request has begun to run here.
  auto RunCount(const std::string& request) const -> int;
  // The headers with which a request last began to run here.
  auto HeadersOf(const std::string& request) const -> HeaderList;
  auto total_runs() const -> int;
  // Streams that were written to their end.
  auto finished_runs() const -> int;

 private:
  auto Handle(std::shared_ptr<const caller::IncomingRequest> request,
              std::shared_ptr<caller::ResponseWriter> writer)
      -> boost::asio::awaitable<void>;
  auto Stream(const caller::IncomingRequest& request,
              std::shared_ptr<caller::ResponseWriter> writer,
              HeaderList headers,
              ReplicaFault fault) -> boost::asio::awaitable<void>;
  auto Trickle(std::shared_ptr<caller::ResponseWriter> writer)
      -> boost::asio::awaitable<void>;
  auto WriteInPieces(std::shared_ptr<caller::ResponseWriter> writer,
                     std::string text) -> boost::asio::awaitable<void>;
  auto TakeFault(const std::string& path) -> ReplicaFault;
  auto hanging() const -> bool;
  // Returns whether the request has ended the replica.
  auto Crashes(const caller::IncomingRequest& request) -> bool;

  mutable std::mutex mutex_;
  std::string name_;
  std::string id_;
  std::string crashing_part_;
  std::string crashing_body_;
  std::string start_limit_;
  std::string version_;
  bool leaving_ = false;
  bool hanging_ = false;
  int crashes_ = 0;
  int restarts_ = 0;
  OnStart on_start_;
  std::map<std::string, int> runs_;
  std::map<std::string, HeaderList> headers_;  // Of each request.
  ReplicaFault fault_ = ReplicaFault::kNone;
  int fault_count_ = 0;
  int refusals_ = 0;
  std::string faulty_path_part_;
  int finished_runs_ = 0;
  std::chrono::milliseconds event_delay_{0};
  boost::asio::io_context& context_;
  caller::HttpListener listener_;
};

// Text of a whole stream, as a batch result or as events, of one version.
auto ExpectedText(const std::string& request, const std::string& version = "")
    -> std::string;
auto ExpectedEvents(const std::string& request,
                    int after,
                    const std::string& version = "") -> std::string;

// Returns the number of the last whole event of a text; 0 for none.
auto LastEventIn(const std::string& text) -> int;

// Returns the version that the first event of a text names; empty for none.
auto VersionIn(const std::string& text) -> std::string;

// Runs the io_context of fake servers on a thread of its own.
class FakeServerThread {
 public:
  FakeServerThread();
  ~FakeServerThread();
  auto context() -> boost::asio::io_context& { return context_; }
  // Ends the thread; the fake servers can then be destroyed.
  auto Stop() -> void;

 private:
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::thread thread_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_GATEWAY_FAKE_SERVERS_H_
