#include "kumquatgauge/serving/job.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/hex_hash.h"
#include "kumquatgauge/base/error.h"

namespace kumquatgauge::serving {
namespace {

using nlohmann::json;

// Leaves space for JSON escapes and the other fields in a value of 1 MB.
constexpr std::size_t kPartBytes = 400'000;

template <typename Decode>
auto DecodeOrThrow(const JobId& id, Decode decode) {
  try {
    return decode();
  } catch (const json::exception& error) {
    throw Error(
        ErrorKind::kInvalidArgument,
        std::string("unreadable object of a job (") + error.what() + ")",
        id.value(), "remove the object; another program wrote it");
  }
}

// Returns the end of the part that begins at `from`. A part never ends inside a
// UTF-8 sequence, since it would not be a valid JSON string.
auto PartEnd(const std::string& text, std::size_t from) -> std::size_t {
  constexpr unsigned kContinuationMask = 0xC0;
  constexpr unsigned kContinuation = 0x80;
  auto end = std::min(from + kPartBytes, text.size());
  while (end < text.size() && end > from + 1 &&
         (static_cast<unsigned char>(text[end]) & kContinuationMask) ==
             kContinuation) {
    --end;
  }
  return end;
}

}  // namespace

auto ScopedJobId(const JobId& id,
                 const std::optional<OrganisationName>& organisation) -> JobId {
  // The mark before the hash of an organisation is doubled within the caller's
  // id. An odd number of marks before a hash of fixed width can then only be
  // that of a scope.
  constexpr auto kScopeMark = '~';
  auto scoped = std::string();
  for (const auto character : id.value()) {
    scoped.append(character == kScopeMark ? 2 : 1, character);
  }
  if (organisation && !organisation->empty()) {
    scoped += kScopeMark;
    scoped += kumquatgauge::detail::HexHash(organisation->value());
  }
  return JobId(scoped);
}

auto IsExpired(const JobState& state,
               std::uint64_t now_ms,
               std::chrono::milliseconds retention) -> bool {
  // Earlier releases did not note when a job was over.
  const auto since = std::max(state.accepted_ms, state.over_ms);
  const auto age = std::chrono::milliseconds(static_cast<std::int64_t>(now_ms) -
                                             static_cast<std::int64_t>(since));
  return (state.ended || state.done) && age > retention;
}

auto RecordKey(const JobId& id) -> std::string {
  return "jobs/" + id.value();
}

auto RecordPartKey(const JobId& id, std::size_t part) -> std::string {
  return RecordKey(id) + "." + std::to_string(part);
}

auto StateKey(const JobId& id) -> std::string {
  return kStatePrefix + id.value();
}

auto ChunkKey(const JobId& id, const ResultPlace& place) -> std::string {
  auto key = "job-results/" + id.value() + "." + std::to_string(place.position);
  return place.closings == 0 ? key : key + "-" + std::to_string(place.closings);
}

auto StoredResults::Append(const ResultChunk& chunk) -> void {
  closings += chunk.results.empty() ? 1 : 0;
  for (const auto& [item, count] : chunk.failures) {
    auto& known = failures[item];
    known = std::max(known, count);
  }
  results.insert(results.end(), chunk.results.begin(), chunk.results.end());
}

auto EncodeState(const JobState& state) -> std::string {
  return json{{"owner", state.owner.value()},
              {"incarnation", state.incarnation},
              {"accepted_ms", state.accepted_ms},
              {"total", state.total},
              {"ended", state.ended},
              {"done", state.done},
              {"account", state.account},
              {"acceptor", state.acceptor.value()},
              {"acceptor_incarnation", state.acceptor_incarnation},
              {"tokens", state.tokens},
              {"configuration_version", state.configuration_version},
              {"over_ms", state.over_ms}}
      .dump();
}

auto DecodeState(const JobId& id, const std::string& value) -> JobState {
  return DecodeOrThrow(id, [&] {
    const auto object = json::parse(value);
    auto state = JobState();
    state.id = id;
    state.owner = NodeId(object.at("owner").get<std::string>());
    state.incarnation = object.at("incarnation").get<std::uint64_t>();
    state.accepted_ms = object.at("accepted_ms").get<std::uint64_t>();
    state.total = object.at("total").get<std::uint64_t>();
    state.ended = object.at("ended").get<bool>();
    state.done = object.at("done").get<bool>();
    // Jobs of releases without quotas lack these.
    state.account = object.value("account", "");
    state.acceptor = NodeId(object.value("acceptor", state.owner.value()));
    state.acceptor_incarnation =
        object.value("acceptor_incarnation", state.incarnation);
    state.tokens = object.value("tokens", std::uint64_t{0});
    state.configuration_version =
        object.value("configuration_version", std::uint64_t{0});
    state.over_ms = object.value("over_ms", std::uint64_t{0});
    return state;
  });
}

auto EncodeChunk(const ResultChunk& chunk) -> std::string {
  auto results = json::array();
  for (const auto& result : chunk.results) {
    results.push_back({result.item, result.completed, result.text});
  }
  auto object = json{{"first", chunk.place.position},
                     {"closings", chunk.place.closings},
                     {"writer", chunk.writer},
                     {"results", std::move(results)}};
  if (!chunk.failures.empty()) {
    object["failures"] = chunk.failures;
  }
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto DecodeChunk(const JobId& id, const std::string& value) -> ResultChunk {
  return DecodeOrThrow(id, [&] {
    const auto object = json::parse(value);
    auto chunk = ResultChunk();
    chunk.id = id;
    chunk.place.position = object.at("first").get<std::uint64_t>();
    chunk.place.closings = object.value("closings", std::uint64_t{0});
    chunk.writer = object.at("writer").get<std::string>();
    for (const auto& result : object.at("results")) {
      chunk.results.push_back({result.at(0).get<std::string>(),
                               result.at(1).get<bool>(),
                               result.at(2).get<std::string>()});
    }
    // Chunks of earlier releases lack these.
    chunk.failures = object.value("failures", FailedRuns());
    return chunk;
  });
}

auto EncodeRecord(const JobRecord& record) -> std::vector<std::string> {
  auto texts = std::vector<std::string>();
  std::size_t at = 0;
  do {
    const auto end = PartEnd(record.submission, at);
    texts.push_back(record.submission.substr(at, end - at));
    at = end;
  } while (at < record.submission.size());
  auto values = std::vector<std::string>();
  auto head = json{{"host", record.host},
                   {"path", record.path},
                   {"accepted_ms", record.accepted_ms},
                   {"parts", texts.size() - 1},
                   {"text", texts.front()}};
  if (record.organisation) {
    head["organisation"] = record.organisation->value();
  }
  values.push_back(head.dump());
  for (std::size_t part = 1; part < texts.size(); ++part) {
    values.push_back(json{{"text", texts[part]}}.dump());
  }
  return values;
}

auto RecordPartCount(const JobId& id, const std::string& first) -> std::size_t {
  return DecodeOrThrow(
      id, [&] { return json::parse(first).at("parts").get<std::size_t>(); });
}

auto DecodeRecord(const JobId& id, const std::vector<std::string>& values)
    -> JobRecord {
  return DecodeOrThrow(id, [&] {
    auto record = JobRecord();
    record.id = id;
    const auto head = json::parse(values.at(0));
    record.host = head.at("host").get<std::string>();
    record.path = head.at("path").get<std::string>();
    record.accepted_ms = head.at("accepted_ms").get<std::uint64_t>();
    record.submission = head.at("text").get<std::string>();
    const auto organisation = head.find("organisation");
    if (organisation != head.end()) {
      record.organisation = OrganisationName(organisation->get<std::string>());
    }
    for (std::size_t part = 1; part < values.size(); ++part) {
      record.submission +=
          json::parse(values[part]).at("text").get<std::string>();
    }
    return record;
  });
}

}  // namespace kumquatgauge::serving
