#include "kumquatgauge/upstream/http_service_client.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include "kumquatgauge/base/error.h"
#include "testing/fake_service/fake_service.h"
#include "testing/support/raw_client.h"
#include "testing/support/run_until.h"

namespace kumquatgauge::upstream {
namespace {

namespace asio = boost::asio;
using testing::FakeService;
using testing::FakeServiceFaults;
using testing::RunAwait;

constexpr std::chrono::milliseconds kTimeout{500};
constexpr bool kRepeatable = true;

auto Pay() -> ServiceRequest {
  return {"POST",
          "/confirm?table=4",
          {{"Idempotency-Key", "key-1"}, {"Connection", "close"}},
          R"({"amount":12})"};
}

struct Fixture {
  auto Send(bool repeatable, std::chrono::milliseconds timeout = kTimeout)
      -> ServiceResponse {
    return RunAwait(context,
                    client.Send(service.address(), Pay(), repeatable, timeout));
  }
  auto SendError(bool repeatable) -> std::optional<ErrorKind> {
    try {
      Send(repeatable);
    } catch (const Error& error) {
      return error.kind();
    }
    return std::nullopt;
  }

  asio::io_context context{1};
  FakeService service{context, {}};
  HttpServiceClient client{context.get_executor()};
};

// Guards against forwarding hop-by-hop headers and against dropping others.
TEST_CASE("HttpServiceClient.PassesMethodTargetHeadersAndBody") {
  Fixture fixture;
  const auto response = fixture.Send(!kRepeatable);
  const auto body = nlohmann::json::parse(response.body);
  CHECK(response.status == 200);
  CHECK(body["method"] == "POST");
  CHECK(body["target"] == "/confirm?table=4");
  CHECK(body["idempotency_key"] == "key-1");
  CHECK(body["body"] == R"({"amount":12})");
  CHECK_FALSE(body["headers"].contains("connection"));
}

// Guards against a payment sent on a connection that the service may be
// closing.
TEST_CASE("HttpServiceClient.SendsEachNonRepeatableCallOnAFreshConnection") {
  Fixture fixture;
  fixture.Send(!kRepeatable);
  fixture.Send(!kRepeatable);
  CHECK(fixture.service.server().accepted() == 2);
}

TEST_CASE("HttpServiceClient.ReusesConnectionsForRepeatableCalls") {
  Fixture fixture;
  fixture.Send(kRepeatable);
  fixture.Send(kRepeatable);
  CHECK(fixture.service.server().accepted() == 1);
}

// Guards against an unknown outcome of a repeatable call on a stale connection.
TEST_CASE("HttpServiceClient.RepeatableCallSurvivesClosedIdleConnection") {
  Fixture fixture;
  fixture.Send(kRepeatable);
  fixture.service.server().CloseIdle();
  CHECK_FALSE(fixture.SendError(kRepeatable));
  CHECK(fixture.service.executions().size() == 2);
}

// Guards against an unknown outcome of a call that certainly did not run.
TEST_CASE("HttpServiceClient.IsUnavailableWhenNothingListens") {
  Fixture fixture;
  fixture.service.server().Close();
  CHECK(fixture.SendError(!kRepeatable) == ErrorKind::kUnavailable);
  CHECK(fixture.service.executions().empty());
}

// Guards against a second execution after a lost response.
TEST_CASE("HttpServiceClient.LostAnswerIsUnknownAndIsSentOnce") {
  Fixture fixture;
  FakeServiceFaults faults;
  faults.lose_answers = true;
  fixture.service.set_faults(faults);
  CHECK(fixture.SendError(!kRepeatable) == ErrorKind::kUnknownOutcome);
  CHECK(fixture.service.executions().size() == 1);
}

TEST_CASE("HttpServiceClient.LateAnswerIsUnknown") {
  Fixture fixture;
  FakeServiceFaults faults;
  faults.freeze = true;
  fixture.service.set_faults(faults);
  CHECK(fixture.SendError(!kRepeatable) == ErrorKind::kUnknownOutcome);
}

TEST_CASE("HttpServiceClient.DeathDuringExecutionIsUnknown") {
  Fixture fixture;
  FakeServiceFaults faults;
  faults.die_after = 1;
  fixture.service.set_faults(faults);
  CHECK(fixture.SendError(!kRepeatable) == ErrorKind::kUnknownOutcome);
}

// Guards against a refusal by the service being hidden from the caller.
TEST_CASE("HttpServiceClient.PassesOnARefusalOfTheService") {
  Fixture fixture;
  FakeServiceFaults faults;
  faults.refuse = true;
  fixture.service.set_faults(faults);
  CHECK(fixture.Send(!kRepeatable).status == 503);
  CHECK(fixture.service.executions().empty());
}

// A listener that accepts a connection, reads a request and sends `answer`.
struct ScriptedService {
  ScriptedService(asio::io_context& context, std::string answer)
      : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}) {
    asio::co_spawn(context, Serve(acceptor, std::move(answer), accepted),
                   asio::detached);
  }
  static auto Serve(asio::ip::tcp::acceptor& acceptor,
                    std::string answer,
                    int& accepted) -> asio::awaitable<void> {
    while (true) {
      auto socket = co_await acceptor.async_accept(asio::use_awaitable);
      ++accepted;
      std::string request;
      co_await asio::async_read_until(socket, asio::dynamic_buffer(request),
                                      "\r\n\r\n", asio::use_awaitable);
      co_await asio::async_write(socket, asio::buffer(answer),
                                 asio::use_awaitable);
    }
  }
  auto address() const -> std::string {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }

