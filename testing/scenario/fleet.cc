#include "testing/scenario/fleet.h"

#include <chrono>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace kumquatgauge::testing {
namespace {

constexpr auto kStartLimit = std::chrono::seconds(10);
constexpr auto kStartPoll = std::chrono::milliseconds(10);
constexpr auto kToken = "operator-token-for-scenarios";
constexpr auto kFleetCredential = "fleet-credential-for-scenarios";
constexpr auto kListening = std::string_view("listening on ");

auto WriteFile(const std::string& path, const std::string& text) -> void {
  std::ofstream(path) << text;
}

auto FirstLine(const std::string& path) -> std::string {
  auto file = std::ifstream(path);
  auto line = std::string();
  std::getline(file, line);
  return file.eof() ? std::string() : line;
}

}  // namespace

Fleet::Fleet(std::string build, std::string folder)
    : build_(std::move(build)), folder_(std::move(folder)) {
  WriteFile(folder_ + "/fleet.txt", std::string(kFleetCredential) + "\n");
  WriteFile(folder_ + "/operators.txt",
            std::string("scenario change ") + kToken + "\n");
}

auto Fleet::StartFake(const std::string& name,
                      const std::string& program,
                      const ProgramOptions& options) -> void {
  auto arguments = std::vector<std::string>{build_ + "/" + program};
  const auto known = fakes_.find(name);
  arguments.insert(
      arguments.end(),
      {"--listen", known == fakes_.end() ? "127.0.0.1:0" : known->second});
  for (const auto& [option, value] : options) {
    arguments.insert(arguments.end(), {"--" + option, value});
  }
  const auto out = folder_ + "/" + name + ".out";
  processes_[name] =
      std::make_unique<ChildProcess>(arguments, out, log_file(name));
  const auto deadline = std::chrono::steady_clock::now() + kStartLimit;
  auto line = FirstLine(out);
  while (!line.starts_with(kListening)) {
    if (std::chrono::steady_clock::now() >= deadline) {
      throw std::runtime_error(name + " did not start");
    }
    std::this_thread::sleep_for(kStartPoll);
    line = FirstLine(out);
  }
  fakes_[name] = line.substr(kListening.size());
}

auto Fleet::StartNode(const std::string& name, const std::string& zone)
    -> void {
  auto seeds = std::string();
  for (const auto& [other, addresses] : nodes_) {
    seeds += (seeds.empty() ? "\"" : ", \"") + addresses.nodes + "\"";
  }
  const auto addresses = NodeAddresses{.zone = zone,
                                       .callers = ports_.Add(),
                                       .operators = ports_.Add(),
                                       .nodes = ports_.Add()};
  nodes_[name] = addresses;
  WriteFile(folder_ + "/" + name + ".toml",
            "[node]\nname = \"" + name + "\"\nzone = \"" + zone +
                "\"\n[callers]\nlisten = \"" + addresses.callers +
                "\"\nanswer_ttl_s = 1\n[operators]\nlisten = \"" +
                addresses.operators + "\"\ncredentials_file = \"" + folder_ +
                "/operators.txt\"\n[nodes]\nlisten = \"" + addresses.nodes +
                "\"\nfleet_credential_file = \"" + folder_ +
                "/fleet.txt\"\nseeds = [" + seeds +
                "]\n[platform]\naddress = \"" + fakes_.at("platform") + "\"\n");
  Launch(name);
}

auto Fleet::RestartNode(const std::string& name) -> void {
  processes_.erase(name);
  Launch(name);
}

auto Fleet::Launch(const std::string& name) -> void {
  const auto arguments = std::vector<std::string>{
      build_ + "/kqg-node", folder_ + "/" + name + ".toml"};
  processes_[name] = std::make_unique<ChildProcess>(
      arguments, folder_ + "/" + name + ".out", log_file(name));
}

auto Fleet::RestartNodes(const std::vector<std::string>& order) -> void {
  for (const auto& name : order) {
    processes_.at(name)->Signal(SIGKILL);
  }
  for (const auto& name : order) {
    RestartNode(name);
  }
}

auto Fleet::process(const std::string& name) -> ChildProcess& {
  const auto found = processes_.find(name);
  if (found == processes_.end()) {
    throw std::runtime_error("no process " + name);
  }
  return *found->second;
}

auto Fleet::address(const std::string& name) const -> const std::string& {
  const auto found = fakes_.find(name);
  if (found == fakes_.end()) {
    throw std::runtime_error("no fake " + name);
  }
  return found->second;
}

auto Fleet::caller_address(const std::string& node) const
    -> const std::string& {
  return nodes_.at(node).callers;
}

auto Fleet::nodes() const -> std::vector<std::string> {
  auto names = std::vector<std::string>();
  for (const auto& [name, addresses] : nodes_) {
    names.push_back(name);
  }
  return names;
}

auto Fleet::names_with_prefix(const std::string& prefix) const
    -> std::vector<std::string> {
  auto names = std::vector<std::string>();
  for (const auto& [name, address] : fakes_) {
    if (name.starts_with(prefix) && name != "platform") {
      names.push_back(name);
    }
  }
  return names;
}

auto Fleet::record_file(const std::string& name) const -> std::string {
  return folder_ + "/" + name + ".jsonl";
}

auto Fleet::log_file(const std::string& name) const -> std::string {
  return folder_ + "/" + name + ".err";
}

auto Fleet::Operate(const std::string& node, const std::string& command) const
    -> nlohmann::json {
  auto body = nlohmann::json();
  body["command"] = command;
  const auto reply =
      Fetch({.address = nodes_.at(node).operators,
             .method = "POST",
             .target = "/v1/command",
             .headers = {{"Authorization", std::string("Bearer ") + kToken}},
             .body = body.dump(),
             .timeout = std::chrono::seconds(20)});
  return nlohmann::json::parse(reply.body, nullptr, false);
}

}  // namespace kumquatgauge::testing
