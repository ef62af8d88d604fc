// Runs the soak: real gateway processes against fakes, with injected faults.

#include <getopt.h>
#include <unistd.h>

#include <filesystem>
#include <iostream>
#include <string>

#include "testing/soak/soak.h"

namespace {

using kumquatgauge::testing::RunSoak;
using kumquatgauge::testing::SoakSettings;

constexpr auto kUsage =
    "usage: kqg-soak --gateway PROGRAM [--seed N] [--seconds N] [--size N]\n"
    "                [--keep DIR] [--rare-faults] [--release]\n"
    "  --seconds  time with faults; up to 30 s to settle come on top (20)\n"
    "  --size     gateway processes (4)\n"
    "  --keep     where the logs of a run with violations go (/tmp)\n"
    "  --rare-faults  leaves out most faults but those of the store's answers\n"
    "  --release  replaces the replicas by a new version, then kills nodes;\n"
    "             covers the time after a release with --seconds 75\n"
    "exit status: 0 no violation, 1 violations, 2 wrong usage\n";

auto PrintCounts(const std::string& title,
                 const std::map<std::string, int>& counts) -> void {
  std::cout << "  " << title << ":";
  for (const auto& [name, count] : counts) {
    std::cout << " " << name << " " << count << ",";
  }
  std::cout << "\n";
}

auto RunOnce(SoakSettings settings, const std::string& keep) -> int {
  namespace fs = std::filesystem;
  const auto folder =
      fs::path(keep) / ("soak-" + std::to_string(settings.seed) + "-" +
                        std::to_string(getpid()));
  fs::remove_all(folder);
  fs::create_directories(folder);
  settings.folder = folder.string();
  const auto report = RunSoak(settings);
  std::cout << "soak seed " << settings.seed << ": " << report.violations.size()
            << " violations\n";
  PrintCounts("faults", report.faults);
  PrintCounts("replies", report.replies);
  for (const auto& violation : report.violations) {
    std::cout << "  " << violation << "\n";
  }
  if (report.violations.empty()) {
    fs::remove_all(folder);
    return 0;
  }
  std::cout << "  logs: " << settings.folder << "\n";
  return 1;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  const option options[] = {{"gateway", required_argument, nullptr, 'g'},
                            {"seed", required_argument, nullptr, 's'},
                            {"seconds", required_argument, nullptr, 't'},
                            {"size", required_argument, nullptr, 'n'},
                            {"keep", required_argument, nullptr, 'k'},
                            {"rare-faults", no_argument, nullptr, 'r'},
                            {"release", no_argument, nullptr, 'v'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
  auto settings = SoakSettings();
  auto keep = std::string("/tmp");
  try {
    auto choice = 0;
    while ((choice = getopt_long(argc, argv, "", options, nullptr)) != -1) {
      switch (choice) {
        case 'g':
          settings.gateway = optarg;
          break;
        case 's':
          settings.seed = std::stoull(optarg);
          break;
        case 't':
          settings.time = std::chrono::seconds(std::stoi(optarg));
          break;
        case 'n':
          settings.nodes = std::stoi(optarg);
          break;
        case 'r':
          settings.rare_faults = true;
          break;
        case 'v':
          settings.release = true;
          break;
        case 'k':
          keep = optarg;
          break;
        default:
          std::cerr << kUsage;
          return choice == 'h' ? 0 : 2;
      }
    }
    const auto least_nodes = settings.release ? 2 : 1;
    if (settings.gateway.empty() || settings.nodes < least_nodes) {
      std::cerr << kUsage;
      return 2;
    }
    return RunOnce(settings, keep);
  } catch (const std::exception& error) {
    std::cerr << "kqg-soak: " << error.what() << "\n" << kUsage;
    return 2;
  }
}
