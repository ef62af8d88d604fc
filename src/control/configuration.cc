#include "kumquatgauge/control/configuration.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <functional>
#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::control {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 128;
constexpr auto kMaxDeadlineMs = 3'600'000.0;
constexpr auto kMaxCapacity = 100'000.0;
constexpr auto kMaxWeight = 1000.0;
constexpr auto kMinWeight = 0.01;
constexpr auto kMaxRate = 1e9;

constexpr std::array<std::pair<EntryKind, std::string_view>, 5> kKindNames = {{
    {EntryKind::kService, "service"},
    {EntryKind::kUpstream, "upstream"},
    {EntryKind::kOrganisation, "organisation"},
    {EntryKind::kModel, "model"},
    {EntryKind::kSetting, "setting"},
}};

auto IsNameCharacter(char character) -> bool {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') ||
         std::string_view("-._:@").find(character) != std::string_view::npos;
}

auto CheckName(std::string_view name, std::string_view whole) -> void {
  const auto allowed = !name.empty() && name.size() <= kMaxNameBytes &&
                       std::all_of(name.begin(), name.end(), IsNameCharacter);
  if (!allowed) {
    throw Error(ErrorKind::kInvalidArgument, "bad name in the key",
                std::string(whole),
                "use 1 to 128 letters, digits and - . _ : @");
  }
}

// Reads the fields of one entry and records which fields are known.
class FieldReader {
 public:
  FieldReader(EntryKind kind, const std::string& name, const json& value)
      : object_(EntryKey{kind, name}.ToString()), value_(value) {
    if (!value_.is_object()) {
      throw Error(ErrorKind::kInvalidArgument,
                  "value is " + std::string(value_.type_name()), object_,
                  "use a JSON object");
    }
  }

  auto Text(const char* field, std::string fallback) -> std::string {
    const auto* found = Find(field);
    if (found == nullptr) {
      return fallback;
    }
    if (!found->is_string()) {
      Fail(field, *found, "a string");
    }
    return found->get<std::string>();
  }

  auto RequiredText(const char* field) -> std::string {
    auto text = Text(field, "");
    if (text.empty()) {
      throw Error(ErrorKind::kInvalidArgument,
                  std::string(field) + " is missing", object_,
                  std::string("set ") + field + " to a non-empty string");
    }
    return text;
  }

  template <typename Value, std::size_t kCount>
  auto Choice(const char* field,
              const std::array<std::pair<Value, const char*>, kCount>& choices,
              std::optional<Value> fallback) -> Value {
    const auto* found = Find(field);
    if (found == nullptr && fallback) {
      return *fallback;
    }
    auto allowed = std::string();
    for (const auto& [value, name] : choices) {
      if (found != nullptr && *found == name) {
        return value;
      }
      allowed += (allowed.empty() ? "" : " or ") + std::string(name);
    }
    if (found == nullptr) {
      throw Error(ErrorKind::kInvalidArgument,
                  std::string(field) + " is missing", object_,
                  "use " + allowed);
    }
    Fail(field, *found, allowed);
    return choices.front().first;
  }

  auto Flag(const char* field, bool fallback) -> bool {
    const auto* found = Find(field);
    if (found == nullptr) {
      return fallback;
    }
    if (!found->is_boolean()) {
      Fail(field, *found, "true or false");
    }
    return found->get<bool>();
  }

  auto Number(const char* field, double fallback, double min, double max)
      -> double {
    const auto* found = Find(field);
    if (found == nullptr) {
      return fallback;
    }
    const auto valid = found->is_number() && found->get<double>() >= min &&
                       found->get<double>() <= max;
    if (!valid) {
      Fail(field, *found, "a number from " + Show(min) + " to " + Show(max));
    }
    return found->get<double>();
  }

  auto Integer(const char* field, double fallback, double min, double max)
      -> std::uint32_t {
    const auto* found = Find(field);
    if (found != nullptr && !found->is_number_integer()) {
      Fail(field, *found, "an integer from " + Show(min) + " to " + Show(max));
    }
    return static_cast<std::uint32_t>(Number(field, fallback, min, max));
  }

