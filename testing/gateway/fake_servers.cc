#include "testing/gateway/fake_servers.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <stdexcept>
#include <utility>

namespace kumquatgauge::testing {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto kObjects = std::string_view("/api/objects/");
constexpr milliseconds kWatchStep{10};
constexpr std::size_t kEndlessPiece = 64'000;
constexpr milliseconds kTrickleStep{50};
constexpr std::size_t kPieces = 4;  // Of an event.
constexpr milliseconds kPieceStep{250};
constexpr milliseconds kHangStep{5};

auto QueryNumber(const std::string& target, const std::string& name)
    -> std::uint64_t {
  const auto at = target.find(name + "=");
  return at == std::string::npos
             ? 0
             : std::stoull(target.substr(at + name.size() + 1));
}

auto DecodePercent(const std::string& text) -> std::string {
  constexpr auto kHexadecimal = 16;
  auto decoded = std::string();
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      decoded.push_back(static_cast<char>(
          std::stoi(text.substr(at + 1, 2), nullptr, kHexadecimal)));
      at += 2;
    } else {
      decoded.push_back(text[at]);
    }
  }
  return decoded;
}

// The kind that a call names, with the name of the object if it names one.
auto ObjectPath(const caller::IncomingRequest& request) -> std::string {
  const auto mark = request.target.find('?');
  return DecodePercent(
      request.target.substr(kObjects.size(), mark - kObjects.size()));
}

auto Pause(asio::io_context& context, milliseconds time) -> awaitable<void> {
  auto timer = asio::steady_timer(context, time);
  co_await timer.async_wait(kAwaitTuple);
}

auto LeavingHeader() -> HttpHeader {
  return {"Server-Leaving", "1"};
}

// Stands for a value that is put into the text of an answer.
auto TextMark(std::size_t number) -> std::string {
  return "@text-" + std::to_string(number) + "@";
}

auto EventData(const std::string& request,
               int number,
               const std::string& version) -> std::string {
  return request + "-" + std::to_string(number) +
         (version.empty() ? "" : "@" + version);
}

auto EventText(const std::string& request,
               int number,
               const std::string& version) -> std::string {
  return "id: " + std::to_string(number) +
         "\ndata: " + EventData(request, number, version) + "\n\n";
}

}  // namespace

FakeObjectApi::FakeObjectApi(asio::io_context& context) : context_(context) {
  AddEndpoint();
}

auto FakeObjectApi::AddEndpoint() -> std::string {
  auto endpoint = std::make_shared<Endpoint>();
  endpoint->listener = std::make_unique<caller::HttpListener>(
      context_, "127.0.0.1:0", caller::ListenerLimits(),
      [this, weak = std::weak_ptr(endpoint)](
          std::shared_ptr<const Request> request,
          std::shared_ptr<Writer> writer) {
        return Handle(std::move(request), std::move(writer), weak.lock());
      });
  endpoint->listener->Start();
  const auto lock = std::lock_guard(mutex_);
  endpoints_.push_back(endpoint);
  return endpoint->listener->address();
}

auto FakeObjectApi::SetEndpointDown(const std::string& address, bool down)
    -> void {
  const auto lock = std::lock_guard(mutex_);
  EndpointAt(address).down = down;
}

auto FakeObjectApi::EndpointAt(const std::string& address) -> Endpoint& {
  const auto found = std::find_if(
      endpoints_.begin(), endpoints_.end(), [&](const auto& endpoint) {
        return endpoint->listener->address() == address;
      });
  if (found == endpoints_.end()) {
    throw std::invalid_argument("no endpoint of the store at " + address);
  }
  return **found;
}

auto FakeObjectApi::SetKindDown(const std::string& kind, bool down) -> void {
  const auto lock = std::lock_guard(mutex_);
  if (down) {
    kinds_down_.insert(kind);
  } else {
    kinds_down_.erase(kind);
  }
}

