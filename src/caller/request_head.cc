#include "caller/request_head.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <utility>

#include "caller/api_error.h"

namespace kumquatgauge::caller::detail {
namespace {

constexpr int kBadRequest = 400;
constexpr int kHexBase = 16;
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxKeyBytes = 255;
constexpr std::size_t kMaxTicketBytes = 160;
constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr std::int64_t kMaxDueInS = 31LL * 86'400;

[[noreturn]] auto Reject(const std::string& name, const std::string& message)
    -> void {
  throw ApiError(kBadRequest, "invalid_value", name + " " + message, name);
}

auto IsVisible(char c) -> bool {
  return c > ' ' && c <= '~';
}

auto IsNameCharacter(char c) -> bool {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' ||
         c == '_' || c == '-';
}

// Returns the value of a header that may occur at most once; empty when absent.
auto SingleHeader(const RequestHead& head, const std::string& name)
    -> std::string {
  std::optional<std::string> value;
  for (const auto& header : head.headers) {
    if (!boost::algorithm::iequals(header.name, name)) {
      continue;
    }
    if (value) {
      Reject(name, "is given twice; send it once");
    }
    if (header.value.empty()) {
      Reject(name, "is empty; send a value or omit the header");
    }
    value = header.value;
  }
  return value.value_or("");
}

template <typename Allowed>
auto CheckedHeader(const RequestHead& head,
                   const std::string& name,
                   std::size_t max_bytes,
                   Allowed allowed) -> std::string {
  auto value = SingleHeader(head, name);
  if (value.size() > max_bytes ||
      !std::all_of(value.begin(), value.end(), allowed)) {
    Reject(name, "contains invalid characters or has more than " +
                     std::to_string(max_bytes) + " bytes");
  }
  return value;
}

auto ParseNumber(const std::string& name,
                 const std::string& text,
                 std::int64_t max) -> std::int64_t {
  std::int64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < 1 ||
      value > max) {
    Reject(name, "must be an integer from 1 to " + std::to_string(max));
  }
  return value;
}

auto PercentDecode(std::string_view text) -> std::string {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i] == '+' ? ' ' : text[i];
      continue;
    }
    std::uint8_t byte = 0;
    const auto digits = text.substr(i + 1, 2);
    const auto* end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, byte, kHexBase);
    if (digits.size() != 2 || parsed.ec != std::errc() || parsed.ptr != end) {
      Reject("query", "has a malformed percent escape");
    }
    decoded += static_cast<char>(byte);
    i += 2;
  }
  return decoded;
}

}  // namespace

auto RequestHead::path() const -> std::string {
  return target.substr(0, target.find('?'));
}

auto RequestHead::query() const -> std::string {
  const auto start = target.find('?');
  return start == std::string::npos ? "" : target.substr(start + 1);
}

auto ReadCallOptions(const RequestHead& head,
                     const CallerSettings& settings,
                     const std::string& new_id) -> CallOptions {
  CallOptions options;
  const auto organisation =
      CheckedHeader(head, "KQG-Organisation", kMaxNameBytes, IsNameCharacter);
  options.organisation = OrganisationName(
      organisation.empty() ? settings.default_organisation : organisation);
  options.idempotency_key =
      CheckedHeader(head, "Idempotency-Key", kMaxKeyBytes, IsVisible);
  options.ticket =
      CheckedHeader(head, "KQG-Ticket", kMaxTicketBytes, IsNameCharacter);
  const auto request_id =
      CheckedHeader(head, "X-Request-Id", kMaxRequestIdBytes, IsNameCharacter);
  options.request_id = RequestId(request_id.empty() ? new_id : request_id);
  const auto deadline = SingleHeader(head, "KQG-Deadline-Ms");
  options.time_left =
      deadline.empty()
          ? settings.default_deadline
          : std::chrono::milliseconds(ParseNumber(
                "KQG-Deadline-Ms", deadline, settings.max_deadline.count()));
  return options;
}

auto ParseQuery(std::string_view query) -> std::map<std::string, std::string> {
  std::map<std::string, std::string> values;
  while (!query.empty()) {
    const auto pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    if (pair.empty()) {
      continue;
    }
    const auto equals = std::min(pair.find('='), pair.size());
    const auto name = PercentDecode(pair.substr(0, equals));
    const auto value =
        PercentDecode(pair.substr(std::min(pair.size(), equals + 1)));
    if (!values.emplace(name, value).second) {
      Reject(name, "is given twice; send it once");
    }
  }
  return values;
}

auto IsValidName(std::string_view name) -> bool {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), IsNameCharacter);
}

auto ReadDue(const std::map<std::string, std::string>& query,
             const CallerSettings& settings,
             WallTime now) -> WallTime {
  const auto due = query.find("due");
  const auto due_in = query.find("due_in_s");
  if (due != query.end() && due_in != query.end()) {
    Reject("due", "and due_in_s are mutually exclusive");
  }
  if (due_in != query.end()) {
    return now + std::chrono::seconds(
                     ParseNumber("due_in_s", due_in->second, kMaxDueInS));
  }
  if (due == query.end()) {
    return now + settings.default_batch_due;
  }
  const auto latest = now + std::chrono::seconds(kMaxDueInS);
  const auto latest_s = std::chrono::duration_cast<std::chrono::seconds>(
                            latest.time_since_epoch())
                            .count();
  return WallTime(
      std::chrono::seconds(ParseNumber("due", due->second, latest_s)));
}

}  // namespace kumquatgauge::caller::detail
