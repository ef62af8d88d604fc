#include "kumquatgauge/operator/command.h"

#include <boost/fusion/include/adapt_struct.hpp>
#include <boost/spirit/home/x3.hpp>
#include <boost/spirit/home/x3/support/ast/variant.hpp>
#include <charconv>
#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::operators::detail {
namespace x3 = boost::spirit::x3;

// Attributes of the grammar, from which ParseCommand builds a Command.
struct ParsedAssignment {
  std::string field;
  std::string value;
};

struct ParsedCondition {
  std::string field;
  Comparison comparison = Comparison::kEqual;
  std::string value;
};

struct WhereClause {
  std::vector<ParsedCondition> conditions;
};

struct OrderClause {
  std::string field;
  bool descending = false;
};

struct LimitClause {
  std::uint64_t limit = 0;
};

struct RevisionClause {
  std::uint64_t revision = 0;
};

struct DryRunClause {
  bool present = true;
};

struct WaitClause {
  boost::optional<std::uint64_t> seconds;
};

using Clause = x3::variant<WhereClause,
                           OrderClause,
                           LimitClause,
                           RevisionClause,
                           DryRunClause,
                           WaitClause,
                           ParsedAssignment>;

struct ParsedCommand {
  std::string verb;
  std::string kind;
  std::vector<std::string> names;
  std::vector<Clause> clauses;
};

}  // namespace kumquatgauge::operators::detail

BOOST_FUSION_ADAPT_STRUCT(kumquatgauge::operators::detail::ParsedAssignment,
                          field,
                          value)
BOOST_FUSION_ADAPT_STRUCT(kumquatgauge::operators::detail::ParsedCondition,
                          field,
                          comparison,
                          value)
BOOST_FUSION_ADAPT_STRUCT(kumquatgauge::operators::detail::WhereClause,
                          conditions)
BOOST_FUSION_ADAPT_STRUCT(kumquatgauge::operators::detail::OrderClause,
                          field,
                          descending)
BOOST_FUSION_ADAPT_STRUCT(kumquatgauge::operators::detail::LimitClause, limit)
BOOST_FUSION_ADAPT_STRUCT(kumquatgauge::operators::detail::RevisionClause,
                          revision)
BOOST_FUSION_ADAPT_STRUCT(kumquatgauge::operators::detail::DryRunClause,
                          present)
BOOST_FUSION_ADAPT_STRUCT(kumquatgauge::operators::detail::WaitClause, seconds)
BOOST_FUSION_ADAPT_STRUCT(kumquatgauge::operators::detail::ParsedCommand,
                          verb,
                          kind,
                          names,
                          clauses)

