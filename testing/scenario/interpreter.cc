#include "testing/scenario/interpreter.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "kumquatgauge/operator/command_executor.h"
#include "testing/scenario/http_fetch.h"
#include "testing/support/fake_tokens.h"

namespace kumquatgauge::testing {
namespace {

using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr auto kPoll = milliseconds(50);
constexpr auto kNodeStartLimit = std::chrono::seconds(10);
constexpr auto kDefaultJobLimitSeconds = 60;
// A cancelled job may start items for this long after the acknowledgement.
constexpr auto kCancelGraceMs = 2'000;
constexpr auto kStatusOk = 200;

auto Verbs() -> const std::vector<std::string>& {
  static const auto verbs = std::vector<std::string>{
      "start",  "configure", "operate", "send",   "join",
      "submit", "cancel",    "wait",    "kill",   "stop",
      "wake",   "freeze",    "fault",   "expect", "restart"};
  return verbs;
}

auto Field(const operators::Command& command, const std::string& name)
    -> const nlohmann::json* {
  for (const auto& assignment : command.fields) {
    if (assignment.field == name) {
      return &assignment.value;
    }
  }
  return nullptr;
}

template <typename T>
auto FieldOr(const operators::Command& command,
             const std::string& name,
             T fallback) -> T {
  const auto* value = Field(command, name);
  return value == nullptr ? fallback : value->get<T>();
}

auto TextOf(const nlohmann::json& value) -> std::string {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

auto Name(const operators::Command& command, std::size_t index = 0)
    -> const std::string& {
  if (command.names.size() <= index) {
    throw std::runtime_error(command.verb + " " + command.kind +
                             " needs a name");
  }
  return command.names[index];
}

auto ZonesOf(const operators::Command& command) -> std::vector<std::string> {
  return FieldOr(command, "zones",
                 std::vector<std::string>{"zone-a", "zone-b", "zone-c"});
}

// Options of a program from the fields of a command: token_us=5 becomes
// --token-us 5.
auto OptionsOf(const operators::Command& command) -> ProgramOptions {
  auto options = ProgramOptions();
  for (const auto& assignment : command.fields) {
    auto name = assignment.field;
    std::replace(name.begin(), name.end(), '_', '-');
    if (name != "zones") {
      options[name] = TextOf(assignment.value);
    }
  }
  return options;
}

auto WallMs() -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

auto ParseLines(const std::string& text) -> std::vector<nlohmann::json> {
  auto rows = std::vector<nlohmann::json>();
  auto lines = std::istringstream(text);
  for (auto line = std::string(); std::getline(lines, line);) {
    auto row = nlohmann::json::parse(line, nullptr, false);
    if (row.is_object()) {
      rows.push_back(std::move(row));
    }
  }
  return rows;
}

}  // namespace

Interpreter::Interpreter(std::string build,
                         std::string folder,
                         std::uint64_t seed)
    : build_(std::move(build)),
      random_(seed),
      fleet_(std::make_unique<Fleet>(build_, std::move(folder))) {}

Interpreter::~Interpreter() {
  watching_ = false;
  if (watcher_.joinable()) {
    watcher_.join();
  }
  loads_.clear();
}

auto Interpreter::RunLine(const std::string& line) -> void {
  if (line.empty() || line.starts_with('#')) {
    return;
  }
  const auto command = operators::ParseCommand(line, Verbs());
  if (command.verb == "start") {
    Start(command);
  } else if (command.verb == "configure") {
    Configure(command);
  } else if (command.verb == "operate") {
    last_answer_ = fleet_->Operate(Name(command),
                                   FieldOr(command, "command", std::string()));
  } else if (command.verb == "send") {
    Send(command);
  } else if (command.verb == "join") {
    loads_.at(Name(command))->Join();
  } else if (command.verb == "submit") {
    Submit(command);
  } else if (command.verb == "cancel") {
    Cancel(command);
  } else if (command.verb == "wait") {
    Wait(command);
  } else if (command.verb == "kill") {
    fleet_->process(Name(command)).Signal(SIGKILL);
    unavailable_.insert(Name(command));
  } else if (command.verb == "stop") {
    fleet_->process(Name(command)).Signal(SIGTERM);
    unavailable_.insert(Name(command));
  } else if (command.verb == "freeze") {
    fleet_->process(Name(command)).Signal(SIGSTOP);
    unavailable_.insert(Name(command));
  } else if (command.verb == "wake") {
    fleet_->process(Name(command)).Signal(SIGCONT);
    unavailable_.erase(Name(command));
  } else if (command.verb == "restart" && command.kind == "fleet") {
    RestartFleet(command);
  } else if (command.verb == "restart") {
    fleet_->RestartNode(Name(command));
    unavailable_.erase(Name(command));
  } else if (command.verb == "fault") {
    Fault(command);
  } else {
    Expect(command);
  }
}

auto Interpreter::Start(const Command& command) -> void {
  if (command.kind == "platform") {
    fleet_->StartFake("platform", "kqg-fake-platform", OptionsOf(command));
    return;
  }
  if (command.kind == "nodes") {
    StartNodes(command);
    return;
  }
  const auto engines = command.kind == "engines";
  const auto count = std::stoul(Name(command));
  for (auto index = std::size_t{0}; index < count; ++index) {
    const auto name = (engines ? "e" : "p") + std::to_string(index);
    auto options = OptionsOf(command);
    options["record"] = fleet_->record_file(name);
    if (engines) {
      options.emplace("models", "tab-writer@1");
    }
    fleet_->StartFake(name, engines ? "kqg-fake-engine" : "kqg-fake-service",
                      options);
  }
}

auto Interpreter::StartNodes(const Command& command) -> void {
  const auto zones = ZonesOf(command);
  const auto count = std::stoul(Name(command));
  for (auto index = std::size_t{0}; index < count; ++index) {
    fleet_->StartNode("n" + std::to_string(index), zones[index % zones.size()]);
  }
  WaitForFullMembership(kNodeStartLimit);
  watching_ = true;
  watcher_ = std::thread([this] { WatchRevisions(); });
}

auto Interpreter::LiveNodesSeenBy(const std::string& node) const
    -> std::set<std::string> {
  const auto answer = fleet_->Operate(node, "show nodes");
  auto seen = std::set<std::string>();
  if (answer.is_object() && answer.contains("rows")) {
    for (const auto& row : answer["rows"]) {
      if (row.value("state", "") == "alive") {
        seen.insert(row.value("name", ""));
      }
    }
  }
  return seen;
}

auto Interpreter::WaitForFullMembership(std::chrono::milliseconds limit)
    -> void {
  const auto names = fleet_->nodes();
  const auto all = std::set<std::string>(names.begin(), names.end());
  const auto deadline = SteadyClock::now() + limit;
  for (const auto& node : names) {
    while (LiveNodesSeenBy(node) != all) {
      const auto status = fleet_->process(node).WaitForExit(milliseconds(0));
      if (status) {
        throw std::runtime_error(node + " ended with " +
                                 std::to_string(*status) + " at its start");
      }
      if (SteadyClock::now() >= deadline) {
        throw std::runtime_error(
            "not all " + std::to_string(all.size()) +
            " nodes see each other:" + DescribeMembershipViews());
      }
      std::this_thread::sleep_for(kPoll);
    }
  }
}

auto Interpreter::DescribeMembershipViews() const -> std::string {
  auto text = std::string();
  for (const auto& node : fleet_->nodes()) {
    text += " " + node + " sees";
    for (const auto& seen : LiveNodesSeenBy(node)) {
      text += " " + seen;
    }
    text += ";";
  }
  return text;
}

auto Interpreter::RestartFleet(const Command& command) -> void {
  const auto rounds = FieldOr(command, "rounds", 1);
  const auto limit = FieldOr(command, "limit_ms", 0);
  auto order = fleet_->nodes();
  for (auto round = 0; round < rounds; ++round) {
    std::shuffle(order.begin(), order.end(), random_);
    fleet_->RestartNodes(order);
    try {
      WaitForFullMembership(milliseconds(limit));
    } catch (const std::runtime_error& error) {
      throw std::runtime_error("round " + std::to_string(round) + ": " +
                               error.what());
    }
  }
}

// Creates the services "summaries" (model tab-writer) and "payments" (plain,
// not repeatable) and one upstream per fake, and waits until all is in force.
auto Interpreter::Configure(const Command& command) -> void {
  const auto zones = ZonesOf(command);
  const auto capacity = FieldOr(command, "capacity", 16);
  const auto lean = FieldOr(command, "lean", 0.5);
  auto lines = std::vector<std::string>{
      "create service summaries kind=model models=[tab-writer] lean=" +
          std::to_string(lean),
      "create service payments kind=plain repeatable=false"};
  for (const auto* prefix : {"e", "p"}) {
    auto index = std::size_t{0};
    for (const auto& name : fleet_->names_with_prefix(prefix)) {
      lines.push_back("create upstream " + name + " service=" +
                      (*prefix == 'e' ? "summaries" : "payments") +
                      " address=" + fleet_->address(name) +
                      " zone=" + zones[index++ % zones.size()] +
                      " capacity=" + std::to_string(capacity));
    }
  }
  lines.push_back("set service summaries lean=" + std::to_string(lean) +
                  " --wait 9");
  for (const auto& line : lines) {
    last_answer_ = fleet_->Operate("n0", line);
    if (!last_answer_.is_object() || !last_answer_.value("ok", false)) {
      throw std::runtime_error(line + ": " + last_answer_.dump());
    }
  }
  if (!last_answer_["in_force"].value("everywhere", false)) {
    throw std::runtime_error("not in force: " + last_answer_.dump());
  }
}

auto Interpreter::CallerNodes() const -> std::vector<std::string> {
  auto addresses = std::vector<std::string>();
  for (const auto& node : fleet_->nodes()) {
    addresses.push_back(fleet_->caller_address(node));
  }
  return addresses;
}

auto Interpreter::LiveNode() -> std::string {
  auto live = std::vector<std::string>();
  for (const auto& node : fleet_->nodes()) {
    if (!unavailable_.contains(node)) {
      live.push_back(node);
    }
  }
  if (live.empty()) {
    throw std::runtime_error("no node is alive");
  }
  return live[random_() % live.size()];
}

auto Interpreter::Send(const Command& command) -> void {
  auto spec = LoadSpec();
  spec.name = Name(command);
  spec.kind =
      command.kind == "payments" ? LoadKind::kPayments : LoadKind::kCompletions;
  spec.count = FieldOr(command, "count", spec.count);
  spec.rate = FieldOr(command, "rate", spec.rate);
  spec.tokens = FieldOr(command, "tokens", spec.tokens);
  spec.organisation = FieldOr(command, "organisation", spec.organisation);
  spec.deadline = milliseconds(
      FieldOr(command, "deadline_ms", std::int64_t{spec.deadline.count()}));
  spec.resends = FieldOr(command, "resends", spec.resends);
  spec.ticket = FieldOr(command, "ticket", spec.ticket);
  loads_[spec.name] = std::make_unique<Load>(spec, CallerNodes());
}

auto Interpreter::SubmitBody(const std::string& name,
                             std::size_t items,
                             std::size_t bad,
                             Job& job) const -> std::string {
  auto body = std::string();
  for (auto index = std::size_t{0}; index < items; ++index) {
    auto prompt = "item " + std::to_string(index) + " of job " + name;
    const auto fails = index < bad;
    if (fails) {
      prompt += index % 2 == 0 ? " [[bad item]]" : " [[engine error]]";
    }
    constexpr auto kShortest = 8;
    constexpr auto kLengths = 16;
    const auto tokens = kShortest + index % kLengths;
    auto line = nlohmann::json();
    line["custom_id"] = name + "-" + std::to_string(index);
    line["body"]["prompt"] = prompt;
    line["body"]["max_tokens"] = tokens;
    body += line.dump() + "\n";
    job.custom_ids.push_back(line["custom_id"]);
    job.expected.push_back(fails ? "" : FakeAnswer(prompt, tokens));
  }
  return body;
}

auto Interpreter::Submit(const Command& command) -> void {
  const auto& name = Name(command);
  auto job = Job();
  const auto body =
      SubmitBody(name, FieldOr(command, "items", std::size_t{100}),
                 FieldOr(command, "bad", std::size_t{0}), job);
  const auto node = FieldOr(command, "node", LiveNode());
  const auto reply = Fetch({.address = fleet_->caller_address(node),
                            .method = "POST",
                            .target = "/v1/batches?model=tab-writer",
                            .headers = {{"KQG-Organisation", "scenario"},
                                        {"Idempotency-Key", "key-" + name},
                                        {"Content-Type", "application/jsonl"}},
                            .body = body,
                            .timeout = std::chrono::seconds(30)});
  last_answer_ = nlohmann::json::parse(reply.body, nullptr, false);
  if (!last_answer_.is_object()) {
    last_answer_ = nlohmann::json::object();
  }
  last_answer_["http_status"] = reply.status;
  const auto outcome = reply.headers.find("kqg-outcome");
  last_answer_["outcome"] =
      outcome == reply.headers.end() ? "" : outcome->second;
  if (last_answer_.contains("id")) {
    job.id = last_answer_["id"];
    jobs_[name] = std::move(job);
  }
}

auto Interpreter::Cancel(const Command& command) -> void {
  auto& job = jobs_.at(Name(command));
  const auto reply = Fetch({.address = fleet_->caller_address(LiveNode()),
                            .method = "POST",
                            .target = "/v1/batches/" + job.id + "/cancel"});
  last_answer_ = nlohmann::json::parse(reply.body, nullptr, false);
  if (reply.status != kStatusOk) {
    throw std::runtime_error("cancel was answered " + reply.body);
  }
  job.cancelled_ms = WallMs();
}

auto Interpreter::Wait(const Command& command) -> void {
  if (command.kind == "job") {
    WaitForJob(command);
  } else if (command.kind == "seconds") {
    std::this_thread::sleep_for(
        std::chrono::duration<double>(std::stod(Name(command))));
  } else if (command.kind == "exit") {
    const auto limit = std::chrono::seconds(FieldOr(command, "seconds", 30));
    if (!fleet_->process(Name(command)).WaitForExit(limit)) {
      throw std::runtime_error(Name(command) + " did not exit");
    }
  } else {
    throw std::runtime_error("wait for job, seconds or exit");
  }
}

auto Interpreter::WaitForJob(const Command& command) -> void {
  const auto deadline =
      SteadyClock::now() + std::chrono::seconds(FieldOr(
                               command, "seconds", kDefaultJobLimitSeconds));
  const auto wanted_items = FieldOr(command, "completed", std::size_t{0});
  const auto target = "/v1/batches/" + jobs_.at(Name(command)).id;
  auto last = std::string();
  while (SteadyClock::now() < deadline) {
    const auto reply = Fetch({.address = fleet_->caller_address(LiveNode()),
                              .target = target,
                              .timeout = std::chrono::seconds(2)});
    const auto status = nlohmann::json::parse(reply.body, nullptr, false);
    last = reply.body;
    if (status.is_object() && status.contains("status")) {
      if (status["status"] != "running" ||
          (wanted_items > 0 &&
           status.value("completed", std::size_t{0}) >= wanted_items)) {
        return;
      }
    }
    std::this_thread::sleep_for(kPoll);
  }
  throw std::runtime_error("job " + Name(command) +
                           " did not reach the awaited state: " + last);
}

auto Interpreter::Fault(const Command& command) -> void {
  auto body = nlohmann::json::object();
  for (const auto& assignment : command.fields) {
    body[assignment.field] = assignment.value;
  }
  const auto hosts = command.kind == "host";
  if (hosts) {
    body = HostList(Name(command), FieldOr(command, "state", std::string()));
  }
  const auto reply =
      Fetch({.address = fleet_->address(hosts ? "platform" : Name(command)),
             .method = hosts ? "PUT" : "POST",
             .target = hosts ? "/hosts" : "/faults",
             .headers = {{"Content-Type", "application/json"}},
             .body = body.dump()});
  if (reply.status != kStatusOk) {
    throw std::runtime_error("fault was answered " +
                             std::to_string(reply.status) + " " + reply.body);
  }
}

// The whole host list, with `state` for the host named `name`.
auto Interpreter::HostList(const std::string& name,
                           const std::string& state) const -> nlohmann::json {
  auto rows = nlohmann::json::array();
  for (const auto& host : fleet_->names_with_prefix("")) {
    rows.push_back({{"name", host},
                    {"address", fleet_->address(host)},
                    {"zone", "zone-a"},
                    {"state", host == name ? state : "live"}});
  }
  auto body = nlohmann::json();
  body["hosts"] = std::move(rows);
  return body;
}

auto Interpreter::Executions(const std::string& prefix) const
    -> std::vector<nlohmann::json> {
  auto all = std::vector<nlohmann::json>();
  for (const auto& name : fleet_->names_with_prefix(prefix)) {
    auto file = std::ifstream(fleet_->record_file(name));
    auto text = std::ostringstream();
    text << file.rdbuf();
    for (auto& row : ParseLines(text.str())) {
      if (row.value("event", "") == "start") {
        row["upstream"] = name;
        all.push_back(std::move(row));
      }
    }
  }
  return all;
}

auto Interpreter::JobRow(const std::string& name) -> nlohmann::json {
  const auto& job = jobs_.at(name);
  const auto address = fleet_->caller_address(LiveNode());
  const auto target = "/v1/batches/" + job.id;
  const auto reply = Fetch({.address = address, .target = target});
  auto row = nlohmann::json::parse(reply.body, nullptr, false);
  if (!row.is_object()) {
    throw std::runtime_error("no status of job " + name);
  }
  const auto results =
      Fetch({.address = address, .target = target + "/results"});
  auto found = std::map<std::string, std::vector<nlohmann::json>>();
  for (auto& result : ParseLines(results.body)) {
    found[result.value("custom_id", "")].push_back(std::move(result));
  }
  auto missing = 0;
  auto duplicated = 0;
  auto wrong = 0;
  for (auto index = std::size_t{0}; index < job.custom_ids.size(); ++index) {
    const auto entry = found.find(job.custom_ids[index]);
    if (entry == found.end()) {
      ++missing;
      continue;
    }
    duplicated += entry->second.size() > 1 ? 1 : 0;
    const auto& result = entry->second.front();
    const auto text = result.contains("response")
                          ? result["response"].value("text", "")
                          : std::string();
    wrong += text == job.expected[index] ? 0 : 1;
  }
  auto started_late = 0;
  for (const auto& execution : Executions("e")) {
    const auto prompt = execution.value("prompt", "");
    if (job.cancelled_ms > 0 &&
        prompt.find("of job " + name) != std::string::npos &&
        execution.value("start_ms", std::int64_t{0}) >
            job.cancelled_ms + kCancelGraceMs) {
      ++started_late;
    }
  }
  row["readable"] = results.complete && results.status == kStatusOk;
  row["missing"] = missing;
  row["duplicated"] = duplicated;
  row["wrong"] = wrong;
  row["started_after_cancel"] = started_late;
  return row;
}

auto Interpreter::InvariantsRow() -> nlohmann::json {
  auto runs = std::map<std::string, int>();
  for (const auto& execution : Executions("p")) {
    ++runs[execution.value("idempotency_key", "")];
  }
  auto twice = 0;
  for (const auto& [key, count] : runs) {
    twice += !key.empty() && count > 1 ? 1 : 0;
  }
  auto false_not_run = 0;
  for (const auto& [name, load] : loads_) {
    for (const auto& key : load->keys_not_run()) {
      false_not_run += runs.contains(key) ? 1 : 0;
    }
  }
  auto row = nlohmann::json();
  row["payments_run_twice"] = twice;
  row["not_run_but_ran"] = false_not_run;
  const auto lock = std::lock_guard(revisions_mutex_);
  row["revisions_back"] = revisions_back_;
  return row;
}

auto Interpreter::NodeRow(const std::string& name) -> nlohmann::json {
  auto row = nlohmann::json();
  const auto status = fleet_->process(name).WaitForExit(milliseconds(0));
  row["running"] = !status.has_value();
  row["exit_status"] = status.value_or(-1);
  for (const auto& entry :
       fleet_->Operate(LiveNode(), "show nodes " + name)["rows"]) {
    row["state"] = entry["state"];
  }
  return row;
}

auto Interpreter::ObservedRow(const Command& command) -> nlohmann::json {
  if (command.kind == "load") {
    return loads_.at(Name(command))->Row();
  }
  if (command.kind == "job") {
    return JobRow(Name(command));
  }
  if (command.kind == "invariants") {
    return InvariantsRow();
  }
  if (command.kind == "node") {
    return NodeRow(Name(command));
  }
  if (command.kind == "started") {
    // Executions that began on a fake in the last `seconds`.
    const auto since =
        WallMs() - FieldOr(command, "seconds", std::int64_t{1}) * 1'000;
    auto count = 0;
    for (const auto& execution : Executions(Name(command))) {
      count += execution["upstream"] == Name(command) &&
                       execution.value("start_ms", std::int64_t{0}) >= since
                   ? 1
                   : 0;
    }
    return {{"count", count}};
  }
  if (command.kind == "answer") {
    auto row =
        last_answer_.is_object() ? last_answer_ : nlohmann::json::object();
    row["kind"] = row.contains("error") && row["error"].is_object()
                      ? row["error"].value("kind", "")
                      : "";
    row["message"] = row.contains("error") && row["error"].is_object()
                         ? row["error"].value("message", "")
                         : "";
    if (row.contains("in_force")) {
      row["everywhere"] = row["in_force"]["everywhere"];
      row["waited_ms"] = row["in_force"]["waited_ms"];
    }
    row["row_count"] =
        row.contains("rows") ? row["rows"].size() : std::size_t{0};
    return row;
  }
  throw std::runtime_error(
      "expect load, job, invariants, node, started or answer");
}

auto Interpreter::Expect(const Command& command) -> void {
  const auto row = ObservedRow(command);
  auto conditions = Command();
  conditions.where = command.where;
  const auto rows = nlohmann::json::array({row});
  if (operators::SelectRows(conditions, rows).empty()) {
    throw std::runtime_error("expectation does not hold for " + row.dump());
  }
}

auto Interpreter::WatchRevisions() -> void {
  constexpr auto kInterval = milliseconds(200);
  constexpr auto kMetric = std::string_view("\nkqg_configuration_revision ");
  while (watching_) {
    for (const auto& node : fleet_->nodes()) {
      const auto reply = Fetch({.address = fleet_->caller_address(node),
                                .target = "/metrics",
                                .timeout = milliseconds(500)});
      const auto position = reply.body.find(kMetric);
      if (position == std::string::npos) {
        const auto lock = std::lock_guard(revisions_mutex_);
        revisions_.erase(node);  // A restarted node may start from 0.
        continue;
      }
      const auto revision =
          std::stod(reply.body.substr(position + kMetric.size(), 20));
      const auto lock = std::lock_guard(revisions_mutex_);
      revisions_back_ += revision < revisions_[node] ? 1 : 0;
      revisions_[node] = std::max(revisions_[node], revision);
    }
    std::this_thread::sleep_for(kInterval);
  }
}

}  // namespace kumquatgauge::testing
