#ifndef TESTING_SCENARIO_HTTP_FETCH_H_
#define TESTING_SCENARIO_HTTP_FETCH_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace kumquatgauge::testing {

struct FetchRequest {
  std::string address;  // "IP:port"
  std::string method = "GET";
  std::string target = "/";
  std::map<std::string, std::string> headers;
  std::string body;
  std::chrono::milliseconds timeout{10'000};
};

struct FetchReply {
  bool connected = false;
  bool complete = false;  // The whole response was received.
  int status = 0;
  std::map<std::string, std::string> headers;  // Lower-case names.
  std::string body;
  std::optional<double> first_byte_ms;  // Of the body.
  double total_ms = 0.0;
};

// Sends one request on a connection of its own and waits for the response or
// the timeout. Does not throw for failures of the other side.
auto Fetch(const FetchRequest& request) -> FetchReply;

}  // namespace kumquatgauge::testing

#endif  // TESTING_SCENARIO_HTTP_FETCH_H_
