#ifndef KUMQUATGAUGE_OPERATOR_OPERATOR_SERVER_H_
#define KUMQUATGAUGE_OPERATOR_OPERATOR_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "kumquatgauge/base/credential.h"
#include "kumquatgauge/operator/command_executor.h"

namespace kumquatgauge::operators {

// HTTP server for operators, on the control thread: POST /v1/command with
// {"command": "...", "operation_id": "..."} and Authorization: Bearer TOKEN.
class OperatorServer {
 public:
  // Listens at `address` ("IP:port", port 0 for any). Throws Error that names
  // the address when it is taken.
  OperatorServer(boost::asio::io_context& context,
                 const std::string& address,
                 OperatorCredentials credentials,
                 CommandExecutor& executor);
  ~OperatorServer();

  auto port() const -> std::uint16_t;
  // Stops listening and closes the connections.
  auto Stop() -> void;

 private:
  class State;
  std::shared_ptr<State> state_;
};

}  // namespace kumquatgauge::operators

#endif  // KUMQUATGAUGE_OPERATOR_OPERATOR_SERVER_H_
