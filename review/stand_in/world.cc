#include "review/stand_in/world.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <thread>

namespace review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr int kClientTimeoutMs = 4'000;

auto SplitQuery(const std::string& target)
    -> std::map<std::string, std::string> {
  auto values = std::map<std::string, std::string>();
  auto from = target.find('?');
  while (from != std::string::npos) {
    const auto end = target.find('&', from + 1);
    const auto pair = target.substr(
        from + 1, end == std::string::npos ? end : end - from - 1);
    const auto equals = pair.find('=');
    values[pair.substr(0, equals)] =
        equals == std::string::npos ? "" : pair.substr(equals + 1);
    from = end;
  }
  return values;
}

auto UnixMs() -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

auto Unescape(const std::string& text) -> std::string {
  constexpr int kHex = 16;
  auto plain = std::string();
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      plain += static_cast<char>(
          std::strtol(text.substr(at + 1, 2).c_str(), nullptr, kHex));
      at += 2;
    } else {
      plain += text[at];
    }
  }
  return plain;
}

}  // namespace

Record::Record(const std::string& file)
    : began_(steady_clock::now()), file_(file) {}

auto Record::Seconds() const -> double {
  return std::chrono::duration<double>(steady_clock::now() - began_).count();
}

auto Record::Add(const std::string& line) -> void {
  auto time = std::array<char, 32>();
  const auto lock = std::lock_guard(mutex_);
  std::snprintf(time.data(), time.size(), "%8.3f  ", Seconds());
  file_ << time.data() << line << std::endl;
}

// --- The store.

Store::Store(Record& record)
    : record_(record),
      server_(std::make_unique<Server>(
          [this](const Request& request, Connection& connection) {
            return Handle(request, connection);
          })) {}

Store::~Store() {
  stopped_ = true;
  changed_.notify_all();
  server_.reset();
}

auto Store::Put(const std::string& kind,
                const std::string& name,
                const std::string& spec) -> void {
  record_.Add("store: " + kind + "/" + name + " is written: " +
              (spec.size() > 300 ? spec.substr(0, 300) + "..." : spec));
  const auto lock = std::lock_guard(mutex_);
  Store_(kind, name, spec);
}

auto Store::Store_(const std::string& kind,
                   const std::string& name,
                   const std::string& spec) -> void {
  auto& object = objects_[kind][name];
  if (object.revision != 0 && object.spec == spec) {
    return;
  }
  object.spec = spec;
  object.revision = ++revision_;
  object.created = object.created == 0 ? revision_ : object.created;
  Remember(kind, name, object, false);
}

auto Store::Remove(const std::string& kind, const std::string& name) -> void {
  record_.Add("store: " + kind + "/" + name + " is removed");
  const auto lock = std::lock_guard(mutex_);
  auto object = objects_[kind][name];
  objects_[kind].erase(name);
  object.revision = ++revision_;
  Remember(kind, name, object, true);
}

auto Store::Get(const std::string& kind, const std::string& name) -> json {
  const auto lock = std::lock_guard(mutex_);
  const auto found = objects_[kind].find(name);
  return found == objects_[kind].end() ? json()
                                       : json::parse(found->second.spec);
}

auto Store::Remember(const std::string& kind,
                     const std::string& name,
                     const Object& object,
                     bool deleted) -> void {
  changes_.push_back({object.revision, kind,
                      R"({"object":)" + Show(name, object) + R"(,"deleted":)" +
                          (deleted ? "true" : "false") + "}"});
  changed_.notify_all();
}

auto Store::Show(const std::string& name, const Object& object) const
    -> std::string {
  return R"({"metadata":{"name":)" + json(name).dump() + R"(,"revision":)" +
         std::to_string(object.revision) + R"(,"created_rev":)" +
         std::to_string(object.created) +
         R"(,"finalizers":[],"deleting":false},"spec":)" + object.spec +
         R"(,"status":)" + object.status + "}";
}

auto Store::Handle(const Request& request, Connection& connection) -> bool {
  const auto [status, body] = Decide(request);
  std::this_thread::sleep_for(delay_.load());
  return Send(connection, status, {{"Content-Type", "application/json"}}, body);
}

auto Store::Decide(const Request& request) -> Reply {
  const auto prefix = std::string("/api/objects/");
  const auto query = SplitQuery(request.target);
  auto path = request.target.substr(0, request.target.find('?'));
  if (!path.starts_with(prefix)) {
    return {kNotFound, "{}"};
  }
  path = path.substr(prefix.size());
  const auto slash = path.find('/');
  const auto kind = path.substr(0, slash);
  auto name = slash == std::string::npos ? "" : path.substr(slash + 1);
  name = Unescape(name);
  if (request.method == "GET" && query.contains("watch")) {
    return Watch(kind, query);
  }
  return request.method == "GET" ? Read(kind, name, query)
                                 : Write(request, kind, name);
}

