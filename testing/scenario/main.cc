#include <getopt.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <string>

#include "testing/scenario/interpreter.h"

namespace {

namespace fs = std::filesystem;

constexpr auto kUsage = R"(Usage: kqg-scenario [OPTION]... SCRIPT...

Runs scripts of the test language and prints one line for each:
  scenario NAME pass|fail seed=N

Options:
      --build FOLDER  folder of the programs (default: build)
      --seed N        seed of random choices (default: drawn)
      --keep FOLDER   keep logs and records there when a scenario fails
  -v, --verbose       print each line before it runs
  -h, --help          print this text

Exit status: 0 all passed, 1 one failed, 2 bad usage.
)";

struct Options {
  std::string build = "build";
  std::uint64_t seed = std::random_device()();
  std::string keep;
  bool verbose = false;
};

auto RunScript(const Options& options, const std::string& path) -> bool {
  const auto name = fs::path(path).stem().string();
  const auto folder = fs::temp_directory_path() /
                      ("kqg-" + name + "-" + std::to_string(options.seed) +
                       "-" + std::to_string(std::random_device()()));
  fs::create_directories(folder);
  auto file = std::ifstream(path);
  auto failure = std::string(file ? "" : "cannot read " + path);
  auto number = 0;
  const auto start = std::chrono::steady_clock::now();
  {
    auto interpreter = kumquatgauge::testing::Interpreter(
        options.build, folder.string(), options.seed);
    for (auto line = std::string();
         failure.empty() && std::getline(file, line);) {
      ++number;
      if (options.verbose) {
        std::cout << "  " << line << std::endl;
      }
      try {
        interpreter.RunLine(line);
      } catch (const std::exception& error) {
        failure = "line " + std::to_string(number) + ": " + line + ": " +
                  error.what();
      }
    }
  }
  const auto seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
          .count();
  std::cout << "scenario " << name << (failure.empty() ? " pass" : " fail")
            << " seed=" << options.seed << " seconds=" << seconds;
  auto kept = fs::path();
  if (!failure.empty()) {
    std::cout << " " << failure;
    if (!options.keep.empty()) {
      kept = fs::path(options.keep) / folder.filename();
      if (kept != folder) {
        fs::create_directories(options.keep);
        fs::copy(folder, kept, fs::copy_options::recursive);
      }
      std::cout << "; logs: " << kept.string();
    }
  }
  std::cout << std::endl;
  if (kept != folder) {
    fs::remove_all(folder);
  }
  return failure.empty();
}

}  // namespace

auto main(int argc, char** argv) -> int {
  constexpr auto kBuildOption = 1;
  constexpr auto kSeedOption = 2;
  constexpr auto kKeepOption = 3;
  const auto long_options = std::array<option, 6>{
      {{"build", required_argument, nullptr, kBuildOption},
       {"seed", required_argument, nullptr, kSeedOption},
       {"keep", required_argument, nullptr, kKeepOption},
       {"verbose", no_argument, nullptr, 'v'},
       {"help", no_argument, nullptr, 'h'},
       {nullptr, 0, nullptr, 0}}};
  auto options = Options();
  auto letter = 0;
  while ((letter = getopt_long(argc, argv, "vh", long_options.data(),
                               nullptr)) != -1) {
    switch (letter) {
      case kBuildOption:
        options.build = optarg;
        break;
      case kSeedOption:
        options.seed = std::strtoull(optarg, nullptr, 10);
        break;
      case kKeepOption:
        options.keep = optarg;
        break;
      case 'v':
        options.verbose = true;
        break;
      case 'h':
        std::cout << kUsage;
        return 0;
      default:
        std::cerr << "kqg-scenario: see kqg-scenario --help\n";
        return 2;
    }
  }
  if (optind >= argc) {
    std::cerr << "kqg-scenario: name a script; see kqg-scenario --help\n";
    return 2;
  }
  auto failed = 0;
  for (auto index = optind; index < argc; ++index) {
    failed += RunScript(options, argv[index]) ? 0 : 1;
  }
  return failed == 0 ? 0 : 1;
}
