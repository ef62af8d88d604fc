#include "kumquatgauge/operator/command.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::operators {
namespace {

auto Parse(std::string_view line) -> Command {
  return ParseCommand(line, OperatorVerbs());
}

auto MessageFor(std::string_view line) -> std::string {
  try {
    Parse(line);
  } catch (const Error& error) {
    return error.what();
  }
  return "no error";
}

TEST_CASE("Command.ParsesShowWithAllClauses") {
  const auto command = Parse(
      "show jobs where organisation = acme and progress < 0.5 and id ~ \"a b\" "
      "order by due desc limit 20");
  CHECK(command.verb == "show");
  CHECK(command.kind == "jobs");
  CHECK(command.where ==
        std::vector<Condition>{{"organisation", Comparison::kEqual, "acme"},
                               {"progress", Comparison::kLess, 0.5},
                               {"id", Comparison::kContains, "a b"}});
  CHECK(command.order == Ordering{"due", true});
  CHECK(command.limit == 20U);
}

TEST_CASE("Command.ParsesTypedFields") {
  const auto command = Parse(
      "create service summaries kind=model models=[a, \"b c\"] lean = 0.25 "
      "repeatable = true capacity = 4");
  CHECK(command.names == std::vector<std::string>{"summaries"});
  CHECK(command.fields ==
        std::vector<Assignment>{{"kind", "model"},
                                {"models", nlohmann::json::array({"a", "b c"})},
                                {"lean", 0.25},
                                {"repeatable", true},
                                {"capacity", 4}});
}

TEST_CASE("Command.ParsesRevisionDryRunAndWait") {
  const auto command =
      Parse("set service summaries lean = 1 if revision 12 --dry-run --wait 5");
  CHECK(command.if_revision == 12U);
  CHECK(command.dry_run);
  CHECK(command.wait_seconds == 5U);
}

TEST_CASE("Command.WaitsForTheTargetTimeByDefault") {
  CHECK(Parse("delete service old --wait").wait_seconds == 9U);
}

TEST_CASE("Command.KeepsSeveralNames") {
  CHECK(Parse("explain item job-1 note/7").names ==
        std::vector<std::string>{"job-1", "note/7"});
}

// Guards against messages that do not show where in the line the error is.
TEST_CASE("Command.PointsAtUnknownVerb") {
  CHECK(MessageFor("shoow jobs") ==
        "cannot parse command: column 1: found 'shoow jobs'; expected one of "
        "show explain watch create set delete cancel drain; see "
        "docs/operators.md");
}

TEST_CASE("Command.PointsAtMissingKind") {
  CHECK_THAT(MessageFor("show"),
             Catch::Contains("column 5: found the end of the line; expected a "
                             "kind"));
}

TEST_CASE("Command.PointsAtMissingValue") {
  CHECK_THAT(MessageFor("set service s lean = "),
             Catch::Contains("found the end of the line; expected a value"));
}

TEST_CASE("Command.PointsAtMissingBy") {
  CHECK_THAT(MessageFor("show jobs order due"),
             Catch::Contains("column 17: found 'due'; expected 'by'"));
}

TEST_CASE("Command.PointsAtBadNumber") {
  CHECK_THAT(MessageFor("show jobs limit many"),
             Catch::Contains("column 17: found 'many'; expected a number"));
}

TEST_CASE("Command.PointsAtTrailingText") {
  CHECK_THAT(MessageFor("show jobs limit 3 )"),
             Catch::Contains("column 19: found ')'; expected FIELD = VALUE"));
}

// Guards against a crash on arbitrary bytes from the network.
TEST_CASE("Command.RejectsOrParsesArbitraryLines") {
  const auto seed = 20261203U;
  CAPTURE(seed);
  auto random = std::mt19937(seed);
  const auto pieces = std::vector<std::string>{
      "show",   "set", "jobs",     "where", "=",
      "<",      "\"",  "\\",       "limit", "99999999999999999999",
      "[",      "]",   ",",        "order", "by",
      "--wait", "if",  "revision", "\xff",  "\n",
      "a"};
  for (auto round = 0; round < 20'000; ++round) {
    auto line = std::string();
    const auto count = random() % 9;
    for (auto piece = 0U; piece < count; ++piece) {
      line += pieces[random() % pieces.size()];
      line += random() % 2 == 0 ? " " : "";
    }
    try {
      Parse(line);
    } catch (const Error& error) {
      CHECK(error.kind() == ErrorKind::kInvalidArgument);
    }
  }
}

}  // namespace
}  // namespace kumquatgauge::operators