auto Store::Read(const std::string& kind,
                 const std::string& name,
                 const std::map<std::string, std::string>& query) -> Reply {
  constexpr std::size_t kPage = 500;
  const auto lock = std::lock_guard(mutex_);
  const auto& objects = objects_[kind];
  if (!name.empty()) {
    const auto found = objects.find(name);
    return found == objects.end() ? Reply(kNotFound, "{}")
                                  : Reply(kOk, Show(name, found->second));
  }
  const auto after = query.contains("after") ? Unescape(query.at("after")) : "";
  auto items = std::string();
  auto count = std::size_t{0};
  auto more = false;
  for (auto at = objects.upper_bound(after); at != objects.end(); ++at) {
    if (count == kPage) {
      more = true;
      break;
    }
    items += (count++ == 0 ? "" : ",") + Show(at->first, at->second);
  }
  return {kOk, R"({"items":[)" + items + R"(],"has_more":)" +
                   (more ? "true" : "false") + R"(,"as_of":)" +
                   std::to_string(revision_) + "}"};
}

auto Store::Watch(const std::string& kind,
                  const std::map<std::string, std::string>& query) -> Reply {
  const auto since = std::strtoull(query.at("watch").c_str(), nullptr, 10);
  const auto wait =
      milliseconds(query.contains("wait_ms")
                       ? std::strtol(query.at("wait_ms").c_str(), nullptr, 10)
                       : 0);
  auto events = std::string();
  const auto collect = [&] {
    for (const auto& change : changes_) {
      if (change.kind == kind && change.revision > since) {
        events += (events.empty() ? "" : ",") + change.text;
      }
    }
    return !events.empty() || stopped_;
  };
  auto lock = std::unique_lock(mutex_);
  changed_.wait_for(lock, wait, collect);
  return {kOk, R"({"events":[)" + events + R"(],"as_of":)" +
                   std::to_string(revision_) + "}"};
}

auto Store::Write(const Request& request,
                  const std::string& kind,
                  const std::string& name) -> Reply {
  const auto lock = std::lock_guard(mutex_);
  auto& objects = objects_[kind];
  if (request.method == "DELETE") {
    const auto query = SplitQuery(request.target);
    const auto found = objects.find(name);
    if (found == objects.end()) {
      return {kNotFound, "{}"};
    }
    if (query.contains("revision") &&
        query.at("revision") != std::to_string(found->second.revision)) {
      return {kConflict, Show(name, found->second)};
    }
    auto object = found->second;
    objects.erase(found);
    object.revision = ++revision_;
    Remember(kind, name, object, true);
    return {kOk, "{}"};
  }
  const auto body = json::parse(request.body);
  const auto& metadata = body.at("metadata");
  if (request.method == "POST") {
    const auto own = metadata.at("name").get<std::string>();
    if (objects.contains(own)) {
      return {kConflict, Show(own, objects.at(own))};
    }
    Store_(kind, own, body.at("spec").dump());
    return {kCreated, Show(own, objects.at(own))};
  }
  if (name.ends_with("/status") || !objects.contains(name)) {
    return {kNotFound, "{}"};  // No script asks a machine to be emptied.
  }
  if (metadata.contains("revision") &&
      metadata.at("revision") != objects.at(name).revision) {
    return {kConflict, Show(name, objects.at(name))};
  }
  Store_(kind, name, body.at("spec").dump());
  return {kOk, Show(name, objects.at(name))};
}

// --- Replicas.

Replica::Replica(Record& record, std::string id, int events, int event_ms)
    : record_(record),
      id_(std::move(id)),
      events_(events),
      event_ms_(event_ms),
      born_(UnixMs()),
      server_(std::make_unique<Server>(
          [this](const Request& request, Connection& connection) {
            return Handle(request, connection);
          })) {}

auto Replica::Entry(const std::string& state) const -> std::string {
  return json{{"service", "svc"},
              {"address", address()},
              {"zone", "z-a"},
              {"version", "v1"},
              {"slots", 8},
              {"state", state},
              {"cold_remaining_ms", 0},
              {"sequence", 1},
              {"born", born_.load()},
              {"stage", "both"},
              {"models",
               {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}}}}
      .dump();
}

auto Replica::StartAgain() -> void {
  born_ = UnixMs();
  server_->StartAgain();
}

auto Replica::Runs(const std::string& request) -> int {
  const auto lock = std::lock_guard(mutex_);
  return runs_[request];
}

