#ifndef KUMQUATGAUGE_BASE_METRICS_H_
#define KUMQUATGAUGE_BASE_METRICS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace kumquatgauge {

// A count that only rises. Thread-safe.
class Counter {
 public:
  auto Add(std::uint64_t amount = 1) -> void { value_ += amount; }
  auto value() const -> std::uint64_t { return value_; }

 private:
  std::atomic<std::uint64_t> value_{0};
};

// The distribution of a time in milliseconds, in logarithmic steps from 0.1 ms
// to 100 s. Thread-safe.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  auto Record(double milliseconds) -> void;
  auto count() const -> std::uint64_t;
  // Upper edge in ms of the step that holds the given share (0..1) of the
  // figures; 0 when there are none.
  auto Quantile(double quantile) const -> double;
  // Appends the series in the text exposition format, in seconds.
  auto WriteText(const std::string& name, std::string& out) const -> void;

 private:
  class Data;
  std::unique_ptr<Data> data_;
};

// The metrics of one node by name, written in the text exposition format. A
// name may carry labels: `requests_total{class="online"}`. Thread-safe.
class MetricsRegistry {
 public:
  auto counter(const std::string& name) -> Counter&;
  auto histogram(const std::string& name) -> LatencyHistogram&;
  // Registers a figure that is read when the metrics are asked for.
  auto AddGauge(const std::string& name, std::function<auto()->double> read)
      -> void;

  auto Text() const -> std::string;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Counter>> counters_;
  std::map<std::string, std::unique_ptr<LatencyHistogram>> histograms_;
  std::map<std::string, std::function<auto()->double>> gauges_;
};

}  // namespace kumquatgauge

#endif  // KUMQUATGAUGE_BASE_METRICS_H_
