#ifndef BENCH_BATCH_REPORT_H_
#define BENCH_BATCH_REPORT_H_

#include <cstdio>
#include <string>

namespace kumquatgauge::bench {

// Prints the figures of a batch benchmark and records whether one failed.
class BatchReport {
 public:
  // A figure that must not exceed its bound.
  auto AtMost(const std::string& name, double figure, double bound) -> void {
    const auto pass = figure <= bound;
    failed_ = failed_ || !pass;
    std::printf("bench %s figure=%.3f bound=%.3f %s\n", name.c_str(), figure,
                bound, pass ? "pass" : "fail");
  }
  auto exit_code() const -> int { return failed_ ? 1 : 0; }

 private:
  bool failed_ = false;
};

}  // namespace kumquatgauge::bench

#endif  // BENCH_BATCH_REPORT_H_
