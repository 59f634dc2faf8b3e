#pragma once

#include <sys/types.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonshelf {

// A program that runs as a child of the test and is killed with it.
class child_process
{
public:
  // The program's standard output and error are appended to the file `output`.
  child_process(const std::vector<std::string>& command, const std::string& output);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void send_signal(int number);

  // False once the process has ended for any reason.
  bool is_running();

  // Largest resident memory so far in bytes (VmHWM). Empty if the process has ended.
  std::optional<std::size_t> peak_memory() const;

  // Present resident memory in bytes (VmRSS). Empty if the process has ended.
  std::optional<std::size_t> resident_memory() const;

  // Number of open descriptors. Empty if the process has ended.
  std::optional<std::size_t> open_descriptors() const;

private:
  // Value of a field of /proc/PID/status that is in kB, in bytes.
  std::optional<std::size_t> status_field(std::string_view name) const;

  pid_t pid_ = 0;
  bool running_ = true;
};

}