  asio::ip::tcp::acceptor acceptor;
  int accepted = 0;
};

// Guards against an incomplete response being returned as a complete one.
TEST_CASE("HttpServiceClient.BrokenAnswerIsUnknownAndNotSentAgain") {
  const std::string answer =
      GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
               "HTTP/1.1 200 OK\r\nContent-", "garbage\r\n\r\n", "");
  Fixture fixture;
  ScriptedService service(fixture.context, answer);
  const auto repeatable = GENERATE(true, false);
  std::optional<ErrorKind> kind;
  try {
    RunAwait(fixture.context, fixture.client.Send(service.address(), Pay(),
                                                  repeatable, kTimeout));
  } catch (const Error& error) {
    kind = error.kind();
  }
  CHECK(kind == ErrorKind::kUnknownOutcome);
  CHECK(service.accepted == 1);
}

// Guards against a body that is taken for a response, since the head before it
// has a status that does not exist and was taken for an interim one, and
// against heads that are no responses.
TEST_CASE("HttpServiceClient.TakesNoMalformedHeadForAResponse") {
  const auto head = std::string(GENERATE(
      "HTTP/1.1 000 X\r\n", "HTTP/1.1 099 X\r\n", "HTTP/1.1 101 X\r\n",
      "HTTP/1.1 600 X\r\n", "HTTP/1.1 999 X\r\n",
      "HTTP/1.1 200 OK\r\nA b: c\r\n", "HTTP/1.1 200 OK\r\nA\tb: c\r\n",
      "HTTP/1.1 200 OK\r\nA\x01: c\r\n", "HTTP/1.1 200 OK\r\nA : c\r\n"));
  CAPTURE(head);
  Fixture fixture;
  ScriptedService service(
      fixture.context,
      head + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  std::optional<ErrorKind> kind;
  try {
    RunAwait(fixture.context,
             fixture.client.Send(service.address(), Pay(), false, kTimeout));
  } catch (const Error& error) {
    kind = error.kind();
  }
  CHECK(kind == ErrorKind::kUnknownOutcome);
}

// Guards against a part of a response that is taken for a whole one, because
// the failed write hides from the read that the connection was reset.
TEST_CASE("HttpServiceClient.TakesNoResponseCutDuringTheUploadForAWholeOne") {
  Fixture fixture;
  auto acceptor = asio::ip::tcp::acceptor(
      fixture.context, {asio::ip::address_v4::loopback(), 0});
  const auto serve =
      [](asio::ip::tcp::acceptor* listener) -> asio::awaitable<void> {
    auto socket = co_await listener->async_accept(asio::use_awaitable);
    auto bytes = std::string(1'000, '\0');
    co_await socket.async_read_some(asio::buffer(bytes), asio::use_awaitable);
    auto answer = std::string("HTTP/1.1 200 OK\r\n\r\npart");
    co_await asio::async_write(socket, asio::buffer(answer),
                               asio::use_awaitable);
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  };
  asio::co_spawn(fixture.context, serve(&acceptor), asio::detached);
  auto request = Pay();
  request.body = std::string(2'000'000, 'x');
  const auto address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  std::optional<ErrorKind> kind;
  try {
    RunAwait(fixture.context,
             fixture.client.Send(address, request, false, kTimeout));
  } catch (const Error& error) {
    kind = error.kind();
  }
  CHECK(kind == ErrorKind::kUnknownOutcome);
}

// Guards against an interim response taken for the final one.
TEST_CASE("HttpServiceClient.SkipsInterimResponses") {
  Fixture fixture;
  ScriptedService service(
      fixture.context,
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok");
  const auto response =
      RunAwait(fixture.context,
               fixture.client.Send(service.address(), Pay(), false, kTimeout));
  CHECK(response.status == 201);
  CHECK(response.body == "ok");
}

}  // namespace
}  // namespace kumquatgauge::upstream
