#include "child_process.h"

#include <doctest/doctest.h>

#include <boost/json.hpp>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <thread>

using namespace persimmonshelf;

namespace {

constexpr std::chrono::seconds start_limit{ 20 };

std::string
settings_text()
{
  // An address of this process's own; the ports are not in the range of outgoing connections.
  const auto address = "127.77." + std::to_string(1 + ::getpid() / 250 % 250) + "." +
                       std::to_string(1 + ::getpid() % 250) + ":";
  namespace json = boost::json;
  return json::serialize(json::object{
    { "instance", "i1" },
    { "zone", "z1" },
    { "seeds", json::array{ address + "24003" } },
    { "listen",
      json::object{ { "callers", address + "24000" },
                    { "readiness", address + "24001" },
                    { "relay", address + "24002" },
                    { "peers", address + "24003" },
                    { "metrics", address + "24004" } } },
    { "store", json::object{ { "address", address + "24005" } } },
    { "duties", json::object{ { "address", address + "24005" }, { "lists", json::array() } } },
    { "key_revocation_ms", 5000 },
    { "stop_grace_s", 1 },
    { "configuration_limit_ms", 3000 },
    { "processor_cores", 1 },
    { "first_start", true } });
}

std::string
contents_of(const std::string& path)
{
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

bool
wait_for(const std::function<bool()>& condition)
{
  const auto until = std::chrono::steady_clock::now() + start_limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

}

// Guards against a process that a signal ends because it comes before its handler is set: the
// settings file may change while the process starts.
TEST_CASE("signals that arrive before the handler is set are handled once it is")
{
  char pattern[] = "/tmp/persimmonshelf-early-XXXXXX";
  REQUIRE(::mkdtemp(pattern) != nullptr);
  const std::string folder = pattern;
  const auto path = folder + "/settings.json";
  const auto log = folder + "/log";
  // The process stops in its first step until something is written to this pipe.
  REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
  child_process process({ PERSIMMONSHELF_PROXY_PROGRAM, "run", "--settings", path }, log);
  int pipe = -1;
  REQUIRE(wait_for([&] {
    pipe = ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    return pipe >= 0;
  }));
  process.send_signal(SIGHUP);
  std::filesystem::remove(path);
  const auto text = settings_text();
  std::ofstream(path) << text;
  CHECK(::write(pipe, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
  ::close(pipe);
  CHECK(wait_for([&] { return contents_of(log).find("\"reload\"") != std::string::npos; }));
  CHECK(process.is_running());
  process.send_signal(SIGTERM);
  CHECK(wait_for([&] { return !process.is_running(); }));
  std::filesystem::remove_all(folder);
}
