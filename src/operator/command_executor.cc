#include "kumquatgauge/operator/command_executor.h"

#include <algorithm>
#include <set>
#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::operators {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(100);

auto TextOf(const nlohmann::json& value) -> std::string {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Compares numbers by value and everything else as text.
auto Compare(const nlohmann::json& left, const nlohmann::json& right) -> int {
  if (left.is_number() && right.is_number()) {
    const auto difference = left.get<double>() - right.get<double>();
    return difference < 0 ? -1 : (difference > 0 ? 1 : 0);
  }
  const auto order = TextOf(left).compare(TextOf(right));
  return order < 0 ? -1 : (order > 0 ? 1 : 0);
}

auto Matches(const nlohmann::json& row, const Condition& condition) -> bool {
  if (!row.contains(condition.field)) {
    return false;
  }
  const auto& field = row.at(condition.field);
  if (condition.comparison == Comparison::kContains) {
    return TextOf(field).find(TextOf(condition.value)) != std::string::npos;
  }
  const auto order = Compare(field, condition.value);
  switch (condition.comparison) {
    case Comparison::kEqual:
      return order == 0;
    case Comparison::kNotEqual:
      return order != 0;
    case Comparison::kLess:
      return order < 0;
    case Comparison::kLessOrEqual:
      return order <= 0;
    case Comparison::kGreater:
      return order > 0;
    default:
      return order >= 0;
  }
}

auto CheckField(const nlohmann::json& rows, const std::string& field) -> void {
  auto known = std::set<std::string>();
  for (const auto& row : rows) {
    for (const auto& [name, value] : row.items()) {
      known.insert(name);
    }
  }
  if (rows.empty() || known.contains(field)) {
    return;
  }
  auto remedy = std::string("use one of");
  for (const auto& name : known) {
    remedy += " " + name;
  }
  throw Error(ErrorKind::kInvalidArgument, "unknown field", field, remedy);
}

auto CheckOneName(const Command& command) -> void {
  if (command.names.size() != 1) {
    throw Error(ErrorKind::kInvalidArgument, "wrong number of names",
                command.verb + " " + command.kind,
                "write: " + command.verb + " " + command.kind + " NAME");
  }
}

auto KeyOf(const Command& command) -> std::string {
  CheckOneName(command);
  return command.kind + "/" + command.names.front();
}

auto ModeOf(const std::string& verb) -> ConfigurationChange::Mode {
  if (verb == "create") {
    return ConfigurationChange::Mode::kCreate;
  }
  return verb == "delete" ? ConfigurationChange::Mode::kRemove
                          : ConfigurationChange::Mode::kSet;
}

// Returns the fields that differ as {"field","before","after"} rows.
auto Difference(const ChangeResult& result) -> nlohmann::json {
  const auto empty = nlohmann::json::object();
  const auto& before = result.before.is_object() ? result.before : empty;
  const auto& after = result.after.is_object() ? result.after : empty;
  auto rows = nlohmann::json::array();
  for (const auto& [field, value] : before.items()) {
    if (!after.contains(field) || after.at(field) != value) {
      rows.push_back({{"field", field},
                      {"before", value},
                      {"after", after.value(field, nlohmann::json())}});
    }
  }
  for (const auto& [field, value] : after.items()) {
    if (!before.contains(field)) {
      rows.push_back({{"field", field}, {"before", nullptr}, {"after", value}});
    }
  }
  return rows;
}

auto MakeChange(const Command& command,
                const std::string& line,
                const CommandOrigin& origin) -> ConfigurationChange {
  auto change = ConfigurationChange();
  change.operation_id = origin.operation_id;
  change.operator_name = origin.credential.name;
  change.source_address = origin.address;
  change.command = line;
  change.key = KeyOf(command);
  change.mode = ModeOf(command.verb);
  change.expected_revision = command.if_revision;
  for (const auto& assignment : command.fields) {
    change.fields[assignment.field] = assignment.value;
  }
  return change;
}

auto DrainChange(const Command& command, const CommandOrigin& origin)
    -> ConfigurationChange {
  auto change = MakeChange(
      command, "drain " + command.kind + " " + command.names.front(), origin);
  change.fields["leaving"] = true;
  return change;
}

auto SuccessResponse(nlohmann::json rows) -> nlohmann::json {
  return {{"ok", true}, {"rows", std::move(rows)}};
}

auto IsReadOnly(const std::string& verb) -> bool {
  return verb == "show" || verb == "explain" || verb == "watch";
}

}  // namespace

auto SelectRows(const Command& command, nlohmann::json rows) -> nlohmann::json {
  for (const auto& condition : command.where) {
    CheckField(rows, condition.field);
  }
  if (command.order) {
    CheckField(rows, command.order->field);
  }
  auto selected = std::vector<nlohmann::json>();
  for (auto& row : rows) {
    const auto named = command.names.empty() ||
                       std::any_of(command.names.begin(), command.names.end(),
                                   [&row](const std::string& name) {
                                     return row.value("name", "") == name ||
                                            row.value("id", "") == name;
                                   });
    const auto matched = std::all_of(
        command.where.begin(), command.where.end(),
        [&row](const Condition& condition) { return Matches(row, condition); });
    if (named && matched) {
      selected.push_back(std::move(row));
    }
  }
  if (command.order) {
    const auto& field = command.order->field;
    const auto sign = command.order->descending ? -1 : 1;
    std::stable_sort(selected.begin(), selected.end(),
                     [&field, sign](const nlohmann::json& left,
                                    const nlohmann::json& right) {
                       return sign * Compare(
                                         left.value(field, nlohmann::json()),
                                         right.value(field, nlohmann::json())) <
                              0;
                     });
  }
  if (command.limit && selected.size() > *command.limit) {
    selected.resize(*command.limit);
  }
  return selected;
}

