#include "kumquatgauge/batch/submission.h"

#include <xxhash.h>

#include <boost/unordered/unordered_flat_set.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/batch/job_store.h"

namespace kumquatgauge::batch {

using boost::asio::awaitable;
using store::CallClass;

namespace {

constexpr auto kMaxCreateAttempts = 4;

struct TextHash {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator==(const TextHash&) const -> bool = default;
};

struct TextHashHasher {
  // The low half is already uniform.
  using is_avalanching = void;
  auto operator()(const TextHash& hash) const -> std::size_t {
    return hash.low;
  }
};

auto HashOf(const std::string& text) -> TextHash {
  const auto hash = XXH3_128bits(text.data(), text.size());
  return {.high = hash.high64, .low = hash.low64};
}

struct FreeHashState {
  auto operator()(XXH3_state_t* state) const -> void { XXH3_freeState(state); }
};

auto ToWallMillis(WallTime time) -> WallMillis {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

auto IsSpaceOnly(const std::string& line) -> bool {
  return line.find_first_not_of(" \t\r") == std::string::npos;
}

auto HadNoEffect(ErrorKind kind) -> bool {
  return kind == ErrorKind::kUnavailable || kind == ErrorKind::kTimeout ||
         kind == ErrorKind::kOverloaded;
}

}  // namespace

class Submission::Impl {
 public:
  Impl(store::ObjectStore& store,
       SubmissionRequest request,
       WallClock wall_clock,
       RandomSource random,
       std::function<auto(const JobId&)->void> on_accepted)
      : store_(store),
        jobs_(store, std::move(random)),
        request_(std::move(request)),
        id_(MakeJobId(request_.organisation, request_.client_key)),
        wall_clock_(std::move(wall_clock)),
        on_accepted_(std::move(on_accepted)),
        upload_started_(ToWallMillis(wall_clock_())),
        body_hash_(XXH3_createState()) {
    XXH3_128bits_reset(body_hash_.get());
    // The due time is not hashed, so that a caller that gives it relative to
    // now finds its job again.
    const auto chat =
        request_.endpoint == routing::CompletionEndpoint::kChatCompletions;
    AddToHash(request_.service.value() + (chat ? "\nchat\n" : "\ntext\n"));
  }

  auto id() const -> const JobId& { return id_; }

  auto Append(std::string bytes) -> awaitable<void> {
    co_await TranslateErrors(AppendBytes(std::move(bytes)));
  }

  auto Finish() -> awaitable<SubmissionResult> {
    co_await TranslateErrors(FinishBody());
    if (!result_) {
      throw Error(ErrorKind::kInternal, "submission has no result", id_.value(),
                  "report it to the maintainers");
    }
    co_return std::move(*result_);
  }

 private:
  // Runs one step and translates store errors into errors for the caller.
  auto TranslateErrors(awaitable<void> step) -> awaitable<void> {
    if (failure_) {
      throw Error(*failure_);
    }
    try {
      co_await std::move(step);
      co_return;
    } catch (const Error& error) {
      const auto lost_before_acceptance =
          error.kind() == ErrorKind::kUnknownOutcome && !maybe_accepted_;
      if (HadNoEffect(error.kind()) || lost_before_acceptance) {
        failure_ = Error(
            ErrorKind::kUnavailable, "batch job was not accepted", id_.value(),
            "the platform does not respond; submit the same job again after " +
                std::to_string(kSubmissionRetryAfter.count()) + " s");
      } else {
        failure_ = error;
      }
    }
    throw Error(*failure_);
  }

  auto InvalidArgument(const std::string& what, const std::string& remedy) const
      -> Error {
    return {ErrorKind::kInvalidArgument, what, id_.value(), remedy};
  }

  auto AddToHash(const std::string& bytes) -> void {
    XXH3_128bits_update(body_hash_.get(), bytes.data(), bytes.size());
  }

