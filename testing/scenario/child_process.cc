#include "testing/scenario/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <fstream>
#include <stdexcept>
#include <string>
#include <thread>

namespace kumquatgauge::testing {
namespace {

constexpr auto kExitPoll = std::chrono::milliseconds(10);
constexpr auto kSignalStatusBase = 128;
constexpr auto kFileMode = 0644;

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& arguments,
                           const std::string& out_file,
                           const std::string& err_file) {
  auto argv = std::vector<char*>();
  for (const auto& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  auto actions = posix_spawn_file_actions_t();
  posix_spawn_file_actions_init(&actions);
  if (out_file.empty() && err_file.empty()) {
    for (const auto descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
      posix_spawn_file_actions_addclose(&actions, descriptor);
    }
  } else {
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, out_file.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, kFileMode);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, err_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, kFileMode);
  }
  const auto failed =
      posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    throw std::runtime_error("cannot start " + arguments.front());
  }
}

ChildProcess::~ChildProcess() {
  if (!exit_status_) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

auto ChildProcess::Signal(int signal) -> void {
  if (!exit_status_) {
    kill(pid_, signal);
  }
}

auto ChildProcess::memory_bytes() const -> std::size_t {
  auto file = std::ifstream("/proc/" + std::to_string(pid_) + "/statm");
  auto total_pages = std::size_t{0};
  auto resident_pages = std::size_t{0};
  file >> total_pages >> resident_pages;
  return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

auto ChildProcess::Handles(int signal) const -> bool {
  auto file = std::ifstream("/proc/" + std::to_string(pid_) + "/status");
  auto handled = std::uint64_t{0};
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("SigIgn:") || line.starts_with("SigCgt:")) {
      constexpr auto kHexadecimal = 16;
      handled |=
          std::stoull(line.substr(line.find(':') + 1), nullptr, kHexadecimal);
    }
  }
  return (handled >> (signal - 1) & 1) != 0;
}

auto ChildProcess::WaitForExit(std::chrono::milliseconds limit)
    -> std::optional<int> {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!exit_status_) {
    auto status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      exit_status_ = WIFEXITED(status) ? WEXITSTATUS(status)
                                       : kSignalStatusBase + WTERMSIG(status);
      break;
    }
    if (std::chrono::steady_clock::now() >= deadline) {
      break;
    }
    std::this_thread::sleep_for(kExitPoll);
  }
  return exit_status_;
}

}  // namespace kumquatgauge::testing
