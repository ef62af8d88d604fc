#include "testing/gateway/gateway_process.h"

#include <fstream>
#include <utility>

namespace kumquatgauge::testing {
namespace {

using nlohmann::json;

}  // namespace

auto MakeRoute(const std::string& prefix,
               const std::string& kind,
               const json& extra) -> json {
  json route = {{"name", "r" + prefix},  {"host", kGatewayHost},
                {"path_prefix", prefix}, {"kind", kind},
                {"timeout_ms", 5000},    {"target_latency_ms", 300},
                {"priority", 0},         {"service", "svc"},
                {"max_attempts", 2},     {"gap_aim_ms", 300}};
  route.update(extra);
  return route;
}

auto MakeConfiguration(int version) -> json {
  return {{"version", version},
          {"routes",
           {MakeRoute("/plain/", "safe", json::object()),
            MakeRoute("/plain/once/", "unsafe", {{"max_attempts", 1}}),
            MakeRoute("/stream/", "stream", {{"resumable", true}}),
            MakeRoute("/stream/once/", "stream", {{"max_attempts", 1}}),
            MakeRoute("/jobs/", "batch",
                      {{"completion_target_ms", 18000},
                       {"max_attempts", 3},
                       {"retention_s", 60}})}},
          {"services", {{{"name", "svc"}, {"max_connections", 100}}}}};
}

auto JobBody(const std::vector<std::string>& items, const std::string& body)
    -> std::string {
  auto list = json::array();
  for (const auto& item : items) {
    list.push_back({{"id", item},
                    {"path", "/jobs/1/" + item},
                    {"headers", {{"Model", "m"}}},
                    {"body", body},
                    {"tokens", kItemTokens}});
  }
  return json{{"items", list}}.dump();
}

auto ServerEntry(const std::string& address,
                 const std::string& version,
                 int slots) -> json {
  return {{"service", "svc"},       {"address", address}, {"zone", "a"},
          {"version", version},     {"slots", slots},     {"state", "ready"},
          {"cold_remaining_ms", 0}, {"sequence", 1}};
}

GatewayProcess::GatewayProcess(std::string program,
                               std::string name,
                               const std::string& store,
                               std::string folder,
                               std::uint32_t memory_mb,
                               std::optional<int> max_configuration_age_ms)
    : program_(std::move(program)),
      name_(std::move(name)),
      folder_(std::move(folder)),
      callers_(ports_.Add()),
      readiness_(ports_.Add()),
      directory_(ports_.Add()),
      nodes_(ports_.Add()),
      settings_(folder_ + "/" + name_ + ".toml") {
  auto file = std::ofstream(settings_);
  file << "[node]\nname = \"" << name_ << "\"\nzone = \"a\"\n"
       << "fleet_credential = \"" << kTestCredential
       << "\"\n[listen]\ncallers = \"" << callers_ << "\"\nreadiness = \""
       << readiness_ << "\"\ndirectory = \"" << directory_ << "\"\nnodes = \""
       << nodes_ << "\"\n[store]\naddress = \"" << store
       << "\"\n[limits]\nstop_s = 8\n"
       << "memory_mb = " << memory_mb << "\n";
  if (max_configuration_age_ms) {
    file << "[keys]\nmax_configuration_age_ms = " << *max_configuration_age_ms
         << "\n";
  }
  file.close();
  Start();
}

auto GatewayProcess::LogFile() const -> std::string {
  return folder_ + "/" + name_ + "." + std::to_string(starts_) + ".log";
}

auto GatewayProcess::Start() -> void {
  process_.reset();
  ++starts_;
  process_ = std::make_unique<ChildProcess>(
      std::vector<std::string>{program_, settings_}, LogFile(),
      folder_ + "/" + name_ + ".err");
}

auto GatewayProcess::Call(const std::string& method,
                          const std::string& target,
                          const std::string& id,
                          const std::string& body) const -> FetchReply {
  auto request = FetchRequest();
  request.address = callers_;
  request.method = method;
  request.target = target;
  request.headers = {{"Host", kGatewayHost}, {"Request-Id", id}};
  request.body = body;
  return Fetch(request);
}

auto GatewayProcess::Resume(const std::string& target,
                            const std::string& id,
                            const std::string& resumes,
                            int after) const -> FetchReply {
  auto request = FetchRequest();
  request.address = callers_;
  request.method = "POST";
  request.target = target;
  request.headers = {{"Host", kGatewayHost},
                     {"Request-Id", id},
                     {"Last-Event-Id", std::to_string(after)}};
  if (!resumes.empty()) {
    request.headers["Resumes"] = resumes;
  }
  return Fetch(request);
}

auto GatewayProcess::Ready() const -> bool {
  return Fetch({readiness_, "GET", "/api/ready", {}, ""}).status == 200;
}

auto GatewayProcess::Addresses() const -> std::vector<std::string> {
  const auto reply = Fetch({directory_, "GET", "/api/resolve?name=x", {}, ""});
  return reply.status == 200 ? json::parse(reply.body)
                                   .at("addresses")
                                   .get<std::vector<std::string>>()
                             : std::vector<std::string>();
}

auto GatewayProcess::ReadJob(const std::string& job, std::size_t after) const
    -> json {
  const auto reply =
      Call("GET", "/api/lots/" + job + "?after=" + std::to_string(after), "");
  return reply.status == 200 && reply.complete ? json::parse(reply.body)
                                               : json();
}

auto GatewayProcess::Log() const -> std::string {
  auto file = std::ifstream(LogFile());
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace kumquatgauge::testing
