// LOST: one entry of another writer whose text cannot be read hides the entries
// of all replicas; accepted batch jobs are never run.

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <thread>

#include "review/stand_in/world.h"

namespace review {
namespace {

using std::chrono::seconds;

constexpr int kJobs = 4;
constexpr int kItems = 4;
constexpr int kEvents = 166;
constexpr int kEventMs = 10;
constexpr int kContactMs = 3'000;      // `contact_ms`.
constexpr auto kFinish = seconds(18);  // `finish_s`.
constexpr auto kCalm = seconds(5);
// A text with a byte that is no UTF-8, as JSON writers put it that keep to
// ASCII.
constexpr auto kOddEntry =
    R"({"service":"other","zone":"z-\udc80","state":"ready"})";

auto JobName(int number) -> std::string {
  return "7c41e09b52d6a3f" + std::to_string(number);
}

auto ItemName(int number, int at) -> std::string {
  return "e5b2907c14da" + std::to_string(number) + "0" + std::to_string(at);
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
  if (Trouble()) {
    world.store.Put("servers", "x-9", kOddEntry);
  }
  world.first.Start();
  world.second.Start();
  const auto up = Await(seconds(10), [&] {
    return world.first.Ready() && world.second.Ready() &&
           world.first.Known() == 2 && world.second.Known() == 2;
  });
  Sleep(kContactMs);
  return up;
}

auto Judge(World& world) -> int {
  auto result = kHeld;
  for (auto number = 0; number < kJobs; ++number) {
    const auto results =
        ReadResults(world.record, world.second, JobName(number));
    auto runs = 0;
    for (auto at = 0; at < kItems; ++at) {
      const auto item = ItemName(number, at);
      runs += world.one.Runs(item) + world.two.Runs(item);
    }
    const auto lost = results.list.size() < kItems;
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
  for (auto number = 0; number < kJobs; ++number) {
    const auto& gateway = number % 2 == 0 ? world.first : world.second;
    if (Submit(world.record, gateway, JobName(number), JobBody(number)) !=
        202) {
      return kNotRun;
    }
  }
  world.record.Add("the traffic ends; jobs have 18 s more");
  std::this_thread::sleep_for(kFinish - kCalm);
  // The rule excuses items that replicas have in the last 5 s.
  const auto busy = [&] {
    return world.one.running() + world.two.running() > 0;
  };
  const auto idle = !Await(kCalm, busy);
  world.record.Add(idle ? "no replica has an item" : "replicas are at work");
  return idle ? Judge(world) : kNotRun;
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
