// DRAIN: a gateway that does not watch the store never learns that a replica is
// gone if the gateways that watch it start again meanwhile.

#include <csignal>
#include <exception>
#include <filesystem>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

#include "review/stand_in/world.h"

namespace review {
namespace {

using std::chrono::seconds;

constexpr int kGateways = 4;
// Of four gateways with these names in one zone, the second and the fourth
// watch the store (serving/watcher_choice.cc).
constexpr std::size_t kFirstWatcher = 1;
constexpr std::size_t kSecondWatcher = 3;
constexpr std::size_t kAsked = 0;
constexpr int kEvents = 24;
constexpr int kEventMs = 10;
constexpr int kContactMs = 3'000;       // `contact_ms`.
constexpr int kDrainTimeoutMs = 2'000;  // `drain_timeout_ms`.
constexpr int kRemovedAfterMs = 100;
constexpr int kStartedAfterMs = 500;
constexpr int kAskedAfterMs = 4'000;  // Twice `drain_timeout_ms`.
constexpr int kExitAfterMs = 4'100;   // "At times many seconds" later.
constexpr std::size_t kRequests = 8;

struct World {
  World(Record& own_record, const std::string& folder)
      : record(own_record),
        store(record),
        leaving(record, "i-1", kEvents, kEventMs),
        staying(record, "i-2", kEvents, kEventMs) {
    auto seeds = std::vector<std::string>();
    for (auto number = 1; number <= kGateways; ++number) {
      gateways.push_back(
          std::make_unique<Gateway>(record, "front-a-" + std::to_string(number),
                                    "z-a", store.address(), folder, seeds));
      if (number == 1) {
        seeds.push_back(gateways.front()->nodes());
      }
    }
  }

  Record& record;
  Store store;
  Replica leaving;
  Replica staying;
  std::vector<std::unique_ptr<Gateway>> gateways;
};

auto StartAll(World& world) -> bool {
  world.store.Put("config", "main", Configuration());
  world.store.Put("servers", world.leaving.id(), world.leaving.Entry("ready"));
  world.store.Put("servers", world.staying.id(), world.staying.Entry("ready"));
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

// Returns whether the whole answer came.
auto Ask(World& world, const std::string& id) -> bool {
  constexpr int kTimeoutMs = 5'000;
  const auto& gateway = *world.gateways[kAsked];
  world.record.Add("client: sends " + id + " to " + gateway.callers());
  const auto answer =
      Call(gateway.callers(),
           {"POST",
            "/hint/" + id,
            {{"Host", kHost},
             {"Request-Id", id},
             {"Timeout-Ms", "5000"},
             {"Model", "m"},
             {"Token-Usage", "350,24"},
             {"Prompt-Prefix", "9c2e" + id + ":100,5d" + id + ":250"}},
            "text"},
           kTimeoutMs);
  world.record.Add("client: " + id + " is answered " +
                   std::to_string(answer.status) +
                   (answer.complete ? "" : ", cut off before its end"));
  return answer.complete;
}

struct Asked {
  int at_leaving = 0;
  int cut = 0;  // Of these, not answered in full.
};

// Several clients ask at about the same time.
auto AskSeveral(World& world, const std::string& name) -> Asked {
  auto whole = std::vector<char>(kRequests);
  auto clients = std::vector<std::thread>();
  for (auto number = std::size_t{0}; number < kRequests; ++number) {
    clients.emplace_back([&world, &whole, &name, number] {
      whole[number] = Ask(world, name + std::to_string(number)) ? 1 : 0;
    });
  }
  for (auto& client : clients) {
    client.join();
  }
  auto asked = Asked();
  for (auto number = std::size_t{0}; number < kRequests; ++number) {
    const auto runs = world.leaving.Runs(name + std::to_string(number));
    asked.at_leaving += runs;
    asked.cut += runs > 0 && whole[number] == 0 ? 1 : 0;
  }
  world.record.Add(name + ": " + std::to_string(asked.at_leaving) + " of " +
                   std::to_string(kRequests) + " requests reached i-1, " +
                   std::to_string(asked.cut) + " of them were cut off");
  return asked;
}

auto Run(World& world) -> int {
  if (!StartAll(world)) {
    world.record.Add("the gateways did not start");
    return kNotRun;
  }
  if (AskSeveral(world, "a0").at_leaving == 0) {
    world.record.Add("i-1 is not used before its entry is gone");
    return kNotRun;
  }
  auto& first = *world.gateways[kFirstWatcher];
  auto& second = *world.gateways[kSecondWatcher];
  if (Trouble()) {
    for (auto* gateway : {&first, &second}) {
      gateway->Signal(SIGKILL);
      gateway->Wait();
    }
  }
  Sleep(kRemovedAfterMs);
  // This replica never reports `draining`; it goes on serving.
  world.leaving.set_leaving(true);
  world.store.Remove("servers", world.leaving.id());
  Sleep(kStartedAfterMs - kRemovedAfterMs);
  if (Trouble()) {
    first.Start();
    second.Start();
  }
  Sleep(kAskedAfterMs - kStartedAfterMs);
  auto exit = std::thread([&world] {
    Sleep(kExitAfterMs - kAskedAfterMs);
    world.record.Add("i-1: exits");
    world.leaving.End();
  });
  const auto late = AskSeveral(world, "b0").at_leaving;
  exit.join();
  world.record.Add(
      std::string(late > 0 ? "BROKEN" : "held") + ": " + std::to_string(late) +
      " requests reached i-1 later than drain_timeout_ms (" +
      std::to_string(kDrainTimeoutMs) + " ms) after its entry was gone");
  return late > 0 ? kBroken : kHeld;
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