  // Returns the strings sorted and without duplicates.
  auto Texts(const char* field) -> std::vector<std::string> {
    const auto* found = Find(field);
    auto texts = std::vector<std::string>();
    if (found == nullptr) {
      return texts;
    }
    if (!found->is_array()) {
      Fail(field, *found, "an array of strings");
    }
    for (const auto& element : *found) {
      if (!element.is_string() || element.get<std::string>().empty()) {
        Fail(field, element, "non-empty strings only");
      }
      texts.push_back(element.get<std::string>());
    }
    std::sort(texts.begin(), texts.end());
    texts.erase(std::unique(texts.begin(), texts.end()), texts.end());
    return texts;
  }

  // Returns a nested object; an empty object if the field is absent.
  auto Nested(const char* field) -> json {
    const auto* found = Find(field);
    if (found == nullptr) {
      return json::object();
    }
    if (!found->is_object()) {
      Fail(field, *found, "an object");
    }
    return *found;
  }

  auto Fail(const std::string& field,
            const json& found,
            const std::string& allowed) const -> void {
    throw Error(ErrorKind::kInvalidArgument, field + " is " + found.dump(),
                object_, "use " + allowed);
  }

  // Throws if the value has a field that was never read.
  auto CheckNoUnknownFields() const -> void {
    for (const auto& [field, value] : value_.items()) {
      if (std::find(known_.begin(), known_.end(), field) != known_.end()) {
        continue;
      }
      auto allowed = std::string();
      for (const auto& name : known_) {
        allowed += (allowed.empty() ? "" : ", ") + name;
      }
      throw Error(ErrorKind::kInvalidArgument, "unknown field " + field,
                  object_, "use " + allowed);
    }
  }

 private:
  static auto Show(double number) -> std::string { return json(number).dump(); }

  auto Find(const char* field) -> const json* {
    known_.emplace_back(field);
    const auto found = value_.find(field);
    return found == value_.end() ? nullptr : &*found;
  }

  std::string object_;
  const json& value_;
  std::vector<std::string> known_;
};

constexpr std::array<std::pair<ServiceKind, const char*>, 2> kServiceKinds = {{
    {ServiceKind::kModel, "model"},
    {ServiceKind::kPlain, "plain"},
}};

constexpr std::array<std::pair<BatchRule, const char*>, 3> kBatchRules = {{
    {BatchRule::kFixedShare, "fixed-share"},
    {BatchRule::kIdleOnly, "idle-only"},
    {BatchRule::kFeedback, "feedback"},
}};

auto ReadService(FieldReader& fields, const std::string& name) -> ServiceSpec {
  const auto kind = fields.Choice<ServiceKind>("kind", kServiceKinds, {});
  const auto defaults = ServiceSpec();
  return ServiceSpec{
      .name = ServiceName(name),
      .kind = kind,
      .repeatable = fields.Flag("repeatable", kind == ServiceKind::kModel),
      .models = fields.Texts("models"),
      .deadline = std::chrono::milliseconds(fields.Integer(
          "deadline_ms", static_cast<double>(defaults.deadline.count()), 1,
          kMaxDeadlineMs)),
      .lean = fields.Number("lean", defaults.lean, 0, 1),
      .batch_rule = fields.Choice<BatchRule>("batch_rule", kBatchRules,
                                             defaults.batch_rule),
      .batch_share = fields.Number("batch_share", defaults.batch_share, 0, 1)};
}

auto CheckAddress(const FieldReader& fields, const std::string& address)
    -> void {
  const auto colon = address.rfind(':');
  auto port = 0;
  const auto* end = address.data() + address.size();
  const auto valid =
      colon != std::string::npos && colon > 0 &&
      std::from_chars(address.data() + colon + 1, end, port).ptr == end &&
      port > 0 && port <= 65535;
  if (!valid) {
    fields.Fail("address", address, "IP:port with a port from 1 to 65535");
  }
}

