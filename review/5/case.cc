// BUDGET: an item that can never be done runs once more at each gateway that
// takes its batch job over while gateways are restarted in turn.

#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "review/stand_in/world.h"

namespace review {
namespace {

using std::chrono::seconds;

constexpr int kGateways = 4;
constexpr int kReplicas = 6;
constexpr int kJobs = 24;
constexpr int kRunMs = 20;  // Of an item that cannot be done.
constexpr int kEvents = 166;
constexpr int kEventMs = 10;
constexpr int kContactMs = 3'000;  // `contact_ms`.
constexpr int kGapMs = 1'000;      // `roll_term`, with `gap_s` 1.
constexpr int kFirstTermMs = 500;  // After the last job was accepted.
constexpr int kMostRuns = 3;       // Answers of 422.
constexpr int kWatchedMs = 6'000;

auto JobName(int number) -> std::string {
  return "7c41e09b52d6a3" + std::to_string(100 + number);
}

// The first item of each job cannot be done.
auto ItemName(int number, int at) -> std::string {
  return (at == 0 ? "bad0907c14da" : "e5b2907c14da") +
         std::to_string(100 + number) + std::to_string(at);
}

auto JobBody(int number) -> std::string {
  return MakeJob(
      {MakeItem(ItemName(number, 0)), MakeItem(ItemName(number, 1))});
}

struct World {
  World(Record& own_record, const std::string& folder)
      : record(own_record), store(record) {
    for (auto number = 1; number <= kReplicas; ++number) {
      replicas.push_back(std::make_unique<Replica>(
          record, "i-" + std::to_string(number), kEvents, kEventMs));
    }
    auto seeds = std::vector<std::string>();
    for (auto number = 1; number <= kGateways; ++number) {
      gateways.push_back(std::make_unique<Gateway>(
          record, "front-a-" + std::to_string(number),
          number % 2 == 0 ? "z-a" : "z-b", store.address(), folder, seeds));
      if (number == 1) {
        seeds.push_back(gateways.front()->nodes());
      }
    }
  }

  Record& record;
  Store store;
  std::vector<std::unique_ptr<Replica>> replicas;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::mutex mutex;
  std::map<std::string, int> failed;  // Answers of 422 by item.
};

auto SetHook(World& world, Replica& replica) -> void {
  replica.set_hook([&world, &replica](const Request& request,
                                      Connection& connection) {
    const auto id = Find(request.headers, "Request-Id");
    if (!id.starts_with("bad")) {
      return true;
    }
    Sleep(kRunMs);
    auto count = 0;
    {
      const auto lock = std::lock_guard(world.mutex);
      count = ++world.failed[id];
    }
    world.record.Add(replica.id() + ": answers " + id + " with 422, number " +
                     std::to_string(count));
    constexpr int kUnprocessable = 422;
    Send(connection, kUnprocessable,
         {{"Request-Id", id}, {"Response-Signature", replica.id() + "." + id}},
         "no");
    return false;
  });
}

auto StartAll(World& world) -> bool {
  world.store.Put("config", "main", Configuration());
  for (const auto& replica : world.replicas) {
    world.store.Put("servers", replica->id(), replica->Entry("ready"));
    SetHook(world, *replica);
  }
  for (const auto& gateway : world.gateways) {
    gateway->Start();
  }
  const auto up = Await(seconds(10), [&] {
    for (const auto& gateway : world.gateways) {
      if (!gateway->Ready() || gateway->Known() != kGateways) {
        return false;
      }
    }
    return true;
  });
  Sleep(kContactMs);
  return up;
}

auto Judge(World& world) -> int {
  const auto lock = std::lock_guard(world.mutex);
  auto most = 0;
  auto over = 0;
  for (const auto& [id, count] : world.failed) {
    most = std::max(most, count);
    over += count > kMostRuns ? 1 : 0;
  }
  world.record.Add(std::string(over > 0 ? "BROKEN" : "held") + ": " +
                   std::to_string(over) + " of " + std::to_string(kJobs) +
                   " items reached a replica again after three answers of "
                   "422; the most answers are " +
                   std::to_string(most));
  return over > 0 ? kBroken : kHeld;
}

auto Run(World& world) -> int {
  if (!StartAll(world)) {
    world.record.Add("the gateways did not start");
    return kNotRun;
  }
  for (auto number = 0; number < kJobs; ++number) {
    if (Submit(world.record, *world.gateways.front(), JobName(number),
               JobBody(number)) != 202) {
      return kNotRun;
    }
  }
  Sleep(kFirstTermMs);
  if (Trouble()) {
    // Planned work: each gateway gets SIGTERM, and has 8 s to end.
    for (auto at = std::size_t{0}; at + 1 < kGateways; ++at) {
      world.gateways[at]->Signal(SIGTERM);
      Sleep(kGapMs);
    }
  }
  Sleep(kWatchedMs);
  return Judge(world);
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int {
  if (argc != 2) {
    return review::kNotRun;
  }
  auto record = review::Record(argv[1]);
  const auto folder = review::MakeFolder();
  auto result = review::kNotRun;
  try {
    auto world = review::World(record, folder);
    result = review::Run(world);
  } catch (const std::exception& error) {
    record.Add(std::string("failed: ") + error.what());
  }
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(folder);
  }
  record.Add("exit status " + std::to_string(result));
  std::cout << "exit status " << result << "\n";
  return result;
}
