#include "kumquatgauge/daemon/node_operator_backend.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/log.h"
#include "kumquatgauge/daemon/node_caller_backend.h"
#include "kumquatgauge/store/circuit.h"

namespace kumquatgauge::daemon {
namespace {

namespace asio = boost::asio;

// Longest time that an operator waits for the slowest node.
constexpr auto kQueryTimeout = std::chrono::milliseconds(1500);
// Attempts at a change of single fields. If another change of the same key is
// stored first, the fields are merged into the newer value and tried again.
constexpr auto kMaxMergeAttempts = 5;
constexpr std::size_t kMaxShownRequests = 200;
constexpr std::size_t kMaxShownAuditRecords = 1'000;

auto KindOfPlural(const std::string& plural) -> std::string {
  return plural.ends_with('s') ? plural.substr(0, plural.size() - 1) : plural;
}

auto CheckNames(const std::string& kind,
                const std::vector<std::string>& names,
                std::size_t count,
                const std::string& usage) -> void {
  if (names.size() != count) {
    throw Error(ErrorKind::kInvalidArgument, "wrong number of names", kind,
                "write: explain " + usage);
  }
}

auto LoadToJson(const routing::ReplicaLoad& load) -> nlohmann::json {
  return {{"replica", load.replica.value()},
          {"online", load.online_in_flight},
          {"batch", load.batch_in_flight},
          {"queued", load.queued},
          {"limit", load.limit},
          {"batch_room", load.free_batch_slots}};
}

auto EjectionName(routing::EjectionState state) -> std::string {
  switch (state) {
    case routing::EjectionState::kInUse:
      return "in use";
    case routing::EjectionState::kEjected:
      return "ejected";
    case routing::EjectionState::kProbing:
      break;
  }
  return "probing";
}

// The value of the key after the change; null when the key is removed.
auto ValueAfter(const operators::ConfigurationChange& change,
                const nlohmann::json* before) -> nlohmann::json {
  using Mode = operators::ConfigurationChange::Mode;
  if (change.mode == Mode::kRemove) {
    return nullptr;
  }
  auto value = change.mode == Mode::kSet && before != nullptr
                   ? *before
                   : nlohmann::json::object();
  for (const auto& [field, field_value] : change.fields.items()) {
    value[field] = field_value;
  }
  return value;
}

auto CheckExists(const operators::ConfigurationChange& change,
                 const control::Configuration& configuration) -> void {
  using Mode = operators::ConfigurationChange::Mode;
  const auto exists = configuration.Find(change.key) != nullptr;
  if (change.mode == Mode::kCreate && exists) {
    throw Error(ErrorKind::kConflict, "already exists", change.key,
                "use set to change it, or choose another name");
  }
  if (change.mode != Mode::kCreate && !exists) {
    throw Error(ErrorKind::kNotFound, "no such configuration entry", change.key,
                "use create, or check the name with show");
  }
}

// A change of some fields expects the revision of the value that it was merged
// with. For an entry that does not exist, the expected revision is impossible,
// so that the store refuses the change unless it knows the operation ID: then
// the command is a resend and gets the answer of the first one.
auto ExpectedRevision(const operators::ConfigurationChange& change,
                      const nlohmann::json* before,
                      const control::Configuration& configuration)
    -> std::uint64_t {
  constexpr auto kImpossibleRevision = UINT64_MAX;
  if (change.mode == operators::ConfigurationChange::Mode::kCreate) {
    return 0;
  }
  return before == nullptr ? kImpossibleRevision
                           : configuration.RevisionOf(change.key);
}

auto AttemptToJson(const batch::AttemptView& attempt) -> nlohmann::json {
  return {{"attempt", attempt.attempt},         {"node", attempt.node.value()},
          {"replica", attempt.replica.value()}, {"token", attempt.token},
          {"outcome", attempt.outcome},         {"decision", attempt.decision}};
}

auto AppendAll(nlohmann::json& rows, const nlohmann::json& more) -> void {
  if (more.is_array()) {
    rows.insert(rows.end(), more.begin(), more.end());
  }
}

}  // namespace

NodeOperatorBackend::NodeOperatorBackend(Dependencies dependencies)
    : dependencies_(std::move(dependencies)) {}

auto NodeOperatorBackend::kinds() const -> std::vector<std::string> {
  return {"services",       "upstreams", "organisations", "models", "settings",
          "configurations", "nodes",     "jobs",          "shards", "requests",
          "audit",          "loads",     "platform",      "orders"};
}

auto NodeOperatorBackend::Rows(const std::string& kind,
                               std::vector<std::string> /*names*/)
    -> asio::awaitable<nlohmann::json> {
  if (kind == "jobs" || kind == "shards" || kind == "requests" ||
      kind == "loads" || kind == "platform" || kind == "orders") {
    co_return co_await CollectRows(kind);
  }
  if (kind == "audit") {
    co_return co_await AuditRows();
  }
  if (kind == "nodes") {
    co_return NodeRows();
  }
  if (kind == "upstreams") {
    co_return UpstreamRows();
  }
  co_return ConfigRows(kind);
}

auto NodeOperatorBackend::ConfigRows(const std::string& kind) const
    -> nlohmann::json {
  const auto configuration = dependencies_.configuration();
  const auto prefix = kind == "configurations" ? "" : KindOfPlural(kind) + "/";
  auto rows = nlohmann::json::array();
  for (const auto& [key, entry] : configuration.entries()) {
    if (entry.value.is_null() || !key.starts_with(prefix)) {
      continue;
    }
    if (kind == "configurations") {
      rows.push_back({{"name", key},
                      {"revision", entry.revision},
                      {"value", entry.value}});
      continue;
    }
    auto row = entry.value;
    row["name"] = key.substr(prefix.size());
    row["revision"] = entry.revision;
    rows.push_back(std::move(row));
  }
  return rows;
}

auto NodeOperatorBackend::UpstreamRows() const -> nlohmann::json {
  auto rows = nlohmann::json::array();
  for (const auto& replica : dependencies_.table.replicas()) {
    const auto dispatcher = dependencies_.table.DispatcherOf(replica);
    const auto candidate = dependencies_.table.FindCandidate(replica.id);
    auto row = nlohmann::json();
    row["name"] = replica.id.value();
    row["service"] = replica.service.value();
    row["address"] = replica.address;
    row["zone"] = replica.zone.value();
    row["leaving"] = replica.leaving;
    row["capacity"] = replica.capacity;
    row["dispatcher"] = dispatcher ? dispatcher->id.value() : "-";
    row["state"] = EjectionName(dependencies_.table.ejection(replica.id));
    row["in_flight"] = candidate ? candidate->known_in_flight : 0;
    row["limit"] = candidate ? candidate->limit : 0;
    rows.push_back(std::move(row));
  }
  return rows;
}

auto NodeOperatorBackend::NodeRows() const -> nlohmann::json {
  const auto& membership = dependencies_.gossip.membership();
  auto rows = nlohmann::json::array();
  for (const auto& record : membership.records()) {
    rows.push_back({{"name", record.info.id.value()},
                    {"zone", record.info.zone.value()},
                    {"state", control::MemberStateName(record.state)},
                    {"incarnation", record.info.incarnation},
                    {"nodes", record.info.node_address},
                    {"callers", record.info.caller_address}});
  }
  return rows;
}

auto NodeOperatorBackend::LocalRows(const std::string& kind) const
    -> nlohmann::json {
  auto rows = nlohmann::json::array();
  if (kind == "jobs") {
    for (const auto& job : dependencies_.batch()->jobs()) {
      auto row = JobToJson(job);
      row.erase("rejected_lines");
      row.erase("object");
      rows.push_back(std::move(row));
    }
  } else if (kind == "shards") {
    for (const auto& shard : dependencies_.batch()->shards()) {
      rows.push_back({{"shard", shard.shard},
                      {"owner", shard.owner.value()},
                      {"lease", shard.lease_owner.value()},
                      {"held", shard.held},
                      {"token", shard.token},
                      {"jobs", shard.jobs}});
    }
  } else if (kind == "requests") {
    for (const auto& trace : dependencies_.traces.Recent(kMaxShownRequests)) {
      auto row = TraceToJson(trace);
      row["attempts"] = trace.attempts.size();
      rows.push_back(std::move(row));
    }
  } else if (kind == "loads") {
    for (const auto& load : dependencies_.dispatch.loads()) {
      rows.push_back(LoadToJson(load));
    }
  } else if (kind == "orders") {
    for (const auto& status : dependencies_.orders()) {
      rows.push_back({{"name", status.upstream.value()},
                      {"missing", status.missing},
                      {"surplus", status.surplus},
                      {"waiting_for", status.waiting_for}});
    }
  } else if (kind == "platform") {
    const auto& counts = dependencies_.platform.counts();
    auto reads = std::uint64_t{0};
    auto writes = std::uint64_t{0};
    for (auto index = std::size_t{0}; index < store::kCallClasses; ++index) {
      reads += counts.reads.at(index);
      writes += counts.writes.at(index);
    }
    rows.push_back({{"reads", reads},
                    {"writes", writes},
                    {"watches", counts.watches},
                    {"watches_waiting", counts.watches_waiting},
                    {"failures", counts.failures},
                    {"unknown_outcomes", counts.unknown_outcomes},
                    {"refused_by_circuit", counts.refused_by_circuit},
                    {"refused_by_limiter", counts.refused_by_limiter}});
  }
  for (auto& row : rows) {
    row["node"] = dependencies_.self.value();
  }
  return rows;
}

auto NodeOperatorBackend::CollectRows(const std::string& kind)
    -> asio::awaitable<nlohmann::json> {
  auto query = nlohmann::json();
  query["ask"] = "rows";
  query["kind"] = kind;
  auto rows = nlohmann::json::array();
  for (const auto& answer : co_await AskAll(std::move(query))) {
    AppendAll(rows, answer.answer);
  }
  co_return rows;
}

auto NodeOperatorBackend::AuditRows() -> asio::awaitable<nlohmann::json> {
  auto filter = control::AuditFilter();
  filter.limit = kMaxShownAuditRecords;
  auto rows = nlohmann::json::array();
  for (const auto& record :
       co_await dependencies_.config_store.ReadAudit(filter)) {
    rows.push_back(control::ToJson(record));
  }
  co_return rows;
}

auto NodeOperatorBackend::AnswerQuery(const nlohmann::json& query)
    -> nlohmann::json {
  const auto ask = query.value("ask", "");
  if (ask == "rows") {
    return LocalRows(query.value("kind", ""));
  }
  if (ask == "revision") {
    return dependencies_.configuration().revision();
  }
  if (ask == "request") {
    const auto trace =
        dependencies_.traces.Find(RequestId(query.value("id", "")));
    return trace ? TraceToJson(*trace) : nlohmann::json();
  }
  if (ask == "item") {
    auto attempts = nlohmann::json::array();
    for (const auto& attempt : dependencies_.batch()->ExplainItem(
             JobId(query.value("job", "")), query.value("item", ""))) {
      attempts.push_back(AttemptToJson(attempt));
    }
    return attempts;
  }
  if (ask == "drain") {
    dependencies_.drain();
    return "draining";
  }
  throw Error(ErrorKind::kInvalidArgument, "unknown query", ask,
              "ask a node of the same release");
}

auto NodeOperatorBackend::Ask(routing::NodeInfo node, nlohmann::json query)
    -> asio::awaitable<nlohmann::json> {
  if (node.id == dependencies_.self) {
    co_return AnswerQuery(query);
  }
  auto answer = nlohmann::json();
  const auto on_frame = [&answer](const nlohmann::json& frame) {
    if (frame.contains("answer")) {
      answer = frame.at("answer");
    }
  };
  try {
    co_await dependencies_.peers.Call(
        node.node_address, node::Channel::kControl, "query", std::move(query),
        on_frame, kQueryTimeout, nullptr);
  } catch (const Error&) {
    // A node that does not answer is reported as such by the caller.
  }
  co_return answer;
}

auto NodeOperatorBackend::AskAll(nlohmann::json query)
    -> asio::awaitable<std::vector<NodeAnswer>> {
  const auto nodes = dependencies_.gossip.membership().live();
  const auto executor = co_await asio::this_coro::executor;
  auto answers = std::make_shared<std::vector<NodeAnswer>>(nodes.size());
  auto pending = std::make_shared<std::size_t>(nodes.size());
  const auto done = std::make_shared<asio::steady_timer>(executor);
  done->expires_at(MonotonicTime::max());
  for (auto index = std::size_t{0}; index < nodes.size(); ++index) {
    answers->at(index).node = nodes[index].id;
    asio::co_spawn(
        executor, Ask(nodes[index], query),
        [answers, pending, done, index](const std::exception_ptr& failure,
                                        nlohmann::json answer) {
          if (!failure) {
            answers->at(index).answer = std::move(answer);
          }
          if (--*pending == 0) {
            done->cancel();
          }
        });
  }
  if (*pending > 0) {
    auto ignored = boost::system::error_code();
    co_await done->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return *answers;
}

auto NodeOperatorBackend::Explain(std::string kind,
                                  std::vector<std::string> names)
    -> asio::awaitable<nlohmann::json> {
  if (kind == "request") {
    CheckNames(kind, names, 1, "request ID");
    co_return co_await ExplainRequest(names[0]);
  }
  if (kind == "job") {
    CheckNames(kind, names, 1, "job ID");
    co_return co_await ExplainJob(names[0]);
  }
  if (kind == "item") {
    CheckNames(kind, names, 2, "item JOB CUSTOM_ID");
    co_return co_await ExplainItem(names[0], names[1]);
  }
  if (kind == "node") {
    CheckNames(kind, names, 1, "node NAME");
    co_return ExplainNode(names[0]);
  }
  if (kind == "upstream") {
    CheckNames(kind, names, 1, "upstream NAME");
    co_return ExplainUpstream(names[0]);
  }
  if (kind == "configuration") {
    CheckNames(kind, names, 1, "configuration KIND/NAME");
    co_return co_await ExplainConfiguration(names[0]);
  }
  throw Error(ErrorKind::kInvalidArgument, "cannot explain", kind,
              "use request, job, item, node, upstream or configuration");
}

auto NodeOperatorBackend::ExplainRequest(const std::string& id)
    -> asio::awaitable<nlohmann::json> {
  auto query = nlohmann::json();
  query["ask"] = "request";
  query["id"] = id;
  auto found = nlohmann::json::array();
  for (const auto& answer : co_await AskAll(std::move(query))) {
    if (answer.answer.is_object()) {
      auto trace = answer.answer;
      trace["node"] = answer.node.value();
      found.push_back(std::move(trace));
    }
  }
  if (found.empty()) {
    throw Error(ErrorKind::kNotFound, "no node remembers this request", id,
                "each node keeps its last 4096; see show requests");
  }
  auto result = nlohmann::json();
  result["request"] = id;
  result["handled_by"] = std::move(found);
  co_return result;
}

auto NodeOperatorBackend::ExplainJob(const std::string& id)
    -> asio::awaitable<nlohmann::json> {
  auto job = JobToJson(co_await dependencies_.batch()->Status(JobId(id)));
  job["shard"] = batch::ShardOfJob(JobId(id));
  // Only the owner knows the items in flight and whether the job is on time;
  // the platform does not store them.
  for (auto& row : co_await CollectRows("jobs")) {
    if (row.value("id", "") == id) {
      job["owner"] = row["node"];
      job["in_flight"] = row["in_flight"];
      if (row.contains("on_time")) {
        job["on_time"] = row["on_time"];
        job["why"] = row["why"];
      }
    }
  }
  co_return job;
}

auto NodeOperatorBackend::ExplainItem(const std::string& job,
                                      const std::string& custom_id)
    -> asio::awaitable<nlohmann::json> {
  auto query = nlohmann::json();
  query["ask"] = "item";
  query["job"] = job;
  query["item"] = custom_id;
  auto attempts = nlohmann::json::array();
  for (const auto& answer : co_await AskAll(std::move(query))) {
    AppendAll(attempts, answer.answer);
  }
  const auto result = co_await batch::FindResult(dependencies_.batch()->store(),
                                                 JobId(job), custom_id);
  auto explanation = nlohmann::json();
  explanation["job"] = job;
  explanation["item"] = custom_id;
  explanation["attempts_remembered"] = std::move(attempts);
  if (result) {
    explanation["result"]["outcome"] = OutcomeKindName(result->outcome);
    explanation["result"]["attempts"] = result->attempts;
    explanation["result"]["reason"] = result->reason;
  } else {
    explanation["result"] = "none committed yet";
  }
  co_return explanation;
}

auto NodeOperatorBackend::ExplainNode(const std::string& name) const
    -> nlohmann::json {
  const auto& membership = dependencies_.gossip.membership();
  const auto record = membership.Find(NodeId(name));
  if (!record) {
    throw Error(ErrorKind::kNotFound, "no such node", name, "see show nodes");
  }
  auto monitors = nlohmann::json::array();
  for (const auto& monitor : membership.MonitorsOf(NodeId(name))) {
    monitors.push_back(monitor.value());
  }
  return {{"node", name},
          {"state", control::MemberStateName(record->state)},
          {"incarnation", record->info.incarnation},
          {"why", membership.Explain(NodeId(name))},
          {"monitors", std::move(monitors)},
          {"asked_at", dependencies_.self.value()}};
}

auto NodeOperatorBackend::ExplainUpstream(const std::string& name) const
    -> nlohmann::json {
  const auto id = ReplicaId(name);
  const auto replica = dependencies_.table.FindReplica(id);
  if (!replica) {
    throw Error(ErrorKind::kNotFound, "no such upstream", name,
                "see show upstreams");
  }
  const auto dispatcher = dependencies_.table.DispatcherOf(*replica);
  const auto candidate = dependencies_.table.FindCandidate(id);
  auto result = nlohmann::json();
  result["upstream"] = name;
  result["service"] = replica->service.value();
  result["leaving"] = replica->leaving;
  result["state"] = EjectionName(dependencies_.table.ejection(id));
  result["why"] = dependencies_.table.ejection_reason(id);
  result["dispatcher"] = dispatcher ? dispatcher->id.value() : "-";
  if (candidate) {
    result["utilisation"] = candidate->utilisation;
    result["known_in_flight"] = candidate->known_in_flight;
    result["limit"] = candidate->limit;
    result["batch_room"] = candidate->free_batch_slots;
    result["weight"] = candidate->weight;
  }
  for (const auto& status : dependencies_.orders()) {
    if (status.upstream == id) {
      result["orders"] = {{"missing", status.missing},
                          {"surplus", status.surplus},
                          {"waiting_for", status.waiting_for}};
    }
  }
  return result;
}

auto NodeOperatorBackend::ExplainConfiguration(const std::string& key)
    -> asio::awaitable<nlohmann::json> {
  const auto configuration = dependencies_.configuration();
  const auto* value = configuration.Find(key);
  auto in_force = nlohmann::json::object();
  for (const auto& node : co_await RevisionsInForce()) {
    in_force[node.node.value()] =
        node.revision ? nlohmann::json(*node.revision) : nlohmann::json();
  }
  auto filter = control::AuditFilter();
  filter.key = key;
  filter.limit = 10;
  auto history = nlohmann::json::array();
  for (const auto& record :
       co_await dependencies_.config_store.ReadAudit(filter)) {
    history.push_back(control::ToJson(record));
  }
  auto result = nlohmann::json();
  result["key"] = key;
  result["value"] = value == nullptr ? nlohmann::json() : *value;
  result["revision"] = configuration.RevisionOf(key);
  result["in_force"] = std::move(in_force);
  result["last_changes"] = std::move(history);
  result["feed"] = dependencies_.gossip.feeds().Explain("config");
  co_return result;
}

auto NodeOperatorBackend::Preview(operators::ConfigurationChange change)
    -> asio::awaitable<operators::ChangeResult> {
  const auto loaded = co_await dependencies_.config_store.Load();
  const auto& configuration = loaded.configuration;
  CheckExists(change, configuration);
  const auto* before = configuration.Find(change.key);
  auto result = operators::ChangeResult();
  result.revision_before = configuration.revision();
  result.revision = configuration.revision();
  result.before = before == nullptr ? nlohmann::json() : *before;
  result.after = ValueAfter(change, before);
  const auto key = control::EntryKey::Parse(change.key);
  control::Configuration::CheckValue(key, result.after);
  configuration.CheckReferences(key, result.after);
  co_return result;
}

auto NodeOperatorBackend::Change(operators::ConfigurationChange change)
    -> asio::awaitable<operators::ChangeResult> {
  if (change.operation_id.empty()) {
    change.operation_id = "node-" + dependencies_.self.value() + "-" +
                          std::to_string(dependencies_.random());
  }
  for (auto attempt = 1;; ++attempt) {
    const auto configuration =
        (co_await dependencies_.config_store.Load()).configuration;
    const auto* before = configuration.Find(change.key);
    auto request = control::ChangeRequest();
    request.key = change.key;
    request.value = ValueAfter(change, before);
    request.expected_revision = change.expected_revision.value_or(
        ExpectedRevision(change, before, configuration));
    request.operation = change.operation_id;
    request.who = change.operator_name;
    request.from = change.source_address;
    request.command = change.command;
    auto failure = std::optional<Error>();
    auto record = control::AuditRecord();
    try {
      record = co_await dependencies_.config_store.Append(std::move(request));
    } catch (const Error& error) {
      failure = error;
    }
    if (!failure) {
      auto result = operators::ChangeResult();
      result.revision_before = record.revision - 1;
      result.revision = record.revision;
      result.before = std::move(record.before);
      result.after = std::move(record.after);
      dependencies_.apply(dependencies_.config_store.latest());
      co_return result;
    }
    // The store answers a resend of the same command although the key exists by
    // now, so existence is checked only after the store has refused.
    if (failure->kind() == ErrorKind::kConflict && !change.expected_revision) {
      CheckExists(change,
                  (co_await dependencies_.config_store.Load()).configuration);
    }
    if (failure->kind() != ErrorKind::kConflict || change.expected_revision ||
        attempt == kMaxMergeAttempts) {
      throw Error(*failure);
    }
  }
}

auto NodeOperatorBackend::CancelJob(std::string job, std::string who)
    -> asio::awaitable<nlohmann::json> {
  const auto state = co_await dependencies_.batch()->Cancel(JobId(job));
  static const auto logger = Logger("operator");
  logger.Info("Job cancelled.",
              {{"job", job},
               {"by", who},
               {"status", std::string(batch::JobStatusName(state.status))}});
  auto row = nlohmann::json();
  row["id"] = job;
  row["status"] = batch::JobStatusName(state.status);
  row["results"] = state.results();
  co_return row;
}

auto NodeOperatorBackend::DrainNode(std::string name)
    -> asio::awaitable<nlohmann::json> {
  const auto record = dependencies_.gossip.membership().Find(NodeId(name));
  if (!record) {
    throw Error(ErrorKind::kNotFound, "no such node", name, "see show nodes");
  }
  auto query = nlohmann::json();
  query["ask"] = "drain";
  const auto answer = co_await Ask(record->info, std::move(query));
  if (answer.is_null()) {
    throw Error(ErrorKind::kUnavailable, "node did not answer", name,
                "see explain node " + name);
  }
  auto row = nlohmann::json();
  row["name"] = name;
  row["state"] = answer;
  co_return row;
}

auto NodeOperatorBackend::RevisionsInForce()
    -> asio::awaitable<std::vector<operators::NodeRevision>> {
  auto query = nlohmann::json();
  query["ask"] = "revision";
  auto revisions = std::vector<operators::NodeRevision>();
  for (const auto& answer : co_await AskAll(std::move(query))) {
    auto revision = operators::NodeRevision();
    revision.node = answer.node;
    if (answer.answer.is_number_unsigned()) {
      revision.revision = answer.answer.get<std::uint64_t>();
    }
    revisions.push_back(std::move(revision));
  }
  co_return revisions;
}

auto NodeOperatorBackend::RegisteredNodes()
    -> asio::awaitable<std::vector<NodeId>> {
  co_return co_await dependencies_.registry.Names();
}

auto NodeOperatorBackend::NodesNotHeardOf(
    const std::vector<NodeId>& registered) const -> std::vector<std::string> {
  return control::NodesNotHeardOf(dependencies_.gossip.membership().records(),
                                  dependencies_.seeds, registered);
}

auto NodeOperatorBackend::SetLogLevel(const std::string& level) -> void {
  kumquatgauge::SetLogLevel(ParseLogLevel(level));
}

}  // namespace kumquatgauge::daemon