auto ReadUpstream(FieldReader& fields, const std::string& name)
    -> UpstreamSpec {
  const auto defaults = UpstreamSpec();
  auto spec = UpstreamSpec{
      .name = ReplicaId(name),
      .service = ServiceName(fields.RequiredText("service")),
      .address = fields.RequiredText("address"),
      .zone = ZoneName(fields.RequiredText("zone")),
      .capacity =
          fields.Integer("capacity", defaults.capacity, 1, kMaxCapacity),
      .checks_fencing = fields.Flag("checks_fencing", defaults.checks_fencing),
      .can_resume = fields.Flag("can_resume", defaults.can_resume),
      .leaving = fields.Flag("leaving", defaults.leaving),
      .desired_models = fields.Texts("desired_models"),
      .role = fields.Text("role", "")};
  CheckAddress(fields, spec.address);
  for (const auto& model : spec.desired_models) {
    const auto at = model.rfind('@');
    if (at == std::string::npos || at == 0 || at + 1 == model.size()) {
      fields.Fail("desired_models", model, "MODEL@VERSION");
    }
  }
  return spec;
}

auto ReadOrganisation(FieldReader& fields, const std::string& name)
    -> OrganisationSpec {
  const auto weight = fields.Number("weight", 1, kMinWeight, kMaxWeight);
  const auto nested = fields.Nested("limits");
  auto limits = FieldReader(EntryKind::kOrganisation, name + " limits", nested);
  auto spec = OrganisationSpec{
      .name = OrganisationName(name),
      .weight = weight,
      .limits = {.requests_per_second =
                     limits.Number("requests_per_second", 0, 0, kMaxRate),
                 .tokens_per_second =
                     limits.Number("tokens_per_second", 0, 0, kMaxRate),
                 .in_flight = limits.Integer("in_flight", 0, 0, kMaxRate)}};
  return spec;
}

// Rejects invalid and unknown fields in the limits of an organisation.
auto CheckLimits(const std::string& name, const json& value) -> void {
  const auto nested = value.value("limits", json::object());
  auto limits = FieldReader(EntryKind::kOrganisation, name + " limits", nested);
  limits.Number("requests_per_second", 0, 0, kMaxRate);
  limits.Number("tokens_per_second", 0, 0, kMaxRate);
  limits.Integer("in_flight", 0, 0, kMaxRate);
  limits.CheckNoUnknownFields();
}

// Calls `visit` with the name and value of each entry of one kind.
auto ForEach(
    const Configuration::Entries& entries,
    EntryKind kind,
    const std::function<auto(const std::string&, const json&)->void>& visit)
    -> void {
  const auto prefix = std::string(EntryKindName(kind)) + "/";
  for (auto it = entries.lower_bound(prefix);
       it != entries.end() && it->first.starts_with(prefix); ++it) {
    if (!it->second.value.is_null()) {
      visit(it->first.substr(prefix.size()), it->second.value);
    }
  }
}

template <typename Spec>
auto ParseAll(const Configuration::Entries& entries,
              EntryKind kind,
              auto(*parse)(const std::string&, const json&)->Spec,
              std::vector<std::string>* problems) -> std::vector<Spec> {
  auto specs = std::vector<Spec>();
  ForEach(entries, kind, [&](const std::string& name, const json& value) {
    try {
      specs.push_back(parse(name, value));
    } catch (const Error& error) {
      if (problems != nullptr) {
        problems->emplace_back(error.what());
      }
    }
  });
  return specs;
}

template <typename Spec>
auto ParseOne(const Configuration& configuration,
              const EntryKey& key,
              auto(*parse)(const std::string&, const json&)->Spec)
    -> std::optional<Spec> {
  const auto* value = configuration.Find(key.ToString());
  if (value == nullptr) {
    return std::nullopt;
  }
  try {
    return parse(key.name, *value);
  } catch (const Error&) {
    return std::nullopt;  // Reported by Problems().
  }
}

}  // namespace

