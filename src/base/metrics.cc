#include "kumquatgauge/base/metrics.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <iomanip>
#include <sstream>
#include <utility>

namespace kumquatgauge {
namespace {

namespace bh = boost::histogram;

constexpr unsigned kBuckets = 60;
constexpr double kLowestMs = 0.1;
constexpr double kHighestMs = 100'000.0;
constexpr double kMsPerSecond = 1'000.0;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

auto MakeHistogram() {
  return bh::make_histogram(LogAxis(kBuckets, kLowestMs, kHighestMs));
}

// Splits `name{labels}` into the name and the labels without the braces.
auto SplitLabels(const std::string& series)
    -> std::pair<std::string, std::string> {
  const auto brace = series.find('{');
  if (brace == std::string::npos) {
    return {series, ""};
  }
  return {series.substr(0, brace),
          series.substr(brace + 1, series.size() - brace - 2)};
}

auto WriteType(const std::string& series,
               const char* type,
               std::string& last_name,
               std::string& out) -> void {
  const auto name = SplitLabels(series).first;
  if (name != last_name) {
    out.append("# TYPE ").append(name).append(" ").append(type).append("\n");
    last_name = name;
  }
}

auto FormatNumber(double value) -> std::string {
  auto text = std::ostringstream();
  text << std::setprecision(6) << value;
  return text.str();
}

}  // namespace

class LatencyHistogram::Data {
 public:
  mutable std::mutex mutex;
  decltype(MakeHistogram()) histogram = MakeHistogram();
  double sum_ms = 0.0;
  std::uint64_t count = 0;
};

LatencyHistogram::LatencyHistogram() : data_(std::make_unique<Data>()) {}

LatencyHistogram::~LatencyHistogram() = default;

auto LatencyHistogram::Record(double milliseconds) -> void {
  const auto lock = std::lock_guard(data_->mutex);
  data_->histogram(milliseconds);
  data_->sum_ms += milliseconds;
  ++data_->count;
}

auto LatencyHistogram::count() const -> std::uint64_t {
  const auto lock = std::lock_guard(data_->mutex);
  return data_->count;
}

auto LatencyHistogram::Quantile(double quantile) const -> double {
  const auto lock = std::lock_guard(data_->mutex);
  if (data_->count == 0) {
    return 0.0;
  }
  const auto target = quantile * static_cast<double>(data_->count);
  auto cumulative = static_cast<double>(data_->histogram.at(-1));
  if (cumulative >= target) {
    return kLowestMs;
  }
  const auto& axis = data_->histogram.axis();
  for (auto index = 0; index < axis.size(); ++index) {
    cumulative += static_cast<double>(data_->histogram.at(index));
    if (cumulative >= target) {
      return axis.bin(index).upper();
    }
  }
  return kHighestMs;
}

auto LatencyHistogram::WriteText(const std::string& name,
                                 std::string& out) const -> void {
  const auto lock = std::lock_guard(data_->mutex);
  const auto [base, labels] = SplitLabels(name);
  const auto separator = labels.empty() ? "" : ",";
  const auto& axis = data_->histogram.axis();
  auto cumulative = static_cast<std::uint64_t>(data_->histogram.at(-1));
  for (auto index = 0; index < axis.size(); ++index) {
    cumulative += static_cast<std::uint64_t>(data_->histogram.at(index));
    out.append(base).append("_bucket{").append(labels).append(separator);
    out.append("le=\"")
        .append(FormatNumber(axis.bin(index).upper() / kMsPerSecond))
        .append("\"} ")
        .append(std::to_string(cumulative))
        .append("\n");
  }
  const auto suffix = labels.empty() ? "" : "{" + labels + "}";
  out += base + "_bucket{" + labels + separator + "le=\"+Inf\"} " +
         std::to_string(data_->count) + "\n";
  out += base + "_sum" + suffix + " " +
         FormatNumber(data_->sum_ms / kMsPerSecond) + "\n";
  out += base + "_count" + suffix + " " + std::to_string(data_->count) + "\n";
}

auto MetricsRegistry::counter(const std::string& name) -> Counter& {
  const auto lock = std::lock_guard(mutex_);
  auto& slot = counters_[name];
  if (!slot) {
    slot = std::make_unique<Counter>();
  }
  return *slot;
}

auto MetricsRegistry::histogram(const std::string& name) -> LatencyHistogram& {
  const auto lock = std::lock_guard(mutex_);
  auto& slot = histograms_[name];
  if (!slot) {
    slot = std::make_unique<LatencyHistogram>();
  }
  return *slot;
}

auto MetricsRegistry::AddGauge(const std::string& name,
                               std::function<auto()->double> read) -> void {
  const auto lock = std::lock_guard(mutex_);
  gauges_[name] = std::move(read);
}

auto MetricsRegistry::Text() const -> std::string {
  const auto lock = std::lock_guard(mutex_);
  auto out = std::string();
  auto last_name = std::string();
  for (const auto& [name, counter] : counters_) {
    WriteType(name, "counter", last_name, out);
    out += name + " " + std::to_string(counter->value()) + "\n";
  }
  for (const auto& [name, read] : gauges_) {
    WriteType(name, "gauge", last_name, out);
    out += name + " " + FormatNumber(read()) + "\n";
  }
  for (const auto& [name, histogram] : histograms_) {
    WriteType(name, "histogram", last_name, out);
    histogram->WriteText(name, out);
  }
  return out;
}

}  // namespace kumquatgauge
