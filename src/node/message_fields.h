#ifndef NODE_MESSAGE_FIELDS_H_
#define NODE_MESSAGE_FIELDS_H_

#include <array>
#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/ids.h"

// Reads fields of a message from another node. If a field is absent, the value
// is unchanged. A wrong type or range throws Error(kInvalidArgument).
namespace kumquatgauge::node::detail {

inline auto Malformed(const std::string& object) -> Error {
  return Error(ErrorKind::kInvalidArgument, "malformed message between nodes",
               object, "check that both nodes run compatible releases");
}

inline auto Find(const nlohmann::json& message, const char* name)
    -> const nlohmann::json* {
  if (!message.is_object()) {
    throw Malformed("not a map");
  }
  const auto found = message.find(name);
  return found == message.end() ? nullptr : &*found;
}

inline auto Read(const nlohmann::json& message,
                 const char* name,
                 std::string& value) -> void {
  if (const auto* field = Find(message, name)) {
    if (!field->is_string()) {
      throw Malformed(name);
    }
    value = field->get_ref<const std::string&>();
  }
}

inline auto Read(const nlohmann::json& message, const char* name, bool& value)
    -> void {
  if (const auto* field = Find(message, name)) {
    if (!field->is_boolean()) {
      throw Malformed(name);
    }
    value = field->get<bool>();
  }
}

template <std::unsigned_integral Number>
auto Read(const nlohmann::json& message, const char* name, Number& value)
    -> void {
  if (const auto* field = Find(message, name)) {
    if (!field->is_number_unsigned() ||
        field->get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
      throw Malformed(name);
    }
    value = field->get<Number>();
  }
}

inline auto Read(const nlohmann::json& message,
                 const char* name,
                 std::chrono::milliseconds& value) -> void {
  if (const auto* field = Find(message, name)) {
    if (!field->is_number_integer() ||
        (field->is_number_unsigned() &&
         field->get<std::uint64_t>() >
             static_cast<std::uint64_t>(
                 std::numeric_limits<std::int64_t>::max()))) {
      throw Malformed(name);
    }
    value = std::chrono::milliseconds(field->get<std::int64_t>());
  }
}

template <typename Tag>
auto Read(const nlohmann::json& message, const char* name, StringId<Tag>& value)
    -> void {
  std::string text;
  Read(message, name, text);
  value = StringId<Tag>(std::move(text));
}

template <typename Kind, std::size_t size>
auto Read(const nlohmann::json& message,
          const char* name,
          const std::array<std::pair<Kind, std::string_view>, size>& names,
          Kind& value) -> void {
  std::string text;
  Read(message, name, text);
  if (text.empty()) {
    return;
  }
  for (const auto& [kind, known] : names) {
    if (known == text) {
      value = kind;
      return;
    }
  }
  throw Malformed(std::string(name) + " " + text);
}

}  // namespace kumquatgauge::node::detail

#endif  // NODE_MESSAGE_FIELDS_H_