auto FakeObjectApi::IsDown(const Endpoint& endpoint) const -> bool {
  const auto lock = std::lock_guard(mutex_);
  return down_ || endpoint.down;
}

auto FakeObjectApi::Put(const std::string& key, json spec) -> void {
  const auto lock = std::lock_guard(mutex_);
  Replace(key, {std::move(spec), ++revision_, false});
}

auto FakeObjectApi::PutText(const std::string& key, const std::string& text)
    -> void {
  auto mark = std::string();
  {
    const auto lock = std::lock_guard(mutex_);
    mark = TextMark(texts_.size());
    texts_.push_back(text);
  }
  Put(key, mark);
}

auto FakeObjectApi::TextOf(const json& body) const -> std::string {
  const auto lock = std::lock_guard(mutex_);
  auto text = body.dump();
  for (std::size_t at = 0; at < texts_.size(); ++at) {
    const auto mark = "\"" + TextMark(at) + "\"";
    for (auto found = text.find(mark); found != std::string::npos;
         found = text.find(mark, found + texts_[at].size())) {
      text.replace(found, mark.size(), texts_[at]);
    }
  }
  return text;
}

auto FakeObjectApi::Remove(const std::string& key) -> void {
  const auto lock = std::lock_guard(mutex_);
  Replace(key, {objects_[key].spec, ++revision_, true});
}

auto FakeObjectApi::Replace(const std::string& key, Object object) -> void {
  const auto now = std::chrono::steady_clock::now();
  auto& former = former_[key];
  std::erase_if(former, [&](const auto& entry) {
    return now - entry.replaced > kMaxReadAge;
  });
  const auto found = objects_.find(key);
  former.push_back(
      {now, found == objects_.end() ? Object{json(), 0, true} : found->second});
  objects_[key] = std::move(object);
}

auto FakeObjectApi::Find(const std::string& key, milliseconds age) const
    -> const Object* {
  const auto at = std::chrono::steady_clock::now() - age;
  const auto* object = static_cast<const Object*>(nullptr);
  if (const auto found = objects_.find(key); found != objects_.end()) {
    object = &found->second;
  }
  const auto former = former_.find(key);
  if (age > milliseconds(0) && former != former_.end()) {
    const auto then =
        std::find_if(former->second.begin(), former->second.end(),
                     [&](const auto& entry) { return entry.replaced > at; });
    object = then == former->second.end() ? object : &then->object;
  }
  return object == nullptr || object->deleted ? nullptr : object;
}

auto FakeObjectApi::SetReadAge(const std::string& address, milliseconds age)
    -> void {
  const auto lock = std::lock_guard(mutex_);
  EndpointAt(address).read_age = std::min(age, kMaxReadAge);
}

auto FakeObjectApi::SetAnswerDelay(const std::string& address,
                                   milliseconds delay) -> void {
  const auto lock = std::lock_guard(mutex_);
  EndpointAt(address).answer_delay = delay;
}

auto FakeObjectApi::Has(const std::string& key) const -> bool {
  const auto lock = std::lock_guard(mutex_);
  const auto found = objects_.find(key);
  return found != objects_.end() && !found->second.deleted;
}

auto FakeObjectApi::Get(const std::string& key) const -> json {
  const auto lock = std::lock_guard(mutex_);
  const auto found = objects_.find(key);
  return found == objects_.end() || found->second.deleted ? json()
                                                          : found->second.spec;
}

auto FakeObjectApi::set_down(bool down) -> void {
  const auto lock = std::lock_guard(mutex_);
  down_ = down;
}

auto FakeObjectApi::SetReadDelay(const std::string& kind, milliseconds delay)
    -> void {
  const auto lock = std::lock_guard(mutex_);
  read_delays_[kind] = delay;
}

auto FakeObjectApi::SetWriteDelay(const std::string& kind, milliseconds delay)
    -> void {
  const auto lock = std::lock_guard(mutex_);
  write_delays_[kind] = delay;
}

