#ifndef REVIEW_STAND_IN_WORLD_H_
#define REVIEW_STAND_IN_WORLD_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "review/stand_in/net.h"

namespace review {

constexpr auto kHost = "h.example";

// Writes record.txt: a line for what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& file);
  auto Add(const std::string& line) -> void;
  auto Seconds() const -> double;

 private:
  std::chrono::steady_clock::time_point began_;
  std::mutex mutex_;
  std::ofstream file_;
};

// The platform's metadata store, as far as the programs use it.
class Store {
 public:
  explicit Store(Record& record);

  auto address() const -> const std::string& { return server_->address(); }
  // Writes an object of the operator, a replica or another writer. `spec` is
  // handed out as it stands.
  auto Put(const std::string& kind,
           const std::string& name,
           const std::string& spec) -> void;
  auto Remove(const std::string& kind, const std::string& name) -> void;
  // How long each answer takes.
  auto set_delay(std::chrono::milliseconds delay) -> void { delay_ = delay; }
  // The spec of an object; null if there is none.
  auto Get(const std::string& kind, const std::string& name) -> nlohmann::json;

 private:
  struct Object {
    std::string spec;
    std::string status = "null";
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string kind;
    std::string text;  // Of the event.
  };
  using Reply = std::pair<int, std::string>;

  auto Handle(const Request& request, Connection& connection) -> bool;
  auto Decide(const Request& request) -> Reply;
  auto Read(const std::string& kind,
            const std::string& name,
            const std::map<std::string, std::string>& query) -> Reply;
  auto Watch(const std::string& kind,
             const std::map<std::string, std::string>& query) -> Reply;
  auto Write(const Request& request,
             const std::string& kind,
             const std::string& name) -> Reply;
  auto Show(const std::string& name, const Object& object) const -> std::string;
  auto Store_(const std::string& kind,
              const std::string& name,
              const std::string& spec) -> void;
  auto Remember(const std::string& kind,
                const std::string& name,
                const Object& object,
                bool deleted) -> void;

  Record& record_;
  std::atomic<std::chrono::milliseconds> delay_{std::chrono::milliseconds(4)};
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Change> changes_;
  std::uint64_t revision_ = 10;
  std::atomic<bool> stopped_ = false;
  std::unique_ptr<Server> server_;

 public:
  ~Store();
};

// A model replica. A stream has `events` events; the data of an event depend on
// the request's id and the number of the event.
class Replica {
 public:
  Replica(Record& record, std::string id, int events, int event_ms);

  auto id() const -> const std::string& { return id_; }
  auto address() const -> const std::string& { return server_->address(); }
  // The entry that it writes to the store.
  auto Entry(const std::string& state) const -> std::string;
  // Called for each request that it reads, with the number of requests read on
  // the connection before; returns false if the answer has been sent.
  using Hook = std::function<auto(const Request&, Connection&)->bool>;
  auto set_hook(Hook hook) -> void { hook_ = std::move(hook); }
  // Whether it says in its answers that it leaves.
  auto set_leaving(bool leaving) -> void { leaving_ = leaving; }
  // The process ends, and its connections with it.
  auto End() -> void { server_->End(); }
  // It starts again under the same id and address.
  auto StartAgain() -> void;
  // How often a request began to run, and how many run now.
  auto Runs(const std::string& request) -> int;
  auto running() const -> int { return running_; }

 private:
  auto Handle(const Request& request, Connection& connection) -> bool;
  auto Stream(const Request& request, Connection& connection) -> bool;

  Record& record_;
  std::string id_;
  int events_;
  int event_ms_;
  Hook hook_;
  std::atomic<bool> leaving_ = false;
  std::atomic<std::int64_t> born_;  // When it started, in Unix milliseconds.
  std::atomic<int> running_ = 0;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  std::unique_ptr<Server> server_;
};

// The whole text of an item.
auto ExpectedText(const std::string& request, int events) -> std::string;

// A gateway process, started with the command of the deploy file.
class Gateway {
 public:
  Gateway(Record& record,
          std::string name,
          const std::string& zone,
          const std::string& store,
          const std::string& folder,
          const std::vector<std::string>& seeds);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  auto operator=(const Gateway&) -> Gateway& = delete;

  auto Start() -> void;
  auto Signal(int signal) -> void;
  // Waits until the process has ended.
  auto Wait() -> void;
  auto Running() -> bool;
  auto callers() const -> const std::string& { return callers_; }
  auto nodes() const -> const std::string& { return nodes_; }
  auto Ready() const -> bool;
  // How many gateways the directory names.
  auto Known() const -> std::size_t;

 private:
  Record& record_;
  std::string name_;
  std::string folder_;
  std::string callers_;
  std::string readiness_;
  std::string directory_;
  std::string nodes_;
  std::string settings_;
  pid_t process_ = -1;
  int starts_ = 0;
};

// The operator's configuration, with the limits and the fields that the pages
// name.
auto Configuration() -> std::string;

// A batch job with these items.
auto MakeJob(const std::vector<nlohmann::json>& items) -> std::string;
auto MakeItem(const std::string& id) -> nlohmann::json;

// Calls of clients; each writes to the record.
auto Submit(Record& record,
            const Gateway& gateway,
            const std::string& job,
            const std::string& body) -> int;
struct Results {
  bool read = false;
  std::size_t total = 0;
  std::vector<nlohmann::json> list;
};
auto ReadResults(Record& record, const Gateway& gateway, const std::string& job)
    -> Results;

// Waits until `done` holds; false after `limit`.
auto Await(std::chrono::milliseconds limit,
           const std::function<auto()->bool>& done) -> bool;
auto Sleep(int milliseconds) -> void;
// Whether the disruption is to happen.
auto Trouble() -> bool;
// Makes a folder for settings and logs.
auto MakeFolder() -> std::string;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

}  // namespace review

#endif  // REVIEW_STAND_IN_WORLD_H_