auto Replica::Handle(const Request& request, Connection& connection) -> bool {
  const auto id = Find(request.headers, "Request-Id");
  if (Find(request.headers, "Target-Instance") != id_) {
    record_.Add(id_ + ": answers " + id + " with 421, not run");
    return Send(connection, kMisdirected,
                {{"Request-Id", id}, {"Not-Executed", "1"}}, "");
  }
  if (hook_ && !hook_(request, connection)) {
    return true;
  }
  {
    const auto lock = std::lock_guard(mutex_);
    ++runs_[id];
  }
  ++running_;
  const auto after = Find(request.headers, "Last-Event-Id");
  record_.Add(id_ + ": runs " + id +
              (after.empty() ? "" : " after event " + after));
  const auto whole = Stream(request, connection);
  --running_;
  record_.Add(id_ + ": the run of " + id +
              (whole ? " is complete" : " is cut off by the caller"));
  return whole;
}

auto Replica::Stream(const Request& request, Connection& connection) -> bool {
  const auto id = Find(request.headers, "Request-Id");
  const auto after = static_cast<int>(
      std::strtol(Find(request.headers, "Last-Event-Id").c_str(), nullptr, 10));
  auto head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
              "\r\nResponse-Signature: " + id_ + "." + id +
              "\r\nContent-Type: text/event-stream\r\nServer-Load: " +
              std::to_string(running_) + ",0,8\r\n" +
              (leaving_ ? "Server-Leaving: 1\r\n" : "") +
              "Transfer-Encoding: chunked\r\n\r\n";
  if (!connection.Write(head)) {
    return false;
  }
  for (auto number = after + 1; number <= events_; ++number) {
    std::this_thread::sleep_for(milliseconds(event_ms_));
    const auto text = "id: " + std::to_string(number) + "\ndata: " + id + "-" +
                      std::to_string(number) + "\n\n";
    auto size = std::array<char, 16>();
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    if (connection.Ended() || !connection.Write(size.data() + text + "\r\n")) {
      return false;
    }
  }
  return connection.Write("0\r\n\r\n");
}

auto ExpectedText(const std::string& request, int events) -> std::string {
  auto text = std::string();
  for (auto number = 1; number <= events; ++number) {
    text += (number == 1 ? "" : "\n") + request + "-" + std::to_string(number);
  }
  return text;
}

// --- Gateways.

Gateway::Gateway(Record& record,
                 std::string name,
                 const std::string& zone,
                 const std::string& store,
                 const std::string& folder,
                 const std::vector<std::string>& seeds)
    : record_(record), name_(std::move(name)), folder_(folder) {
  const auto free = [] { return "127.0.0.1:" + std::to_string(FreePort()); };
  callers_ = free();
  readiness_ = free();
  directory_ = free();
  nodes_ = free();
  settings_ = folder + "/" + name_ + ".toml";
  auto list = std::string();
  for (const auto& seed : seeds) {
    list += (list.empty() ? "\"" : ", \"") + seed + "\"";
  }
  auto file = std::ofstream(settings_);
  file << "[node]\nname = \"" << name_ << "\"\nzone = \"" << zone
       << "\"\nfleet_credential = \"kumquatgauge-fleet\"\nseeds = [" << list
       << "]\n\n[listen]\ncallers = \"" << callers_ << "\"\nreadiness = \""
       << readiness_ << "\"\ndirectory = \"" << directory_ << "\"\nnodes = \""
       << nodes_ << "\"\nmetrics = \"" << free() << "\"\n\n[store]\naddress = "
       << "\"" << store << "\"\nwrites_per_second = 400.0\n"
       << "reads_per_second = 2000.0\n\n[limits]\nmemory_mb = 260\n"
       << "max_descriptors = 4100\nstop_s = 8.0\naddress_ttl_s = 2\n";
}

Gateway::~Gateway() {
  if (process_ > 0) {
    ::kill(process_, SIGKILL);
    Wait();
  }
}

auto Gateway::Start() -> void {
  const auto log =
      folder_ + "/" + name_ + "." + std::to_string(++starts_) + ".log";
  const auto variable = "KUMQUATGAUGE_CONFIG=" + settings_;
  const auto path = std::string("PATH=/usr/bin:/bin");
  const auto environment =
      std::array<const char*, 3>{variable.c_str(), path.c_str(), nullptr};
  const auto arguments =
      std::array<const char*, 2>{"target/kqg-gateway", nullptr};
  process_ = ::fork();
  if (process_ == 0) {
    const auto file =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    ::dup2(file, 1);
    ::dup2(file, 2);
    ::execve(arguments[0], const_cast<char* const*>(arguments.data()),
             const_cast<char* const*>(environment.data()));
    ::_exit(127);
  }
  record_.Add(name_ + ": started");
}

auto Gateway::Signal(int signal) -> void {
  record_.Add(name_ + ": gets signal " + std::to_string(signal));
  ::kill(process_, signal);
}

auto Gateway::Wait() -> void {
  auto status = 0;
  ::waitpid(process_, &status, 0);
  record_.Add(name_ + ": has ended, status " + std::to_string(status));
  process_ = -1;
}

