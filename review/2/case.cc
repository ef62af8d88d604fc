// LOST: batch jobs that a client sends once more while a gateway takes them
// over are run, but their results are never listed.

#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <set>
#include <thread>

#include "review/stand_in/world.h"

namespace review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kJobs = 8;
constexpr int kItems = 4;
constexpr int kEvents = 166;
constexpr int kEventMs = 10;
// `platform_slow`: 50 times the 4 ms of the sheet, for 4.5 s.
constexpr milliseconds kSlowAnswer{200};
constexpr int kDarkMs = 3'500;  // `node_kill`, with `power`.
constexpr int kSlowAfterMs = 1'000;
constexpr int kSlowMs = 4'500;
constexpr int kResendsMs = 6'000;
constexpr int kResendPauseMs = 500;
constexpr int kResenders = 2;          // Clients that send a job again.
constexpr auto kFinish = seconds(18);  // `finish_s`.
constexpr auto kCalm = seconds(5);

auto JobName(int number) -> std::string {
  return "7c41e09b52d6a3" + std::to_string(100 + number);
}

auto ItemName(int number, int at) -> std::string {
  return "e5b2907c14da" + std::to_string(100 + number) + std::to_string(at);
}

auto JobBody(int number) -> std::string {
  auto items = std::vector<nlohmann::json>();
  for (auto at = 0; at < kItems; ++at) {
    items.push_back(MakeItem(ItemName(number, at)));
  }
  return MakeJob(items);
}

struct World {
  World(Record& own_record, const std::string& folder)
      : record(own_record),
        store(record),
        one(record, "i-1", kEvents, kEventMs),
        two(record, "i-2", kEvents, kEventMs),
        first(record, "front-a-1", "z-a", store.address(), folder, {}),
        second(record,
               "front-b-1",
               "z-b",
               store.address(),
               folder,
               {first.nodes()}) {}

  Record& record;
  Store store;
  Replica one;
  Replica two;
  Gateway first;
  Gateway second;
};

auto StartAll(World& world) -> bool {
  world.store.Put("config", "main", Configuration());
  world.store.Put("servers", world.one.id(), world.one.Entry("ready"));
  world.store.Put("servers", world.two.id(), world.two.Entry("ready"));
  world.first.Start();
  world.second.Start();
  const auto up = Await(seconds(10), [&] {
    return world.first.Ready() && world.second.Ready() &&
           world.first.Known() == 2 && world.second.Known() == 2;
  });
  Sleep(3'000);
  return up;
}

// Other clients send the jobs again, whose 202 is seconds old.
auto Resend(World& world) -> void {
  auto threads = std::vector<std::thread>();
  for (auto count = 0; count < kResenders * kJobs; ++count) {
    threads.emplace_back([&world, number = count % kJobs, count] {
      Sleep(count * 25);  // The clients know nothing of each other.
      for (auto past = 0; past < kResendsMs; past += kResendPauseMs) {
        Submit(world.record, world.second, JobName(number), JobBody(number));
        Sleep(kResendPauseMs);
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

auto Judge(World& world, const std::set<int>& accepted) -> int {
  auto result = kHeld;
  for (const auto number : accepted) {
    const auto results =
        ReadResults(world.record, world.second, JobName(number));
    auto runs = 0;
    for (auto at = 0; at < kItems; ++at) {
      const auto item = ItemName(number, at);
      runs += world.one.Runs(item) + world.two.Runs(item);
    }
    const auto lost = !results.read || results.list.size() < kItems;
    world.record.Add(
        std::string(lost ? "BROKEN" : "held") + ": job " + JobName(number) +
        " has " + std::to_string(results.list.size()) + " results of " +
        std::to_string(kItems) + " after " + std::to_string(runs) + " runs");
    result = lost ? kBroken : result;
  }
  return result;
}

auto Run(World& world) -> int {
  if (!StartAll(world)) {
    world.record.Add("the gateways did not start");
    return kNotRun;
  }
  auto accepted = std::set<int>();
  for (auto number = 0; number < kJobs; ++number) {
    if (Submit(world.record, world.first, JobName(number), JobBody(number)) ==
        202) {
      accepted.insert(number);
    }
  }
  if (accepted.size() < kJobs) {
    return kNotRun;
  }
  auto trouble = std::thread([&world] {
    if (!Trouble()) {
      return;
    }
    world.first.Signal(SIGKILL);
    world.first.Wait();
    Sleep(kSlowAfterMs);
    world.record.Add("store: answers take 200 ms");
    world.store.set_delay(kSlowAnswer);
    Sleep(kDarkMs - kSlowAfterMs);
    world.first.Start();
    Sleep(kSlowAfterMs + kSlowMs - kDarkMs);
    world.store.set_delay(milliseconds(4));
    world.record.Add("store: answers take 4 ms");
  });
  Resend(world);
  trouble.join();
  world.record.Add("the traffic ends; jobs have 18 s more");
  std::this_thread::sleep_for(kFinish - kCalm);
  // The rule excuses items that replicas have in the last 5 s.
  const auto busy = [&] {
    return world.one.running() + world.two.running() > 0;
  };
  const auto idle = !Await(kCalm, busy);
  world.record.Add(idle ? "no replica has an item" : "replicas are at work");
  return idle ? Judge(world, accepted) : kNotRun;
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
