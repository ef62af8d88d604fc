#ifndef KUMQUATGAUGE_SERVING_REQUEST_QUARANTINE_H_
#define KUMQUATGAUGE_SERVING_REQUEST_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/serving/prompt_parts.h"
#include "kumquatgauge/serving/request_traits.h"

namespace kumquatgauge::serving {

struct RequestQuarantineSettings {
  // Crashes within this time count as one: replicas may fail in groups.
  Duration group_time = std::chrono::milliseconds(50);
  // Groups of crashes after which a part that no replica has answered is
  // quarantined.
  std::size_t min_crashes = 3;
  // The same for a part that some replica has answered within
  // `answered_memory`, counted from the last answer. The crashes must also span
  // `min_span`.
  std::size_t min_crashes_answered = 6;
  Duration min_span = std::chrono::seconds(5);
  Duration answered_memory = std::chrono::seconds(60);
  // Time for other nodes to report that they have an answer to the part.
  Duration objection_time = std::chrono::milliseconds(300);
  // A part that is not quarantined is forgotten this long after a crash, and
  // sooner if it was answered since.
  Duration suspicion_time = std::chrono::seconds(60);
  Duration cleared_time = std::chrono::seconds(5);
  // Delay of the first trial after the last crash, less than the time in which
  // batch jobs are due; it grows by the factor with each failed trial, up to
  // the maximum. The part is forgotten `forget_time` after the last crash. A
  // whole request is not tried again; it is forgotten that long after it last
  // came.
  Duration trial_delay = std::chrono::seconds(10);
  int trial_delay_factor = 4;
  Duration max_trial_delay = std::chrono::minutes(4);
  Duration forget_time = std::chrono::minutes(10);
  // One node may try first. Twice as many may each time this has passed without
  // a result, since that node may have no request with the part.
  Duration trial_round = std::chrono::seconds(1);
  // A trial without a result no longer blocks the next one after this time.
  Duration trial_time = std::chrono::seconds(10);
  std::size_t max_suspects = 256;
  std::size_t max_answered = 4'096;
  std::size_t max_crashes = 10;  // Kept per part.
  std::size_t max_report = 6;    // Parts in one report to another node.

  auto operator==(const RequestQuarantineSettings&) const -> bool = default;
};

// What one node tells another about a part. Ages are relative to the message.
struct SuspectReport {
  struct Crash {
    std::uint64_t replica = 0;  // Hash of the replica's id.
    Duration age{0};

    auto operator==(const Crash&) const -> bool = default;
  };

  RequestTrait trait;
  std::size_t depth = 0;  // Position in the prompt, for a part.
  std::vector<Crash> crashes;
  std::optional<Duration> answered_age;

  auto operator==(const SuspectReport&) const -> bool = default;
};

struct QuarantineChange {
  RequestTrait trait;
  bool quarantined = false;
  std::size_t crashes = 0;

  auto operator==(const QuarantineChange&) const -> bool = default;
};

// Finds what replicas crash on and keeps requests with it away from the
// replicas of the whole fleet: parts of prompts, and whole requests that come
// again under other ids.
//
// Parts that were in the same crashed requests and that no replica has answered
// are equally likely. Only requests with all of them are refused: a request
// with some of them is evidence about these, whether it is answered or crashes
// a replica.
//
// All traits of a request are suspects when its replica breaks off before the
// first byte of the answer. Those that other requests share are cleared when a
// replica answers one of these. Nodes exchange what they know by reports that
// may be lost or repeated in any order.
//
// A request that crashes replicas because of a part has a fingerprint as well,
// and the other way round. The fingerprint stops the fewest other requests and
// is blamed first, but explains no crashes away from the parts.
class RequestQuarantine {
 public:
  // Returns whether this node is among the first `nodes` that may try a
  // quarantined part again.
  using RunsTrials = std::function<auto(PromptPart, std::size_t nodes)->bool>;

  // `changed` is called when there is news for the other nodes.
  RequestQuarantine(RequestQuarantineSettings settings,
                    RunsTrials runs_trials,
                    std::function<auto()->void> changed,
                    Clock clock)
      : settings_(settings),
        runs_trials_(std::move(runs_trials)),
        changed_(std::move(changed)),
        clock_(std::move(clock)) {}