namespace kumquatgauge::operators::detail {
namespace {

// The target time for a change to be in force on every node.
constexpr std::uint64_t kDefaultWaitSeconds = 9;

const auto kWordCharacter = x3::char_("a-zA-Z0-9_./:@%*+") | x3::char_('-');

struct ComparisonSymbols : x3::symbols<Comparison> {
  ComparisonSymbols() {
    add("=", Comparison::kEqual)("!=", Comparison::kNotEqual)(
        "<", Comparison::kLess)("<=", Comparison::kLessOrEqual)(
        ">", Comparison::kGreater)(">=", Comparison::kGreaterOrEqual)(
        "~", Comparison::kContains);
  }
};

struct ClauseKeywords : x3::symbols<> {
  ClauseKeywords() {
    add("where")("order")("limit")("if")("--dry-run")("--wait");
  }
};

auto MakeGrammar(const std::vector<std::string>& verbs) {
  auto verb_symbols = x3::symbols<std::string>();
  for (const auto& verb : verbs) {
    verb_symbols.add(verb, verb);
  }
  const auto end_of_word = !kWordCharacter;
  const auto keyword = x3::lexeme[ClauseKeywords() >> end_of_word];
  const auto word_text = x3::lexeme[+kWordCharacter];

  const auto verb = x3::rule<class VerbTag, std::string>{"a verb"} =
      x3::lexeme[verb_symbols >> end_of_word];
  const auto word = x3::rule<class WordTag, std::string>{"a word"} =
      !keyword >> word_text;
  const auto kind = x3::rule<class KindTag, std::string>{"a kind"} =
      !keyword >> word_text;
  const auto field = x3::rule<class FieldTag, std::string>{"a field"} =
      !keyword >> word_text;
  const auto name = x3::rule<class NameTag, std::string>{"a name"} =
      !keyword >> word_text >> !x3::lit('=');
  const auto quoted_character =
      (x3::char_('\\') >> x3::char_) | ~x3::char_('"');
  const auto quoted = x3::lexeme['"' >> *quoted_character >> '"'];
  const auto list_element = quoted | word_text;
  const auto list = '[' >> -(list_element % ',') >> ']';
  const auto value = x3::rule<class ValueTag, std::string>{"a value"} =
      x3::raw[quoted | list | word_text];
  const auto number = x3::rule<class NumberTag, std::uint64_t>{"a number"} =
      x3::lexeme[x3::uint64 >> end_of_word];

  const auto comparison =
      x3::rule<class ComparisonTag, Comparison>{"a comparison"} =
          ComparisonSymbols();
  const auto condition =
      x3::rule<class ConditionTag, ParsedCondition>{"a condition"} =
          field > comparison > value;
  const auto assignment =
      x3::rule<class AssignmentTag, ParsedAssignment>{"an assignment"} =
          field >> '=' > value;
  const auto where = x3::rule<class WhereTag, WhereClause>{"where"} =
      x3::lexeme["where" >> end_of_word] >
      (condition % x3::lexeme["and" >> end_of_word]);
  const auto direction = (x3::lexeme["desc" >> end_of_word] >> x3::attr(true)) |
                         (x3::lexeme["asc" >> end_of_word] >> x3::attr(false)) |
                         x3::attr(false);
  const auto by = x3::rule<class ByTag>{"'by'"} =
      x3::lexeme["by" >> end_of_word];
  const auto order = x3::rule<class OrderTag, OrderClause>{"order by"} =
      x3::lexeme["order" >> end_of_word] > by > field > direction;
  const auto limit = x3::rule<class LimitTag, LimitClause>{"limit"} =
      x3::lexeme["limit" >> end_of_word] > number;
  const auto revision_word = x3::rule<class RevisionWordTag>{"'revision'"} =
      x3::lexeme["revision" >> end_of_word];
  const auto revision =
      x3::rule<class RevisionTag, RevisionClause>{"if revision"} =
          x3::lexeme["if" >> end_of_word] > revision_word > number;
  const auto dry_run = x3::rule<class DryRunTag, DryRunClause>{"--dry-run"} =
      x3::lexeme["--dry-run" >> end_of_word] >> x3::attr(true);
  const auto wait = x3::rule<class WaitTag, WaitClause>{"--wait"} =
      x3::lexeme["--wait" >> end_of_word] >> -number;
  const auto clause = x3::rule<class ClauseTag, Clause>{"a clause"} =
      where | order | limit | revision | dry_run | wait | assignment;
  const auto end = x3::rule<class EndTag>{
      "FIELD = VALUE, where, order by, limit, if revision, --dry-run, --wait "
      "or the end of the line"} = x3::eoi;

  return x3::rule<class CommandTag, ParsedCommand>{"a command"} =
             x3::expect[verb] > kind > *name > *clause > end;
}

// Converts the text of a scalar to JSON. Quoted strings are parsed as JSON;
// true, false and numbers keep their type; anything else becomes a string.
auto ScalarFromText(const std::string& text) -> nlohmann::json {
  if (text.starts_with('"')) {
    return nlohmann::json::parse(text);
  }
  if (text == "true" || text == "false") {
    return text == "true";
  }
  const auto* end = text.data() + text.size();
  auto integer = std::int64_t{0};
  if (const auto [at, error] = std::from_chars(text.data(), end, integer);
      error == std::errc() && at == end) {
    return integer;
  }
  auto number = 0.0;
  if (const auto [at, error] = std::from_chars(text.data(), end, number);
      error == std::errc() && at == end) {
    return number;
  }
  return text;
}

auto ValueFromText(const std::string& text) -> nlohmann::json {
  if (!text.starts_with('[')) {
    return ScalarFromText(text);
  }
  auto elements = std::vector<std::string>();
  const auto element =
      x3::raw[x3::lexeme['"' >> *(("\\" >> x3::char_) | ~x3::char_('"')) >>
                         '"'] |
              x3::lexeme[+kWordCharacter]];
  x3::phrase_parse(text.begin(), text.end(), '[' >> -(element % ',') >> ']',
                   x3::space, elements);
  auto list = nlohmann::json::array();
  for (const auto& item : elements) {
    list.push_back(ScalarFromText(item));
  }
  return list;
}

// Copies the parsed clauses into a Command.
class ClauseVisitor {
 public:
  using result_type = void;