auto FakeObjectApi::Delay(const Request& request) const -> milliseconds {
  const auto lock = std::lock_guard(mutex_);
  const auto path = request.target.substr(kObjects.size());
  const auto& delays = request.method == "GET" ? read_delays_ : write_delays_;
  const auto delay = delays.find(path.substr(0, path.find('/')));
  return delay == delays.end() ? milliseconds(0) : delay->second;
}

auto FakeObjectApi::AnswerDelay(const Endpoint& endpoint) const
    -> milliseconds {
  const auto lock = std::lock_guard(mutex_);
  return endpoint.answer_delay;
}

auto FakeObjectApi::LoseAnswers(const std::string& kind, int count) -> void {
  const auto lock = std::lock_guard(mutex_);
  lost_answers_[kind] = count;
}

auto FakeObjectApi::Handle(std::shared_ptr<const Request> request,
                           std::shared_ptr<Writer> writer,
                           std::shared_ptr<Endpoint> endpoint)
    -> awaitable<void> {
  CountCall(*request);
  const auto since = QueryNumber(request->target, "watch");
  const auto wait = milliseconds(QueryNumber(request->target, "wait_ms"));
  const auto mark = request->target.find('?');
  const auto kind =
      request->target.substr(kObjects.size(), mark - kObjects.size());
  if (since > 0) {
    const auto last = std::chrono::steady_clock::now() + wait;
    while (!IsDown(*endpoint) && Changes(kind, since).at("events").empty() &&
           std::chrono::steady_clock::now() < last) {
      co_await Pause(context_, kWatchStep);
    }
  }
  co_await Pause(context_, Delay(*request));
  const auto held = TakeHold(*request, *endpoint);
  const auto answer_delay = AnswerDelay(*endpoint);
  auto [status, body] = since > 0 && !IsDown(*endpoint)
                            ? std::pair(200, Changes(kind, since))
                            : Answer(*request, *endpoint);
  if (status == 0) {
    co_return;  // The connection closes without an answer.
  }
  co_await Pause(context_, answer_delay);
  while (held && HoldsAnswer()) {
    co_await Pause(context_, kWatchStep);
  }
  auto headers = HeaderList{{"Content-Type", "application/json"}};
  auto text = MaybeMutate(TextOf(body));
  co_await writer->Send(status, std::move(headers), std::move(text));
}

auto FakeObjectApi::HoldAnswer(
    std::function<auto(const ObjectCall&)->bool> chosen) -> void {
  const auto lock = std::lock_guard(mutex_);
  hold_ = std::move(chosen);
}

auto FakeObjectApi::HoldsAnswer() const -> bool {
  const auto lock = std::lock_guard(mutex_);
  return holding_;
}

auto FakeObjectApi::ReleaseAnswer() -> void {
  const auto lock = std::lock_guard(mutex_);
  holding_ = false;
}

auto FakeObjectApi::TakeHold(const Request& request, const Endpoint& endpoint)
    -> bool {
  auto chosen = std::function<auto(const ObjectCall&)->bool>();
  {
    const auto lock = std::lock_guard(mutex_);
    chosen = hold_;
  }
  if (!chosen) {
    return false;
  }
  auto key = ObjectPath(request);
  if (request.method == "POST") {
    const auto body = json::parse(request.body);
    key += "/" + body.at("metadata").at("name").get<std::string>();
  }
  if (!chosen({request.method, key, endpoint.listener->address()})) {
    return false;
  }
  const auto lock = std::lock_guard(mutex_);
  hold_ = nullptr;
  holding_ = true;
  return true;
}

auto FakeObjectApi::MaybeMutate(const std::string& text) -> std::string {
  const auto lock = std::lock_guard(mutex_);
  return malformed_ ? mutator_.Mutate({text}) : text;
}

