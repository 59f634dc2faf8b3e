#pragma once

#include "child_process.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// Limits in the settings of each instance, which are also the bounds of the tests. The memory is
// below that of the smallest machine (112 MB); the descriptors are half of the default.
constexpr std::size_t memory_limit_mb = 96;
constexpr std::size_t descriptor_limit = 512;
// Upper limit of each wait. Waits end on conditions, so it matters only to a failing test.
constexpr std::chrono::seconds wait_limit{ 60 };

// The database that the instances serve and a key for it.
inline const std::string start_line = "START db1 key1\r\n";

// Stand-ins for the store and two members, and instances of persimmonshelf-proxy, as processes on
// loopback addresses. The clients of the test run on `context`.
class proxy_fleet
{
public:
  enum class listener : std::uint16_t
  {
    callers,
    readiness,
    relay,
    peers,
    metrics,
  };
  // One instance, which runs the sessions of its callers.
  static std::unique_ptr<proxy_fleet> create_single();
  // Two carriers and a smaller instance, which relays the sessions of its callers to them. Each
  // zone has two carriers, so a relaying instance needs two others.
  static std::unique_ptr<proxy_fleet> create_relayed();
  ~proxy_fleet();
  proxy_fleet(const proxy_fleet&) = delete;
  proxy_fleet& operator=(const proxy_fleet&) = delete;

  // Address of a listener of the instance that callers use, which is the last one.
  boost::asio::ip::tcp::endpoint endpoint(listener kind) const;

  // Runs the clients until the condition holds. Returns false after `wait_limit`. Records the open
  // descriptors of the instances meanwhile.
  bool run_until(const std::function<bool()>& condition);

  // Sends `request` on a new session and returns the answer with its READY. Callers may have to
  // retry, so that sessions are begun until one is answered with DONE. Empty after `wait_limit`.
  std::optional<std::string> request(const std::string& text);

  // Checks with doctest that the instances run and have stayed below the bounds, and prints the
  // figures.
  void check_bounds();

  boost::asio::io_context context;

private:
  // True once the caller's instance has a plan by which it relays sessions.
  bool relays();
  explicit proxy_fleet(std::size_t instances);
  boost::asio::ip::tcp::endpoint endpoint_of(std::size_t instance, listener kind) const;
  void start_platform();
  void start_instance(double processor_cores);
  void sample_descriptors();
  boost::asio::awaitable<void> attempt(std::string text,
                                       std::shared_ptr<std::optional<std::string>> answer);

  std::size_t instance_count_;
  std::string folder_;
  std::uint16_t base_port_ = 0;
  std::unique_ptr<child_process> platform_;
  std::vector<std::unique_ptr<child_process>> instances_;
  // Most descriptors that each instance had open.
  std::vector<std::size_t> peak_descriptors_;
};

}
