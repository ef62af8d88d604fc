#include "kumquatgauge/base/metrics.h"

#include <catch2/catch.hpp>

namespace kumquatgauge {
namespace {

TEST_CASE("Metrics.QuantileFallsIntoTheStepOfTheFigure") {
  auto histogram = LatencyHistogram();
  for (auto sample = 1; sample <= 100; ++sample) {
    histogram.Record(sample);
  }
  CHECK(histogram.Quantile(0.5) >= 50.0);
  CHECK(histogram.Quantile(0.5) <= 65.0);
  CHECK(histogram.Quantile(0.99) >= 99.0);
}

// Guards against label sets that a scraper cannot parse.
TEST_CASE("Metrics.TextKeepsLabelsBesideBucketLabel") {
  auto registry = MetricsRegistry();
  registry.counter("requests_total{class=\"online\"}").Add(3);
  registry.histogram("wait{class=\"online\"}").Record(1.0);
  registry.AddGauge("members", [] { return 8.0; });
  const auto text = registry.Text();
  CHECK_THAT(text, Catch::Contains("requests_total{class=\"online\"} 3\n"));
  CHECK_THAT(text, Catch::Contains("wait_bucket{class=\"online\",le=\"+Inf\"} "
                                   "1\n"));
  CHECK_THAT(text, Catch::Contains("# TYPE members gauge\nmembers 8\n"));
}

}  // namespace
}  // namespace kumquatgauge