auto Gateway::Running() -> bool {
  return process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == 0;
}

auto Gateway::Ready() const -> bool {
  constexpr int kTimeoutMs = 1'000;
  return Call(readiness_, {"GET", "/api/ready", {{"Host", "x"}}, ""},
              kTimeoutMs)
             .status == kOk;
}

auto Gateway::Known() const -> std::size_t {
  constexpr int kTimeoutMs = 1'000;
  const auto answer =
      Call(directory_, {"GET", "/api/resolve?name=h", {{"Host", "x"}}, ""},
           kTimeoutMs);
  const auto body = json::parse(answer.body, nullptr, false);
  return body.is_object() ? body.at("addresses").size() : 0;
}

// --- The operator and clients.

auto Configuration() -> std::string {
  const auto route = [](const std::string& prefix, const std::string& kind,
                        const json& extra) {
    json all = {{"name", "r" + prefix},
                {"host", kHost},
                {"path_prefix", prefix},
                {"kind", kind},
                {"service", "svc"},
                {"timeout_ms", 5'000},
                {"target_latency_ms", 300},
                {"priority", 0},
                {"max_attempts", 2},
                {"gap_aim_ms", 300},
                {"sticky", true}};
    all.update(extra);
    return all;
  };
  return json{{"version", 3},
              {"routes",
               {route("/summary/", "stream", {{"resumable", true}}),
                route("/hint/", "stream", {{"max_attempts", 1}}),
                route("/batch/", "batch",
                      {{"timeout_ms", 15'000},
                       {"target_latency_ms", 400},
                       {"priority", 2},
                       {"max_attempts", 3},
                       {"completion_target_ms", 18'000},
                       {"retention_s", 60}})}},
              {"services",
               {{{"name", "svc"},
                 {"health_path", "/health"},
                 {"max_connections", 240}}}},
              {"limits",
               {{"max_header_bytes", 32'768},
                {"max_body_bytes", 4'194'304},
                {"header_timeout_ms", 10'000},
                {"idle_timeout_ms", 20'000}}}}
      .dump();
}

auto MakeItem(const std::string& id) -> json {
  return {{"id", id},
          {"path", "/batch/1/" + id},
          {"headers",
           {{"Model", "m"},
            {"Token-Usage", "350,166"},
            {"Prompt-Prefix", "9c2e41:100,5d" + id + ":250"}}},
          {"body", "q83vEjRWeJA="},
          {"tokens", 516}};
}

auto MakeJob(const std::vector<json>& items) -> std::string {
  return json{{"items", items}}.dump();
}

auto Submit(Record& record,
            const Gateway& gateway,
            const std::string& job,
            const std::string& body) -> int {
  record.Add("client: sends job " + job + " to " + gateway.callers());
  const auto answer = Call(gateway.callers(),
                           {"POST",
                            "/batch/" + job,
                            {{"Host", kHost},
                             {"Request-Id", job},
                             {"Timeout-Ms", "4000"},
                             {"Content-Type", "application/json"}},
                            body},
                           kClientTimeoutMs);
  record.Add("client: job " + job + " is answered " +
             std::to_string(answer.status) + " by " + gateway.callers());
  return answer.status;
}

auto ReadResults(Record& record, const Gateway& gateway, const std::string& job)
    -> Results {
  auto results = Results();
  auto status = kOk;
  while (true) {
    const auto answer = Call(
        gateway.callers(),
        {"GET",
         "/api/lots/" + job + "?after=" + std::to_string(results.list.size()),
         {{"Host", kHost}},
         ""},
        kClientTimeoutMs);
    status = answer.status;
    const auto page = json::parse(answer.body, nullptr, false);
    if (status != kOk || !answer.complete || !page.is_object()) {
      break;
    }
    results.read = true;
    results.total = page.at("total").get<std::size_t>();
    if (page.at("results").empty()) {
      break;
    }
    for (const auto& result : page.at("results")) {
      results.list.push_back(result);
    }
  }
  record.Add("client: reads job " + job + " at " + gateway.callers() + ": " +
             std::to_string(status) + ", " +
             std::to_string(results.list.size()) + " results of " +
             std::to_string(results.total));
  return results;
}

auto Await(milliseconds limit, const std::function<auto()->bool>& done)
    -> bool {
  const auto last = steady_clock::now() + limit;
  while (!done()) {
    if (steady_clock::now() > last) {
      return false;
    }
    Sleep(20);
  }
  return true;
}

auto Sleep(int duration) -> void {
  std::this_thread::sleep_for(milliseconds(duration));
}

auto Trouble() -> bool {
  const auto* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

auto MakeFolder() -> std::string {
  auto name =
      (std::filesystem::temp_directory_path() / "kqg-review-XXXXXX").string();
  return ::mkdtemp(name.data()) == nullptr ? std::string() : name;
}

}  // namespace review
