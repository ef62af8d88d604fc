#ifndef KUMQUATGAUGE_OPERATOR_OPERATOR_SERVER_H_
#define KUMQUATGAUGE_OPERATOR_OPERATOR_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "kumquatgauge/base/credential.h"
#include "kumquatgauge/operator/command_executor.h"

namespace kumquatgauge::operators {

// HTTP server for operators, run by the control thread. It accepts
// POST /v1/command with the body {"command": "...", "operation_id": "..."} and
// the header "Authorization: Bearer TOKEN".
class OperatorServer {
 public:
  // Listens on `address` ("IP:port"; port 0 picks a free one), as soon as
  // nobody else uses it. Throws Error(kUnavailable) when it cannot be bound for
  // another reason.
  OperatorServer(boost::asio::io_context& context,
                 const std::string& address,
                 OperatorCredentials credentials,
                 CommandExecutor& executor);
  ~OperatorServer();

  auto port() const -> std::uint16_t;
  // Stops listening. Open connections are not closed.
  auto Stop() -> void;

 private:
  class State;
  std::shared_ptr<State> state_;
};

}  // namespace kumquatgauge::operators

#endif  // KUMQUATGAUGE_OPERATOR_OPERATOR_SERVER_H_