  explicit ClauseVisitor(Command& command) : command_(command) {}

  auto operator()(const WhereClause& clause) -> void {
    for (const auto& condition : clause.conditions) {
      command_.where.push_back({condition.field, condition.comparison,
                                ValueFromText(condition.value)});
    }
  }
  auto operator()(const OrderClause& clause) -> void {
    command_.order = Ordering{clause.field, clause.descending};
  }
  auto operator()(const LimitClause& clause) -> void {
    command_.limit = clause.limit;
  }
  auto operator()(const RevisionClause& clause) -> void {
    command_.if_revision = clause.revision;
  }
  auto operator()(const DryRunClause& /*clause*/) -> void {
    command_.dry_run = true;
  }
  auto operator()(const WaitClause& clause) -> void {
    command_.wait_seconds = clause.seconds.value_or(kDefaultWaitSeconds);
  }
  auto operator()(const ParsedAssignment& assignment) -> void {
    command_.fields.push_back(
        {assignment.field, ValueFromText(assignment.value)});
  }

 private:
  Command& command_;
};

[[noreturn]] auto ThrowSyntaxError(std::string_view line,
                                   std::size_t column,
                                   const std::string& expected) -> void {
  const auto found = column >= line.size()
                         ? std::string("the end of the line")
                         : "'" + std::string(line.substr(column, 20)) + "'";
  throw Error(ErrorKind::kInvalidArgument, "cannot parse command",
              "column " + std::to_string(column + 1) + ": found " + found,
              "expected " + expected + "; see docs/operators.md");
}

auto SkipSpace(std::string_view line, std::size_t column) -> std::size_t {
  while (column < line.size() && line[column] == ' ') {
    ++column;
  }
  return column;
}

auto VerbList(const std::vector<std::string>& verbs) -> std::string {
  auto text = std::string("one of");
  for (const auto& verb : verbs) {
    text += " " + verb;
  }
  return text;
}

}  // namespace
}  // namespace kumquatgauge::operators::detail

namespace kumquatgauge::operators {

auto ParseCommand(std::string_view line, const std::vector<std::string>& verbs)
    -> Command {
  namespace x3 = boost::spirit::x3;
  if (line.size() > kMaxCommandBytes) {
    detail::ThrowSyntaxError(
        line, kMaxCommandBytes,
        "at most " + std::to_string(kMaxCommandBytes) + " bytes");
  }
  const auto text = std::string(line);
  auto parsed = detail::ParsedCommand();
  try {
    x3::phrase_parse(text.begin(), text.end(), detail::MakeGrammar(verbs),
                     x3::space, parsed);
  } catch (const x3::expectation_failure<std::string::const_iterator>& error) {
    const auto column = detail::SkipSpace(
        text, static_cast<std::size_t>(error.where() - text.begin()));
    const auto expected =
        error.which() == "a verb" ? detail::VerbList(verbs) : error.which();
    detail::ThrowSyntaxError(text, column, expected);
  }
  auto command = Command{.verb = parsed.verb,
                         .kind = parsed.kind,
                         .names = parsed.names,
                         .fields = {},
                         .where = {},
                         .order = {},
                         .limit = {},
                         .if_revision = {},
                         .dry_run = false,
                         .wait_seconds = {}};
  auto visitor = detail::ClauseVisitor(command);
  try {
    for (const auto& clause : parsed.clauses) {
      boost::apply_visitor(visitor, clause);
    }
  } catch (const nlohmann::json::exception&) {
    detail::ThrowSyntaxError(text, 0,
                             "a quoted value with valid escape sequences");
  }
  return command;
}

auto OperatorVerbs() -> const std::vector<std::string>& {
  static const auto verbs = std::vector<std::string>{
      "show", "explain", "watch", "create", "set", "delete", "cancel", "drain"};
  return verbs;
}

}  // namespace kumquatgauge::operators
