#ifndef KUMQUATGAUGE_OPERATOR_COMMAND_EXECUTOR_H_
#define KUMQUATGAUGE_OPERATOR_COMMAND_EXECUTOR_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "kumquatgauge/base/credential.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/operator/command.h"
#include "kumquatgauge/operator/operator_backend.h"

namespace kumquatgauge::operators {

// The operator and the address that sent a command.
struct CommandOrigin {
  OperatorCredential credential;
  std::string address;
  std::string operation_id;  // Chosen by the client; makes retries safe.
};

// Parses commands and runs them against the backend: checks the role of the
// operator, filters and orders rows, returns the fields that a change affects,
// and waits for a change to be in force.
class CommandExecutor {
 public:
  // Waits for the given time. Tests pass a function that returns immediately.
  using Pause = std::function<auto(Duration)->boost::asio::awaitable<void>>;

  CommandExecutor(OperatorBackend& backend, Clock clock, Pause pause);

  // Runs one command line. Returns {"ok":true,"rows":[...]}; throws Error when
  // the command fails.
  auto Run(std::string line, CommandOrigin origin)
      -> boost::asio::awaitable<nlohmann::json>;

 private:
  auto Show(const Command& command) -> boost::asio::awaitable<nlohmann::json>;
  auto ChangeConfiguration(const Command& command,
                           const std::string& line,
                           const CommandOrigin& origin)
      -> boost::asio::awaitable<nlohmann::json>;
  auto WaitUntilInForce(std::uint64_t revision, Duration limit)
      -> boost::asio::awaitable<nlohmann::json>;
  auto RunAction(const Command& command, const CommandOrigin& origin)
      -> boost::asio::awaitable<nlohmann::json>;

  OperatorBackend& backend_;
  Clock clock_;
  Pause pause_;
};

// Applies the names and the where, order and limit clauses of `command` to an
// array of row objects.
// Throws Error(kInvalidArgument) for a field that no row has.
auto SelectRows(const Command& command, nlohmann::json rows) -> nlohmann::json;

}  // namespace kumquatgauge::operators

#endif  // KUMQUATGAUGE_OPERATOR_COMMAND_EXECUTOR_H_