  auto Begin() -> awaitable<void> {
    if (begun_) {
      co_return;
    }
    begun_ = true;
    const auto found = co_await jobs_.ReadManifest(id_);
    if (found) {
      CheckNotExpired(found->manifest);
      existing_ = found->manifest;
      co_return;
    }
    if (request_.due <= upload_started_) {
      throw InvalidArgument("the due time of the batch job is in the past",
                            "give a due time in the future");
    }
  }

  auto CheckNotExpired(const JobManifest& manifest) const -> void {
    if (manifest.expired) {
      throw Error(ErrorKind::kUnavailable, "an old upload is being removed",
                  id_.value(), "submit again");
    }
  }

  auto AppendBytes(std::string bytes) -> awaitable<void> {
    co_await Begin();
    AddToHash(bytes);
    if (existing_) {
      co_return;
    }
    auto rest = std::string_view(bytes);
    while (!rest.empty()) {
      const auto end = rest.find('\n');
      const auto piece = rest.substr(0, end);
      AddToLine(piece);
      if (end == std::string_view::npos) {
        co_return;
      }
      co_await EndLine();
      rest = rest.substr(end + 1);
    }
  }

  auto AddToLine(std::string_view piece) -> void {
    if (line_too_long_ || line_.size() + piece.size() > kMaxLineBytes) {
      line_too_long_ = true;
      line_.clear();
      return;
    }
    line_ += piece;
  }

  auto EndLine() -> awaitable<void> {
    ++line_number_;
    const auto too_long = std::exchange(line_too_long_, false);
    const auto line = std::exchange(line_, std::string());
    if (too_long) {
      Reject("line is longer than " + std::to_string(kMaxLineBytes) + " bytes");
    } else if (!IsSpaceOnly(line)) {
      auto item = ParseItem(line);
      if (item) {
        co_await AddItem(std::move(*item));
      }
    }
  }

  auto Reject(std::string reason) -> void {
    ++rejected_count_;
    if (rejected_.size() < kMaxListedRejections) {
      rejected_.push_back({.line = line_number_, .reason = std::move(reason)});
    }
  }

  // Returns nullopt after rejecting the line.
  auto ParseItem(const std::string& line) -> std::optional<ItemInput> {
    const auto json = nlohmann::json::parse(line, nullptr, false);
    const auto reason = MalformedReason(json);
    if (!reason.empty()) {
      Reject(reason);
      return std::nullopt;
    }
    auto custom_id = json["custom_id"].get<std::string>();
    if (!seen_custom_ids_.insert(HashOf(custom_id)).second) {
      Reject("custom_id was used on an earlier line");
      return std::nullopt;
    }
    return ItemInput{.custom_id = std::move(custom_id),
                     .line = line_number_,
                     .body = std::string(detail::RawMember(line, "body"))};
  }

  static auto MalformedReason(const nlohmann::json& json) -> std::string {
    if (json.is_discarded()) {
      return "line is not JSON";
    }
    if (!json.is_object()) {
      return "line is not a JSON object";
    }
    const auto custom_id = json.find("custom_id");
    if (custom_id == json.end() || !custom_id->is_string() ||
        custom_id->get_ref<const std::string&>().empty()) {
      return "custom_id is missing, empty or not a string";
    }
    if (custom_id->get_ref<const std::string&>().size() > kMaxCustomIdBytes) {
      return "custom_id is longer than " + std::to_string(kMaxCustomIdBytes) +
             " bytes";
    }
    const auto body = json.find("body");
    if (body == json.end() || !body->is_object()) {
      return "body is missing or not an object";
    }
    return {};
  }

  auto AddItem(ItemInput item) -> awaitable<void> {
    if (++items_ > kMaxItemsPerJob) {
      throw InvalidArgument("batch job has more than " +
                                std::to_string(kMaxItemsPerJob) + " items",
                            "split it into several jobs");
    }
    const auto text = item.ToJson();
    const auto full = chunk_items_ == kChunkItems ||
                      chunk_.size() + text.size() + 1 > kChunkBytes;
    if (full) {
      co_await WriteChunk();
    }
    chunk_ += text;
    chunk_ += '\n';
    ++chunk_items_;
  }

