// Answers of faulty replicas that could be taken for those of other requests or
// for whole ones, at real gateway processes.

#include <array>
#include <atomic>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "testing/gateway/fleet.h"
#include "testing/gateway/raw_server.h"

namespace kumquatgauge::testing {
namespace {

using std::chrono::milliseconds;

// Longer than the second copy of an answer takes.
constexpr milliseconds kRunTime{150};

auto Head(const std::string& line, const std::string& request) -> std::string {
  const auto id = HeaderIn(request, "Request-Id");
  return "HTTP/1.1 " + line + "\r\n" +
         (id.empty() ? "" : "Request-Id: " + id + "\r\n");
}

auto WholeAnswer(const std::string& request) -> std::string {
  const auto body = "answer to " + HeaderIn(request, "Request-Id");
  return Head("200 OK", request) + "Response-Signature: s\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto Write(RawServer::Socket& socket, const std::string& bytes) -> void {
  auto error = boost::system::error_code();
  boost::asio::write(socket, boost::asio::buffer(bytes), error);
}

// A fleet whose only replicas answer by plain bytes.
struct RawFleet : Fleet {
  explicit RawFleet(const RawServer::Serve& serve, int replicas = 1) {
    store->Remove("servers/" + one->id());
    store->Remove("servers/" + two->id());
    for (auto at = 0; at < replicas; ++at) {
      servers.push_back(std::make_unique<RawServer>(serve));
      store->Put("servers/raw-" + std::to_string(at),
                 ServerEntry(servers.back()->address()));
    }
    store->Put("config/main", MakeConfiguration(3));
    // A replica is used once its version is in the store, which a busy machine
    // may delay beyond the readiness.
    REQUIRE(Eventually([&] {
      return nodes.front()->Ready() && store->Has("service-versions/svc");
    }));
  }

  ~RawFleet() {
    nodes.clear();
    thread.Stop();
  }

  auto node() const -> const GatewayProcess& { return *nodes.front(); }

