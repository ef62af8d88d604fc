#ifndef KUMQUATGAUGE_OPERATOR_COMMAND_H_
#define KUMQUATGAUGE_OPERATOR_COMMAND_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgauge::operators {

// One `FIELD = VALUE` of a command.
struct Assignment {
  std::string field;
  nlohmann::json value;

  auto operator==(const Assignment&) const -> bool = default;
};

enum class Comparison {
  kEqual,
  kNotEqual,
  kLess,
  kLessOrEqual,
  kGreater,
  kGreaterOrEqual,
  kContains,  // Written as `~`: the text of the field contains the value.
};

// One condition of a `where` clause.
struct Condition {
  std::string field;
  Comparison comparison = Comparison::kEqual;
  nlohmann::json value;

  auto operator==(const Condition&) const -> bool = default;
};

struct Ordering {
  std::string field;
  bool descending = false;

  auto operator==(const Ordering&) const -> bool = default;
};

// One parsed line of the command language; docs/operators.md has the grammar.
struct Command {
  std::string verb;
  std::string kind;
  std::vector<std::string> names;
  std::vector<Assignment> fields;
  std::vector<Condition> where;
  std::optional<Ordering> order;
  std::optional<std::uint64_t> limit;
  std::optional<std::uint64_t> if_revision;
  bool dry_run = false;
  // Seconds to wait until the change is in force on every node; empty for none.
  std::optional<std::uint64_t> wait_seconds;

  auto operator==(const Command&) const -> bool = default;
};

// Maximum length of a command line.
inline constexpr std::size_t kMaxCommandBytes = 65'536;

// Parses one line whose first word is one of `verbs`. Throws
// Error(kInvalidArgument) with the column of the syntax error and what was
// expected there.
auto ParseCommand(std::string_view line, const std::vector<std::string>& verbs)
    -> Command;

// Returns the verbs of the operators' command language.
auto OperatorVerbs() -> const std::vector<std::string>&;

}  // namespace kumquatgauge::operators

#endif  // KUMQUATGAUGE_OPERATOR_COMMAND_H_