auto FakeObjectApi::CountCall(const Request& request) -> void {
  const auto lock = std::lock_guard(mutex_);
  const auto mark = request.target.find('?');
  const auto path =
      request.target.substr(kObjects.size(), mark - kObjects.size());
  const auto name = path.find('/');
  auto method = std::string(request.method == "POST"     ? "create"
                            : request.method == "PUT"    ? "replace"
                            : request.method == "DELETE" ? "remove"
                            : name == std::string::npos  ? "list"
                                                         : "read");
  if (request.target.find("stale_ok") != std::string::npos) {
    method += "_stale";
  } else if (request.target.find("watch=") != std::string::npos) {
    method = "watch";
  }
  ++calls_[path.substr(0, name) + "." + method];
}

auto FakeObjectApi::Calls(const std::string& kind_and_method) const -> int {
  const auto lock = std::lock_guard(mutex_);
  const auto found = calls_.find(kind_and_method);
  return found == calls_.end() ? 0 : found->second;
}

auto FakeObjectApi::ExactLists(const std::string& kind) const -> int {
  const auto lock = std::lock_guard(mutex_);
  const auto found = exact_lists_.find(kind);
  return found == exact_lists_.end() ? 0 : found->second;
}

auto FakeObjectApi::set_malformed(bool malformed) -> void {
  const auto lock = std::lock_guard(mutex_);
  malformed_ = malformed;
}

auto FakeObjectApi::Changes(const std::string& kind, std::uint64_t since) const
    -> json {
  const auto lock = std::lock_guard(mutex_);
  auto events = json::array();
  for (const auto& [key, object] : objects_) {
    if (key.starts_with(kind + "/") && object.revision > since) {
      events.push_back({{"deleted", object.deleted},
                        {"object", Show(key.substr(kind.size() + 1), object)}});
    }
  }
  return {{"events", std::move(events)}, {"as_of", revision_}};
}

auto FakeObjectApi::Show(const std::string& name, const Object& object) const
    -> json {
  return {{"metadata", {{"name", name}, {"revision", object.revision}}},
          {"spec", object.spec}};
}

auto FakeObjectApi::Answer(const Request& request, const Endpoint& endpoint)
    -> std::pair<int, json> {
  const auto lock = std::lock_guard(mutex_);
  if (down_ || endpoint.down) {
    return {503, json::object()};
  }
  const auto path = ObjectPath(request);
  if (kinds_down_.contains(path.substr(0, path.find('/')))) {
    return {503, json::object()};
  }
  const auto exact = request.target.find("stale_ok") == std::string::npos;
  if (request.method == "GET" && path.find('/') == std::string::npos && exact) {
    ++exact_lists_[path];
  }
  return request.method == "GET"
             ? AnswerRead(path, exact ? milliseconds(0) : endpoint.read_age)
             : AnswerWrite(request, path);
}

auto FakeObjectApi::AnswerRead(const std::string& path, milliseconds age) const
    -> std::pair<int, json> {
  if (path.find('/') != std::string::npos) {
    const auto* found = Find(path, age);
    if (found == nullptr) {
      return {404, json::object()};
    }
    return {200, Show(path.substr(path.find('/') + 1), *found)};
  }
  auto items = json::array();
  for (const auto& [key, object] : objects_) {
    if (!key.starts_with(path + "/")) {
      continue;
    }
    if (const auto* found = Find(key, age)) {
      items.push_back(Show(key.substr(path.size() + 1), *found));
    }
  }
  return {
      200,
      {{"items", std::move(items)}, {"has_more", false}, {"as_of", revision_}}};
}

auto FakeObjectApi::StatusOf(const std::string& key) const -> json {
  const auto lock = std::lock_guard(mutex_);
  const auto found = statuses_.find(key);
  return found == statuses_.end() ? json() : found->second;
}

