#include "kumquatgauge/caller/http_listener.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "testing/support/raw_client.h"

namespace kumquatgauge::caller {
namespace {

using testing::RawClient;

struct Fixture {
  Fixture() { listener.Start(); }

  // Sends bytes on a new connection and returns everything received on it.
  auto Exchange(const std::string& bytes) -> std::string {
    auto client = RawClient(context, listener.address());
    client.Send(bytes);
    return client.ReadToEnd();
  }

  boost::asio::io_context context{1};
  std::vector<IncomingRequest> requests;
  HttpListener listener{context, "127.0.0.1:0", ListenerLimits(),
                        [this](std::shared_ptr<const IncomingRequest> request,
                               std::shared_ptr<ResponseWriter> writer)
                            -> boost::asio::awaitable<void> {
                          requests.push_back(*request);
                          co_await writer->Send(200, {}, "ok");
                        }};
};

// Guards against an error whose head and text stand in the middle of a stream
// that has begun, or which ends it as if it were complete.
TEST_CASE("HttpListener.SendsNoSecondAnswer") {
  auto context = boost::asio::io_context(1);
  auto sent = true;
  auto listener =
      HttpListener(context, "127.0.0.1:0", ListenerLimits(),
                   [&](std::shared_ptr<const IncomingRequest> /*request*/,
                       std::shared_ptr<ResponseWriter> writer)
                       -> boost::asio::awaitable<void> {
                     co_await writer->BeginStream(200, {});
                     co_await writer->WriteChunk("event");
                     sent = co_await writer->Send(502, {}, "error");
                   });
  listener.Start();
  auto client = RawClient(context, listener.address());
  client.Send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
  const auto answer = client.ReadToEnd();
  CHECK_FALSE(sent);
  CHECK(answer.ends_with("5\r\nevent\r\n"));
}

constexpr auto kLast =
    "GET /last HTTP/1.1\r\nHost: h\r\n"
    "Connection: close\r\n\r\n";

// Guards against request smuggling: bytes of one request must not be parsed as
// another request.
TEST_CASE("HttpListener.SeparatesRequestsByTheirFraming") {
  auto fixture = Fixture();
  const std::string inner = "POST /inner HTTP/1.1\r\nHost: h\r\n\r\n";
  const auto length = std::to_string(inner.size());
  fixture.Exchange(
      "GET /get HTTP/1.1\r\nHost: h\r\nContent-Length: " + length + "\r\n\r\n" +
      inner +
      "POST /chunks HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5;name=\"a;b\"\r\nhello\r\n0;x=y\r\n\r\n" +
      "POST /folded HTTP/1.1\r\nHost: h\r\nModel: a\r\n  b\r\n"
      "Content-Length: 2\r\n\r\nxy" +
      kLast + inner);
  REQUIRE(fixture.requests.size() == 4);
  CHECK(fixture.requests[0].method == "GET");
  CHECK(fixture.requests[0].target == "/get");
  CHECK(fixture.requests[0].body == inner);
  CHECK(fixture.requests[1].target == "/chunks");
  CHECK(fixture.requests[1].body == "hello");
  CHECK(fixture.requests[2].target == "/folded");
  CHECK(fixture.requests[2].body == "xy");
  CHECK(FindHeader(fixture.requests[2].headers, "Model") == "a b");
  CHECK(fixture.requests[3].target == "/last");
}

// Guards against a request smuggled in the body of another one whose length is
// ambiguous or given by an encoding that this server does not support.
TEST_CASE("HttpListener.RefusesAmbiguousFraming") {
  const std::string inner = "POST /inner HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const auto* framing :
       {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n",
        "Content-Length: 4, 5\r\n", "Content-Length: +4\r\n",
        "Content-Length: -4\r\n", "Content-Length : 4\r\n",
        "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: chunked, gzip\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: identity\r\n"}) {
    CAPTURE(framing);
    auto fixture = Fixture();
    const auto answer =
        fixture.Exchange("POST /outer HTTP/1.1\r\nHost: h\r\n" +
                         std::string(framing) + "\r\n" + inner + kLast);
    CHECK(answer.starts_with("HTTP/1.1 400"));
    CHECK(fixture.requests.empty());
  }
}

// Guards against trailers of a chunked body that change the request headers.
TEST_CASE("HttpListener.TakesNoHeadersFromTrailers") {
  auto fixture = Fixture();
  fixture.Exchange(
      "POST /chunks HTTP/1.1\r\nHost: h\r\nModel: m\r\n"
      "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
      "5\r\nhello\r\n0\r\nModel: other\r\nRequest-Id: 7\r\n\r\n");
  REQUIRE(fixture.requests.size() == 1);
  CHECK(fixture.requests[0].body == "hello");
  CHECK(fixture.requests[0].headers ==
        HeaderList{{"Host", "h"},
                   {"Model", "m"},
                   {"Transfer-Encoding", "chunked"},
                   {"Connection", "close"}});
}

}  // namespace
}  // namespace kumquatgauge::caller