  auto WriteChunk() -> awaitable<void> {
    if (chunk_items_ == 0) {
      co_return;
    }
    if (chunks_.size() == kMaxChunksPerJob) {
      throw InvalidArgument("batch job is too large",
                            "split it into several jobs");
    }
    co_await RegisterUpload();
    const auto hash = HashText(chunk_);
    auto text = std::exchange(chunk_, std::string());
    co_await CreateObject(InputKey(id_, chunks_.size(), hash), std::move(text));
    chunks_.push_back({.hash = hash, .items = chunk_items_});
    chunk_items_ = 0;
  }

  // Creates an object whose content is determined by its key.
  auto CreateObject(std::string key, std::string value) -> awaitable<void> {
    for (auto attempt = 1;; ++attempt) {
      try {
        auto target = key;
        auto content = value;
        co_await store_.Write(std::move(target), std::move(content),
                              std::nullopt, CallClass::kResult);
        co_return;
      } catch (const Error& error) {
        if (error.kind() == ErrorKind::kConflict) {
          co_return;
        }
        if (error.kind() != ErrorKind::kUnknownOutcome ||
            attempt == kMaxCreateAttempts) {
          throw;
        }
      }
    }
  }

  // Writes the index entry before the first chunk, so that the sweep finds an
  // upload whose submitter died.
  auto RegisterUpload() -> awaitable<void> {
    if (registered_) {
      co_return;
    }
    const auto state = co_await jobs_.ReadState(id_);
    if (state && state->state.terminal()) {
      throw Error(ErrorKind::kUnavailable, "the previous job is being removed",
                  id_.value(), "submit again");
    }
    auto change = JobStore::IndexChange(
        [id = id_, began = upload_started_](ShardIndex& index) {
          auto& time = index.jobs[id];
          time = std::max(time, began);
        });
    co_await jobs_.UpdateIndex(IndexKey(ShardOfJob(id_)), std::move(change));
    registered_ = true;
  }

  auto BodyHash() const -> std::string {
    const auto hash = XXH3_128bits_digest(body_hash_.get());
    auto canonical = XXH128_canonical_t();
    XXH128_canonicalFromHash(&canonical, hash);
    return HashText(std::string_view(
        reinterpret_cast<const char*>(canonical.digest),  // NOLINT
        sizeof(canonical.digest)));
  }

  auto FinishBody() -> awaitable<void> {
    co_await Begin();
    if (existing_) {
      AnswerExisting(std::move(*existing_));
      co_return;
    }
    if (!line_.empty() || line_too_long_) {
      co_await EndLine();
    }
    co_await WriteChunk();
    if (items_ == 0) {
      throw InvalidArgument(NoItemsMessage(), "send one JSON object per line");
    }
    co_await CreateObject(StateKey(id_), InitialState().ToJson());
    if (ToWallMillis(wall_clock_()) - upload_started_ >
        std::chrono::milliseconds(kMaxUploadTime).count()) {
      throw Error(ErrorKind::kUnavailable, "the upload took too long",
                  id_.value(), "submit again");
    }
    co_await CreateManifest();
  }

  auto NoItemsMessage() const -> std::string {
    auto message = std::string("batch job has no valid items");
    for (const auto& line : rejected_) {
      message += "; line " + std::to_string(line.line) + ": " + line.reason;
    }
    return message;
  }

  // Identical for every body, so that it is valid for whichever submission is
  // accepted.
  static auto InitialState() -> JobState { return {}; }