auto FakeObjectApi::AnswerWrite(const Request& request, const std::string& path)
    -> std::pair<int, json> {
  const auto kind = path.substr(0, path.find('/'));
  if (request.method == "DELETE") {
    Replace(path, {objects_[path].spec, ++revision_, true});
    return {200, json::object()};
  }
  const auto body = json::parse(request.body);
  const auto name = body.at("metadata").at("name").get<std::string>();
  const auto key = kind + "/" + name;
  const auto found = objects_.find(key);
  const auto exists = found != objects_.end() && !found->second.deleted;
  if (path == key + "/status") {
    statuses_[key] = body.at("status");
    return {exists ? 200 : 404, json::object()};
  }
  const auto expected = body.at("metadata").value("revision", std::uint64_t{0});
  const auto conflict = request.method == "POST"
                            ? exists
                            : !exists || found->second.revision != expected;
  if (conflict) {
    return {exists ? 409 : 404, json::object()};
  }
  Replace(key, {body.at("spec"), ++revision_, false});
  if (lost_answers_[kind] > 0) {
    --lost_answers_[kind];
    return {0, json::object()};
  }
  return {200, Show(name, objects_[key])};
}

FakeReplica::FakeReplica(asio::io_context& context,
                         std::string id,
                         OnStart on_start)
    : name_(std::move(id)),
      id_(name_),
      on_start_(std::move(on_start)),
      context_(context),
      listener_(context,
                "127.0.0.1:0",
                caller::ListenerLimits(),
                [this](std::shared_ptr<const caller::IncomingRequest> request,
                       std::shared_ptr<caller::ResponseWriter> writer) {
                  return Handle(std::move(request), std::move(writer));
                }) {
  listener_.Start();
}

auto FakeReplica::SetFault(ReplicaFault fault, int count) -> void {
  const auto lock = std::lock_guard(mutex_);
  fault_ = fault;
  fault_count_ = count;
}

auto FakeReplica::Refuse(int count) -> void {
  const auto lock = std::lock_guard(mutex_);
  refusals_ = count;
}

auto FakeReplica::id() const -> std::string {
  const auto lock = std::lock_guard(mutex_);
  return id_;
}

auto FakeReplica::set_crashing_part(const std::string& part) -> void {
  const auto lock = std::lock_guard(mutex_);
  crashing_part_ = part;
}

auto FakeReplica::set_crashing_body(const std::string& body) -> void {
  const auto lock = std::lock_guard(mutex_);
  crashing_body_ = body;
}

auto FakeReplica::set_start_limit(const std::string& limit) -> void {
  const auto lock = std::lock_guard(mutex_);
  start_limit_ = limit;
}

auto FakeReplica::set_leaving(bool leaving) -> void {
  const auto lock = std::lock_guard(mutex_);
  leaving_ = leaving;
}

auto FakeReplica::set_hanging(bool hanging) -> void {
  const auto lock = std::lock_guard(mutex_);
  hanging_ = hanging;
}

auto FakeReplica::hanging() const -> bool {
  const auto lock = std::lock_guard(mutex_);
  return hanging_;
}

auto FakeReplica::version() const -> std::string {
  const auto lock = std::lock_guard(mutex_);
  return version_;
}

auto FakeReplica::set_version(const std::string& version) -> void {
  const auto lock = std::lock_guard(mutex_);
  version_ = version;
}

auto FakeReplica::Restart() -> void {
  const auto lock = std::lock_guard(mutex_);
  id_ = name_ + "-r" + std::to_string(++restarts_);
  leaving_ = false;
}

auto FakeReplica::crashes() const -> int {
  const auto lock = std::lock_guard(mutex_);
  return crashes_;
}

auto FakeReplica::Crashes(const caller::IncomingRequest& request) -> bool {
  const auto lock = std::lock_guard(mutex_);
  const auto prompt = FindHeader(request.headers, "Prompt-Prefix");
  const auto by_part =
      !crashing_part_.empty() &&
      prompt.find(crashing_part_ + ":") != std::string_view::npos;
  const auto by_body =
      !crashing_body_.empty() && request.body == crashing_body_;
  if (!by_part && !by_body) {
    return false;
  }
  id_ = name_ + "-" + std::to_string(++crashes_);
  return true;
}

