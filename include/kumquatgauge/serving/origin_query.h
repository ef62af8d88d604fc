#ifndef KUMQUATGAUGE_SERVING_ORIGIN_QUERY_H_
#define KUMQUATGAUGE_SERVING_ORIGIN_QUERY_H_

#include <cstddef>
#include <optional>

#include "kumquatgauge/base/time.h"
#include "kumquatgauge/serving/stream_origins.h"

namespace kumquatgauge::serving {

// Maximum age of a statement that a service has had one version only, from the
// beginning of the read of the store that it rests on. The read begins after
// the question; what was read before may lack a version that has begun streams
// since.
inline constexpr std::chrono::milliseconds kMaxSoleVersionAge{1'000};

// What one node knows of what began a stream.
struct OriginAnswer {
  std::optional<StreamOrigin> recorded;
  // The only version of the service by the store, and how long ago that read
  // began.
  std::optional<StreamOrigin> sole;
  Duration sole_age{0};

  auto operator==(const OriginAnswer&) const -> bool = default;
};

// Decides what began a stream, by the answers of several nodes. A
// record counts at once. Without one, the newest statement of a node that the
// service has had one version only counts once all nodes have answered or the
// time is over: streams are not recorded while that is so.
class OriginQuery {
 public:
  explicit OriginQuery(std::size_t asked) : open_(asked) {}

  // Further nodes were asked.
  auto OnAsked(std::size_t count) -> void { open_ += count; }
  // Called once for each node that was asked; nothing if it did not answer.
  auto OnAnswer(const std::optional<OriginAnswer>& answer) -> void;
  // Whether further answers change nothing.
  auto done() const -> bool { return recorded_.has_value() || open_ == 0; }
  // Nothing if that is not known.
  auto origin() const -> std::optional<StreamOrigin>;

 private:
  std::size_t open_;
  std::optional<StreamOrigin> recorded_;
  std::optional<StreamOrigin> sole_;
  Duration sole_age_{0};
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_ORIGIN_QUERY_H_
