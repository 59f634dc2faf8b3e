#include "child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

namespace persimmonshelf {

child_process::child_process(const std::vector<std::string>& command, const std::string& output)
{
  std::vector<char*> arguments;
  for (const auto& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const int empty = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(EXIT_FAILURE);
    }
    ::dup2(empty, STDIN_FILENO);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    ::execv(arguments.front(), arguments.data());
    ::_exit(EXIT_FAILURE);
  }
  ::close(file);
  ::close(empty);
  running_ = pid_ > 0;
}

child_process::~child_process()
{
  if (is_running()) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
}

void
child_process::send_signal(int number)
{
  if (is_running()) {
    ::kill(pid_, number);
  }
}

bool
child_process::is_running()
{
  if (running_ && ::waitpid(pid_, nullptr, WNOHANG) != 0) {
    running_ = false;
  }
  return running_;
}

std::optional<std::size_t>
child_process::peak_memory() const
{
  return status_field("VmHWM:");
}

std::optional<std::size_t>
child_process::resident_memory() const
{
  return status_field("VmRSS:");
}

std::optional<std::size_t>
child_process::status_field(std::string_view name) const
{
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(name)) {
      return std::stoull(line.substr(name.size())) * 1024;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t>
child_process::open_descriptors() const
{
  std::error_code failure;
  std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid_) + "/fd", failure);
  std::size_t count = 0;
  while (!failure && entries != std::filesystem::directory_iterator()) {
    ++count;
    entries.increment(failure);
  }
  return failure ? std::nullopt : std::optional(count);
}

}