  std::vector<std::unique_ptr<RawServer>> servers;
};

// How often requests have begun to run.
class Runs {
 public:
  auto Add(const std::string& id) -> int {
    const auto lock = std::lock_guard(mutex_);
    return ++runs_[id];
  }
  auto count(const std::string& id) const -> int {
    const auto lock = std::lock_guard(mutex_);
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, int> runs_;
};

// Guards against a request that is reported as not run, or sent to a second
// replica, while it runs: its replica wrote the refusal of an earlier request
// once more on the kept connection. `named` is whether refusals name requests.
auto CheckRepeatedRefusal(bool named) -> void {
  auto runs = Runs();
  const auto serve = [&](RawServer::Socket& socket,
                         const std::atomic<bool>& stopped) {
    auto refusal = std::string();
    while (!stopped) {
      const auto request = ReadRequestHead(socket);
      const auto id = HeaderIn(request, "Request-Id");
      if (id.empty()) {
        return;
      }
      if (refusal.empty()) {
        refusal = (named ? Head("503 Full", request)
                         : std::string("HTTP/1.1 503 Full\r\n")) +
                  "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        Write(socket, refusal);
        continue;
      }
      runs.Add(id);
      Write(socket, refusal);
      std::this_thread::sleep_for(kRunTime);
      Write(socket, WholeAnswer(request));
    }
  };
  auto fleet = RawFleet(serve);
  auto served = 0;
  for (auto number = 0; number < 8; ++number) {
    for (const auto* target : {"/plain/once/x", "/plain/x"}) {
      const auto id =
          std::string(target == std::string("/plain/x") ? "safe" : "once") +
          std::to_string(number);
      const auto reply = fleet.node().Call("POST", target, id);
      INFO(id << " " << reply.status << " runs " << runs.count(id));
      const auto not_run = reply.status == 503 || reply.status == 429;
      CHECK_FALSE((not_run && runs.count(id) > 0));
      if (target == std::string("/plain/once/x")) {
        CHECK(runs.count(id) <= 1);
      }
      if (reply.status == 200) {
        CHECK(reply.body == "answer to " + id);
        ++served;
      }
    }
  }
  CHECK(served > 0);
}

TEST_CASE("Gateway.TakesNoEarlierRefusalForThatOfARunningRequest") {
  CheckRepeatedRefusal(true);
}

TEST_CASE("Gateway.TakesNoUnnamedRefusalForThatOfARunningRequest") {
  CheckRepeatedRefusal(false);
}

// Serves one connection of a replica that refuses each request twice, then runs
// it. On the connection of an earlier refusal it writes that one once more
// while the request runs.
auto RefuseTwice(RawServer::Socket& socket,
                 const std::atomic<bool>& stopped,
                 Runs& refusals,
                 Runs& runs) -> void {
  constexpr int kRefusals = 2;
  auto refused = std::map<std::string, std::string>();
  while (!stopped) {
    const auto request = ReadRequestHead(socket);
    const auto id = HeaderIn(request, "Request-Id");
    if (id.empty()) {
      return;
    }
    if (refusals.count(id) < kRefusals) {
      refusals.Add(id);
      refused[id] = Head("503 Full", request) +
                    "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
      Write(socket, refused[id]);
      continue;
    }
    runs.Add(id);
    Write(socket, refused[id]);
    std::this_thread::sleep_for(kRunTime);
    Write(socket, WholeAnswer(request));
  }
}

// Guards against a request that is reported as not run, or runs twice, because
// its id was sent before on the same kept connection and the replica wrote the
// refusal of that attempt once more.
TEST_CASE("Gateway.TakesNoRefusalOfAnEarlierAttemptWithTheSameId") {
  constexpr int kCalls = 4;
  auto refusals = Runs();
  auto runs = Runs();
  auto fleet = RawFleet(
      [&](RawServer::Socket& socket, const std::atomic<bool>& stopped) {
        RefuseTwice(socket, stopped, refusals, runs);
      });
  for (auto number = 0; number < 8; ++number) {
    for (const auto* target : {"/plain/once/x", "/plain/x"}) {
      const auto id = target + std::to_string(number);
      auto reply = FetchReply();
      for (auto call = 0; call < kCalls && reply.status != 200; ++call) {
        reply = fleet.node().Call("POST", target, id);
        INFO(id << " " << reply.status << " runs " << runs.count(id));
        CHECK_FALSE((reply.status == 503 && runs.count(id) > 0));
      }
      CHECK(reply.body == "answer to " + id);
      CHECK(runs.count(id) == 1);
    }
  }
}

// Guards against a new connection for each request that full replicas refuse.
TEST_CASE("Gateway.KeepsConnectionsOverWhichRequestsWereRefused") {
  constexpr int kRequests = 200;
  auto connections = std::atomic<int>(0);
  auto requests = std::atomic<int>(0);
  auto fleet = RawFleet(
      [&](RawServer::Socket& socket, const std::atomic<bool>& stopped) {
        ++connections;
        while (!stopped) {
          const auto request = ReadRequestHead(socket);
          if (HeaderIn(request, "Request-Id").empty()) {
            return;
          }
          // Replicas that refuse everything are soon not asked any more.
          if (++requests % 3 == 0) {
            Write(socket, WholeAnswer(request));
          } else {
            Write(socket, Head("503 Full", request) +
                              "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
          }
        }
      });
  for (auto number = 0; number < kRequests; ++number) {
    const auto id = "q" + std::to_string(number);
    for (const auto* target : {"/plain/once/x", "/plain/x"}) {
      static_cast<void>(fleet.node().Call("POST", target, id + target));
    }
  }
  INFO(requests.load() << " requests, two of three refused, "
                       << connections.load() << " connections");
  CHECK(requests > kRequests);
  CHECK(connections < requests / 20);
}

// Answers an item with one event, whose data is `text`.
auto ItemAnswer(const std::string& request, const std::string& text)
    -> std::string {
  const auto body = "id: 1\ndata: " + text + "\n\n";
  return Head("200 OK", request) +
         "Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The text of the only result of a job, once it is listed.
auto ResultOf(const GatewayProcess& node, const std::string& job)
    -> std::string {
  auto page = nlohmann::json();
  REQUIRE(Eventually([&] {
    page = node.ReadJob(job);
    return page.is_object() && !page.at("results").empty();
  }));
  return page.at("results").at(0).value("text", "");
}

// Guards against a result that belongs to an item of another job with the same
// id: the replica wrote that answer once more on the kept connection.
TEST_CASE("Gateway.TakesNoResultOfAnItemOfAnotherJobWithTheSameId") {
  auto runs = Runs();
  auto fleet = RawFleet([&](RawServer::Socket& socket,
                            const std::atomic<bool>& stopped) {
    auto last = std::string();
    while (!stopped) {
      const auto request = ReadRequestHead(socket);
      const auto id = HeaderIn(request, "Request-Id");
      if (id.empty()) {
        return;
      }
      const auto run = runs.Add(id);
      Write(socket, last);
      std::this_thread::sleep_for(last.empty() ? milliseconds(0) : kRunTime);
      last = ItemAnswer(request, "run " + std::to_string(run));
      Write(socket, last);
    }
  });
  for (auto number = 1; number <= 4; ++number) {
    const auto job = "job" + std::to_string(number);
    const auto body = JobBody({"item"});
    REQUIRE(fleet.node().Call("POST", "/jobs/1", job, body).status == 202);
    CHECK(ResultOf(fleet.node(), job) == "run " + std::to_string(number));
    CHECK(runs.count("item") == number);
  }
}

// Guards against an item that runs twice because the refusal of an earlier
// attempt was written once more while it ran.
TEST_CASE("Gateway.TakesNoRefusalOfAnEarlierAttemptOfAnItem") {
  auto refusals = Runs();
  auto runs = Runs();
  auto fleet = RawFleet(
      [&](RawServer::Socket& socket, const std::atomic<bool>& stopped) {
        RefuseTwice(socket, stopped, refusals, runs);
      });
  for (auto number = 1; number <= 4; ++number) {
    const auto job = "job" + std::to_string(number);
    const auto item = "item" + std::to_string(number);
    const auto body = JobBody({item});
    REQUIRE(fleet.node().Call("POST", "/jobs/1", job, body).status == 202);
    CHECK(Eventually([&] { return runs.count(item) > 0; }));
  }
}

// What a second replica answers to a stream that broke off at the first one.
struct Continuation {
  std::string line;
  std::string fields;
};

// Guards against the text of an error, or its whole head, in the middle of a
// stream, and against a stream that ends as if it were complete, when the
// replica that is to go on with it answers otherwise.
TEST_CASE("Gateway.BreaksOffAStreamThatNoReplicaGoesOnWith") {
  const auto continuations = std::vector<Continuation>{
      {"400 Bad Request", ""},
      {"404 Not Found", ""},
      {"408 Request Timeout", ""},
      {"409 Conflict", ""},
      {"422 Unprocessable", ""},
      {"429 Too Many Requests", ""},
      {"429 Too Many", "Not-Executed: 1\r\n"},
      {"500 Failed", ""},
      {"501 Unknown", ""},
      {"502 Bad Gateway", ""},
      {"503 Full", ""},
      {"503 Full", "Not-Executed: 1\r\n"},
      {"504 Timeout", ""},
      {"200 OK", "Content-Type: text/plain\r\n"},
      {"204 No Content", ""},
      {"302 Found", "Location: /x\r\n"},
  };
  for (const auto& [line, fields] : continuations) {
    INFO(line << " " << fields);
    const auto serve = [&](RawServer::Socket& socket,
                           const std::atomic<bool>& stopped) {
      while (!stopped) {
        const auto request = ReadRequestHead(socket);
        if (HeaderIn(request, "Request-Id").empty()) {
          return;
        }
        if (!HeaderIn(request, "Last-Event-Id").empty()) {
          const auto body =
              line.starts_with("204")
                  ? std::string("\r\n")
                  : std::string("Content-Length: 7\r\n\r\nfailure");
          auto answer = Head(line, request);
          answer.append("Response-Signature: s\r\n")
              .append(fields)
              .append(body);
          Write(socket, answer);
          continue;
        }
        Write(socket,
              Head("200 OK", request) +
                  "Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"
                  "11\r\nid: 1\ndata: one\n\n\r\n");
        std::this_thread::sleep_for(milliseconds(30));
        return;  // Closes the connection.
      }
    };
    auto fleet = RawFleet(
        [&](RawServer::Socket& socket, const std::atomic<bool>& stopped) {
          serve(socket, stopped);
          socket.close();
        },
        2);
    for (auto number = 0; number < 3; ++number) {
      const auto reply =
          fleet.node().Call("POST", "/stream/x", "s" + std::to_string(number));
      CHECK(reply.status == 200);
      CHECK_FALSE(reply.complete);
      CHECK(reply.body == "id: 1\ndata: one\n\n");
    }
  }
}

// Reads a request's head, and its body up to `size` bytes.
auto ReadRequest(RawServer::Socket& socket, std::size_t size) -> std::string {
  auto request = ReadRequestHead(socket);
  const auto head = request.find("\r\n\r\n") + 4;
  auto bytes = std::array<char, 4'096>();
  auto error = boost::system::error_code();
  while (!error && request.size() < head + size) {
    request.append(bytes.data(),
                   socket.read_some(boost::asio::buffer(bytes), error));
  }
  return request;
}

// Guards against a part of an answer that is passed on as a whole one: it has
// no length, and its replica resets the connection during the upload.
TEST_CASE("Gateway.TakesNoAnswerCutDuringTheUploadForAWholeOne") {
  const auto serve = [&](RawServer::Socket& socket,
                         const std::atomic<bool>& /*stopped*/) {
    const auto request = ReadRequest(socket, 0);
    Write(socket, Head("200 OK", request) + "Response-Signature: s\r\n\r\n" +
                      "id: 1\ndata: one\n\n");
    std::this_thread::sleep_for(milliseconds(5));
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
  };
  auto fleet = RawFleet(serve, 2);
  auto number = 0;
  for (const auto size : {200'000, 2'000'000}) {
    const auto body = std::string(size, 'x');
    for (auto round = 0; round < 6; ++round) {
      for (const auto* target :
           {"/plain/x", "/plain/once/x", "/stream/x", "/stream/once/x"}) {
        CAPTURE(size, target, round);
        const auto reply = fleet.node().Call(
            "POST", target, "u" + std::to_string(++number), body);
        CHECK_FALSE((reply.status == 200 && reply.complete));
      }
    }
  }
}

// Guards against an item that is listed as completed with a part of its text,
// because its replica reset the connection during the upload.
TEST_CASE("Gateway.CompletesNoItemWhoseAnswerWasCutDuringTheUpload") {
  constexpr std::size_t kItemBytes = 600'000;
  auto cuts = std::atomic<int>(0);
  const auto serve = [&](RawServer::Socket& socket,
                         const std::atomic<bool>& /*stopped*/) {
    constexpr auto kCuts = 4;
    const auto cut = cuts < kCuts;
    const auto request = ReadRequest(socket, cut ? 0 : kItemBytes);
    Write(socket, Head("200 OK", request) + "Response-Signature: s\r\n\r\n" +
                      (HeaderIn(request, "Last-Event-Id").empty()
                           ? "id: 1\ndata: one\n\n"
                           : ""));
    if (!cut) {
      Write(socket, "id: 2\ndata: two\n\n");
      socket.close();
      return;
    }
    ++cuts;
    std::this_thread::sleep_for(milliseconds(5));
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
  };
  auto fleet = RawFleet(serve, 2);
  // Base64 has four characters for three bytes.
  const auto body = JobBody({"a"}, std::string(kItemBytes / 3 * 4, 'A'));
  REQUIRE(fleet.node().Call("POST", "/jobs/1", "j1", body).status == 202);
  auto page = nlohmann::json();
  REQUIRE(Eventually([&] {
    page = fleet.node().ReadJob("j1");
    return page.is_object() && page.at("next") == 1;
  }));
  CHECK(page.at("results").at(0).at("state") == "completed");
  CHECK(page.at("results").at(0).at("text") == "one\ntwo");
}

// Guards against bytes that are passed on as an answer though they are none:
// heads with a status that does not exist or with a malformed field, and the
// body after such a head. They may be the first answer or that of the replica
// that goes on with a stream.
TEST_CASE("Gateway.TakesNoMalformedHeadForAnAnswer") {
  const auto heads = std::vector<std::pair<std::string, std::string>>{
      {"000 X", ""},
      {"099 X", ""},
      {"101 X", ""},
      {"600 X", ""},
      {"999 X", ""},
      {"20 X", ""},
      {"200 OK", "A b: c\r\n"},
      {"200 OK", "A\tb: c\r\n"},
      {"200 OK",
       "A\x01"
       "b: c\r\n"},
      {"200 OK", std::string("A\0b: c\r\n", 8)},
      {"200 OK", "A : c\r\n"},
  };
  auto chosen = std::atomic<std::size_t>(0);
  const auto serve = [&](RawServer::Socket& socket,
                         const std::atomic<bool>& stopped) {
    while (!stopped) {
      const auto request = ReadRequestHead(socket);
      const auto id = HeaderIn(request, "Request-Id");
      if (id.empty()) {
        break;
      }
      if (id.starts_with("go") && HeaderIn(request, "Last-Event-Id").empty()) {
        Write(socket,
              Head("200 OK", request) +
                  "Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"
                  "11\r\nid: 1\ndata: one\n\n\r\n");
        std::this_thread::sleep_for(milliseconds(20));
        break;
      }
      const auto& [line, fields] = heads[chosen];
      Write(socket, Head(line, request) + "Response-Signature: s\r\n" + fields +
                        "\r\n" + WholeAnswer(request));
      break;
    }
    socket.close();
  };
  auto fleet = RawFleet(serve, 2);
  for (chosen = 0; chosen < heads.size(); ++chosen) {
    INFO(heads[chosen].first << " " << heads[chosen].second);
    const auto id = std::to_string(chosen.load());
    for (const auto* target :
         {"/plain/x", "/plain/once/x", "/stream/x", "/stream/once/x"}) {
      const auto reply = fleet.node().Call("POST", target, "h" + id);
      CHECK((reply.status == 502 || reply.status == 503));
    }
    const auto reply = fleet.node().Call("POST", "/stream/x", "go" + id);
    CHECK_FALSE((reply.status == 200 && reply.complete));
  }
}

// Guards against a success with an empty or short body, framed as whole, when a
// replica stops inside the head of its answer and closes.
TEST_CASE("Gateway.TakesNoPartOfAHeadForAnAnswer") {
  const auto example = Head("200 OK", "\r\nRequest-Id: h000\r\n") +
                       "Response-Signature: s\r\nContent-Length: 14\r\n\r\n";
  auto size = std::atomic<std::size_t>(0);
  const auto serve = [&](RawServer::Socket& socket,
                         const std::atomic<bool>& stopped) {
    while (!stopped) {
      const auto request = ReadRequestHead(socket);
      const auto id = HeaderIn(request, "Request-Id");
      if (id.empty()) {
        break;
      }
      if (id.starts_with("warm")) {
        Write(socket, WholeAnswer(request));
        continue;
      }
      Write(socket, WholeAnswer(request).substr(0, size));
      break;
    }
    socket.close();
  };
  auto fleet = RawFleet(serve);
  for (size = 1; size < example.size(); ++size) {
    INFO(size.load());
    const auto id = std::to_string(100 + size.load());
    // On new connections and on kept ones.
    if (size % 2 == 0) {
      static_cast<void>(fleet.node().Call("POST", "/plain/x", "warm" + id));
    }
    for (const auto* target :
         {"/plain/x", "/plain/once/x", "/stream/x", "/stream/once/x"}) {
      const auto reply = fleet.node().Call("POST", target, "h" + id);
      CHECK((reply.status == 502 || reply.status == 503));
    }
  }
}

}  // namespace
}  // namespace kumquatgauge::testing