auto FakeReplica::set_event_delay(milliseconds delay) -> void {
  const auto lock = std::lock_guard(mutex_);
  event_delay_ = delay;
}

auto FakeReplica::HeadersOf(const std::string& request) const -> HeaderList {
  const auto lock = std::lock_guard(mutex_);
  const auto found = headers_.find(request);
  return found == headers_.end() ? HeaderList() : found->second;
}

auto FakeReplica::RunCount(const std::string& request) const -> int {
  const auto lock = std::lock_guard(mutex_);
  const auto found = runs_.find(request);
  return found == runs_.end() ? 0 : found->second;
}

auto FakeReplica::total_runs() const -> int {
  const auto lock = std::lock_guard(mutex_);
  auto all = 0;
  for (const auto& [request, count] : runs_) {
    all += count;
  }
  return all;
}

auto FakeReplica::SetFaultyPathPart(const std::string& part) -> void {
  const auto lock = std::lock_guard(mutex_);
  faulty_path_part_ = part;
}

auto FakeReplica::finished_runs() const -> int {
  const auto lock = std::lock_guard(mutex_);
  return finished_runs_;
}

auto FakeReplica::TakeFault(const std::string& path) -> ReplicaFault {
  const auto lock = std::lock_guard(mutex_);
  if (refusals_ > 0) {
    --refusals_;
    return ReplicaFault::kRefuse;
  }
  if (fault_count_ == 0 || path.find(faulty_path_part_) == std::string::npos) {
    return ReplicaFault::kNone;
  }
  --fault_count_;
  return fault_;
}

auto FakeReplica::Handle(std::shared_ptr<const caller::IncomingRequest> request,
                         std::shared_ptr<caller::ResponseWriter> writer)
    -> awaitable<void> {
  const auto fault = TakeFault(request->target);
  const auto own_id = id();
  const auto request_id =
      std::string(FindHeader(request->headers, "Request-Id"));
  const auto target = FindHeader(request->headers, "Target-Instance");
  const auto weights = FindHeader(request->headers, "Expect-Version");
  const auto misdirected =
      target != own_id || (!weights.empty() && weights != kWeightVersion);
  auto headers = HeaderList{{"Request-Id", request_id},
                            {"Response-Signature", "signed." + own_id}};
  auto refusal = HeaderList{{"Request-Id", request_id}, {"Not-Executed", "1"}};
  {
    const auto lock = std::lock_guard(mutex_);
    if (!start_limit_.empty()) {
      headers.push_back({"Server-Limit", start_limit_});
    }
    if (leaving_) {
      headers.push_back(LeavingHeader());
      refusal.push_back(LeavingHeader());
    }
  }
  if (misdirected || fault == ReplicaFault::kRefuse) {
    const auto status = misdirected ? 421 : 503;
    co_await writer->Send(status, std::move(refusal), "");
    co_return;
  }
  {
    const auto lock = std::lock_guard(mutex_);
    ++runs_[request_id];
    headers_[request_id] = request->headers;
  }
  if (on_start_) {
    on_start_(request_id);
  }
  while (hanging()) {
    co_await Pause(context_, kHangStep);
  }
  if (fault == ReplicaFault::kLoseAnswer || Crashes(*request)) {
    co_return;
  }
  if (fault == ReplicaFault::kFail || fault == ReplicaFault::kUnprocessable) {
    const auto status = fault == ReplicaFault::kFail ? 500 : 422;
    co_await writer->Send(status, std::move(headers), "failed");
    co_return;
  }
  if (fault == ReplicaFault::kEndlessBody) {
    co_await writer->BeginStream(200, std::move(headers));
    while (co_await writer->WriteChunk(std::string(kEndlessPiece, 'x'))) {
    }
    co_return;
  }
  if (fault == ReplicaFault::kWrongRequestId) {
    headers.front().value = "another";
  }
  if (request->target.starts_with("/plain/")) {
    auto body = "answer to " + request->body;
    co_await writer->Send(200, std::move(headers), std::move(body));
    co_return;
  }
  co_await Stream(*request, writer, std::move(headers), fault);
}