auto EntryKindName(EntryKind kind) -> std::string_view {
  return kKindNames.at(static_cast<std::size_t>(kind)).second;
}

auto EntryKey::ToString() const -> std::string {
  return std::string(EntryKindName(kind)) + "/" + name;
}

auto EntryKey::Parse(std::string_view text) -> EntryKey {
  const auto slash = text.find('/');
  for (const auto& [kind, name] : kKindNames) {
    if (slash != std::string_view::npos && text.substr(0, slash) == name) {
      const auto rest = text.substr(slash + 1);
      CheckName(rest, text);
      return {kind, std::string(rest)};
    }
  }
  throw Error(ErrorKind::kInvalidArgument, "not a configuration key",
              std::string(text),
              "use KIND/NAME with kind service, upstream, organisation, model "
              "or setting");
}

auto ToJson(const ConfigDelta& delta) -> json {
  auto changes = json::array();
  for (const auto& entry : delta.changes) {
    changes.push_back({{"key", entry.key},
                       {"value", entry.value},
                       {"revision", entry.revision}});
  }
  return {{"from", delta.from}, {"to", delta.to}, {"changes", changes}};
}

auto ParseConfigDelta(const json& text) -> ConfigDelta {
  try {
    auto delta = ConfigDelta{.from = text.at("from").get<std::uint64_t>(),
                             .to = text.at("to").get<std::uint64_t>(),
                             .changes = {}};
    for (const auto& change : text.at("changes")) {
      delta.changes.push_back(
          {.key = change.at("key").get<std::string>(),
           .value = change.at("value"),
           .revision = change.at("revision").get<std::uint64_t>()});
    }
    return delta;
  } catch (const json::exception& error) {
    throw Error(ErrorKind::kInvalidArgument,
                "configuration changes are malformed", error.what(),
                "fetch them from another node or the platform");
  }
}

auto ParseService(const std::string& name, const json& value) -> ServiceSpec {
  auto fields = FieldReader(EntryKind::kService, name, value);
  return ReadService(fields, name);
}

auto ParseUpstream(const std::string& name, const json& value) -> UpstreamSpec {
  auto fields = FieldReader(EntryKind::kUpstream, name, value);
  return ReadUpstream(fields, name);
}

auto ParseOrganisation(const std::string& name, const json& value)
    -> OrganisationSpec {
  auto fields = FieldReader(EntryKind::kOrganisation, name, value);
  return ReadOrganisation(fields, name);
}

auto Configuration::Find(const std::string& key) const -> const json* {
  const auto found = entries_->find(key);
  if (found == entries_->end() || found->second.value.is_null()) {
    return nullptr;
  }
  return &found->second.value;
}

auto Configuration::RevisionOf(const std::string& key) const -> std::uint64_t {
  const auto found = entries_->find(key);
  return found == entries_->end() ? 0 : found->second.revision;
}

auto Configuration::ChangesSince(std::uint64_t revision) const -> ConfigDelta {
  const auto tombstones_complete = revision + kTombstoneRevisions >= revision_;
  const auto from = tombstones_complete ? revision : 0;
  auto delta = ConfigDelta{.from = from, .to = revision_, .changes = {}};
  for (const auto& [key, entry] : *entries_) {
    if (entry.revision > from) {
      delta.changes.push_back(entry);
    }
  }
  return delta;
}

auto Configuration::Apply(const ConfigDelta& delta) const -> Configuration {
  if (delta.to <= revision_) {
    return *this;
  }
  if (delta.from > revision_) {
    throw Error(
        ErrorKind::kConflict,
        "changes after revision " + std::to_string(revision_) + " are missing",
        "configuration delta from " + std::to_string(delta.from),
        "fetch the changes since " + std::to_string(revision_));
  }
  auto entries =
      std::make_shared<Entries>(delta.from == 0 ? Entries() : *entries_);
  for (const auto& entry : delta.changes) {
    auto& current = (*entries)[entry.key];
    if (entry.revision > current.revision) {
      current = entry;
    }
  }
  std::erase_if(*entries, [&](const auto& item) {
    const auto& entry = item.second;
    return entry.value.is_null() &&
           entry.revision + kTombstoneRevisions <= delta.to;
  });
  auto next = Configuration();
  next.revision_ = delta.to;
  next.entries_ = std::move(entries);
  return next;
}