  auto CreateManifest() -> awaitable<void> {
    auto manifest = JobManifest{.id = id_,
                                .organisation = request_.organisation,
                                .client_key = request_.client_key,
                                .service = request_.service,
                                .endpoint = request_.endpoint,
                                .body_hash = BodyHash(),
                                .items = items_,
                                .rejected_count = rejected_count_,
                                .rejected = std::move(rejected_),
                                .chunks = std::move(chunks_),
                                .due = request_.due,
                                .created = ToWallMillis(wall_clock_()),
                                .expired = false};
    for (auto attempt = 1;; ++attempt) {
      auto lost = false;
      try {
        auto key = ManifestKey(id_);
        auto value = manifest.ToJson();
        co_await store_.Write(std::move(key), std::move(value), std::nullopt,
                              CallClass::kClaim);
        break;
      } catch (const Error& error) {
        lost = error.kind() == ErrorKind::kUnknownOutcome;
        if (!lost && error.kind() != ErrorKind::kConflict) {
          ThrowNotAccepted(error);
        }
        maybe_accepted_ = true;
      }
      const auto found = co_await ReadBackManifest();
      if (found && *found == manifest) {
        break;
      }
      if (found) {
        AnswerExisting(*found);
        co_return;
      }
      if (attempt == kMaxCreateAttempts) {
        ThrowUnknown();
      }
    }
    result_ =
        SubmissionResult{.manifest = std::move(manifest), .created = true};
    NotifyAccepted();
  }

  // After a lost response, a later attempt that had no effect says nothing
  // about the earlier one.
  auto ThrowNotAccepted(const Error& error) const -> void {
    if (maybe_accepted_) {
      ThrowUnknown();
    }
    throw Error(error);
  }

  [[noreturn]] auto ThrowUnknown() const -> void {
    throw Error(ErrorKind::kUnknownOutcome, "batch job may have been accepted",
                id_.value(),
                "submit the same job again; it is never accepted twice");
  }

  auto ReadBackManifest() -> awaitable<std::optional<JobManifest>> {
    try {
      const auto found = co_await jobs_.ReadManifest(id_);
      co_return found ? std::optional(found->manifest) : std::nullopt;
    } catch (const Error&) {
      if (!maybe_accepted_) {
        throw;
      }
    }
    ThrowUnknown();
  }

  auto AnswerExisting(JobManifest found) -> void {
    CheckNotExpired(found);
    if (found.body_hash != BodyHash()) {
      throw Error(ErrorKind::kConflict,
                  "the key belongs to a batch job with another body",
                  id_.value(), "use a new key for a new job");
    }
    result_ = SubmissionResult{.manifest = std::move(found), .created = false};
    NotifyAccepted();
  }

  auto NotifyAccepted() const -> void {
    if (on_accepted_) {
      on_accepted_(id_);
    }
  }

  store::ObjectStore& store_;
  JobStore jobs_;
  SubmissionRequest request_;
  JobId id_;
  WallClock wall_clock_;
  std::function<auto(const JobId&)->void> on_accepted_;
  WallMillis upload_started_;
  std::unique_ptr<XXH3_state_t, FreeHashState> body_hash_;

  bool begun_ = false;
  bool registered_ = false;
  bool maybe_accepted_ = false;  // The job may have been accepted already.
  std::optional<JobManifest> existing_;
  std::optional<SubmissionResult> result_;
  std::optional<Error> failure_;

  std::string line_;
  bool line_too_long_ = false;
  std::size_t line_number_ = 0;
  boost::unordered_flat_set<TextHash, TextHashHasher> seen_custom_ids_;
  std::size_t items_ = 0;
  std::size_t rejected_count_ = 0;
  std::vector<RejectedLine> rejected_;

  std::string chunk_;
  std::size_t chunk_items_ = 0;
  std::vector<ChunkInfo> chunks_;
};

Submission::Submission(store::ObjectStore& store,
                       SubmissionRequest request,
                       WallClock wall_clock,
                       RandomSource random,
                       std::function<auto(const JobId&)->void> on_accepted)
    : impl_(std::make_unique<Impl>(store,
                                   std::move(request),
                                   std::move(wall_clock),
                                   std::move(random),
                                   std::move(on_accepted))) {}

Submission::~Submission() = default;

auto Submission::id() const -> const JobId& {
  return impl_->id();
}

auto Submission::Append(std::string bytes) -> awaitable<void> {
  co_await impl_->Append(std::move(bytes));
}

auto Submission::Finish() -> awaitable<SubmissionResult> {
  co_return co_await impl_->Finish();
}

}  // namespace kumquatgauge::batch
