#ifndef TESTING_GATEWAY_GATEWAY_PROCESS_H_
#define TESTING_GATEWAY_GATEWAY_PROCESS_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "testing/scenario/child_process.h"
#include "testing/scenario/http_fetch.h"
#include "testing/support/reserved_ports.h"

namespace kumquatgauge::testing {

// The credential by which the gateways of a test know each other.
inline constexpr auto kTestCredential = "test";
// The host of all routes of a test configuration.
inline constexpr auto kGatewayHost = "h.example";

// A route of the users' configuration; `extra` adds and replaces fields.
auto MakeRoute(const std::string& prefix,
               const std::string& kind,
               const nlohmann::json& extra) -> nlohmann::json;
// A configuration with a route of each kind: /plain/ (safe, two attempts),
// /plain/once/ (unsafe), /stream/ (resumable), /stream/once/ and /jobs/.
auto MakeConfiguration(int version) -> nlohmann::json;
inline constexpr std::uint64_t kItemTokens = 10;  // Of each item of JobBody.
// A job of these items, each sent to /jobs/1/ITEM with this body, in Base64.
auto JobBody(const std::vector<std::string>& items,
             const std::string& body = "q83vEjRWeJA=") -> std::string;

// The store's entry of a replica that is ready.
auto ServerEntry(const std::string& address,
                 const std::string& version = "",
                 int slots = 8) -> nlohmann::json;

// A real gateway process on 127.0.0.1, whose addresses stay the same when it is
// restarted.
class GatewayProcess {
 public:
  // Settings and logs go to `folder`. `memory_mb` is the limit in its settings.
  // `max_configuration_age_ms` is in them only if it is given.
  GatewayProcess(std::string program,
                 std::string name,
                 const std::string& store,
                 std::string folder,
                 std::uint32_t memory_mb = 256,
                 std::optional<int> max_configuration_age_ms = std::nullopt);

  // Starts the process, also after it has ended, with a log file of its own.
  auto Start() -> void;
  auto Call(const std::string& method,
            const std::string& target,
            const std::string& id,
            const std::string& body = "") const -> FetchReply;
  // Takes up a stream after an event; `resumes` is the request that began it.
  auto Resume(const std::string& target,
              const std::string& id,
              const std::string& resumes,
              int after) const -> FetchReply;
  auto Ready() const -> bool;
  // The addresses that the directory returns.
  auto Addresses() const -> std::vector<std::string>;
  // A page of a job's results; null if the gateway does not return it.
  auto ReadJob(const std::string& job, std::size_t after = 0) const
      -> nlohmann::json;
  auto Log() const -> std::string;

  auto process() -> ChildProcess& { return *process_; }
  auto callers() const -> const std::string& { return callers_; }
  auto readiness() const -> const std::string& { return readiness_; }
  auto directory() const -> const std::string& { return directory_; }
  // Its address for other gateways.
  auto nodes() const -> const std::string& { return nodes_; }
  auto name() const -> const std::string& { return name_; }
  // Number of starts of the process.
  auto starts() const -> int { return starts_; }

 private:
  auto LogFile() const -> std::string;

  std::string program_;
  std::string name_;
  std::string folder_;
  ReservedPorts ports_;
  std::string callers_;
  std::string readiness_;
  std::string directory_;
  std::string nodes_;
  std::string settings_;
  std::atomic<int> starts_ = 0;
  std::unique_ptr<ChildProcess> process_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_GATEWAY_GATEWAY_PROCESS_H_