auto Configuration::Services() const -> std::vector<ServiceSpec> {
  return ParseAll(*entries_, EntryKind::kService, &ParseService, nullptr);
}

auto Configuration::Upstreams() const -> std::vector<UpstreamSpec> {
  return ParseAll(*entries_, EntryKind::kUpstream, &ParseUpstream, nullptr);
}

auto Configuration::UpstreamsOf(const ServiceName& service) const
    -> std::vector<UpstreamSpec> {
  auto upstreams = Upstreams();
  std::erase_if(upstreams, [&](const UpstreamSpec& upstream) {
    return upstream.service != service;
  });
  return upstreams;
}

auto Configuration::Organisations() const -> std::vector<OrganisationSpec> {
  return ParseAll(*entries_, EntryKind::kOrganisation, &ParseOrganisation,
                  nullptr);
}

auto Configuration::FindService(const ServiceName& name) const
    -> std::optional<ServiceSpec> {
  return ParseOne(*this, {EntryKind::kService, name.value()}, &ParseService);
}

auto Configuration::FindUpstream(const ReplicaId& name) const
    -> std::optional<UpstreamSpec> {
  return ParseOne(*this, {EntryKind::kUpstream, name.value()}, &ParseUpstream);
}

auto Configuration::FindOrganisation(const OrganisationName& name) const
    -> OrganisationSpec {
  auto found = ParseOne(*this, {EntryKind::kOrganisation, name.value()},
                        &ParseOrganisation);
  return found ? *found : OrganisationSpec{.name = name, .limits = {}};
}

auto Configuration::Problems() const -> std::vector<std::string> {
  auto problems = std::vector<std::string>();
  ParseAll(*entries_, EntryKind::kService, &ParseService, &problems);
  ParseAll(*entries_, EntryKind::kUpstream, &ParseUpstream, &problems);
  ParseAll(*entries_, EntryKind::kOrganisation, &ParseOrganisation, &problems);
  return problems;
}

auto Configuration::CheckValue(const EntryKey& key, const json& value) -> void {
  if (value.is_null()) {
    return;
  }
  auto fields = FieldReader(key.kind, key.name, value);
  switch (key.kind) {
    case EntryKind::kService:
      ReadService(fields, key.name);
      break;
    case EntryKind::kUpstream:
      ReadUpstream(fields, key.name);
      break;
    case EntryKind::kOrganisation:
      ReadOrganisation(fields, key.name);
      CheckLimits(key.name, value);
      break;
    case EntryKind::kModel:
    case EntryKind::kSetting:
      return;  // These have no schema; their readers validate them.
  }
  fields.CheckNoUnknownFields();
}

auto Configuration::CheckReferences(const EntryKey& key,
                                    const json& value) const -> void {
  if (key.kind == EntryKind::kService && value.is_null()) {
    const auto upstreams = UpstreamsOf(ServiceName(key.name));
    if (!upstreams.empty()) {
      throw Error(ErrorKind::kInvalidArgument,
                  "upstream " + upstreams.front().name.value() +
                      " still belongs to the service",
                  key.ToString(), "delete its upstreams first");
    }
  }
  if (key.kind == EntryKind::kUpstream && !value.is_null()) {
    const auto upstream = ParseUpstream(key.name, value);
    const auto service =
        EntryKey{EntryKind::kService, upstream.service.value()}.ToString();
    if (Find(service) == nullptr) {
      throw Error(ErrorKind::kInvalidArgument,
                  "service is \"" + upstream.service.value() +
                      "\", which does not exist",
                  key.ToString(), "create " + service + " first");
    }
  }
}

}  // namespace kumquatgauge::control