  struct Admission {
    bool allowed = true;
    // The request tests whether the part still crashes replicas. It must not be
    // sent to a second replica.
    bool trial = false;
    RequestTrait trait;  // The quarantined one.
    Duration retry_after{0};

    auto operator==(const Admission&) const -> bool = default;
  };

  // Decides whether a request with these parts may be sent to a replica.
  auto Check(const RequestTraits& traits) -> Admission;
  // The same just before each attempt: a trial begins.
  auto Admit(const RequestTraits& traits) -> Admission;
  // Called when a replica has begun to answer a request.
  auto OnAnswered(const RequestTraits& traits) -> void;
  // Called when a replica broke off before it began to answer.
  auto OnCrash(const ReplicaId& replica, const RequestTraits& traits) -> void;

  // Returns what to report to other nodes: what is quarantined, has
  // crashed the most and changed last comes first.
  auto Report() const -> std::vector<SuspectReport>;
  // Applies the report of another node. Returns the objections to it, which are
  // reports to send back to that node: a report to random nodes holds only a
  // few suspects and may never tell it.
  auto OnReport(const std::vector<SuspectReport>& reports)
      -> std::vector<SuspectReport>;

  // Must be called several times a second while `active`. Returns the changes
  // since the last call.
  auto OnTick() -> std::vector<QuarantineChange>;

  // Whether there is anything to report.
  auto active() const -> bool { return !suspects_.empty(); }
  // Time since the last change.
  auto unchanged_for() const -> Duration { return clock_() - changed_at_; }
  auto quarantined() const -> std::size_t;

 private:
  struct Suspect {
    std::size_t depth = 0;
    // Crashes after the last answer, by replica.
    std::map<std::uint64_t, MonotonicTime> crashes;
    MonotonicTime last_crash;
    MonotonicTime changed;
    MonotonicTime last_refused;
    bool quarantined = false;
    std::optional<MonotonicTime> trial_began;
  };
  using Suspects = std::map<RequestTrait, Suspect>;
  using Entry = Suspects::value_type;

  auto AddCrash(const RequestTrait& trait,
                std::size_t depth,
                std::uint64_t replica,
                MonotonicTime at) -> void;
  auto AddAnswer(const RequestTrait& trait, MonotonicTime at) -> void;
  auto AnsweredAt(const RequestTrait& trait) const
      -> std::optional<MonotonicTime>;
  // Whether a quarantined part is the reason for the crash.
  auto IsExplained(std::uint64_t replica) const -> bool;
  // Returns the times of the known crashes in order.
  static auto CrashTimes(const Suspect& suspect) -> std::vector<MonotonicTime>;
  auto GroupCount(const Suspect& suspect) const -> std::size_t;
  auto MustQuarantine(const RequestTrait& trait, const Suspect& suspect) const
      -> bool;
  // Whether `other` was in all requests that `suspect` crashed replicas with,
  // and no replica has answered either.
  auto IsAsLikely(const Entry& other, const Entry& suspect) const -> bool;
  // Whether a request has a quarantined suspect and all that are as likely.
  auto IsBlamed(const RequestTraits& traits, const Entry& suspect) const
      -> bool;
  // Follows from the crashes, which all nodes know: a node may not have heard
  // of the trials of others.
  auto TrialDelay(const Suspect& suspect) const -> Duration;
  // Whether this node may try the suspect now.
  auto IsTrialDue(const RequestTrait& trait, const Suspect& suspect) const
      -> bool;
  // Quarantines the most likely part, if any.
  auto QuarantineNext() -> bool;
  auto Quarantine(Suspects::iterator chosen) -> void;
  auto ForgetOld() -> void;
  auto EvictSuspects() -> void;
  auto EvictAnswers() -> void;
  auto Touch(Suspect& suspect) -> void;

  RequestQuarantineSettings settings_;
  RunsTrials runs_trials_;
  std::function<auto()->void> changed_;
  Clock clock_;
  Suspects suspects_;
  std::map<RequestTrait, MonotonicTime> answered_;
  std::vector<QuarantineChange> changes_;
  MonotonicTime changed_at_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_REQUEST_QUARANTINE_H_
