#include "kumquatgauge/serving/store_report.h"

#include <catch2/catch.hpp>

namespace kumquatgauge::serving {
namespace {

// Guards against calls that are exported twice, once for each update.
TEST_CASE("StoreReport.ExportsTheTotalsByKind") {
  auto metrics = MetricsRegistry();
  auto now = MonotonicTime();
  auto report = StoreReport(metrics, [&] { return now; });
  const auto logger = Logger("test");
  auto calls = store::CallTally{{{"job-results", "create"}, 3}};
  report.Update(calls, logger);
  report.Update(calls, logger);
  calls[{"job-results", "create"}] = 5;
  calls[{"job-states", "list_stale"}] = 2;
  now += StoreReport::kLogInterval;
  report.Update(calls, logger);
  const auto text = metrics.Text();
  CHECK(text.find("kqg_store_calls_total{kind=\"job-results\","
                  "method=\"create\"} 5\n") != std::string::npos);
  CHECK(text.find("kqg_store_calls_total{kind=\"job-states\","
                  "method=\"list_stale\"} 2\n") != std::string::npos);
  CHECK(FormatCalls(calls) == "job-results.create=5 job-states.list_stale=2");
}

}  // namespace
}  // namespace kumquatgauge::serving