CommandExecutor::CommandExecutor(OperatorBackend& backend,
                                 Clock clock,
                                 Pause pause)
    : backend_(backend), clock_(std::move(clock)), pause_(std::move(pause)) {}

auto CommandExecutor::Run(std::string line, CommandOrigin origin)
    -> boost::asio::awaitable<nlohmann::json> {
  const auto command = ParseCommand(line, OperatorVerbs());
  if (!IsReadOnly(command.verb) &&
      origin.credential.role != OperatorRole::kChange) {
    throw Error(ErrorKind::kPermissionDenied,
                "role read may only run show, explain and watch",
                command.verb + " " + command.kind,
                "use a credential with role change");
  }
  if (command.verb == "show" || command.verb == "watch") {
    co_return co_await Show(command);
  }
  if (command.verb == "explain") {
    auto rows = nlohmann::json::array();
    rows.push_back(co_await backend_.Explain(command.kind, command.names));
    co_return SuccessResponse(std::move(rows));
  }
  if (command.verb == "cancel" || command.verb == "drain" ||
      command.kind == "log") {
    co_return co_await RunAction(command, origin);
  }
  co_return co_await ChangeConfiguration(command, line, origin);
}

auto CommandExecutor::Show(const Command& command)
    -> boost::asio::awaitable<nlohmann::json> {
  const auto kinds = backend_.kinds();
  if (std::find(kinds.begin(), kinds.end(), command.kind) == kinds.end()) {
    auto remedy = std::string("use one of");
    for (const auto& kind : kinds) {
      remedy += " " + kind;
    }
    throw Error(ErrorKind::kInvalidArgument, "unknown kind", command.kind,
                remedy);
  }
  auto rows = co_await backend_.Rows(command.kind, command.names);
  co_return SuccessResponse(SelectRows(command, std::move(rows)));
}

auto CommandExecutor::ChangeConfiguration(const Command& command,
                                          const std::string& line,
                                          const CommandOrigin& origin)
    -> boost::asio::awaitable<nlohmann::json> {
  const auto change = MakeChange(command, line, origin);
  if (command.dry_run) {
    const auto preview = co_await backend_.Preview(change);
    auto answer = SuccessResponse(Difference(preview));
    answer["dry_run"] = true;
    answer["revision"] = preview.revision_before;
    co_return answer;
  }
  const auto result = co_await backend_.Change(change);
  auto answer = SuccessResponse(Difference(result));
  answer["revision_before"] = result.revision_before;
  answer["revision"] = result.revision;
  if (command.wait_seconds) {
    answer["in_force"] = co_await WaitUntilInForce(
        result.revision, std::chrono::seconds(*command.wait_seconds));
  }
  co_return answer;
}

auto CommandExecutor::WaitUntilInForce(std::uint64_t revision, Duration limit)
    -> boost::asio::awaitable<nlohmann::json> {
  const auto start = clock_();
  auto registered = std::vector<NodeId>();
  // Without the registry, nodes that were not asked may exist.
  auto registry_failure = std::string();
  try {
    registered = co_await backend_.RegisteredNodes();
  } catch (const Error& error) {
    registry_failure = error.what();
  }
  while (true) {
    auto lagging = nlohmann::json::array();
    const auto nodes = co_await backend_.RevisionsInForce();
    for (const auto& node : nodes) {
      if (node.revision.value_or(0) < revision) {
        lagging.push_back(node.node.value());
      }
    }
    auto not_heard_of = nlohmann::json(backend_.NodesNotHeardOf(registered));
    const auto complete =
        lagging.empty() && not_heard_of.empty() && registry_failure.empty();
    const auto elapsed = clock_() - start;
    if (complete || elapsed >= limit) {
      const auto elapsed_ms =
          std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
      auto answer =
          nlohmann::json{{"everywhere", complete},
                         {"nodes", nodes.size()},
                         {"in_force_on", nodes.size() - lagging.size()},
                         {"known_nodes", nodes.size() + not_heard_of.size()},
                         {"lagging", std::move(lagging)},
                         {"not_heard_of", std::move(not_heard_of)},
                         {"waited_ms", elapsed_ms.count()}};
      if (!registry_failure.empty()) {
        answer["registry_error"] = registry_failure;
      }
      co_return answer;
    }
    co_await pause_(kPollInterval);
  }
}

auto CommandExecutor::RunAction(const Command& command,
                                const CommandOrigin& origin)
    -> boost::asio::awaitable<nlohmann::json> {
  auto rows = nlohmann::json::array();
  if (command.kind == "log") {
    for (const auto& assignment : command.fields) {
      if (assignment.field == "level") {
        backend_.SetLogLevel(TextOf(assignment.value));
        rows.push_back({{"level", assignment.value}});
      }
    }
    if (rows.empty()) {
      throw Error(ErrorKind::kInvalidArgument, "no log level given", "set log",
                  "write: set log level = debug|info|warning|error");
    }
    co_return SuccessResponse(std::move(rows));
  }
  CheckOneName(command);
  const auto& name = command.names.front();
  if (command.verb == "cancel" && command.kind == "job") {
    rows.push_back(co_await backend_.CancelJob(name, origin.credential.name));
  } else if (command.verb == "drain" && command.kind == "node") {
    rows.push_back(co_await backend_.DrainNode(name));
  } else if (command.verb == "drain" && command.kind == "upstream") {
    const auto result = co_await backend_.Change(DrainChange(command, origin));
    rows = Difference(result);
  } else {
    throw Error(ErrorKind::kInvalidArgument, "cannot " + command.verb,
                command.kind,
                "write: cancel job ID, drain node NAME or drain upstream NAME");
  }
  co_return SuccessResponse(std::move(rows));
}

}  // namespace kumquatgauge::operators
