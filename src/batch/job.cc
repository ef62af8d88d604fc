#include "kumquatgauge/batch/job.h"

#include <xxhash.h>

#include <cstdio>
#include <nlohmann/json.hpp>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::batch {
namespace {

using Json = nlohmann::json;

constexpr auto kFormatVersion = 1;
constexpr auto kScalarEnds = std::string_view(",:]} \t\r\n");

auto Dump(const Json& json) -> std::string {
  // Engines may split a character between tokens. Invalid UTF-8 is replaced so
  // that the result can always be written.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

template <typename Parser>
auto ParseStored(std::string_view text, const char* what, Parser parser) {
  try {
    return parser(Json::parse(text));
  } catch (const Json::exception& error) {
    throw Error(ErrorKind::kInternal, std::string("unreadable ") + what,
                error.what(), "report the object to the maintainers");
  }
}

template <typename Item>
auto ParseLines(const std::string& text) -> std::vector<Item> {
  auto items = std::vector<Item>();
  auto rest = std::string_view(text);
  while (!rest.empty()) {
    const auto end = rest.find('\n');
    const auto line = rest.substr(0, end);
    if (!line.empty()) {
      items.push_back(Item::FromJson(line));
    }
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
  return items;
}

auto TimesToJson(const std::map<JobId, WallMillis>& times) -> Json {
  auto json = Json::object();
  for (const auto& [job, time] : times) {
    json[job.value()] = time;
  }
  return json;
}

auto TimesFromJson(const Json& json) -> std::map<JobId, WallMillis> {
  auto times = std::map<JobId, WallMillis>();
  for (const auto& [job, time] : json.items()) {
    times.emplace(JobId(job), time.get<WallMillis>());
  }
  return times;
}

// Scans valid JSON text.
class Scanner {
 public:
  explicit Scanner(std::string_view text) : text_(text) {}

  auto position() const -> std::size_t { return position_; }
  auto Peek() -> char {
    while (position_ < text_.size() && IsSpace(text_[position_])) {
      ++position_;
    }
    return position_ < text_.size() ? text_[position_] : '\0';
  }
  auto Skip() -> void { ++position_; }
  auto SkipString() -> void {
    ++position_;
    while (position_ < text_.size() && text_[position_] != '"') {
      position_ += text_[position_] == '\\' ? 2 : 1;
    }
    ++position_;
  }
  auto SkipValue() -> void {
    auto depth = 0;
    do {
      const auto next = Peek();
      if (next == '"') {
        SkipString();
      } else if (next == '{' || next == '[') {
        ++depth;
        Skip();
      } else if (next == '}' || next == ']') {
        --depth;
        Skip();
      } else if (next == ',' || next == ':') {
        Skip();
      } else {
        SkipScalar();
      }
    } while (depth > 0 && position_ < text_.size());
  }

 private:
  static auto IsSpace(char c) -> bool {
    return c == ' ' || c == '\t' || c == '\r' || c == '\n';
  }
  auto SkipScalar() -> void {
    const auto end = text_.find_first_of(kScalarEnds, position_);
    position_ = end == std::string_view::npos ? text_.size() : end;
  }

  std::string_view text_;
  std::size_t position_ = 0;
};

}  // namespace

namespace detail {

auto RawMember(std::string_view text, std::string_view name)
    -> std::string_view {
  auto scanner = Scanner(text);
  auto found = std::string_view();
  if (scanner.Peek() != '{') {
    return found;
  }
  scanner.Skip();
  while (scanner.Peek() == '"') {
    const auto key_begin = scanner.position();
    scanner.SkipString();
    const auto raw_key = text.substr(key_begin, scanner.position() - key_begin);
    scanner.Peek();
    scanner.Skip();  // The colon.
    scanner.Peek();
    const auto begin = scanner.position();
    scanner.SkipValue();
    // The key may contain escapes.
    if (Json::parse(raw_key).get<std::string>() == name) {
      found = text.substr(begin, scanner.position() - begin);
    }
    if (scanner.Peek() == ',') {
      scanner.Skip();
    }
    scanner.Peek();
  }
  return found;
}

}  // namespace detail

auto HashText(std::string_view bytes) -> std::string {
  const auto hash = XXH3_128bits(bytes.data(), bytes.size());
  char text[33];
  std::snprintf(text, sizeof(text), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text;
}

auto MakeJobId(const OrganisationName& organisation,
               std::string_view client_key) -> JobId {
  // The length distinguishes ("ab", "c") from ("a", "bc").
  return JobId(HashText(std::to_string(organisation.value().size()) + ":" +
                        organisation.value() + std::string(client_key)));
}

auto ShardOfJob(const JobId& job) -> std::size_t {
  const auto& id = job.value();
  return XXH3_64bits(id.data(), id.size()) % kShardCount;
}

auto JobPrefix(const JobId& job) -> std::string {
  return "job/" + job.value() + "/";
}

auto ManifestKey(const JobId& job) -> std::string {
  return JobPrefix(job) + "manifest";
}

auto StateKey(const JobId& job) -> std::string {
  return JobPrefix(job) + "state";
}

auto InputKey(const JobId& job, std::size_t chunk, const std::string& hash)
    -> std::string {
  return JobPrefix(job) + "in/" + std::to_string(chunk) + "." + hash;
}

auto OutputKey(const JobId& job,
               std::size_t chunk,
               std::size_t part,
               std::uint64_t token) -> std::string {
  return JobPrefix(job) + "out/" + std::to_string(chunk) + "." +
         std::to_string(part) + "." + std::to_string(token);
}

auto IndexKey(std::size_t shard) -> std::string {
  return "index/" + std::to_string(shard);
}

auto FinishedKey(std::size_t shard) -> std::string {
  return "finished/" + std::to_string(shard);
}

auto ShardLeaseKey(std::size_t shard) -> std::string {
  return "shard/" + std::to_string(shard);
}

auto JobManifest::ToJson() const -> std::string {
  auto rejected_json = Json::array();
  for (const auto& line : rejected) {
    rejected_json.push_back({line.line, line.reason});
  }
  auto chunks_json = Json::array();
  for (const auto& chunk : chunks) {
    chunks_json.push_back({chunk.hash, chunk.items});
  }
  const auto chat = endpoint == routing::CompletionEndpoint::kChatCompletions;
  return Dump({{"v", kFormatVersion},
               {"id", id.value()},
               {"organisation", organisation.value()},
               {"client_key", client_key},
               {"service", service.value()},
               {"endpoint", chat ? "chat_completions" : "completions"},
               {"body_hash", body_hash},
               {"items", items},
               {"rejected_count", rejected_count},
               {"rejected", std::move(rejected_json)},
               {"chunks", std::move(chunks_json)},
               {"due", due},
               {"created", created},
               {"expired", expired}});
}

auto JobManifest::FromJson(const std::string& text) -> JobManifest {
  return ParseStored(text, "job manifest", [](const Json& json) {
    auto manifest = JobManifest{
        .id = JobId(json.at("id").get<std::string>()),
        .organisation =
            OrganisationName(json.at("organisation").get<std::string>()),
        .client_key = json.at("client_key"),
        .service = ServiceName(json.at("service").get<std::string>()),
        .endpoint = json.at("endpoint") == "chat_completions"
                        ? routing::CompletionEndpoint::kChatCompletions
                        : routing::CompletionEndpoint::kCompletions,
        .body_hash = json.at("body_hash"),
        .items = json.at("items"),
        .rejected_count = json.at("rejected_count"),
        .rejected = {},
        .chunks = {},
        .due = json.at("due"),
        .created = json.at("created"),
        .expired = json.at("expired")};
    for (const auto& line : json.at("rejected")) {
      manifest.rejected.push_back({line.at(0), line.at(1)});
    }
    for (const auto& chunk : json.at("chunks")) {
      manifest.chunks.push_back({chunk.at(0), chunk.at(1)});
    }
    return manifest;
  });
}

auto JobStatusName(JobStatus status) -> std::string_view {
  switch (status) {
    case JobStatus::kRunning:
      return "running";
    case JobStatus::kCompleted:
      return "completed";
    case JobStatus::kCancelled:
      break;
  }
  return "cancelled";
}

auto JobState::results() const -> std::size_t {
  auto sum = std::size_t{0};
  for (const auto& [chunk, parts] : chunks) {
    sum += ResultsOfChunk(chunk);
  }
  return sum;
}

auto JobState::failed() const -> std::size_t {
  auto sum = std::size_t{0};
  for (const auto& [chunk, parts] : chunks) {
    for (const auto& part : parts) {
      sum += part.failed;
    }
  }
  return sum;
}

auto JobState::ResultsOfChunk(std::size_t chunk) const -> std::size_t {
  auto sum = std::size_t{0};
  const auto found = chunks.find(chunk);
  if (found != chunks.end()) {
    for (const auto& part : found->second) {
      sum += part.count;
    }
  }
  return sum;
}

auto JobState::HasPart(std::size_t chunk, const PartInfo& part) const -> bool {
  const auto found = chunks.find(chunk);
  if (found == chunks.end()) {
    return false;
  }
  for (const auto& known : found->second) {
    if (known.part == part.part && known.token == part.token) {
      return true;
    }
  }
  return false;
}

auto JobState::ToJson() const -> std::string {
  auto chunks_json = Json::object();
  for (const auto& [chunk, parts] : chunks) {
    auto list = Json::array();
    for (const auto& part : parts) {
      list.push_back({part.part, part.token, part.count, part.failed});
    }
    chunks_json[std::to_string(chunk)] = std::move(list);
  }
  auto attempts_json = Json::object();
  for (const auto& [line, count] : attempts) {
    attempts_json[std::to_string(line)] = count;
  }
  return Dump({{"v", kFormatVersion},
               {"status", JobStatusName(status)},
               {"token", token},
               {"operation", operation},
               {"ended", ended},
               {"chunks", std::move(chunks_json)},
               {"attempts", std::move(attempts_json)}});
}

auto JobState::FromJson(const std::string& text) -> JobState {
  return ParseStored(text, "job state", [](const Json& json) {
    auto state = JobState{.status = JobStatus::kRunning,
                          .token = json.at("token"),
                          .operation = json.at("operation"),
                          .ended = json.at("ended"),
                          .chunks = {},
                          .attempts = {}};
    const auto status = json.at("status").get<std::string>();
    for (auto known : {JobStatus::kCompleted, JobStatus::kCancelled}) {
      if (status == JobStatusName(known)) {
        state.status = known;
      }
    }
    for (const auto& [chunk, list] : json.at("chunks").items()) {
      auto& parts = state.chunks[std::stoul(chunk)];
      for (const auto& part : list) {
        parts.push_back({part.at(0), part.at(1), part.at(2), part.at(3)});
      }
    }
    for (const auto& [line, count] : json.at("attempts").items()) {
      state.attempts[std::stoul(line)] = count;
    }
    return state;
  });
}

auto ItemInput::ToJson() const -> std::string {
  return "{\"line\":" + std::to_string(line) +
         ",\"custom_id\":" + Dump(custom_id) + ",\"body\":" + body + "}";
}

auto ItemInput::FromJson(std::string_view text) -> ItemInput {
  return ParseStored(text, "batch item", [text](const Json& json) {
    return ItemInput{.custom_id = json.at("custom_id"),
                     .line = json.at("line"),
                     .body = std::string(detail::RawMember(text, "body"))};
  });
}

auto ItemResult::ToJson() const -> std::string {
  auto json = Json{{"line", line},
                   {"custom_id", custom_id},
                   {"outcome", OutcomeKindName(outcome)},
                   {"attempts", attempts}};
  if (outcome == OutcomeKind::kCompleted) {
    json["text"] = text;
    json["finish_reason"] = finish_reason;
  } else {
    json["error"] = reason;
  }
  return Dump(json);
}

auto ItemResult::FromJson(std::string_view text) -> ItemResult {
  return ParseStored(text, "batch result", [](const Json& json) {
    return ItemResult{
        .custom_id = json.at("custom_id"),
        .line = json.at("line"),
        .outcome = ParseOutcomeKind(json.at("outcome").get<std::string>()),
        .text = json.value("text", ""),
        .finish_reason = json.value("finish_reason", ""),
        .reason = json.value("error", ""),
        .attempts = json.at("attempts")};
  });
}

auto ParseInputChunk(const std::string& text) -> std::vector<ItemInput> {
  return ParseLines<ItemInput>(text);
}

auto ParseOutputPart(const std::string& text) -> std::vector<ItemResult> {
  return ParseLines<ItemResult>(text);
}

auto ShardIndex::ToJson() const -> std::string {
  return Dump({{"v", kFormatVersion}, {"jobs", TimesToJson(jobs)}});
}

auto ShardIndex::FromJson(const std::string& text) -> ShardIndex {
  return ParseStored(text, "shard index", [](const Json& json) {
    return ShardIndex{.jobs = TimesFromJson(json.at("jobs"))};
  });
}

}  // namespace kumquatgauge::batch
