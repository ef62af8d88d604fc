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

// A monotonically increasing counter. Thread-safe.
class Counter {
 public:
  auto Add(std::uint64_t amount = 1) -> void { value_ += amount; }
  auto value() const -> std::uint64_t { return value_; }

 private:
  std::atomic<std::uint64_t> value_{0};
};

// A histogram of latencies in milliseconds, with logarithmic buckets from 0.1
// ms to 100 s. Thread-safe.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  auto Record(double milliseconds) -> void;
  auto count() const -> std::uint64_t;
  // Returns the upper bound in ms of the bucket that contains `quantile`
  // (0..1), or 0 if nothing was recorded.
  auto Quantile(double quantile) const -> double;
  // Appends the time series to `out` in the Prometheus text format, in seconds.
  auto WriteText(const std::string& name, std::string& out) const -> void;

 private:
  class Data;
  std::unique_ptr<Data> data_;
};

// The metrics of one node by name, exported in the Prometheus text format. A
// name may contain labels: `requests_total{class="online"}`. Thread-safe.
class MetricsRegistry {
 public:
  auto counter(const std::string& name) -> Counter&;
  auto histogram(const std::string& name) -> LatencyHistogram&;
  // Registers a gauge whose value is read by each call of Text().
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