// Begins an event that never ends.
auto FakeReplica::Trickle(std::shared_ptr<caller::ResponseWriter> writer)
    -> awaitable<void> {
  auto text = std::string("data: ");
  while (co_await writer->WriteChunk(std::exchange(text, "x"))) {
    co_await Pause(context_, kTrickleStep);
  }
}

auto FakeReplica::WriteInPieces(std::shared_ptr<caller::ResponseWriter> writer,
                                std::string text) -> awaitable<void> {
  const auto size = text.size() / kPieces + 1;
  for (std::size_t at = 0; at < text.size(); at += size) {
    co_await Pause(context_, kPieceStep);
    co_await writer->WriteChunk(text.substr(at, size));
  }
}

auto FakeReplica::Stream(const caller::IncomingRequest& request,
                         std::shared_ptr<caller::ResponseWriter> writer,
                         HeaderList headers,
                         ReplicaFault fault) -> awaitable<void> {
  const auto id = std::string(FindHeader(request.headers, "Request-Id"));
  const auto last = FindHeader(request.headers, "Last-Event-Id");
  const auto after = last.empty() ? 0 : std::stoi(std::string(last));
  const auto own_version = version();
  headers.push_back({"Content-Type", "text/event-stream"});
  const auto slow = request.target.find(kSlowPathPart) != std::string::npos;
  co_await writer->BeginStream(200, std::move(headers));
  for (auto number = after + 1; number <= kEvents; ++number) {
    co_await Pause(context_, slow ? kSlowEventDelay : event_delay_);
    auto text = EventText(id, number, own_version);
    if (fault == ReplicaFault::kBreakMidEvent && number == 3) {
      text.resize(text.size() / 2);
      co_await writer->WriteChunk(std::move(text));
      co_return;
    }
    if (fault == ReplicaFault::kTrickle && number == 3) {
      co_await Trickle(writer);
      co_return;
    }
    if (fault == ReplicaFault::kPieces && number == 3) {
      co_await WriteInPieces(writer, std::move(text));
    } else {
      co_await writer->WriteChunk(std::move(text));
    }
  }
  const auto finished = co_await writer->FinishStream();
  const auto lock = std::lock_guard(mutex_);
  finished_runs_ += finished ? 1 : 0;
}

auto ExpectedText(const std::string& request, const std::string& version)
    -> std::string {
  auto text = std::string();
  for (auto number = 1; number <= FakeReplica::kEvents; ++number) {
    text += (number > 1 ? "\n" : "") + EventData(request, number, version);
  }
  return text;
}

auto ExpectedEvents(const std::string& request,
                    int after,
                    const std::string& version) -> std::string {
  auto text = std::string();
  for (auto number = after + 1; number <= FakeReplica::kEvents; ++number) {
    text += EventText(request, number, version);
  }
  return text;
}

auto LastEventIn(const std::string& text) -> int {
  const auto end = text.rfind("\n\n");
  if (end == std::string::npos) {
    return 0;
  }
  const auto id = text.rfind("id: ", end);
  return id == std::string::npos ? 0 : std::stoi(text.substr(id + 4));
}

auto VersionIn(const std::string& text) -> std::string {
  const auto begin = text.find('@');
  return begin == std::string::npos
             ? ""
             : text.substr(begin + 1, text.find('\n', begin) - begin - 1);
}

FakeServerThread::FakeServerThread()
    : guard_(asio::make_work_guard(context_)),
      thread_([this] { context_.run(); }) {}

FakeServerThread::~FakeServerThread() {
  Stop();
}

auto FakeServerThread::Stop() -> void {
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

}  // namespace kumquatgauge::testing
